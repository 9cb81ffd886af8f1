// A seeded run of a service with tenants: their keys and caps change all the time while jobs of
// every shape come with keys old and new, and leaders, controllers, agents and workers are lost,
// cut off, frozen and back. Shows whether a revoked key is ever good or a good one refused, and
// whether a tenant passes its cap (rules 22 and 23). Called by the simulate program and the tests.
// docs/design.md 6.7, 7.13, 12.3.
#ifndef ANISELINE_SIMULATOR_TENANT_SERVICE_HPP
#define ANISELINE_SIMULATOR_TENANT_SERVICE_HPP
#include "simulator/simulated_cluster.hpp"

namespace aniseline {

struct TenantServiceOptions {
  std::uint64_t seed = 1;
  bool withFaults = true;
  std::int64_t duration = 40'000;  // ms of virtual time
  bool verbose = false;            // traces all that happens to the standard error stream

  /// The options that a seed stands for: every sixth run is without faults.
  static TenantServiceOptions drawnBy(std::uint64_t seed);
};

struct TenantServiceResult {
  std::vector<InvariantViolation> violations;
  std::vector<std::string> unfinished;  // accepted jobs that had not ended at the end
  std::size_t jobs = 0;
  std::size_t starts = 0;
  std::size_t acceptedWithKey = 0;
  std::size_t refusedForKey = 0;
  std::size_t configurations = 0;             // acknowledged
  std::map<std::string, std::size_t> faults;  // that began, by kind
};

TenantServiceResult runTenantService(const TenantServiceOptions& options);

}  // namespace aniseline

#endif  // ANISELINE_SIMULATOR_TENANT_SERVICE_HPP
