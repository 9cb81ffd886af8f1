// Suspending, stopping and removing attempts.
#include "state/attempt_control.hpp"

namespace aniseline {

namespace {

// docs/design.md 5.3: turns all unapplied orders about an attempt into stops. An order that may not
// have reached the worker must not start the attempt when it is resent.
void convertToStops(std::deque<Order>& orders, AttemptNumber attempt) {
  for (auto& order : orders) {
    if (order.attempt == attempt)
      order.kind = OrderKind::stop;
  }
}

}  // namespace

Order& AttemptControl::issueOrder(OrderKind kind, const Attempt& attempt) {
  tables.updatedWorkers.insert(attempt.worker);
  return tables.workers[attempt.worker].issueOrder(kind, attempt);
}

void AttemptControl::remove(AttemptNumber number) {
  auto found = tables.attempts.find(number);
  if (found == tables.attempts.end())
    return;
  const bool wasTrial = found->second.isTrial();
  if (auto worker = tables.workers.find(found->second.worker); worker != tables.workers.end())
    convertToStops(worker->second.unappliedOrders, number);
  tables.eraseAttempt(number);
  if (wasTrial)
    resumeSuspendedFor(number);
}

void AttemptControl::suspend(Attempt& attempt, AttemptNumber trial) {
  attempt.accumulatedRuntime = attempt.runtimeAt(tables.now);
  attempt.state = AttemptState::suspended;
  attempt.suspendedForTrial = trial;
  tables.attemptIndex.markSuspended(attempt.number);
  issueOrder(OrderKind::suspend, attempt);
  ++tables.counters.suspends;
}

void AttemptControl::resumeSuspendedFor(AttemptNumber trial) {
  for (auto number : tables.attemptIndex.everSuspended()) {
    Attempt& attempt = tables.attempts.at(number);
    if (attempt.suspendedForTrial != trial || attempt.state != AttemptState::suspended)
      continue;
    attempt.state = AttemptState::running;
    attempt.runningSince = tables.now;
    attempt.suspendedForTrial = AttemptNumber{};
    issueOrder(OrderKind::resume, attempt);
  }
}

void AttemptControl::forceStop(Attempt& attempt, RetryAccounting accounting) {
  if (attempt.state == AttemptState::stopping)
    return;
  attempt.accumulatedRuntime = attempt.runtimeAt(tables.now);
  attempt.state = AttemptState::stopping;
  attempt.suspendedForTrial = AttemptNumber{};
  attempt.exemptFromRetryLimit = accounting == RetryAccounting::exempt;
  convertToStops(tables.workers[attempt.worker].unappliedOrders, attempt.number);
  issueOrder(OrderKind::stop, attempt);
}

void AttemptControl::stopOtherCopies(const Task& task, AttemptNumber except) {
  for (auto number : {task.currentAttempt, task.redundantAttempt}) {
    auto found = tables.attempts.find(number);
    if (number != except && found != tables.attempts.end())
      forceStop(found->second, RetryAccounting::exempt);
  }
}

void AttemptControl::abortGang(const JobId& job, std::uint32_t stepIndex, AttemptNumber except) {
  for (auto number : tables.attemptIndex.ofJob(job)) {
    Attempt& attempt = tables.attempts.at(number);
    if (attempt.stepIndex == stepIndex && number != except && !attempt.abandoned)
      forceStop(attempt, RetryAccounting::counted);
  }
}

}  // namespace aniseline
