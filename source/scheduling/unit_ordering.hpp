// Ordering by expansion factor (LXF&W): sorts the placement units in the order in which the plan
// tries them. docs/paper.md 1, and 5 for latency targets; docs/design.md 7.1, 7.8.
//
// Reads the open jobs and the queues' policies. Builds views and lists of eligible workers in the
// context, but allocates nothing.
#ifndef ANISELINE_SCHEDULING_UNIT_ORDERING_HPP
#define ANISELINE_SCHEDULING_UNIT_ORDERING_HPP
#include "scheduling/compiled_policies.hpp"
#include "scheduling/placement_unit.hpp"
#include "scheduling/scheduling_context.hpp"

namespace aniseline::scheduling {

class UnitOrdering {
 public:
  UnitOrdering(SchedulingContext& context, const CompiledPolicies& policies)
      : context(context), policies(policies) {}

  /// Returns the units that may start now, in the order in which they are tried. They remain valid
  /// for the lifetime of this object; call it once.
  const std::vector<PlacementUnit>& collect();

 private:
  void collectBatches(JobView& job);
  void rank(TaskBatch& batch) const;
  void orderUnits();

  SchedulingContext& context;
  const CompiledPolicies& policies;
  std::deque<TaskBatch> batches;
  std::vector<PlacementUnit> units;
};

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_UNIT_ORDERING_HPP
