// Declares the benchmarks of the single roles. They run the core alone, in virtual time, without
// sockets or files. Called by BenchmarkRunner. docs/CAPACITY.md.
#ifndef ANISELINE_BENCHMARKS_BENCHMARKS_HPP
#define ANISELINE_BENCHMARKS_BENCHMARKS_HPP
#include "benchmarks/meter.hpp"
#include "benchmarks/workload.hpp"

namespace aniseline::benchmarks {

// Holds the virtual durations of a flow benchmark, in ms.
struct FlowDurations {
  std::int64_t tickMs = 5;       // between two steps of a controller
  std::int64_t warmUpMs = 1500;  // runs before measuring starts
  std::int64_t measuredMs = 4000;
};

// Each function measures once, with random numbers from one seed. The names of the metrics end with
// their units. `measureFlow` returns no metrics if there was no leader or the leader changed.
Metrics measureFlow(const Sizes& sizes, std::uint64_t seed, const FlowDurations& durations);
Metrics measurePlan(const Sizes& sizes, std::uint64_t seed);
Metrics measureGang(const Sizes& sizes, std::uint64_t seed);
Metrics measureState(const Sizes& sizes, std::uint64_t seed);
Metrics measureConfig(const Sizes& sizes, std::uint64_t seed);
Metrics measureRoute(const Sizes& sizes, std::uint64_t seed);
Metrics measureGateway(const Sizes& sizes, std::uint64_t seed);
Metrics measureAgent(const Sizes& sizes, std::uint64_t seed);

}  // namespace aniseline::benchmarks

#endif  // ANISELINE_BENCHMARKS_BENCHMARKS_HPP
