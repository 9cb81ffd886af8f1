#include "scheduling/checkpoint_preemption.hpp"
#include "scheduling/latency_target.hpp"
#include "state/stop_reasons.hpp"

namespace aniseline::scheduling {

namespace {

// A run that gives way has gone on for at least this long, so that work which is stopped again and
// again still makes progress: several times what a stop and a start from a checkpoint take.
constexpr Duration minRuntimeBeforePreemption{1500};

// Of the runs that may give way, the least urgent first, and of these the one that began last.
bool givesWayBefore(const StepAttempt& left, const StepAttempt& right) {
  const std::int64_t leftPriority = left.step->parent->queue->options->priority;
  const std::int64_t rightPriority = right.step->parent->queue->options->priority;
  if (leftPriority != rightPriority)
    return leftPriority < rightPriority;
  return left.attempt->number > right.attempt->number;
}

}  // namespace

void CheckpointPreemption::makeRoom(const std::vector<const PlacementUnit*>& blocked,
                                    const std::vector<StepAttempt>& checkpointed) {
  if (!context.options().strictPriority || checkpointed.empty())
    return;
  CoresByPool lacking = coresLacking(blocked, checkpointed);
  if (lacking.empty())
    return;
  std::vector<StepAttempt> candidates;
  for (const auto& run : checkpointed) {
    if (mayGiveWay(run))
      candidates.push_back(run);
  }
  std::sort(candidates.begin(), candidates.end(), givesWayBefore);
  for (const auto& run : candidates) {
    const auto pool = lacking.find(run.step->parent->queue->pool);
    if (pool == lacking.end() || pool->second <= 0)
      continue;
    draft.addStop(*run.attempt, stop_reasons::preempted);
    pool->second -= run.attempt->cores;
  }
}

// What urgent work that is of use waits for, less what attempts that are being stopped leave soon.
CheckpointPreemption::CoresByPool CheckpointPreemption::coresLacking(
    const std::vector<const PlacementUnit*>& blocked,
    const std::vector<StepAttempt>& checkpointed) const {
  CoresByPool lacking;
  for (const auto* unit : blocked) {
    if (context.isUrgent(unit->queue()) &&
        unit->batch->latencyTarget.status != TargetStatus::expired)
      lacking[unit->queue().pool] += unit->batch->coresPerUnit;
  }
  for (const auto& run : checkpointed) {
    const auto pool = lacking.find(run.step->parent->queue->pool);
    if (run.attempt->state == AttemptState::stopping && pool != lacking.end())
      pool->second -= run.attempt->cores;
  }
  return lacking;
}

bool CheckpointPreemption::mayGiveWay(const StepAttempt& run) {
  const Attempt& attempt = *run.attempt;
  JobView& job = *run.step->parent;
  if (attempt.state != AttemptState::running || context.isUrgent(*job.queue) ||
      attempt.runtimeAt(context.now()) < minRuntimeBeforePreemption)
    return false;
  if (exceededTimeLimit(attempt, *job.queue->options, context.now()))
    return false;  // stopped already
  const std::size_t workerIndex = context.workerIndexOf(attempt.worker);
  if (workerIndex == noIndex || !context.workers()[workerIndex].isSchedulable())
    return false;
  const auto [known, isNew] = hasSlack.try_emplace(&job);
  if (isNew) {
    const auto target = assessLatencyTarget(*job.job, *job.queue->options, context.now());
    known->second = !target.lowSlack || target.status == TargetStatus::expired;
  }
  return known->second;
}

}  // namespace aniseline::scheduling
