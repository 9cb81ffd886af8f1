// The planner as it stood before it was made fast (6d23801); what the present one must equal in
// every plan. Not to be changed but with a change of what is planned. The paper's LXF&W-backfill
// with immediate service, as a pure function of a view and a time. docs/paper.md.
#ifndef ANISELINE_TESTS_REFERENCE_PLANNER_HPP
#define ANISELINE_TESTS_REFERENCE_PLANNER_HPP
#include "state/cluster_state.hpp"

namespace aniseline::reference {

// What waits for a start: one ready task, or a whole gang. docs/design.md 7.1.
struct Unit {
  JobId job;
  std::uint32_t step = 0;
  std::vector<std::uint32_t> tasks;
  bool gang = false;
  Duration runtime;  // the longest of its parts
  ClusterTime readyAt;
  double priority = 0;
  bool pressed = false;  // what is left of its aim's slack is little
  int standing =
      0;  // 0: its job's aim can be met; 1: late, but of use; 2: past that. docs/paper.md 5
  std::int64_t urgency = 0;  // where urgency goes before all
  std::string pool;
  const StepRequirements* needs = nullptr;
};

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
};

}  // namespace aniseline::reference

#endif  // ANISELINE_TESTS_REFERENCE_PLANNER_HPP
