// The single reserved start of a plan: the first unit that can't start now gets the earliest start
// that is guaranteed by requested runtimes, and no unit after it in the plan may delay it. Paper
// 2.2; docs/paper.md 3. backfill_admission.hpp decides which units may start beside it.
#ifndef ANISELINE_SCHEDULING_RESERVED_START_HPP
#define ANISELINE_SCHEDULING_RESERVED_START_HPP
#include "scheduling/placement_unit.hpp"
#include "scheduling/scheduling_context.hpp"

namespace aniseline::scheduling {

class ReservedStart {
 public:
  explicit ReservedStart(SchedulingContext& context) : context(context) {}

  /// Reports whether a unit holds the reserved start in this plan.
  bool isHeld() const { return reservation.isActive(); }
  bool isHeldBy(const PlacementUnit& unit) const {
    return reservation.job == unit.step().jobId() && reservation.stepIndex == unit.step().index;
  }
  /// Returns the start time. Only meaningful while the reserved start is held.
  ClusterTime start() const { return reservation.start; }
  const Reservation& get() const { return reservation; }

  /// Returns the earliest start by expected ends; for a gang, the earliest time at which all parts
  /// fit. Empty if the workers present now could never hold the unit. Changes nothing. Tasks
  /// limited per worker are counted as if none of them ended, so that a unit blocked by that limit
  /// gets no reservation.
  std::optional<Reservation> findEarliest(const PlacementUnit& unit) const;

  /// Gives the reserved start to the unit and reserves the resources on its workers. Counts how
  /// often the start has moved over consecutive plans in which the same unit held it.
  void hold(const PlacementUnit& unit, Reservation found);

 private:
  bool findForTask(const PlacementUnit& unit, const std::vector<std::size_t>& candidates,
                   Reservation& found) const;
  bool findForGang(const PlacementUnit& unit, const std::vector<std::size_t>& candidates,
                   Reservation& found) const;
  bool placeGang(const PlacementUnit& unit, const std::vector<std::uint32_t>& parts,
                 const std::vector<std::size_t>& candidates, std::vector<Resources> free,
                 Reservation& found) const;

  SchedulingContext& context;
  Reservation reservation;
};

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_RESERVED_START_HPP
