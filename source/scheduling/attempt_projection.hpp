// Projects the attempts of the cluster state onto the plan's workers: what each attempt occupies
// and until when, which attempts are overdue, and which ones later policies need. docs/design.md
// 5.6, 7.6.
#ifndef ANISELINE_SCHEDULING_ATTEMPT_PROJECTION_HPP
#define ANISELINE_SCHEDULING_ATTEMPT_PROJECTION_HPP
#include "scheduling/scheduling_context.hpp"
#include "scheduling/time_limits.hpp"

namespace aniseline::scheduling {

struct StepAttempt {
  StepView* step = nullptr;
  const Attempt* attempt = nullptr;
};

/// Attempts that later policies need, collected in one pass in the order of attempt numbers.
/// Abandoned attempts are left out.
struct AttemptSurvey {
  std::vector<StepAttempt> gangParts;
  std::vector<StepAttempt> redundant;  // of redundant steps; neither gang parts nor being stopped
  // Attempts of steps that keep checkpoints, except gang parts, on workers that can't suspend.
  // Attempts that are being stopped are included.
  std::vector<StepAttempt> checkpointed;
  std::vector<OverTimeLimit> overTimeLimit;
};

/// Allocates all attempts on the workers of the context. Excludes or penalises workers whose
/// attempts show that they are slow to apply orders or that work fails on them. Also counts the
/// tasks per worker and the cores of urgent work, and records the racks that steps run on.
AttemptSurvey projectAttempts(SchedulingContext& context);

/// Returns the expected remaining runtime. An overrunning task is expected to need half as long
/// again as it has already run. docs/design.md 7.6.
Duration remainingRuntime(const Attempt& attempt, ClusterTime now);

/// Reports whether the attempt has taken far longer than requested, allowing for remote data and a
/// common overrun. It may be stuck, or its worker may be slow. `requirements` is null if its step
/// is not known.
bool isOverdue(const Attempt& attempt, const StepRequirements* requirements,
               const SchedulingContext& context);

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_ATTEMPT_PROJECTION_HPP
