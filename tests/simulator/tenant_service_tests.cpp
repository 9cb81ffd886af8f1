// Tests tenants whose keys and caps change during faults: no revoked key is accepted, no valid key
// is refused, and no tenant exceeds its cap. docs/design.md 12.3.
#include "simulator/tenant_service.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

TEST_GROUP(TenantServiceTests){};

TEST(TenantServiceTests, keysAndCapsHoldBesideFaults) {
  TenantServiceResult sums;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    const auto result = runTenantService(TenantServiceOptions::drawnBy(seed));
    for (const auto& violation : result.violations)
      FAIL(violation.description.c_str());
    LONGS_EQUAL(0, result.unfinished.size());
    sums.starts += result.starts;
    sums.acceptedWithKey += result.acceptedWithKey;
    sums.refusedForKey += result.refusedForKey;
    sums.configurations += result.configurations;
    for (const auto& [kind, count] : result.faults)
      sums.faults[kind] += count;
  }
  CHECK(sums.starts > 2000);
  CHECK(sums.acceptedWithKey > 400);
  CHECK(sums.refusedForKey > 100);
  CHECK(sums.configurations > 100);
  LONGS_EQUAL(9, sums.faults.size());  // every kind of fault occurred
}
