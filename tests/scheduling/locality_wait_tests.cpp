// Tests delay scheduling: work waits for room near its data, and starts on remote workers only
// after the wait and after other work of its priority. docs/design.md 7.11.
#include "state/cluster_state_fixture.hpp"

using namespace aniseline;

namespace {

// A task that runs away from its data takes three times as long.
constexpr const char* configWithRacks =
    R"({"planner":{"trials":false,"urgency_first":true,"far":3},"pools":{"press":{}},
      "queues":{"q":{"pool":"press","tries":3,"urgency":1},"later":{"pool":"press","tries":3}}})";
constexpr std::int64_t runtimeMs = 400;

StepRequest stepNear(const std::string& rack, std::size_t tasks = 1, std::uint32_t cores = 4000) {
  StepRequirements requirements;
  requirements.preferredRack = rack;
  return ClusterStateFixture::step(tasks, cores, requirements, false, runtimeMs);
}
StepRequest stepAnywhere(std::uint32_t cores = 4000) {
  return ClusterStateFixture::step(1, cores, {}, false, runtimeMs);
}

}  // namespace

TEST_GROUP(LocalityWaitTests) {
  ClusterStateFixture cluster{configWithRacks};

  void setup() override {
    cluster.registerWorker("a", {.rack = "A"});
    cluster.registerWorker("b", {.rack = "B"});
    cluster.submit("filler", {stepNear("A")});
    STRCMP_EQUAL("start filler on a", cluster.planAndRun().c_str());
  }
};

TEST(LocalityWaitTests, workWaitsForRoomNearItsData) {
  cluster.submit("near", {stepNear("A")});
  STRCMP_EQUAL("", cluster.planAndRun().c_str());
  cluster.now += runtimeMs;
  cluster.endAttempt("filler");
  STRCMP_EQUAL("start near on a", cluster.planAndRun().c_str());
}

TEST(LocalityWaitTests, workStartsRemotelyAfterTheExtraRuntime) {
  cluster.submit("near", {stepNear("A")});
  cluster.now += 2 * runtimeMs - 1;
  STRCMP_EQUAL("", cluster.planAndRun().c_str());
  cluster.now += 1;
  STRCMP_EQUAL("start near on b", cluster.planAndRun().c_str());
}

TEST(LocalityWaitTests, longWorkWaitsNoLongerThanTheBound) {
  StepRequest longStep = stepNear("A");
  longStep.tasks.front().runtime = Duration{60'000};
  cluster.submit("near", {longStep});
  cluster.now += 1999;
  STRCMP_EQUAL("", cluster.planAndRun().c_str());
  cluster.now += 1;
  STRCMP_EQUAL("start near on b", cluster.planAndRun().c_str());
}

// Work that would run away from its data takes no room from other work of its priority, but does
// take it from less urgent work.
TEST(LocalityWaitTests, remoteStartsComeAfterOtherWorkOfTheirPriority) {
  cluster.submit("near", {stepNear("A")});
  cluster.now += 5000;
  cluster.submit("any", {stepAnywhere()});
  cluster.submit("less", {stepAnywhere()}, "later");
  STRCMP_EQUAL("start any on b", cluster.planAndRun().c_str());
  cluster.endAttempt("any");
  STRCMP_EQUAL("start near on b", cluster.planAndRun().c_str());
}

// Both racks have room: work without a rack preference goes to the rack with the smaller share in
// use.
TEST(LocalityWaitTests, workWithoutRackPreferenceGoesToTheLeastLoadedRack) {
  cluster.registerWorker("c", {.cores = 8000, .rack = "B"});
  cluster.endAttempt("filler");
  cluster.submit("first", {stepNear("B", 1, 1000)});
  STRCMP_EQUAL("start first on b", cluster.planAndRun().c_str());
  cluster.submit("second", {stepAnywhere(1000)});
  STRCMP_EQUAL("start second on a", cluster.planAndRun().c_str());
}
