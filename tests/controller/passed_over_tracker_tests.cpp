// Tests of the time for which plans have passed over work.
#include "controller/passed_over_tracker.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

TEST_GROUP(PassedOverTrackerTests) {
  PassedOverTracker tracker;
  const PassedOverUnit job{JobId{"job"}, std::nullopt};
  const PassedOverUnit task{JobId{"job"}, 3};
};

TEST(PassedOverTrackerTests, timeCountsFromFirstOfConsecutivePlans) {
  tracker.record({job}, MonotonicTime{1000});
  tracker.record({job}, MonotonicTime{1500});
  LONGS_EQUAL(900, tracker.durations(MonotonicTime{1900}).at(job).milliseconds);
}

TEST(PassedOverTrackerTests, unlistedUnitStartsAgainFromZero) {
  tracker.record({job}, MonotonicTime{1000});
  tracker.record({}, MonotonicTime{1500});
  CHECK(tracker.durations(MonotonicTime{1600}).empty());
  tracker.record({job}, MonotonicTime{2000});
  LONGS_EQUAL(100, tracker.durations(MonotonicTime{2100}).at(job).milliseconds);
}

TEST(PassedOverTrackerTests, longRunningTaskIsTrackedSeparatelyFromItsJob) {
  tracker.record({job}, MonotonicTime{1000});
  tracker.record({job, task}, MonotonicTime{1400});
  LONGS_EQUAL(600, tracker.durations(MonotonicTime{1600}).at(job).milliseconds);
  LONGS_EQUAL(200, tracker.durations(MonotonicTime{1600}).at(task).milliseconds);
}

TEST(PassedOverTrackerTests, clearForgetsAllUnits) {
  tracker.record({job}, MonotonicTime{1000});
  tracker.clear();
  CHECK(tracker.durations(MonotonicTime{5000}).empty());
}
