// Decides when a plan is made, gives the planner its hints, and reports the
// occupancy. Used by a serving leader only. docs/design.md 7.
#ifndef ANISELINE_CONTROLLER_PLANNING_DRIVER_HPP
#define ANISELINE_CONTROLLER_PLANNING_DRIVER_HPP
#include "controller/lease_manager.hpp"
#include "controller/log_event.hpp"
#include "controller/passed_over_tracker.hpp"
#include "controller/urgent_demand_estimator.hpp"
#include "controller/worker_pace_estimator.hpp"

namespace aniseline {

class PlanningDriver {
 public:
  // Work that fits is passed over for at most that time; docs/design.md 7.9.
  PlanningDriver(const LeaseManager& leases, const LogEventSignal& events,
                 Duration maxPassedOverTime, PolicySwitches policies)
      : leases(leases), events(events), maxPassedOverTime(maxPassedOverTime), policies(policies) {}

  // At the beginning of a leadership: what was measured of workers and pools is
  // out of date.
  void restart();
  // Something has changed that a plan may react to.
  void requestPlan() { requested = true; }
  // The next plan does not wait for the planning period: an urgent job came.
  void skipPeriod() { periodSkipped = true; }
  // The plan was appended; its own record asks for no further one.
  void planAppended() { requested = false; }

  void recordPace(const WorkerSynced& synced, const ClusterState& state, ClusterTime clusterNow,
                  MonotonicTime now) {
    paceEstimator.record(synced, state, clusterNow, now);
  }
  // Makes a plan where one is due; nothing when it changes nothing.
  std::optional<PlanMade> run(const ClusterState& state, ClusterTime clusterNow, MonotonicTime now);
  // A plan as it would be made now, with the reasons for what waits.
  Plan explain(const ClusterState& state, ClusterTime clusterNow, MonotonicTime now);

 private:
  PlannerHints hints(MonotonicTime now) const;
  bool isRequested(const ClusterState& state, ClusterTime clusterNow, MonotonicTime now);
  bool isPeriodOver(const ClusterState& state, MonotonicTime now) const;
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
  std::size_t waitingAtLastPlan = 0;  // tasks and gangs that are placed as one
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_PLANNING_DRIVER_HPP
