// The plan that is being made: the policies append their actions to it and take numbers for the
// attempts that they start from it.
#ifndef ANISELINE_SCHEDULING_PLAN_DRAFT_HPP
#define ANISELINE_SCHEDULING_PLAN_DRAFT_HPP
#include "scheduling/placement_unit.hpp"
#include "scheduling/planner.hpp"

namespace aniseline::scheduling {

class PlanDraft {
 public:
  /// Attempts are numbered on from the cluster state's last. `explain` asks for a reason for each
  /// unit.
  PlanDraft(const ClusterState& clusterState, bool explain)
      : lastAttempt(clusterState.lastAttempt()), explaining(explain) {
    draft.record.number = clusterState.lastPlan().next();
  }

  AttemptNumber takeAttemptNumber() { return lastAttempt = lastAttempt.next(); }
  void add(Action action) { draft.record.actions.push_back(std::move(action)); }
  /// Stops an attempt; the reason goes into the log.
  void addStop(const Attempt& attempt, const char* reason);

  /// Where the draft stands, to go back to when a gang turns out not to fit whole.
  struct Checkpoint {
    std::size_t actionCount;
    AttemptNumber lastAttempt;
  };
  Checkpoint checkpoint() const { return {draft.record.actions.size(), lastAttempt}; }
  void rollBack(const Checkpoint& checkpoint) {
    draft.record.actions.resize(checkpoint.actionCount);
    lastAttempt = checkpoint.lastAttempt;
  }

  bool explains() const { return explaining; }
  void explain(const PlacementUnit& unit, std::string_view text) {
    if (explaining)
      draft.explanations.push_back(
          {unit.step().jobId(), unit.step().index, unit.batch->rank, std::string(text)});
  }

  /// The plan so far; the statistics in it are filled in by the planner.
  Plan& plan() { return draft; }

 private:
  Plan draft;
  AttemptNumber lastAttempt;
  bool explaining;
};

/// The action that starts or stages a task, as far as all policies give it.
Action startAction(ActionKind kind, AttemptNumber attempt, const JobId& job,
                   std::uint32_t taskIndex, const WorkerId& worker, std::uint64_t memory);

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_PLAN_DRAFT_HPP
