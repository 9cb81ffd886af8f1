// The core of a worker that syncs with the leader by itself: it applies the leader's numbered
// orders, suspends tasks when the lease expires, ends trials, and reports results until they are
// confirmed. Without sockets, clocks and threads: net/client and the simulator pass in responses
// and times on one thread, and carry out the commands that come out. docs/design.md 5,
// docs/api.md 3. CalledWorkerSession is its counterpart for workers that are called by an agent.
#ifndef ANISELINE_AGENT_WORKER_SESSION_HPP
#define ANISELINE_AGENT_WORKER_SESSION_HPP
#include "state/api_request.hpp"

namespace aniseline {

// What a session asks of the program that runs the tasks.
struct TaskCommand {
  enum class Kind : std::uint8_t { start, suspend, resume, stop } kind = Kind::start;
  AttemptNumber attempt;
  // Of a start.
  Order order;
};

// A result that is final: the leader's log holds it. docs/design.md 5.5.
struct ConfirmedResult {
  Order order;
  AttemptOutcome outcome;
};

class WorkerSession {
 public:
  struct Options {
    WorkerId id;
    Capacity capacity;
    // How long a sync may wait for orders, in milliseconds.
    Duration longPollTimeout{1000};
  };
  WorkerSession(Options options, Incarnation incarnation)
      : options(std::move(options)), incarnation(incarnation) {}

  // The next sync's report. A lease that its response grants counts from now on.
  SyncReport makeSyncReport(MonotonicTime now);
  // The response to a report that was made by incarnation `reported` and sent at `sentAt`. False:
  // it was not followed, because it came too late, from a superseded leader, or for an incarnation
  // that has been replaced.
  bool onSyncResponse(Incarnation reportingIncarnation, const SyncResponse& response,
                      MonotonicTime sentAt, MonotonicTime now);
  // The leader says that this incarnation is replaced: everything stops, and the next one begins.
  void onReplaced(Incarnation next);
  // Suspends all tasks when the lease has expired, and ends trials that have used their time.
  void tick(MonotonicTime now);
  // A task has ended by itself.
  void onTaskEnded(AttemptNumber attempt, bool succeeded, MonotonicTime now);
  // Nothing starts from now on. What runs may go on for that many milliseconds.
  void startDraining(Duration timeout);

  // Results that the leader has confirmed since the last call.
  std::vector<ConfirmedResult> takeConfirmedResults() {
    return std::exchange(confirmedResults, {});
  }
  // What is to be done with tasks, in order.
  std::vector<TaskCommand> takeCommands() { return std::exchange(commands, {}); }
  // There is something that the leader should hear at once.
  bool hasUrgentReport() const {
    return resultsOrDrainUnreported() || lastAppliedOrder != reportedAppliedOrder;
  }
  // No lease has been granted, or the last one has expired.
  bool leaseExpired() const { return withoutLease; }
  bool empty() const { return tasks.empty() && unconfirmedResults.empty(); }
  // The highest term of a leader that was followed.
  Term term() const { return highestTerm; }
  Incarnation currentIncarnation() const { return incarnation; }
  // The earliest time at which tick has something to do.
  MonotonicTime nextWakeUp() const;
  const std::vector<Address>& gateways() const { return knownGateways; }
  std::size_t taskCount() const { return tasks.size(); }

 private:
  struct RunningTask {
    Order order;
    // Part of a gang that has not been launched.
    bool staged = false;
    bool suspendedByOrder = false;
    bool suspendedByLease = false;
    bool started = false;
    MonotonicTime activeSince;
    // The run time before `activeSince`; a trial's quantum limits it.
    Duration timeUsed;

    bool isActive() const { return started && !suspendedByOrder && !suspendedByLease; }
    bool isTrial() const { return order.quantum.milliseconds > 0; }
  };
  struct TaskResult {
    Order order;
    AttemptOutcome outcome;
  };

  void applyOrder(const Order& order, MonotonicTime now);
  void startOrStage(const Order& order, MonotonicTime now);
  void launch(AttemptNumber attempt, MonotonicTime now);
  void stop(AttemptNumber attempt);
  // Sets one of the reasons for which a task is suspended.
  void setSuspended(RunningTask& task, bool RunningTask::*reason, bool suspended,
                    MonotonicTime now);
  void setAllSuspendedByLease(bool suspended, MonotonicTime now);
  void finishTask(AttemptNumber attempt, AttemptOutcome outcome);
  void reportNeverStarted(AttemptNumber attempt);
  void confirmResult(AttemptNumber attempt);
  void addCommand(TaskCommand::Kind kind, AttemptNumber attempt) {
    commands.push_back({kind, attempt, {}});
  }
  bool resultsOrDrainUnreported() const {
    return !unconfirmedResults.empty() || draining != reportedDraining;
  }

  Options options;
  Incarnation incarnation;
  OrderNumber lastAppliedOrder;
  OrderNumber reportedAppliedOrder;
  Term highestTerm;
  MonotonicTime leaseUntil{0};
  bool withoutLease = true;
  bool draining = false;
  bool reportedDraining = false;
  Duration drainTimeout{0};
  std::map<AttemptNumber, RunningTask> tasks;
  // Reported until the leader confirms them.
  std::map<AttemptNumber, TaskResult> unconfirmedResults;
  std::vector<ConfirmedResult> confirmedResults;
  std::vector<TaskCommand> commands;
  std::vector<Address> knownGateways;
};

}  // namespace aniseline

#endif  // ANISELINE_AGENT_WORKER_SESSION_HPP
