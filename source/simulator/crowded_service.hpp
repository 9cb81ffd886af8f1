// A seeded run of a nearly full cluster: long jobs occupy a share of one pool, urgent jobs arrive
// steadily or in bursts, and jobs of every shape with lower priority wait. Checks that no job waits
// although there is capacity for it (invariant 20). Called by the simulate program and the tests.
// docs/design.md 7.8, 12.3.
#ifndef ANISELINE_SIMULATOR_CROWDED_SERVICE_HPP
#define ANISELINE_SIMULATOR_CROWDED_SERVICE_HPP
#include "simulator/simulated_cluster.hpp"

namespace aniseline {

enum class UrgentArrival : std::uint8_t { steady, bursts };

struct CrowdedServiceOptions {
  std::uint64_t seed = 1;
  double occupancy = 0.7;  // share of the pool's cores that long jobs occupy
  UrgentArrival urgentArrival = UrgentArrival::steady;
  bool drainsWorker = false;
  bool losesLeader = false;
  std::int64_t duration = 40'000;  // ms of virtual time
  bool verbose = false;            // writes a trace of the run to the standard error stream

  /// Returns the options for a seed. Any 32 consecutive seeds cover every combination of occupancy,
  /// arrival and disturbance.
  static CrowdedServiceOptions forSeed(std::uint64_t seed);
};

struct CrowdedServiceResult {
  std::vector<InvariantViolation> violations;
  std::size_t jobs = 0;
  std::size_t starts = 0;
};

CrowdedServiceResult runCrowdedService(const CrowdedServiceOptions& options);

}  // namespace aniseline

#endif  // ANISELINE_SIMULATOR_CROWDED_SERVICE_HPP
