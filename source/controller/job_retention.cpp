// Limits on the number and age of finished jobs. docs/design.md 4.5.
#include "controller/job_retention.hpp"

namespace aniseline {

namespace {
constexpr Duration fullDetailRetention{60'000};  // time from a job's end until it is compacted
constexpr std::size_t maxJobsPerEvent = 2000;    // bounds the size of a log entry
}  // namespace

// Finished jobs never cause new jobs to be rejected: when the limit is exceeded, the jobs that
// ended first are removed.
void JobRetention::collectExpired(const ClusterState& state, ClusterTime clusterNow,
                                  JobsExpired& expired) const {
  const auto& limits = state.config().planner;
  std::size_t retained = state.jobs().size();
  for (const auto& [endedAt, id] : state.jobsByEndTime()) {
    const bool isExpired =
        clusterNow - endedAt > limits.finishedJobRetention || retained > limits.maxRetainedJobs;
    if (!isExpired || expired.jobs.size() >= maxJobsPerEvent)
      break;
    --retained;
    expired.jobs.push_back(id);
  }
  for (const auto& [id, worker] : state.workers())
    if (worker.state == WorkerState::removed &&
        clusterNow - worker.lastSeenAt > limits.finishedJobRetention)
      expired.workers.push_back(id);
}

void JobRetention::collectCompactable(const ClusterState& state, ClusterTime clusterNow,
                                      Duration retention, JobsExpired& expired) {
  bool skipped = false;
  for (auto next = state.jobsByEndTime().lower_bound({compactedThrough, JobId{}});
       next != state.jobsByEndTime().end() && expired.compacted.size() < maxJobsPerEvent; ++next) {
    const auto& [endedAt, id] = *next;
    if (clusterNow - endedAt <= retention)
      break;
    // A job whose attempts are not all closed can't be compacted yet; it is looked at again.
    const bool hasAttempts = state.hasAttemptOf(id, AttemptScope::all);
    skipped = skipped || hasAttempts;
    if (!skipped)
      compactedThrough = endedAt;
    if (!hasAttempts && !state.jobs().at(id).compactedTaskCount)
      expired.compacted.push_back(id);
  }
}

std::optional<JobsExpired> JobRetention::collect(const ClusterState& state, ClusterTime clusterNow,
                                                 bool memoryIsScarce) {
  JobsExpired expired;
  collectExpired(state, clusterNow, expired);
  collectCompactable(state, clusterNow, memoryIsScarce ? Duration{0} : fullDetailRetention,
                     expired);
  if (expired.jobs.empty() && expired.compacted.empty() && expired.workers.empty())
    return std::nullopt;
  return expired;
}

}  // namespace aniseline
