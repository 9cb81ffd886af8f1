// Tests of which results and checkpoints a node agent reports, and when they become final.
// docs/design.md 5.5.
#include "support/node_agent_fixture.hpp"

using namespace aniseline;
using namespace aniseline::agent_testing;

TEST_GROUP(PendingResultsTests) {
  NodeAgentFixture fixture;
};

// A poll confirms a result only once the leader's log holds it. docs/design.md 5.5.
TEST(PendingResultsTests, pollConfirmsAResultOnlyOnceItIsFinal) {
  fixture.connectWithOneEndedOneRunning();
  CHECK(fixture.agent.hasUrgentReport(fixture.time()));
  const auto reported = fixture.sync();
  STRCMP_EQUAL("a/1 finished", resultsIn(reported).c_str());
  CHECK_FALSE(fixture.agent.hasUrgentReport(fixture.time()));
  fixture.callsAfter(1500);
  LONGS_EQUAL(0, fixture.replyToPoll({running("b")}, {resultOf(1, "a")}).confirmedUpTo);
  STRCMP_EQUAL("a/1 finished", fixture.reportedResults().c_str());  // reported again, but only once
  fixture.sync({}, 1);
  STRCMP_EQUAL("", fixture.reportedResults().c_str());
  fixture.callsAfter(1500);
  LONGS_EQUAL(1, fixture.replyToPoll({running("b")}).confirmedUpTo);
}

TEST(PendingResultsTests, resultsBecomeFinalInTheirOrderOnly) {
  fixture.connectWithOneEndedOneRunning();
  const auto first = fixture.report();
  fixture.callsAfter(1500);
  fixture.replyToPoll({}, {resultOf(1, "a"), resultOf(2, "b", AttemptOutcome::failed)});
  const auto second = fixture.report();
  STRCMP_EQUAL("a/1 finished, b/1 failed", resultsIn(second).c_str());
  fixture.respond(second, fixture.response({}, 1));
  STRCMP_EQUAL("b/1 failed", fixture.reportedResults().c_str());
  fixture.respond(first, fixture.response({}, 1));  // an overtaken response
  STRCMP_EQUAL("b/1 failed", fixture.reportedResults().c_str());
  fixture.respond(second, fixture.response({}, 2));
  STRCMP_EQUAL("", fixture.reportedResults().c_str());
  fixture.startRun("c", 3);
  fixture.calls();
  LONGS_EQUAL(2, fixture.replyToPoll({running("c")}).confirmedUpTo);
}

TEST(PendingResultsTests, responseOfAnOlderLeaderConfirmsNothing) {
  fixture.connectWithOneEnded();
  fixture.term = Term{6};
  fixture.sync({}, 1);
  STRCMP_EQUAL("a/1 finished", fixture.reportedResults().c_str());
}

// Results without a sequence number of the worker need no confirmation by a poll; numbered results
// are reported before them.
TEST(PendingResultsTests, unnumberedResultsFollowNumberedOnes) {
  fixture.connect();
  fixture.startRun("a", 1);
  fixture.sync({startOf(2, "b"), stopOf(3, "b")});
  fixture.calls();
  fixture.replyToPoll({}, {resultOf(1, "a")});
  const auto report = fixture.report();
  STRCMP_EQUAL("a/1 finished, b/1 unstarted", resultsIn(report).c_str());
  fixture.respond(report, fixture.response({}, 2));
  STRCMP_EQUAL("", fixture.reportedResults().c_str());
}

TEST(PendingResultsTests, reportIsLimitedToFiveHundredResults) {
  fixture.connect();
  fixture.startRun("a", 1);
  fixture.calls();
  std::vector<WorkerReply::RunResult> many;
  for (std::uint64_t number = 1; number <= 700; ++number)
    many.push_back(resultOf(number, "job" + std::to_string(number)));
  fixture.replyToPoll({running("a")}, many);
  LONGS_EQUAL(500, fixture.sync({}, 500).runResults.size());
  LONGS_EQUAL(200, fixture.sync({}, 200).runResults.size());
  fixture.callsAfter(1000);
  LONGS_EQUAL(700, fixture.replyToPoll({running("a")}).confirmedUpTo);
}

TEST(PendingResultsTests, eachCheckpointIsReportedOnce) {
  fixture.connect();
  fixture.startRun("a");
  const auto checkpointsIn = [](const SyncReport& report) {
    std::string text;
    for (const auto& entry : report.checkpoints)
      text += (text.empty() ? "" : ", ") + textOf(entry.runId) + " " + entry.checkpoint;
    return text;
  };
  const auto pollShowing = [&](const std::string& checkpoint) {
    CHECK(fixture.callsAfter(1000).find("poll") != std::string::npos);
    fixture.replyToPoll({running("a", checkpoint)});
  };
  pollShowing("");
  STRCMP_EQUAL("", checkpointsIn(fixture.sync()).c_str());
  pollShowing("x1");
  // The response to this sync is lost.
  STRCMP_EQUAL("a/1 x1", checkpointsIn(fixture.report()).c_str());
  STRCMP_EQUAL("a/1 x1", checkpointsIn(fixture.sync()).c_str());
  STRCMP_EQUAL("", checkpointsIn(fixture.sync()).c_str());
  pollShowing("x1");
  STRCMP_EQUAL("", checkpointsIn(fixture.sync()).c_str());
  pollShowing("x2");
  const auto reported = fixture.report();
  pollShowing("x3");
  fixture.respond(reported, fixture.response({}));  // this response does not confirm x3
  STRCMP_EQUAL("a/1 x3", checkpointsIn(fixture.sync()).c_str());
  fixture.calls();
  auto over = resultOf(1, "a", AttemptOutcome::stopped);
  over.checkpoint = "x4";
  fixture.callsAfter(1000);
  fixture.replyToPoll({}, {over});
  const auto last = fixture.sync();
  STRCMP_EQUAL("", checkpointsIn(last).c_str());
  STRCMP_EQUAL("x4", last.runResults.at(0).checkpoint.c_str());
}

// A poll without a timely reply is abandoned: its reply would be older than the reply to the next
// poll.
TEST(PendingResultsTests, replyToAnOvertakenPollIsIgnored) {
  fixture.connect();
  fixture.startRun("a", 1);
  fixture.callsAfter(1500);
  const auto older = fixture.reply(CallKind::poll, ReplyStatus::noResponse);
  const auto stale = fixture.pollReply({running("a")}, {});
  fixture.callsAfter(300);
  fixture.agent.onWorkerReply(older, stale, fixture.time());  // while the newer poll is in flight
  fixture.replyToPoll({}, {resultOf(1, "a")});
  fixture.sync({}, 1);
  LONGS_EQUAL(0, fixture.agent.runCount());
  fixture.agent.onWorkerReply(older, stale, fixture.time());
  LONGS_EQUAL(0, fixture.agent.runCount());
}

// A worker limits the results in one reply: the remaining ones are polled for even if no run is
// left.
TEST(PendingResultsTests, omittedResultsArePolledFor) {
  NodeAgent agent{NodeAgentOptions{}};
  agent.onRegistration(registrationOf("w", 0), MonotonicTime{0});
  agent.onSyncResponse(agent.makeSyncReport(MonotonicTime{0}), responseOf({}, 0), MonotonicTime{0},
                       MonotonicTime{0});
  auto polls = [&](std::int64_t now) {
    std::vector<WorkerCall> found;
    for (const auto& call : agent.takeCalls(MonotonicTime{now}))
      if (call.kind == WorkerCall::Kind::poll)
        found.push_back(call);
    return found;
  };
  WorkerReply reply;
  reply.status = WorkerReply::Status::ok;
  reply.clockReading = WorkerTime{10};
  reply.results.push_back({1, runIdOf("a"), AttemptOutcome::succeeded, ""});
  reply.complete = false;
  agent.onWorkerReply(polls(10).at(0), reply, MonotonicTime{11});
  auto response = responseOf({}, 0);
  response.finalResultCount = 1;
  agent.onSyncResponse(agent.makeSyncReport(MonotonicTime{12}), response, MonotonicTime{12},
                       MonotonicTime{14});
  const auto again = polls(20);
  LONGS_EQUAL(1, again.size());
  LONGS_EQUAL(1, again.at(0).confirmedUpTo);
}
