// Tests of the leader's cluster time. docs/design.md 3.6.
#include "controller/leader_clock.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

TEST_GROUP(LeaderClockTests) {
  LeaderClock clock;
};

TEST(LeaderClockTests, continuesFromLastRecordByMonotonicClock) {
  clock.restart(ClusterTime{500'000}, MonotonicTime{1000});
  LONGS_EQUAL(500'000, clock.at(MonotonicTime{1000}).milliseconds);
  LONGS_EQUAL(500'250, clock.at(MonotonicTime{1250}).milliseconds);
}

TEST(LeaderClockTests, advancesToAgreedTimeAndNeverBack) {
  clock.restart(ClusterTime{500'000}, MonotonicTime{1000});
  clock.advanceTo(WallTime{400'000}, MonotonicTime{1000});
  LONGS_EQUAL(500'000, clock.at(MonotonicTime{1000}).milliseconds);
  clock.advanceTo(WallTime{600'000}, MonotonicTime{1100});
  LONGS_EQUAL(600'000, clock.at(MonotonicTime{1100}).milliseconds);
  LONGS_EQUAL(600'010, clock.at(MonotonicTime{1110}).milliseconds);
}
