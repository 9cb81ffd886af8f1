// A world in which a test asks, waits, breaks and heals, and writes down what is to be approved.
// docs/design.md 12.2.
#ifndef ANISELINE_TESTS_SUPPORT_SCENARIO_HPP
#define ANISELINE_TESTS_SUPPORT_SCENARIO_HPP
#include "simulator/campaign.hpp"
#include "simulator/campaign_configs.hpp"
#include <CppUTest/TestHarness.h>
#include <fstream>

namespace aniseline {

struct Scenario {
  std::string transcript;
  std::unique_ptr<SimulatedCluster> cluster;
  std::int64_t startedAt = 0;
  explicit Scenario(SimulatedClusterOptions options = {}, std::int64_t replaceAfter = 5000) {
    options.controller.deadMemberTimeout = Duration{replaceAfter};
    cluster = std::make_unique<SimulatedCluster>(options);
    CHECK(cluster->runUntilTrue(
        [&] { return cluster->voterCount() == cluster->configuredVoters(); }, 20'000));
    bool taken = false;
    cluster->applyConfig(standardConfig(), 0,
                         [&](int status, const std::string&) { taken = status == 200; });
    CHECK(cluster->runUntilTrue([&] { return taken; }, 5000));
    startedAt = cluster->now;
  }
  void appendLine(const std::string& line) { transcript += line + "\n"; }
  void request(const std::string& method, const std::string& target, const std::string& body = "",
               std::size_t gateway = 0) {
    bool over = false;
    cluster->sendRequest(
        gateway, method, target, body,
        [&, method, target](int status, const std::string& answer) {
          appendLine(method + " " + target + " " + body + "\n  -> " + std::to_string(status) + " " +
                     answer);
          over = true;
        },
        5000);
    CHECK(cluster->runUntilTrue([&] { return over; }, 6000));
  }
  void requestWithoutTranscript(const std::string& method, const std::string& target,
                                const std::string& body, std::function<void(int)> told) {
    cluster->sendRequest(1, method, target, body,
                         [told](int status, const std::string&) { told(status); });
  }
  // The worker that a job's task was started on last.
  std::string lastWorkerOf(const std::string& job) const {
    std::string found;
    for (const auto& given : cluster->history)
      if (given.kind == HistoryEvent::Kind::started && given.job == job)
        found = given.worker;
    return found;
  }
  void waitForVoters(std::size_t wanted, std::int64_t within) {
    CHECK(cluster->runUntilTrue(
        [&] { return cluster->allReplicasIntact() && cluster->voterCount() == wanted; }, within));
  }
  void waitForFinished(const std::string& job, std::int64_t within = 10'000) {
    CHECK(cluster->runUntilTrue([&] { return cluster->lastObservedState[job] == "finished"; },
                                within));
  }
  void advance(std::int64_t span) { cluster->runUntil(cluster->now + span); }
  // How often a caller asks is decided by draws too.
  static bool isClientRequest(HistoryEvent::Kind kind) {
    using Kind = HistoryEvent::Kind;
    return kind == Kind::submitted || kind == Kind::outcomeUnknown ||
           kind == Kind::stateUnchanged || kind == Kind::cancelSubmitted;
  }
  // What the caller and then what the workers witnessed of one job, without times and places, which
  // draws decide.
  void appendHistory(const std::string& job) {
    for (const bool workers : {false, true})
      for (const auto& given : cluster->history)
        if (given.job == job && given.worker.empty() != workers && !isClientRequest(given.kind))
          appendLine(std::string(workers ? "  worker: " : "  caller: ") + name(given.kind) +
                     (given.detail.empty() ? "" : " " + given.detail));
  }
  void compareWithApproved(const std::string& name) {
    const auto findings = cluster->checkHistory();
    for (const auto& limit : findings.unavoidableViolations)
      appendLine("limit of rule " + std::to_string(number(limit.rule)) + ": " + limit.description);
    for (const auto& promise : findings.violations)
      appendLine("BROKEN rule " + std::to_string(number(promise.rule)) + ": " +
                 promise.description);
    const std::string file = std::string(ANISELINE_SOURCE) + "/tests/approved/" + name + ".txt";
    if (std::getenv("ANISELINE_APPROVE"))
      std::ofstream(file) << transcript;
    std::ifstream stream(file);
    const std::string approved((std::istreambuf_iterator<char>(stream)), {});
    STRCMP_EQUAL(approved.c_str(), transcript.c_str());
  }
};

inline std::string jobJson(const std::string& id, std::int64_t run,
                           const std::string& queue = "proofs", std::uint32_t cores = 1) {
  return "{\"id\":\"" + id + "\",\"queue\":\"" + queue +
         "\",\"steps\":[{\"name\":\"s\",\"tasks\":[{\"cores\":" + std::to_string(cores) +
         ",\"memory_mb\":512,\"runtime_ms\":1000,\"payload\":\"run=" + std::to_string(run) +
         "\"}]}]}";
}
inline JobSubmission parseJob(const std::string& text) {
  return ApiRequest::parse("POST", "/v1/jobs", text).value().job;
}

}  // namespace aniseline

#endif  // ANISELINE_TESTS_SUPPORT_SCENARIO_HPP
