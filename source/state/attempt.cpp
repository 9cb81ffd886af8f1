// Names of attempt states and outcomes on the wire.
#include "state/attempt.hpp"
#include "base/enum_names.hpp"

namespace aniseline {

namespace {
constexpr const char* attemptOutcomeNames[] = {"finished", "failed",    "stopped",
                                               "ran_out",  "unstarted", "refused"};
constexpr const char* attemptStateNames[] = {"ordered", "staged", "going",
                                             "running", "held",   "stopping"};
}  // namespace

const char* name(AttemptOutcome outcome) {
  return attemptOutcomeNames[std::size_t(outcome)];
}

const char* name(AttemptState state) {
  return attemptStateNames[std::size_t(state)];
}

std::optional<AttemptOutcome> parseAttemptOutcome(const std::string& text) {
  return enumFromName<AttemptOutcome>(attemptOutcomeNames, text);
}

}  // namespace aniseline
