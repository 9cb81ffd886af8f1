// Tracks the decaying peak number of cores that the most urgent queues of each pool have recently
// demanded at the same time, as a hint for the planner. The data is local to the leader and not
// logged. docs/design.md 7.8.
#ifndef ANISELINE_CONTROLLER_URGENT_DEMAND_ESTIMATOR_HPP
#define ANISELINE_CONTROLLER_URGENT_DEMAND_ESTIMATOR_HPP
#include "base/types.hpp"

namespace aniseline {

class UrgentDemandEstimator {
 public:
  // Demand by pool, in thousandths of a core.
  using Demand = std::map<std::string, std::int64_t>;

  void clear() { peaks.clear(); }
  void record(const Demand& current, MonotonicTime now);
  Demand demand(MonotonicTime now) const;

 private:
  struct Peak {
    double cores = 0;
    MonotonicTime measuredAt;
    double decayedCores(MonotonicTime now) const;
  };
  std::map<std::string, Peak> peaks;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_URGENT_DEMAND_ESTIMATOR_HPP
