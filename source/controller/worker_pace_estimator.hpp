// Estimates how long the work of each worker takes against what was requested,
// as a hint to the planner. The leader's own knowledge: not logged, and begun
// anew by each leader. docs/design.md 5.6.
#ifndef ANISELINE_CONTROLLER_WORKER_PACE_ESTIMATOR_HPP
#define ANISELINE_CONTROLLER_WORKER_PACE_ESTIMATOR_HPP
#include "scheduling/planner.hpp"

namespace aniseline {

class WorkerPaceEstimator {
 public:
  void clear() { estimates.clear(); }
  // Takes in the attempts that a worker reports as finished.
  void record(const WorkerSynced& synced, const ClusterState& state, ClusterTime clusterNow,
              MonotonicTime now);
  // The ratio of actual to requested run time, for workers with enough samples.
  // A worker that has ended nothing for a while is assumed to be sound again,
  // the more the longer.
  RuntimeRatios paces(MonotonicTime now) const;

 private:
  struct Estimate {
    double logRatio = 0;  // natural logarithm: estimates are wrong by factors,
                          // in both directions
    std::uint32_t samples = 0;
    MonotonicTime lastSampleAt;
  };
  std::map<WorkerId, Estimate> estimates;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_WORKER_PACE_ESTIMATOR_HPP
