// The leader's reading of cluster time: its monotonic clock since its first
// record, moved ahead to the calendar time that the voters agree on. Never goes
// back within a leadership. docs/design.md 3.6.
#ifndef ANISELINE_CONTROLLER_LEADER_CLOCK_HPP
#define ANISELINE_CONTROLLER_LEADER_CLOCK_HPP
#include "base/types.hpp"

namespace aniseline {

class LeaderClock {
 public:
  ClusterTime at(MonotonicTime now) const { return base + (now - baseAt); }
  // Goes on from the time of the last record, at the beginning of a leadership.
  void restart(ClusterTime lastRecordAt, MonotonicTime now) {
    base = lastRecordAt;
    baseAt = now;
  }
  // Moves ahead to the agreed calendar time; an earlier one changes nothing.
  void advanceTo(WallTime agreed, MonotonicTime now) {
    if (agreed.milliseconds > at(now).milliseconds)
      restart(ClusterTime{agreed.milliseconds}, now);
  }

 private:
  ClusterTime base;
  MonotonicTime baseAt;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_LEADER_CLOCK_HPP
