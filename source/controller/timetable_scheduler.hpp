// Finds the jobs with a timetable whose next occurrence is due, by the calendar time that
// TimetableClock gives. Scans the open jobs only when the earliest known occurrence is due.
// docs/design.md 3.6, 10.1.
#ifndef ANISELINE_CONTROLLER_TIMETABLE_SCHEDULER_HPP
#define ANISELINE_CONTROLLER_TIMETABLE_SCHEDULER_HPP
#include "state/cluster_state.hpp"

namespace aniseline {

class TimetableScheduler {
 public:
  // Called when a job with a timetable was accepted or has fired; the next occurrence is then
  // recomputed.
  void invalidate() { nextOccurrence = ClusterTime{}; }
  bool isDue(ClusterTime calendarNow) const { return calendarNow >= nextOccurrence; }
  // Returns the jobs that have a due occurrence.
  std::vector<JobId> dueJobs(const ClusterState& state, ClusterTime calendarNow);
  // Called when the due occurrence of a job can't start yet. It is due again after a short
  // interval.
  void defer(const JobId& job, ClusterTime calendarNow);

 private:
  ClusterTime nextOccurrence;
  std::map<JobId, ClusterTime> deferredUntil;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_TIMETABLE_SCHEDULER_HPP
