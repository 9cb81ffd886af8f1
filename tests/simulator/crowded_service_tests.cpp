// Tests that in a nearly full cluster with urgent jobs no task waits for three seconds without
// faults while there is capacity for it twice over. docs/design.md 7.9.
#include "simulator/crowded_service.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

TEST_GROUP(CrowdedServiceTests){};

// Before waiting was bounded, these seeds left gangs and wide, long-running and plain jobs waiting.
TEST(CrowdedServiceTests, noTaskWaitsWhileThereIsCapacity) {
  for (const std::uint64_t seed : {4, 5, 13, 29, 45}) {
    const auto result = runCrowdedService(CrowdedServiceOptions::forSeed(seed));
    for (const auto& violation : result.violations)
      FAIL(violation.description.c_str());
    CHECK(result.starts > 300);
  }
}

TEST(CrowdedServiceTests, consecutiveSeedsCoverEveryCase) {
  std::set<std::tuple<double, UrgentArrival, bool, bool>> cases;
  for (std::uint64_t seed = 1; seed <= 32; ++seed) {
    const auto options = CrowdedServiceOptions::forSeed(seed);
    cases.emplace(options.occupancy, options.urgentArrival, options.drainsWorker,
                  options.losesLeader);
  }
  LONGS_EQUAL(32, cases.size());
}
