// Runs a node agent between models of a worker and a leader, in virtual time and with faults drawn
// from one seed: calls are lost or carried out late, the leader becomes unreachable, and the agent
// is killed. The worker model follows all rules of the platform. docs/design.md 5.5, 5.8.
#include "agent/node_agent.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

namespace {

using CallKind = WorkerCall::Kind;
using ReplyStatus = WorkerReply::Status;

// The first violation of a rule.
struct Violation {
  std::string text;
  void note(std::int64_t now, const std::string& description, const TaskRunId& runId) {
    if (text.empty())
      text = description + ": " + runId.job.value + "/" + std::to_string(runId.runNumber) + " at " +
             std::to_string(now);
  }
};

// A worker that follows the platform's rules: fencing, leases, increasing run numbers, and results
// that are listed until a poll confirms them.
struct WorkerModel {
  Random& random;
  Violation& violation;
  double rate;
  std::int64_t now = 0;
  std::uint64_t fencingTerm = 0, lastSequenceNumber = 0;
  std::int64_t deadline = 0;
  struct RunningTask {
    std::int64_t endAt;
    AttemptOutcome outcome;
  };
  struct Result {
    std::uint64_t sequenceNumber;
    TaskRunId runId;
    AttemptOutcome outcome;
    bool isVoid;
  };
  std::map<TaskRunId, RunningTask> running;
  std::vector<Result> results;
  std::map<JobId, std::uint32_t> highestRun;  // a run with this number or a lower one is rejected
  std::map<JobId, std::uint32_t> confirmedRuns;  // run number with a confirmed success, by job
  std::map<TaskRunId, AttemptOutcome> outcomes;  // of ended runs only
  std::set<TaskRunId> started;

  WorkerModel(Random& random, Violation& violation, double rate)
      : random(random), violation(violation), rate(rate) {}
  std::int64_t clock() const { return 1'000'000 + std::int64_t(double(now) * rate); }
  void end(const TaskRunId& runId, AttemptOutcome outcome) {
    highestRun[runId.job] = std::max(highestRun[runId.job], runId.runNumber);
    results.push_back({++lastSequenceNumber, runId, outcome, false});
    outcomes[runId] = outcome;
  }
  void step(std::int64_t time) {
    now = time;
    if (clock() >= deadline) {
      for (const auto& [runId, run] : running)
        end(runId, AttemptOutcome::stopped);
      running.clear();
      for (auto& result : results)
        result.isVoid = true;
    }
    for (auto run = running.begin(); run != running.end();)
      if (run->second.endAt <= now) {
        end(run->first, run->second.outcome);
        run = running.erase(run);
      } else
        ++run;
  }
  WorkerReply onCall(const WorkerCall& call) {
    WorkerReply reply;
    if (random.chance(0.03)) {
      reply.status = ReplyStatus::unavailable;
      return reply;
    }
    reply.clockReading = WorkerTime{clock()};
    if (call.fencingTerm.value < fencingTerm) {
      reply.status = ReplyStatus::fenced;
      return reply;
    }
    fencingTerm = call.fencingTerm.value;
    if (call.leaseDeadline && call.kind != CallKind::stop)
      deadline =
          std::max(deadline, std::min(call.leaseDeadline->milliseconds, clock() + longestLease));
    reply.status = ReplyStatus::ok;
    if (call.kind == CallKind::start)
      reply.status = start(call);
    else if (call.kind == CallKind::stop)
      stop(call.runId);
    else
      poll(call, reply);
    return reply;
  }

 private:
  static constexpr std::int64_t longestLease = 6000;
  static constexpr std::size_t capacity = 6;

  ReplyStatus start(const WorkerCall& call) {
    const TaskRunId& runId = call.runId;
    if (running.count(runId))
      return ReplyStatus::ok;
    const bool another = std::any_of(running.begin(), running.end(),
                                     [&](const auto& run) { return run.first.job == runId.job; });
    if (another || runId.runNumber <= highestRun[runId.job])
      return ReplyStatus::staleRun;
    if (!call.leaseDeadline || call.leaseDeadline->milliseconds <= clock())
      return ReplyStatus::deadlineExceeded;
    if (running.size() >= capacity)
      return ReplyStatus::insufficientCapacity;
    if (confirmedRuns.count(runId.job))
      violation.note(now, "started after a success was confirmed", runId);
    started.insert(runId);
    running[runId] = {now + random.between(50, 4000),
                      random.chance(0.8) ? AttemptOutcome::succeeded : AttemptOutcome::failed};
    return ReplyStatus::ok;
  }
  // A stop takes some time, during which the run may still end without it.
  void stop(const TaskRunId& runId) {
    auto run = running.find(runId);
    if (run == running.end()) {
      highestRun[runId.job] = std::max(highestRun[runId.job], runId.runNumber);
      return;
    }
    run->second = {std::min(run->second.endAt, now + random.between(1, 400)),
                   run->second.endAt <= now ? run->second.outcome : AttemptOutcome::stopped};
  }
  void poll(const WorkerCall& call, WorkerReply& reply) {
    std::erase_if(results, [&](const Result& result) {
      if (result.sequenceNumber > call.confirmedUpTo)
        return false;
      if (result.outcome == AttemptOutcome::succeeded && !result.isVoid)
        confirm(result.runId);
      return true;
    });
    for (const auto& [runId, run] : running)
      reply.runningTasks.push_back({runId, ""});
    for (const auto& result : results)
      reply.results.push_back({result.sequenceNumber, result.runId, result.outcome, ""});
  }
  void confirm(const TaskRunId& confirmed) {
    confirmedRuns[confirmed.job] = confirmed.runNumber;
    for (const auto& runId : started) {
      if (runId.job == confirmed.job && runId.runNumber > confirmed.runNumber)
        violation.note(now, "confirmed although a later run was started", confirmed);
    }
  }
};

struct AgentModel {
  Random random;
  Violation violation;
  std::int64_t now = 1000;
  WorkerModel worker;
  NodeAgent agent{NodeAgentOptions{}};
  // The leader's state: each job is one task, which is ordered again until one of its runs
  // succeeds.
  std::uint64_t term = 1, lastOrder = 0, applied = 0;
  std::deque<Order> orders;
  std::map<JobId, std::uint32_t> running;  // the number of the current run
  std::set<TaskRunId> stopped, confirmed;
  std::set<JobId> succeeded;
  std::int64_t leaderUnreachableUntil = 0;
  struct Message {
    std::int64_t at;
    std::function<void()> action;
  };
  std::vector<Message> inFlight;
  std::uint64_t process = 0;  // messages to a killed process are lost
  bool syncing = false;

  AgentModel(std::uint64_t seed, double rate) : random(seed), worker(random, violation, rate) {}

  void schedule(std::int64_t delay, std::function<void()> action) {
    inFlight.push_back({now + delay, std::move(action)});
  }
  void order(OrderKind kind, const TaskRunId& runId) {
    Order newOrder;
    newOrder.number = OrderNumber{++lastOrder};
    newOrder.kind = kind;
    newOrder.job = runId.job;
    newOrder.runNumber = runId.runNumber;
    orders.push_back(newOrder);
  }
  void begin(const JobId& job, std::uint32_t run) {
    running[job] = run;
    order(OrderKind::start, TaskRunId{job, 0, 0, 0, run});
  }
  // Applies a report to the leader's state and returns the response.
  SyncResponse onReport(const SyncReport& report) {
    if (report.lastAppliedOrder.value > applied)
      applied = std::min(report.lastAppliedOrder.value, lastOrder);
    while (!orders.empty() && orders.front().number.value <= applied)
      orders.pop_front();
    SyncResponse response;
    response.term = Term{term};
    response.lease = Duration{6000};
    for (const auto& result : report.runResults) {
      ++response.finalResultCount;
      const TaskRunId& runId = result.runId;
      // An ended run is not started when a new process receives the order again.
      for (auto& order : orders)
        if (TaskRunId::of(order) == runId)
          order.kind = OrderKind::stop;
      if (!confirmed.insert(runId).second)
        continue;
      const bool neverStarted = result.outcome == AttemptOutcome::neverStarted ||
                                result.outcome == AttemptOutcome::rejected;
      if (neverStarted && worker.started.count(runId))
        violation.note(now, "reported as never started, but it had", runId);
      if (!neverStarted && !worker.outcomes.count(runId))
        violation.note(now, "reported as ended, but it had not", runId);
      if (result.outcome == AttemptOutcome::succeeded &&
          worker.outcomes[runId] != AttemptOutcome::succeeded)
        violation.note(now, "reported as succeeded, but it had not", runId);
      auto currentRun = running.find(runId.job);
      if (currentRun == running.end() || currentRun->second != runId.runNumber)
        continue;
      running.erase(currentRun);
      if (result.outcome == AttemptOutcome::succeeded)
        succeeded.insert(runId.job);
      else
        begin(runId.job, runId.runNumber + 1);
    }
    for (const auto& order : orders)
      if (order.number.value >
          std::max(report.lastAppliedOrder.value, report.lastReceivedOrder.value))
        response.orders.push_back(order);
    return response;
  }
  void sync(bool faultFree) {
    if (!agent.mayReport() || syncing)
      return;
    syncing = true;
    const auto report = agent.makeSyncReport(MonotonicTime{now});
    const std::int64_t sentAt = now;
    const auto sender = process;
    const bool lost = !faultFree && random.chance(0.1);
    schedule(random.between(1, 30), [=, this] {
      if (now < leaderUnreachableUntil) {
        schedule(200, [=, this] {
          if (sender == process)
            syncing = false;
        });
        return;
      }
      const auto response = onReport(report);
      schedule(random.between(1, 30), [=, this] {
        if (sender != process)
          return;
        syncing = false;
        if (!lost)
          agent.onSyncResponse(report, response, MonotonicTime{sentAt}, MonotonicTime{now});
      });
    });
  }
  void sendCall(const WorkerCall& call, bool faultFree) {
    const auto sender = process;
    auto reply = [this, sender, call](const WorkerReply& reply) {
      if (sender == process)
        agent.onWorkerReply(call, reply, MonotonicTime{now});
    };
    // No reply: the call is lost, or carried out at once or seconds later.
    if (!faultFree && random.chance(0.15)) {
      if (random.chance(0.6))
        schedule(random.between(1, random.chance(0.5) ? 100 : 4000),
                 [this, call] { worker.onCall(call); });
      schedule(500, [reply] { reply(WorkerReply{}); });
      return;
    }
    schedule(random.between(1, 20), [this, call, reply] {
      const auto workerReply = worker.onCall(call);
      schedule(random.between(1, 20), [reply, workerReply] { reply(workerReply); });
    });
  }
  void heartbeat() {
    WorkerRegistration registration;
    registration.workerInstance = WorkerId{"instance"};
    registration.clockReading = WorkerTime{worker.clock()};
    agent.onRegistration(registration, MonotonicTime{now});
  }
  // Injects faults for `faultyTime` milliseconds, then lets all work end. Returns the first
  // violation, or an empty text.
  std::string run(std::int64_t faultyTime) {
    heartbeat();
    for (int count = 0; count < 5; ++count)
      begin(JobId{"job" + std::to_string(count)}, 1);
    std::int64_t nextHeartbeat = now + heartbeatInterval;
    const std::int64_t until = now + faultyTime;
    const std::int64_t last = until + 40'000;
    while (now < last) {
      now += 5;
      const bool faultFree = now >= until;
      worker.step(now);
      if (!faultFree)
        injectRandomFaults();
      deliverMessages();
      if (now >= nextHeartbeat) {
        heartbeat();
        nextHeartbeat += heartbeatInterval;
      }
      for (const auto& call : agent.takeCalls(MonotonicTime{now}))
        sendCall(call, faultFree);
      if (agent.hasUrgentReport(MonotonicTime{now}) || random.chance(0.02))
        sync(faultFree);
      if (!violation.text.empty())
        return violation.text;
    }
    return unfinishedWork();
  }

 private:
  static constexpr std::int64_t heartbeatInterval = 1500;

  void injectRandomFaults() {
    if (random.chance(0.0004))
      leaderUnreachableUntil = now + random.between(100, 9000);
    if (random.chance(0.0004))
      ++term;
    if (random.chance(0.0006))
      restartAgent();
    if (random.chance(0.003) && !running.empty()) {
      auto currentRun = std::next(running.begin(), std::ptrdiff_t(random.next() % running.size()));
      const TaskRunId runId{currentRun->first, 0, 0, 0, currentRun->second};
      if (stopped.insert(runId).second)
        order(OrderKind::stop, runId);
    }
    if (random.chance(0.004))
      begin(JobId{"more" + std::to_string(now)}, 1);
  }
  // Kills the agent; its next process starts without state.
  void restartAgent() {
    ++process;
    syncing = false;
    agent = NodeAgent{NodeAgentOptions{}};
    heartbeat();
  }
  void deliverMessages() {
    for (std::size_t index = 0; index < inFlight.size();) {
      if (inFlight[index].at > now) {
        ++index;
        continue;
      }
      auto action = std::move(inFlight[index].action);
      inFlight.erase(inFlight.begin() + std::ptrdiff_t(index));
      action();
    }
  }
  std::string unfinishedWork() const {
    for (const auto& runId : worker.started) {
      if (!confirmed.count(runId))
        return "started and never reported as ended: " + runId.job.value + "/" +
               std::to_string(runId.runNumber);
    }
    if (!running.empty())
      return "never succeeded: " + running.begin()->first.value + "/" +
             std::to_string(running.begin()->second);
    for (const auto& runId : confirmed) {
      if (worker.started.count(runId) && !worker.outcomes.count(runId))
        return "confirmed, but it has not ended: " + runId.job.value;
    }
    return "";
  }
};

}  // namespace

TEST_GROUP(NodeAgentModelTests){};

TEST(NodeAgentModelTests, rulesHoldUnderRandomFaults) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    AgentModel model(seed, 1.0);
    const std::string violation = model.run(30'000);
    CHECK_TEXT(violation.empty(), ("seed " + std::to_string(seed) + ": " + violation).c_str());
    CHECK(model.succeeded.size() > 5);
  }
}
