// The one reserved start: the first unit that can't start now gets the earliest start that is
// guaranteed by requested runtimes, and what starts after it in the plan must not delay it. Paper
// 2.2; docs/paper.md 3. What may start beside it is decided by backfill_admission.hpp.
#ifndef ANISELINE_SCHEDULING_RESERVED_START_HPP
#define ANISELINE_SCHEDULING_RESERVED_START_HPP
#include "scheduling/placement_unit.hpp"
#include "scheduling/scheduling_context.hpp"

namespace aniseline::scheduling {

class ReservedStart {
 public:
  explicit ReservedStart(SchedulingContext& context) : context(context) {}

  /// Does some unit hold it in this plan?
  bool isHeld() const { return reservation.isActive(); }
  bool isHeldBy(const PlacementUnit& unit) const {
    return reservation.job == unit.step().jobId() && reservation.stepIndex == unit.step().index;
  }
  /// Only meaningful while it is held.
  ClusterTime start() const { return reservation.start; }
  const Reservation& get() const { return reservation; }

  /// The earliest start by expected ends; for a gang the earliest at which all parts fit. Nothing
  /// if no workers that are here now could ever hold the unit. Reads allocations, changes nothing.
  /// Tasks limited per worker are counted as if none of them ended, so that what waits for that
  /// gets no reservation.
  std::optional<Reservation> findEarliest(const PlacementUnit& unit) const;

  /// Gives the reserved start to the unit and reserves the resources on its workers. Counts how
  /// often it has moved since the last plan in which the same unit held it.
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
