// The planner: the paper's LXF&W-backfill with immediate service, as a pure function of the cluster
// state, a time and the leader's hints. docs/paper.md tells what was kept of the paper and which
// file carries each part of it; docs/design.md 7.
//
// The leader's controller calls it on its own thread and logs the plan; workers get orders only
// from the committed cluster state. It owns nothing but the compiled policies and memory that is
// used again, so that any two planners make the same plan of the same input.
#ifndef ANISELINE_SCHEDULING_PLANNER_HPP
#define ANISELINE_SCHEDULING_PLANNER_HPP
#include "scheduling/compiled_policies.hpp"
#include "state/cluster_state.hpp"
#include "state/policy_switches.hpp"

namespace aniseline {

/// Why a unit starts in a plan or does not. For people.
struct DecisionExplanation {
  JobId job;
  std::uint32_t step = 0;
  double rank = 0;
  std::string text;
};

/// Work that a plan has passed over though it fits: a job of which nothing runs, or one of its
/// long-running tasks.
struct PassedOverUnit {
  JobId job;
  std::optional<std::uint32_t> longRunningTask;  // index in Job::tasks
  auto operator<=>(const PassedOverUnit&) const = default;
};

struct Plan {
  PlanMade record;                                // what is logged
  std::vector<DecisionExplanation> explanations;  // only when asked for
  std::size_t pendingUnits = 0;
  /// By pool, in thousandths of a core: what the queues of the highest priority use and want now.
  /// Only with strict priority.
  std::map<std::string, std::int64_t> urgentDemand;
  std::vector<PassedOverUnit> passedOver;  // ascending
  // Statistics for the log.
  std::size_t schedulableWorkers = 0;
  std::size_t excludedWorkers = 0;  // present, but without new work in this plan
  std::size_t redundantCopies = 0;
  std::size_t heldByTenantCap = 0;    // pending units whose tenant runs all that it may
  std::int64_t schedulableCores = 0;  // thousandths of a core, of schedulable workers
  std::int64_t allocatedCores = 0;    // of these, before this plan's own starts
  std::array<std::size_t, 3> unitsByTargetStatus{};  // on time, late, expired

  /// Would logging it change nothing? A reserved start that moves by less than a second is the
  /// same.
  bool changesNothing(const Reservation& before) const;
};

/// How long ago the leader last heard from each worker. Not logged.
using LastContactAges = std::map<WorkerId, Duration>;
/// How long each worker's work has taken lately, as a multiple of what was requested. Not logged.
using RuntimeRatios = std::map<WorkerId, double>;

/// What the leader has observed lately. Guesses that a plan may be better for; none of it is
/// logged.
struct PlannerHints {
  RuntimeRatios runtimeRatios;
  /// By pool, in thousandths of a core: the most that its urgent queues have wanted at once.
  std::map<std::string, std::int64_t> urgentDemand;
  /// For how long every plan has passed the work over.
  std::map<PassedOverUnit, Duration> passedOverFor;
  /// Work that fits is passed over for so long at most; 0: without a bound.
  Duration maxPassedOverTime{0};
  PolicySwitches policies;
};

namespace scheduling {
struct Allocation;
}

class Planner {
 public:
  Planner();
  ~Planner();

  /// The plan for that time. The cluster state is read only; the plan takes effect when its record
  /// is applied. `explain` asks for a reason for each unit.
  Plan makePlan(const ClusterState& clusterState, ClusterTime now,
                const LastContactAges& contactAges, bool explain = false,
                const PlannerHints& hints = {});

  /// When a plan is due although no event asks for one: at a trial's end, a time-out of a gang, a
  /// hard limit, or the end of a retry's backoff. Always later than now; nothing if none of these
  /// is ahead.
  static std::optional<ClusterTime> nextPlanTime(const ClusterState& clusterState, ClusterTime now);

 private:
  std::optional<scheduling::CompiledPolicies> policies;  // of the config planned with last
  std::vector<std::vector<scheduling::Allocation>> recycledAllocations;
};

}  // namespace aniseline

#endif  // ANISELINE_SCHEDULING_PLANNER_HPP
