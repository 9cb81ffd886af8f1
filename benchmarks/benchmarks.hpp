// The benchmarks of single roles, on the core alone: no sockets, no files, virtual time. Called by
// the runner. docs/CAPACITY.md.
#ifndef ANISELINE_BENCHMARKS_BENCHMARKS_HPP
#define ANISELINE_BENCHMARKS_BENCHMARKS_HPP
#include "benchmarks/meter.hpp"
#include "benchmarks/workload.hpp"

namespace aniseline::benchmarks {

// Virtual times of a flow, in ms.
struct FlowDurations {
  std::int64_t tickMs = 5;       // between two steps of a controller
  std::int64_t warmUpMs = 1500;  // before it is measured
  std::int64_t measuredMs = 4000;
};

// Each measures once, with the draws of one seed. The values' names say their units; those of a
// flow are empty if it had no steady leader.
Metrics measureFlow(const Sizes& sizes, std::uint64_t seed, const FlowDurations& lengths);
Metrics measurePlan(const Sizes& sizes, std::uint64_t seed);
Metrics measureGang(const Sizes& sizes, std::uint64_t seed);
Metrics measureState(const Sizes& sizes, std::uint64_t seed);
Metrics measureConfig(const Sizes& sizes, std::uint64_t seed);
Metrics measureRoute(const Sizes& sizes, std::uint64_t seed);
Metrics measureGateway(const Sizes& sizes, std::uint64_t seed);
Metrics measureAgent(const Sizes& sizes, std::uint64_t seed);

}  // namespace aniseline::benchmarks

#endif  // ANISELINE_BENCHMARKS_BENCHMARKS_HPP
