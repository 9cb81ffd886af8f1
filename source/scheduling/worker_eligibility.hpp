// Decides which workers may run the tasks of a step: by pool, label and the limit of tasks per
// worker. docs/paper.md 5, docs/design.md 4.6. data_locality.hpp decides on which of them a task
// runs faster.
#ifndef ANISELINE_SCHEDULING_WORKER_ELIGIBILITY_HPP
#define ANISELINE_SCHEDULING_WORKER_ELIGIBILITY_HPP
#include "scheduling/scheduling_context.hpp"

namespace aniseline::scheduling {

/// Returns the workers of the queue's pool that have the step's label. The result depends on
/// capacities only, so it is computed once for each pool and label and cached in the pool's view;
/// the step's view points to it.
EligibleWorkers& eligibleWorkers(SchedulingContext& context, StepView& step);

/// Reports whether a task of the step fits on the worker and is admitted there. Changes nothing.
/// `free` is the amount that the caller counts as free on the worker.
inline bool admits(const SchedulingContext& context, const StepView& step, std::size_t workerIndex,
                   const Resources& free, const Resources& request) {
  return context.workers()[workerIndex].fitsInto(free, request, context.trialMemory()) &&
         step.admitsTaskOn(workerIndex);
}

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_WORKER_ELIGIBILITY_HPP
