// Starts in this plan: the paper's best fit, and copies. docs/paper.md 2; docs/design.md 4.6, 7.7.
#include "scheduling/planner_work.hpp"

namespace aniseline {

using namespace planning;

bool Planner::Work::hasRoom(const StepInPlan& step, std::size_t place,
                            const TaskRequest& request) const {
  if (rooms[place].freeAccelerators() < request.accelerators)
    return false;
  return !step.needs().apart || step.together.empty() || step.together[place] < step.needs().apart;
}

// The rack that a step which wants one rack is on, or had best go to: the one with the most idle
// cores that suit.
std::size_t Planner::Work::rackFor(StepInPlan& step) {
  if (step.rack)
    return *step.rack;
  std::vector<std::optional<std::int64_t>> idle(racks.size());
  for (auto place : suitingOf(step).places)
    if (const Room& room = rooms[place]; room.usable)
      idle[room.rack] = idle[room.rack].value_or(0) + room.safeCores();
  std::int64_t most = -1;
  step.rack = rackNumber("");
  for (std::size_t rack = 0; rack < idle.size(); ++rack)
    if (idle[rack] && *idle[rack] > most)
      most = *idle[rack], step.rack = rack;
  return *step.rack;
}
// Away from its data or from the rest of its step a task takes `far` times as long.
// docs/paper.md 2.
bool Planner::Work::isFar(StepInPlan& step, const Room& room) {
  if (!step.needs().near.empty() && !room.worker->capacity.has(step.needs().near))
    return true;
  return step.needs().sameRack && room.rack != rackFor(step);
}
Duration Planner::Work::runtimeAt(StepInPlan& step, const Room& room, const TaskRequest& request) {
  return isFar(step, room) ? Duration{std::int64_t(double(request.runtime.milliseconds) *
                                                   clusterState.config.planner.far)}
                           : request.runtime;
}

// Largest part first, so that a gang is not blocked by its own small parts.
std::vector<std::uint32_t> Planner::Work::partsBySize(const Unit& unit) const {
  std::vector<std::uint32_t> parts(unit.tasks.begin(), unit.tasks.end());
  std::stable_sort(parts.begin(), parts.end(), [&](auto left, auto right) {
    return unit.request(left).cores > unit.request(right).cores;
  });
  return parts;
}

void Planner::Work::occupy(std::size_t place, const TaskRequest& request, std::int64_t memory,
                           ClusterTime end, bool withVictims) {
  rooms[place].add({nullptr, request.cores, memory, request.accelerators, end, false, withVictims});
}

// Among fitting workers the one with the fewest unallocated cores; ties by rack, then by name.
// Paper 2.2.
bool Planner::Work::startNow(const Unit& unit) {
  StepInPlan& step = unit.step();
  const auto& places = suitingOf(step).places;
  if (unit.gang() && !mayFit(unit, places))
    return false;
  std::vector<std::pair<std::uint32_t, std::size_t>> placed;
  std::vector<std::size_t> racksUsed;
  for (auto part : partsBySize(unit)) {
    const TaskRequest& request = unit.request(part);
    const WorkerId& avoid = unit.task(part).avoid;
    const std::size_t placeToAvoid = avoid.value.empty() ? none : placeOf(avoid);
    const std::size_t rackToAvoid = avoid.value.empty() ? none : rackOf(avoid);
    std::size_t best = none;
    std::tuple<int, int, std::int64_t, int> bestKey{};
    for (auto place : places) {
      const Room& room = rooms[place];
      if (!room.usable || room.safeCores() < request.cores || !hasRoom(step, place, request))
        continue;
      if (!memoryFits(room, room.freeMemory(), std::int64_t(request.memory), trialRoom))
        continue;
      if (delays(room, request.cores, std::int64_t(request.memory),
                 now + runtimeAt(step, room, request)))
        continue;
      // Where the paper's fit leaves a choice: a retry leaves the rack it failed on, a gang keeps
      // to few. docs/paper.md 2.
      const bool sameGang = std::count(racksUsed.begin(), racksUsed.end(), room.rack) > 0;
      const int rackChoice = !racks[room.rack].empty() && room.rack == rackToAvoid ? 2
                             : unit.gang() && !placed.empty() && !sameGang         ? 1
                                                                                   : 0;
      const std::tuple<int, int, std::int64_t, int> key{
          room.penalty + (place == placeToAvoid ? 1 : 0), isFar(step, room), room.freeCores(),
          rackChoice};
      if (best == none || key < bestKey) {
        best = place;
        bestKey = key;
      }
    }
    if (best == none) {
      for (auto& [task, place] : placed) {
        rooms[place].dropLast();
        if (step.needs().apart)
          --step.together[place];
      }
      return false;
    }
    occupy(best, request, std::int64_t(request.memory), now + runtimeAt(step, rooms[best], request),
           false);
    if (step.needs().apart) {
      step.together.resize(rooms.size());
      ++step.together[best];
    }
    placed.emplace_back(part, best);
    if (unit.gang())
      racksUsed.push_back(rooms[best].rack);
  }
  // Parts that find each other at the workers are started, with one number; others are staged.
  // docs/design.md 7.3.
  const bool assembles =
      unit.gang() && std::all_of(placed.begin(), placed.end(), [&](const auto& part) {
        return rooms[part.second].worker->capacity.assembles;
      });
  std::uint32_t run = 0;
  if (unit.gang())
    for (auto part : unit.tasks)
      run = std::max(run, unit.task(part).run + 1);
  for (auto& [task, place] : placed) {
    Action action;
    action.kind = unit.gang() && !assembles ? ActionKind::stage : ActionKind::start;
    action.run = run;
    action.attempt = lastAttempt = lastAttempt.next();
    action.job = step.id();
    action.task = task;
    action.worker = rooms[place].worker->id;
    action.memory = unit.request(task).memory;
    if (rooms[place].penalty > 0)
      rooms[place].usable = false;
    plan.made.actions.push_back(std::move(action));
  }
  return true;
}

// Is there as much room in all as a gang's parts would take, were they all as small as its
// smallest? If not it need not be tried.
bool Planner::Work::mayFit(const Unit& unit, const std::vector<std::size_t>& places) const {
  const Smallest smallest(unit);
  std::int64_t slots = 0;
  for (auto place : places) {
    const Room& room = rooms[place];
    if (room.usable)
      slots += smallest.slots({room.safeCores(), room.freeMemory(), room.freeAccelerators()},
                              unit.step(), place);
  }
  return slots >= std::int64_t(unit.tasks.size());
}

// Of redundant steps a copy is begun elsewhere when a run is overdue or its worker is out of touch.
// docs/paper.md 5.
void Planner::Work::startCopies() {
  std::size_t begun = 0;
  for (auto& [step, attempt] : copied) {
    if (begun >= 8)
      return;
    const Job& job = step->job();
    if (job.ending || job.over() || job.tasks.empty())
      continue;
    const Task& task = job.tasks[attempt->task];
    if (task.attempt != attempt->number || task.twin.value)
      continue;
    const QueueOptions& queue = *step->of->queue->options;
    if (queue.tries && task.failures + 1 >= queue.tries)
      continue;  // the one that runs is the last try
    if (!outOfTouch(attempt->worker) && !overdue(*attempt, &step->needs()))
      continue;
    const TaskRequest& request = job.request(task);
    std::size_t best = none;
    for (auto place : suitingOf(*step).places) {
      const Room& room = rooms[place];
      if (!room.usable || room.penalty > 0 || room.worker->id == attempt->worker ||
          room.safeCores() < request.cores || !hasRoom(*step, place, request))
        continue;
      if (!memoryFits(room, room.freeMemory(), std::int64_t(request.memory), trialRoom) ||
          delays(room, request.cores, std::int64_t(request.memory),
                 now + runtimeAt(*step, room, request)))
        continue;
      if (best == none || room.freeCores() < rooms[best].freeCores())
        best = place;
    }
    if (best == none)
      continue;
    occupy(best, request, std::int64_t(request.memory), now + request.runtime, false);
    Action action;
    action.kind = ActionKind::start;
    action.attempt = lastAttempt = lastAttempt.next();
    action.job = attempt->job;
    action.task = attempt->task;
    action.worker = rooms[best].worker->id;
    action.memory = request.memory;
    action.twin = true;
    ++plan.copies;
    plan.made.actions.push_back(std::move(action));
    ++begun;
  }
}

}  // namespace aniseline
