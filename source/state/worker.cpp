// Names of worker states and the creation of orders.
#include "state/worker.hpp"

namespace aniseline {

const char* name(WorkerState state) {
  static constexpr const char* names[] = {"present", "leaving", "drained", "silent", "gone"};
  return names[std::size_t(state)];
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
