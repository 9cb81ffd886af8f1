// Finds the earliest start of a unit from the expected ends of the allocations.
#include "scheduling/reserved_start.hpp"

namespace aniseline::scheduling {

namespace {

// Fills `ends` with the allocations that end after `now`, sorted by expected end.
void collectEnds(const WorkerView& worker, ClusterTime now, std::vector<const Allocation*>& ends) {
  ends.clear();
  for (const auto& allocation : worker.allocations()) {
    if (allocation.expectedEnd > now)
      ends.push_back(&allocation);
  }
  std::sort(ends.begin(), ends.end(), [](const Allocation* left, const Allocation* right) {
    return left->expectedEnd < right->expectedEnd;
  });
}

// An allocation with the index of its worker, for sorting the ends on several workers by time.
struct AllocationEnd {
  const Allocation* allocation;
  std::size_t workerIndex;
};

}  // namespace

std::optional<Reservation> ReservedStart::findEarliest(const PlacementUnit& unit) const {
  std::vector<std::size_t> candidates;
  for (auto index : unit.step().eligible->workerIndices) {
    if (context.workers()[index].worker().isSchedulable())
      candidates.push_back(index);
  }
  Reservation found;
  found.job = unit.step().jobId();
  found.stepIndex = unit.step().index;
  const bool isFound =
      unit.isGang() ? findForGang(unit, candidates, found) : findForTask(unit, candidates, found);
  return isFound ? std::optional(std::move(found)) : std::nullopt;
}

void ReservedStart::hold(const PlacementUnit& unit, Reservation found) {
  const Reservation& before = context.clusterState().reservation();
  const bool sameUnit = before.job == found.job && before.stepIndex == found.stepIndex;
  found.timesMoved = sameUnit ? before.timesMoved : 0;
  if (sameUnit && found.start > before.start + reservationTolerance)
    ++found.timesMoved;
  for (const auto& placement : found.placements) {
    WorkerView& worker = context.workers()[context.workerIndexOf(placement.worker)];
    worker.reserve(resourcesOf(unit.request(placement.taskIndex)));
  }
  reservation = std::move(found);
}

// Examines each worker separately, since its free resources only grow over time. Of equally early
// starts, the one that leaves the fewest cores free wins.
bool ReservedStart::findForTask(const PlacementUnit& unit,
                                const std::vector<std::size_t>& candidates,
                                Reservation& found) const {
  const ClusterTime now = context.now();
  const Resources request = resourcesOf(unit.request(unit.tasks[0]));
  std::size_t best = noIndex;
  std::int64_t bestCores = 0;
  std::vector<const Allocation*> ends;
  for (auto index : candidates) {
    const WorkerView& worker = context.workers()[index];
    if (!unit.step().admitsTaskOn(index))
      continue;
    auto fits = [&](const Resources& free) {
      return worker.fitsInto(free, request, context.trialMemory());
    };
    // Skips a worker where the request never fits, or fits only after the best start so far.
    if (!fits(best == noIndex ? worker.totalResources() : worker.expectedFreeAt(found.start)))
      continue;
    ClusterTime start = now;
    Resources free = worker.expectedFreeAt(now);
    if (!fits(free)) {
      collectEnds(worker, now, ends);
      for (auto next = ends.begin(); next != ends.end() && !fits(free);) {
        for (start = (*next)->expectedEnd; next != ends.end() && (*next)->expectedEnd == start;
             ++next)
          free += (*next)->resources;
      }
    }
    const bool better =
        best == noIndex || start < found.start || (start == found.start && free.cores < bestCores);
    if (!better)
      continue;
    best = index;
    bestCores = free.cores;
    found.start = start;
  }
  if (best == noIndex)
    return false;
  found.placements = {{unit.tasks[0], context.workers()[best].id()}};
  return true;
}

// Examines all workers together, from one expected end to the next. Placing the parts is tried only
// if there are enough slots, as if all parts were as small as the smallest.
bool ReservedStart::findForGang(const PlacementUnit& unit,
                                const std::vector<std::size_t>& candidates,
                                Reservation& found) const {
  const ClusterTime now = context.now();
  const MinimumRequest minimum(unit);
  const auto partCount = std::int64_t(unit.tasks.size());
  std::int64_t slotsEver = 0;
  std::int64_t slots = 0;
  std::vector<Resources> free(context.workers().size());
  std::vector<AllocationEnd> ends;
  for (auto index : candidates) {
    const WorkerView& worker = context.workers()[index];
    free[index] = worker.expectedFreeAt(now);
    slots += minimum.slots(free[index], unit.step(), index);
    slotsEver += minimum.slots(worker.totalResources(), unit.step(), index);
    for (const auto& allocation : worker.allocations()) {
      if (allocation.expectedEnd > now)
        ends.push_back({&allocation, index});
    }
  }
  if (slotsEver < partCount)
    return false;
  std::sort(ends.begin(), ends.end(), [](const AllocationEnd& left, const AllocationEnd& right) {
    return left.allocation->expectedEnd < right.allocation->expectedEnd;
  });
  const auto parts = unit.tasksByDescendingCores();
  found.start = now;
  for (auto next = ends.begin();;) {
    if (slots >= partCount && placeGang(unit, parts, candidates, free, found))
      return true;
    if (next == ends.end())
      return false;
    found.start = next->allocation->expectedEnd;
    for (; next != ends.end() && next->allocation->expectedEnd == found.start; ++next) {
      Resources& freeOnWorker = free[next->workerIndex];
      slots -= minimum.slots(freeOnWorker, unit.step(), next->workerIndex);
      freeOnWorker += next->allocation->resources;
      slots += minimum.slots(freeOnWorker, unit.step(), next->workerIndex);
    }
  }
}

// Places the parts one by one, each where it leaves the fewest cores free.
bool ReservedStart::placeGang(const PlacementUnit& unit, const std::vector<std::uint32_t>& parts,
                              const std::vector<std::size_t>& candidates,
                              std::vector<Resources> free, Reservation& found) const {
  const std::uint32_t maxPerWorker = unit.requirements().maxPerWorker;
  auto tasksByWorker = unit.step().tasksByWorker;
  tasksByWorker.resize(context.workers().size());
  found.placements.clear();
  for (auto part : parts) {
    const Resources request = resourcesOf(unit.request(part));
    std::size_t best = noIndex;
    for (auto index : candidates) {
      if (best != noIndex && free[index].cores >= free[best].cores)
        continue;
      if (maxPerWorker && tasksByWorker[index] >= maxPerWorker)
        continue;
      if (context.workers()[index].fitsInto(free[index], request, context.trialMemory()))
        best = index;
    }
    if (best == noIndex)
      return false;
    free[best] -= request;
    ++tasksByWorker[best];
    found.placements.push_back({part, context.workers()[best].id()});
  }
  return true;
}

}  // namespace aniseline::scheduling
