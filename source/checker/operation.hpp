// Defines one call of a client as the linearizability checker sees it: the times of invocation and
// return, the input and the output. A plain data type without behaviour. docs/design.md 11.
#ifndef ANISELINE_CHECKER_OPERATION_HPP
#define ANISELINE_CHECKER_OPERATION_HPP
#include "base/types.hpp"

namespace aniseline {

// Whether the client knows the result of its operation.
enum class OperationOutcome : std::uint8_t {
  // The operation was answered, so it took effect between its invocation and its return.
  ok,
  // The answer was lost. The operation may take effect at any time after its invocation, or never.
  unknown
};

// One call of a client on one key. The times of all clients are read from one clock, in
// milliseconds. Two operations count as concurrent if one is invoked at the very time at which the
// other returns.
template <class InputType, class OutputType>
struct Operation {
  using Input = InputType;
  using Output = OutputType;

  std::string key;
  std::string client;
  std::int64_t invokedAt = 0;
  std::optional<std::int64_t> returnedAt;  // required if the outcome is known
  Input input;
  Output output;
  OperationOutcome outcome = OperationOutcome::ok;
};

}  // namespace aniseline

#endif  // ANISELINE_CHECKER_OPERATION_HPP
