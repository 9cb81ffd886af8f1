// An attempt: one start of one task on one worker. docs/design.md 5.
#ifndef ANISELINE_STATE_ATTEMPT_HPP
#define ANISELINE_STATE_ATTEMPT_HPP
#include "state/attempt_result.hpp"

namespace aniseline {

enum class AttemptState : std::uint8_t { ordered, staged, launching, running, suspended, stopping };
const char* name(AttemptState state);

/// An attempt occupies its worker's resources until its result is known.
struct Attempt {
  AttemptNumber number;
  JobId job;
  std::uint32_t taskIndex = 0;  // in Job::tasks
  std::uint32_t stepIndex = 0;
  std::uint32_t indexInStep = 0;
  WorkerId worker;
  std::uint32_t cores = 0;   // thousandths of a core
  std::uint64_t memory = 0;  // MB
  std::uint32_t accelerators = 0;
  std::uint32_t runNumber = 0;  // counts the starts of its task, from 1
  Duration runtime;             // as requested
  Duration quantum;             // not 0: a trial, which is stopped after this much run time
  bool gang = false;
  bool selfAssembling = false;  // a gang member that is started at once, without staging
  // The task no longer depends on this attempt and may have been placed again. docs/design.md 5.5.
  bool abandoned = false;
  bool countsAsStart = true;  // its start counts against the task's retry limit
  // Stopped by the scheduler for a reason that does not count against the retry limit.
  bool exemptFromRetryLimit = false;
  AttemptState state = AttemptState::ordered;
  OrderNumber orderNumber;  // number of the latest start or launch order
  ClusterTime orderedAt;
  ClusterTime runningSince;     // start of the current uninterrupted run
  Duration accumulatedRuntime;  // run time before the current uninterrupted run
  AttemptNumber suspendedForTrial;
  bool isTrial() const { return quantum.milliseconds > 0; }
  bool usesCores() const { return state != AttemptState::suspended; }
  /// Returns the run time until `now`, excluding time in which the attempt was suspended.
  Duration runtimeAt(ClusterTime now) const {
    const bool runs = state == AttemptState::running || state == AttemptState::launching;
    return runs && now > runningSince ? accumulatedRuntime + (now - runningSince)
                                      : accumulatedRuntime;
  }
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& number& job& taskIndex& stepIndex& indexInStep& worker& cores& memory& accelerators&
        runNumber& runtime& quantum& gang& selfAssembling& abandoned& countsAsStart&
            exemptFromRetryLimit& state& orderNumber& orderedAt& runningSince& accumulatedRuntime&
                suspendedForTrial;
  }
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_ATTEMPT_HPP
