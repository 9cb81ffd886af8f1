// Tests of a node agent that was killed and restarts without state. docs/design.md 5.8.
#include "support/node_agent_fixture.hpp"

using namespace aniseline;
using namespace aniseline::agent_testing;

TEST_GROUP(AgentRestartTests) {
  NodeAgentFixture fixture;
};

// A restarted agent learns from the worker's poll replies which runs are running and which have
// ended. It neither stops nor restarts any of them.
TEST(AgentRestartTests, restartedAgentNeitherStopsNorRestartsListedRuns) {
  CHECK(fixture.heartbeat());
  fixture.sync({startOf(5, "a"), startOf(6, "d")});  // carried out by the previous process
  STRCMP_EQUAL("start a/1, start d/1, poll", fixture.calls().c_str());
  LONGS_EQUAL(0, fixture.openCalls.back().confirmedUpTo);
  fixture.reply(CallKind::start, ReplyStatus::ok, "a");        // it is already running
  fixture.reply(CallKind::start, ReplyStatus::staleRun, "d");  // it has ended
  const std::vector<WorkerReply::RunResult> over{resultOf(3, "d"),
                                                 resultOf(4, "e", AttemptOutcome::failed)};
  fixture.replyToPoll({running("a"), running("c", "x1")}, over);
  const auto report = fixture.report();
  STRCMP_EQUAL("d/1 finished, e/1 failed", resultsIn(report).c_str());
  LONGS_EQUAL(6, report.lastAppliedOrder.value);
  LONGS_EQUAL(1, report.checkpoints.size());
  for (int count = 0; count < 40; ++count) {
    fixture.sync();
    const std::string calls = fixture.callsAfter(100);
    CHECK_TEXT(calls.empty() || calls == "poll", calls.c_str());
    if (!calls.empty())
      fixture.replyToPoll({running("a"), running("c", "x1")}, over);
  }
  STRCMP_EQUAL("d/1 finished, e/1 failed", fixture.reportedResults().c_str());
  fixture.sync({stopOf(7, "c")});  // an order can stop a run that only a poll has shown
  CHECK(fixture.calls().find("stop c/1") != std::string::npos);
}

TEST(AgentRestartTests, lostFirstPollIsRepeated) {
  CHECK(fixture.heartbeat());
  fixture.sync();
  STRCMP_EQUAL("poll", fixture.calls().c_str());
  fixture.reply(CallKind::poll, ReplyStatus::noResponse);
  STRCMP_EQUAL("poll", fixture.callsAfter(100).c_str());
  fixture.replyToPoll({running("a")});
  LONGS_EQUAL(1, fixture.agent.runCount());
}

// The run of the repeated order had ended and was confirmed before the restart: the worker rejects
// the start, and nothing runs.
TEST(AgentRestartTests, runConfirmedBeforeTheRestartIsNotRunAgain) {
  CHECK(fixture.heartbeat());
  fixture.sync({startOf(5, "a")});
  fixture.calls();
  fixture.reply(CallKind::start, ReplyStatus::staleRun);
  fixture.replyToPoll();  // started before the rejection, so it proves nothing
  STRCMP_EQUAL("poll", fixture.callsAfter(300).c_str());
  fixture.replyToPoll();
  STRCMP_EQUAL("stop a/1", fixture.callsAfter(30).c_str());
  fixture.reply(CallKind::stop, ReplyStatus::ok);
  fixture.callsAfter(300);
  fixture.replyToPoll();
  STRCMP_EQUAL("a/1 unstarted", fixture.reportedResults().c_str());
  STRCMP_EQUAL("", fixture.callsAfter(300).c_str());
}

// The first orders that a new process receives may have been carried out by the previous one: the
// run may exist, or its start may still be in flight. The run is stopped and polled for before it
// is reported as never started.
TEST(AgentRestartTests, runThatMayHaveStartedBeforeTheRestartIsNotReportedNeverStarted) {
  for (const bool draining : {false, true}) {
    fixture = NodeAgentFixture{};
    CHECK(fixture.heartbeat(draining));
    if (draining)
      fixture.sync({startOf(5, "a")});
    else
      fixture.sync({startOf(5, "a"), stopOf(6, "a")});
    fixture.calls();  // these include the poll
    STRCMP_EQUAL("", fixture.reportedResults().c_str());
    CHECK(std::any_of(fixture.openCalls.begin(), fixture.openCalls.end(),
                      [](const WorkerCall& call) { return call.kind == CallKind::stop; }));
    fixture.reply(CallKind::stop, ReplyStatus::ok);
    fixture.replyToPoll({running("a")});
    fixture.callsAfter(300);
    fixture.replyToPoll({}, {resultOf(1, "a")});
    STRCMP_EQUAL("a/1 finished", fixture.reportedResults().c_str());
  }
}

TEST(AgentRestartTests, startRejectedForCapacityAfterTheRestartIsStopped) {
  CHECK(fixture.heartbeat());
  fixture.sync({startOf(5, "a")});
  fixture.calls();
  // A start sent by the previous process may still arrive.
  fixture.reply(CallKind::start, ReplyStatus::insufficientCapacity);
  STRCMP_EQUAL("stop a/1", fixture.calls().c_str());
  STRCMP_EQUAL("", fixture.reportedResults().c_str());
}
