// Decides which attempts get a copy and on which workers.
#include "scheduling/redundant_copies.hpp"
#include "scheduling/data_locality.hpp"
#include "scheduling/unit_placement.hpp"
#include "scheduling/worker_eligibility.hpp"

namespace aniseline::scheduling {

namespace {

// Bounds the copies, so that the loss of a rack does not turn a whole plan into copies.
constexpr std::size_t maxCopiesPerPlan = 8;

bool needsCopy(const StepAttempt& original, const SchedulingContext& context) {
  const auto& [step, attempt] = original;
  const Job& job = step->job();
  if (job.terminating || job.isTerminal() || job.tasks.empty())
    return false;
  const Task& task = job.tasks[attempt->taskIndex];
  if (task.currentAttempt != attempt->number || task.redundantAttempt.value)
    return false;
  const std::uint32_t maxFailures = step->parent->queue->options->maxFailures;
  const bool lastTry = maxFailures && task.failureCount + 1 >= maxFailures;
  if (lastTry)
    return false;
  return context.isOutOfContact(attempt->worker) ||
         isOverdue(*attempt, &step->requirements(), context);
}

// Returns the worker with the fewest unallocated cores, as for any other start; noIndex if there is
// none.
std::size_t workerForCopy(SchedulingContext& context, const StepAttempt& original,
                          const TaskRequest& taskRequest, const BackfillAdmission& backfill) {
  StepView& step = *original.step;
  const Resources request = resourcesOf(taskRequest);
  std::size_t best = noIndex;
  for (auto index : eligibleWorkers(context, step).workerIndices) {
    const WorkerView& worker = context.workers()[index];
    if (!worker.isSchedulable() || worker.penalty() > 0 ||
        worker.id() == original.attempt->worker ||
        !admits(context, step, index, worker.guaranteedFree(), request))
      continue;
    const ClusterTime end = context.now() + expectedRuntime(context, step, worker, taskRequest);
    if (backfill.delaysReservedStart(worker, request, end))
      continue;
    if (best == noIndex || worker.freeCores() < context.workers()[best].freeCores())
      best = index;
  }
  return best;
}

}  // namespace

void startRedundantCopies(SchedulingContext& context, const std::vector<StepAttempt>& redundant,
                          const BackfillAdmission& backfill, PlanDraft& draft) {
  for (const auto& original : redundant) {
    if (draft.plan().redundantCopies >= maxCopiesPerPlan)
      return;
    if (!needsCopy(original, context))
      continue;
    const Attempt& attempt = *original.attempt;
    const Job& job = original.step->job();
    const TaskRequest& request = job.requestOf(job.tasks[attempt.taskIndex]);
    const TenantUsage* tenant = original.step->parent->tenant;
    const Resources resources = resourcesOf(request);
    if (tenant && !tenant->admits(resources, resources))
      continue;
    const std::size_t index = workerForCopy(context, original, request, backfill);
    if (index == noIndex)
      continue;
    UnitPlacement(context, *original.step)
        .place(index, {nullptr, resources, context.now() + request.runtime, false, false});
    Action action = startAction(ActionKind::start, draft.takeAttemptNumber(), attempt.job,
                                attempt.taskIndex, context.workers()[index].id(), request.memory);
    action.redundantCopy = true;
    draft.add(std::move(action));
    ++draft.plan().redundantCopies;
  }
}

}  // namespace aniseline::scheduling
