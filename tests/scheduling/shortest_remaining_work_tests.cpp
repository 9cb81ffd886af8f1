// Tests that among jobs with a latency target the one with the least work to start goes first.
// docs/design.md 7.12.
#include "state/cluster_state_fixture.hpp"

using namespace aniseline;

namespace {

// The target is twice the critical path plus 1,000 ms: 3,000 ms for one step of 1,000 ms.
constexpr const char* configWithTargets =
    R"({"planner":{"trials":false,"urgency_first":true},"pools":{"press":{}},
      "queues":{"q":{"pool":"press","tries":3,"urgency":1,"extend":2,"target_ms":1000},
                "alike":{"pool":"press","tries":3,"urgency":1},
                "later":{"pool":"press","tries":3,"extend":2,"target_ms":1000}}})";
constexpr std::int64_t runtimeMs = 1000;
constexpr std::uint32_t wholeWorker = 4000;

StepRequest wholeWorkerStep(std::size_t tasks) {
  return ClusterStateFixture::step(tasks, wholeWorker, {}, false, runtimeMs);
}

}  // namespace

TEST_GROUP(ShortestRemainingWorkTests) {
  ClusterStateFixture cluster{configWithTargets};

  void setup() override {
    cluster.registerWorker("a");
  }
};

TEST(ShortestRemainingWorkTests, theJobWithTheLeastWorkGoesFirst) {
  cluster.submit("large", {wholeWorkerStep(2)});
  cluster.now += 100;
  cluster.submit("small", {wholeWorkerStep(1)});
  STRCMP_EQUAL("start small on a", cluster.planAndRun().c_str());
}

TEST(ShortestRemainingWorkTests, blockedStepsCountAsWork) {
  StepRequest second = wholeWorkerStep(1);
  second.dependencies = {"0"};
  cluster.submit("two-steps", {wholeWorkerStep(1), second});
  cluster.now += 100;
  cluster.submit("one-step", {wholeWorkerStep(1)});
  STRCMP_EQUAL("start one-step on a", cluster.planAndRun().c_str());
}

// Running and succeeded tasks do not count as remaining work.
TEST(ShortestRemainingWorkTests, aStartedJobIsCompletedFirst) {
  cluster.submit("begun", {wholeWorkerStep(3)});
  STRCMP_EQUAL("start begun on a", cluster.planAndRun().c_str());
  cluster.registerWorker("b");
  STRCMP_EQUAL("start begun on b", cluster.planAndRun().c_str());
  cluster.submit("fresh", {wholeWorkerStep(2)});
  cluster.endAttempt("begun");
  STRCMP_EQUAL("start begun on a", cluster.planAndRun().c_str());
}

TEST(ShortestRemainingWorkTests, priorityAndTargetStatusTakePrecedence) {
  cluster.submit("late", {wholeWorkerStep(1)});
  cluster.now += 2500;
  cluster.submit("less-urgent", {wholeWorkerStep(1)}, "later");
  cluster.submit("in-time", {wholeWorkerStep(3)});
  STRCMP_EQUAL("start in-time on a", cluster.planAndRun().c_str());
}

// The paper's rank favours work that has waited longest for its size.
TEST(ShortestRemainingWorkTests, expiredWorkIsOrderedByRank) {
  cluster.submit("large", {wholeWorkerStep(2)});
  cluster.now += 100;
  cluster.submit("small", {wholeWorkerStep(1)});
  cluster.now += 20'000;
  STRCMP_EQUAL("start large on a", cluster.planAndRun().c_str());
}

// Of three positions by rank the first and the last are exchanged, and the middle one is kept.
TEST(ShortestRemainingWorkTests, jobsWithoutATargetKeepTheirPosition) {
  cluster.submit("large", {wholeWorkerStep(1)});
  cluster.now += 10;
  cluster.submit("plain", {wholeWorkerStep(1)}, "alike");
  cluster.now += 10;
  cluster.submit("small", {ClusterStateFixture::step(1, 3000, {}, false, runtimeMs)});
  cluster.registerWorker("b");
  STRCMP_EQUAL("start small on a, start plain on b", cluster.planAndRun().c_str());
}
