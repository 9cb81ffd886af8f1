// Tests of the choice of the current worker instance when registrations arrive late. docs/design.md
// 5.8.
#include "support/node_agent_fixture.hpp"

using namespace aniseline;
using namespace aniseline::agent_testing;

TEST_GROUP(InstanceTrackerTests) {
  NodeAgentFixture fixture;
};

TEST(InstanceTrackerTests, newInstanceInheritsNoState) {
  fixture.connect();
  fixture.startRun("a", 1);
  fixture.calls();
  fixture.replyToPoll({running("a")}, {resultOf(5, "b")});
  fixture.sync({}, 1);
  fixture.callsAfter(1500);  // a poll that the former instance answers too late
  fixture.becomeInstance("instance-2");
  LONGS_EQUAL(0, fixture.agent.runCount());
  fixture.replyToPoll({running("a")}, {resultOf(6, "c")});
  LONGS_EQUAL(0, fixture.agent.runCount());
  const auto report = fixture.sync({startOf(1, "d")});
  STRCMP_EQUAL("instance-2", report.id.value.c_str());
  STRCMP_EQUAL("", resultsIn(report).c_str());
  LONGS_EQUAL(0, report.lastAppliedOrder.value);
  STRCMP_EQUAL("start d/1, poll", fixture.calls().c_str());
  for (const auto& call : fixture.openCalls)
    STRCMP_EQUAL("instance-2", call.workerInstance.value.c_str());
  LONGS_EQUAL(0, fixture.openCalls.back().confirmedUpTo);
  fixture.instance = "instance-1";
  CHECK_FALSE(fixture.heartbeat());  // its last heartbeat arrives late
  STRCMP_EQUAL("instance-2", fixture.agent.workerInstance().value.c_str());
}

TEST(InstanceTrackerTests, newInstanceKeepsTheFencingTerm) {
  fixture.connect();
  fixture.becomeInstance("instance-2");
  fixture.term = Term{6};
  fixture.sync({startOf(1, "a")});
  STRCMP_EQUAL("", fixture.calls().c_str());
}

TEST(InstanceTrackerTests, overtakenRegistrationChangesNothing) {
  fixture.connect();
  CHECK(fixture.heartbeatNumbered(7));
  auto old = fixture.registration();
  old.sequence = 6;
  old.capacity.cores = 99;
  CHECK(fixture.agent.onRegistration(old, fixture.time()));
  LONGS_EQUAL(0, fixture.report().capacity.cores);
  // The leader is not told that the worker drains, so the drain must not be acknowledged either.
  old.draining = true;
  CHECK(fixture.agent.onRegistration(old, fixture.time()));
  CHECK_FALSE(fixture.sync().draining);
  CHECK_FALSE(fixture.drainAcknowledged());
  fixture.sequence = 1;
  fixture.becomeInstance("instance-2");  // numbers its registrations from 1 again
  old = fixture.registration();
  old.sequence = 2;
  old.capacity.cores = 5;
  CHECK(fixture.agent.onRegistration(old, fixture.time()));
  LONGS_EQUAL(5, fixture.report().capacity.cores);
}

// An agent process that never saw the former instance cannot recognize its id, so a poll decides.
TEST(InstanceTrackerTests, lateRegistrationOfAnUnknownInstanceDoesNotEndTheCurrentOne) {
  fixture.instance = "instance-2";
  fixture.connect();
  fixture.startRun("a", 1);
  fixture.instance = "instance-1";
  CHECK(fixture.heartbeat());
  LONGS_EQUAL(1, fixture.agent.runCount());
  const std::string calls = fixture.callsAfter(30);
  STRCMP_EQUAL("poll", calls.substr(0, 4).c_str());
  CHECK(fixture.openCalls.front().workerInstance == WorkerId{"instance-1"});
  fixture.reply(CallKind::poll, ReplyStatus::instanceMismatch);
  STRCMP_EQUAL("instance-2", fixture.agent.workerInstance().value.c_str());
  LONGS_EQUAL(1, fixture.agent.runCount());
  CHECK(fixture.agent.mayReport());
  fixture.instance = "instance-2";
  CHECK(fixture.heartbeat());
  STRCMP_EQUAL("instance-2", fixture.sync().id.value.c_str());
}

TEST(InstanceTrackerTests, candidateIsPolledAFewTimesForEachRegistration) {
  fixture.connect();
  fixture.instance = "instance-2";
  CHECK(fixture.heartbeat());
  std::size_t probes = 0;
  for (int turn = 0; turn < 100; ++turn) {
    fixture.callsAfter(100);
    for (auto& call : std::exchange(fixture.openCalls, {}))
      if (call.workerInstance == WorkerId{"instance-2"}) {
        ++probes;
        fixture.agent.onWorkerReply(call, WorkerReply{}, fixture.time());
      }
  }
  LONGS_EQUAL(NodeAgentOptions{}.maxInstanceProbes, probes);
  STRCMP_EQUAL("instance-1", fixture.agent.workerInstance().value.c_str());
}

// The leader gives up all runs of the former instance once a new one is reported, so the report
// waits for a reply of the new instance.
TEST(InstanceTrackerTests, instanceIsReportedOnceItHasReplied) {
  CHECK(fixture.heartbeat());
  CHECK_FALSE(fixture.agent.mayReport());
  STRCMP_EQUAL("poll", fixture.callsAfter(30).c_str());
  fixture.reply(CallKind::poll, ReplyStatus::instanceMismatch);
  CHECK_FALSE(fixture.agent.mayReport());
  STRCMP_EQUAL("", fixture.callsAfter(1000).c_str());
  CHECK(fixture.heartbeat());
  STRCMP_EQUAL("poll", fixture.callsAfter(30).c_str());
  // Another instance may send the same reply.
  fixture.reply(CallKind::poll, ReplyStatus::unavailable);
  CHECK_FALSE(fixture.agent.mayReport());
  STRCMP_EQUAL("poll", fixture.callsAfter(300).c_str());
  // The instance has seen a newer leader than this agent process has.
  fixture.reply(CallKind::poll, ReplyStatus::fenced);
  CHECK(fixture.agent.mayReport());
}

TEST(InstanceTrackerTests, instanceIsNotReportedWhileAnotherAnswersAtItsAddress) {
  fixture.connect();
  fixture.startRun("a", 1);
  fixture.callsAfter(1500);
  fixture.reply(CallKind::poll, ReplyStatus::instanceMismatch);
  CHECK_FALSE(fixture.agent.mayReport());
  CHECK(fixture.heartbeat());
  CHECK(fixture.callsAfter(300).find("poll") != std::string::npos);
  fixture.replyToPoll({running("a")});
  CHECK(fixture.agent.mayReport());
  LONGS_EQUAL(1, fixture.agent.runCount());
}

// All work there ends with its lease before the worker is used again.
TEST(InstanceTrackerTests, workerDeclaredGoneIsUnusedUntilItsLeaseHasExpired) {
  fixture.connect();
  fixture.startRun("a", 1);
  fixture.calls();
  fixture.replyToPoll({running("a")});
  const auto before = fixture.report();
  const std::int64_t replacedAt = fixture.now;
  fixture.agent.onDeclaredGone(fixture.time());
  LONGS_EQUAL(0, fixture.agent.runCount());
  // This response is addressed to the former incarnation.
  fixture.respond(before, fixture.response({startOf(2, "b")}));
  auto report = fixture.report();
  LONGS_EQUAL(before.incarnation.value + 1, report.incarnation.value);
  LONGS_EQUAL(0, report.lastAppliedOrder.value);
  STRCMP_EQUAL("", resultsIn(report).c_str());
  fixture.sync({startOf(1, "c")});
  while (fixture.now < replacedAt + 6200) {  // 6000 ms on a clock that is 2% slow
    fixture.sync();
    STRCMP_EQUAL("", fixture.callsAfter(100).c_str());
  }
  fixture.sync();
  STRCMP_EQUAL("poll", fixture.callsAfter(2000).c_str());
  fixture.replyToPoll({}, {resultOf(1, "a", AttemptOutcome::stopped)});
  STRCMP_EQUAL("start c/1", fixture.callsAfter(30).c_str());
}

// Otherwise the leader would place work on the new incarnation at once, and this work would wait
// for 7 s.
TEST(InstanceTrackerTests, workerDeclaredGoneIsNotReportedBeforeItIsUsable) {
  fixture.connect();
  fixture.startRun("a", 1);
  CHECK(fixture.agent.mayReport());
  fixture.agent.onDeclaredGone(fixture.time());
  CHECK_FALSE(fixture.agent.mayReport());
}
