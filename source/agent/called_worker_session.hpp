// The core of a worker that is called by an agent: it carries out starts, stops and polls, ends all
// tasks when its lease expires, and keeps numbered results until a poll confirms them. Without
// sockets, clocks and threads: the worker program passes in calls and times on one thread, and
// carries out the commands that come out. docs/api.md 5. WorkerSession is its counterpart for
// workers that sync with the leader by themselves.
#ifndef ANISELINE_AGENT_CALLED_WORKER_SESSION_HPP
#define ANISELINE_AGENT_CALLED_WORKER_SESSION_HPP
#include "agent/worker_messages.hpp"
#include "agent/worker_session.hpp"

namespace aniseline {

class CalledWorkerSession {
 public:
  struct Options {
    Capacity capacity;
    // The longest lease that a call is granted, in milliseconds.
    Duration maxLease{6000};
    std::size_t maxResultsPerPoll = 500;
    // So many tasks' latest runs are remembered, to reject starts that come late.
    std::size_t maxRememberedTasks = 100'000;
  };
  CalledWorkerSession(Options options, WorkerId workerInstance)
      : options(std::move(options)), workerInstance(std::move(workerInstance)) {}

  // Carries a call out. While a poll's wait lasts, the same call may be passed in again for a newer
  // reply.
  WorkerReply onCall(const WorkerCall& call, WorkerTime now);
  // Ends everything when the lease has expired, and trials that have used their time.
  void tick(WorkerTime now);
  // A task has ended by itself.
  void onTaskEnded(AttemptNumber attempt, bool succeeded, WorkerTime now);
  // Starts are rejected from now on.
  void startDraining() { draining = true; }
  // Another instance begins: nothing of this one runs on.
  void onReplaced(WorkerId next);

  // What is to be done with tasks, in order.
  std::vector<TaskCommand> takeCommands() { return std::exchange(commands, {}); }
  // Results that a poll has confirmed since the last call.
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
  // The task has ended by itself.
  void finishTask(RunningTasks::iterator task, AttemptOutcome outcome);
  // The program is asked to stop the task.
  void stopTask(RunningTasks::iterator task, AttemptOutcome outcome);
  void stopAllTasks();
  bool hasCapacityFor(const Order& order) const;
  // This run of the task, or a later one, has been started or stopped.
  bool isStale(const TaskRunId& runId) const;
  void rememberRun(const TaskRunId& runId);

  Options options;
  WorkerId workerInstance;
  // The highest term of a call.
  Term fencingTerm;
  WorkerTime leaseUntil{0};
  bool draining = false;
  RunningTasks running;
  std::deque<TaskResult> unconfirmedResults;
  std::uint64_t lastSequenceNumber = 0;
  // By task, which is a run with number 0: the latest run that was started or stopped.
  std::map<TaskRunId, std::uint32_t> latestRuns;
  // The tasks of `latestRuns`, the oldest first.
  std::deque<TaskRunId> rememberedTasks;
  std::vector<TaskCommand> commands;
  std::vector<ConfirmedResult> confirmedResults;
};

}  // namespace aniseline

#endif  // ANISELINE_AGENT_CALLED_WORKER_SESSION_HPP
