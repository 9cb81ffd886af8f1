// Tests of orders to start a run: unanswered, rejected and late starts. docs/design.md 5.8.
#include "support/node_agent_fixture.hpp"

using namespace aniseline;
using namespace aniseline::agent_testing;

TEST_GROUP(RunStartTests) {
  NodeAgentFixture fixture;
};

TEST(RunStartTests, unansweredStartIsRetriedAndNothingIsReported) {
  fixture.connectAndSendStart();
  for (int count = 0; count < 5; ++count) {
    fixture.reply(CallKind::start, ReplyStatus::noResponse);
    STRCMP_EQUAL("", fixture.calls().c_str());  // not retried at once
    STRCMP_EQUAL("", fixture.reportedResults().c_str());
    LONGS_EQUAL(0, fixture.appliedOrder());
    STRCMP_EQUAL("start a/1", fixture.callsAfter(20).c_str());
  }
  auto call = fixture.reply(CallKind::start, ReplyStatus::ok);
  STRCMP_EQUAL("work of a", call.payload.c_str());
  LONGS_EQUAL(1, fixture.appliedOrder());
  STRCMP_EQUAL("", fixture.reportedResults().c_str());
}

TEST(RunStartTests, runIsReportedNeverStartedOnlyAfterAnAnsweredStopAndAnEmptyPoll) {
  fixture.connectAndStopUnansweredStart();
  fixture.reply(CallKind::stop, ReplyStatus::noResponse);
  STRCMP_EQUAL("", fixture.reportedResults().c_str());
  STRCMP_EQUAL("stop a/1", fixture.callsAfter(100).c_str());
  fixture.reply(CallKind::stop, ReplyStatus::ok);
  STRCMP_EQUAL("", fixture.reportedResults().c_str());
  STRCMP_EQUAL("poll", fixture.callsAfter(30).c_str());
  STRCMP_EQUAL("", fixture.reportedResults().c_str());
  fixture.replyToPoll();
  STRCMP_EQUAL("a/1 unstarted", fixture.reportedResults().c_str());
  LONGS_EQUAL(2, fixture.appliedOrder());
}

TEST(RunStartTests, startCarriedOutLateIsSeenAndReportedStopped) {
  fixture.connectAndStopUnansweredStart();
  // The run had started in the meantime and is being stopped.
  fixture.reply(CallKind::stop, ReplyStatus::ok);
  fixture.callsAfter(30);
  fixture.replyToPoll({running("a")});
  STRCMP_EQUAL("", fixture.reportedResults().c_str());
  STRCMP_EQUAL("poll", fixture.callsAfter(250).c_str());
  fixture.replyToPoll({}, {resultOf(1, "a", AttemptOutcome::stopped)});
  STRCMP_EQUAL("a/1 stopped", fixture.reportedResults().c_str());
}

TEST(RunStartTests, pollBegunBeforeTheStopsReplyProvesNothing) {
  fixture.connect();
  fixture.startRun("b");
  fixture.sync({startOf(2, "a")});
  STRCMP_EQUAL("start a/1, poll", fixture.calls().c_str());
  fixture.reply(CallKind::start, ReplyStatus::noResponse, "a");
  fixture.sync({stopOf(3, "a")});
  fixture.calls();
  fixture.reply(CallKind::stop, ReplyStatus::ok, "a");
  fixture.replyToPoll({running("b")});  // this list was made before the stop arrived
  STRCMP_EQUAL("", fixture.reportedResults().c_str());
  STRCMP_EQUAL("poll", fixture.callsAfter(250).c_str());
  fixture.replyToPoll({running("b")});
  STRCMP_EQUAL("a/1 unstarted", fixture.reportedResults().c_str());
}

// An incomplete reply does not prove that a run is absent.
TEST(RunStartTests, incompletePollProvesNoAbsence) {
  fixture.connectAndStopUnansweredStart();
  fixture.reply(CallKind::stop, ReplyStatus::ok);
  fixture.callsAfter(30);
  auto reply = fixture.pollReply({}, {});
  reply.complete = false;
  fixture.agent.onWorkerReply(fixture.takeOpenCall(CallKind::poll), reply, fixture.time());
  STRCMP_EQUAL("", fixture.reportedResults().c_str());
  fixture.callsAfter(250);
  fixture.replyToPoll();
  STRCMP_EQUAL("a/1 unstarted", fixture.reportedResults().c_str());
}

TEST(RunStartTests, startRejectedForCapacityIsReportedWithoutAStop) {
  fixture.connectAndStart(ReplyStatus::insufficientCapacity);
  STRCMP_EQUAL("", fixture.calls().c_str());
  STRCMP_EQUAL("a/1 refused", fixture.reportedResults().c_str());
  LONGS_EQUAL(1, fixture.appliedOrder());
}

TEST(RunStartTests, startRejectedForCapacityAfterNoReplyIsStoppedFirst) {
  fixture.connectAndStart(ReplyStatus::noResponse);
  fixture.callsAfter(20);
  fixture.reply(CallKind::start, ReplyStatus::insufficientCapacity);
  STRCMP_EQUAL("stop a/1", fixture.calls().c_str());
  STRCMP_EQUAL("", fixture.reportedResults().c_str());
  fixture.reply(CallKind::stop, ReplyStatus::ok);
  STRCMP_EQUAL("poll", fixture.callsAfter(30).c_str());
  fixture.replyToPoll();
  STRCMP_EQUAL("a/1 refused", fixture.reportedResults().c_str());
}

TEST(RunStartTests, startRejectedAfterNoReplyIsNotAppliedBeforeItsResultIsKnown) {
  fixture.connectAndStart(ReplyStatus::noResponse);
  fixture.callsAfter(20);
  fixture.reply(CallKind::start, ReplyStatus::insufficientCapacity);
  fixture.calls();
  fixture.reply(CallKind::stop, ReplyStatus::ok);
  LONGS_EQUAL(0, fixture.appliedOrder());
}

TEST(RunStartTests, fencedStartWaitsForTheNewerLeader) {
  fixture.connectAndSendStart();
  LONGS_EQUAL(7, fixture.reply(CallKind::start, ReplyStatus::fenced).fencingTerm.value);
  STRCMP_EQUAL("", fixture.reportedResults().c_str());
  STRCMP_EQUAL("", fixture.callsAfter(100).c_str());
  fixture.term = Term{8};
  fixture.sync();
  STRCMP_EQUAL("start a/1", fixture.callsAfter(100).c_str());
  LONGS_EQUAL(8, fixture.reply(CallKind::start, ReplyStatus::ok).fencingTerm.value);
  LONGS_EQUAL(1, fixture.appliedOrder());
}

TEST(RunStartTests, listedStaleRunCountsAsStarted) {
  fixture.connectAndStart(ReplyStatus::staleRun);
  STRCMP_EQUAL("", fixture.reportedResults().c_str());
  STRCMP_EQUAL("poll", fixture.callsAfter(30).c_str());
  fixture.replyToPoll({running("a")});
  LONGS_EQUAL(1, fixture.appliedOrder());
  STRCMP_EQUAL("", fixture.reportedResults().c_str());
  CHECK(fixture.callsAfter(30).find("start") == std::string::npos);
}

TEST(RunStartTests, endedStaleRunIsReported) {
  fixture.connectAndStart(ReplyStatus::staleRun);
  fixture.callsAfter(30);
  fixture.replyToPoll({}, {resultOf(4, "a")});
  STRCMP_EQUAL("a/1 finished", fixture.reportedResults().c_str());
}

TEST(RunStartTests, unlistedStaleRunIsStoppedFirst) {
  fixture.connectAndStart(ReplyStatus::staleRun);
  fixture.callsAfter(30);
  fixture.replyToPoll();
  STRCMP_EQUAL("", fixture.reportedResults().c_str());
  STRCMP_EQUAL("stop a/1", fixture.calls().c_str());
  fixture.reply(CallKind::stop, ReplyStatus::ok);
  fixture.callsAfter(30);
  fixture.replyToPoll();
  STRCMP_EQUAL("a/1 unstarted", fixture.reportedResults().c_str());
}

TEST(RunStartTests, startPastItsDeadlineIsRetriedWithTheNextLease) {
  fixture.connectAndSendStart();
  const auto first = fixture.reply(CallKind::start, ReplyStatus::deadlineExceeded);
  STRCMP_EQUAL("", fixture.calls().c_str());
  fixture.now += 50;
  fixture.sync();
  STRCMP_EQUAL("start a/1", fixture.calls().c_str());
  const auto second = fixture.reply(CallKind::start, ReplyStatus::ok);
  CHECK(first.leaseDeadline && second.leaseDeadline &&
        *second.leaseDeadline > *first.leaseDeadline);
  STRCMP_EQUAL("", fixture.reportedResults().c_str());
}

TEST(RunStartTests, startAtAnUnavailableWorkerIsAbandonedAfterThreeAttempts) {
  fixture.connectAndSendStart();
  for (int count = 0; count < 2; ++count) {
    fixture.reply(CallKind::start, ReplyStatus::unavailable);
    STRCMP_EQUAL("", fixture.calls().c_str());
    STRCMP_EQUAL("", fixture.reportedResults().c_str());
    STRCMP_EQUAL("start a/1", fixture.callsAfter(1000).c_str());
  }
  fixture.reply(CallKind::start, ReplyStatus::unavailable);
  STRCMP_EQUAL("", fixture.callsAfter(1000).c_str());
  STRCMP_EQUAL("a/1 refused", fixture.reportedResults().c_str());
}

TEST(RunStartTests, startAnsweredByAnotherInstanceIsRetriedLater) {
  fixture.connectAndStart(ReplyStatus::instanceMismatch);
  STRCMP_EQUAL("", fixture.calls().c_str());
  STRCMP_EQUAL("", fixture.reportedResults().c_str());
  STRCMP_EQUAL("start a/1", fixture.callsAfter(300).c_str());
}

TEST(RunStartTests, startWaitsForALease) {
  CHECK(fixture.heartbeat());
  // No leader has answered: a poll checks whether this instance runs at the address, and grants no
  // lease.
  STRCMP_EQUAL("poll", fixture.calls().c_str());
  CHECK_FALSE(fixture.replyToPoll().leaseDeadline.has_value());
  STRCMP_EQUAL("", fixture.calls().c_str());
  fixture.sync({startOf(1, "a")});
  fixture.now += 6000;
  STRCMP_EQUAL("", fixture.calls().c_str());
  fixture.sync();
  CHECK(fixture.calls().find("start a/1") != std::string::npos);
}
