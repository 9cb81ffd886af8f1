// Delay scheduling: a unit waits for room near its data, or on the rack of its step, for as long as
// a remote run would take longer than a local one. Units that fit only on remote workers are tried
// after all others of their priority, and not before that wait is over. docs/design.md 7.11.
#ifndef ANISELINE_SCHEDULING_LOCALITY_WAIT_HPP
#define ANISELINE_SCHEDULING_LOCALITY_WAIT_HPP
#include "scheduling/placement_unit.hpp"
#include "scheduling/scheduling_context.hpp"

namespace aniseline::scheduling {

/// Upper bound of the wait for tasks of any runtime, so that long work that seldom finds room near
/// its data is not held back for longer.
inline constexpr Duration maxLocalityWait{2000};

/// Reports whether the unit prefers a particular rack.
inline bool prefersRack(const PlacementUnit& unit, const SchedulingContext& context) {
  const StepRequirements& requirements = unit.requirements();
  return context.isOn(Policy::localityWait) && context.options().remoteSlowdown > 1 &&
         (requirements.sameRack || !requirements.preferredRack.empty());
}

/// Reports whether such a unit has waited long enough to run anywhere.
inline bool localityWaitIsOver(const PlacementUnit& unit, const SchedulingContext& context) {
  const double extraShare = context.options().remoteSlowdown - 1;
  const auto extraRuntime =
      Duration{std::int64_t(extraShare * double(unit.batch->runtime.milliseconds))};
  return context.now() - unit.batch->readyAt >= std::min(extraRuntime, maxLocalityWait);
}

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_LOCALITY_WAIT_HPP
