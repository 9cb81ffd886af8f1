// Attempts that exceed their time limit: trials that the worker has not ended itself, and tasks
// past the hard limit of their queue. docs/design.md 7.5, 7.6.
#ifndef ANISELINE_SCHEDULING_TIME_LIMITS_HPP
#define ANISELINE_SCHEDULING_TIME_LIMITS_HPP
#include "scheduling/plan_draft.hpp"
#include "scheduling/scheduling_limits.hpp"

namespace aniseline::scheduling {

struct OverTimeLimit {
  const Attempt* attempt = nullptr;
  const char* reason = nullptr;  // the text that is logged
};

/// Returns the reason why a running attempt must be stopped now, or null.
inline const char* exceededTimeLimit(const Attempt& attempt, const QueueOptions& queue,
                                     ClusterTime now) {
  if (attempt.state != AttemptState::running)
    return nullptr;
  if (attempt.isTrial())
    return attempt.runtimeAt(now) > attempt.quantum + trialStopGrace ? "trial" : nullptr;
  const Duration limit = queue.hardRuntimeLimit;
  return limit.milliseconds > 0 && attempt.runtimeAt(now) > limit ? "hard limit" : nullptr;
}

/// Adds a stop for each of the attempts to the plan.
inline void stopOverTimeLimit(const std::vector<OverTimeLimit>& attempts, PlanDraft& draft) {
  for (const auto& [attempt, reason] : attempts)
    draft.addStop(*attempt, reason);
}

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_TIME_LIMITS_HPP
