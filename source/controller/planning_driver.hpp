// Decides when the planner runs, passes hints to it, and reports the occupancy of the cluster. Used
// by a serving leader only. docs/design.md 7.
#ifndef ANISELINE_CONTROLLER_PLANNING_DRIVER_HPP
#define ANISELINE_CONTROLLER_PLANNING_DRIVER_HPP
#include "controller/lease_manager.hpp"
#include "controller/log_event.hpp"
#include "controller/passed_over_tracker.hpp"
#include "controller/urgent_demand_estimator.hpp"
#include "controller/worker_pace_estimator.hpp"
#include <chrono>

namespace aniseline {

class PlanningDriver {
 public:
  // `maxPassedOverTime` limits how long plans may pass over work that would fit; docs/design.md
  // 7.9.
  PlanningDriver(const LeaseManager& leases, const LogEventSignal& events,
                 Duration maxPassedOverTime, PolicySwitches policies)
      : leases(leases), events(events), maxPassedOverTime(maxPassedOverTime), policies(policies) {}

  // Discards the measurements of workers and pools, which are outdated at the start of a
  // leadership.
  void restart();
  // Requests a plan after a change that the planner may react to.
  void requestPlan() { requested = true; }
  // Lets the next plan start before the planning period has passed, because an urgent job arrived.
  void skipPeriod() { periodSkipped = true; }
  // Records how long the step that has just ended took. If it made a plan, the next plan
  // waits until planning takes no more than a fixed share of the time, however slow the machine is.
  void recordStepTime(std::chrono::microseconds time);
  // Withdraws the request that the plan's own log record has caused.
  void planAppended() { requested = false; }

  void recordRuntimes(const WorkerSynced& synced, const ClusterState& state, ClusterTime clusterNow,
                      MonotonicTime now) {
    paceEstimator.record(synced, state, clusterNow, now);
  }
  // Runs the planner if a plan is due. Returns nothing if the plan would change nothing.
  std::optional<PlanMade> run(const ClusterState& state, ClusterTime clusterNow, MonotonicTime now);
  // Returns the plan that would be made now, with the reasons why tasks are waiting.
  Plan explain(const ClusterState& state, ClusterTime clusterNow, MonotonicTime now);

 private:
  PlannerHints hints(MonotonicTime now) const;
  bool isRequested(const ClusterState& state, ClusterTime clusterNow, MonotonicTime now);
  bool isPeriodOver(const ClusterState& state, MonotonicTime now) const;
  Duration pauseAfterPlan() const;
  void reportOccupancy(const Plan& plan, const ClusterState& state, MonotonicTime now);

  const LeaseManager& leases;
  const LogEventSignal& events;
  Duration maxPassedOverTime;
  PolicySwitches policies;
  Planner planner;
  WorkerPaceEstimator paceEstimator;
  UrgentDemandEstimator demandEstimator;
  PassedOverTracker passedOver;
  bool requested = false;
  bool periodSkipped = false;
  MonotonicTime lastPlanAt{-1'000'000};
  MonotonicTime nextDueCheck;
  MonotonicTime nextOccupancyReport;
  std::size_t plansSinceReport = 0;
  // In units of the planner: single tasks, and gangs, which are placed as a whole.
  std::size_t pendingUnitsAtLastPlan = 0;
  bool plannedInThisStep = false;
  Duration pauseByStepTime;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_PLANNING_DRIVER_HPP
