// history_check: checks recorded histories of clients and workers against the safety invariants.
// docs/design.md 11.
#include "net/history_file.hpp"
#include "net/options.hpp"
#include "state/api_request.hpp"
#include "checker/invariants.hpp"
#include <fstream>
#include <iostream>

using namespace aniseline;

int main(int argc, char** argv) {
  std::string folder, configFile;
  std::int64_t clockSlack = 300;
  OptionSet options(
      "history_check",
      "checks recorded histories (*.witness and *.submissions in a folder) against the "
      "safety invariants of aniseline");
  options.addText("folder", folder, "folder with the histories", OptionSet::Presence::required);
  options.addText("config", configFile,
                  "configuration in force, for the retry limits of the queues");
  options.addInteger("slack-ms", clockSlack,
                     "tolerance in ms for the clock readings of the recording processes", 0,
                     10'000);
  options.read(argc, argv);

  auto read = readHistoryFolder(folder);
  if (!read) {
    std::cerr << "history_check: " << read.error().message() << "\n";
    return 2;
  }
  const auto& history = read.value().events;
  const auto& submissions = read.value().submissions;
  InvariantOptions invariantOptions;
  invariantOptions.clockSlackMs = clockSlack;
  if (!configFile.empty()) {
    std::ifstream stream(configFile);
    auto config = ClusterConfig::parse(std::string((std::istreambuf_iterator<char>(stream)), {}));
    if (!config) {
      std::cerr << "history_check: " << configFile << ": " << config.error().text() << "\n";
      return 2;
    }
    invariantOptions.finishedRetentionMs = config.value().planner.finishedJobRetention.milliseconds;
    invariantOptions.retainedJobsLimit = config.value().planner.maxRetainedJobs;
    for (const auto& [name, queue] : config.value().queues)
      invariantOptions.retriesByQueue[name.value] = queue.maxRetries;
  }
  std::size_t starts = 0;
  for (const auto& event : history)
    starts += event.kind == HistoryEvent::Kind::started;
  const auto findings = checkInvariants(history, submissions, invariantOptions);
  for (const auto& violation : findings.unavoidableViolations)
    std::cout << "limit of rule " << number(violation.rule) << " at " << violation.timestamp << ": "
              << violation.description << "\n";
  for (const auto& violation : findings.violations)
    std::cout << "rule " << number(violation.rule) << " at " << violation.timestamp << ": "
              << violation.description << "\n";
  std::cout << json(picojson::object{
                        {"lines", json(history.size())},
                        {"jobs", json(submissions.size())},
                        {"starts", json(starts)},
                        {"operations", json(findings.searchStatistics.operations)},
                        {"configurations", json(findings.searchStatistics.configurations)},
                        {"limits", json(findings.unavoidableViolations.size())},
                        {"broken", json(findings.violations.size())}})
                   .serialize()
            << std::endl;
  return findings.violations.empty() ? 0 : 1;
}
