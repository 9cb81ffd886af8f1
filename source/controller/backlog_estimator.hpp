// Estimates how long a new job would wait for the work already queued in its pool, so that
// admission can reject jobs at once that would finish too late to be useful. The estimate is local
// to the leader and not logged. docs/design.md 10.
#ifndef ANISELINE_CONTROLLER_BACKLOG_ESTIMATOR_HPP
#define ANISELINE_CONTROLLER_BACKLOG_ESTIMATOR_HPP
#include "state/cluster_state.hpp"
#include <array>

namespace aniseline {

class BacklogEstimator {
 public:
  void clear() { *this = BacklogEstimator{}; }
  // Returns the time after which the caller should submit the job again, if the job would start too
  // late now. Returns nothing if the job is to be admitted; its work is then added to the estimate.
  // Only jobs of queues with a latency target are ever rejected.
  std::optional<Duration> retryDelay(const JobSubmission& job, const QueueOptions& queue,
                                     const ClusterState& state, MonotonicTime now);

 private:
  using PoolAndTenant = std::pair<std::string, TenantName>;
  // Waiting work by the size of the job that it belongs to: class n covers jobs of 2^n up to twice
  // that, and the last class covers all larger jobs.
  static constexpr std::size_t sizeClasses = 64;
  using WorkBySize = std::array<CoreMilliseconds, sizeClasses>;
  static std::size_t sizeClassOf(CoreMilliseconds jobWork);
  void refresh(const ClusterState& state, MonotonicTime now);
  void add(const QueueOptions& queue, const TenantName& tenant, CoreMilliseconds work);
  // Returns the part of a tenant's waiting work that is planned before the given job.
  using WorkByPriority = std::map<std::int64_t, WorkBySize>;
  static CoreMilliseconds workAheadOf(const WorkByPriority& waiting, const QueueOptions& queue,
                                      CoreMilliseconds jobWork);
  // Returns the estimated delay of a job in milliseconds, computed up to the given horizon.
  double estimateDelay(const JobSubmission& job, const QueueOptions& queue,
                       const ClusterState& state, double horizon) const;

  MonotonicTime measuredAt{-1'000'000};
  std::map<std::string, std::int64_t> coresByPool;  // in thousandths of a core
  // Work without a tenant is under the empty name.
  std::map<PoolAndTenant, WorkByPriority> waitingWork;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_BACKLOG_ESTIMATOR_HPP
