// A simulated cluster on which a test sends requests, waits, and injects faults. Its transcript is
// compared with an approved text. docs/design.md 12.2.
#ifndef ANISELINE_TESTS_SUPPORT_SCENARIO_HPP
#define ANISELINE_TESTS_SUPPORT_SCENARIO_HPP
#include "simulator/campaign.hpp"
#include "simulator/campaign_configs.hpp"
#include <CppUTest/TestHarness.h>
#include <fstream>

namespace aniseline {

// Starts with all voters up and the standard configuration applied. All times are in milliseconds.
struct Scenario {
  std::string transcript;
  std::unique_ptr<SimulatedCluster> cluster;
  std::int64_t startedAt = 0;
  explicit Scenario(SimulatedClusterOptions options = {}, std::int64_t deadMemberTimeout = 5000) {
    options.controller.deadMemberTimeout = Duration{deadMemberTimeout};
    cluster = std::make_unique<SimulatedCluster>(options);
    CHECK(cluster->runUntilTrue(
        [&] { return cluster->voterCount() == cluster->configuredVoters(); }, 20'000));
    bool accepted = false;
    cluster->applyConfig(standardConfig(), 0,
                         [&](int status, const std::string&) { accepted = status == 200; });
    CHECK(cluster->runUntilTrue([&] { return accepted; }, 5000));
    startedAt = cluster->now;
  }
  void appendLine(const std::string& line) { transcript += line + "\n"; }
  // Sends a request through a gateway, waits for its response and adds both to the transcript.
  void request(const std::string& method, const std::string& target, const std::string& body = "",
               std::size_t gateway = 0) {
    bool answered = false;
    cluster->sendRequest(
        gateway, method, target, body,
        [&, method, target](int status, const std::string& answer) {
          appendLine(method + " " + target + " " + body + "\n  -> " + std::to_string(status) + " " +
                     answer);
          answered = true;
        },
        5000);
    CHECK(cluster->runUntilTrue([&] { return answered; }, 6000));
  }
  // Sends a request and returns at once; `onStatus` is called with the status of the response.
  void requestWithoutTranscript(const std::string& method, const std::string& target,
                                const std::string& body, std::function<void(int)> onStatus) {
    cluster->sendRequest(1, method, target, body,
                         [onStatus](int status, const std::string&) { onStatus(status); });
  }
  // Returns the worker on which a task of the job was last started.
  std::string lastWorkerOf(const std::string& job) const {
    std::string found;
    for (const auto& event : cluster->history)
      if (event.kind == HistoryEvent::Kind::started && event.job == job)
        found = event.worker;
    return found;
  }
  void waitForVoters(std::size_t wanted, std::int64_t timeout) {
    CHECK(cluster->runUntilTrue(
        [&] { return cluster->allReplicasIntact() && cluster->voterCount() == wanted; }, timeout));
  }
  void waitForFinished(const std::string& job, std::int64_t timeout = 10'000) {
    CHECK(cluster->runUntilTrue([&] { return cluster->lastObservedState[job] == "finished"; },
                                timeout));
  }
  void advance(std::int64_t span) { cluster->runUntil(cluster->now + span); }
  // Reports whether the event is a client request. The number of client requests is random, so
  // these events are not part of a transcript.
  static bool isClientRequest(HistoryEvent::Kind kind) {
    using Kind = HistoryEvent::Kind;
    return kind == Kind::submitted || kind == Kind::outcomeUnknown ||
           kind == Kind::stateUnchanged || kind == Kind::cancelSubmitted;
  }
  // Adds the events of one job, first those of its client and then those of the workers, without
  // times and worker names, which are random.
  void appendHistory(const std::string& job) {
    for (const bool workers : {false, true})
      for (const auto& event : cluster->history)
        if (event.job == job && event.worker.empty() != workers && !isClientRequest(event.kind))
          appendLine(std::string(workers ? "  worker: " : "  caller: ") + name(event.kind) +
                     (event.detail.empty() ? "" : " " + event.detail));
  }
  // Adds the violations found in the history, and compares the transcript with the approved one. If
  // ANISELINE_APPROVE is set in the environment, the transcript becomes the approved one.
  void compareWithApproved(const std::string& name) {
    const auto findings = cluster->checkHistory();
    for (const auto& unavoidableViolation : findings.unavoidableViolations)
      appendLine("limit of rule " + std::to_string(number(unavoidableViolation.rule)) + ": " +
                 unavoidableViolation.description);
    for (const auto& violation : findings.violations)
      appendLine("BROKEN rule " + std::to_string(number(violation.rule)) + ": " +
                 violation.description);
    const std::string file = std::string(ANISELINE_SOURCE) + "/tests/approved/" + name + ".txt";
    if (std::getenv("ANISELINE_APPROVE"))
      std::ofstream(file) << transcript;
    std::ifstream stream(file);
    const std::string approved((std::istreambuf_iterator<char>(stream)), {});
    STRCMP_EQUAL(approved.c_str(), transcript.c_str());
  }
};

// Returns a submission of one task that runs for `runtime` milliseconds.
inline std::string jobJson(const std::string& id, std::int64_t runtime,
                           const std::string& queue = "proofs", std::uint32_t cores = 1) {
  return "{\"id\":\"" + id + "\",\"queue\":\"" + queue +
         "\",\"steps\":[{\"name\":\"s\",\"tasks\":[{\"cores\":" + std::to_string(cores) +
         ",\"memory_mb\":512,\"runtime_ms\":1000,\"payload\":\"run=" + std::to_string(runtime) +
         "\"}]}]}";
}
inline JobSubmission parseJob(const std::string& text) {
  return ApiRequest::parse("POST", "/v1/jobs", text).value().job;
}

}  // namespace aniseline

#endif  // ANISELINE_TESTS_SUPPORT_SCENARIO_HPP
