// Long work whose progress is saved gives way to urgent work that finds no room: single attempts of
// steps that keep checkpoints are stopped, and go on from their last one when there is room again.
// In place of the paper's immediate service on workers that can't suspend. docs/paper.md 5,
// docs/design.md 7.10.
#ifndef ANISELINE_SCHEDULING_CHECKPOINT_PREEMPTION_HPP
#define ANISELINE_SCHEDULING_CHECKPOINT_PREEMPTION_HPP
#include "scheduling/attempt_projection.hpp"
#include "scheduling/plan_draft.hpp"

namespace aniseline::scheduling {

class CheckpointPreemption {
 public:
  CheckpointPreemption(SchedulingContext& context, PlanDraft& draft)
      : context(context), draft(draft) {}

  /// Stops as many of the attempts as the urgent ones among the blocked units lack cores for.
  /// `checkpointed` are the attempts of AttemptSurvey of this name.
  void makeRoom(const std::vector<const PlacementUnit*>& blocked,
                const std::vector<StepAttempt>& checkpointed);

 private:
  using CoresByPool = std::map<const PoolView*, std::int64_t>;  // thousandths of a core

  CoresByPool coresLacking(const std::vector<const PlacementUnit*>& blocked,
                           const std::vector<StepAttempt>& checkpointed) const;
  bool mayGiveWay(const StepAttempt& run);

  SchedulingContext& context;
  PlanDraft& draft;
  std::map<const JobView*, bool> hasSlack;  // by job, as far as it was asked for
};

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_CHECKPOINT_PREEMPTION_HPP
