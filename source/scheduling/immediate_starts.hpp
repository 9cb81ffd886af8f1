// Immediate starts by best fit: of the workers where a task fits, the one with the fewest
// unallocated cores is chosen. Paper 2.2; docs/paper.md 2, docs/design.md 4.6.
#ifndef ANISELINE_SCHEDULING_IMMEDIATE_STARTS_HPP
#define ANISELINE_SCHEDULING_IMMEDIATE_STARTS_HPP
#include "scheduling/backfill_admission.hpp"
#include "scheduling/plan_draft.hpp"
#include "scheduling/unit_placement.hpp"

namespace aniseline::scheduling {

class ImmediateStarts {
 public:
  ImmediateStarts(SchedulingContext& context, const BackfillAdmission& backfill, PlanDraft& draft)
      : context(context), backfill(backfill), draft(draft) {}

  /// Selects the workers to try: those near the data or the rack of the unit's step, or all.
  enum class Locality : std::uint8_t { local, any };

  /// Starts the unit, including all parts of a gang, if it fits without delaying the reserved
  /// start: allocates it on its workers and adds its actions to the plan. Otherwise changes nothing
  /// and returns false.
  bool tryStart(const PlacementUnit& unit, Locality locality = Locality::any);

 private:
  struct Assignment {
    std::uint32_t taskIndex;
    std::size_t workerIndex;
  };
  bool enoughSlots(const PlacementUnit& unit) const;
  std::size_t bestWorkerFor(const PlacementUnit& unit, std::uint32_t taskIndex,
                            const std::vector<std::size_t>& racksUsed, Locality locality);
  Allocation allocationFor(const PlacementUnit& unit, const Assignment& assignment);
  void addActions(const PlacementUnit& unit, const std::vector<Assignment>& assignments);

  SchedulingContext& context;
  const BackfillAdmission& backfill;
  PlanDraft& draft;
};

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_IMMEDIATE_STARTS_HPP
