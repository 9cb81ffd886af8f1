// The replicated cluster state: configuration, jobs, workers and attempts as a
// fold of the log's events. Each controller applies the committed records to
// one state, and while it leads also to a speculative one; both on the
// controller's own thread. docs/design.md 3.2, 4, 5.
#ifndef ANISELINE_STATE_CLUSTER_STATE_HPP
#define ANISELINE_STATE_CLUSTER_STATE_HPP
#include "state/cluster_tables.hpp"

namespace aniseline {

/// Which attempts of a job are wanted.
enum class AttemptScope : std::uint8_t { withoutAbandoned, all };

class ClusterState {
 public:
  // Replaced controllers that are remembered: far more than a cluster loses
  // while an operator still repeats the request.
  static constexpr std::size_t maxReplacedControllers = 256;

  /// Applies one record of the log. The same records in the same order give the
  /// same state.
  void apply(const LogRecord& record);

  ClusterTime now() const { return tables.now; }
  const ClusterConfig& config() const { return tables.config; }
  const ConfigHistory& configHistory() const { return tables.configHistory; }
  const std::map<JobId, Job>& jobs() const { return tables.jobs; }
  const std::set<JobId>& openJobs() const { return tables.openJobs; }
  const std::map<QueueName, std::uint64_t>& openJobsByQueue() const {
    return tables.openJobsByQueue;
  }
  const std::map<WorkerId, Worker>& workers() const { return tables.workers; }
  const std::map<AttemptNumber, Attempt>& attempts() const { return tables.attempts; }
  AttemptNumber lastAttempt() const { return tables.lastAttempt; }
  PlanNumber lastPlan() const { return tables.lastPlan; }
  const Reservation& reservation() const { return tables.reservation; }
  const Counters& counters() const { return tables.counters; }
  const std::set<ControllerId>& controllersToReplace() const { return tables.controllersToReplace; }
  const std::deque<ControllerId>& replacedControllers() const { return tables.replacedControllers; }
  ClusterTime capacityChangedAt() const { return tables.capacityChangedAt; }
  /// Jobs in a terminal state, the earliest ended first.
  const std::set<std::pair<ClusterTime, JobId>>& jobsByEndTime() const {
    return tables.jobsByEndTime;
  }

  /// The number of a queue's open jobs; 0 for a queue that has had none.
  std::uint64_t openJobsOf(const QueueName& queue) const;
  std::vector<AttemptNumber> attemptsOf(const JobId& job, AttemptScope scope) const;
  std::vector<AttemptNumber> attemptsOn(const WorkerId& worker) const;
  /// The attempt of a run on a worker; number 0 if it is closed or was never
  /// known. docs/design.md 4.7.
  AttemptNumber findAttempt(const WorkerId& worker, const TaskRunId& run) const;
  /// Workers that registered or were issued an order since the last call.
  std::set<WorkerId> takeUpdatedWorkers() { return std::exchange(tables.updatedWorkers, {}); }

  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& tables;
  }

 private:
  ClusterTables tables;
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_CLUSTER_STATE_HPP
