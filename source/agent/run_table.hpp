// The task runs of one worker by their ids, the orders about them that are still open, and the
// calls for them that are in flight. Owned and called by NodeAgent. docs/design.md 5.8.
#ifndef ANISELINE_AGENT_RUN_TABLE_HPP
#define ANISELINE_AGENT_RUN_TABLE_HPP
#include "agent/node_agent_options.hpp"
#include "agent/tracked_run.hpp"

namespace aniseline {

class RunTable {
 public:
  explicit RunTable(const NodeAgentOptions& options) : options(options) {}

  bool empty() const { return runs.empty(); }
  std::size_t size() const { return runs.size(); }
  bool contains(const TaskRunId& runId) const { return runs.count(runId) != 0; }
  bool anyRunning() const;
  bool anyUncertain() const;

  // Orders. A second start of a run changes nothing.
  void start(const TaskRunId& runId, const Order& order, MonotonicTime now);
  void launch(const TaskRunId& runId, const Order& order, MonotonicTime now);
  void stop(const TaskRunId& runId, const Order& order, MonotonicTime now);
  // An earlier process of the agent may have sent the run's start, if the run is known.
  void assumeMaybeStarted(const TaskRunId& runId);
  // The first order that is not carried out yet, if any.
  std::optional<OrderNumber> oldestOpenOrder() const;

  // Shows the visitor each run for which a call may be made now, while the limit of concurrent
  // calls allows one more. `visit` takes the run's id and the run.
  template <class Visitor>
  void forEachCallable(MonotonicTime now, Visitor visit) {
    for (auto& [runId, run] : runs) {
      if (callsInFlight < options.maxConcurrentCalls && run.callAllowed(now))
        visit(runId, run);
    }
  }
  void beginCall(TrackedRun& run);
  // A reply to a start or a stop; `nextPoll` is the first poll that shows what happens from now on.
  void onReply(const WorkerCall& call, WorkerReply::Status status, MonotonicTime now,
               std::uint64_t nextPoll);

  // The first time at which a run needs a call that is not in flight, which may have passed;
  // nothing if none does.
  std::optional<MonotonicTime> nextCallAt() const;

  // A poll shows that this runs.
  void onRunListed(const TaskRunId& runId);
  // A poll shows none but these, running or over. Returns the runs that have surely never started,
  // each with what it is to be reported as.
  std::vector<TaskRunResult> resolveUnlisted(const std::set<TaskRunId>& listedRuns,
                                             std::uint64_t poll);

  // The run is over: its orders are carried out.
  void erase(const TaskRunId& runId);
  // The worker's incarnation is replaced. Calls in flight stay so until they are over.
  void clear();

 private:
  void completeOrders(TrackedRun& run);
  void addOrder(TrackedRun& run, OrderNumber number);

  NodeAgentOptions options;
  std::map<TaskRunId, TrackedRun> runs;
  std::set<OrderNumber> openOrders;
  std::size_t callsInFlight = 0;
};

}  // namespace aniseline

#endif  // ANISELINE_AGENT_RUN_TABLE_HPP
