// Runs a node agent against a leader and a worker that are both played by the test: calls are read
// as text, and each test answers, loses or delays them. docs/design.md 5.8.
#ifndef ANISELINE_TESTS_SUPPORT_NODE_AGENT_FIXTURE_HPP
#define ANISELINE_TESTS_SUPPORT_NODE_AGENT_FIXTURE_HPP
#include "agent/node_agent.hpp"
#include <CppUTest/TestHarness.h>

namespace aniseline::agent_testing {

using CallKind = WorkerCall::Kind;
using ReplyStatus = WorkerReply::Status;

// Run ids, orders and poll entries that are identified by their job alone.
inline TaskRunId runIdOf(const std::string& job, std::uint32_t runNumber = 1) {
  return TaskRunId{JobId{job}, 0, 0, 0, runNumber};
}
inline std::string textOf(const TaskRunId& runId) {
  return runId.job.value + "/" + std::to_string(runId.runNumber);
}
inline Order orderOf(std::uint64_t number, OrderKind kind, const std::string& job,
                     std::uint32_t runNumber = 1) {
  Order order;
  order.number = OrderNumber{number};
  order.kind = kind;
  order.job = JobId{job};
  order.runNumber = runNumber;
  order.payload = "work of " + job;
  return order;
}
inline Order startOf(std::uint64_t number, const std::string& job, std::uint32_t runNumber = 1) {
  return orderOf(number, OrderKind::start, job, runNumber);
}
inline Order stopOf(std::uint64_t number, const std::string& job, std::uint32_t runNumber = 1) {
  return orderOf(number, OrderKind::stop, job, runNumber);
}
inline WorkerReply::RunningTask running(const std::string& job,
                                        const std::string& checkpoint = "") {
  return {runIdOf(job), checkpoint};
}
inline WorkerReply::RunResult resultOf(std::uint64_t number, const std::string& job,
                                       AttemptOutcome outcome = AttemptOutcome::succeeded) {
  return {number, runIdOf(job), outcome, ""};
}

// Helpers for tests that pass in every time explicitly.
inline WorkerRegistration registrationOf(const std::string& instance, std::int64_t clockReading) {
  WorkerRegistration registration;
  registration.workerInstance = WorkerId{instance};
  registration.clockReading = WorkerTime{clockReading};
  return registration;
}
inline SyncResponse responseOf(std::vector<Order> orders, std::uint64_t ordersAfter) {
  SyncResponse response;
  response.term = Term{1};
  response.orders = std::move(orders);
  response.ordersAfter = OrderNumber{ordersAfter};
  return response;
}
inline std::set<std::string> startedJobs(NodeAgent& agent, std::int64_t now) {
  std::set<std::string> jobs;
  for (const auto& call : agent.takeCalls(MonotonicTime{now})) {
    if (call.kind == CallKind::start)
      jobs.insert(call.runId.job.value);
  }
  return jobs;
}

// Returns the results of a report as text, in its order.
inline std::string resultsIn(const SyncReport& report) {
  std::string text;
  for (const auto& result : report.runResults)
    text += (text.empty() ? "" : ", ") + textOf(result.runId) + " " + name(result.outcome);
  return text;
}

struct NodeAgentFixture {
  // The readings of the agent's and the worker's clock at the beginning of a test.
  static constexpr std::int64_t agentClockStart = 100'000;
  static constexpr std::int64_t workerClockStart = 5'000'000;

  NodeAgent agent{NodeAgentOptions{}};
  std::int64_t now = agentClockStart;
  // The rate of the worker's clock relative to the agent's.
  double clockRate = 1.0;
  Term term{7};
  Duration lease{6000};
  std::string instance = "instance-1";
  // The sequence number of the next registration; 0 if registrations are not numbered.
  std::uint64_t sequence = 0;
  // Calls in flight to the worker.
  std::vector<WorkerCall> openCalls;

  MonotonicTime time() const { return MonotonicTime{now}; }
  WorkerTime workerClock(std::int64_t at) const {
    return WorkerTime{workerClockStart + std::int64_t(double(at - agentClockStart) * clockRate)};
  }

  // Messages of the worker.

  WorkerRegistration registration(bool draining = false) const {
    WorkerRegistration message;
    message.workerInstance = WorkerId{instance};
    message.draining = draining;
    message.drainTimeout = Duration{draining ? 2000 : 0};
    message.clockReading = workerClock(now);
    message.sequence = sequence;
    return message;
  }
  bool heartbeat(bool draining = false) {
    return agent.onRegistration(registration(draining), time());
  }
  bool heartbeatNumbered(std::uint64_t number) {
    sequence = number;
    return heartbeat();
  }
  bool drainNotice() { return agent.onDrainNotice(WorkerId{instance}, Duration{2000}, time()); }
  bool drainAcknowledged() const { return agent.drainAcknowledged(WorkerId{instance}); }
  // Registers another instance while one is current, and answers the poll addressed to it.
  void becomeInstance(const std::string& name) {
    instance = name;
    CHECK(heartbeat());
    callsAfter(30);
    const auto probe =
        std::find_if(openCalls.begin(), openCalls.end(),
                     [&](const WorkerCall& call) { return call.workerInstance.value == name; });
    CHECK_TEXT(probe != openCalls.end(),
               "no call is addressed to the instance named in a registration");
    const WorkerCall call = *probe;
    openCalls.erase(probe);
    agent.onWorkerReply(call, pollReply({}, {}), time());
    STRCMP_EQUAL(name.c_str(), agent.workerInstance().value.c_str());
  }
  // Takes the calls that the agent makes now, and returns them as text; they stay open until they
  // are answered.
  std::string calls() {
    static const char* const names[] = {"start ", "stop ", "poll"};
    std::string text;
    for (auto& call : agent.takeCalls(time())) {
      text += (text.empty() ? "" : ", ") + std::string(names[int(call.kind)]) +
              (call.kind == CallKind::poll ? "" : textOf(call.runId));
      openCalls.push_back(std::move(call));
    }
    return text;
  }
  std::string callsAfter(std::int64_t span) {
    now += span;
    return calls();
  }
  WorkerCall takeOpenCall(CallKind kind, const std::string& job = "") {
    auto found = std::find_if(openCalls.begin(), openCalls.end(), [&](const WorkerCall& call) {
      return call.kind == kind && (job.empty() || call.runId.job.value == job);
    });
    CHECK_TEXT(found != openCalls.end(), "no such call is in flight");
    WorkerCall call = *found;
    openCalls.erase(found);
    return call;
  }
  WorkerCall reply(CallKind kind, ReplyStatus status, const std::string& job = "") {
    const WorkerCall call = takeOpenCall(kind, job);
    WorkerReply reply;
    reply.status = status;
    if (status != ReplyStatus::noResponse)
      reply.clockReading = workerClock(now);
    agent.onWorkerReply(call, reply, time());
    return call;
  }
  WorkerReply pollReply(std::vector<WorkerReply::RunningTask> runningTasks,
                        std::vector<WorkerReply::RunResult> results) const {
    WorkerReply reply;
    reply.status = ReplyStatus::ok;
    reply.clockReading = workerClock(now);
    reply.runningTasks = std::move(runningTasks);
    reply.results = std::move(results);
    return reply;
  }
  WorkerCall replyToPoll(std::vector<WorkerReply::RunningTask> runningTasks = {},
                         std::vector<WorkerReply::RunResult> results = {}) {
    const WorkerCall call = takeOpenCall(CallKind::poll);
    agent.onWorkerReply(call, pollReply(std::move(runningTasks), std::move(results)), time());
    return call;
  }

  // Messages of the leader.

  SyncResponse response(std::vector<Order> orders, std::uint32_t finalResultCount = 0) const {
    SyncResponse message;
    message.term = term;
    message.lease = lease;
    message.orders = std::move(orders);
    message.finalResultCount = finalResultCount;
    return message;
  }
  // Makes one sync with the leader, which responds at once.
  SyncReport sync(std::vector<Order> orders = {}, std::uint32_t finalResultCount = 0) {
    auto report = agent.makeSyncReport(time());
    respond(report, response(std::move(orders), finalResultCount));
    return report;
  }
  // Delivers the response to a report now, as if the report had been sent now.
  void respond(const SyncReport& report, const SyncResponse& response) {
    agent.onSyncResponse(report, response, time(), time());
  }
  SyncReport report() { return agent.makeSyncReport(time()); }
  std::string reportedResults() { return resultsIn(report()); }
  std::uint64_t appliedOrder() { return report().lastAppliedOrder.value; }

  // Initial states of tests.

  // The worker has registered, the leader has granted a lease, and the first poll returned no runs.
  void connect() {
    CHECK(heartbeat());
    sync();
    STRCMP_EQUAL("poll", calls().c_str());
    replyToPoll();
    now += 30;
  }
  // Has the leader order a run and the worker start it.
  void startRun(const std::string& job, std::uint64_t number = 1) {
    sync({startOf(number, job)});
    CHECK(calls().find("start " + job) != std::string::npos);
    reply(CallKind::start, ReplyStatus::ok, job);
    now += 30;
  }
  // Connects; order 1 starts run a, and the start is in flight.
  void connectAndSendStart() {
    connect();
    sync({startOf(1, "a")});
    STRCMP_EQUAL("start a/1", calls().c_str());
  }
  // Connects and sends the start of run a, which gets this reply.
  void connectAndStart(ReplyStatus status) {
    connectAndSendStart();
    reply(CallKind::start, status);
  }
  // Run a may have started, because its start got no reply; order 2 stops it, and the stop is in
  // flight.
  void connectAndStopUnansweredStart() {
    connectAndStart(ReplyStatus::noResponse);
    sync({stopOf(2, "a")});
    STRCMP_EQUAL("stop a/1", calls().c_str());
  }
  // Orders 1 and 2 started runs a and b; the first poll shows that a has succeeded.
  void connectWithOneEndedOneRunning() {
    connect();
    startRun("a", 1);
    startRun("b", 2);
    calls();
    replyToPoll({running("b")}, {resultOf(1, "a")});
  }
  // Order 1 started run a; a poll shows that it has succeeded.
  void connectWithOneEnded() {
    connect();
    startRun("a", 1);
    calls();
    replyToPoll({}, {resultOf(1, "a")});
  }
};

}  // namespace aniseline::agent_testing

#endif  // ANISELINE_TESTS_SUPPORT_NODE_AGENT_FIXTURE_HPP
