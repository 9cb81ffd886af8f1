// Tests that an idle worker is told by one poll without a wait that its last results are final, and
// is not polled afterwards. docs/design.md 5.8.
#include "support/node_agent_fixture.hpp"

using namespace aniseline;
using namespace aniseline::agent_testing;

TEST_GROUP(IdleConfirmationTests) {
  NodeAgentFixture fixture;

  // Run a has succeeded, the leader holds its result, and no other run exists.
  void endLastRun() {
    fixture.connectWithOneEnded();
    fixture.sync({}, 1);
  }
};

TEST(IdleConfirmationTests, lastResultIsConfirmedThoughNothingRuns) {
  endLastRun();
  STRCMP_EQUAL("poll", fixture.callsAfter(200).c_str());
  const WorkerCall call = fixture.replyToPoll();
  LONGS_EQUAL(1, call.confirmedUpTo);
  LONGS_EQUAL(0, call.longPollTimeout.milliseconds);
}

TEST(IdleConfirmationTests, idleWorkerIsNotPolledOnceAllIsConfirmed) {
  endLastRun();
  fixture.callsAfter(200);
  fixture.replyToPoll();
  for (int second = 0; second < 30; ++second) {
    fixture.sync();
    STRCMP_EQUAL("", fixture.callsAfter(1000).c_str());
  }
}

TEST(IdleConfirmationTests, resultThatTheLeaderDoesNotHoldIsNotConfirmed) {
  fixture.connectWithOneEnded();
  for (int count = 0; count < 5; ++count) {
    fixture.sync();
    STRCMP_EQUAL("", fixture.callsAfter(300).c_str());
  }
}

TEST(IdleConfirmationTests, unansweredConfirmationIsRepeated) {
  endLastRun();
  fixture.callsAfter(200);
  fixture.reply(CallKind::poll, ReplyStatus::noResponse);
  fixture.sync();
  STRCMP_EQUAL("poll", fixture.callsAfter(300).c_str());
  LONGS_EQUAL(1, fixture.replyToPoll().confirmedUpTo);
}

TEST(IdleConfirmationTests, hostIsWokenUpForTheConfirmation) {
  endLastRun();
  CHECK(fixture.agent.nextWakeUp(fixture.time()) - fixture.time() <= Duration{200});
}

// Work that follows immediately causes a poll of its own, which also carries the confirmation.
TEST(IdleConfirmationTests, followingWorkConfirmsWithItsOwnPoll) {
  endLastRun();
  fixture.startRun("b", 2);
  STRCMP_EQUAL("poll", fixture.calls().c_str());
  const WorkerCall call = fixture.replyToPoll({running("b")});
  LONGS_EQUAL(1, call.confirmedUpTo);
  CHECK(call.longPollTimeout > Duration{0});
}
