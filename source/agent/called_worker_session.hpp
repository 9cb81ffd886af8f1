// The core of a worker that an agent calls: it carries out starts, stops and polls, stops all tasks
// when its lease expires, and keeps numbered results until a poll confirms them. It owns no
// sockets, clocks or threads: the worker program passes in calls and times on one thread, and
// executes the commands that it returns. docs/api.md 5. WorkerSession is its counterpart for
// workers that sync with the leader directly.
#ifndef ANISELINE_AGENT_CALLED_WORKER_SESSION_HPP
#define ANISELINE_AGENT_CALLED_WORKER_SESSION_HPP
#include "agent/worker_messages.hpp"
#include "agent/worker_session.hpp"

namespace aniseline {

class CalledWorkerSession {
 public:
  struct Options {
    Capacity capacity;
    // The longest lease that a call can obtain, in milliseconds.
    Duration maxLease{6000};
    std::size_t maxResultsPerPoll = 500;
    // The number of tasks whose latest run is remembered in order to reject late starts.
    std::size_t maxRememberedTasks = 100'000;
  };
  CalledWorkerSession(Options options, WorkerId workerInstance)
      : options(std::move(options)), workerInstance(std::move(workerInstance)) {}

  // Carries out a call. While a long poll waits, the same call may be passed in again for an
  // updated reply.
  WorkerReply onCall(const WorkerCall& call, WorkerTime now);
  // Stops all tasks if the lease has expired, and stops trials that have used up their quantum.
  void tick(WorkerTime now);
  // Handles a task that has ended without being stopped.
  void onTaskEnded(AttemptNumber attempt, bool succeeded, WorkerTime now);
  // Rejects all starts from now on.
  void startDraining() { draining = true; }
  // Stops all tasks, discards the state and continues as instance `next`.
  void onReplaced(WorkerId next);

  // Returns the pending commands for tasks, in order.
  std::vector<TaskCommand> takeCommands() { return std::exchange(commands, {}); }
  // Returns the results that a poll has confirmed since the last call.
  std::vector<ConfirmedResult> takeConfirmedResults() {
    return std::exchange(confirmedResults, {});
  }
  bool idle() const { return running.empty(); }
  bool empty() const { return running.empty() && unconfirmedResults.empty(); }
  const WorkerId& currentInstance() const { return workerInstance; }

 private:
  struct RunningTask {
    TaskRunId runId;
    Order order;
    WorkerTime startedAt;
  };
  using RunningTasks = std::map<AttemptNumber, RunningTask>;
  struct TaskResult {
    std::uint64_t sequenceNumber;
    TaskRunId runId;
    Order order;
    AttemptOutcome outcome;
  };

  WorkerReply start(const WorkerCall& call, WorkerTime now);
  WorkerReply stop(const WorkerCall& call, WorkerTime now);
  WorkerReply poll(const WorkerCall& call, WorkerTime now);
  void confirmResultsUpTo(std::uint64_t sequenceNumber);
  void extendLease(const std::optional<WorkerTime>& deadline, WorkerTime now);
  // Removes the task and keeps its result until it is confirmed.
  void finishTask(RunningTasks::iterator task, AttemptOutcome outcome);
  // Commands the program to stop the task.
  void stopTask(RunningTasks::iterator task, AttemptOutcome outcome);
  void stopAllTasks();
  bool hasCapacityFor(const Order& order) const;
  // Reports whether this run of the task, or a later one, has been started or stopped.
  bool isStale(const TaskRunId& runId) const;
  void rememberRun(const TaskRunId& runId);

  Options options;
  WorkerId workerInstance;
  // The highest term of any call.
  Term fencingTerm;
  WorkerTime leaseUntil{0};
  bool draining = false;
  RunningTasks running;
  std::deque<TaskResult> unconfirmedResults;
  std::uint64_t lastSequenceNumber = 0;
  // The number of the latest run that was started or stopped, by task. The key is a run id with run
  // number 0.
  std::map<TaskRunId, std::uint32_t> latestRuns;
  // The tasks in `latestRuns`, oldest first.
  std::deque<TaskRunId> rememberedTasks;
  std::vector<TaskCommand> commands;
  std::vector<ConfirmedResult> confirmedResults;
};

}  // namespace aniseline

#endif  // ANISELINE_AGENT_CALLED_WORKER_SESSION_HPP
