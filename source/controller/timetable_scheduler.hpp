// Finds the jobs with a timetable whose next occurrence is due, by cluster
// time. Looks at the open jobs only when the earliest occurrence that it knows
// of has come. docs/design.md 3.6.
#ifndef ANISELINE_CONTROLLER_TIMETABLE_SCHEDULER_HPP
#define ANISELINE_CONTROLLER_TIMETABLE_SCHEDULER_HPP
#include "state/cluster_state.hpp"

namespace aniseline {

class TimetableScheduler {
 public:
  // A job with a timetable was accepted or has fired: the next occurrence is
  // found anew.
  void invalidate() { nextOccurrence = ClusterTime{}; }
  bool isDue(ClusterTime clusterNow) const { return clusterNow >= nextOccurrence; }
  // The jobs of which an occurrence is due. None while the calendar time is not
  // known, since timetables are written in it.
  std::vector<JobId> dueJobs(const ClusterState& state, ClusterTime clusterNow,
                             bool calendarTimeKnown);

 private:
  ClusterTime nextOccurrence;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_TIMETABLE_SCHEDULER_HPP
