// The replicated cluster state: configuration, jobs, workers and attempts, derived from the events
// of the log. Each controller applies the committed records to one state and, while it leads, all
// records to a second, speculative state; both on the controller's own thread. docs/design.md 3.2,
// 4, 5.
#ifndef ANISELINE_STATE_CLUSTER_STATE_HPP
#define ANISELINE_STATE_CLUSTER_STATE_HPP
#include "state/cluster_tables.hpp"

namespace aniseline {

/// Selects which attempts of a job are returned.
enum class AttemptScope : std::uint8_t { withoutAbandoned, all };

class ClusterState {
 public:
  // The number of replaced controllers that are remembered; far more than a cluster replaces while
  // an operator still repeats a request.
  static constexpr std::size_t maxReplacedControllers = 256;

  /// Applies one record of the log. The same records in the same order always give the same state.
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
  /// Returns the jobs in a terminal state, ordered by the time at which they ended.
  const std::set<std::pair<ClusterTime, JobId>>& jobsByEndTime() const {
    return tables.jobsByEndTime;
  }

  const CancellationTombstones& tombstones() const { return tables.tombstones; }

  /// Returns the estimated memory in bytes that all jobs and tombstones take in this copy of the
  /// state.
  std::uint64_t estimatedJobBytes() const {
    return tables.estimatedJobBytes + tables.tombstones.estimatedBytes();
  }
  /// Returns the number of open jobs of a queue; 0 for a queue without any.
  std::uint64_t openJobsOf(const QueueName& queue) const;
  std::vector<AttemptNumber> attemptsOf(const JobId& job, AttemptScope scope) const;
  bool hasAttemptOf(const JobId& job, AttemptScope scope) const;
  std::vector<AttemptNumber> attemptsOn(const WorkerId& worker) const;
  /// Returns the attempt of a run on a worker, or number 0 if it is closed or unknown.
  /// docs/design.md 4.7.
  AttemptNumber findAttempt(const WorkerId& worker, const TaskRunId& run) const;
  /// Returns and clears the set of workers that registered or were issued an order since the last
  /// call.
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
