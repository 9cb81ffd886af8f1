// Orders that the leader issues to a worker. They are numbered within the worker's incarnation and
// resent until the worker reports them as applied. docs/design.md 5.
#ifndef ANISELINE_STATE_ORDER_HPP
#define ANISELINE_STATE_ORDER_HPP
#include "base/types.hpp"

namespace aniseline {

/// `stage` and `launch` start a gang in two phases; `start` starts a task in one step.
enum class OrderKind : std::uint8_t { start, stage, launch, suspend, resume, stop };
const char* name(OrderKind kind);
/// Returns the kind with this name on the wire, or nothing if there is none.
std::optional<OrderKind> parseOrderKind(const std::string& text);

/// An order about one attempt. The fields from `taskIndex` to `quantum` are set only for `start`
/// and `stage`.
struct Order {
  OrderNumber number;
  OrderKind kind = OrderKind::start;
  AttemptNumber attempt;
  JobId job;
  std::uint32_t taskIndex = 0;  // in Job::tasks
  std::uint32_t cores = 0;      // thousandths of a core
  std::uint64_t memory = 0;     // MB
  Duration runtime;             // as requested
  Duration quantum;  // not 0: a trial, which the worker itself stops after this much run time
  std::string payload;
  // With the job, these fields identify the run to the worker. docs/design.md 4.7.
  std::uint32_t stepIndex = 0;
  std::uint32_t indexInStep = 0;
  std::uint32_t runNumber = 0;
  std::string checkpoint;  // the checkpoint to resume from
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& number& kind& attempt& job& taskIndex& cores& memory& runtime& quantum& payload&
        stepIndex& indexInStep& runNumber& checkpoint;
  }
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_ORDER_HPP
