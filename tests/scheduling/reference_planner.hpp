// The reference planner: a plain implementation of docs/paper.md, written for clearness and not for
// speed. It is the oracle of planner_reference_tests.cpp, which asks that the planner in
// source/scheduling equals it in every field of every plan.
//
// It is a separate implementation on purpose and shares no code with the planner, so that an error
// in one shows as a difference. Do not merge the two, and change this one only together with a
// change of what is planned.
#ifndef ANISELINE_TESTS_SCHEDULING_REFERENCE_PLANNER_HPP
#define ANISELINE_TESTS_SCHEDULING_REFERENCE_PLANNER_HPP
#include "state/cluster_state.hpp"

namespace aniseline::reference {

// What waits for a start: one ready task, or a whole gang. docs/design.md 7.1.
struct PlacementUnit {
  JobId job;
  std::uint32_t step = 0;
  std::vector<std::uint32_t> tasks;
  bool gang = false;
  Duration runtime;  // the longest of its parts
  ClusterTime readyAt;
  double rank = 0;
  bool lowSlack = false;  // little time is left until its job can no longer be in time
  // 0: its job can meet its latency target; 1: late, but of use; 2: past use. docs/paper.md 5
  int targetStatus = 0;
  std::int64_t queuePriority = 0;  // 0 unless the config has strict priority
  std::string pool;
  const StepRequirements* requirements = nullptr;
};

struct DecisionExplanation {
  JobId job;
  std::uint32_t step = 0;
  double rank = 0;
  std::string text;
};

// Work that fits and was passed over: a job, or a task of it that runs until it is cancelled.
using PassedOver = std::pair<JobId, std::optional<std::uint32_t>>;

struct Plan {
  PlanMade record;
  std::vector<DecisionExplanation> explanations;  // only when asked for
  std::size_t pendingUnits = 0;
  std::map<std::string, std::int64_t> urgentDemand;  // by pool, with strict priority only
  std::set<PassedOver> passedOver;
  // For the log: workers that get new work, those excluded, and cores in thousandths.
  std::size_t schedulableWorkers = 0, excludedWorkers = 0, redundantCopies = 0, heldByTenantCap = 0;
  std::int64_t schedulableCores = 0, allocatedCores = 0;
  std::array<std::size_t, 3> unitsByTargetStatus{};
  bool changesNothing(const Reservation& before) const;
};

// How long ago the leader last heard from each worker. Not logged.
using LastContactAges = std::map<WorkerId, Duration>;
// How long each worker's work has taken lately, as a multiple of what was requested. Not logged.
using RuntimeRatios = std::map<WorkerId, double>;
// What the leader has observed lately; none of it is logged.
struct PlannerHints {
  RuntimeRatios runtimeRatios;
  // By pool, in thousandths of a core: the most that its urgent queues have wanted at once.
  std::map<std::string, std::int64_t> urgentDemand;
  std::map<PassedOver, Duration> passedOverFor;
  Duration maxPassedOverTime{0};
};

class Planner {
 public:
  Planner();
  ~Planner();
  Plan makePlan(const ClusterState& clusterState, ClusterTime now,
                const LastContactAges& contactAges, bool explain = false,
                const PlannerHints& hints = {});
  // When a plan is due although no event asks for one.
  static std::optional<ClusterTime> nextPlanTime(const ClusterState& clusterState, ClusterTime now);

 private:
  struct PlanRun;
  struct CompiledPolicy {
    PolicyProgram rank;
    PolicyProgram maySuspend;
  };
  std::map<std::string, CompiledPolicy> compiledPolicies;
  ConfigVersion compiledVersion;
  bool hasCompiledPolicies = false;
};

}  // namespace aniseline::reference

#endif  // ANISELINE_TESTS_SCHEDULING_REFERENCE_PLANNER_HPP
