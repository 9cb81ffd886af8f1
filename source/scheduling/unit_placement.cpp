// Changes the views of worker, step and tenant together.
#include "scheduling/unit_placement.hpp"

namespace aniseline::scheduling {

UnitPlacement::UnitPlacement(SchedulingContext& context, StepView& step)
    : context(context), step(step) {
  if (const TenantUsage* tenant = step.parent->tenant)
    tenantBefore = *tenant;
}

void UnitPlacement::place(std::size_t workerIndex, const Allocation& allocation) {
  context.workers()[workerIndex].allocate(allocation);
  step.addTaskOn(workerIndex, context.workers().size());
  if (TenantUsage* tenant = step.parent->tenant)
    tenant->addOrdered(allocation.resources, allocation.resources);
  workerIndices.push_back(workerIndex);
}

void UnitPlacement::rollBack() {
  for (; !workerIndices.empty(); workerIndices.pop_back()) {
    context.workers()[workerIndices.back()].releaseLast();
    step.removeTaskFrom(workerIndices.back());
  }
  if (tenantBefore)
    *step.parent->tenant = *tenantBefore;
}

}  // namespace aniseline::scheduling
