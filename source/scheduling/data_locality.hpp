// Where a task of a step runs faster: near its data, and on one rack with the rest of its step.
// docs/paper.md 5, docs/design.md 4.6. Away from these it is expected to take the configured
// `remoteSlowdown` times its requested runtime.
#ifndef ANISELINE_SCHEDULING_DATA_LOCALITY_HPP
#define ANISELINE_SCHEDULING_DATA_LOCALITY_HPP
#include "scheduling/scheduling_context.hpp"

namespace aniseline::scheduling {

/// Would a task of the step run away from its data, or from the rack of its step, on that worker?
/// For a step that wants one rack the first call settles which one, by what is free then: the rack
/// of its attempts, or else the one with the most cores free on eligible workers.
bool isRemote(SchedulingContext& context, StepView& step, const WorkerView& worker);

/// The requested runtime, or that times the slowdown where it would run remotely.
Duration expectedRuntime(SchedulingContext& context, StepView& step, const WorkerView& worker,
                         const TaskRequest& request);

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_DATA_LOCALITY_HPP
