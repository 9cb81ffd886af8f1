// Tests of the reports about a worker that leaves calls unanswered. docs/design.md 5.8.
#include "support/node_agent_fixture.hpp"

using namespace aniseline;
using namespace aniseline::agent_testing;

TEST_GROUP(WorkerContactTests) {
  NodeAgentFixture fixture;
};

// A report that the worker is unresponsive remains in force until the leader has answered a later
// report.
TEST(WorkerContactTests, responseToAnEarlierReportDoesNotUnblockStarts) {
  fixture.heartbeat();
  fixture.sync();
  const auto before = fixture.report();  // its response arrives late
  const MonotonicTime sentAt = fixture.time();
  fixture.now += 10;
  for (const auto& call : fixture.agent.takeCalls(fixture.time()))
    fixture.agent.onWorkerReply(call, WorkerReply{}, fixture.time());
  fixture.now += 800;
  const auto unresponsive = fixture.report();
  CHECK(unresponsive.unresponsive);
  CHECK(before.reportedAt < unresponsive.reportedAt);
  fixture.now += 5;
  fixture.heartbeat();  // the worker responds again
  for (const auto& call : fixture.agent.takeCalls(fixture.time())) {
    WorkerReply heard;
    heard.status = ReplyStatus::ok;
    heard.clockReading = fixture.workerClock(fixture.now);
    fixture.agent.onWorkerReply(call, heard, fixture.time());
  }
  fixture.agent.onSyncResponse(before, fixture.response({startOf(1, "a")}), sentAt, fixture.time());
  for (const auto& call : fixture.agent.takeCalls(fixture.time()))
    CHECK(call.kind != CallKind::start);
  fixture.now += 5;
  const auto after = fixture.report();
  CHECK(!after.unresponsive);
  fixture.respond(after, fixture.response({}));
  std::size_t starts = 0;
  for (const auto& call : fixture.agent.takeCalls(fixture.time()))
    starts += call.kind == CallKind::start;
  LONGS_EQUAL(1, starts);
}
