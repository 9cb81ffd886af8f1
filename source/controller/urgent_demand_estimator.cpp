// Exponential decay of the peak of urgent demand. docs/design.md 7.8.
#include "controller/urgent_demand_estimator.hpp"
#include <cmath>

namespace aniseline {

namespace {
constexpr double peakHalfLifeMs = 5000.0;  // another burst is expected within a few seconds
}  // namespace

double UrgentDemandEstimator::Peak::decayedCores(MonotonicTime now) const {
  return cores * std::exp2(-double((now - measuredAt).milliseconds) / peakHalfLifeMs);
}

void UrgentDemandEstimator::record(const Demand& current, MonotonicTime now) {
  for (const auto& [pool, wanted] : current) {
    Peak& peak = peaks[pool];
    peak.cores = std::max(peak.decayedCores(now), double(wanted));
    peak.measuredAt = now;
  }
}

UrgentDemandEstimator::Demand UrgentDemandEstimator::demand(MonotonicTime now) const {
  Demand demand;
  for (const auto& [pool, peak] : peaks)
    demand[pool] = std::int64_t(peak.decayedCores(now));
  return demand;
}

}  // namespace aniseline
