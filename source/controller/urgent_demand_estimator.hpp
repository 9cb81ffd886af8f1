// Remembers how many cores the most urgent queues of each pool have wanted at
// the same time lately, as a hint to the planner: the peak, fading. The
// leader's own knowledge, not logged. docs/design.md 7.8.
#ifndef ANISELINE_CONTROLLER_URGENT_DEMAND_ESTIMATOR_HPP
#define ANISELINE_CONTROLLER_URGENT_DEMAND_ESTIMATOR_HPP
#include "base/types.hpp"

namespace aniseline {

class UrgentDemandEstimator {
 public:
  // Thousandths of a core by pool.
  using Demand = std::map<std::string, std::int64_t>;

  void clear() { peaks.clear(); }
  void record(const Demand& current, MonotonicTime now);
  Demand demand(MonotonicTime now) const;

 private:
  struct Peak {
    double cores = 0;
    MonotonicTime measuredAt;
    double fadedAt(MonotonicTime now) const;
  };
  std::map<std::string, Peak> peaks;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_URGENT_DEMAND_ESTIMATOR_HPP
