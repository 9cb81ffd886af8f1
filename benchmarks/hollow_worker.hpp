// Stands in for a worker with its agent, as the leader sees them: which orders it received, when
// its tasks end, and which results it has yet to report. Driven by the flow benchmark.
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

  SyncReport makeReport(bool longPoll, std::int64_t now);
  bool hasUrgentReport(std::int64_t now) const;
  // The answer to a report that was sent: results that are final, and new orders.
  void onResponse(const SyncReport& report, const SyncResponse& response, const JobsById& jobs,
                  Random& random, std::int64_t now);
  // Ends the tasks whose time has come.
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
  std::vector<TaskRunResult> results;  // that are not yet final
  std::size_t reportedResults = 0;     // of these, from the first on
  std::int64_t appliedReportedAt = 0;
};

}  // namespace aniseline::benchmarks

#endif  // ANISELINE_BENCHMARKS_HOLLOW_WORKER_HPP
