// Tests of orders to stop a run. docs/design.md 5.8.
#include "support/node_agent_fixture.hpp"

using namespace aniseline;
using namespace aniseline::agent_testing;

TEST_GROUP(RunStopTests) {
  NodeAgentFixture fixture;
};

TEST(RunStopTests, stopOfARunNeverStartedNeedsNoCall) {
  fixture.connect();
  fixture.sync({startOf(1, "a"), stopOf(2, "a")});
  STRCMP_EQUAL("", fixture.calls().c_str());
  STRCMP_EQUAL("a/1 unstarted", fixture.reportedResults().c_str());
  LONGS_EQUAL(2, fixture.appliedOrder());
}

// An earlier process of the agent received the start. This process sends a stop and polls before it
// reports that the run never started.
TEST(RunStopTests, stopOfAnUnknownRunIsSentAndPolledFor) {
  fixture.connect();
  fixture.sync({stopOf(9, "a")});
  STRCMP_EQUAL("stop a/1", fixture.calls().c_str());
  LONGS_EQUAL(8, fixture.appliedOrder());
  fixture.reply(CallKind::stop, ReplyStatus::ok);
  STRCMP_EQUAL("", fixture.reportedResults().c_str());
  STRCMP_EQUAL("poll", fixture.callsAfter(30).c_str());
  fixture.replyToPoll();
  STRCMP_EQUAL("a/1 unstarted", fixture.reportedResults().c_str());
  LONGS_EQUAL(9, fixture.appliedOrder());
}

TEST(RunStopTests, stopWaitsForTheReplyToAStartInFlight) {
  fixture.connectAndSendStart();
  fixture.sync({stopOf(2, "a")});
  STRCMP_EQUAL("", fixture.calls().c_str());
  fixture.reply(CallKind::start, ReplyStatus::ok);
  CHECK(fixture.calls().find("stop a/1") != std::string::npos);
  LONGS_EQUAL(0, fixture.appliedOrder());
}

TEST(RunStopTests, stopOfAnEndedRunIsApplied) {
  fixture.connectWithOneEnded();
  fixture.sync({stopOf(2, "a")});
  CHECK(fixture.callsAfter(30).find("stop") == std::string::npos);
  STRCMP_EQUAL("a/1 finished", fixture.reportedResults().c_str());
  LONGS_EQUAL(2, fixture.appliedOrder());
}

// Polls are costly for the worker. A long poll returns as soon as the result exists, so no further
// polls are needed while a stop is in progress.
TEST(RunStopTests, stopOfARunningRunIsSeenByTheLongPoll) {
  fixture.connect();
  fixture.startRun("a");
  STRCMP_EQUAL("poll", fixture.calls().c_str());
  fixture.sync({stopOf(2, "a")});
  STRCMP_EQUAL("stop a/1", fixture.calls().c_str());
  fixture.reply(CallKind::stop, ReplyStatus::ok);
  STRCMP_EQUAL("", fixture.callsAfter(30).c_str());
  fixture.replyToPoll({running("a")});
  STRCMP_EQUAL("poll", fixture.callsAfter(30).c_str());
  STRCMP_EQUAL("", fixture.callsAfter(300).c_str());
  const auto waited = fixture.replyToPoll({}, {resultOf(1, "a", AttemptOutcome::stopped)});
  CHECK_TEXT(waited.longPollTimeout.milliseconds > 0, "the poll does not wait for the result");
  STRCMP_EQUAL("a/1 stopped", fixture.reportedResults().c_str());
  LONGS_EQUAL(2, fixture.appliedOrder());
}

TEST(RunStopTests, stopAtAnUnavailableWorkerIsRetriedUntilItReplies) {
  fixture.connect();
  fixture.startRun("a");
  fixture.sync({stopOf(2, "a")});
  for (int count = 0; count < 8; ++count) {
    CHECK(fixture.callsAfter(1000).find("stop a/1") != std::string::npos);
    fixture.reply(CallKind::stop, ReplyStatus::unavailable);
    fixture.sync();
    LONGS_EQUAL(1, fixture.appliedOrder());
    if (!fixture.openCalls.empty())
      fixture.replyToPoll({running("a")});
  }
}

// An order counts as applied only once the result of its run can be reported with it. Otherwise, if
// the agent were killed in between, its next process would know neither the order nor the run,
// because a poll does not list a run that never started. The leader would then consider the run
// running or stopping indefinitely.
TEST(RunStopTests, stopIsNotAppliedBeforeItsRunsResultIsKnown) {
  fixture.connectAndStopUnansweredStart();
  fixture.reply(CallKind::stop, ReplyStatus::ok);
  auto report = fixture.report();
  CHECK_TEXT(report.lastAppliedOrder.value < 1 || !report.runResults.empty(),
             "the order is reported as applied without the result of its run");
  fixture.callsAfter(30);
  fixture.replyToPoll();
  report = fixture.report();
  LONGS_EQUAL(2, report.lastAppliedOrder.value);
  STRCMP_EQUAL("a/1 unstarted", resultsIn(report).c_str());
}
