// Starts in this plan: the paper's best fit, and copies. docs/paper.md 2; docs/design.md 4.6, 7.7.
#include "scheduling/planner_work.hpp"

namespace aniseline {

using namespace planning;

bool Planner::PlanBuilder::fits(const StepView& step, std::size_t place,
                                const TaskRequest& request) const {
  if (workers[place].freeAccelerators() < request.accelerators)
    return false;
  return !step.needs().maxPerWorker || step.tasksByWorker.empty() ||
         step.tasksByWorker[place] < step.needs().maxPerWorker;
}

// The rack that a step which wants one rack is on, or had best go to: the one with the most idle
// cores that suit.
std::size_t Planner::PlanBuilder::chooseRack(StepView& step) {
  if (step.chosenRack)
    return *step.chosenRack;
  std::vector<std::optional<std::int64_t>> idle(rackNames.size());
  for (auto place : eligibleWorkers(step).workerIndices)
    if (const WorkerView& room = workers[place]; room.schedulable)
      idle[room.rackIndex] = idle[room.rackIndex].value_or(0) + room.guaranteedFreeCores();
  std::int64_t most = -1;
  step.chosenRack = rackIndexOf("");
  for (std::size_t rack = 0; rack < idle.size(); ++rack)
    if (idle[rack] && *idle[rack] > most)
      most = *idle[rack], step.chosenRack = rack;
  return *step.chosenRack;
}
// Away from its data or from the rest of its step a task takes `far` times as long.
// docs/paper.md 2.
bool Planner::PlanBuilder::isRemote(StepView& step, const WorkerView& room) {
  if (!step.needs().preferredRack.empty() &&
      !room.worker->capacity.hasLabel(step.needs().preferredRack))
    return true;
  return step.needs().sameRack && room.rackIndex != chooseRack(step);
}
Duration Planner::PlanBuilder::expectedRuntime(StepView& step, const WorkerView& room,
                                               const TaskRequest& request) {
  return isRemote(step, room) ? Duration{std::int64_t(double(request.runtime.milliseconds) *
                                                      clusterState.config().planner.remoteSlowdown)}
                              : request.runtime;
}

// Largest part first, so that a gang is not blocked by its own small parts.
std::vector<std::uint32_t> Planner::PlanBuilder::tasksByDescendingCores(
    const PlacementUnit& unit) const {
  std::vector<std::uint32_t> parts(unit.tasks.begin(), unit.tasks.end());
  std::stable_sort(parts.begin(), parts.end(), [&](auto left, auto right) {
    return unit.request(left).cores > unit.request(right).cores;
  });
  return parts;
}

void Planner::PlanBuilder::allocate(std::size_t place, const TaskRequest& request,
                                    std::int64_t memory, ClusterTime end, bool withVictims) {
  workers[place].allocate(
      {nullptr, request.cores, memory, request.accelerators, end, false, withVictims});
}

// Among fitting workers the one with the fewest unallocated cores; ties by rack, then by name.
// Paper 2.2.
bool Planner::PlanBuilder::startNow(const PlacementUnit& unit) {
  StepView& step = unit.step();
  const auto& places = eligibleWorkers(step).workerIndices;
  if (unit.isGang() && !gangMayFit(unit, places))
    return false;
  std::vector<std::pair<std::uint32_t, std::size_t>> placed;
  std::vector<std::size_t> racksUsed;
  for (auto part : tasksByDescendingCores(unit)) {
    const TaskRequest& request = unit.request(part);
    const WorkerId& avoid = unit.task(part).avoidedWorker;
    const std::size_t placeToAvoid = avoid.value.empty() ? noIndex : workerIndexOf(avoid);
    const std::size_t rackToAvoid = avoid.value.empty() ? noIndex : rackOfWorker(avoid);
    std::size_t best = noIndex;
    std::tuple<int, int, std::int64_t, int> bestKey{};
    for (auto place : places) {
      const WorkerView& room = workers[place];
      if (!room.schedulable || room.guaranteedFreeCores() < request.cores ||
          !fits(step, place, request))
        continue;
      if (!memoryFits(room, room.freeMemory(), std::int64_t(request.memory), trialMemory))
        continue;
      if (delaysReservation(room, request.cores, std::int64_t(request.memory),
                            now + expectedRuntime(step, room, request)))
        continue;
      // Where the paper's fit leaves a choice: a retry leaves the rack it failed on, a gang keeps
      // to few. docs/paper.md 2.
      const bool sameGang = std::count(racksUsed.begin(), racksUsed.end(), room.rackIndex) > 0;
      const int rackChoice = !rackNames[room.rackIndex].empty() && room.rackIndex == rackToAvoid ? 2
                             : unit.isGang() && !placed.empty() && !sameGang                     ? 1
                                                                             : 0;
      const std::tuple<int, int, std::int64_t, int> key{
          room.penalty + (place == placeToAvoid ? 1 : 0), isRemote(step, room), room.freeCores(),
          rackChoice};
      if (best == noIndex || key < bestKey) {
        best = place;
        bestKey = key;
      }
    }
    if (best == noIndex) {
      for (auto& [task, place] : placed) {
        workers[place].releaseLast();
        if (step.needs().maxPerWorker)
          --step.tasksByWorker[place];
      }
      return false;
    }
    allocate(best, request, std::int64_t(request.memory),
             now + expectedRuntime(step, workers[best], request), false);
    if (step.needs().maxPerWorker) {
      step.tasksByWorker.resize(workers.size());
      ++step.tasksByWorker[best];
    }
    placed.emplace_back(part, best);
    if (unit.isGang())
      racksUsed.push_back(workers[best].rackIndex);
  }
  // Parts that find each other at the workers are started, with one number; others are staged.
  // docs/design.md 7.3.
  const bool assembles =
      unit.isGang() && std::all_of(placed.begin(), placed.end(), [&](const auto& part) {
        return workers[part.second].worker->capacity.selfAssemblingGangs;
      });
  std::uint32_t run = 0;
  if (unit.isGang())
    for (auto part : unit.tasks)
      run = std::max(run, unit.task(part).runNumber + 1);
  for (auto& [task, place] : placed) {
    Action action;
    action.kind = unit.isGang() && !assembles ? ActionKind::stage : ActionKind::start;
    action.runNumber = run;
    action.attempt = lastAttempt = lastAttempt.next();
    action.job = step.jobId();
    action.taskIndex = task;
    action.worker = workers[place].worker->id;
    action.memory = unit.request(task).memory;
    if (workers[place].penalty > 0)
      workers[place].schedulable = false;
    plan.record.actions.push_back(std::move(action));
  }
  return true;
}

// Is there as much room in all as a gang's parts would take, were they all as small as its
// smallest? If not it need not be tried.
bool Planner::PlanBuilder::gangMayFit(const PlacementUnit& unit,
                                      const std::vector<std::size_t>& places) const {
  const MinimumRequest smallest(unit);
  std::int64_t slots = 0;
  for (auto place : places) {
    const WorkerView& room = workers[place];
    if (room.schedulable)
      slots +=
          smallest.slots({room.guaranteedFreeCores(), room.freeMemory(), room.freeAccelerators()},
                         unit.step(), place);
  }
  return slots >= std::int64_t(unit.tasks.size());
}

// Of redundant steps a copy is begun elsewhere when a run is overdue or its worker is out of touch.
// docs/paper.md 5.
void Planner::PlanBuilder::startRedundantCopies() {
  std::size_t begun = 0;
  for (auto& [step, attempt] : redundantAttempts) {
    if (begun >= 8)
      return;
    const Job& job = step->job();
    if (job.terminating || job.isTerminal() || job.tasks.empty())
      continue;
    const Task& task = job.tasks[attempt->taskIndex];
    if (task.currentAttempt != attempt->number || task.redundantAttempt.value)
      continue;
    const QueueOptions& queue = *step->parent->queue->options;
    if (queue.maxFailures && task.failureCount + 1 >= queue.maxFailures)
      continue;  // the one that runs is the last try
    if (!isOutOfContact(attempt->worker) && !isOverdue(*attempt, &step->needs()))
      continue;
    const TaskRequest& request = job.requestOf(task);
    std::size_t best = noIndex;
    for (auto place : eligibleWorkers(*step).workerIndices) {
      const WorkerView& room = workers[place];
      if (!room.schedulable || room.penalty > 0 || room.worker->id == attempt->worker ||
          room.guaranteedFreeCores() < request.cores || !fits(*step, place, request))
        continue;
      if (!memoryFits(room, room.freeMemory(), std::int64_t(request.memory), trialMemory) ||
          delaysReservation(room, request.cores, std::int64_t(request.memory),
                            now + expectedRuntime(*step, room, request)))
        continue;
      if (best == noIndex || room.freeCores() < workers[best].freeCores())
        best = place;
    }
    if (best == noIndex)
      continue;
    allocate(best, request, std::int64_t(request.memory), now + request.runtime, false);
    Action action;
    action.kind = ActionKind::start;
    action.attempt = lastAttempt = lastAttempt.next();
    action.job = attempt->job;
    action.taskIndex = attempt->taskIndex;
    action.worker = workers[best].worker->id;
    action.memory = request.memory;
    action.redundantCopy = true;
    ++plan.redundantCopies;
    plan.record.actions.push_back(std::move(action));
    ++begun;
  }
}

}  // namespace aniseline
