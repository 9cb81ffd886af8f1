// The plan under construction: policies append their actions to it, and take from it the numbers of
// the attempts that they start.
#ifndef ANISELINE_SCHEDULING_PLAN_DRAFT_HPP
#define ANISELINE_SCHEDULING_PLAN_DRAFT_HPP
#include "scheduling/placement_unit.hpp"
#include "scheduling/planner.hpp"

namespace aniseline::scheduling {

class PlanDraft {
 public:
  /// Continues the attempt numbers of the cluster state. `explain` requests a reason for each unit.
  PlanDraft(const ClusterState& clusterState, bool explain)
      : lastAttempt(clusterState.lastAttempt()), explaining(explain) {
    draft.record.number = clusterState.lastPlan().next();
  }

  AttemptNumber takeAttemptNumber() { return lastAttempt = lastAttempt.next(); }
  void add(Action action) { draft.record.actions.push_back(std::move(action)); }
  /// Adds a stop of the attempt; the reason goes into the log.
  void addStop(const Attempt& attempt, const char* reason);

  /// A state of the draft, to roll back to when a gang does not fit as a whole.
  struct Checkpoint {
    std::size_t actionCount;
    AttemptNumber lastAttempt;
  };
  Checkpoint checkpoint() const { return {draft.record.actions.size(), lastAttempt}; }
  void rollBack(const Checkpoint& checkpoint) {
    draft.record.actions.resize(checkpoint.actionCount);
    lastAttempt = checkpoint.lastAttempt;
  }

  bool isExplaining() const { return explaining; }
  void explain(const PlacementUnit& unit, std::string_view text) {
    if (explaining)
      draft.explanations.push_back(
          {unit.step().jobId(), unit.step().index, unit.batch->rank, std::string(text)});
  }

  /// Returns the plan so far; the planner fills in its statistics.
  Plan& plan() { return draft; }

 private:
  Plan draft;
  AttemptNumber lastAttempt;
  bool explaining;
};

/// Returns the action that starts or stages a task, with the fields that all policies set.
Action startAction(ActionKind kind, AttemptNumber attempt, const JobId& job,
                   std::uint32_t taskIndex, const WorkerId& worker, std::uint64_t memory);

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_PLAN_DRAFT_HPP
