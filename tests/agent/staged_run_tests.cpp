// Tests of gang members, which are staged at the agent and started when they are launched.
// docs/design.md 7.3.
#include "support/node_agent_fixture.hpp"

using namespace aniseline;
using namespace aniseline::agent_testing;

TEST_GROUP(StagedRunTests) {
  NodeAgent agent{NodeAgentOptions{}};

  void setup() override {
    CHECK(agent.onRegistration(registrationOf("m.1", 1000), MonotonicTime{0}));
  }
  void order(std::uint64_t number, OrderKind kind, const std::string& job, MonotonicTime now) {
    SyncResponse response;
    response.term = Term{2};
    response.orders.push_back(orderOf(number, kind, job));
    agent.onSyncResponse(agent.makeSyncReport(now), response, now, now);
  }
  // Returns the number of starts that the agent sends now; each of its calls succeeds.
  long startCalls(MonotonicTime now) {
    long count = 0;
    for (const auto& call : agent.takeCalls(now)) {
      count += call.kind == CallKind::start;
      WorkerReply reply;
      reply.status = ReplyStatus::ok;
      reply.clockReading = WorkerTime{1000 + now.milliseconds};
      agent.onWorkerReply(call, reply, now);
    }
    return count;
  }
};

TEST(StagedRunTests, stagedRunIsStartedWhenItIsLaunched) {
  order(1, OrderKind::stage, "gang", MonotonicTime{10});
  LONGS_EQUAL(0, startCalls(MonotonicTime{20}));
  LONGS_EQUAL(1, long(agent.makeSyncReport(MonotonicTime{21}).lastAppliedOrder.value));
  order(2, OrderKind::launch, "gang", MonotonicTime{30});
  LONGS_EQUAL(1, long(agent.makeSyncReport(MonotonicTime{31}).lastAppliedOrder.value));
  LONGS_EQUAL(1, startCalls(MonotonicTime{40}));
  LONGS_EQUAL(2, long(agent.makeSyncReport(MonotonicTime{41}).lastAppliedOrder.value));
}

// One run is stopped before it is launched, and the other was staged by an earlier process of the
// agent.
TEST(StagedRunTests, runThatIsNotStagedHereIsReportedNeverStarted) {
  order(1, OrderKind::stage, "gang", MonotonicTime{10});
  order(2, OrderKind::launch, "gang", MonotonicTime{30});
  LONGS_EQUAL(1, startCalls(MonotonicTime{40}));
  order(3, OrderKind::stage, "taken", MonotonicTime{50});
  order(4, OrderKind::stop, "taken", MonotonicTime{60});
  order(5, OrderKind::launch, "unknown", MonotonicTime{70});
  LONGS_EQUAL(0, startCalls(MonotonicTime{80}));
  const auto results = agent.makeSyncReport(MonotonicTime{90}).runResults;
  LONGS_EQUAL(2, long(results.size()));
  for (const auto& result : results)
    CHECK(result.outcome == AttemptOutcome::neverStarted);
}
