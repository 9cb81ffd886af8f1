// The one reserved start, and what may go before it. Paper 2.2; docs/paper.md 3.
#include "scheduling/planner_work.hpp"

namespace aniseline {

using namespace planning;

// Would these additions on the room delay the reserved start?
bool Planner::Work::delays(const Room& room, std::int64_t cores, std::int64_t memory,
                           ClusterTime end) const {
  const Reservation& reservation = plan.made.reservation;
  if (!reservation.held() || end <= reservation.start)
    return false;
  return !reservedStillFits(room, cores, memory);
}
bool Planner::Work::reservedStillFits(const Room& room, std::int64_t cores,
                                      std::int64_t memory) const {
  if (room.reservedCores == 0)
    return true;
  const Free free = room.freeFrom(plan.made.reservation.start);
  return free.cores - cores >= room.reservedCores && free.memory - memory >= room.reservedMemory;
}

void Planner::Work::keepReservation(const Unit& unit, Reservation reservation) {
  const Reservation& before = clusterState.reservation;
  const bool same = before.job == reservation.job && before.step == reservation.step;
  reservation.moved = same ? before.moved : 0;
  if (same && reservation.start > before.start + Duration{1000})
    ++reservation.moved;
  for (const auto& placement : reservation.placements) {
    Room& room = rooms[placeOf(placement.worker)];
    room.reservedCores += unit.request(placement.task).cores;
    room.reservedMemory += std::int64_t(unit.request(placement.task).memory);
  }
  plan.made.reservation = std::move(reservation);
}

// The earliest guaranteed start, by requested runtimes; for a gang the earliest at which all parts
// fit. Tasks to be kept apart are counted as if none of them ended: what waits for that holds no
// reservation.
std::optional<Reservation> Planner::Work::reserve(const Unit& unit) const {
  std::vector<std::size_t> places;
  for (auto place : unit.step().suiting->places)
    if (rooms[place].worker->open())
      places.push_back(place);
  Reservation reservation;
  reservation.job = unit.step().id();
  reservation.step = unit.step().number;
  const bool found =
      unit.gang() ? reserveGang(unit, places, reservation) : reserveTask(unit, places, reservation);
  return found ? std::optional(std::move(reservation)) : std::nullopt;
}

// Each room by itself: what it has free only grows with time.
bool Planner::Work::reserveTask(const Unit& unit, const std::vector<std::size_t>& places,
                                Reservation& reservation) const {
  const StepInPlan& step = unit.step();
  const TaskRequest& request = unit.request(unit.tasks[0]);
  std::size_t best = none;
  std::int64_t bestCores = 0;
  std::vector<const Projection*> ends;
  for (auto place : places) {
    const Room& room = rooms[place];
    if (step.needs().apart && !step.together.empty() && step.together[place] >= step.needs().apart)
      continue;
    auto fits = [&](const Free& free) {
      return free.cores >= request.cores && free.accelerators >= request.accelerators &&
             memoryFits(room, free.memory, std::int64_t(request.memory), trialRoom);
    };
    if (!fits(best == none ? Free{room.cores, room.memory, room.accelerators}
                           : room.freeFrom(reservation.start)))
      continue;
    ClusterTime time = now;
    Free free = room.freeFrom(now);
    if (!fits(free)) {
      ends.clear();
      for (const auto& projection : room.projections)
        if (projection.end > now)
          ends.push_back(&projection);
      std::sort(ends.begin(), ends.end(), [](const Projection* left, const Projection* right) {
        return left->end < right->end;
      });
      for (auto next = ends.begin(); next != ends.end() && !fits(free);)
        for (time = (*next)->end; next != ends.end() && (*next)->end == time; ++next) {
          free.cores += (*next)->cores;
          free.memory += (*next)->memory;
          free.accelerators += (*next)->accelerators;
        }
    }
    if (best != none &&
        (time > reservation.start || (time == reservation.start && free.cores >= bestCores)))
      continue;
    best = place;
    bestCores = free.cores;
    reservation.start = time;
  }
  if (best == none)
    return false;
  reservation.placements = {{unit.tasks[0], rooms[best].worker->id}};
  return true;
}

// All rooms together, from one expected ending to the next; the parts are tried only where there
// may be enough room for them.
bool Planner::Work::reserveGang(const Unit& unit, const std::vector<std::size_t>& places,
                                Reservation& reservation) const {
  const Smallest smallest(unit);
  const auto wanted = std::int64_t(unit.tasks.size());
  std::int64_t most = 0, slots = 0;
  std::vector<Free> free(rooms.size());
  std::vector<std::pair<const Projection*, std::size_t>> ends;
  for (auto place : places) {
    const Room& room = rooms[place];
    free[place] = room.freeFrom(now);
    slots += smallest.slots(free[place], unit.step(), place);
    most += smallest.slots({room.cores, room.memory, room.accelerators}, unit.step(), place);
    for (const auto& projection : room.projections)
      if (projection.end > now)
        ends.emplace_back(&projection, place);
  }
  if (most < wanted)
    return false;
  std::sort(ends.begin(), ends.end(),
            [](const auto& left, const auto& right) { return left.first->end < right.first->end; });
  const auto parts = partsBySize(unit);
  reservation.start = now;
  for (auto next = ends.begin();;) {
    if (slots >= wanted && placeGang(unit, parts, places, free, reservation))
      return true;
    if (next == ends.end())
      return false;
    for (reservation.start = next->first->end;
         next != ends.end() && next->first->end == reservation.start; ++next) {
      const auto& [projection, place] = *next;
      slots -= smallest.slots(free[place], unit.step(), place);
      free[place].cores += projection->cores;
      free[place].memory += projection->memory;
      free[place].accelerators += projection->accelerators;
      slots += smallest.slots(free[place], unit.step(), place);
    }
  }
}

bool Planner::Work::placeGang(const Unit& unit, const std::vector<std::uint32_t>& parts,
                              const std::vector<std::size_t>& places, std::vector<Free> free,
                              Reservation& reservation) const {
  const StepInPlan& step = unit.step();
  auto together = step.together;
  together.resize(rooms.size());
  reservation.placements.clear();
  for (auto part : parts) {
    const TaskRequest& request = unit.request(part);
    std::size_t best = none;
    for (auto place : places) {
      if (free[place].cores < request.cores || free[place].accelerators < request.accelerators)
        continue;
      if (step.needs().apart && together[place] >= step.needs().apart)
        continue;
      if (!memoryFits(rooms[place], free[place].memory, std::int64_t(request.memory), trialRoom))
        continue;
      if (best == none || free[place].cores < free[best].cores)
        best = place;
    }
    if (best == none)
      return false;
    free[best].cores -= request.cores;
    free[best].memory -= std::int64_t(request.memory);
    free[best].accelerators -= request.accelerators;
    ++together[best];
    reservation.placements.push_back({part, rooms[best].worker->id});
  }
  return true;
}

}  // namespace aniseline
