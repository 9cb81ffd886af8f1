// The benchmarks of single roles, on the core alone: no sockets, no files, virtual time. Called by
// the runner. docs/CAPACITY.md.
#ifndef ANISELINE_BENCHMARKS_BENCHMARKS_HPP
#define ANISELINE_BENCHMARKS_BENCHMARKS_HPP
#include "benchmarks/meter.hpp"
#include "benchmarks/workload.hpp"

namespace aniseline::benchmarks {

// Virtual times of a flow, in ms.
struct FlowLengths {
  std::int64_t tickMs = 5;       // between two steps of a controller
  std::int64_t warmUpMs = 1500;  // before it is measured
  std::int64_t measuredMs = 4000;
};

// Each measures once, with the draws of one seed. The values' names say their units; those of a
// flow are empty if it had no steady leader.
Values measureFlow(const Sizes& sizes, std::uint64_t seed, const FlowLengths& lengths);
Values measurePlan(const Sizes& sizes, std::uint64_t seed);
Values measureGang(const Sizes& sizes, std::uint64_t seed);
Values measureState(const Sizes& sizes, std::uint64_t seed);
Values measureConfig(const Sizes& sizes, std::uint64_t seed);
Values measureRoute(const Sizes& sizes, std::uint64_t seed);
Values measureGateway(const Sizes& sizes, std::uint64_t seed);
Values measureAgent(const Sizes& sizes, std::uint64_t seed);

}  // namespace aniseline::benchmarks

#endif  // ANISELINE_BENCHMARKS_BENCHMARKS_HPP
