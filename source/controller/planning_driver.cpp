// The timing of plans, and the hints given to the planner. docs/design.md 7.
#include "controller/planning_driver.hpp"

namespace aniseline {

namespace {
// These apply when no plan was requested: how often the next time-driven plan is looked up, and the
// interval after which a plan is made if any such time is known.
constexpr Duration dueCheckInterval{50};
constexpr Duration idlePlanInterval{500};
constexpr Duration dueTolerance{1};
constexpr Duration occupancyReportInterval{1000};
// The cost of a plan grows with the number of waiting units. The pause after it grows in the same
// way, so that planning never takes more than a fixed share of the time.
constexpr std::int64_t waitingUnitsPerPauseMs = 100;
// The pause after a step that planned, in multiples of the time that the step took.
constexpr std::int64_t pausePerStepTime = 3;
// A process that was suspended during a step must not stop planning for long.
constexpr Duration maxPauseByStepTime{60};
}  // namespace

void PlanningDriver::restart() {
  paceEstimator.clear();
  demandEstimator.clear();
  passedOver.clear();
}

PlannerHints PlanningDriver::hints(MonotonicTime now) const {
  PlannerHints hints;
  hints.runtimeRatios = paceEstimator.estimatedRatios(now);
  hints.urgentDemand = demandEstimator.demand(now);
  hints.passedOverFor = passedOver.durations(now);
  hints.maxPassedOverTime = maxPassedOverTime;
  hints.leadingFor = leases.timeLeading(now);
  hints.policies = policies;
  return hints;
}

bool PlanningDriver::isRequested(const ClusterState& state, ClusterTime clusterNow,
                                 MonotonicTime now) {
  if (requested)
    return true;
  if (now < nextDueCheck)
    return false;
  nextDueCheck = now + dueCheckInterval;
  const auto due = Planner::nextPlanTime(state, clusterNow);
  requested = due && (*due - clusterNow <= dueTolerance || now - lastPlanAt >= idlePlanInterval);
  return requested;
}

void PlanningDriver::recordStepTime(std::chrono::microseconds time) {
  if (!std::exchange(plannedInThisStep, false))
    return;
  const Duration pause{pausePerStepTime * std::int64_t(time.count()) / 1000};
  pauseByStepTime = std::min(pause, maxPauseByStepTime);
}

Duration PlanningDriver::pauseAfterPlan() const {
  const Duration pauseByUnits{std::int64_t(pendingUnitsAtLastPlan) / waitingUnitsPerPauseMs};
  return std::max(pauseByUnits, pauseByStepTime);
}

bool PlanningDriver::isPeriodOver(const ClusterState& state, MonotonicTime now) const {
  const Duration pause = pauseAfterPlan();
  const Duration period = periodSkipped ? pause : std::max(state.config().planner.period, pause);
  return now - lastPlanAt >= period;
}

void PlanningDriver::reportOccupancy(const Plan& plan, const ClusterState& state,
                                     MonotonicTime now) {
  if (now < nextOccupancyReport)
    return;
  nextOccupancyReport = now + occupancyReportInterval;
  log_events::Occupancy occupancy;
  occupancy.waitingTasks = plan.pendingUnits;
  occupancy.withinTarget = plan.unitsByTargetStatus[0];
  occupancy.late = plan.unitsByTargetStatus[1];
  occupancy.tooLateToBeUseful = plan.unitsByTargetStatus[2];
  occupancy.attempts = state.attempts().size();
  occupancy.openJobs = state.openJobs().size();
  occupancy.usableWorkers = plan.schedulableWorkers;
  occupancy.excludedWorkers = plan.excludedWorkers;
  occupancy.plans = std::exchange(plansSinceReport, 0);
  occupancy.redundantCopies = plan.redundantCopies;
  occupancy.heldByTenantCap = plan.heldByTenantCap;
  occupancy.cores = double(plan.schedulableCores) / 1000;
  occupancy.coresUsed = double(plan.allocatedCores) / 1000;
  events(occupancy);
}

std::optional<PlanMade> PlanningDriver::run(const ClusterState& state, ClusterTime clusterNow,
                                            MonotonicTime now) {
  if (!isRequested(state, clusterNow, now) || !isPeriodOver(state, now))
    return std::nullopt;
  lastPlanAt = now;
  plannedInThisStep = true;
  ++plansSinceReport;
  periodSkipped = false;
  requested = false;
  Plan plan =
      planner.makePlan(state, clusterNow, leases.timesSinceLastContact(now), false, hints(now));
  demandEstimator.record(plan.urgentDemand, now);
  passedOver.record(plan.passedOver, now);
  pendingUnitsAtLastPlan = plan.pendingUnits;
  reportOccupancy(plan, state, now);
  if (plan.changesNothing(state.reservation()))
    return std::nullopt;
  return std::move(plan.record);
}

Plan PlanningDriver::explain(const ClusterState& state, ClusterTime clusterNow, MonotonicTime now) {
  return planner.makePlan(state, clusterNow, leases.timesSinceLastContact(now), true, hints(now));
}

}  // namespace aniseline
