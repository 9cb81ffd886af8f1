// Runs the scheduling policies in their fixed order to make one plan.
#include "scheduling/planner.hpp"
#include "scheduling/attempt_projection.hpp"
#include "scheduling/checkpoint_preemption.hpp"
#include "scheduling/gangs.hpp"
#include "scheduling/immediate_starts.hpp"
#include "scheduling/locality_wait.hpp"
#include "scheduling/redundant_copies.hpp"
#include "scheduling/service_trials.hpp"
#include "scheduling/slow_workers.hpp"
#include "scheduling/starvation_guard.hpp"
#include "scheduling/unit_ordering.hpp"
#include "scheduling/urgent_headroom.hpp"

namespace aniseline {

namespace scheduling {

namespace {

constexpr const char* tenantCapText = "its tenant runs as much as its cap allows";
constexpr const char* blockedText = "would delay the reserved start, or no worker has room";

bool isExpired(const TaskBatch& batch) {
  return batch.latencyTarget.status == TargetStatus::expired;
}

// Makes one plan by applying the policies in order to one context.
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
  // `deferred` marks a unit that fits only away from its data; it is tried again after the others.
  enum class Decision { started, blocked, heldBack, deferred };

  void recordStatistics(const std::vector<PlacementUnit>& units);
  void decideInOrder(const std::vector<PlacementUnit>& units);
  void decideDeferred();
  Decision decide(const PlacementUnit& unit, ImmediateStarts::Locality locality);
  void record(const PlacementUnit& unit, Decision decision);
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
  std::vector<const PlacementUnit*> deferred;  // of the current priority class
  std::vector<const PlacementUnit*> waiting;   // all units that were not started
  std::vector<const PlacementUnit*> blocked;   // units in `waiting` that found no room
};

Plan PlanRun::run() {
  const AttemptSurvey survey = projectAttempts(context);
  if (context.isOn(Policy::slowWorkers))
    excludeSlowWorkers(context, hints.runtimeRatios);
  advanceGangs(context, survey.gangParts, draft);
  stopOverTimeLimit(survey.overTimeLimit, draft);
  const auto& units = ordering.collect();
  recordStatistics(units);
  if (context.options().strictPriority)
    draft.plan().urgentDemand = headroom.measure(units);
  decideInOrder(units);
  const auto overdue = starvation.startOverdue(waiting);
  std::erase_if(blocked, [&](const PlacementUnit* unit) { return overdue.count(unit) > 0; });
  if (context.options().trialsEnabled)
    trials.start(blocked);
  if (context.isOn(Policy::checkpointPreemption))
    preemption.preemptFor(blocked, survey.checkpointed);
  if (context.isOn(Policy::redundantCopies))
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

// Processes expired work and each priority as separate classes, so that deferred units are retried
// before any less urgent unit.
void PlanRun::decideInOrder(const std::vector<PlacementUnit>& units) {
  const TaskBatch* previous = nullptr;
  for (const auto& unit : units) {
    const bool sameClass = previous && previous->queuePriority == unit.batch->queuePriority &&
                           isExpired(*previous) == isExpired(*unit.batch);
    if (!sameClass)
      decideDeferred();
    previous = unit.batch;
    const Decision decision = decide(unit, ImmediateStarts::Locality::local);
    if (decision == Decision::deferred)
      deferred.push_back(&unit);
    else
      record(unit, decision);
  }
  decideDeferred();
}

void PlanRun::decideDeferred() {
  for (const auto* unit : deferred) {
    if (localityWaitIsOver(*unit, context)) {
      record(*unit, decide(*unit, ImmediateStarts::Locality::any));
      continue;
    }
    draft.explain(*unit, "waits for room near its data");
    record(*unit, Decision::heldBack);
  }
  deferred.clear();
}

void PlanRun::record(const PlacementUnit& unit, Decision decision) {
  if (decision == Decision::started)
    return starvation.recordStart(unit);
  waiting.push_back(&unit);
  if (decision == Decision::blocked)
    blocked.push_back(&unit);
}

PlanRun::Decision PlanRun::decide(const PlacementUnit& unit, ImmediateStarts::Locality locality) {
  TaskBatch& batch = *unit.batch;
  if (!fitsTenantCap(unit)) {
    ++draft.plan().heldByTenantCap;
    draft.explain(unit, tenantCapText);
    return Decision::heldBack;
  }
  if (backfill.isRuledOut(unit)) {
    draft.explain(unit, blockedText);
    return Decision::blocked;
  }
  if (context.isOn(Policy::urgentHeadroom) && !headroom.preservesHeadroom(unit)) {
    draft.explain(unit, "leaves room that urgent work has wanted lately");
    return Decision::heldBack;
  }
  const bool localFirst =
      locality == ImmediateStarts::Locality::local && prefersRack(unit, context);
  if (localFirst && (batch.localStartFailed || !starts.tryStart(unit, locality))) {
    batch.localStartFailed = true;
    return Decision::deferred;
  }
  if (localFirst || (!batch.startFailed && starts.tryStart(unit))) {
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
  if (!context.isOn(Policy::reservedStart))
    return draft.explain(unit, blockedText);
  auto reservation = batch.reservationFailed ? std::nullopt : reservedStart.findEarliest(unit);
  batch.reservationFailed = !reservation;
  if (!reservation) {
    draft.explain(unit, "no worker that is here now could ever hold it");
    return;
  }
  reservedStart.hold(unit, std::move(*reservation));
  if (!draft.isExplaining())
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
