// Checks placements against the reserved start and records failed backfills.
#include "scheduling/backfill_admission.hpp"

namespace aniseline::scheduling {

namespace {

RequestShape backfillShape(const PlacementUnit& unit) {
  return unit.requestShape(std::numeric_limits<std::int64_t>::max(), unit.batch->runtime);
}

}  // namespace

bool BackfillAdmission::reservedStartFits(const WorkerView& worker,
                                          const Resources& request) const {
  if (!worker.hasReservation())
    return true;
  const Resources free = worker.expectedFreeAt(reservedStart.start());
  const Resources& reserved = worker.reservedResources();
  return free.cores - request.cores >= reserved.cores &&
         free.memory - request.memory >= reserved.memory;
}

bool BackfillAdmission::isRuledOut(const PlacementUnit& unit) const {
  TaskBatch& batch = *unit.batch;
  const bool comparable = !unit.isGang() && !unit.requirements().maxPerWorker;
  if (!batch.backfillFailed && comparable && reservedStart.isHeld())
    batch.backfillFailed = batch.step->eligible->failedBackfills.covers(backfillShape(unit));
  return batch.backfillFailed;
}

// Records only units that can fail for no other reason than their size and runtime; other failures
// say nothing about other units.
void BackfillAdmission::recordFailure(const PlacementUnit& unit) const {
  const StepRequirements& requirements = unit.requirements();
  if (unit.isGang() || requirements.maxPerWorker || requirements.sameRack ||
      !requirements.preferredRack.empty() || unit.request(unit.tasks[0]).accelerators)
    return;
  unit.batch->step->eligible->failedBackfills.add(backfillShape(unit));
}

}  // namespace aniseline::scheduling
