// Computation of due timetable occurrences.
#include "controller/timetable_scheduler.hpp"

namespace aniseline {

namespace {
// A deferred occurrence waits for others to end or start, which takes longer than a step.
constexpr Duration deferralInterval{100};
}  // namespace

std::vector<JobId> TimetableScheduler::dueJobs(const ClusterState& state, ClusterTime calendarNow) {
  std::erase_if(deferredUntil, [&](const auto& entry) { return entry.second <= calendarNow; });
  nextOccurrence = ClusterTime{std::numeric_limits<std::int64_t>::max()};
  std::vector<JobId> due;
  for (const auto& id : state.openJobs()) {
    const Job& job = state.jobs().at(id);
    const Timetable& timetable = job.submission.timetable;
    if (job.state != JobState::scheduled || job.firedOccurrences >= timetable.count)
      continue;
    const auto next = timetable.firstStart.milliseconds +
                      std::int64_t(job.firedOccurrences) * timetable.interval.milliseconds;
    const auto deferral = deferredUntil.find(id);
    const ClusterTime dueAt = deferral == deferredUntil.end()
                                  ? ClusterTime{next}
                                  : std::max(ClusterTime{next}, deferral->second);
    nextOccurrence = std::min(nextOccurrence, dueAt);
    if (calendarNow >= dueAt)
      due.push_back(id);
  }
  return due;
}

void TimetableScheduler::defer(const JobId& job, ClusterTime calendarNow) {
  deferredUntil[job] = calendarNow + deferralInterval;
}

}  // namespace aniseline
