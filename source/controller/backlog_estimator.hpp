// Estimates how long the work that waits in a pool keeps a new job waiting, so
// that admission can reject at once what would come too late to be of use. The
// leader's own knowledge, not logged. docs/design.md 10.
#ifndef ANISELINE_CONTROLLER_BACKLOG_ESTIMATOR_HPP
#define ANISELINE_CONTROLLER_BACKLOG_ESTIMATOR_HPP
#include "state/cluster_state.hpp"
#include <array>

namespace aniseline {

class BacklogEstimator {
 public:
  void clear() { *this = BacklogEstimator{}; }
  // After how long the caller should submit the job again, since it would begin
  // too late now; nothing where the job is to be admitted, and then its work is
  // added to the estimate. Only queues with a latency target are ever rejected.
  std::optional<Duration> retryDelay(const JobSubmission& job, const QueueOptions& queue,
                                     const ClusterState& state, MonotonicTime now);

 private:
  using PoolAndTenant = std::pair<std::string, TenantName>;
  // Work by the size of the jobs whose work it is: class n holds jobs of 2^n up to twice that, the
  // last one all larger ones.
  static constexpr std::size_t sizeClasses = 64;
  using WorkBySize = std::array<CoreMilliseconds, sizeClasses>;
  static std::size_t sizeClassOf(CoreMilliseconds jobWork);
  void refresh(const ClusterState& state, MonotonicTime now);
  void add(const QueueOptions& queue, const TenantName& tenant, CoreMilliseconds work);
  // Of one tenant's waiting work, what is planned before a job.
  using WorkByPriority = std::map<std::int64_t, WorkBySize>;
  static CoreMilliseconds workBefore(const WorkByPriority& waiting, const QueueOptions& queue,
                                     CoreMilliseconds jobWork);
  // In milliseconds, how long what waits keeps a job waiting, reckoned up to a horizon.
  double delayOf(const JobSubmission& job, const QueueOptions& queue, const ClusterState& state,
                 double horizon) const;

  MonotonicTime measuredAt{-1'000'000};
  std::map<std::string, std::int64_t> coresByPool;      // thousandths
  std::map<PoolAndTenant, WorkByPriority> waitingWork;  // of no tenant under the empty name
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_BACKLOG_ESTIMATOR_HPP
