// Tracks since when plans have passed over work that would fit, as a hint for later plans. The data
// is local to the leader, not logged, and reset at the start of each leadership. Owned by
// PlanningDriver. docs/design.md 7.9.
#ifndef ANISELINE_CONTROLLER_PASSED_OVER_TRACKER_HPP
#define ANISELINE_CONTROLLER_PASSED_OVER_TRACKER_HPP
#include "scheduling/planner.hpp"

namespace aniseline {

class PassedOverTracker {
 public:
  void clear() { since.clear(); }
  // Records the units passed over by the plan made at `now`. A unit that is not listed was started
  // or did not fit, so its time starts again from zero.
  void record(const std::vector<PassedOverUnit>& units, MonotonicTime now);
  std::map<PassedOverUnit, Duration> durations(MonotonicTime now) const;

 private:
  std::map<PassedOverUnit, MonotonicTime> since;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_PASSED_OVER_TRACKER_HPP
