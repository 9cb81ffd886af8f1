// Tests two operators who change the configuration concurrently while answers and leaders are lost
// and faults of every kind occur. Of competing changes only one may be acknowledged, and no applied
// change may be refused.
#include "simulator/campaign.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

TEST_GROUP(OperatorsCampaignTests){};

TEST(OperatorsCampaignTests, oneOfCompetingChangesIsAcknowledgedAndNoAppliedOneRefused) {
  double lateResends = 0;
  double patches = 0;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    CampaignOptions options;
    options.seed = seed;
    options.duration = 25'000;
    options.faults = 5;
    options.operators = true;
    const auto result = runCampaign(options);
    for (const auto& violation : result.violations)
      FAIL(violation.description.c_str());
    CHECK(result.unfinished.empty());
    lateResends += result.counters.at("orders resent later");
    patches += result.counters.at("patches acknowledged");
  }
  CHECK(lateResends >= 4);
  CHECK(patches >= 4);
}
