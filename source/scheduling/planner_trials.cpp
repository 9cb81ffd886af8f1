// Immediate service: trials, and the holds that make way for them. Paper 2.4; docs/paper.md 4
// and 5.
#include "scheduling/planner_work.hpp"

namespace aniseline {

using namespace planning;

double Planner::PlanBuilder::slowdown(const Attempt& attempt) const {
  const Task& task = clusterState.jobs().at(attempt.job).tasks[attempt.taskIndex];
  const double ran = std::max(1.0, double(attempt.runtimeAt(now).milliseconds));
  return double((now - task.readyAt).milliseconds) / ran;
}
bool Planner::PlanBuilder::maySuspend(const Attempt& attempt) {
  auto [known, isNew] = suspendableAttempts.try_emplace(attempt.number);
  if (!isNew)
    return known->second;
  const QueueOptions& queue = *jobView(attempt.job)->queue->options;
  PolicyProgram::Inputs inputs;
  inputs.runtime = attempt.runtime.hours();
  inputs.running = (now - attempt.runningSince).hours();
  inputs.slowdown = slowdown(attempt);
  inputs.cores = attempt.cores / 1000.0;
  inputs.memory = double(attempt.memory);
  inputs.priority = double(queue.priority);
  return known->second = compiledPolicyOf(queue.policy).maySuspend.evaluate(inputs) != 0.0;
}

// A trial may not delay the reserved start, but for the reserved unit's own, which gains by it.
// docs/paper.md 4. Paper 2.4: idle cores first, else holds of those with the least slowdown among
// the long uninterrupted.
std::optional<Planner::PlanBuilder::TrialPlacement> Planner::PlanBuilder::findTrialPlacement(
    const PlacementUnit& unit, const TaskRequest& request, std::size_t avoid, std::int64_t memory,
    bool holds, bool own) {
  const TrialOptions& options = unit.queue().options->trial;
  std::optional<TrialPlacement> best;
  for (auto place : unit.step().eligible->workerIndices) {
    const WorkerView& room = workers[place];
    if (!room.schedulable || room.penalty > 0 || place == avoid ||
        !room.worker->capacity.supportsSuspend || !fits(unit.step(), place, request))
      continue;
    if (room.cores < request.cores || room.freeMemory() < memory)
      continue;
    TrialPlacement candidate;
    candidate.workerIndex = place;
    std::int64_t free = room.guaranteedFreeCores();
    if (free < request.cores) {
      if (!holds)
        continue;
      std::vector<std::pair<double, const Attempt*>> eligible;
      for (const auto& projection : room.allocations) {
        if (!projection.attempt || projection.suspended)
          continue;
        const Attempt& attempt = *projection.attempt;
        // A gang's parts are never held: the others would run on alone. docs/paper.md 5.
        if (attempt.state != AttemptState::running || attempt.isTrial() || attempt.gang ||
            attempt.abandoned)
          continue;
        if (now - attempt.runningSince < options.minimumRuntime || !maySuspend(attempt))
          continue;
        eligible.emplace_back(slowdown(attempt), &attempt);
      }
      std::sort(eligible.begin(), eligible.end(), [](auto& left, auto& right) {
        return std::tie(left.first, left.second->number) <
               std::tie(right.first, right.second->number);
      });
      for (auto& [least, victim] : eligible) {
        if (free >= request.cores)
          break;
        free += victim->cores;
        candidate.victims.push_back(victim->number);
      }
      if (free < request.cores)
        continue;
    }
    candidate.idleCoresAfter = free - request.cores;
    const ClusterTime end = now + options.quantum;
    if (candidate.victims.empty()) {
      if (!own && delaysReservation(room, request.cores, memory, end))
        continue;
    } else if (!own) {
      WorkerView changed = room;
      for (auto& projection : changed.allocations)
        if (projection.attempt && std::count(candidate.victims.begin(), candidate.victims.end(),
                                             projection.attempt->number))
          projection.expectedEnd = projection.expectedEnd + options.quantum;
      const bool overlaps = end > plan.record.reservation.start;
      if (!reservationStillFits(changed, overlaps ? request.cores : 0, overlaps ? memory : 0))
        continue;
    }
    if (!best || candidate.idleCoresAfter < best->idleCoresAfter)
      best = std::move(candidate);
  }
  return best;
}

bool Planner::PlanBuilder::tryTrial(const PlacementUnit& unit) {
  if (!unit.step().eligible->anySupportsSuspend)
    return false;
  const TrialOptions& options = unit.queue().options->trial;
  std::optional<std::vector<WorkerView>> before;
  const auto actionsBefore = plan.record.actions.size();
  const AttemptNumber attemptBefore = lastAttempt;
  const Reservation& reservation = plan.record.reservation;
  const bool own =
      reservation.job == unit.step().jobId() && reservation.stepIndex == unit.step().index;
  for (auto part : tasksByDescendingCores(unit)) {
    const TaskRequest& request = unit.request(part);
    const auto memory = std::int64_t(std::min<std::uint64_t>(request.memory, options.memory));
    const WorkerId& avoided = unit.task(part).avoidedWorker;
    const std::size_t avoid = avoided.value.empty() ? noIndex : workerIndexOf(avoided);
    auto found = findTrialPlacement(unit, request, avoid, memory, false, own);
    if (!found)
      found = findTrialPlacement(unit, request, avoid, memory, true, own);
    if (!found) {
      if (before)
        workers = std::move(*before);
      plan.record.actions.resize(actionsBefore);
      lastAttempt = attemptBefore;
      return false;
    }
    if (unit.isGang() && !before)
      before = workers;
    lastAttempt = lastAttempt.next();
    WorkerView& room = workers[found->workerIndex];
    for (auto victim : found->victims) {
      Action hold;
      hold.kind = ActionKind::suspend;
      hold.attempt = victim;
      hold.worker = room.worker->id;
      hold.suspendedForTrial = lastAttempt;
      plan.record.actions.push_back(hold);
      for (auto& projection : room.allocations)
        if (projection.attempt && projection.attempt->number == victim) {
          room.suspend(projection);
          projection.expectedEnd = projection.expectedEnd + options.quantum;
        }
    }
    Action action;
    action.kind = unit.isGang() ? ActionKind::stage : ActionKind::start;
    action.attempt = lastAttempt;
    action.job = unit.step().jobId();
    action.taskIndex = part;
    action.worker = room.worker->id;
    action.trial = true;
    action.quantum = options.quantum;
    action.memory = std::uint64_t(memory);
    allocate(found->workerIndex, request, memory, now + options.quantum, !found->victims.empty());
    plan.record.actions.push_back(std::move(action));
  }
  return true;
}

void Planner::PlanBuilder::startTrials(const std::vector<const PlacementUnit*>& notStarted) {
  for (const auto* unit : notStarted) {
    const QueueOptions& queue = *unit->queue().options;
    const bool plain = !unit->isGang() && unit->needs().requiredLabel.empty() && queue.pool.empty();
    if (!unit->isGang() && !plain)
      continue;
    const Task& first = unit->task(unit->tasks[0]);
    if (first.trialStarted || first.trialExpired || first.countedStarts > 0)
      continue;
    const auto shape =
        unit->requestShape(std::int64_t(queue.trial.memory), queue.trial.minimumRuntime);
    if (plain && failedTrials.covers(shape))
      continue;
    if (tryTrial(*unit))
      explainDecision(*unit, "gets its trial in this plan");
    else if (plain && queue.trial.quantum >= Duration{1000})
      failedTrials.add(shape);
  }
}

}  // namespace aniseline
