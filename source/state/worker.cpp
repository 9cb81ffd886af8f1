#include "state/worker.hpp"

namespace aniseline {

namespace {
template <class Kind, std::size_t Count>
std::optional<Kind> fromName(const char* const (&names)[Count], const std::string& text) {
  for (std::size_t place = 0; place < Count; ++place)
    if (text == names[place])
      return Kind(place);
  return std::nullopt;
}
constexpr const char* orderNames[] = {"start", "stage", "go", "hold", "resume", "stop"};
constexpr const char* endingNames[] = {"finished", "failed",    "stopped",
                                       "ran_out",  "unstarted", "refused"};
constexpr const char* attemptNames[] = {"ordered", "staged", "going",
                                        "running", "held",   "stopping"};
constexpr const char* workerNames[] = {"present", "leaving", "drained", "silent", "gone"};
}  // namespace

const char* name(OrderKind kind) {
  return orderNames[std::size_t(kind)];
}
const char* name(AttemptOutcome kind) {
  return endingNames[std::size_t(kind)];
}
const char* name(AttemptState state) {
  return attemptNames[std::size_t(state)];
}
const char* name(WorkerState state) {
  return workerNames[std::size_t(state)];
}
std::optional<OrderKind> parseOrderKind(const std::string& text) {
  return fromName<OrderKind>(orderNames, text);
}
std::optional<AttemptOutcome> parseAttemptOutcome(const std::string& text) {
  return fromName<AttemptOutcome>(endingNames, text);
}

Order& Worker::issueOrder(OrderKind kind, const Attempt& attempt) {
  lastIssuedOrder = lastIssuedOrder.next();
  Order order;
  order.number = lastIssuedOrder;
  order.kind = kind;
  order.attempt = attempt.number;
  order.job = attempt.job;
  order.stepIndex = attempt.stepIndex;
  order.indexInStep = attempt.indexInStep;
  order.runNumber = attempt.runNumber;
  if (kind == OrderKind::start || kind == OrderKind::stage) {
    order.taskIndex = attempt.taskIndex;
    order.cores = attempt.cores;
    order.memory = attempt.memory;
    order.runtime = attempt.runtime;
    order.quantum = attempt.quantum;
  }
  unappliedOrders.push_back(std::move(order));
  return unappliedOrders.back();
}

}  // namespace aniseline
