// The core of a worker that syncs with the leader directly: it applies the leader's numbered
// orders, suspends tasks when the lease expires, ends trials, and reports results until they are
// confirmed. It owns no sockets, clocks or threads: net/client and the simulator pass in responses
// and times on one thread, and execute the commands that it returns. docs/design.md 5, docs/api.md
// 3. CalledWorkerSession is its counterpart for workers that an agent calls.
#ifndef ANISELINE_AGENT_WORKER_SESSION_HPP
#define ANISELINE_AGENT_WORKER_SESSION_HPP
#include "state/api_request.hpp"

namespace aniseline {

// A command from a session to the program that runs the tasks.
struct TaskCommand {
  enum class Kind : std::uint8_t { start, suspend, resume, stop } kind = Kind::start;
  AttemptNumber attempt;
  // Set for a start only.
  Order order;
};

// A final result, which the leader's log holds. docs/design.md 5.5.
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

  // Returns the report for the next sync. A lease granted by the response counts from `now`.
  SyncReport makeSyncReport(MonotonicTime now);
  // Handles the response to a report that incarnation `reportingIncarnation` made and sent at
  // `sentAt`. Returns false if the response was ignored, because it came too late, from a
  // superseded leader, or for an incarnation that has been replaced.
  bool onSyncResponse(Incarnation reportingIncarnation, const SyncResponse& response,
                      MonotonicTime sentAt, MonotonicTime now);
  // Handles the leader's message that this incarnation is replaced: stops all tasks and continues
  // as the next incarnation.
  void onReplaced(Incarnation next);
  // Suspends all tasks if the lease has expired, and ends trials that have used up their quantum.
  void tick(MonotonicTime now);
  // Handles a task that has ended without being stopped.
  void onTaskEnded(AttemptNumber attempt, bool succeeded, MonotonicTime now);
  // Starts no further tasks. Running tasks may continue for `timeout` milliseconds.
  void startDraining(Duration timeout);

  // Returns the results that the leader has confirmed since the last call.
  std::vector<ConfirmedResult> takeConfirmedResults() {
    return std::exchange(confirmedResults, {});
  }
  // Returns the pending commands for tasks, in order.
  std::vector<TaskCommand> takeCommands() { return std::exchange(commands, {}); }
  // Reports whether there is news that the leader should receive immediately.
  bool hasUrgentReport() const {
    return resultsOrDrainUnreported() || lastAppliedOrder != reportedAppliedOrder;
  }
  // Reports whether no lease has been granted yet or the last one has expired.
  bool leaseExpired() const { return withoutLease; }
  bool empty() const { return tasks.empty() && unconfirmedResults.empty(); }
  // Returns the highest term of a leader whose response was followed.
  Term term() const { return highestTerm; }
  Incarnation currentIncarnation() const { return incarnation; }
  // Returns the earliest time at which tick has work to do.
  MonotonicTime nextWakeUp() const;
  const std::vector<Address>& gateways() const { return knownGateways; }
  std::size_t taskCount() const { return tasks.size(); }

 private:
  struct RunningTask {
    Order order;
    // A member of a gang that has not been launched.
    bool staged = false;
    bool suspendedByOrder = false;
    bool suspendedByLease = false;
    bool started = false;
    MonotonicTime activeSince;
    // The run time accumulated before `activeSince`; a trial's quantum limits the total.
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
  // Sets or clears one of the reasons for which a task is suspended.
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
  // Results that are reported until the leader confirms them.
  std::map<AttemptNumber, TaskResult> unconfirmedResults;
  std::vector<ConfirmedResult> confirmedResults;
  std::vector<TaskCommand> commands;
  std::vector<Address> knownGateways;
};

}  // namespace aniseline

#endif  // ANISELINE_AGENT_WORKER_SESSION_HPP
