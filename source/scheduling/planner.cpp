#include "scheduling/planner_work.hpp"

namespace aniseline {

using namespace planning;

bool Plan::empty(const Reservation& before) const {
  if (!made.actions.empty())
    return false;
  if (made.reservation.job != before.job || made.reservation.step != before.step)
    return false;
  if (!before.held())
    return true;
  return std::abs((made.reservation.start - before.start).milliseconds) < 1000;
}

Plan Planner::Work::run() {
  buildRooms();
  moveGangs();
  std::move(overdueStops.begin(), overdueStops.end(), std::back_inserter(plan.made.actions));
  collectUnits();
  plan.waiting = units.size();
  for (const auto& unit : units)
    ++plan.standings[std::size_t(unit.batch->standing)];
  for (const auto& room : rooms) {
    ++(room.usable ? plan.usable : plan.passedOver);
    plan.cores += room.usable ? room.cores : 0;
    plan.coresUsed += room.usable ? room.usedCores : 0;
  }
  if (clusterState.config.planner.urgencyFirst)
    weighPools();
  std::vector<const Unit*> notStarted;
  for (const auto& unit : units) {
    Batch& batch = *unit.batch;
    FailedShapes& noBackfill = batch.step->suiting->noBackfill;
    const bool reserved = plan.made.reservation.held();
    auto shape = [&] {
      return unit.shape(std::numeric_limits<std::int64_t>::max(), batch.runtime);
    };
    if (!batch.noBackfill && !unit.gang() && reserved && !unit.needs().apart)
      batch.noBackfill = noBackfill.covers(shape());
    if (batch.noBackfill) {
      note(unit, "would delay the reserved start, or no worker has room");
      notStarted.push_back(&unit);
      continue;
    }
    if (!leavesUrgentRoom(unit)) {
      note(unit, "leaves room that urgent work has wanted lately");
      continue;
    }
    if (!batch.noRoom && startNow(unit)) {
      unit.queue().pool->free -= batch.cores;
      note(unit, "starts in this plan");
      continue;
    }
    batch.noRoom = true;
    notStarted.push_back(&unit);
    if (!reserved) {
      auto reservation = batch.noReservation ? std::nullopt : reserve(unit);
      batch.noReservation = !reservation;
      if (reservation) {
        keepReservation(unit, std::move(*reservation));
        const Reservation& kept = plan.made.reservation;
        note(unit, "holds the reserved start on " + kept.placements.front().worker.value + " in " +
                       std::to_string((kept.start - now).milliseconds) + " ms");
      } else
        note(unit, "no worker that is here now could ever hold it");
      continue;
    }
    const StepNeeds& needs = unit.needs();
    if (!unit.gang() && !needs.apart && !needs.sameRack && needs.near.empty() &&
        !unit.request(unit.tasks[0]).accelerators)
      noBackfill.add(shape());
    note(unit, "would delay the reserved start, or no worker has room");
  }
  if (clusterState.config.planner.trials)
    startTrials(notStarted);
  startCopies();
  plan.made.number = clusterState.plan.next();
  for (auto& room : rooms) {
    room.projections.clear();
    planner.spare.push_back(std::move(room.projections));
  }
  return std::move(plan);
}

Planner::Planner() = default;
Planner::~Planner() = default;

Plan Planner::make(const ClusterState& clusterState, ClusterTime now, const Silence& silence,
                   bool explain, const Hints& hints) {
  if (!any || compiled != clusterState.config.version) {
    programs.clear();
    for (const auto& [name, policy] : clusterState.config.policies)
      programs.emplace(name, Programs{PolicyProgram(policy.rank), PolicyProgram(policy.mayHold)});
    if (!programs.count("default"))
      programs.emplace("default",
                       Programs{PolicyProgram(PolicyOptions{}.rank), PolicyProgram("1")});
    compiled = clusterState.config.version;
    any = true;
  }
  return Work(*this, clusterState, now, silence, explain, hints).run();
}

std::optional<ClusterTime> Planner::nextDue(const ClusterState& clusterState, ClusterTime now) {
  std::optional<ClusterTime> due;
  auto consider = [&](ClusterTime time) {
    if (time <= now)
      time = now + Duration{1};
    if (!due || time < *due)
      due = time;
  };
  const bool limits =
      std::any_of(clusterState.config.queues.begin(), clusterState.config.queues.end(),
                  [](const auto& queue) { return queue.second.hardLimit.milliseconds > 0; });
  for (const auto& [number, attempt] : clusterState.attempts) {
    if (attempt.lost)
      continue;
    if (attempt.trial() && attempt.state == AttemptState::running)
      consider(now + (attempt.quantum + trialGrace - attempt.ranBy(now)) + Duration{1});
    if (attempt.gang && !attempt.assembles &&
        (attempt.state == AttemptState::ordered || attempt.state == AttemptState::staged))
      consider(now + Duration{200});
    if (attempt.gang && (attempt.state == AttemptState::going ||
                         (attempt.assembles && attempt.state == AttemptState::ordered)))
      consider(attempt.runningSince + goLimit + Duration{1});
    if (limits && !attempt.trial() && attempt.state == AttemptState::running) {
      const auto found = clusterState.jobs.find(attempt.job);
      const auto* queue = found == clusterState.jobs.end()
                              ? nullptr
                              : clusterState.config.queue(found->second.submission.queue);
      if (queue && queue->hardLimit.milliseconds > 0)
        consider(now + (queue->hardLimit - attempt.ranBy(now)) + Duration{1});
    }
  }
  const ClusterTime soonest = now + Duration{500};  // for what waits
  for (const auto& id : clusterState.open) {
    if (due && *due <= soonest)
      break;
    const Job& job = clusterState.jobs.at(id);
    if (job.state != JobState::open)
      continue;
    for (const auto& task : job.tasks)
      if (task.state == TaskState::waiting) {
        consider(std::max(task.notBefore, soonest));
        break;
      }
  }
  return due;
}

}  // namespace aniseline
