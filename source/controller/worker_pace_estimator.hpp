// Estimates the ratio of actual to requested run time for each worker, as a hint for the planner.
// The data is local to the leader, not logged, and reset at the start of each leadership.
// docs/design.md 5.6.
#ifndef ANISELINE_CONTROLLER_WORKER_PACE_ESTIMATOR_HPP
#define ANISELINE_CONTROLLER_WORKER_PACE_ESTIMATOR_HPP
#include "scheduling/planner.hpp"

namespace aniseline {

class WorkerPaceEstimator {
 public:
  void clear() { estimates.clear(); }
  // Adds the attempts that a worker reports as succeeded.
  void record(const WorkerSynced& synced, const ClusterState& state, ClusterTime clusterNow,
              MonotonicTime now);
  // Returns the ratio of actual to requested run time for workers with enough samples. The estimate
  // of a worker that has finished no task for a while decays towards normal speed.
  RuntimeRatios estimatedRatios(MonotonicTime now) const;

 private:
  struct Estimate {
    // Natural logarithm, since estimates are off by factors in both directions.
    double logRatio = 0;
    std::uint32_t samples = 0;
    MonotonicTime lastSampleAt;
  };
  std::map<WorkerId, Estimate> estimates;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_WORKER_PACE_ESTIMATOR_HPP
