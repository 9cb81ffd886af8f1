// Collects durations over an interval and summarises them for a log line.
#ifndef ANISELINE_BASE_LATENCY_SUMMARY_HPP
#define ANISELINE_BASE_LATENCY_SUMMARY_HPP
#include "base/json.hpp"
#include "base/types.hpp"
#include <algorithm>
#include <vector>

namespace aniseline {

// Quantiles of the durations of one interval; all zero if there were none.
struct LatencyQuantiles {
  std::size_t count = 0;
  Duration median;
  Duration percentile95;
  Duration longest;
};

inline picojson::object render(const LatencyQuantiles& quantiles) {
  return {{"count", json(quantiles.count)},
          {"p50_ms", json(quantiles.median.milliseconds)},
          {"p95_ms", json(quantiles.percentile95.milliseconds)},
          {"max_ms", json(quantiles.longest.milliseconds)}};
}

class LatencySummary {
 public:
  // Further durations of an interval are counted but not included in the quantiles.
  static constexpr std::size_t maxSamples = 10'000;

  void record(Duration duration) {
    ++count;
    if (samples.size() < maxSamples)
      samples.push_back(duration);
  }
  // Returns the quantiles of all durations since the last call, and begins the next interval.
  LatencyQuantiles take() {
    LatencyQuantiles quantiles;
    if (samples.empty())
      return quantiles;
    std::sort(samples.begin(), samples.end());
    quantiles.count = std::exchange(count, 0);
    quantiles.median = samples[samples.size() / 2];
    quantiles.percentile95 = samples[samples.size() * 95 / 100];
    quantiles.longest = samples.back();
    samples.clear();
    return quantiles;
  }

 private:
  std::size_t count = 0;
  std::vector<Duration> samples;
};

}  // namespace aniseline

#endif  // ANISELINE_BASE_LATENCY_SUMMARY_HPP
