// A world in which a test asks, waits, breaks and heals, and writes down what is to be approved.
// docs/design.md 12.2.
#pragma once
#include "simulator/campaign.hpp"
#include <CppUTest/TestHarness.h>
#include <fstream>

namespace aniseline {

struct Script {
  std::string text;
  std::unique_ptr<World> world;
  std::int64_t begun = 0;
  explicit Script(WorldOptions options = {}, std::int64_t replaceAfter = 5000) {
    options.controller.replaceAfter = Duration{replaceAfter};
    world = std::make_unique<World>(options);
    CHECK(
        world->runUntilTrue([&] { return world->voterCount() == world->votersWanted(); }, 20'000));
    bool taken = false;
    world->applyConfig(standardConfig(), 0,
                       [&](int status, const std::string&) { taken = status == 200; });
    CHECK(world->runUntilTrue([&] { return taken; }, 5000));
    begun = world->now;
  }
  void write(const std::string& line) { text += line + "\n"; }
  void ask(const std::string& method, const std::string& target, const std::string& body = "",
           std::size_t gateway = 0) {
    bool over = false;
    world->ask(
        gateway, method, target, body,
        [&, method, target](int status, const std::string& answer) {
          write(method + " " + target + " " + body + "\n  -> " + std::to_string(status) + " " +
                answer);
          over = true;
        },
        5000);
    CHECK(world->runUntilTrue([&] { return over; }, 6000));
  }
  void askQuietly(const std::string& method, const std::string& target, const std::string& body,
                  std::function<void(int)> told) {
    world->ask(1, method, target, body, [told](int status, const std::string&) { told(status); });
  }
  // The worker that a job's task was started on last.
  std::string workerOf(const std::string& job) const {
    std::string found;
    for (const auto& given : world->history)
      if (given.kind == HistoryEvent::Kind::started && given.job == job)
        found = given.worker;
    return found;
  }
  void untilVoters(std::size_t wanted, std::int64_t within) {
    CHECK(world->runUntilTrue([&] { return world->copiesWhole() && world->voterCount() == wanted; },
                              within));
  }
  void untilFinished(const std::string& job, std::int64_t within = 10'000) {
    CHECK(world->runUntilTrue([&] { return world->lastShown[job] == "finished"; }, within));
  }
  void run(std::int64_t span) { world->runUntil(world->now + span); }
  // How often a caller asks is decided by draws too.
  static bool isAsking(HistoryEvent::Kind kind) {
    using Kind = HistoryEvent::Kind;
    return kind == Kind::submitted || kind == Kind::unknown || kind == Kind::looked ||
           kind == Kind::cancelAsked;
  }
  // What the caller and then what the workers witnessed of one job, without times and places, which
  // draws decide.
  void history(const std::string& job) {
    for (const bool workers : {false, true})
      for (const auto& given : world->history)
        if (given.job == job && given.worker.empty() != workers && !isAsking(given.kind))
          write(std::string(workers ? "  worker: " : "  caller: ") + name(given.kind) +
                (given.detail.empty() ? "" : " " + given.detail));
  }
  void approve(const std::string& name) {
    const auto findings = world->findings();
    for (const auto& limit : findings.limits)
      write("limit of rule " + std::to_string(limit.rule) + ": " + limit.text);
    for (const auto& promise : findings.broken)
      write("BROKEN rule " + std::to_string(promise.rule) + ": " + promise.text);
    const std::string file = std::string(ANISELINE_SOURCE) + "/tests/approved/" + name + ".txt";
    if (std::getenv("ANISELINE_APPROVE"))
      std::ofstream(file) << text;
    std::ifstream stream(file);
    const std::string approved((std::istreambuf_iterator<char>(stream)), {});
    STRCMP_EQUAL(approved.c_str(), text.c_str());
  }
};

inline std::string job(const std::string& id, std::int64_t run, const std::string& queue = "proofs",
                       std::uint32_t cores = 1) {
  return "{\"id\":\"" + id + "\",\"queue\":\"" + queue +
         "\",\"steps\":[{\"name\":\"s\",\"tasks\":[{\"cores\":" + std::to_string(cores) +
         ",\"memory_mb\":512,\"runtime_ms\":1000,\"payload\":\"run=" + std::to_string(run) +
         "\"}]}]}";
}
inline JobSubmission typed(const std::string& text) {
  return ApiRequest::parse("POST", "/v1/jobs", text).value().job;
}

}  // namespace aniseline
