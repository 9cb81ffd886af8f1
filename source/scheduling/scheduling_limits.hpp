// The planner's time limits and thresholds, each with its reason. What operators may set stands in
// PlannerOptions and QueueOptions instead.
#ifndef ANISELINE_SCHEDULING_SCHEDULING_LIMITS_HPP
#define ANISELINE_SCHEDULING_SCHEDULING_LIMITS_HPP
#include "base/types.hpp"

namespace aniseline::scheduling {

/// A worker that the leader has not heard from for this long gets no new work. docs/design.md 5.6.
inline constexpr Duration maxContactAge{2000};
/// Neither does a worker that has not applied an order for longer than this.
inline constexpr Duration orderApplyTimeout{1500};

/// A gang whose staging takes longer is taken back; nothing has run yet. docs/design.md 7.3.
inline constexpr Duration stagingTimeout{5000};
/// A gang is launched only if all its workers were heard from within this time.
inline constexpr Duration gangLaunchContactAge{1500};
/// A part that was launched and is not reported as running after this time may be missing, so that
/// the others run alone: the gang is stopped. docs/design.md 7.3.
inline constexpr Duration startConfirmationTimeout{2500};

/// The worker itself ends a trial after its quantum; the planner stops it by order when it runs
/// this much longer. docs/design.md 7.5.
inline constexpr Duration trialStopGrace{2000};
/// What a trial past its quantum, or an overrunning task, is expected to need at the least.
inline constexpr Duration minimumRemainingRuntime{1000};
/// What an ordered stop is expected to take.
inline constexpr Duration expectedStopTime{500};

/// A reserved start that moves by less is taken as unchanged: the plan is not logged for it.
inline constexpr Duration reservationTolerance{1000};

/// From this failure score on a worker gets one task at a time. docs/design.md 5.6.
inline constexpr std::int64_t failureScoreLimit = 500;
/// What a worker is ranked behind others by: the failure score weighs more than a slow pace.
inline constexpr int slowWorkerPenalty = 1;
inline constexpr int failingWorkerPenalty = 2;

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_SCHEDULING_LIMITS_HPP
