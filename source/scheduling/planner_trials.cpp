// Immediate service: trials, and the holds that make way for them. Paper 2.4; docs/paper.md 4
// and 5.
#include "scheduling/planner_work.hpp"

namespace aniseline {

using namespace planning;

double Planner::Work::slowdown(const Attempt& attempt) const {
  const Task& task = clusterState.jobs.at(attempt.job).tasks[attempt.task];
  const double ran = std::max(1.0, double(attempt.ranBy(now).milliseconds));
  return double((now - task.readyAt).milliseconds) / ran;
}
bool Planner::Work::mayHold(const Attempt& attempt) {
  auto [known, isNew] = holdable.try_emplace(attempt.number);
  if (!isNew)
    return known->second;
  const QueueOptions& queue = *jobInPlan(attempt.job)->queue->options;
  PolicyProgram::Inputs inputs;
  inputs.runtime = attempt.runtime.hours();
  inputs.running = (now - attempt.runningSince).hours();
  inputs.slowdown = slowdown(attempt);
  inputs.cores = attempt.cores / 1000.0;
  inputs.memory = double(attempt.memory);
  inputs.urgency = double(queue.urgency);
  return known->second = programsOf(queue.policy).mayHold.evaluate(inputs) != 0.0;
}

// A trial may not delay the reserved start, but for the reserved unit's own, which gains by it.
// docs/paper.md 4. Paper 2.4: idle cores first, else holds of those with the least slowdown among
// the long uninterrupted.
std::optional<Planner::Work::TrialPlace> Planner::Work::trialPlace(const Unit& unit,
                                                                   const TaskRequest& request,
                                                                   std::size_t avoid,
                                                                   std::int64_t memory, bool holds,
                                                                   bool own) {
  const TrialOptions& options = unit.queue().options->trial;
  std::optional<TrialPlace> best;
  for (auto place : unit.step().suiting->places) {
    const Room& room = rooms[place];
    if (!room.usable || room.penalty > 0 || place == avoid || !room.worker->capacity.pauses ||
        !hasRoom(unit.step(), place, request))
      continue;
    if (room.cores < request.cores || room.freeMemory() < memory)
      continue;
    TrialPlace candidate;
    candidate.place = place;
    std::int64_t free = room.safeCores();
    if (free < request.cores) {
      if (!holds)
        continue;
      std::vector<std::pair<double, const Attempt*>> eligible;
      for (const auto& projection : room.projections) {
        if (!projection.attempt || projection.held)
          continue;
        const Attempt& attempt = *projection.attempt;
        // A gang's parts are never held: the others would run on alone. docs/paper.md 5.
        if (attempt.state != AttemptState::running || attempt.trial() || attempt.gang ||
            attempt.lost)
          continue;
        if (now - attempt.runningSince < options.minimumRun || !mayHold(attempt))
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
    candidate.idleAfter = free - request.cores;
    const ClusterTime end = now + options.quantum;
    if (candidate.victims.empty()) {
      if (!own && delays(room, request.cores, memory, end))
        continue;
    } else if (!own) {
      Room changed = room;
      for (auto& projection : changed.projections)
        if (projection.attempt && std::count(candidate.victims.begin(), candidate.victims.end(),
                                             projection.attempt->number))
          projection.end = projection.end + options.quantum;
      const bool overlaps = end > plan.made.reservation.start;
      if (!reservedStillFits(changed, overlaps ? request.cores : 0, overlaps ? memory : 0))
        continue;
    }
    if (!best || candidate.idleAfter < best->idleAfter)
      best = std::move(candidate);
  }
  return best;
}

bool Planner::Work::tryTrial(const Unit& unit) {
  if (!unit.step().suiting->pauses)
    return false;
  const TrialOptions& options = unit.queue().options->trial;
  std::optional<std::vector<Room>> before;
  const auto actionsBefore = plan.made.actions.size();
  const AttemptNumber attemptBefore = lastAttempt;
  const Reservation& reservation = plan.made.reservation;
  const bool own = reservation.job == unit.step().id() && reservation.step == unit.step().number;
  for (auto part : partsBySize(unit)) {
    const TaskRequest& request = unit.request(part);
    const auto memory = std::int64_t(std::min<std::uint64_t>(request.memory, options.memory));
    const WorkerId& avoided = unit.task(part).avoid;
    const std::size_t avoid = avoided.value.empty() ? none : placeOf(avoided);
    auto found = trialPlace(unit, request, avoid, memory, false, own);
    if (!found)
      found = trialPlace(unit, request, avoid, memory, true, own);
    if (!found) {
      if (before)
        rooms = std::move(*before);
      plan.made.actions.resize(actionsBefore);
      lastAttempt = attemptBefore;
      return false;
    }
    if (unit.gang() && !before)
      before = rooms;
    lastAttempt = lastAttempt.next();
    Room& room = rooms[found->place];
    for (auto victim : found->victims) {
      Action hold;
      hold.kind = ActionKind::hold;
      hold.attempt = victim;
      hold.worker = room.worker->id;
      hold.heldFor = lastAttempt;
      plan.made.actions.push_back(hold);
      for (auto& projection : room.projections)
        if (projection.attempt && projection.attempt->number == victim) {
          room.hold(projection);
          projection.end = projection.end + options.quantum;
        }
    }
    Action action;
    action.kind = unit.gang() ? ActionKind::stage : ActionKind::start;
    action.attempt = lastAttempt;
    action.job = unit.step().id();
    action.task = part;
    action.worker = room.worker->id;
    action.trial = true;
    action.quantum = options.quantum;
    action.memory = std::uint64_t(memory);
    occupy(found->place, request, memory, now + options.quantum, !found->victims.empty());
    plan.made.actions.push_back(std::move(action));
  }
  return true;
}

void Planner::Work::startTrials(const std::vector<const Unit*>& notStarted) {
  for (const auto* unit : notStarted) {
    const QueueOptions& queue = *unit->queue().options;
    const bool plain = !unit->gang() && unit->needs().label.empty() && queue.pool.empty();
    if (!unit->gang() && !plain)
      continue;
    const Task& first = unit->task(unit->tasks[0]);
    if (first.trialled || first.tried || first.starts > 0)
      continue;
    const auto shape = unit->shape(std::int64_t(queue.trial.memory), queue.trial.minimumRun);
    if (plain && noTrial.covers(shape))
      continue;
    if (tryTrial(*unit))
      note(*unit, "gets its trial in this plan");
    else if (plain && queue.trial.quantum >= Duration{1000})
      noTrial.add(shape);
  }
}

}  // namespace aniseline
