// history_check: checks the never-rules from the histories that callers and workers witnessed.
// docs/design.md 11.
#include "net/history_file.hpp"
#include "net/options.hpp"
#include "state/api_request.hpp"
#include "checker/invariants.hpp"
#include <fstream>
#include <iostream>

using namespace aniseline;

int main(int count, char** values) {
  std::string folder, configFile;
  std::int64_t slack = 300;
  OptionSet options("history_check",
                    "checks aniseline's never-rules from witnessed histories (*.witness, "
                    "*.submissions in a folder)");
  options.addText("folder", folder, "the folder with the histories", OptionSet::Presence::required);
  options.addText("config", configFile, "the config in force, for the queues' retries");
  options.addInteger("slack-ms", slack, "allowed for the witnesses' own clock readings", 0, 10'000);
  options.read(count, values);

  auto read = readHistoryFolder(folder);
  if (!read) {
    std::cerr << "history_check: " << read.error().message() << "\n";
    return 2;
  }
  const auto& history = read.value().events;
  const auto& submissions = read.value().submissions;
  InvariantOptions promises;
  promises.clockSlackMs = slack;
  if (!configFile.empty()) {
    std::ifstream stream(configFile);
    auto config = ClusterConfig::parse(std::string((std::istreambuf_iterator<char>(stream)), {}));
    if (!config) {
      std::cerr << "history_check: " << configFile << ": " << config.error().text() << "\n";
      return 2;
    }
    promises.finishedRetentionMs = config.value().planner.finishedJobRetention.milliseconds;
    promises.retainedJobsLimit = config.value().planner.maxRetainedJobs;
    for (const auto& [name, queue] : config.value().queues)
      promises.retriesByQueue[name.value] = queue.maxRetries;
  }
  std::size_t starts = 0;
  for (const auto& event : history)
    starts += event.kind == HistoryEvent::Kind::started;
  const auto findings = checkInvariants(history, submissions, promises);
  for (const auto& promise : findings.unavoidableViolations)
    std::cout << "limit of rule " << number(promise.rule) << " at " << promise.timestamp << ": "
              << promise.description << "\n";
  for (const auto& promise : findings.violations)
    std::cout << "rule " << number(promise.rule) << " at " << promise.timestamp << ": "
              << promise.description << "\n";
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
