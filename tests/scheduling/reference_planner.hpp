// The reference planner: a plain implementation of docs/paper.md, written for clarity rather than
// speed. It is the oracle of planner_reference_tests.cpp, which requires that the planner in
// source/scheduling equals it in every field of every plan.
//
// It is a separate implementation on purpose and shares no code with the planner, so that an error
// in either shows as a difference. Do not merge the two, and change this one only together with a
// change of the planned behaviour.
#ifndef ANISELINE_TESTS_SCHEDULING_REFERENCE_PLANNER_HPP
#define ANISELINE_TESTS_SCHEDULING_REFERENCE_PLANNER_HPP
#include "state/cluster_state.hpp"

namespace aniseline::reference {

// A unit to be started: one ready task, or a whole gang. docs/design.md 7.1.
struct PlacementUnit {
  JobId job;
  std::uint32_t step = 0;
  std::vector<std::uint32_t> tasks;
  bool gang = false;
  Duration runtime;  // for a gang, the longest of its parts
  ClusterTime readyAt;
  double rank = 0;
  bool lowSlack = false;  // little time is left before its job will be late
  // 0: the job can meet its latency target; 1: late, but the result is still of use; 2: expired.
  // docs/paper.md 5
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

// Work that was passed over although it fits: a job, or one of its tasks that run until they are
// cancelled.
using PassedOverUnit = std::pair<JobId, std::optional<std::uint32_t>>;

struct Plan {
  PlanMade record;
  std::vector<DecisionExplanation> explanations;  // filled only on request
  std::size_t pendingUnits = 0;
  std::map<std::string, std::int64_t> urgentDemand;  // by pool; filled only with strict priority
  std::set<PassedOverUnit> passedOver;
  // Statistics for the log: workers that get new work, excluded workers, and cores in thousandths.
  std::size_t schedulableWorkers = 0, excludedWorkers = 0, redundantCopies = 0, heldByTenantCap = 0;
  std::int64_t schedulableCores = 0, allocatedCores = 0;
  std::array<std::size_t, 3> unitsByTargetStatus{};
  bool changesNothing(const Reservation& before) const;
};

// Time since the leader last heard from each worker. Not logged.
using LastContactAges = std::map<WorkerId, Duration>;
// Recent runtimes on each worker as a multiple of the requested runtimes. Not logged.
using RuntimeRatios = std::map<WorkerId, double>;
// Recent observations of the leader; none of them is logged.
struct PlannerHints {
  RuntimeRatios runtimeRatios;
  // Recent peak demand of the urgent queues, by pool, in thousandths of a core.
  std::map<std::string, std::int64_t> urgentDemand;
  std::map<PassedOverUnit, Duration> passedOverFor;
  Duration maxPassedOverTime{0};
  // How long the leader has led; before that, another one may have heard from a worker.
  Duration leadingFor{0};
};

class Planner {
 public:
  Planner();
  ~Planner();
  Plan makePlan(const ClusterState& clusterState, ClusterTime now,
                const LastContactAges& contactAges, bool explain = false,
                const PlannerHints& hints = {});
  // Returns when the next plan is due without an event that triggers one.
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
