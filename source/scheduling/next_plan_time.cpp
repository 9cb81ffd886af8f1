// Computes when the planner has to run without an event that triggers a plan. docs/design.md 7.
#include "scheduling/planner.hpp"
#include "scheduling/scheduling_limits.hpp"
#include "scheduling/worker_view.hpp"

namespace aniseline {

using namespace scheduling;

namespace {

// Interval for rechecking staged gangs, which may be launched as soon as all their workers have
// been heard from.
constexpr Duration stagedGangInterval{200};
// Interval of plans while work is pending, since an expected end can pass without any event.
constexpr Duration pendingTaskInterval{500};
// A timeout takes effect only when it is exceeded, one millisecond after it is reached.
constexpr Duration oneMillisecond{1};

// Keeps the earliest of the given times, each no earlier than a millisecond from now.
class EarliestTime {
 public:
  explicit EarliestTime(ClusterTime now) : now(now) {}
  void consider(ClusterTime time) {
    if (time <= now)
      time = now + oneMillisecond;
    if (!earliest || time < *earliest)
      earliest = time;
  }
  const std::optional<ClusterTime>& get() const { return earliest; }

 private:
  ClusterTime now;
  std::optional<ClusterTime> earliest;
};

void considerAttempt(const Attempt& attempt, ClusterTime now, EarliestTime& due) {
  if (attempt.isTrial() && attempt.state == AttemptState::running)
    due.consider(now + (attempt.quantum + trialStopGrace - attempt.runtimeAt(now)) +
                 oneMillisecond);
  if (!attempt.gang)
    return;
  const bool ordered = attempt.state == AttemptState::ordered;
  if (!attempt.selfAssembling && (ordered || attempt.state == AttemptState::staged))
    due.consider(now + stagedGangInterval);
  if (attempt.state == AttemptState::launching || (attempt.selfAssembling && ordered))
    due.consider(attempt.runningSince + startConfirmationTimeout + oneMillisecond);
}

void considerHardLimit(const Attempt& attempt, const ClusterState& clusterState, ClusterTime now,
                       EarliestTime& due) {
  if (attempt.isTrial() || attempt.state != AttemptState::running)
    return;
  const auto job = clusterState.jobs().find(attempt.job);
  if (job == clusterState.jobs().end())
    return;
  const auto* queue = clusterState.config().findQueue(job->second.submission.queue);
  if (queue && queue->hardRuntimeLimit.milliseconds > 0)
    due.consider(now + (queue->hardRuntimeLimit - attempt.runtimeAt(now)) + oneMillisecond);
}

void considerPendingTasks(const ClusterState& clusterState, ClusterTime now, EarliestTime& due) {
  const ClusterTime nextCheck = now + pendingTaskInterval;
  for (const auto& id : clusterState.openJobs()) {
    if (due.get() && *due.get() <= nextCheck)
      return;
    const Job& job = clusterState.jobs().at(id);
    if (job.state != JobState::active)
      continue;
    auto pending = std::find_if(job.tasks.begin(), job.tasks.end(),
                                [](const Task& task) { return task.state == TaskState::pending; });
    if (pending != job.tasks.end())
      due.consider(std::max(pending->notBefore, nextCheck));
  }
}

}  // namespace

std::optional<ClusterTime> Planner::nextPlanTime(const ClusterState& clusterState,
                                                 ClusterTime now) {
  const auto& queues = clusterState.config().queues;
  const bool anyHardLimit = std::any_of(queues.begin(), queues.end(), [](const auto& queue) {
    return queue.second.hardRuntimeLimit.milliseconds > 0;
  });
  EarliestTime due(now);
  for (const auto& [number, attempt] : clusterState.attempts()) {
    if (attempt.abandoned)
      continue;
    considerAttempt(attempt, now, due);
    if (anyHardLimit)
      considerHardLimit(attempt, clusterState, now, due);
  }
  considerPendingTasks(clusterState, now, due);
  return due.get();
}

}  // namespace aniseline
