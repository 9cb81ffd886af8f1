// Compares transcripts of scenarios in the simulator with approved files. ANISELINE_APPROVE=1
// rewrites the files. docs/design.md 12.2.
#include "support/scenario.hpp"

using namespace aniseline;

TEST_GROUP(TranscriptTests){};

TEST(TranscriptTests, submitResendCancel) {
  Scenario scenario;
  scenario.request("POST", "/v1/jobs", jobJson("a", 300));
  scenario.request("POST", "/v1/jobs", jobJson("a", 300), 3);
  scenario.request("POST", "/v1/jobs", jobJson("a", 400));
  scenario.request("POST", "/v1/jobs", jobJson("b", 60'000));
  scenario.request("POST", "/v1/jobs", jobJson("c", 300, "nowhere"));
  scenario.request("POST", "/v1/jobs", jobJson("d", 300, "proofs", 99));
  scenario.request("GET", "/v1/jobs/d");
  // A job is refused as too large for all workers only when the workers have been known for a
  // while. docs/design.md 10.
  scenario.advance(31'000);
  scenario.request("POST", "/v1/jobs", jobJson("e", 300, "proofs", 99));
  scenario.request("DELETE", "/v1/jobs/b");
  scenario.request("DELETE", "/v1/jobs/b");
  scenario.advance(1000);
  scenario.request("DELETE", "/v1/jobs/nobody");
  scenario.appendHistory("a");
  scenario.appendHistory("b");
  scenario.compareWithApproved("submit-resend-cancel");
}

TEST(TranscriptTests, concurrentConfigChanges) {
  Scenario scenario;
  std::vector<int> statuses;
  for (int count = 0; count < 2; ++count)
    scenario.cluster->applyConfig(
        standardConfig(",\"extra" + std::to_string(count) + "\":{}"), 1,
        [&](int status, const std::string&) { statuses.push_back(status); }, std::size_t(count));
  scenario.advance(2000);
  std::sort(statuses.begin(), statuses.end());
  for (int status : statuses)
    scenario.appendLine("applied on version 1 -> " + std::to_string(status));
  scenario.request("PUT", "/v1/config",
                   "{\"based_on\":2,\"config\":{\"queues\":{\"q\":{\"retries\":-1}}}}");
  scenario.request("PUT", "/v1/config", "{\"based_on\":1,\"config\":{\"queues\":{\"q\":{}}}}");
  scenario.request("PUT", "/v1/config", "{\"based_on\":2,\"config\":{\"queues\":{\"q\":{}}}}");
  scenario.request(
      "PUT", "/v1/config",
      "{\"based_on\":2,\"config\":{\"queues\":{\"q\":{}}}}");  // a resend gets the same answer
  scenario.request("GET", "/v1/config");
  scenario.compareWithApproved("two-configs");
}

// The leader is killed right after it acknowledged a job. The job is kept and runs once.
TEST(TranscriptTests, leaderKilledAfterAcknowledging) {
  Scenario scenario;
  const std::size_t before = *scenario.cluster->leader();
  scenario.cluster->submit(parseJob(jobJson("a", 2000)));
  CHECK(scenario.cluster->runUntilTrue(
      [&] { return scenario.cluster->history.back().kind == HistoryEvent::Kind::accepted; }, 2000));
  scenario.cluster->killController(before, true);
  scenario.appendLine("the leader loses power");
  CHECK(
      scenario.cluster->runUntilTrue([&] { return scenario.cluster->leader().has_value(); }, 3000));
  scenario.appendLine("another leads");
  CHECK(scenario.cluster->runUntilTrue(
      [&] { return scenario.cluster->lastObservedState["a"] == "finished"; }, 10'000));
  scenario.appendHistory("a");
  scenario.compareWithApproved("leader-lost");
}

// All controllers lose power right after a job is acknowledged. The job was synced to disk before,
// so it still runs.
TEST(TranscriptTests, powerLossOfAllAfterAcknowledging) {
  Scenario scenario;
  scenario.cluster->submit(parseJob(jobJson("a", 300)));
  CHECK(scenario.cluster->runUntilTrue(
      [&] { return scenario.cluster->history.back().kind == HistoryEvent::Kind::accepted; }, 2000));
  for (std::size_t index = 0; index < 3; ++index)
    scenario.cluster->killController(index, true);
  scenario.advance(3000);
  for (std::size_t index = 0; index < 3; ++index)
    scenario.cluster->restartController(index);
  CHECK(scenario.cluster->runUntilTrue(
      [&] { return scenario.cluster->lastObservedState["a"] == "finished"; }, 15'000));
  scenario.appendHistory("a");
  scenario.compareWithApproved("power-loss");
}

// A leader that was frozen is fenced when it is thawed: it neither answers nor issues orders, and
// no task runs twice.
TEST(TranscriptTests, thawedLeaderIsFenced) {
  Scenario scenario;
  const std::size_t before = *scenario.cluster->leader();
  scenario.cluster->freezeController(before, true);
  scenario.advance(500);
  scenario.cluster->submit(parseJob(jobJson("a", 1000)));
  CHECK(scenario.cluster->runUntilTrue([&] { return scenario.cluster->countStartsOf("a") == 1; },
                                       8000));
  scenario.cluster->freezeController(before, false);
  scenario.advance(100);
  CHECK(!scenario.cluster->controller(before)->raftNode().isLeader());
  scenario.appendLine("the woken one leads no more");
  CHECK(scenario.cluster->runUntilTrue(
      [&] { return scenario.cluster->lastObservedState["a"] == "finished"; }, 8000));
  LONGS_EQUAL(1, scenario.cluster->countStartsOf("a"));
  scenario.appendHistory("a");
  scenario.compareWithApproved("frozen-leader");
}

// An isolated worker suspends its tasks when its lease expires. On its return, tasks that were
// replaced meanwhile are stopped and never resumed.
TEST(TranscriptTests, isolatedWorkerReturns) {
  SimulatedClusterOptions options;
  options.workers = 2;
  Scenario scenario(options);
  scenario.cluster->submit(parseJob(jobJson("a", 6000, "plates")));
  CHECK(scenario.cluster->runUntilTrue([&] { return scenario.cluster->countStartsOf("a") == 1; },
                                       3000));
  const std::size_t first = scenario.lastWorkerOf("a") == "m1" ? 0 : 1;
  scenario.cluster->isolateWorker(first, true);
  CHECK(scenario.cluster->runUntilTrue([&] { return scenario.cluster->countStartsOf("a") == 2; },
                                       8000));
  scenario.cluster->isolateWorker(first, false);
  CHECK(scenario.cluster->runUntilTrue(
      [&] { return scenario.cluster->lastObservedState["a"] == "finished"; }, 10'000));
  scenario.advance(500);
  scenario.appendHistory("a");
  scenario.compareWithApproved("cut-off-worker");
}

// The tasks of a silent worker that does not honour leases are not replaced until an operator
// declares it gone. docs/design.md 5.4.
TEST(TranscriptTests, workerIgnoringLeasesIsReplacedWhenDeclaredGone) {
  SimulatedClusterOptions options;
  options.workers = 2;
  options.workersIgnoringLeases = 2;
  Scenario scenario(options);
  scenario.cluster->submit(parseJob(jobJson("a", 4000, "plates")));
  CHECK(scenario.cluster->runUntilTrue([&] { return scenario.cluster->countStartsOf("a") == 1; },
                                       3000));
  const std::size_t first = scenario.lastWorkerOf("a") == "m1" ? 0 : 1;
  scenario.cluster->killWorker(first, true);
  scenario.advance(20'000);
  LONGS_EQUAL(1, scenario.cluster->countStartsOf("a"));
  scenario.appendLine("after 20 s of silence nothing was replaced");
  int status = 0;
  scenario.requestWithoutTranscript("POST", "/v1/workers/m" + std::to_string(first + 1) + "/gone",
                                    "", [&](int answer) { status = answer; });
  CHECK(scenario.cluster->runUntilTrue(
      [&] { return scenario.cluster->lastObservedState["a"] == "finished"; }, 15'000));
  scenario.appendLine("declared gone -> " + std::to_string(status));
  scenario.appendHistory("a");
  scenario.compareWithApproved("leaseless-worker");
}

// A controller that restarts without its disk at a new address has a new identity. It catches up
// and becomes a voter, and the old identity is removed.
TEST(TranscriptTests, emptyControllerAtANewAddress) {
  Scenario scenario;
  const std::size_t victim = (*scenario.cluster->leader() + 1) % 3;
  scenario.cluster->loseDisk(victim);
  scenario.cluster->moveController(victim);
  scenario.advance(500);
  scenario.cluster->restartController(victim);
  CHECK(scenario.cluster->runUntilTrue(
      [&] {
        const auto leader = scenario.cluster->leader();
        return leader &&
               scenario.cluster->controller(*leader)->raftNode().membership().size() == 3 &&
               scenario.cluster->isVoter(victim);
      },
      20'000));
  scenario.appendLine("three voters again, one of them new");
  scenario.cluster->submit(parseJob(jobJson("a", 300)));
  CHECK(scenario.cluster->runUntilTrue(
      [&] { return scenario.cluster->lastObservedState["a"] == "finished"; }, 8000));
  scenario.appendHistory("a");
  scenario.compareWithApproved("empty-controller");
}

// A controller that restarts with an old copy of its disk has lost entries that it acknowledged. It
// is removed from the cluster and starts with a new identity.
TEST(TranscriptTests, controllerWithOldDiskIsRemoved) {
  Scenario scenario;
  const std::size_t victim = (*scenario.cluster->leader() + 1) % 3;
  const auto old = scenario.cluster->copyDisk(victim);
  for (int count = 0; count < 20; ++count)
    scenario.cluster->submit(parseJob(jobJson("j" + std::to_string(count), 100)));
  scenario.advance(3000);
  scenario.cluster->killController(victim, false);
  scenario.cluster->replaceDisk(victim, old);
  std::vector<std::string> notes;
  scenario.cluster->trace = [&](const std::string& text) {
    if (text.find("lost state") != std::string::npos)
      notes.push_back("put out as lost state");
    if (text.find("begins anew") != std::string::npos)
      notes.push_back("begins anew");
  };
  scenario.cluster->restartController(victim);
  CHECK(scenario.cluster->runUntilTrue(
      [&] { return notes.size() >= 2 && scenario.cluster->voterCount() == 3; }, 20'000));
  for (const auto& note : notes)
    scenario.appendLine(note);
  scenario.compareWithApproved("old-disk");
}

// A task on a draining worker may run until the deadline; then it is stopped and started on another
// worker. docs/design.md 5.7.
TEST(TranscriptTests, drainMovesTasksAway) {
  SimulatedClusterOptions options;
  options.workers = 2;
  Scenario scenario(options);
  scenario.cluster->submit(parseJob(jobJson("a", 4000, "plates")));
  CHECK(scenario.cluster->runUntilTrue([&] { return scenario.cluster->countStartsOf("a") == 1; },
                                       3000));
  const std::string first = scenario.lastWorkerOf("a");
  int status = 0;
  scenario.requestWithoutTranscript("POST", "/v1/workers/" + first + "/drain?within_ms=1500", "",
                                    [&](int answer) { status = answer; });
  scenario.advance(1000);
  LONGS_EQUAL(1, scenario.cluster->countStartsOf("a"));
  scenario.appendLine("drained -> " + std::to_string(status) + ", still running after a second");
  CHECK(scenario.cluster->runUntilTrue(
      [&] { return scenario.cluster->lastObservedState["a"] == "finished"; }, 10'000));
  CHECK(first != scenario.lastWorkerOf("a"));
  scenario.appendHistory("a");
  scenario.compareWithApproved("drain");
}

// Submissions over a queue's limit are refused at once, and the reserve of another queue stays
// available. docs/design.md 10.
TEST(TranscriptTests, floodLeavesTheReserve) {
  Scenario scenario;
  bool applied = false;
  scenario.cluster->applyConfig(
      R"({"planner":{"open_limit":30},"queues":{"proofs":{"urgency":10,"reserved":10},"plates":{},"small":{"open_limit":2}}})",
      1, [&](int status, const std::string&) { applied = status == 200; });
  CHECK(scenario.cluster->runUntilTrue([&] { return applied; }, 3000));
  std::map<int, int> counts;
  for (int count = 0; count < 50; ++count)
    scenario.requestWithoutTranscript(
        "POST", "/v1/jobs", jobJson("flood" + std::to_string(count), 60'000, "plates", 16),
        [&](int status) { ++counts[status]; });
  scenario.advance(1000);
  for (const auto& [status, count] : counts)
    scenario.appendLine("50 to plates -> " + std::to_string(count) + " times " +
                        std::to_string(status));
  scenario.request("POST", "/v1/jobs", jobJson("urgent", 100));
  scenario.request("POST", "/v1/jobs", jobJson("more", 100, "plates"));
  scenario.compareWithApproved("flood");
}

// A second process with the id of another worker is rejected, and the first one's tasks continue.
// docs/design.md 5.2.
TEST(TranscriptTests, twoWorkersWithOneId) {
  SimulatedClusterOptions options;
  options.workers = 2;
  options.workersWithDuplicateId = 1;
  Scenario scenario(options);
  std::size_t rejections = 0;
  scenario.cluster->onLogEvent = [&](std::size_t, const LogEvent& event) {
    rejections += render(event).name == "worker id in use";
  };
  scenario.cluster->submit(parseJob(jobJson("a", 9000, "plates")));
  scenario.waitForFinished("a", 15'000);
  CHECK(rejections > 3);
  scenario.appendHistory("a");
  scenario.compareWithApproved("two-workers-one-id");
}

// A new identity that answers at a voter's address proves that the voter's disk is lost, so that
// the voter is replaced without waiting. docs/design.md 3.5.
TEST(TranscriptTests, lostDiskIsReplacedWithoutWaiting) {
  Scenario scenario({}, 30'000);
  const std::size_t victim = (*scenario.cluster->leader() + 1) % 3;
  scenario.cluster->loseDisk(victim);
  scenario.advance(500);
  scenario.cluster->restartController(victim);
  scenario.waitForVoters(3, 4000);
  scenario.appendLine("three voters within 4 s, though a silent one is waited for 30 s");
  scenario.compareWithApproved("lost-disk");
}
// A voter that is only slow, isolated or frozen for less than the waiting time remains a voter.
TEST(TranscriptTests, silentVoterRemainsVoter) {
  Scenario scenario({}, 30'000);
  const std::size_t victim = (*scenario.cluster->leader() + 1) % 3;
  std::size_t changes = 0;
  scenario.cluster->onLogEvent = [&](std::size_t, const LogEvent& event) {
    changes += render(event).name == "members change";
  };
  scenario.cluster->freezeController(victim, true);
  scenario.advance(20'000);
  scenario.cluster->freezeController(victim, false);
  scenario.advance(2000);
  LONGS_EQUAL(0, changes);
  LONGS_EQUAL(3, scenario.cluster->voterCount());
}

// An operator's replacement order is carried out although the leader that received it is killed.
TEST(TranscriptTests, replacementOrderSurvivesItsLeader) {
  Scenario scenario({}, 60'000);
  const std::size_t before = *scenario.cluster->leader(), victim = (before + 1) % 3;
  const std::string target = scenario.cluster->controller(victim)->raftNode().self().id.value;
  scenario.cluster->loseDisk(victim);
  scenario.cluster->moveController(victim);
  int status = 0;
  scenario.requestWithoutTranscript("POST", "/v1/controllers/" + target + "/replace", "",
                                    [&](int answer) { status = answer; });
  scenario.advance(300);
  scenario.cluster->killController(before, true);
  scenario.advance(1500);
  scenario.cluster->restartController(before);
  scenario.advance(2500);
  CHECK(scenario.cluster->leader().has_value());
  CHECK(*scenario.cluster->leader() != before);
  scenario.cluster->restartController(victim);
  scenario.waitForVoters(3, 8000);
  scenario.appendLine("named -> " + std::to_string(status) +
                      "; the leader after the next one replaced it");
  scenario.compareWithApproved("replacement-outlives");
}

// Over the limit of kept jobs, those that ended first are removed. Kept jobs do not cause new ones
// to be refused, and a resent job is still recognized. docs/design.md 4.5.
TEST(TranscriptTests, keptJobsDoNotBlockNewOnes) {
  Scenario scenario;
  bool applied = false;
  scenario.cluster->applyConfig(
      R"({"planner":{"keep_limit":100,"open_limit":20},"queues":{"proofs":{"urgency":10}}})", 1,
      [&](int status, const std::string&) { applied = status == 200; });
  CHECK(scenario.cluster->runUntilTrue([&] { return applied; }, 3000));
  std::map<int, int> counts;
  for (int count = 0; count < 300; ++count) {
    scenario.requestWithoutTranscript("POST", "/v1/jobs", jobJson("k" + std::to_string(count), 50),
                                      [&](int status) { ++counts[status]; });
    scenario.advance(100);
  }
  scenario.advance(65'000);
  for (const auto& [status, count] : counts)
    scenario.appendLine("300 jobs -> " + std::to_string(count) + " times " +
                        std::to_string(status));
  const auto& clusterState = scenario.cluster->controller(*scenario.cluster->leader())->committed();
  scenario.appendLine(std::to_string(clusterState.jobs().size()) +
                      " are kept, the latest shortened: " +
                      (clusterState.jobs().at(JobId{"k299"}).tasks.empty() ? "yes" : "no"));
  scenario.request("POST", "/v1/jobs", jobJson("k299", 50));
  scenario.request("POST", "/v1/jobs", jobJson("k299", 60));
  scenario.compareWithApproved("kept-jobs");
}

// A queue may be configured to wait longer for a silent worker, whose task then reports its result
// instead of being replaced. docs/design.md 5.5.
TEST(TranscriptTests, longerReplacementDelayPreservesResult) {
  for (const char* extraWaitMs : {"0", "6000"}) {
    Scenario scenario;
    bool applied = false;
    scenario.cluster->applyConfig(
        std::string(R"({"queues":{"plates":{"retries":3,"replace_after_ms":)") + extraWaitMs +
            "}}}",
        1, [&](int status, const std::string&) { applied = status == 200; });
    CHECK(scenario.cluster->runUntilTrue([&] { return applied; }, 3000));
    scenario.cluster->submit(parseJob(jobJson("a", 1500, "plates")));
    CHECK(scenario.cluster->runUntilTrue([&] { return scenario.cluster->countStartsOf("a") == 1; },
                                         3000));
    const std::size_t index = std::stoul(scenario.lastWorkerOf("a").substr(1)) - 1;
    scenario.cluster->recordFault("the cut", false);
    scenario.cluster->isolateWorker(index, true);
    scenario.advance(7000);
    scenario.cluster->isolateWorker(index, false);
    scenario.cluster->recordFault("the cut", true);
    scenario.waitForFinished("a");
    scenario.appendLine(std::string("waiting ") + extraWaitMs + " ms more: started " +
                        std::to_string(scenario.cluster->countStartsOf("a")) + " times");
    scenario.compareWithApproved(std::string("patience-") + extraWaitMs);
  }
}

// A request that is given up is answered at once with a time after which to retry. If it may have
// been applied, because its leader lost the majority, its outcome is reported as unknown; if it
// certainly was not, it is reported as not taken. No request is held until its client times out.
// docs/design.md 8.3.
TEST(TranscriptTests, requestsGivenUpAreAnsweredAtOnce) {
  Scenario scenario;
  const std::size_t leader = *scenario.cluster->leader();
  for (std::size_t other = 1; other < 3; ++other) {
    scenario.cluster->partitionZones(leader, (leader + other) % 3, true);
    scenario.cluster->partitionZones((leader + other) % 3, leader, true);
  }
  for (const char* id : {"a", "b"}) {
    const std::int64_t startedAt = scenario.cluster->now;
    scenario.request("POST", "/v1/jobs", jobJson(id, 100), leader);
    const std::int64_t duration = scenario.cluster->now - startedAt;
    scenario.appendLine(duration < 1300   ? "  within 1.3 s"
                        : duration < 2200 ? "  within 2.2 s, when the search for a leader ends"
                                          : "  LATE: " + std::to_string(duration));
  }
  scenario.compareWithApproved("given-up");
}

// Links between controllers are cut in one direction. A controller that reaches a majority in both
// directions leads, and the cluster keeps serving.
TEST(TranscriptTests, oneWayCutsBetweenControllers) {
  for (const bool bothLinks : {false, true}) {
    Scenario scenario;
    const std::size_t before = *scenario.cluster->leader();
    scenario.cluster->partitionZones(before, (before + 1) % 3, true);
    if (bothLinks)
      scenario.cluster->partitionZones(before, (before + 2) % 3, true);
    scenario.advance(3000);
    CHECK(scenario.cluster->leader().has_value());
    if (bothLinks)
      CHECK(*scenario.cluster->leader() != before);
    scenario.cluster->submit(parseJob(jobJson("a", 300)));
    scenario.waitForFinished("a", 6000);
  }
}

// The same seed gives exactly the same run.
TEST(TranscriptTests, sameSeedSameRun) {
  CampaignOptions options;
  options.seed = 7;
  options.duration = 20'000;
  options.faults = 6;
  const auto first = runCampaign(options), second = runCampaign(options);
  CHECK(first.transcriptHash == second.transcriptHash);
  CHECK(first.passed());
  options.seed = 8;
  CHECK(runCampaign(options).transcriptHash != first.transcriptHash);
}
