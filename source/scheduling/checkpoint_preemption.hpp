// Checkpoint preemption: when urgent work finds no room, attempts of steps that keep checkpoints
// are stopped, except gang parts. They resume from their last checkpoint when there is room again.
// This replaces the paper's immediate service on workers that can't suspend. docs/paper.md 5,
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

  /// Stops enough of the attempts to free the cores that the urgent units in `blocked` lack.
  /// `checkpointed` is the list of that name in AttemptSurvey.
  void preemptFor(const std::vector<const PlacementUnit*>& blocked,
                  const std::vector<StepAttempt>& checkpointed);

 private:
  using CoresByPool = std::map<const PoolView*, std::int64_t>;  // thousandths of a core

  CoresByPool coresLacking(const std::vector<const PlacementUnit*>& blocked,
                           const std::vector<StepAttempt>& checkpointed) const;
  bool mayBePreempted(const StepAttempt& candidate);

  SchedulingContext& context;
  PlanDraft& draft;
  std::map<const JobView*, bool> hasSlack;  // cache by job, filled on demand
};

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_CHECKPOINT_PREEMPTION_HPP
