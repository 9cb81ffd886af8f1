// Enters the tasks that a plan starts into all views that limit later starts of the plan: the
// resources of the worker, the number of the step's tasks there, and the usage of the tenant. Every
// policy that starts work goes through this class. docs/design.md 7.14.
#ifndef ANISELINE_SCHEDULING_UNIT_PLACEMENT_HPP
#define ANISELINE_SCHEDULING_UNIT_PLACEMENT_HPP
#include "scheduling/scheduling_context.hpp"

namespace aniseline::scheduling {

/// The placements of one task, or of all parts of one gang, of a step.
class UnitPlacement {
 public:
  /// Both references must outlive this object.
  UnitPlacement(SchedulingContext& context, StepView& step);

  /// Enters one task on a worker.
  void place(std::size_t workerIndex, const Allocation& allocation);
  /// Takes back all placements. Nothing else may have been placed since.
  void rollBack();

 private:
  SchedulingContext& context;
  StepView& step;
  std::vector<std::size_t> workerIndices;  // of the placements, in order
  std::optional<TenantUsage> tenantBefore;
};

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_UNIT_PLACEMENT_HPP
