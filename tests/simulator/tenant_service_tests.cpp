// Tests tenants whose keys and caps change during faults: no revoked key is accepted, no valid key
// is refused, and no tenant exceeds its cap. docs/design.md 12.3.
#include "simulator/tenant_service.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

TEST_GROUP(TenantServiceTests){};

TEST(TenantServiceTests, keysAndCapsHoldDuringFaults) {
  TenantServiceResult totals;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    const auto result = runTenantService(TenantServiceOptions::forSeed(seed));
    for (const auto& violation : result.violations)
      FAIL(violation.description.c_str());
    LONGS_EQUAL(0, result.unfinished.size());
    totals.starts += result.starts;
    totals.acceptedWithKey += result.acceptedWithKey;
    totals.refusedForKey += result.refusedForKey;
    totals.configurations += result.configurations;
    for (const auto& [kind, count] : result.faults)
      totals.faults[kind] += count;
  }
  CHECK(totals.starts > 2000);
  CHECK(totals.acceptedWithKey > 400);
  CHECK(totals.refusedForKey > 100);
  CHECK(totals.configurations > 100);
  LONGS_EQUAL(9, totals.faults.size());  // every kind of fault occurred
}
