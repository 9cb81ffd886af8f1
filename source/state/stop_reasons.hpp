// Why a plan stops an attempt, as the log of events names it. Stops for some of these reasons use
// up nothing of a task's retry limit. docs/design.md 4.4.
#ifndef ANISELINE_STATE_STOP_REASONS_HPP
#define ANISELINE_STATE_STOP_REASONS_HPP

namespace aniseline::stop_reasons {

inline constexpr const char* stagingTimedOut = "staging";  // a gang could not be launched in time
inline constexpr const char* startUnconfirmed = "alone";   // the other parts of a gang may not run
inline constexpr const char* preempted =
    "preempted";  // its progress is saved; others need its room

}  // namespace aniseline::stop_reasons

#endif  // ANISELINE_STATE_STOP_REASONS_HPP
