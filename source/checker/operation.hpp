// One call of a client, as the linearizability checker sees it: when it was invoked, when it
// returned, and what was asked and answered. A plain message type with no behaviour.
// docs/design.md 11.
#ifndef ANISELINE_CHECKER_OPERATION_HPP
#define ANISELINE_CHECKER_OPERATION_HPP
#include "base/types.hpp"

namespace aniseline {

// Whether the client knows what became of its operation.
enum class OperationOutcome : std::uint8_t {
  // It was answered: it took effect between its invocation and its return.
  ok,
  // The answer was lost: it took effect at any time after its invocation, or never will.
  unknown
};

// One call of a client upon one key. The times of all clients are read from one clock, in
// milliseconds. Operations whose times touch count as concurrent.
template <class InputType, class OutputType>
struct Operation {
  using Input = InputType;
  using Output = OutputType;

  std::string key;
  std::string client;
  std::int64_t invokedAt = 0;
  std::optional<std::int64_t> returnedAt;  // required where the outcome is known
  Input input;
  Output output;
  OperationOutcome outcome = OperationOutcome::ok;
};

}  // namespace aniseline

#endif  // ANISELINE_CHECKER_OPERATION_HPP
