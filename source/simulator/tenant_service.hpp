// A seeded run of a cluster with tenants. Their keys and caps change continuously while jobs of
// every shape arrive with old and new keys, and while leaders, controllers, agents and workers are
// killed, isolated or frozen, and recover. Checks that no revoked key is accepted and no valid key
// refused, and that no tenant exceeds its cap (invariants 22 and 23). Called by the simulate
// program and the tests. docs/design.md 6.7, 7.13, 12.3.
#ifndef ANISELINE_SIMULATOR_TENANT_SERVICE_HPP
#define ANISELINE_SIMULATOR_TENANT_SERVICE_HPP
#include "simulator/simulated_cluster.hpp"

namespace aniseline {

struct TenantServiceOptions {
  std::uint64_t seed = 1;
  bool withFaults = true;
  std::int64_t duration = 40'000;  // ms of virtual time
  bool verbose = false;            // writes a trace of the run to the standard error stream

  /// Returns the options for a seed. Every sixth run has no faults.
  static TenantServiceOptions forSeed(std::uint64_t seed);
};

struct TenantServiceResult {
  std::vector<InvariantViolation> violations;
  std::vector<std::string> unfinished;  // accepted jobs that had not ended when the run ended
  std::size_t jobs = 0;
  std::size_t starts = 0;
  std::size_t acceptedWithKey = 0;
  std::size_t refusedForKey = 0;
  std::size_t configurations = 0;             // number of acknowledged configurations
  std::map<std::string, std::size_t> faults;  // by kind: how many began
};

TenantServiceResult runTenantService(const TenantServiceOptions& options);

}  // namespace aniseline

#endif  // ANISELINE_SIMULATOR_TENANT_SERVICE_HPP
