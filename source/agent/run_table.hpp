// The task runs of one worker by run id, their open orders, and their calls in flight. Owned and
// called by NodeAgent. docs/design.md 5.8.
#ifndef ANISELINE_AGENT_RUN_TABLE_HPP
#define ANISELINE_AGENT_RUN_TABLE_HPP
#include "agent/node_agent_options.hpp"
#include "agent/tracked_run.hpp"
#include "base/latency_summary.hpp"

namespace aniseline {

class RunTable {
 public:
  explicit RunTable(const NodeAgentOptions& options) : options(options) {}

  bool empty() const { return runs.empty(); }
  std::size_t size() const { return runs.size(); }
  bool contains(const TaskRunId& runId) const { return runs.count(runId) != 0; }
  bool anyRunning() const;
  bool anyUncertain() const;

  // Carry out orders. A second start of the same run has no effect.
  void start(const TaskRunId& runId, const Order& order, MonotonicTime now);
  void launch(const TaskRunId& runId, const Order& order, MonotonicTime now);
  void stop(const TaskRunId& runId, const Order& order, MonotonicTime now);
  // Records that an earlier process of the agent may have sent the run's start, if the run is
  // known.
  void assumeMaybeStarted(const TaskRunId& runId);
  // Returns the first order that has not been carried out yet, if any.
  std::optional<OrderNumber> oldestOpenOrder() const;

  // Calls `visit` with the id and state of each run that may be called now, as long as the limit of
  // concurrent calls allows another call.
  template <class Visitor>
  void forEachCallable(MonotonicTime now, Visitor visit) {
    for (auto& [runId, run] : runs) {
      if (callsInFlight < options.maxConcurrentCalls && run.callAllowed(now))
        visit(runId, run);
    }
  }
  void beginCall(TrackedRun& run);
  // Handles the reply to a start or a stop; `nextPoll` is the first poll that reflects the state
  // after the reply.
  void onReply(const WorkerCall& call, WorkerReply::Status status, MonotonicTime now,
               std::uint64_t nextPoll);

  // Returns how long the starts since the last call took, from their orders to the worker's
  // answers.
  LatencyQuantiles takeStartLatency() { return startLatency.take(); }

  // Returns the earliest time at which a run without a call in flight needs a call, which may be in
  // the past; nothing if no run needs one.
  std::optional<MonotonicTime> nextCallAt() const;

  // Handles a poll that lists the run as running.
  void onRunListed(const TaskRunId& runId);
  // Handles a complete poll that lists only these runs as running or ended. Returns the runs that
  // certainly never started, each with the outcome to report.
  std::vector<TaskRunResult> resolveUnlisted(const std::set<TaskRunId>& listedRuns,
                                             std::uint64_t poll);

  // Removes a run that has ended, and completes its orders.
  void erase(const TaskRunId& runId);
  // Removes all runs because the worker's incarnation is replaced. Calls in flight stay counted
  // until they end.
  void clear();

 private:
  void completeOrders(TrackedRun& run);
  void addOrder(TrackedRun& run, OrderNumber number);

  NodeAgentOptions options;
  std::map<TaskRunId, TrackedRun> runs;
  std::set<OrderNumber> openOrders;
  std::size_t callsInFlight = 0;
  LatencySummary startLatency;
};

}  // namespace aniseline

#endif  // ANISELINE_AGENT_RUN_TABLE_HPP
