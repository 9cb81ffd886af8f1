// Estimates how long the work that waits in a pool keeps a new job waiting, so
// that admission can reject at once what would come too late to be of use. The
// leader's own knowledge, not logged. docs/design.md 10.
#ifndef ANISELINE_CONTROLLER_BACKLOG_ESTIMATOR_HPP
#define ANISELINE_CONTROLLER_BACKLOG_ESTIMATOR_HPP
#include "state/cluster_state.hpp"

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
  // Work in thousandths of a core times milliseconds.
  using PoolAndPriority = std::pair<std::string, std::int64_t>;
  void refresh(const ClusterState& state, MonotonicTime now);
  double workBefore(const QueueOptions& queue) const;

  MonotonicTime measuredAt{-1'000'000};
  std::map<std::string, double> coresByPool;
  std::map<PoolAndPriority, double> waitingWork;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_BACKLOG_ESTIMATOR_HPP
