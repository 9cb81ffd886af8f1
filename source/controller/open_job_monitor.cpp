// Detection of jobs that can't run and of tasks that don't start. docs/design.md 4.8.
#include "controller/open_job_monitor.hpp"
#include "scheduling/feasibility.hpp"

namespace aniseline {

namespace {

constexpr Duration checkInterval{500};
// Tasks that have waited for less than this are not examined: most tasks start at once, and
// examining all workers is expensive.
constexpr Duration examinationDelay{300};
constexpr Duration delayThreshold{3000};
// More reports per check would add no information, and each takes time when the controller is most
// loaded.
constexpr std::size_t maxReportsPerCheck = 3;
constexpr std::size_t maxRememberedReports = 1000;

bool hasWaitingTask(const Job& job, ClusterTime clusterNow) {
  return std::any_of(job.tasks.begin(), job.tasks.end(), [&](const Task& task) {
    return task.state == TaskState::pending && clusterNow - task.readyAt > examinationDelay;
  });
}

std::optional<std::string> findInfeasibility(const Job& job, const ClusterState& state) {
  for (const auto& step : job.submission.steps)
    if (auto reason = infeasibilityReason(state, job.submission, step))
      return reason;
  return std::nullopt;
}

bool isDelayed(const Task& task, ClusterTime clusterNow) {
  return task.state == TaskState::pending &&
         clusterNow - std::max(task.readyAt, task.notBefore) > delayThreshold;
}

bool isDelayed(const Attempt& attempt, ClusterTime clusterNow) {
  const bool notStarted =
      attempt.state == AttemptState::ordered || attempt.state == AttemptState::stopping;
  return notStarted && clusterNow - attempt.orderedAt > delayThreshold + attempt.runtime;
}

}  // namespace

std::vector<JobFailed> OpenJobMonitor::check(const ClusterState& state, ClusterTime clusterNow,
                                             MonotonicTime now) {
  std::vector<JobFailed> failed;
  if (now < nextCheck)
    return failed;
  nextCheck = now + checkInterval;
  reportsThisCheck = 0;
  for (const auto& id : state.openJobs()) {
    const Job& job = state.jobs().at(id);
    if (job.state != JobState::active || job.terminating)
      continue;
    reportIfDelayed(job, state, clusterNow);
    if (!hasWaitingTask(job, clusterNow))
      continue;
    if (auto reason = findInfeasibility(job, state))
      failed.push_back({id, std::move(*reason)});
  }
  if (reported.size() > maxRememberedReports)
    reported.clear();
  return failed;
}

void OpenJobMonitor::reportIfDelayed(const Job& job, const ClusterState& state,
                                     ClusterTime clusterNow) {
  const JobId& id = job.submission.id;
  if (reportsThisCheck >= maxReportsPerCheck || reported.count(id))
    return;
  for (const auto& task : job.tasks) {
    auto found = state.attempts().find(task.currentAttempt);
    const Attempt* attempt = found == state.attempts().end() ? nullptr : &found->second;
    if (!isDelayed(task, clusterNow) && !(attempt && isDelayed(*attempt, clusterNow)))
      continue;
    log_events::TaskDelayed delayed{
        id, task.stepIndex, task.indexInStep, task.runNumber, task.state, {}, {}};
    if (attempt)
      delayed.attempt = log_events::TaskDelayed::BlockedAttempt{attempt->state, attempt->worker};
    if (state.reservation().isActive())
      delayed.reservedFor = state.reservation().job;
    reported.insert(id);
    ++reportsThisCheck;
    events(delayed);
    return;
  }
}

}  // namespace aniseline
