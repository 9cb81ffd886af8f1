// How a node agent carries out the order to stop a run. docs/design.md 5.8.
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

// The start went to an earlier process: this one fences the run before it reports that it never
// started.
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

TEST(RunStopTests, stopOfARunThatIsOverIsApplied) {
  fixture.connectWithOneOver();
  fixture.sync({stopOf(2, "a")});
  CHECK(fixture.callsAfter(30).find("stop") == std::string::npos);
  STRCMP_EQUAL("a/1 finished", fixture.reportedResults().c_str());
  LONGS_EQUAL(2, fixture.appliedOrder());
}

// Each poll costs its worker. One that waits returns with the result, so that no further ones are
// needed while a stop takes its time.
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

// An order counts as applied when its run's result can be reported with it. If the agent were
// killed in between, its next process would know of neither order nor run, for a poll does not list
// what never started, and the leader would take it for running or stopping for ever.
TEST(RunStopTests, stopIsNotAppliedBeforeItsRunsResultIsKnown) {
  fixture.connectAndStopUnansweredStart();
  fixture.reply(CallKind::stop, ReplyStatus::ok);
  auto report = fixture.report();
  CHECK_TEXT(report.lastAppliedOrder.value < 1 || !report.runResults.empty(),
             "applied, and no result is reported");
  fixture.callsAfter(30);
  fixture.replyToPoll();
  report = fixture.report();
  LONGS_EQUAL(2, report.lastAppliedOrder.value);
  STRCMP_EQUAL("a/1 unstarted", resultsIn(report).c_str());
}
