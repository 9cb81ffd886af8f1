// Selects the attempts that are preempted for urgent work.
#include "scheduling/checkpoint_preemption.hpp"
#include "scheduling/latency_target.hpp"
#include "state/stop_reasons.hpp"

namespace aniseline::scheduling {

namespace {

// Minimum runtime of an attempt before it may be preempted. It is several times the duration of a
// stop and a start from a checkpoint, so that work which is stopped repeatedly still makes
// progress.
constexpr Duration minRuntimeBeforePreemption{1500};

// Orders the candidates: the least urgent first, and among equally urgent ones the one that started
// last.
bool isPreemptedBefore(const StepAttempt& left, const StepAttempt& right) {
  const std::int64_t leftPriority = left.step->parent->queue->options->priority;
  const std::int64_t rightPriority = right.step->parent->queue->options->priority;
  if (leftPriority != rightPriority)
    return leftPriority < rightPriority;
  return left.attempt->number > right.attempt->number;
}

}  // namespace

void CheckpointPreemption::preemptFor(const std::vector<const PlacementUnit*>& blocked,
                                      const std::vector<StepAttempt>& checkpointed) {
  if (!context.options().strictPriority || checkpointed.empty())
    return;
  CoresByPool lacking = coresLacking(blocked, checkpointed);
  if (lacking.empty())
    return;
  std::vector<StepAttempt> candidates;
  for (const auto& candidate : checkpointed) {
    if (mayBePreempted(candidate))
      candidates.push_back(candidate);
  }
  std::sort(candidates.begin(), candidates.end(), isPreemptedBefore);
  for (const auto& candidate : candidates) {
    const auto pool = lacking.find(candidate.step->parent->queue->pool);
    if (pool == lacking.end() || pool->second <= 0)
      continue;
    draft.addStop(*candidate.attempt, stop_reasons::preempted);
    pool->second -= candidate.attempt->cores;
  }
}

// Returns the cores that blocked urgent units lack, without expired units, less the cores that
// attempts being stopped will soon release.
CheckpointPreemption::CoresByPool CheckpointPreemption::coresLacking(
    const std::vector<const PlacementUnit*>& blocked,
    const std::vector<StepAttempt>& checkpointed) const {
  CoresByPool lacking;
  for (const auto* unit : blocked) {
    if (context.isUrgent(unit->queue()) &&
        unit->batch->latencyTarget.status != TargetStatus::expired)
      lacking[unit->queue().pool] += unit->batch->coresPerUnit;
  }
  for (const auto& candidate : checkpointed) {
    const auto pool = lacking.find(candidate.step->parent->queue->pool);
    if (candidate.attempt->state == AttemptState::stopping && pool != lacking.end())
      pool->second -= candidate.attempt->cores;
  }
  return lacking;
}

bool CheckpointPreemption::mayBePreempted(const StepAttempt& candidate) {
  const Attempt& attempt = *candidate.attempt;
  JobView& job = *candidate.step->parent;
  if (attempt.state != AttemptState::running || context.isUrgent(*job.queue) ||
      attempt.runtimeAt(context.now()) < minRuntimeBeforePreemption)
    return false;
  if (exceededTimeLimit(attempt, *job.queue->options, context.now()))
    return false;  // already stopped for its time limit
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
