// Exclusion of slow workers: those on which work takes far longer than on their peers, or stands
// still, get none while others are sound. docs/design.md 5.6, docs/paper.md 5.
#ifndef ANISELINE_SCHEDULING_SLOW_WORKERS_HPP
#define ANISELINE_SCHEDULING_SLOW_WORKERS_HPP
#include "scheduling/scheduling_context.hpp"

namespace aniseline::scheduling {

/// Reads the runtime ratios of the hints and the overdue jobs of each worker; excludes the slowest
/// workers from new work and penalises the less slow ones. At most a third of a pool is passed
/// over, since all this is a guess. Workers that support suspending are left alone: the paper's
/// immediate service runs there.
void excludeSlowWorkers(SchedulingContext& context, const RuntimeRatios& runtimeRatios);

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_SLOW_WORKERS_HPP
