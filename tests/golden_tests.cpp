// Approved transcripts of whole requests in the simulator; docs/design.md 12.2. ANISELINE_APPROVE=1
// writes them anew.
#include "script.hpp"

using namespace aniseline;

TEST_GROUP(Transcripts){};

TEST(Transcripts, submitResendCancel) {
  Script script;
  script.ask("POST", "/v1/jobs", job("a", 300));
  script.ask("POST", "/v1/jobs", job("a", 300), 3);
  script.ask("POST", "/v1/jobs", job("a", 400));
  script.ask("POST", "/v1/jobs", job("b", 60'000));
  script.ask("POST", "/v1/jobs", job("c", 300, "nowhere"));
  script.ask("POST", "/v1/jobs", job("d", 300, "proofs", 99));
  script.ask("GET", "/v1/jobs/d");
  // docs/design.md 10: only when the workers have been known for a while is a job called too large
  // for all of them.
  script.run(31'000);
  script.ask("POST", "/v1/jobs", job("e", 300, "proofs", 99));
  script.ask("DELETE", "/v1/jobs/b");
  script.ask("DELETE", "/v1/jobs/b");
  script.run(1000);
  script.ask("DELETE", "/v1/jobs/nobody");
  script.history("a");
  script.history("b");
  script.approve("submit-resend-cancel");
}

TEST(Transcripts, twoConfigsAtOnce) {
  Script script;
  std::vector<int> statuses;
  for (int count = 0; count < 2; ++count)
    script.world->applyConfig(
        standardConfig(",\"extra" + std::to_string(count) + "\":{}"), 1,
        [&](int status, const std::string&) { statuses.push_back(status); }, std::size_t(count));
  script.run(2000);
  std::sort(statuses.begin(), statuses.end());
  for (int status : statuses)
    script.write("applied on version 1 -> " + std::to_string(status));
  script.ask("PUT", "/v1/config",
             "{\"based_on\":2,\"config\":{\"queues\":{\"q\":{\"retries\":-1}}}}");
  script.ask("PUT", "/v1/config", "{\"based_on\":1,\"config\":{\"queues\":{\"q\":{}}}}");
  script.ask("PUT", "/v1/config", "{\"based_on\":2,\"config\":{\"queues\":{\"q\":{}}}}");
  script.ask("PUT", "/v1/config",
             "{\"based_on\":2,\"config\":{\"queues\":{\"q\":{}}}}");  // a resend: the same answer
  script.ask("GET", "/v1/config");
  script.approve("two-configs");
}

// The leader dies right after it acknowledged; what it acknowledged stays, and runs once.
TEST(Transcripts, leaderLostAfterAcknowledging) {
  Script script;
  const std::size_t before = *script.world->leader();
  script.world->submit(typed(job("a", 2000)));
  CHECK(script.world->runUntilTrue(
      [&] { return script.world->history.back().kind == HistoryEvent::Kind::accepted; }, 2000));
  script.world->killController(before, true);
  script.write("the leader loses power");
  CHECK(script.world->runUntilTrue([&] { return script.world->leader().has_value(); }, 3000));
  script.write("another leads");
  CHECK(script.world->runUntilTrue([&] { return script.world->lastShown["a"] == "finished"; },
                                   10'000));
  script.history("a");
  script.approve("leader-lost");
}

// All three lose power right after an acknowledgement: only what was synced counts, and that was.
TEST(Transcripts, powerLossEverywhereAfterAcknowledging) {
  Script script;
  script.world->submit(typed(job("a", 300)));
  CHECK(script.world->runUntilTrue(
      [&] { return script.world->history.back().kind == HistoryEvent::Kind::accepted; }, 2000));
  for (std::size_t place = 0; place < 3; ++place)
    script.world->killController(place, true);
  script.run(3000);
  for (std::size_t place = 0; place < 3; ++place)
    script.world->restartController(place);
  CHECK(script.world->runUntilTrue([&] { return script.world->lastShown["a"] == "finished"; },
                                   15'000));
  script.history("a");
  script.approve("power-loss");
}

// A frozen leader that wakes is fenced: it neither answers nor orders, and nothing runs twice.
TEST(Transcripts, frozenLeaderWakes) {
  Script script;
  const std::size_t before = *script.world->leader();
  script.world->freezeController(before, true);
  script.run(500);
  script.world->submit(typed(job("a", 1000)));
  CHECK(script.world->runUntilTrue([&] { return script.world->startsOf("a") == 1; }, 8000));
  script.world->freezeController(before, false);
  script.run(100);
  CHECK(!script.world->controller(before)->raftNode().leads());
  script.write("the woken one leads no more");
  CHECK(
      script.world->runUntilTrue([&] { return script.world->lastShown["a"] == "finished"; }, 8000));
  LONGS_EQUAL(1, script.world->startsOf("a"));
  script.history("a");
  script.approve("frozen-leader");
}

// A cut-off worker holds in place when its lease lapses; what was replaced is stopped on its
// return, never resumed.
TEST(Transcripts, cutOffWorkerReturns) {
  WorldOptions options;
  options.workers = 2;
  Script script(options);
  script.world->submit(typed(job("a", 6000, "plates")));
  CHECK(script.world->runUntilTrue([&] { return script.world->startsOf("a") == 1; }, 3000));
  const std::size_t first = script.workerOf("a") == "m1" ? 0 : 1;
  script.world->cutWorker(first, true);
  CHECK(script.world->runUntilTrue([&] { return script.world->startsOf("a") == 2; }, 8000));
  script.world->cutWorker(first, false);
  CHECK(script.world->runUntilTrue([&] { return script.world->lastShown["a"] == "finished"; },
                                   10'000));
  script.run(500);
  script.history("a");
  script.approve("cut-off-worker");
}

// docs/design.md 5.4: without the word that it honours leases a silent worker's tasks are not
// replaced, until an operator speaks.
TEST(Transcripts, termlessWorkerNeedsAWord) {
  WorldOptions options;
  options.workers = 2;
  options.leaseless = 2;
  Script script(options);
  script.world->submit(typed(job("a", 4000, "plates")));
  CHECK(script.world->runUntilTrue([&] { return script.world->startsOf("a") == 1; }, 3000));
  const std::size_t first = script.workerOf("a") == "m1" ? 0 : 1;
  script.world->killWorker(first, true);
  script.run(20'000);
  LONGS_EQUAL(1, script.world->startsOf("a"));
  script.write("after 20 s of silence nothing was replaced");
  int status = 0;
  script.askQuietly("POST", "/v1/workers/m" + std::to_string(first + 1) + "/gone", "",
                    [&](int given) { status = given; });
  CHECK(script.world->runUntilTrue([&] { return script.world->lastShown["a"] == "finished"; },
                                   15'000));
  script.write("declared gone -> " + std::to_string(status));
  script.history("a");
  script.approve("leaseless-worker");
}

// An emptied machine at a new address is a new identity: it learns, is admitted, and the dead one
// goes.
TEST(Transcripts, emptyControllerAtANewAddress) {
  Script script;
  const std::size_t victim = (*script.world->leader() + 1) % 3;
  script.world->loseDisk(victim);
  script.world->moveController(victim);
  script.run(500);
  script.world->restartController(victim);
  CHECK(script.world->runUntilTrue(
      [&] {
        const auto leader = script.world->leader();
        return leader && script.world->controller(*leader)->raftNode().members().size() == 3 &&
               script.world->isVoter(victim);
      },
      20'000));
  script.write("three voters again, one of them new");
  script.world->submit(typed(job("a", 300)));
  CHECK(
      script.world->runUntilTrue([&] { return script.world->lastShown["a"] == "finished"; }, 8000));
  script.history("a");
  script.approve("empty-controller");
}

// A controller that comes back with an old copy of its disk has forgotten what it acknowledged; it
// is put out and begins anew.
TEST(Transcripts, oldDiskIsNotTrusted) {
  Script script;
  const std::size_t victim = (*script.world->leader() + 1) % 3;
  const auto old = script.world->copyDisk(victim);
  for (int count = 0; count < 20; ++count)
    script.world->submit(typed(job("j" + std::to_string(count), 100)));
  script.run(3000);
  script.world->killController(victim, false);
  script.world->putDisk(victim, old);
  std::vector<std::string> notes;
  script.world->say = [&](const std::string& text) {
    if (text.find("lost state") != std::string::npos)
      notes.push_back("put out as lost state");
    if (text.find("begins anew") != std::string::npos)
      notes.push_back("begins anew");
  };
  script.world->restartController(victim);
  CHECK(script.world->runUntilTrue(
      [&] { return notes.size() >= 2 && script.world->voterCount() == 3; }, 20'000));
  for (const auto& note : notes)
    script.write(note);
  script.approve("old-disk");
}

// docs/design.md 5.7: a drained worker's task may go on until the deadline, then is stopped and
// starts elsewhere.
TEST(Transcripts, drainMovesWorkAway) {
  WorldOptions options;
  options.workers = 2;
  Script script(options);
  script.world->submit(typed(job("a", 4000, "plates")));
  CHECK(script.world->runUntilTrue([&] { return script.world->startsOf("a") == 1; }, 3000));
  const std::string first = script.workerOf("a");
  int status = 0;
  script.askQuietly("POST", "/v1/workers/" + first + "/drain?within_ms=1500", "",
                    [&](int given) { status = given; });
  script.run(1000);
  LONGS_EQUAL(1, script.world->startsOf("a"));
  script.write("drained -> " + std::to_string(status) + ", still running after a second");
  CHECK(script.world->runUntilTrue([&] { return script.world->lastShown["a"] == "finished"; },
                                   10'000));
  CHECK(first != script.workerOf("a"));
  script.history("a");
  script.approve("drain");
}

// docs/design.md 10: past its limit a queue is told so at once, and another's reserve is not
// touched.
TEST(Transcripts, aFloodLeavesTheReserve) {
  Script script;
  bool taken = false;
  script.world->applyConfig(
      R"({"planner":{"open_limit":30},"queues":{"proofs":{"urgency":10,"reserved":10},"plates":{},"small":{"open_limit":2}}})",
      1, [&](int status, const std::string&) { taken = status == 200; });
  CHECK(script.world->runUntilTrue([&] { return taken; }, 3000));
  std::map<int, int> counts;
  for (int count = 0; count < 50; ++count)
    script.askQuietly("POST", "/v1/jobs",
                      job("flood" + std::to_string(count), 60'000, "plates", 16),
                      [&](int status) { ++counts[status]; });
  script.run(1000);
  for (const auto& [status, count] : counts)
    script.write("50 to plates -> " + std::to_string(count) + " times " + std::to_string(status));
  script.ask("POST", "/v1/jobs", job("urgent", 100));
  script.ask("POST", "/v1/jobs", job("more", 100, "plates"));
  script.approve("flood");
}

// docs/design.md 5.2: a second process with a worker's id is told so, and the first one's work goes
// on.
TEST(Transcripts, twoWorkersWithOneId) {
  WorldOptions options;
  options.workers = 2;
  options.twins = 1;
  Script script(options);
  std::size_t told = 0;
  script.world->onLogEvent = [&](std::size_t, const LogEvent& note) {
    told += note.what == "worker id in use";
  };
  script.world->submit(typed(job("a", 9000, "plates")));
  script.untilFinished("a", 15'000);
  CHECK(told > 3);
  script.history("a");
  script.approve("two-workers-one-id");
}

// docs/design.md 3.5: a new identity that answers at a voter's very address proves that voter's
// disk gone.
TEST(Transcripts, aLostDiskIsReplacedWithoutTheWait) {
  Script script({}, 30'000);
  const std::size_t victim = (*script.world->leader() + 1) % 3;
  script.world->loseDisk(victim);
  script.run(500);
  script.world->restartController(victim);
  script.untilVoters(3, 4000);
  script.write("three voters within 4 s, though a silent one is waited for 30 s");
  script.approve("lost-disk");
}
// And a voter that is only slow, cut off or frozen for less than the wait stays one.
TEST(Transcripts, aSilentVoterStaysOne) {
  Script script({}, 30'000);
  const std::size_t victim = (*script.world->leader() + 1) % 3;
  std::size_t changes = 0;
  script.world->onLogEvent = [&](std::size_t, const LogEvent& note) {
    changes += note.what == "members change";
  };
  script.world->freezeController(victim, true);
  script.run(20'000);
  script.world->freezeController(victim, false);
  script.run(2000);
  LONGS_EQUAL(0, changes);
  LONGS_EQUAL(3, script.world->voterCount());
}

// An operator's word outlives the leader that heard it.
TEST(Transcripts, aReplacementOutlivesItsLeader) {
  Script script({}, 60'000);
  const std::size_t before = *script.world->leader(), victim = (before + 1) % 3;
  const std::string named = script.world->controller(victim)->raftNode().self().id.value;
  script.world->loseDisk(victim);
  script.world->moveController(victim);
  int status = 0;
  script.askQuietly("POST", "/v1/controllers/" + named + "/replace", "",
                    [&](int given) { status = given; });
  script.run(300);
  script.world->killController(before, true);
  script.run(1500);
  script.world->restartController(before);
  script.run(2500);
  CHECK(script.world->leader().has_value());
  CHECK(*script.world->leader() != before);
  script.world->restartController(victim);
  script.untilVoters(3, 8000);
  script.write("named -> " + std::to_string(status) +
               "; the leader after the next one replaced it");
  script.approve("replacement-outlives");
}

// docs/design.md 4.5: past the limit the earliest ended go; none of it turns new work away, and a
// resend is still known.
TEST(Transcripts, finishedWorkTurnsNoneAway) {
  Script script;
  bool taken = false;
  script.world->applyConfig(
      R"({"planner":{"keep_limit":100,"open_limit":20},"queues":{"proofs":{"urgency":10}}})", 1,
      [&](int status, const std::string&) { taken = status == 200; });
  CHECK(script.world->runUntilTrue([&] { return taken; }, 3000));
  std::map<int, int> counts;
  for (int count = 0; count < 300; ++count) {
    script.askQuietly("POST", "/v1/jobs", job("k" + std::to_string(count), 50),
                      [&](int status) { ++counts[status]; });
    script.run(100);
  }
  script.run(65'000);
  for (const auto& [status, count] : counts)
    script.write("300 jobs -> " + std::to_string(count) + " times " + std::to_string(status));
  const auto& clusterState = script.world->controller(*script.world->leader())->committed();
  script.write(std::to_string(clusterState.jobs.size()) + " are kept, the latest shortened: " +
               (clusterState.jobs.at(JobId{"k299"}).tasks.empty() ? "yes" : "no"));
  script.ask("POST", "/v1/jobs", job("k299", 50));
  script.ask("POST", "/v1/jobs", job("k299", 60));
  script.approve("kept-jobs");
}

// docs/design.md 5.5: a queue may wait longer for a silent worker, which then tells its ending
// instead of being replaced.
TEST(Transcripts, patienceSavesAnEnding) {
  for (const char* patience : {"0", "6000"}) {
    Script script;
    bool taken = false;
    script.world->applyConfig(
        std::string(R"({"queues":{"plates":{"retries":3,"replace_after_ms":)") + patience + "}}}",
        1, [&](int status, const std::string&) { taken = status == 200; });
    CHECK(script.world->runUntilTrue([&] { return taken; }, 3000));
    script.world->submit(typed(job("a", 1500, "plates")));
    CHECK(script.world->runUntilTrue([&] { return script.world->startsOf("a") == 1; }, 3000));
    const std::size_t place = std::stoul(script.workerOf("a").substr(1)) - 1;
    script.world->disturb("the cut", false);
    script.world->cutWorker(place, true);
    script.run(7000);
    script.world->cutWorker(place, false);
    script.world->disturb("the cut", true);
    script.untilFinished("a");
    script.write(std::string("waiting ") + patience + " ms more: started " +
                 std::to_string(script.world->startsOf("a")) + " times");
    script.approve(std::string("patience-") + patience);
  }
}

// docs/design.md 8.3: a request that is given up is answered then, with a time to come back: what
// may have been taken as unknown when its leader has lost the majority, what surely was not as not
// taken. None is held to its end.
TEST(Transcripts, whatIsGivenUpIsAnsweredThen) {
  Script script;
  const std::size_t leader = *script.world->leader();
  for (std::size_t other = 1; other < 3; ++other) {
    script.world->cutZones(leader, (leader + other) % 3, true);
    script.world->cutZones((leader + other) % 3, leader, true);
  }
  for (const char* id : {"a", "b"}) {
    const std::int64_t begun = script.world->now;
    script.ask("POST", "/v1/jobs", job(id, 100), leader);
    const std::int64_t took = script.world->now - begun;
    script.write(took < 1300   ? "  within 1.3 s"
                 : took < 2200 ? "  within 2.2 s, when the search for a leader ends"
                               : "  LATE: " + std::to_string(took));
  }
  script.approve("given-up");
}

// The centre cut one way: whoever still reaches a majority both ways leads, and service goes on.
TEST(Transcripts, oneWayCutsOfTheCentre) {
  for (const bool whole : {false, true}) {
    Script script;
    const std::size_t before = *script.world->leader();
    script.world->cutZones(before, (before + 1) % 3, true);
    if (whole)
      script.world->cutZones(before, (before + 2) % 3, true);
    script.run(3000);
    CHECK(script.world->leader().has_value());
    if (whole)
      CHECK(*script.world->leader() != before);
    script.world->submit(typed(job("a", 300)));
    script.untilFinished("a", 6000);
  }
}

// The same seed gives the same run, to the letter.
TEST(Transcripts, sameSeedSameRun) {
  CampaignOptions options;
  options.seed = 7;
  options.length = 20'000;
  options.faults = 6;
  const auto first = runCampaign(options), second = runCampaign(options);
  CHECK(first.hash == second.hash);
  CHECK(first.good());
  options.seed = 8;
  CHECK(runCampaign(options).hash != first.hash);
}
