// Computation of due timetable occurrences.
#include "controller/timetable_scheduler.hpp"

namespace aniseline {

std::vector<JobId> TimetableScheduler::dueJobs(const ClusterState& state, ClusterTime clusterNow,
                                               bool calendarTimeKnown) {
  nextOccurrence = ClusterTime{std::numeric_limits<std::int64_t>::max()};
  std::vector<JobId> due;
  for (const auto& id : state.openJobs()) {
    const Job& job = state.jobs().at(id);
    const Timetable& timetable = job.submission.timetable;
    if (job.state != JobState::scheduled || job.firedOccurrences >= timetable.count)
      continue;
    const auto next = timetable.firstStart.milliseconds +
                      std::int64_t(job.firedOccurrences) * timetable.interval.milliseconds;
    nextOccurrence = std::min(nextOccurrence, ClusterTime{next});
    if (calendarTimeKnown && clusterNow.milliseconds >= next)
      due.push_back(id);
  }
  return due;
}

}  // namespace aniseline
