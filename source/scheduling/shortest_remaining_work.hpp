// Shortest remaining work first, among jobs that have a latency target. UnitOrdering calls it with
// the units in the order of their ranks. docs/design.md 7.12, docs/paper.md 5.
//
// When there is more urgent work than room, the rank alone starts the longest waiting first, each
// just before it would be late, and a few tasks of many jobs. By remaining work a job that was
// begun is completed, and as many jobs as possible are in time.
#ifndef ANISELINE_SCHEDULING_SHORTEST_REMAINING_WORK_HPP
#define ANISELINE_SCHEDULING_SHORTEST_REMAINING_WORK_HPP
#include "scheduling/placement_unit.hpp"

namespace aniseline::scheduling {

/// Units of jobs with a target that are equal in queue priority and target status exchange their
/// positions so that those of the job with the least work to start come first; equal ones keep
/// their order, and units of other jobs their positions. What is past use is left in its order.
///
/// \param units sorted so that equal priority and status stand together
void orderByRemainingWork(std::vector<PlacementUnit>& units);

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_SHORTEST_REMAINING_WORK_HPP
