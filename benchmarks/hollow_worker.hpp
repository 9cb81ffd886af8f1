// Simulates a worker and its agent as the leader sees them: which orders it received, when its
// tasks end, and which results it still has to report. It runs no processes. Called by the flow
// benchmark.
#ifndef ANISELINE_BENCHMARKS_HOLLOW_WORKER_HPP
#define ANISELINE_BENCHMARKS_HOLLOW_WORKER_HPP
#include "benchmarks/workload.hpp"
#include "agent/node_agent.hpp"

namespace aniseline::benchmarks {

class HollowWorker {
 public:
  using JobsById = std::map<JobId, const JobSubmission*>;

  HollowWorker(std::size_t index, Capacity capacity, OrderNumber lastOrder)
      : index(index),
        capacity(std::move(capacity)),
        received(lastOrder),
        applied(lastOrder),
        reportedApplied(lastOrder) {}

  // Returns the next report for the leader and records its contents as reported.
  SyncReport makeReport(bool longPoll, std::int64_t now);
  // Reports whether there are unreported results, or applied orders that were not reported in time.
  bool hasUrgentReport(std::int64_t now) const;
  // Handles the response to a report: drops the results that are final, and executes new orders.
  void onResponse(const SyncReport& report, const SyncResponse& response, const JobsById& jobs,
                  Random& random, std::int64_t now);
  // Ends the tasks whose runtime has elapsed.
  void endTasks(std::int64_t now);

  const std::size_t index;
  bool longPollInFlight = false;
  bool urgentSyncInFlight = false;

 private:
  struct RunningTask {
    std::int64_t endsAt = 0;
    bool fails = false;
  };
  void dropFinalResults(const SyncReport& report, std::size_t count);
  void start(const Order& order, const JobsById& jobs, Random& random, std::int64_t now);

  Capacity capacity;
  OrderNumber received, applied, reportedApplied;
  std::map<TaskRunId, RunningTask> running;
  std::vector<TaskRunResult> results;  // not yet final
  std::size_t reportedResults = 0;     // number of results, from the first on, that were reported
  std::int64_t appliedReportedAt = 0;
};

}  // namespace aniseline::benchmarks

#endif  // ANISELINE_BENCHMARKS_HOLLOW_WORKER_HPP
