// Tests the assessment of whether a job can still meet its latency target. docs/design.md 7.8.
#include "scheduling/latency_target.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;
using namespace aniseline::scheduling;

namespace {

// A job with two consecutive steps of 2 s and 3 s, admitted at 0. Its target is 1.5 times their 5 s
// plus 2.5 s: 10 s.
struct LatencyFixture {
  Job job;
  QueueOptions queue;

  LatencyFixture() {
    StepRequest first, second;
    first.name = "first";
    first.tasks.resize(1);
    first.tasks[0].runtime = Duration{2000};
    second.name = "second";
    second.dependencies = {"first"};
    second.tasks.resize(1);
    second.tasks[0].runtime = Duration{3000};
    job.submission.steps = {first, second};
    job.tasks.resize(2);
    job.tasks[1].stepIndex = 1;
    queue.latencyTargetFactor = 1.5;
    queue.latencyTargetBase = Duration{2500};
  }
  TargetStatus statusAt(std::int64_t now) const {
    return assessLatencyTarget(job, queue, ClusterTime{now}).status;
  }
  bool lowSlackAt(std::int64_t now) const {
    return assessLatencyTarget(job, queue, ClusterTime{now}).lowSlack;
  }
};

}  // namespace

TEST_GROUP(LatencyTarget){};

TEST(LatencyTarget, aJobIsLateWhenItsCriticalPathEndsAfterTheTarget) {
  const LatencyFixture fixture;
  CHECK(fixture.statusAt(5000) == TargetStatus::onTime);
  CHECK(fixture.statusAt(5001) == TargetStatus::late);
  CHECK(fixture.statusAt(25'000) == TargetStatus::late);
  CHECK(fixture.statusAt(25'001) == TargetStatus::expired);
}

TEST(LatencyTarget, succeededStepsNoLongerCount) {
  LatencyFixture fixture;
  fixture.job.tasks[0].state = TaskState::succeeded;
  CHECK(fixture.statusAt(7000) == TargetStatus::onTime);
  CHECK(fixture.statusAt(7001) == TargetStatus::late);
}

// The slack at admission is 5 s; it is low below two fifths of that.
TEST(LatencyTarget, slackIsLowBelowItsThreshold) {
  const LatencyFixture fixture;
  CHECK(!fixture.lowSlackAt(3000));
  CHECK(fixture.lowSlackAt(3001));
}

TEST(LatencyTarget, aJobWithoutATargetIsAlwaysOnTime) {
  LatencyFixture fixture;
  fixture.queue.latencyTargetBase = Duration{0};
  CHECK(fixture.statusAt(1'000'000) == TargetStatus::onTime);
  CHECK(fixture.lowSlackAt(0));
}
