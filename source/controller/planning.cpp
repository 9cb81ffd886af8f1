// When and with which hints a plan is made. docs/design.md 7.
#include "controller/controller.hpp"

#include <cmath>

namespace aniseline {

LastContactAges Controller::unheardDurations() const {
  LastContactAges known;
  for (const auto& [id, heard] : lastContacts)
    known[id] = unresponsiveUntil.count(id) ? Duration{60'000} : now - heard;
  return known;
}

void Controller::recordPace(const WorkerSynced& synced) {
  for (const auto& ending : synced.results) {
    auto attempt = speculative().attempts().find(ending.attempt);
    if (ending.outcome != AttemptOutcome::succeeded || attempt == speculative().attempts().end() ||
        attempt->second.isTrial())
      continue;
    const double ratio = double((clusterNow() - attempt->second.orderedAt).milliseconds) /
                         double(std::max<std::int64_t>(50, attempt->second.runtime.milliseconds));
    Pace& pace = paces[synced.worker];
    pace.logRatio += (std::log(std::clamp(ratio, 0.05, 20.0)) - pace.logRatio) *
                     (pace.samples < 8 ? 0.15 : 0.06);
    ++pace.samples;
    pace.measuredAt = now;
  }
}

// A worker that has ended nothing for a while is given the benefit of the doubt, the more the
// longer.
PlannerHints Controller::hints() const {
  PlannerHints known;
  for (const auto& [id, pace] : paces) {
    const double age =
        double(std::max<std::int64_t>(0, (now - pace.measuredAt).milliseconds - 1000));
    if (pace.samples >= 8)
      known.runtimeRatios[id] = std::exp(pace.logRatio * std::exp2(-age / 4000.0));
  }
  for (const auto& [pool, demand] : urgentDemand)
    known.urgentDemand[pool] = std::int64_t(
        demand.peak * std::exp2(-double((now - demand.measuredAt).milliseconds) / 5000.0));
  return known;
}

void Controller::recordDemand(const Plan& plan) {
  for (const auto& [pool, wanted] : plan.urgentDemand) {
    Demand& known = urgentDemand[pool];
    const double faded =
        known.peak * std::exp2(-double((now - known.measuredAt).milliseconds) / 5000.0);
    known.peak = std::max(faded, double(wanted));
    known.measuredAt = now;
  }
}

void Controller::runPlanner() {
  if (!planRequested) {
    if (now < nextPlanDueCheck)
      return;
    nextPlanDueCheck = now + Duration{50};
    auto due = Planner::nextPlanTime(speculative(), clusterNow());
    if (due && *due - clusterNow() <= Duration{1})
      planRequested = true;
    if (due && now - lastPlanAt >= Duration{500})
      planRequested = true;
    if (!planRequested)
      return;
  }
  // What a plan costs grows with what waits, and so does the rest after it: there is a share of the
  // time that it never takes.
  const Duration rest{std::int64_t(waitingAtLastPlan) / 100};
  if (now - lastPlanAt <
      (planWithoutDelay ? rest : std::max(speculative().config().planner.period, rest)))
    return;
  lastPlanAt = now;
  planWithoutDelay = false;
  Plan plan = planner.makePlan(speculative(), clusterNow(), unheardDurations(), false, hints());
  recordDemand(plan);
  waitingAtLastPlan = plan.pendingUnits;
  planRequested = false;
  if (now >= nextOccupancyReport) {
    nextOccupancyReport = now + Duration{1000};
    emitLogEvent("occupancy", {{"waiting", json(plan.pendingUnits)},
                               {"in_time", json(plan.unitsByTargetStatus[0])},
                               {"late", json(plan.unitsByTargetStatus[1])},
                               {"past", json(plan.unitsByTargetStatus[2])},
                               {"attempts", json(speculative().attempts().size())},
                               {"open", json(speculative().openJobs().size())},
                               {"workers", json(plan.schedulableWorkers)},
                               {"passed_over", json(plan.excludedWorkers)},
                               {"copies", json(plan.redundantCopies)},
                               {"cores", json(double(plan.schedulableCores) / 1000)},
                               {"cores_used", json(double(plan.allocatedCores) / 1000)}});
  }
  if (plan.changesNothing(speculative().reservation()))
    return;
  append(std::move(plan.record));
  planRequested = false;
}

}  // namespace aniseline
