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
  using PoolAndPriority = std::pair<std::string, std::int64_t>;
  // Work by the size of the jobs whose work it is: class n holds jobs of 2^n up to twice that, the
  // last one all larger ones.
  static constexpr std::size_t sizeClasses = 64;
  using WorkBySize = std::array<CoreMilliseconds, sizeClasses>;
  static std::size_t sizeClassOf(CoreMilliseconds jobWork);
  void refresh(const ClusterState& state, MonotonicTime now);
  void add(const QueueOptions& queue, CoreMilliseconds work);
  CoreMilliseconds workBefore(const QueueOptions& queue, CoreMilliseconds jobWork) const;

  MonotonicTime measuredAt{-1'000'000};
  std::map<std::string, std::int64_t> coresByPool;  // thousandths
  std::map<PoolAndPriority, WorkBySize> waitingWork;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_BACKLOG_ESTIMATOR_HPP
