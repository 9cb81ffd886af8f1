// Backfill admission: once a unit holds the reserved start, other units may start only where that
// start remains possible. Paper 2.2; docs/paper.md 3.
#ifndef ANISELINE_SCHEDULING_BACKFILL_ADMISSION_HPP
#define ANISELINE_SCHEDULING_BACKFILL_ADMISSION_HPP
#include "scheduling/reserved_start.hpp"

namespace aniseline::scheduling {

class BackfillAdmission {
 public:
  explicit BackfillAdmission(const ReservedStart& reservedStart) : reservedStart(reservedStart) {}

  /// Reports whether an allocation on the worker that ends at `end` would delay the reserved start.
  /// An allocation that ends before the reserved start does not.
  bool delaysReservedStart(const WorkerView& worker, const Resources& request,
                           ClusterTime end) const {
    if (!reservedStart.isHeld() || end <= reservedStart.start())
      return false;
    return !reservedStartFits(worker, request);
  }
  /// Reports whether the reserved start still fits on the worker if these resources are allocated
  /// past its time.
  bool reservedStartFits(const WorkerView& worker, const Resources& request) const;

  /// Reports whether a unit that needs no more than this one has failed, so that this one need not
  /// be tried. Caches the answer in the unit's batch.
  bool isRuledOut(const PlacementUnit& unit) const;
  /// Records a unit that found no worker while the reserved start was held.
  void recordFailure(const PlacementUnit& unit) const;

 private:
  const ReservedStart& reservedStart;
};

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_BACKFILL_ADMISSION_HPP
