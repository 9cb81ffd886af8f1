// The leader's cluster time: its monotonic clock counted from the time of the last log record,
// advanced to the calendar time on which the voters agree. Never moves backwards within a
// leadership. docs/design.md 3.6.
#ifndef ANISELINE_CONTROLLER_LEADER_CLOCK_HPP
#define ANISELINE_CONTROLLER_LEADER_CLOCK_HPP
#include "base/types.hpp"

namespace aniseline {

class LeaderClock {
 public:
  ClusterTime at(MonotonicTime now) const { return base + (now - baseAt); }
  // Continues from the time of the last record, at the start of a leadership.
  void restart(ClusterTime lastRecordAt, MonotonicTime now) {
    base = lastRecordAt;
    baseAt = now;
  }
  // Advances to the agreed calendar time; an earlier time has no effect.
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
