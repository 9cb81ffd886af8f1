// The core of a worker that is called rather than calls: starts, stops, looks, its hold, numbered
// endings. Sans-IO. docs/api.md 5. WorkerSession is its fellow for workers that call.
#ifndef ANISELINE_AGENT_CALLED_WORKER_SESSION_HPP
#define ANISELINE_AGENT_CALLED_WORKER_SESSION_HPP
#include "agent/worker_session.hpp"
#include "agent/node_agent.hpp"

namespace aniseline {

class CalledWorkerSession {
 public:
  struct Options {
    Capacity capacity;
    Duration maxLease{6000};
    std::size_t maxResultsPerPoll = 500;  // of one look
    std::size_t maxRememberedTasks =
        100'000;  // tasks whose latest run is remembered against starts that come late
  };
  CalledWorkerSession(Options options, WorkerId workerInstance)
      : options(std::move(options)), workerInstance(std::move(workerInstance)) {}

  // Carries a call out; the answer of a look may be asked for again by the same call while its wait
  // lasts.
  WorkerReply onCall(const WorkerCall& call, WorkerTime now);
  // Kills all when the hold is over, and ends trials that have used their time.
  void tick(WorkerTime now);
  void onTaskEnded(AttemptNumber attempt, bool well, WorkerTime now);
  void startDraining() { draining = true; }
  // Another life begins: nothing of this one runs on.
  void onReplaced(WorkerId next);

  std::vector<TaskCommand> takeCommands() { return std::exchange(commands, {}); }
  std::vector<std::pair<Order, AttemptOutcome>> takeConfirmedResults() {
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
  struct TaskResult {
    std::uint64_t sequenceNumber;
    TaskRunId runId;
    Order order;
    AttemptOutcome outcome;
  };
  WorkerReply start(const WorkerCall& call, WorkerTime now);
  WorkerReply stop(const WorkerCall& call);
  WorkerReply poll(const WorkerCall& call, WorkerTime now);
  void extendLease(const std::optional<WorkerTime>& deadline, WorkerTime now);
  void finishTask(std::map<AttemptNumber, RunningTask>::iterator task, AttemptOutcome kind,
                  bool byItself);
  bool fits(const Order& order) const;
  bool rememberRun(
      const TaskRunId& name);  // false: this run or a later one of the task is known already

  Options options;
  WorkerId workerInstance;
  Term fencingTerm;
  WorkerTime leaseUntil{0};
  bool draining = false;
  std::map<AttemptNumber, RunningTask> running;
  std::deque<TaskResult> unconfirmedResults;
  std::uint64_t lastSequenceNumber = 0;
  std::map<TaskRunId, std::uint32_t> latestRuns;  // by task: the latest run begun or stopped
  std::deque<TaskRunId> rememberedTasks;          // the tasks of `latest`, the oldest first
  std::vector<TaskCommand> commands;
  std::vector<std::pair<Order, AttemptOutcome>> confirmedResults;
};

}  // namespace aniseline

#endif  // ANISELINE_AGENT_CALLED_WORKER_SESSION_HPP
