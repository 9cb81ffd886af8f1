// The reasons for which a plan stops an attempt, as recorded in the event log. Stops for some of
// these reasons do not count against a task's retry limit. docs/design.md 4.4.
#ifndef ANISELINE_STATE_STOP_REASONS_HPP
#define ANISELINE_STATE_STOP_REASONS_HPP

namespace aniseline::stop_reasons {

inline constexpr const char* stagingTimedOut = "staging";  // the gang could not be launched in time
// The other members of the gang may not be running.
inline constexpr const char* startUnconfirmed = "alone";
inline constexpr const char* preempted =
    "preempted";  // its progress is saved and its resources are needed by other tasks

}  // namespace aniseline::stop_reasons

#endif  // ANISELINE_STATE_STOP_REASONS_HPP
