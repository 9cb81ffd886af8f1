// The paper's LXF&W-backfill with immediate service, as a pure function of a view and a time.
// docs/paper.md.
#ifndef ANISELINE_SCHEDULING_PLANNER_HPP
#define ANISELINE_SCHEDULING_PLANNER_HPP
#include "state/cluster_state.hpp"

namespace aniseline {

struct DecisionExplanation {
  JobId job;
  std::uint32_t step = 0;
  double rank = 0;
  std::string text;
};

struct Plan {
  PlanMade record;
  std::vector<DecisionExplanation> explanations;  // only when asked for
  std::size_t pendingUnits = 0;
  // For the log: workers that take work now, those passed over, and cores in thousandths.
  std::map<std::string, std::int64_t> urgentDemand;  // as of now, where urgency goes first
  std::size_t schedulableWorkers = 0, excludedWorkers = 0, redundantCopies = 0;
  std::int64_t schedulableCores = 0, allocatedCores = 0;
  std::array<std::size_t, 3> unitsByTargetStatus{};
  bool changesNothing(const Reservation& before) const;
};

// What the leader knows of workers and does not log: how long each has been unheard.
using LastContactAges = std::map<WorkerId, Duration>;
// How long the work of a worker takes against what was requested, lately. The leader's own, as a
// hint; not logged.
using RuntimeRatios = std::map<WorkerId, double>;
// What the leader has seen lately; hints, none of it logged.
struct PlannerHints {
  RuntimeRatios runtimeRatios;
  std::map<std::string, std::int64_t>
      urgentDemand;  // by pool: the cores that its most urgent queues have wanted at once
};

namespace planning {
struct Allocation;
}

class Planner {
 public:
  Planner();
  ~Planner();
  Plan makePlan(const ClusterState& clusterState, ClusterTime now, const LastContactAges& silence,
                bool explain = false, const PlannerHints& hints = {});
  // When a plan is due though nothing was told: a trial's end, a hard limit, a retry's pause.
  static std::optional<ClusterTime> nextPlanTime(const ClusterState& clusterState, ClusterTime now);

 private:
  struct PlanBuilder;
  struct CompiledPolicy {
    PolicyProgram rank;
    PolicyProgram maySuspend;
  };
  std::map<std::string, CompiledPolicy> compiledPolicies;
  ConfigVersion compiledVersion;
  bool hasCompiledPolicies = false;
  std::vector<std::vector<planning::Allocation>>
      recycledAllocations;  // memory of the last plan's rooms, for the next one
};

}  // namespace aniseline

#endif  // ANISELINE_SCHEDULING_PLANNER_HPP
