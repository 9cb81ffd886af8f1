// Compares transcripts of scenarios in the simulator with approved files. ANISELINE_APPROVE=1
// rewrites the files. docs/design.md 12.2.
#include "support/scenario.hpp"

using namespace aniseline;

TEST_GROUP(Transcripts){};

TEST(Transcripts, submitResendCancel) {
  Scenario script;
  script.request("POST", "/v1/jobs", jobJson("a", 300));
  script.request("POST", "/v1/jobs", jobJson("a", 300), 3);
  script.request("POST", "/v1/jobs", jobJson("a", 400));
  script.request("POST", "/v1/jobs", jobJson("b", 60'000));
  script.request("POST", "/v1/jobs", jobJson("c", 300, "nowhere"));
  script.request("POST", "/v1/jobs", jobJson("d", 300, "proofs", 99));
  script.request("GET", "/v1/jobs/d");
  // A job is refused as too large for all workers only when the workers have been known for a
  // while. docs/design.md 10.
  script.advance(31'000);
  script.request("POST", "/v1/jobs", jobJson("e", 300, "proofs", 99));
  script.request("DELETE", "/v1/jobs/b");
  script.request("DELETE", "/v1/jobs/b");
  script.advance(1000);
  script.request("DELETE", "/v1/jobs/nobody");
  script.appendHistory("a");
  script.appendHistory("b");
  script.compareWithApproved("submit-resend-cancel");
}

TEST(Transcripts, twoConfigsAtOnce) {
  Scenario script;
  std::vector<int> statuses;
  for (int count = 0; count < 2; ++count)
    script.cluster->applyConfig(
        standardConfig(",\"extra" + std::to_string(count) + "\":{}"), 1,
        [&](int status, const std::string&) { statuses.push_back(status); }, std::size_t(count));
  script.advance(2000);
  std::sort(statuses.begin(), statuses.end());
  for (int status : statuses)
    script.appendLine("applied on version 1 -> " + std::to_string(status));
  script.request("PUT", "/v1/config",
                 "{\"based_on\":2,\"config\":{\"queues\":{\"q\":{\"retries\":-1}}}}");
  script.request("PUT", "/v1/config", "{\"based_on\":1,\"config\":{\"queues\":{\"q\":{}}}}");
  script.request("PUT", "/v1/config", "{\"based_on\":2,\"config\":{\"queues\":{\"q\":{}}}}");
  script.request(
      "PUT", "/v1/config",
      "{\"based_on\":2,\"config\":{\"queues\":{\"q\":{}}}}");  // a resend gets the same answer
  script.request("GET", "/v1/config");
  script.compareWithApproved("two-configs");
}

// The leader is killed right after it acknowledged a job. The job is kept and runs once.
TEST(Transcripts, leaderLostAfterAcknowledging) {
  Scenario script;
  const std::size_t before = *script.cluster->leader();
  script.cluster->submit(parseJob(jobJson("a", 2000)));
  CHECK(script.cluster->runUntilTrue(
      [&] { return script.cluster->history.back().kind == HistoryEvent::Kind::accepted; }, 2000));
  script.cluster->killController(before, true);
  script.appendLine("the leader loses power");
  CHECK(script.cluster->runUntilTrue([&] { return script.cluster->leader().has_value(); }, 3000));
  script.appendLine("another leads");
  CHECK(script.cluster->runUntilTrue(
      [&] { return script.cluster->lastObservedState["a"] == "finished"; }, 10'000));
  script.appendHistory("a");
  script.compareWithApproved("leader-lost");
}

// All controllers lose power right after a job is acknowledged. The job was synced to disk before,
// so it still runs.
TEST(Transcripts, powerLossEverywhereAfterAcknowledging) {
  Scenario script;
  script.cluster->submit(parseJob(jobJson("a", 300)));
  CHECK(script.cluster->runUntilTrue(
      [&] { return script.cluster->history.back().kind == HistoryEvent::Kind::accepted; }, 2000));
  for (std::size_t place = 0; place < 3; ++place)
    script.cluster->killController(place, true);
  script.advance(3000);
  for (std::size_t place = 0; place < 3; ++place)
    script.cluster->restartController(place);
  CHECK(script.cluster->runUntilTrue(
      [&] { return script.cluster->lastObservedState["a"] == "finished"; }, 15'000));
  script.appendHistory("a");
  script.compareWithApproved("power-loss");
}

// A leader that was frozen is fenced when it is thawed: it neither answers nor issues orders, and
// no task runs twice.
TEST(Transcripts, frozenLeaderWakes) {
  Scenario script;
  const std::size_t before = *script.cluster->leader();
  script.cluster->freezeController(before, true);
  script.advance(500);
  script.cluster->submit(parseJob(jobJson("a", 1000)));
  CHECK(
      script.cluster->runUntilTrue([&] { return script.cluster->countStartsOf("a") == 1; }, 8000));
  script.cluster->freezeController(before, false);
  script.advance(100);
  CHECK(!script.cluster->controller(before)->raftNode().isLeader());
  script.appendLine("the woken one leads no more");
  CHECK(script.cluster->runUntilTrue(
      [&] { return script.cluster->lastObservedState["a"] == "finished"; }, 8000));
  LONGS_EQUAL(1, script.cluster->countStartsOf("a"));
  script.appendHistory("a");
  script.compareWithApproved("frozen-leader");
}

// An isolated worker suspends its tasks when its lease expires. On its return, tasks that were
// replaced meanwhile are stopped and never resumed.
TEST(Transcripts, cutOffWorkerReturns) {
  SimulatedClusterOptions options;
  options.workers = 2;
  Scenario script(options);
  script.cluster->submit(parseJob(jobJson("a", 6000, "plates")));
  CHECK(
      script.cluster->runUntilTrue([&] { return script.cluster->countStartsOf("a") == 1; }, 3000));
  const std::size_t first = script.lastWorkerOf("a") == "m1" ? 0 : 1;
  script.cluster->isolateWorker(first, true);
  CHECK(
      script.cluster->runUntilTrue([&] { return script.cluster->countStartsOf("a") == 2; }, 8000));
  script.cluster->isolateWorker(first, false);
  CHECK(script.cluster->runUntilTrue(
      [&] { return script.cluster->lastObservedState["a"] == "finished"; }, 10'000));
  script.advance(500);
  script.appendHistory("a");
  script.compareWithApproved("cut-off-worker");
}

// The tasks of a silent worker that does not honour leases are not replaced until an operator
// declares it gone. docs/design.md 5.4.
TEST(Transcripts, termlessWorkerNeedsAWord) {
  SimulatedClusterOptions options;
  options.workers = 2;
  options.workersIgnoringLeases = 2;
  Scenario script(options);
  script.cluster->submit(parseJob(jobJson("a", 4000, "plates")));
  CHECK(
      script.cluster->runUntilTrue([&] { return script.cluster->countStartsOf("a") == 1; }, 3000));
  const std::size_t first = script.lastWorkerOf("a") == "m1" ? 0 : 1;
  script.cluster->killWorker(first, true);
  script.advance(20'000);
  LONGS_EQUAL(1, script.cluster->countStartsOf("a"));
  script.appendLine("after 20 s of silence nothing was replaced");
  int status = 0;
  script.requestWithoutTranscript("POST", "/v1/workers/m" + std::to_string(first + 1) + "/gone", "",
                                  [&](int given) { status = given; });
  CHECK(script.cluster->runUntilTrue(
      [&] { return script.cluster->lastObservedState["a"] == "finished"; }, 15'000));
  script.appendLine("declared gone -> " + std::to_string(status));
  script.appendHistory("a");
  script.compareWithApproved("leaseless-worker");
}

// A controller that restarts without its disk at a new address has a new identity. It catches up
// and becomes a voter, and the old identity is removed.
TEST(Transcripts, emptyControllerAtANewAddress) {
  Scenario script;
  const std::size_t victim = (*script.cluster->leader() + 1) % 3;
  script.cluster->loseDisk(victim);
  script.cluster->moveController(victim);
  script.advance(500);
  script.cluster->restartController(victim);
  CHECK(script.cluster->runUntilTrue(
      [&] {
        const auto leader = script.cluster->leader();
        return leader && script.cluster->controller(*leader)->raftNode().membership().size() == 3 &&
               script.cluster->isVoter(victim);
      },
      20'000));
  script.appendLine("three voters again, one of them new");
  script.cluster->submit(parseJob(jobJson("a", 300)));
  CHECK(script.cluster->runUntilTrue(
      [&] { return script.cluster->lastObservedState["a"] == "finished"; }, 8000));
  script.appendHistory("a");
  script.compareWithApproved("empty-controller");
}

// A controller that restarts with an old copy of its disk has lost entries that it acknowledged. It
// is removed from the cluster and starts with a new identity.
TEST(Transcripts, oldDiskIsNotTrusted) {
  Scenario script;
  const std::size_t victim = (*script.cluster->leader() + 1) % 3;
  const auto old = script.cluster->copyDisk(victim);
  for (int count = 0; count < 20; ++count)
    script.cluster->submit(parseJob(jobJson("j" + std::to_string(count), 100)));
  script.advance(3000);
  script.cluster->killController(victim, false);
  script.cluster->replaceDisk(victim, old);
  std::vector<std::string> notes;
  script.cluster->trace = [&](const std::string& text) {
    if (text.find("lost state") != std::string::npos)
      notes.push_back("put out as lost state");
    if (text.find("begins anew") != std::string::npos)
      notes.push_back("begins anew");
  };
  script.cluster->restartController(victim);
  CHECK(script.cluster->runUntilTrue(
      [&] { return notes.size() >= 2 && script.cluster->voterCount() == 3; }, 20'000));
  for (const auto& note : notes)
    script.appendLine(note);
  script.compareWithApproved("old-disk");
}

// A task on a draining worker may run until the deadline; then it is stopped and started on another
// worker. docs/design.md 5.7.
TEST(Transcripts, drainMovesWorkAway) {
  SimulatedClusterOptions options;
  options.workers = 2;
  Scenario script(options);
  script.cluster->submit(parseJob(jobJson("a", 4000, "plates")));
  CHECK(
      script.cluster->runUntilTrue([&] { return script.cluster->countStartsOf("a") == 1; }, 3000));
  const std::string first = script.lastWorkerOf("a");
  int status = 0;
  script.requestWithoutTranscript("POST", "/v1/workers/" + first + "/drain?within_ms=1500", "",
                                  [&](int given) { status = given; });
  script.advance(1000);
  LONGS_EQUAL(1, script.cluster->countStartsOf("a"));
  script.appendLine("drained -> " + std::to_string(status) + ", still running after a second");
  CHECK(script.cluster->runUntilTrue(
      [&] { return script.cluster->lastObservedState["a"] == "finished"; }, 10'000));
  CHECK(first != script.lastWorkerOf("a"));
  script.appendHistory("a");
  script.compareWithApproved("drain");
}

// Submissions over a queue's limit are refused at once, and the reserve of another queue stays
// available. docs/design.md 10.
TEST(Transcripts, aFloodLeavesTheReserve) {
  Scenario script;
  bool taken = false;
  script.cluster->applyConfig(
      R"({"planner":{"open_limit":30},"queues":{"proofs":{"urgency":10,"reserved":10},"plates":{},"small":{"open_limit":2}}})",
      1, [&](int status, const std::string&) { taken = status == 200; });
  CHECK(script.cluster->runUntilTrue([&] { return taken; }, 3000));
  std::map<int, int> counts;
  for (int count = 0; count < 50; ++count)
    script.requestWithoutTranscript("POST", "/v1/jobs",
                                    jobJson("flood" + std::to_string(count), 60'000, "plates", 16),
                                    [&](int status) { ++counts[status]; });
  script.advance(1000);
  for (const auto& [status, count] : counts)
    script.appendLine("50 to plates -> " + std::to_string(count) + " times " +
                      std::to_string(status));
  script.request("POST", "/v1/jobs", jobJson("urgent", 100));
  script.request("POST", "/v1/jobs", jobJson("more", 100, "plates"));
  script.compareWithApproved("flood");
}

// A second process with the id of another worker is rejected, and the first one's tasks continue.
// docs/design.md 5.2.
TEST(Transcripts, twoWorkersWithOneId) {
  SimulatedClusterOptions options;
  options.workers = 2;
  options.workersWithDuplicateId = 1;
  Scenario script(options);
  std::size_t told = 0;
  script.cluster->onLogEvent = [&](std::size_t, const LogEvent& note) {
    told += render(note).name == "worker id in use";
  };
  script.cluster->submit(parseJob(jobJson("a", 9000, "plates")));
  script.waitForFinished("a", 15'000);
  CHECK(told > 3);
  script.appendHistory("a");
  script.compareWithApproved("two-workers-one-id");
}

// A new identity that answers at a voter's address proves that the voter's disk is lost, so that
// the voter is replaced without waiting. docs/design.md 3.5.
TEST(Transcripts, aLostDiskIsReplacedWithoutTheWait) {
  Scenario script({}, 30'000);
  const std::size_t victim = (*script.cluster->leader() + 1) % 3;
  script.cluster->loseDisk(victim);
  script.advance(500);
  script.cluster->restartController(victim);
  script.waitForVoters(3, 4000);
  script.appendLine("three voters within 4 s, though a silent one is waited for 30 s");
  script.compareWithApproved("lost-disk");
}
// A voter that is only slow, isolated or frozen for less than the waiting time remains a voter.
TEST(Transcripts, aSilentVoterStaysOne) {
  Scenario script({}, 30'000);
  const std::size_t victim = (*script.cluster->leader() + 1) % 3;
  std::size_t changes = 0;
  script.cluster->onLogEvent = [&](std::size_t, const LogEvent& note) {
    changes += render(note).name == "members change";
  };
  script.cluster->freezeController(victim, true);
  script.advance(20'000);
  script.cluster->freezeController(victim, false);
  script.advance(2000);
  LONGS_EQUAL(0, changes);
  LONGS_EQUAL(3, script.cluster->voterCount());
}

// An operator's replacement order is carried out although the leader that received it is killed.
TEST(Transcripts, aReplacementOutlivesItsLeader) {
  Scenario script({}, 60'000);
  const std::size_t before = *script.cluster->leader(), victim = (before + 1) % 3;
  const std::string named = script.cluster->controller(victim)->raftNode().self().id.value;
  script.cluster->loseDisk(victim);
  script.cluster->moveController(victim);
  int status = 0;
  script.requestWithoutTranscript("POST", "/v1/controllers/" + named + "/replace", "",
                                  [&](int given) { status = given; });
  script.advance(300);
  script.cluster->killController(before, true);
  script.advance(1500);
  script.cluster->restartController(before);
  script.advance(2500);
  CHECK(script.cluster->leader().has_value());
  CHECK(*script.cluster->leader() != before);
  script.cluster->restartController(victim);
  script.waitForVoters(3, 8000);
  script.appendLine("named -> " + std::to_string(status) +
                    "; the leader after the next one replaced it");
  script.compareWithApproved("replacement-outlives");
}

// Over the limit of kept jobs, those that ended first are removed. Kept jobs do not cause new ones
// to be refused, and a resent job is still recognized. docs/design.md 4.5.
TEST(Transcripts, finishedWorkTurnsNoneAway) {
  Scenario script;
  bool taken = false;
  script.cluster->applyConfig(
      R"({"planner":{"keep_limit":100,"open_limit":20},"queues":{"proofs":{"urgency":10}}})", 1,
      [&](int status, const std::string&) { taken = status == 200; });
  CHECK(script.cluster->runUntilTrue([&] { return taken; }, 3000));
  std::map<int, int> counts;
  for (int count = 0; count < 300; ++count) {
    script.requestWithoutTranscript("POST", "/v1/jobs", jobJson("k" + std::to_string(count), 50),
                                    [&](int status) { ++counts[status]; });
    script.advance(100);
  }
  script.advance(65'000);
  for (const auto& [status, count] : counts)
    script.appendLine("300 jobs -> " + std::to_string(count) + " times " + std::to_string(status));
  const auto& clusterState = script.cluster->controller(*script.cluster->leader())->committed();
  script.appendLine(std::to_string(clusterState.jobs().size()) +
                    " are kept, the latest shortened: " +
                    (clusterState.jobs().at(JobId{"k299"}).tasks.empty() ? "yes" : "no"));
  script.request("POST", "/v1/jobs", jobJson("k299", 50));
  script.request("POST", "/v1/jobs", jobJson("k299", 60));
  script.compareWithApproved("kept-jobs");
}

// A queue may be configured to wait longer for a silent worker, whose task then reports its result
// instead of being replaced. docs/design.md 5.5.
TEST(Transcripts, patienceSavesAnEnding) {
  for (const char* patience : {"0", "6000"}) {
    Scenario script;
    bool taken = false;
    script.cluster->applyConfig(
        std::string(R"({"queues":{"plates":{"retries":3,"replace_after_ms":)") + patience + "}}}",
        1, [&](int status, const std::string&) { taken = status == 200; });
    CHECK(script.cluster->runUntilTrue([&] { return taken; }, 3000));
    script.cluster->submit(parseJob(jobJson("a", 1500, "plates")));
    CHECK(script.cluster->runUntilTrue([&] { return script.cluster->countStartsOf("a") == 1; },
                                       3000));
    const std::size_t place = std::stoul(script.lastWorkerOf("a").substr(1)) - 1;
    script.cluster->recordFault("the cut", false);
    script.cluster->isolateWorker(place, true);
    script.advance(7000);
    script.cluster->isolateWorker(place, false);
    script.cluster->recordFault("the cut", true);
    script.waitForFinished("a");
    script.appendLine(std::string("waiting ") + patience + " ms more: started " +
                      std::to_string(script.cluster->countStartsOf("a")) + " times");
    script.compareWithApproved(std::string("patience-") + patience);
  }
}

// A request that is given up is answered at once with a time after which to retry. If it may have
// been applied, because its leader lost the majority, its outcome is reported as unknown; if it
// certainly was not, it is reported as not taken. No request is held until its client times out.
// docs/design.md 8.3.
TEST(Transcripts, whatIsGivenUpIsAnsweredThen) {
  Scenario script;
  const std::size_t leader = *script.cluster->leader();
  for (std::size_t other = 1; other < 3; ++other) {
    script.cluster->partitionZones(leader, (leader + other) % 3, true);
    script.cluster->partitionZones((leader + other) % 3, leader, true);
  }
  for (const char* id : {"a", "b"}) {
    const std::int64_t begun = script.cluster->now;
    script.request("POST", "/v1/jobs", jobJson(id, 100), leader);
    const std::int64_t took = script.cluster->now - begun;
    script.appendLine(took < 1300   ? "  within 1.3 s"
                      : took < 2200 ? "  within 2.2 s, when the search for a leader ends"
                                    : "  LATE: " + std::to_string(took));
  }
  script.compareWithApproved("given-up");
}

// Links between controllers are cut in one direction. A controller that reaches a majority in both
// directions leads, and the cluster keeps serving.
TEST(Transcripts, oneWayCutsOfTheCentre) {
  for (const bool whole : {false, true}) {
    Scenario script;
    const std::size_t before = *script.cluster->leader();
    script.cluster->partitionZones(before, (before + 1) % 3, true);
    if (whole)
      script.cluster->partitionZones(before, (before + 2) % 3, true);
    script.advance(3000);
    CHECK(script.cluster->leader().has_value());
    if (whole)
      CHECK(*script.cluster->leader() != before);
    script.cluster->submit(parseJob(jobJson("a", 300)));
    script.waitForFinished("a", 6000);
  }
}

// The same seed gives exactly the same run.
TEST(Transcripts, sameSeedSameRun) {
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
