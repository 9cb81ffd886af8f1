// Tests of a worker that announces its shutdown. docs/design.md 5.7, 5.8.
#include "support/node_agent_fixture.hpp"

using namespace aniseline;
using namespace aniseline::agent_testing;

TEST_GROUP(WorkerDrainTests) {
  NodeAgentFixture fixture;
};

TEST(WorkerDrainTests, drainingWorkerIsReportedAndStartsNothing) {
  fixture.connect();
  fixture.startRun("a", 1);
  CHECK_FALSE(fixture.agent.hasUrgentReport(fixture.time()));
  CHECK(fixture.heartbeat(true));
  CHECK(fixture.agent.hasUrgentReport(fixture.time()));
  CHECK_FALSE(fixture.agent.drainAcknowledged(WorkerId{fixture.instance}));
  const auto report = fixture.sync({startOf(2, "b")});
  CHECK(report.draining);
  LONGS_EQUAL(2000, report.drainTimeout.milliseconds);
  CHECK(fixture.agent.drainAcknowledged(WorkerId{fixture.instance}));
  const std::string calls = fixture.calls();
  CHECK_TEXT(calls.find("start") == std::string::npos && calls.find("stop") == std::string::npos,
             calls.c_str());
  STRCMP_EQUAL("b/1 unstarted", fixture.reportedResults().c_str());
  CHECK(fixture.heartbeat(false));  // a registration that was sent before the drain started
  CHECK(fixture.sync().draining);
}

TEST(WorkerDrainTests, unansweredStartIsStoppedWhenTheWorkerDrains) {
  fixture.connectAndStart(ReplyStatus::noResponse);
  CHECK(fixture.heartbeat(true));
  STRCMP_EQUAL("stop a/1", fixture.callsAfter(30).c_str());
  STRCMP_EQUAL("", fixture.reportedResults().c_str());
  fixture.reply(CallKind::stop, ReplyStatus::ok);
  fixture.callsAfter(30);
  fixture.replyToPoll();
  STRCMP_EQUAL("a/1 unstarted", fixture.reportedResults().c_str());
}

// Work on a draining worker continues under its lease, and its results count.
TEST(WorkerDrainTests, drainingWorkerKeepsItsLeaseAndItsResultsCount) {
  fixture.connect();
  fixture.startRun("a", 1);
  CHECK(fixture.drainNotice());
  CHECK(fixture.agent.hasUrgentReport(fixture.time()));
  CHECK_FALSE(fixture.drainAcknowledged());
  CHECK(fixture.agent.mayReport());
  LONGS_EQUAL(1, fixture.agent.runCount());
  const auto report = fixture.sync({startOf(2, "b")});
  CHECK(report.draining);
  LONGS_EQUAL(2000, report.drainTimeout.milliseconds);
  CHECK(fixture.drainAcknowledged());
  fixture.callsAfter(1500);
  STRCMP_EQUAL("b/1 unstarted", fixture.reportedResults().c_str());
  const auto poll = fixture.replyToPoll({running("a")});
  CHECK_TEXT(poll.leaseDeadline && *poll.leaseDeadline > fixture.workerClock(fixture.now),
             "the lease of a draining worker is no longer renewed");
  fixture.sync({}, 1);
  fixture.callsAfter(1500);
  fixture.replyToPoll({}, {resultOf(1, "a")});
  STRCMP_EQUAL("a/1 finished", fixture.reportedResults().c_str());
}

TEST(WorkerDrainTests, drainingWorkerIsPolledUntilItStopsReplying) {
  fixture.connect();
  CHECK(fixture.drainNotice());
  fixture.sync();
  STRCMP_EQUAL("poll", fixture.callsAfter(1100).c_str());
  fixture.replyToPoll();
  STRCMP_EQUAL("", fixture.callsAfter(500).c_str());
  fixture.sync();
  STRCMP_EQUAL("poll", fixture.callsAfter(600).c_str());
  fixture.reply(CallKind::poll, ReplyStatus::noResponse);
  fixture.now += 800;
  CHECK(fixture.sync().unresponsive);
  // The leader concludes that no work can run there any more, and declares the worker gone.
  fixture.agent.onDeclaredGone(fixture.time());
  CHECK_FALSE(fixture.agent.mayReport());
  CHECK(fixture.drainAcknowledged());
  fixture.now += 20'000;
  fixture.heartbeat();  // a late heartbeat
  CHECK_FALSE(fixture.agent.mayReport());
  STRCMP_EQUAL("", fixture.callsAfter(30).c_str());
}

TEST(WorkerDrainTests, workerDeclaredGoneMayDrain) {
  fixture.connect();
  fixture.agent.onDeclaredGone(fixture.time());
  CHECK(fixture.heartbeat(true));
  CHECK(fixture.drainAcknowledged());
  fixture.callsAfter(20'000);
  CHECK_FALSE(fixture.agent.mayReport());
}

TEST(WorkerDrainTests, laterHeartbeatDoesNotRevokeADrain) {
  fixture.connect();
  CHECK(fixture.heartbeatNumbered(4));
  CHECK(fixture.drainNotice());
  // Newer and not draining: only the notice announced the drain.
  CHECK(fixture.heartbeatNumbered(5));
  CHECK(fixture.heartbeatNumbered(3));  // an overtaken heartbeat
  const auto report = fixture.sync();
  CHECK(report.draining);
  LONGS_EQUAL(2000, report.drainTimeout.milliseconds);
  CHECK(fixture.drainAcknowledged());
}

TEST(WorkerDrainTests, drainNoticeOfADrainingWorkerChangesNothing) {
  fixture.connect();
  fixture.startRun("a", 1);
  CHECK(fixture.heartbeat(true));
  fixture.sync();
  CHECK(fixture.drainNotice());
  CHECK(fixture.drainAcknowledged());
  LONGS_EQUAL(1, fixture.agent.runCount());
  CHECK(fixture.agent.mayReport());
}

// The previous process received the worker's registrations; this one receives its drain notice
// first.
TEST(WorkerDrainTests, drainNoticeBeforeAnyRegistrationIsRemembered) {
  CHECK_FALSE(fixture.drainNotice());
  CHECK_FALSE(fixture.drainAcknowledged());
  CHECK(fixture.heartbeat());
  CHECK(fixture.report().draining);
  LONGS_EQUAL(2000, fixture.report().drainTimeout.milliseconds);
}
