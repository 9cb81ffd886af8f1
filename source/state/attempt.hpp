// One start of one task on one worker. docs/design.md 5.
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
  std::uint32_t runNumber = 0;  // of its task, from 1 on
  Duration runtime;             // as requested
  Duration quantum;             // not 0: a trial, stopped after this much run time
  bool gang = false;
  bool selfAssembling = false;  // of a gang: started at once, not staged
  // The task no longer relies on it and may have been placed anew.
  // docs/design.md 5.5.
  bool abandoned = false;
  bool countsAsStart = true;  // its start counts against the task's retry limit
  // Stopped by the scheduler in a way that uses up nothing of the retry limit.
  bool exemptFromRetryLimit = false;
  AttemptState state = AttemptState::ordered;
  OrderNumber orderNumber;  // of the order that started or launched it last
  ClusterTime orderedAt;
  ClusterTime runningSince;     // start of the present uninterrupted run
  Duration accumulatedRuntime;  // run time before the present uninterrupted run
  AttemptNumber suspendedForTrial;
  bool isTrial() const { return quantum.milliseconds > 0; }
  bool usesCores() const { return state != AttemptState::suspended; }
  /// Run time up to `now`, without the time in which it was suspended.
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
