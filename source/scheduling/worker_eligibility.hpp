// Which workers may run the tasks of a step at all: pool, label, and the limit of tasks per worker.
// docs/paper.md 5, docs/design.md 4.6. Where among these a task runs faster is data_locality.hpp's.
#ifndef ANISELINE_SCHEDULING_WORKER_ELIGIBILITY_HPP
#define ANISELINE_SCHEDULING_WORKER_ELIGIBILITY_HPP
#include "scheduling/scheduling_context.hpp"

namespace aniseline::scheduling {

/// The workers of the queue's pool that have the step's label. Reads capacities only, so it is
/// worked out once a pool and label and kept in the pool's view; the step's view points there.
EligibleWorkers& eligibleWorkers(SchedulingContext& context, StepView& step);

/// May a task of the step be started on the worker, as far as what is free there goes? Changes
/// nothing. `free` is what the caller counts as free on it.
inline bool admits(const SchedulingContext& context, const StepView& step, std::size_t workerIndex,
                   const Resources& free, const Resources& request) {
  return context.workers()[workerIndex].fitsInto(free, request, context.trialMemory()) &&
         step.admitsTaskOn(workerIndex);
}

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_WORKER_ELIGIBILITY_HPP
