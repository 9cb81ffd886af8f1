#include "scheduling/planner_work.hpp"

namespace aniseline {

using namespace planning;

bool Plan::changesNothing(const Reservation& before) const {
  if (!record.actions.empty())
    return false;
  if (record.reservation.job != before.job || record.reservation.stepIndex != before.stepIndex)
    return false;
  if (!before.isActive())
    return true;
  return std::abs((record.reservation.start - before.start).milliseconds) < 1000;
}

Plan Planner::PlanBuilder::run() {
  buildWorkers();
  advanceGangs();
  std::move(timeLimitStops.begin(), timeLimitStops.end(), std::back_inserter(plan.record.actions));
  collectUnits();
  plan.pendingUnits = units.size();
  for (const auto& unit : units)
    ++plan.unitsByTargetStatus[std::size_t(unit.batch->targetStatus)];
  for (const auto& room : workers) {
    ++(room.schedulable ? plan.schedulableWorkers : plan.excludedWorkers);
    plan.schedulableCores += room.schedulable ? room.cores : 0;
    plan.allocatedCores += room.schedulable ? room.usedCores : 0;
  }
  if (clusterState.config().planner.strictPriority)
    measureUrgentDemand();
  std::vector<const PlacementUnit*> notStarted;
  for (const auto& unit : units) {
    TaskBatch& batch = *unit.batch;
    FailedRequests& noBackfill = batch.step->eligible->failedBackfills;
    const bool reserved = plan.record.reservation.isActive();
    auto shape = [&] {
      return unit.requestShape(std::numeric_limits<std::int64_t>::max(), batch.runtime);
    };
    if (!batch.backfillFailed && !unit.isGang() && reserved && !unit.needs().maxPerWorker)
      batch.backfillFailed = noBackfill.covers(shape());
    if (batch.backfillFailed) {
      explainDecision(unit, "would delay the reserved start, or no worker has room");
      notStarted.push_back(&unit);
      continue;
    }
    if (!leavesUrgentHeadroom(unit)) {
      explainDecision(unit, "leaves room that urgent work has wanted lately");
      continue;
    }
    if (!batch.startFailed && startNow(unit)) {
      unit.queue().pool->freeCores -= batch.coresPerUnit;
      explainDecision(unit, "starts in this plan");
      continue;
    }
    batch.startFailed = true;
    notStarted.push_back(&unit);
    if (!reserved) {
      auto reservation = batch.reservationFailed ? std::nullopt : findReservation(unit);
      batch.reservationFailed = !reservation;
      if (reservation) {
        recordReservation(unit, std::move(*reservation));
        const Reservation& kept = plan.record.reservation;
        explainDecision(unit, "holds the reserved start on " +
                                  kept.placements.front().worker.value + " in " +
                                  std::to_string((kept.start - now).milliseconds) + " ms");
      } else
        explainDecision(unit, "no worker that is here now could ever hold it");
      continue;
    }
    const StepRequirements& needs = unit.needs();
    if (!unit.isGang() && !needs.maxPerWorker && !needs.sameRack && needs.preferredRack.empty() &&
        !unit.request(unit.tasks[0]).accelerators)
      noBackfill.add(shape());
    explainDecision(unit, "would delay the reserved start, or no worker has room");
  }
  if (clusterState.config().planner.trialsEnabled)
    startTrials(notStarted);
  startRedundantCopies();
  plan.record.number = clusterState.lastPlan().next();
  for (auto& room : workers) {
    room.allocations.clear();
    planner.recycledAllocations.push_back(std::move(room.allocations));
  }
  return std::move(plan);
}

Planner::Planner() = default;
Planner::~Planner() = default;

Plan Planner::makePlan(const ClusterState& clusterState, ClusterTime now,
                       const LastContactAges& silence, bool explain, const PlannerHints& hints) {
  if (!hasCompiledPolicies || compiledVersion != clusterState.config().version) {
    compiledPolicies.clear();
    for (const auto& [name, policy] : clusterState.config().policies)
      compiledPolicies.emplace(name, CompiledPolicy{PolicyProgram(policy.rankExpression),
                                                    PolicyProgram(policy.suspendExpression)});
    if (!compiledPolicies.count("default"))
      compiledPolicies.emplace(
          "default",
          CompiledPolicy{PolicyProgram(PolicyOptions{}.rankExpression), PolicyProgram("1")});
    compiledVersion = clusterState.config().version;
    hasCompiledPolicies = true;
  }
  return PlanBuilder(*this, clusterState, now, silence, explain, hints).run();
}

std::optional<ClusterTime> Planner::nextPlanTime(const ClusterState& clusterState,
                                                 ClusterTime now) {
  std::optional<ClusterTime> due;
  auto consider = [&](ClusterTime time) {
    if (time <= now)
      time = now + Duration{1};
    if (!due || time < *due)
      due = time;
  };
  const bool limits =
      std::any_of(clusterState.config().queues.begin(), clusterState.config().queues.end(),
                  [](const auto& queue) { return queue.second.hardRuntimeLimit.milliseconds > 0; });
  for (const auto& [number, attempt] : clusterState.attempts()) {
    if (attempt.abandoned)
      continue;
    if (attempt.isTrial() && attempt.state == AttemptState::running)
      consider(now + (attempt.quantum + trialStopGrace - attempt.runtimeAt(now)) + Duration{1});
    if (attempt.gang && !attempt.selfAssembling &&
        (attempt.state == AttemptState::ordered || attempt.state == AttemptState::staged))
      consider(now + Duration{200});
    if (attempt.gang && (attempt.state == AttemptState::launching ||
                         (attempt.selfAssembling && attempt.state == AttemptState::ordered)))
      consider(attempt.runningSince + startConfirmationTimeout + Duration{1});
    if (limits && !attempt.isTrial() && attempt.state == AttemptState::running) {
      const auto found = clusterState.jobs().find(attempt.job);
      const auto* queue = found == clusterState.jobs().end()
                              ? nullptr
                              : clusterState.config().findQueue(found->second.submission.queue);
      if (queue && queue->hardRuntimeLimit.milliseconds > 0)
        consider(now + (queue->hardRuntimeLimit - attempt.runtimeAt(now)) + Duration{1});
    }
  }
  const ClusterTime soonest = now + Duration{500};  // for what waits
  for (const auto& id : clusterState.openJobs()) {
    if (due && *due <= soonest)
      break;
    const Job& job = clusterState.jobs().at(id);
    if (job.state != JobState::active)
      continue;
    for (const auto& task : job.tasks)
      if (task.state == TaskState::pending) {
        consider(std::max(task.notBefore, soonest));
        break;
      }
  }
  return due;
}

}  // namespace aniseline
