// Collects the workers of a pool that have a label.
#include "scheduling/worker_eligibility.hpp"

namespace aniseline::scheduling {

EligibleWorkers& eligibleWorkers(SchedulingContext& context, StepView& step) {
  if (step.eligible)
    return *step.eligible;
  PoolView& pool = *step.parent->queue->pool;
  auto [found, isNew] = pool.eligibleByLabel.try_emplace(step.requirements().requiredLabel);
  step.eligible = &found->second;
  if (!isNew)
    return *step.eligible;
  for (std::size_t index = 0; index < context.workers().size(); ++index) {
    const WorkerView& worker = context.workers()[index];
    if (&worker.pool() != &pool || !worker.capacity().hasLabel(found->first))
      continue;
    step.eligible->workerIndices.push_back(index);
    if (worker.capacity().supportsSuspend)
      step.eligible->anySupportsSuspend = true;
  }
  return *step.eligible;
}

}  // namespace aniseline::scheduling
