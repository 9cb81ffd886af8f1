// Shortest remaining work first, among jobs with a latency target. UnitOrdering calls it with the
// units in the order of their ranks. docs/design.md 7.12, docs/paper.md 5.
//
// When there is more urgent work than room, the rank alone starts the work that has waited longest,
// each job just before it would be late, and a few tasks of many jobs. Ordering by remaining work
// completes jobs that have begun, so that as many jobs as possible are on time.
#ifndef ANISELINE_SCHEDULING_SHORTEST_REMAINING_WORK_HPP
#define ANISELINE_SCHEDULING_SHORTEST_REMAINING_WORK_HPP
#include "scheduling/placement_unit.hpp"

namespace aniseline::scheduling {

/// Reorders the units of jobs with a latency target within each group of equal queue priority and
/// target status, so that units of the job with the least work to start come first. Equal units
/// keep their order, and units of other jobs keep their positions. Expired units are not reordered.
///
/// \param units sorted so that units of equal priority and status are contiguous
void orderByRemainingWork(std::vector<PlacementUnit>& units);

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_SHORTEST_REMAINING_WORK_HPP
