// The leader's calendar time for timetables: cluster time, corrected by how far the voters'
// calendar clocks deviate from it. An occurrence that starts early can't be taken back, one that
// starts late can, so a deviation ahead is followed only after it has lasted. docs/design.md 3.6.
#ifndef ANISELINE_CONTROLLER_TIMETABLE_CLOCK_HPP
#define ANISELINE_CONTROLLER_TIMETABLE_CLOCK_HPP
#include "base/types.hpp"

namespace aniseline {

class TimetableClock {
 public:
  // The clocks have to be ahead for at least this long, and at most twice as long, before
  // timetables follow them. Jumps of calendar clocks last for seconds.
  static constexpr Duration confirmationTime{60'000};

  // Forgets earlier deviations, at the start of a leadership.
  void restart(MonotonicTime now) {
    *this = TimetableClock{};
    windowStartedAt = now;
  }

  // Returns the calendar time by which timetables go. \param agreed  the agreed time of the voters'
  // calendar clocks; must be passed in regularly, as often as cluster time is used
  ClusterTime at(ClusterTime clusterNow, WallTime agreed, MonotonicTime now) {
    const Duration deviation{agreed.milliseconds - clusterNow.milliseconds};
    recordDeviation(deviation, now);
    const Duration confirmed =
        lowestBefore ? std::min(lowestNow, *lowestBefore) : Duration{0};  // of the last windows
    return clusterNow + std::min(deviation, std::max(confirmed, Duration{0}));
  }

 private:
  void recordDeviation(Duration deviation, MonotonicTime now) {
    if (now - windowStartedAt >= confirmationTime) {
      lowestBefore = lowestNow;
      lowestNow = deviation;
      windowStartedAt = now;
    }
    lowestNow = std::min(lowestNow, deviation);
  }

  MonotonicTime windowStartedAt;
  Duration lowestNow{std::numeric_limits<std::int64_t>::max()};
  std::optional<Duration> lowestBefore;  // of the window before, if there was one
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_TIMETABLE_CLOCK_HPP
