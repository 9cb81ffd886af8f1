// Exclusion of slow workers: a worker on which work is stuck, or takes far longer than on its
// peers, gets no new work while others are healthy. docs/design.md 5.6, docs/paper.md 5.
#ifndef ANISELINE_SCHEDULING_SLOW_WORKERS_HPP
#define ANISELINE_SCHEDULING_SLOW_WORKERS_HPP
#include "scheduling/scheduling_context.hpp"

namespace aniseline::scheduling {

/// Excludes the slowest workers from new work and penalises the less slow ones, based on the
/// runtime ratios of the hints and the overdue jobs of each worker. At most a third of a pool is
/// affected, since these are only estimates. Workers that support suspending are left alone,
/// because the paper's immediate service runs there.
void excludeSlowWorkers(SchedulingContext& context, const RuntimeRatios& runtimeRatios);

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_SLOW_WORKERS_HPP
