// Time limits and thresholds of the planner, each with its reason. Limits that operators can set
// are in PlannerOptions and QueueOptions instead.
#ifndef ANISELINE_SCHEDULING_SCHEDULING_LIMITS_HPP
#define ANISELINE_SCHEDULING_SCHEDULING_LIMITS_HPP
#include "base/types.hpp"

namespace aniseline::scheduling {

/// A worker that the leader has not heard from for this long gets no new work. docs/design.md 5.6.
inline constexpr Duration maxContactAge{2000};
/// A worker that has not applied an order for longer than this gets no new work either.
inline constexpr Duration orderApplyTimeout{1500};

/// A gang that takes longer to stage is stopped; none of its parts has run yet. docs/design.md 7.3.
inline constexpr Duration stagingTimeout{5000};
/// A gang is launched only if the leader heard from all its workers within this time.
inline constexpr Duration gangLaunchContactAge{1500};
/// A launched part that is not reported as running after this time may be missing, which would
/// leave the others running alone, so the gang is stopped. docs/design.md 7.3.
inline constexpr Duration startConfirmationTimeout{2500};

/// A worker ends a trial after its quantum; the planner orders a stop if the trial runs this much
/// longer. docs/design.md 7.5.
inline constexpr Duration trialStopGrace{2000};
/// Minimum expected remaining runtime of a trial past its quantum and of an overrunning task.
inline constexpr Duration minimumRemainingRuntime{1000};
/// Expected duration of an ordered stop.
inline constexpr Duration expectedStopTime{500};

/// A reserved start that moves by less counts as unchanged; the plan is not logged for it.
inline constexpr Duration reservationTolerance{1000};

/// A worker with at least this failure score gets one task at a time. docs/design.md 5.6.
inline constexpr std::int64_t failureScoreLimit = 500;
/// Penalties that rank a worker behind others: a high failure score weighs more than slowness.
inline constexpr int slowWorkerPenalty = 1;
inline constexpr int failingWorkerPenalty = 2;

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_SCHEDULING_LIMITS_HPP
