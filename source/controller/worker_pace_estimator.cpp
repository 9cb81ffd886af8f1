// Moving average of the logarithms of run time ratios. docs/design.md 5.6.
#include "controller/worker_pace_estimator.hpp"
#include <cmath>

namespace aniseline {

namespace {
constexpr std::uint32_t requiredSamples = 8;  // no estimate is given from fewer samples
constexpr double earlyWeight = 0.15;          // weight of a sample until that number is reached
constexpr double laterWeight = 0.06;
constexpr double minRatio = 0.05;  // these bounds limit the effect of a single outlier
constexpr double maxRatio = 20.0;
// Shorter tasks are dominated by the cost of the surrounding calls.
constexpr std::int64_t minRuntimeMs = 50;
constexpr std::int64_t decayDelayMs = 1000;  // idle time after which the estimate starts to decay
constexpr double decayHalfLifeMs = 4000.0;   // half-life of that decay
}  // namespace

void WorkerPaceEstimator::record(const WorkerSynced& synced, const ClusterState& state,
                                 ClusterTime clusterNow, MonotonicTime now) {
  for (const auto& result : synced.results) {
    auto attempt = state.attempts().find(result.attempt);
    if (result.outcome != AttemptOutcome::succeeded || attempt == state.attempts().end() ||
        attempt->second.isTrial())
      continue;
    const auto requested =
        std::max<std::int64_t>(minRuntimeMs, attempt->second.runtime.milliseconds);
    const double ratio =
        double((clusterNow - attempt->second.orderedAt).milliseconds) / double(requested);
    Estimate& estimate = estimates[synced.worker];
    const double weight = estimate.samples < requiredSamples ? earlyWeight : laterWeight;
    estimate.logRatio +=
        (std::log(std::clamp(ratio, minRatio, maxRatio)) - estimate.logRatio) * weight;
    ++estimate.samples;
    estimate.lastSampleAt = now;
  }
}

RuntimeRatios WorkerPaceEstimator::estimatedRatios(MonotonicTime now) const {
  RuntimeRatios estimatedRatios;
  for (const auto& [worker, estimate] : estimates) {
    if (estimate.samples < requiredSamples)
      continue;
    const auto idle = (now - estimate.lastSampleAt).milliseconds - decayDelayMs;
    const double age = double(std::max<std::int64_t>(0, idle));
    estimatedRatios[worker] = std::exp(estimate.logRatio * std::exp2(-age / decayHalfLifeMs));
  }
  return estimatedRatios;
}

}  // namespace aniseline
