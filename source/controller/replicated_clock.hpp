// Cluster time on one controller: the time of the log, continued by this machine's monotonic clock.
// Followers continue it too, so that it goes on over a change of leader. Calendar clocks only slew
// it, so a calendar clock that jumps changes no length of time. docs/design.md 3.6.
#ifndef ANISELINE_CONTROLLER_REPLICATED_CLOCK_HPP
#define ANISELINE_CONTROLLER_REPLICATED_CLOCK_HPP
#include "base/types.hpp"

namespace aniseline {

class ReplicatedClock {
 public:
  // While the leader's clock differs from the agreed calendar time, it gains or loses `slewStep` in
  // each `slewInterval`. That is far more than the drift of a monotonic clock, and far too little
  // to change what is measured with it.
  static constexpr Duration slewInterval{1000};
  static constexpr Duration slewStep{1};

  ClusterTime at(MonotonicTime now) const { return base + (now - baseAt); }

  // Called on every controller when it has applied a record. A record that arrived faster than the
  // earlier ones gives a more recent time.
  void observeRecord(ClusterTime recordedAt, MonotonicTime now) {
    if (!running || recordedAt > at(now))
      set(recordedAt, now);
  }

  // Continues at the start of a leadership. \param lastRecordAt  time of the last record in the log
  void startLeading(ClusterTime lastRecordAt, MonotonicTime now) {
    mayStep = !running;
    set(running ? std::max(at(now), lastRecordAt) : lastRecordAt, now);
    lastSlewAt = now;
  }

  // Called by the leader while the voters agree on a calendar time. If this process has not
  // followed the log before it led, only calendar clocks know how long nobody led, so the first
  // agreed time is adopted if it is later. After that, the clock is only slewed.
  void follow(WallTime agreed, MonotonicTime now) {
    const Duration deviation{agreed.milliseconds - at(now).milliseconds};
    if (std::exchange(mayStep, false) && deviation > Duration{0})
      return set(ClusterTime{agreed.milliseconds}, now);
    if (now - lastSlewAt < slewInterval)
      return;
    lastSlewAt = now;
    base = base + std::clamp(deviation, Duration{-slewStep.milliseconds}, slewStep);
  }

 private:
  void set(ClusterTime time, MonotonicTime now) {
    base = time;
    baseAt = now;
    running = true;
  }

  ClusterTime base;
  MonotonicTime baseAt;
  bool running = false;  // `base` is a time of the log
  bool mayStep = false;
  MonotonicTime lastSlewAt;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_REPLICATED_CLOCK_HPP
