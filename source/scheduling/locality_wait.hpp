// Work waits a little for room near its data, or on the rack of its step: as long as a run away
// from it would take longer than one there (delay scheduling). Units whose only room is away are
// tried after all others of their priority, and not before they have waited so long.
// docs/design.md 7.11.
#ifndef ANISELINE_SCHEDULING_LOCALITY_WAIT_HPP
#define ANISELINE_SCHEDULING_LOCALITY_WAIT_HPP
#include "scheduling/placement_unit.hpp"
#include "scheduling/scheduling_context.hpp"

namespace aniseline::scheduling {

/// Work that seldom finds room near its data is not held back for longer, however long it runs.
inline constexpr Duration maxLocalityWait{2000};

/// Does it matter to the unit on which rack it runs?
inline bool prefersRack(const PlacementUnit& unit, const SchedulingContext& context) {
  const StepRequirements& requirements = unit.requirements();
  return context.isOn(Policy::localityWait) && context.options().remoteSlowdown > 1 &&
         (requirements.sameRack || !requirements.preferredRack.empty());
}

/// Has such a unit waited long enough to run anywhere?
inline bool localityWaitIsOver(const PlacementUnit& unit, const SchedulingContext& context) {
  const double extraShare = context.options().remoteSlowdown - 1;
  const auto extraRuntime =
      Duration{std::int64_t(extraShare * double(unit.batch->runtime.milliseconds))};
  return context.now() - unit.batch->readyAt >= std::min(extraRuntime, maxLocalityWait);
}

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_LOCALITY_WAIT_HPP
