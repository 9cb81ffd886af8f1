#include "scheduling/planner.hpp"
#include "scheduling/attempt_projection.hpp"
#include "scheduling/checkpoint_preemption.hpp"
#include "scheduling/gangs.hpp"
#include "scheduling/immediate_starts.hpp"
#include "scheduling/redundant_copies.hpp"
#include "scheduling/service_trials.hpp"
#include "scheduling/slow_workers.hpp"
#include "scheduling/starvation_guard.hpp"
#include "scheduling/unit_ordering.hpp"
#include "scheduling/urgent_headroom.hpp"

namespace aniseline {

namespace scheduling {

namespace {

constexpr const char* blockedText = "would delay the reserved start, or no worker has room";

// One plan: the policies in the order in which they take part, over one context.
class PlanRun {
 public:
  PlanRun(const ClusterState& clusterState, ClusterTime now, const LastContactAges& contactAges,
          const PlannerHints& hints, const CompiledPolicies& policies,
          RecycledAllocations& recycledAllocations, bool explain)
      : hints(hints),
        context(clusterState, now, contactAges, hints, recycledAllocations),
        draft(clusterState, explain),
        ordering(context, policies),
        reservedStart(context),
        backfill(reservedStart),
        headroom(context),
        starts(context, backfill, draft),
        trials(context, policies, reservedStart, backfill, draft),
        starvation(context, hints, draft),
        preemption(context, draft) {}

  Plan run();

 private:
  enum class Decision { started, blocked, heldBack };

  void recordStatistics(const std::vector<PlacementUnit>& units);
  Decision decide(const PlacementUnit& unit);
  void reserveStart(const PlacementUnit& unit);

  const PlannerHints& hints;
  SchedulingContext context;
  PlanDraft draft;
  UnitOrdering ordering;
  ReservedStart reservedStart;
  BackfillAdmission backfill;
  UrgentHeadroom headroom;
  ImmediateStarts starts;
  ServiceTrials trials;
  StarvationGuard starvation;
  CheckpointPreemption preemption;
};

Plan PlanRun::run() {
  const AttemptSurvey survey = projectAttempts(context);
  excludeSlowWorkers(context, hints.runtimeRatios);
  advanceGangs(context, survey.gangParts, draft);
  stopOverTimeLimit(survey.overTimeLimit, draft);
  const auto& units = ordering.collect();
  recordStatistics(units);
  if (context.options().strictPriority)
    draft.plan().urgentDemand = headroom.measure(units);
  std::vector<const PlacementUnit*> blocked;
  std::vector<const PlacementUnit*> waiting;
  for (const auto& unit : units) {
    const Decision decision = decide(unit);
    if (decision == Decision::started) {
      starvation.recordStart(unit);
      continue;
    }
    waiting.push_back(&unit);
    if (decision == Decision::blocked)
      blocked.push_back(&unit);
  }
  const auto overdue = starvation.startOverdue(waiting);
  std::erase_if(blocked, [&](const PlacementUnit* unit) { return overdue.count(unit) > 0; });
  if (context.options().trialsEnabled)
    trials.start(blocked);
  preemption.makeRoom(blocked, survey.checkpointed);
  startRedundantCopies(context, survey.redundant, backfill, draft);
  draft.plan().record.reservation = reservedStart.get();
  return std::move(draft.plan());
}

void PlanRun::recordStatistics(const std::vector<PlacementUnit>& units) {
  Plan& plan = draft.plan();
  plan.pendingUnits = units.size();
  for (const auto& unit : units)
    ++plan.unitsByTargetStatus[std::size_t(unit.batch->latencyTarget.status)];
  for (const auto& worker : context.workers()) {
    if (!worker.isSchedulable()) {
      ++plan.excludedWorkers;
      continue;
    }
    ++plan.schedulableWorkers;
    plan.schedulableCores += worker.totalResources().cores;
    plan.allocatedCores += worker.usedCores();
  }
}

PlanRun::Decision PlanRun::decide(const PlacementUnit& unit) {
  TaskBatch& batch = *unit.batch;
  if (backfill.isRuledOut(unit)) {
    draft.explain(unit, blockedText);
    return Decision::blocked;
  }
  if (!headroom.leavesEnough(unit)) {
    draft.explain(unit, "leaves room that urgent work has wanted lately");
    return Decision::heldBack;
  }
  if (!batch.startFailed && starts.tryStart(unit)) {
    headroom.recordStart(unit);
    draft.explain(unit, "starts in this plan");
    return Decision::started;
  }
  batch.startFailed = true;
  if (reservedStart.isHeld()) {
    backfill.recordFailure(unit);
    draft.explain(unit, blockedText);
  } else {
    reserveStart(unit);
  }
  return Decision::blocked;
}

void PlanRun::reserveStart(const PlacementUnit& unit) {
  TaskBatch& batch = *unit.batch;
  auto reservation = batch.reservationFailed ? std::nullopt : reservedStart.findEarliest(unit);
  batch.reservationFailed = !reservation;
  if (!reservation) {
    draft.explain(unit, "no worker that is here now could ever hold it");
    return;
  }
  reservedStart.hold(unit, std::move(*reservation));
  if (!draft.explains())
    return;
  const Reservation& held = reservedStart.get();
  const Duration wait = held.start - context.now();
  draft.explain(unit, "holds the reserved start on " + held.placements.front().worker.value +
                          " in " + std::to_string(wait.milliseconds) + " ms");
}

}  // namespace

}  // namespace scheduling

bool Plan::changesNothing(const Reservation& before) const {
  const Reservation& reservation = record.reservation;
  if (!record.actions.empty())
    return false;
  if (reservation.job != before.job || reservation.stepIndex != before.stepIndex)
    return false;
  if (!before.isActive())
    return true;
  const Duration shift = reservation.start - before.start;
  return std::abs(shift.milliseconds) < scheduling::reservationTolerance.milliseconds;
}

Planner::Planner() = default;
Planner::~Planner() = default;

Plan Planner::makePlan(const ClusterState& clusterState, ClusterTime now,
                       const LastContactAges& contactAges, bool explain,
                       const PlannerHints& hints) {
  if (!policies || policies->version() != clusterState.config().version)
    policies.emplace(clusterState.config());
  return scheduling::PlanRun(clusterState, now, contactAges, hints, *policies, recycledAllocations,
                             explain)
      .run();
}

}  // namespace aniseline
