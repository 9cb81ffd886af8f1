// Backfill admission: what is placed after the reserved start was given away may start now only
// where that start stays possible. Paper 2.2; docs/paper.md 3.
#ifndef ANISELINE_SCHEDULING_BACKFILL_ADMISSION_HPP
#define ANISELINE_SCHEDULING_BACKFILL_ADMISSION_HPP
#include "scheduling/reserved_start.hpp"

namespace aniseline::scheduling {

class BackfillAdmission {
 public:
  explicit BackfillAdmission(const ReservedStart& reservedStart) : reservedStart(reservedStart) {}

  /// Would an allocation on the worker that ends then delay the reserved start? What ends before it
  /// does not.
  bool delaysReservedStart(const WorkerView& worker, const Resources& request,
                           ClusterTime end) const {
    if (!reservedStart.isHeld() || end <= reservedStart.start())
      return false;
    return !reservedStartFits(worker, request);
  }
  /// Does the reserved start still fit on the worker when these resources are taken past its time?
  bool reservedStartFits(const WorkerView& worker, const Resources& request) const;

  /// Did a unit fail that needs no more than this one? Then this one need not be tried. Remembers
  /// the answer in the unit's batch.
  bool isRuledOut(const PlacementUnit& unit) const;
  /// Remembers a unit that found no worker while the reserved start was held.
  void recordFailure(const PlacementUnit& unit) const;

 private:
  const ReservedStart& reservedStart;
};

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_BACKFILL_ADMISSION_HPP
