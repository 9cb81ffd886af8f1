// Attempts as the plan expects them to go on: what each takes on its worker and until when, which
// of them run late, and which later policies have to look at. docs/design.md 5.6, 7.6.
#ifndef ANISELINE_SCHEDULING_ATTEMPT_PROJECTION_HPP
#define ANISELINE_SCHEDULING_ATTEMPT_PROJECTION_HPP
#include "scheduling/scheduling_context.hpp"
#include "scheduling/time_limits.hpp"

namespace aniseline::scheduling {

struct StepAttempt {
  StepView* step = nullptr;
  const Attempt* attempt = nullptr;
};

/// What one walk over the attempts finds for later policies, in the order of attempt numbers.
/// Abandoned attempts are left out.
struct AttemptSurvey {
  std::vector<StepAttempt> gangParts;
  std::vector<StepAttempt> redundant;  // single ones of redundant steps, not being stopped
  // Single ones of steps that keep checkpoints, on workers that can't suspend, those that are being
  // stopped included.
  std::vector<StepAttempt> checkpointed;
  std::vector<OverTimeLimit> overTimeLimit;
};

/// Allocates all attempts on the workers of the context, and excludes or penalises workers whose
/// attempts show that they are slow to apply orders or fail work. Also counts tasks per worker,
/// chosen racks and the cores that urgent work uses.
AttemptSurvey projectAttempts(SchedulingContext& context);

/// How long it is expected to run on. An overrunning task is expected to need half as long again as
/// it has run. docs/design.md 7.6.
Duration remainingRuntime(const Attempt& attempt, ClusterTime now);

/// Has it taken far longer than requested, allowing for remote data and a common overrun? It may
/// stand still, or its worker may be slow. `requirements` are null if its step is not known.
bool isOverdue(const Attempt& attempt, const StepRequirements* requirements,
               const SchedulingContext& context);

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_ATTEMPT_PROJECTION_HPP
