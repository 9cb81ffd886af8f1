// The one reserved start, and what may go before it. Paper 2.2; docs/paper.md 3.
#include "scheduling/planner_work.hpp"

namespace aniseline {

using namespace planning;

// Would these additions on the room delay the reserved start?
bool Planner::PlanBuilder::delaysReservation(const WorkerView& room, std::int64_t cores,
                                             std::int64_t memory, ClusterTime end) const {
  const Reservation& reservation = plan.record.reservation;
  if (!reservation.isActive() || end <= reservation.start)
    return false;
  return !reservationStillFits(room, cores, memory);
}
bool Planner::PlanBuilder::reservationStillFits(const WorkerView& room, std::int64_t cores,
                                                std::int64_t memory) const {
  if (room.reservedCores == 0)
    return true;
  const Resources free = room.expectedFreeAt(plan.record.reservation.start);
  return free.cores - cores >= room.reservedCores && free.memory - memory >= room.reservedMemory;
}

void Planner::PlanBuilder::recordReservation(const PlacementUnit& unit, Reservation reservation) {
  const Reservation& before = clusterState.reservation();
  const bool same = before.job == reservation.job && before.stepIndex == reservation.stepIndex;
  reservation.timesMoved = same ? before.timesMoved : 0;
  if (same && reservation.start > before.start + Duration{1000})
    ++reservation.timesMoved;
  for (const auto& placement : reservation.placements) {
    WorkerView& room = workers[workerIndexOf(placement.worker)];
    room.reservedCores += unit.request(placement.taskIndex).cores;
    room.reservedMemory += std::int64_t(unit.request(placement.taskIndex).memory);
  }
  plan.record.reservation = std::move(reservation);
}

// The earliest guaranteed start, by requested runtimes; for a gang the earliest at which all parts
// fit. Tasks to be kept apart are counted as if none of them ended: what waits for that holds no
// reservation.
std::optional<Reservation> Planner::PlanBuilder::findReservation(const PlacementUnit& unit) const {
  std::vector<std::size_t> places;
  for (auto place : unit.step().eligible->workerIndices)
    if (workers[place].worker->isSchedulable())
      places.push_back(place);
  Reservation reservation;
  reservation.job = unit.step().jobId();
  reservation.stepIndex = unit.step().index;
  const bool found = unit.isGang() ? findGangReservation(unit, places, reservation)
                                   : findTaskReservation(unit, places, reservation);
  return found ? std::optional(std::move(reservation)) : std::nullopt;
}

// Each room by itself: what it has free only grows with time.
bool Planner::PlanBuilder::findTaskReservation(const PlacementUnit& unit,
                                               const std::vector<std::size_t>& places,
                                               Reservation& reservation) const {
  const StepView& step = unit.step();
  const TaskRequest& request = unit.request(unit.tasks[0]);
  std::size_t best = noIndex;
  std::int64_t bestCores = 0;
  std::vector<const Allocation*> ends;
  for (auto place : places) {
    const WorkerView& room = workers[place];
    if (step.needs().maxPerWorker && !step.tasksByWorker.empty() &&
        step.tasksByWorker[place] >= step.needs().maxPerWorker)
      continue;
    auto fits = [&](const Resources& free) {
      return free.cores >= request.cores && free.accelerators >= request.accelerators &&
             memoryFits(room, free.memory, std::int64_t(request.memory), trialMemory);
    };
    if (!fits(best == noIndex ? Resources{room.cores, room.memory, room.accelerators}
                              : room.expectedFreeAt(reservation.start)))
      continue;
    ClusterTime time = now;
    Resources free = room.expectedFreeAt(now);
    if (!fits(free)) {
      ends.clear();
      for (const auto& projection : room.allocations)
        if (projection.expectedEnd > now)
          ends.push_back(&projection);
      std::sort(ends.begin(), ends.end(), [](const Allocation* left, const Allocation* right) {
        return left->expectedEnd < right->expectedEnd;
      });
      for (auto next = ends.begin(); next != ends.end() && !fits(free);)
        for (time = (*next)->expectedEnd; next != ends.end() && (*next)->expectedEnd == time;
             ++next) {
          free.cores += (*next)->cores;
          free.memory += (*next)->memory;
          free.accelerators += (*next)->accelerators;
        }
    }
    if (best != noIndex &&
        (time > reservation.start || (time == reservation.start && free.cores >= bestCores)))
      continue;
    best = place;
    bestCores = free.cores;
    reservation.start = time;
  }
  if (best == noIndex)
    return false;
  reservation.placements = {{unit.tasks[0], workers[best].worker->id}};
  return true;
}

// All rooms together, from one expected ending to the next; the parts are tried only where there
// may be enough room for them.
bool Planner::PlanBuilder::findGangReservation(const PlacementUnit& unit,
                                               const std::vector<std::size_t>& places,
                                               Reservation& reservation) const {
  const MinimumRequest smallest(unit);
  const auto wanted = std::int64_t(unit.tasks.size());
  std::int64_t most = 0, slots = 0;
  std::vector<Resources> free(workers.size());
  std::vector<std::pair<const Allocation*, std::size_t>> ends;
  for (auto place : places) {
    const WorkerView& room = workers[place];
    free[place] = room.expectedFreeAt(now);
    slots += smallest.slots(free[place], unit.step(), place);
    most += smallest.slots({room.cores, room.memory, room.accelerators}, unit.step(), place);
    for (const auto& projection : room.allocations)
      if (projection.expectedEnd > now)
        ends.emplace_back(&projection, place);
  }
  if (most < wanted)
    return false;
  std::sort(ends.begin(), ends.end(), [](const auto& left, const auto& right) {
    return left.first->expectedEnd < right.first->expectedEnd;
  });
  const auto parts = tasksByDescendingCores(unit);
  reservation.start = now;
  for (auto next = ends.begin();;) {
    if (slots >= wanted && placeGang(unit, parts, places, free, reservation))
      return true;
    if (next == ends.end())
      return false;
    for (reservation.start = next->first->expectedEnd;
         next != ends.end() && next->first->expectedEnd == reservation.start; ++next) {
      const auto& [projection, place] = *next;
      slots -= smallest.slots(free[place], unit.step(), place);
      free[place].cores += projection->cores;
      free[place].memory += projection->memory;
      free[place].accelerators += projection->accelerators;
      slots += smallest.slots(free[place], unit.step(), place);
    }
  }
}

bool Planner::PlanBuilder::placeGang(const PlacementUnit& unit,
                                     const std::vector<std::uint32_t>& parts,
                                     const std::vector<std::size_t>& places,
                                     std::vector<Resources> free, Reservation& reservation) const {
  const StepView& step = unit.step();
  auto together = step.tasksByWorker;
  together.resize(workers.size());
  reservation.placements.clear();
  for (auto part : parts) {
    const TaskRequest& request = unit.request(part);
    std::size_t best = noIndex;
    for (auto place : places) {
      if (free[place].cores < request.cores || free[place].accelerators < request.accelerators)
        continue;
      if (step.needs().maxPerWorker && together[place] >= step.needs().maxPerWorker)
        continue;
      if (!memoryFits(workers[place], free[place].memory, std::int64_t(request.memory),
                      trialMemory))
        continue;
      if (best == noIndex || free[place].cores < free[best].cores)
        best = place;
    }
    if (best == noIndex)
      return false;
    free[best].cores -= request.cores;
    free[best].memory -= std::int64_t(request.memory);
    free[best].accelerators -= request.accelerators;
    ++together[best];
    reservation.placements.push_back({part, workers[best].worker->id});
  }
  return true;
}

}  // namespace aniseline
