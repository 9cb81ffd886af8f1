// Tests of orders in sync responses that are late, lost or reordered. docs/design.md 5.3, 5.8.
#include "support/node_agent_fixture.hpp"

using namespace aniseline;
using namespace aniseline::agent_testing;

TEST_GROUP(OrderStreamTests) {
  NodeAgentFixture fixture;
};

TEST(OrderStreamTests, ordersMayStartAtAnyNumberAndAreCarriedOutOnce) {
  fixture.connect();
  fixture.sync({startOf(41, "a"), startOf(42, "b")});
  STRCMP_EQUAL("start a/1, start b/1", fixture.calls().c_str());
  LONGS_EQUAL(40, fixture.appliedOrder());
  LONGS_EQUAL(42, fixture.report().lastReceivedOrder.value);
  fixture.sync({startOf(41, "a"), startOf(42, "b")});
  STRCMP_EQUAL("", fixture.calls().c_str());
  fixture.reply(CallKind::start, ReplyStatus::ok, "b");
  LONGS_EQUAL(40, fixture.appliedOrder());  // order 41 has not been carried out yet
  fixture.reply(CallKind::start, ReplyStatus::ok, "a");
  LONGS_EQUAL(42, fixture.appliedOrder());
  fixture.sync({startOf(41, "a"), startOf(42, "b"), startOf(43, "c")});
  CHECK(fixture.calls().find("start c/1") == 0);
}

// An overtaken response repeats an order whose run has been reported and confirmed in the meantime.
TEST(OrderStreamTests, orderIsNotRepeatedAfterItsRunIsConfirmed) {
  fixture.connect();
  const auto overtaken = fixture.report();
  fixture.startRun("a", 1);
  fixture.calls();
  fixture.replyToPoll({}, {resultOf(1, "a")});
  fixture.sync({}, 1);
  fixture.respond(overtaken, fixture.response({startOf(1, "a")}));
  STRCMP_EQUAL("", fixture.callsAfter(30).c_str());
  LONGS_EQUAL(1, fixture.appliedOrder());
}

TEST(OrderStreamTests, ordersOfAnOlderTermAreIgnored) {
  fixture.connect();
  const auto report = fixture.report();
  fixture.term = Term{8};
  fixture.sync();
  fixture.term = Term{7};
  fixture.respond(report, fixture.response({startOf(1, "a")}));
  STRCMP_EQUAL("", fixture.calls().c_str());
  LONGS_EQUAL(0, fixture.report().lastReceivedOrder.value);
}

TEST(OrderStreamTests, ordersInAResponsePastItsLeaseAreIgnored) {
  fixture.connect();
  const auto report = fixture.report();
  const MonotonicTime sentAt = fixture.time();
  fixture.now += 6000;
  fixture.agent.onSyncResponse(report, fixture.response({startOf(1, "a")}), sentAt, fixture.time());
  STRCMP_EQUAL("", fixture.calls().c_str());
  LONGS_EQUAL(0, fixture.report().lastReceivedOrder.value);
  fixture.sync({startOf(1, "a")});  // the leader sends the orders again
  CHECK(fixture.calls().find("start a/1") != std::string::npos);
}

TEST(OrderStreamTests, ordersForAnotherInstanceAreIgnored) {
  fixture.connect();
  const auto report = fixture.report();
  fixture.becomeInstance("instance-2");
  fixture.respond(report, fixture.response({startOf(1, "a")}));
  CHECK(fixture.calls().find("start") == std::string::npos);
}

// Two syncs wait at the leader, which sends each order in only one of the responses. If the later
// response arrives first, the orders of the earlier one are neither lost nor reported as applied.
// docs/design.md 5.3.
TEST(OrderStreamTests, responseThatOvertakesAnotherLosesNoOrder) {
  fixture.connect();
  fixture.startRun("a", 1);
  const auto patient = fixture.report();
  const auto urgent = fixture.report();
  fixture.respond(urgent, fixture.response({startOf(4, "d")}));
  const auto applied = fixture.appliedOrder();
  CHECK_TEXT(applied < 2, "orders that never came are reported as applied");
  fixture.respond(patient, fixture.response({startOf(2, "b"), startOf(3, "c")}));
  // Orders that are not applied are sent again.
  fixture.sync({startOf(2, "b"), startOf(3, "c"), startOf(4, "d")});
  const std::string calls = fixture.calls();
  for (const char* wanted : {"start b/1", "start c/1", "start d/1"})
    CHECK_TEXT(calls.find(wanted) != std::string::npos, calls.c_str());
}

// The leader stops a run that it gave up. While the response with that stop is missing, the agent
// does not send the start that the stop cancels. docs/incidents.md 12.
TEST(OrderStreamTests, nothingIsStartedWhileOrdersAreKnownToBeMissing) {
  fixture.heartbeat();
  fixture.sync({startOf(1, "a")});
  // The agent was cut off before it sent the start: the lease has long expired, and the leader has
  // started the task elsewhere.
  fixture.now += 20'000;
  fixture.heartbeat();
  auto first = fixture.report();
  fixture.now += 5;
  auto second = fixture.report();
  auto later = fixture.response({});
  later.ordersAfter = OrderNumber{2};
  fixture.respond(second, later);
  for (const auto& call : fixture.agent.takeCalls(fixture.time()))
    CHECK(call.kind != CallKind::start);
  auto earlier = fixture.response({stopOf(2, "a")});
  earlier.ordersAfter = OrderNumber{1};
  fixture.respond(first, earlier);
  for (const auto& call : fixture.agent.takeCalls(fixture.time()))
    CHECK(call.kind != CallKind::start);
}

// Orders in a response that came too late were not accepted; later orders must not make them appear
// received.
TEST(OrderStreamTests, ordersOfALateResponseAreNotSkipped) {
  NodeAgent agent{NodeAgentOptions{}};
  agent.onRegistration(registrationOf("w", 1000), MonotonicTime{0});
  const auto first = agent.makeSyncReport(MonotonicTime{0});
  const auto second = agent.makeSyncReport(MonotonicTime{3900});
  agent.onSyncResponse(first, responseOf({startOf(1, "a")}, 0), MonotonicTime{0},
                       MonotonicTime{4000});
  agent.onSyncResponse(second, responseOf({startOf(2, "b")}, 1), MonotonicTime{3900},
                       MonotonicTime{4001});
  CHECK(startedJobs(agent, 4002).empty());
  LONGS_EQUAL(0, agent.makeSyncReport(MonotonicTime{4003}).lastReceivedOrder.value);
  agent.onSyncResponse(second, responseOf({startOf(1, "a"), startOf(2, "b")}, 0),
                       MonotonicTime{3900}, MonotonicTime{4500});
  LONGS_EQUAL(2, startedJobs(agent, 4501).size());
}
