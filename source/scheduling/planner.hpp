// The planner computes a plan as a pure function of the cluster state, a time and the leader's
// hints. It implements the paper's LXF&W-backfill with immediate service. docs/paper.md lists what
// was kept of the paper and which file implements each part of it; see also docs/design.md 7.
//
// The leader's controller calls it on its own thread and logs the plan; workers get orders only
// from the committed cluster state. The planner owns only the compiled policies and recycled
// memory, so any two planners make the same plan from the same input.
#ifndef ANISELINE_SCHEDULING_PLANNER_HPP
#define ANISELINE_SCHEDULING_PLANNER_HPP
#include "scheduling/compiled_policies.hpp"
#include "state/cluster_state.hpp"
#include "state/policy_switches.hpp"

namespace aniseline {

/// A human-readable reason why a unit does or does not start in a plan.
struct DecisionExplanation {
  JobId job;
  std::uint32_t step = 0;
  double rank = 0;
  std::string text;
};

/// Work that a plan did not start although it fits: a job without any running attempt, or one of
/// its long-running tasks.
struct PassedOverUnit {
  JobId job;
  std::optional<std::uint32_t> longRunningTask;  // index in Job::tasks
  auto operator<=>(const PassedOverUnit&) const = default;
};

struct Plan {
  PlanMade record;                                // the part that is logged
  std::vector<DecisionExplanation> explanations;  // filled only on request
  std::size_t pendingUnits = 0;
  /// Cores that the highest-priority queues use and request now, by pool, in thousandths of a core.
  /// Filled only with strict priority.
  std::map<std::string, std::int64_t> urgentDemand;
  std::vector<PassedOverUnit> passedOver;  // in ascending order
  // Statistics for the log.
  std::size_t schedulableWorkers = 0;
  std::size_t excludedWorkers = 0;  // registered, but excluded from new work in this plan
  std::size_t redundantCopies = 0;
  std::size_t heldByTenantCap = 0;    // pending units held back by their tenant's cap
  std::int64_t schedulableCores = 0;  // of schedulable workers, in thousandths of a core
  std::int64_t allocatedCores = 0;    // allocated part of these, before this plan's own starts
  std::array<std::size_t, 3> unitsByTargetStatus{};  // on time, late, expired

  /// Reports whether logging the plan would change nothing. A reserved start that moves by less
  /// than a second counts as unchanged.
  bool changesNothing(const Reservation& before) const;
};

/// Time since the leader last heard from each worker. Not logged.
using LastContactAges = std::map<WorkerId, Duration>;
/// Recent runtimes on each worker as a multiple of the requested runtimes. Not logged.
using RuntimeRatios = std::map<WorkerId, double>;

/// Recent observations of the leader. They are estimates that can improve a plan; none of them is
/// logged.
struct PlannerHints {
  RuntimeRatios runtimeRatios;
  /// Recent peak demand of the urgent queues, by pool, in thousandths of a core.
  std::map<std::string, std::int64_t> urgentDemand;
  /// How long each unit has been passed over by every plan.
  std::map<PassedOverUnit, Duration> passedOverFor;
  /// Longest time for which work that fits may be passed over; 0 means no limit.
  Duration maxPassedOverTime{0};
  /// How long the leader has led. A worker from which it has not heard yet may have been in contact
  /// with its predecessor until then.
  Duration leadingFor{std::numeric_limits<std::int64_t>::max()};
  PolicySwitches policies;
};

namespace scheduling {
struct Allocation;
}

class Planner {
 public:
  Planner();
  ~Planner();

  /// Returns the plan for the given time. Does not change the cluster state; the plan takes effect
  /// when its record is applied. `explain` requests a reason for each unit.
  Plan makePlan(const ClusterState& clusterState, ClusterTime now,
                const LastContactAges& contactAges, bool explain = false,
                const PlannerHints& hints = {});

  /// Returns when the next plan is due without an event that triggers one: at the end of a trial, a
  /// gang timeout, a hard limit, or the end of a retry's backoff. Always later than `now`; empty if
  /// none of these is pending.
  static std::optional<ClusterTime> nextPlanTime(const ClusterState& clusterState, ClusterTime now);

 private:
  std::optional<scheduling::CompiledPolicies> policies;  // for the config of the last plan
  std::vector<std::vector<scheduling::Allocation>> recycledAllocations;
};

}  // namespace aniseline

#endif  // ANISELINE_SCHEDULING_PLANNER_HPP
