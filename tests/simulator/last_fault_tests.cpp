// Tests that a cluster loses no acknowledged job and serves again after some disks are lost while
// every other machine loses power. docs/design.md 12.3.
#include "simulator/campaign.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

namespace {

struct LastFaultRuns {
  std::uint64_t firstSeed;
  std::uint64_t seeds;
  CampaignOptions options;
};

CampaignOptions shortRun() {
  CampaignOptions options;
  options.duration = 20'000;
  options.faults = 3;
  options.lastFaultEverywhere = true;
  return options;
}

// Runs the seeds, and returns how many jobs were acknowledged within the last second before the
// fault.
double acknowledgedBefore(const LastFaultRuns& runs) {
  double acknowledged = 0;
  for (std::uint64_t seed = runs.firstSeed; seed < runs.firstSeed + runs.seeds; ++seed) {
    CampaignOptions options = runs.options;
    options.seed = seed;
    const CampaignResult result = runCampaign(options);
    const std::string label = "seed " + std::to_string(seed) + ": ";
    for (const auto& violation : result.violations) {
      FAIL((label + violation.description).c_str());
    }
    for (const auto& unfinished : result.unfinished) {
      FAIL((label + unfinished).c_str());
    }
    LONGS_EQUAL(1, result.effectsByFault.at("one last fault everywhere"));
    acknowledged += result.counters.at("acknowledged right before the last fault");
  }
  return acknowledged;
}

}  // namespace

TEST_GROUP(LastFaultTests){};

TEST(LastFaultTests, nothingAcknowledgedIsLostWithThreeVoters) {
  CHECK(acknowledgedBefore({1, 6, shortRun()}) >= 30);
}

TEST(LastFaultTests, nothingAcknowledgedIsLostWithFiveVotersAndTwoControllersThatDoNotVote) {
  CampaignOptions options = shortRun();
  options.voters = 5;
  options.controllers = 7;
  CHECK(acknowledgedBefore({11, 4, options}) >= 20);
}

TEST(LastFaultTests, nothingAcknowledgedIsLostWithCalledWorkersAndTheirAgents) {
  CampaignOptions options = shortRun();
  options.calledWorkers = 8;
  CHECK(acknowledgedBefore({21, 4, options}) >= 20);
}

TEST(LastFaultTests, withoutTheOptionTheDrawnLastFaultIsInjected) {
  CampaignOptions options = shortRun();
  options.seed = 5;  // a seed whose run ends with a drawn last fault
  options.lastFaultEverywhere = false;
  const CampaignResult result = runCampaign(options);
  CHECK(result.passed());
  LONGS_EQUAL(1, result.effectsByFault.at("one last fault"));
  CHECK(!result.effectsByFault.count("one last fault everywhere"));
}
