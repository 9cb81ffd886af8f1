// Tests of cluster time: it goes by monotonic clocks over changes of leader, and calendar clocks
// that jump change neither lengths of time nor the order of timetables. docs/design.md 3.6.
#include "controller/replicated_clock.hpp"
#include "controller/timetable_clock.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

TEST_GROUP(ReplicatedClockTests) {
  ReplicatedClock clock;

  std::int64_t at(std::int64_t now) const {
    return clock.at(MonotonicTime{now}).milliseconds;
  }
  void startLeading(std::int64_t lastRecordAt, std::int64_t now) {
    clock.startLeading(ClusterTime{lastRecordAt}, MonotonicTime{now});
  }
  void follow(std::int64_t agreed, std::int64_t now) {
    clock.follow(WallTime{agreed}, MonotonicTime{now});
  }
};

TEST(ReplicatedClockTests, continuesFromLastRecordByMonotonicClock) {
  startLeading(500'000, 1000);
  LONGS_EQUAL(500'000, at(1000));
  LONGS_EQUAL(500'250, at(1250));
}

TEST(ReplicatedClockTests, adoptsALaterAgreedTimeAfterAStartOfAllProcesses) {
  startLeading(500'000, 1000);
  follow(600'000, 1100);
  LONGS_EQUAL(600'000, at(1100));
  LONGS_EQUAL(600'010, at(1110));
}

TEST(ReplicatedClockTests, neverGoesBackToAnEarlierAgreedTime) {
  startLeading(500'000, 1000);
  follow(400'000, 1000);
  LONGS_EQUAL(500'000, at(1000));
}

// Clocks that jumped ahead made the cluster forget ended jobs and start timed jobs early, for good.
TEST(ReplicatedClockTests, aJumpOfTheAgreedTimeChangesNoLengthOfTime) {
  startLeading(500'000, 0);
  follow(500'000, 0);
  for (std::int64_t now = 0; now < 10'000; now += 10)
    follow(500'000 + now + 20'000, now);
  CHECK(at(10'000) >= 510'000);
  CHECK(at(10'000) <= 510'010);
}

TEST(ReplicatedClockTests, slewsTowardsTheAgreedTimeInBothDirections) {
  startLeading(500'000, 0);
  follow(500'000, 0);
  for (std::int64_t now = 0; now <= 100'000; now += 10)
    follow(500'000 + now + 60, now);
  LONGS_EQUAL(600'060, at(100'000));
  for (std::int64_t now = 100'000; now <= 200'000; now += 10)
    follow(500'000 + now, now);
  LONGS_EQUAL(700'000, at(200'000));
}

TEST(ReplicatedClockTests, aNewLeaderContinuesTheTimeOfTheRecordsThatItFollowed) {
  clock.observeRecord(ClusterTime{500'000}, MonotonicTime{1000});
  clock.observeRecord(ClusterTime{502'000}, MonotonicTime{3100});  // arrived 100 ms later
  // Nobody led for four seconds, and meanwhile all calendar clocks jumped ahead.
  startLeading(502'000, 7000);
  follow(526'000, 7000);
  LONGS_EQUAL(506'000, at(7000));
}

TEST_GROUP(TimetableClockTests) {
  TimetableClock clock;

  // Returns the calendar time if cluster time is `now` and the calendar clocks deviate from it.
  std::int64_t at(std::int64_t now, std::int64_t deviation) {
    return clock.at(ClusterTime{now}, WallTime{now + deviation}, MonotonicTime{now}).milliseconds;
  }
  void runUntil(std::int64_t from, std::int64_t to, std::int64_t deviation) {
    for (std::int64_t now = from; now < to; now += 10)
      at(now, deviation);
  }
};

TEST(TimetableClockTests, ignoresClocksThatAreAheadForSeconds) {
  clock.restart(MonotonicTime{0});
  runUntil(0, 70'000, 0);
  for (std::int64_t now = 70'000; now < 80'000; now += 10)
    LONGS_EQUAL(now, at(now, (now - 70'000) / 1000 * 2400));
  LONGS_EQUAL(80'000, at(80'000, 0));
}

TEST(TimetableClockTests, followsClocksThatAreBehindAtOnceAndBack) {
  clock.restart(MonotonicTime{0});
  runUntil(0, 70'000, 0);
  LONGS_EQUAL(68'000, at(70'000, -2000));
  LONGS_EQUAL(70'010, at(70'010, 0));
}

TEST(TimetableClockTests, followsClocksThatStayAhead) {
  clock.restart(MonotonicTime{0});
  runUntil(0, 70'000, 0);
  runUntil(70'000, 200'000, 5000);
  LONGS_EQUAL(205'000, at(200'000, 5000));
  // No farther than they have been ahead all the time.
  LONGS_EQUAL(205'010, at(200'010, 9000));
}
