// Data locality: a task runs faster near its data, and on the same rack as the rest of its step.
// docs/paper.md 5, docs/design.md 4.6. Elsewhere it is expected to take the configured
// `remoteSlowdown` times its requested runtime.
#ifndef ANISELINE_SCHEDULING_DATA_LOCALITY_HPP
#define ANISELINE_SCHEDULING_DATA_LOCALITY_HPP
#include "scheduling/scheduling_context.hpp"

namespace aniseline::scheduling {

/// Reports whether a task of the step would run away from its data, or from the rack of its step,
/// on that worker. For a step that requires one rack the first call chooses the rack: that of the
/// step's attempts, or else the one with the most cores free on eligible workers at that time.
bool isRemote(SchedulingContext& context, StepView& step, const WorkerView& worker);

/// Returns the requested runtime, multiplied by the slowdown if the task would run remotely.
Duration expectedRuntime(SchedulingContext& context, StepView& step, const WorkerView& worker,
                         const TaskRequest& request);

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_DATA_LOCALITY_HPP
