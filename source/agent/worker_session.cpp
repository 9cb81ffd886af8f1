// Applies orders in sequence and tracks which tasks run, are suspended, or have unconfirmed
// results.
#include "agent/worker_session.hpp"

namespace aniseline {

SyncReport WorkerSession::makeSyncReport(MonotonicTime now) {
  tick(now);
  SyncReport report;
  report.id = options.id;
  report.incarnation = incarnation;
  report.capacity = options.capacity;
  report.lastAppliedOrder = lastAppliedOrder;
  for (const auto& [attempt, result] : unconfirmedResults)
    report.results.push_back({attempt, result.outcome});
  report.draining = draining;
  report.drainTimeout = drainTimeout;
  // Applied orders are reported immediately, but a sync that reports nothing else may wait for new
  // orders.
  report.longPollTimeout = resultsOrDrainUnreported() ? Duration{0} : options.longPollTimeout;
  reportedAppliedOrder = lastAppliedOrder;
  reportedDraining = draining;
  return report;
}

bool WorkerSession::onSyncResponse(Incarnation reportingIncarnation, const SyncResponse& response,
                                   MonotonicTime sentAt, MonotonicTime now) {
  tick(now);
  // Orders are numbered separately for each incarnation, so those of another incarnation would be
  // mistaken for orders to this one.
  if (reportingIncarnation != incarnation)
    return false;
  // An order from a superseded leader or under an expired lease is not followed. docs/design.md
  // 5.3.
  if (response.term < highestTerm || now >= sentAt + response.lease)
    return false;
  highestTerm = response.term;
  for (const auto attempt : response.confirmedAttempts)
    confirmResult(attempt);
  if (!response.gateways.empty())
    knownGateways = response.gateways;
  leaseUntil = std::max(leaseUntil, sentAt + response.lease);
  const bool wasWithoutLease = std::exchange(withoutLease, false);
  for (const auto& order : response.orders) {
    if (order.number != lastAppliedOrder.next())
      continue;
    lastAppliedOrder = order.number;
    applyOrder(order, now);
  }
  if (wasWithoutLease)
    setAllSuspendedByLease(false, now);
  return true;
}

void WorkerSession::confirmResult(AttemptNumber attempt) {
  auto found = unconfirmedResults.find(attempt);
  if (found == unconfirmedResults.end())
    return;
  // A result without an order belongs to a task that never started here.
  if (found->second.order.attempt.value)
    confirmedResults.push_back({found->second.order, found->second.outcome});
  unconfirmedResults.erase(found);
}

void WorkerSession::onReplaced(Incarnation next) {
  for (const auto& [attempt, task] : tasks) {
    if (task.started)
      addCommand(TaskCommand::Kind::stop, attempt);
  }
  tasks.clear();
  unconfirmedResults.clear();
  incarnation = next;
  lastAppliedOrder = reportedAppliedOrder = OrderNumber{};
  withoutLease = true;
}

void WorkerSession::setSuspended(RunningTask& task, bool RunningTask::*reason, bool suspended,
                                 MonotonicTime now) {
  const bool wasActive = task.isActive();
  task.*reason = suspended;
  if (task.isActive() == wasActive)
    return;
  if (wasActive) {
    task.timeUsed = task.timeUsed + (now - task.activeSince);
    addCommand(TaskCommand::Kind::suspend, task.order.attempt);
  } else {
    task.activeSince = now;
    addCommand(TaskCommand::Kind::resume, task.order.attempt);
  }
}

void WorkerSession::setAllSuspendedByLease(bool suspended, MonotonicTime now) {
  for (auto& [attempt, task] : tasks)
    setSuspended(task, &RunningTask::suspendedByLease, suspended, now);
}

void WorkerSession::tick(MonotonicTime now) {
  if (!withoutLease && now >= leaseUntil && options.capacity.honoursLeases) {
    withoutLease = true;
    setAllSuspendedByLease(true, now);
  }
  std::vector<AttemptNumber> overdue;
  for (const auto& [attempt, task] : tasks) {
    if (task.isTrial() && task.isActive() &&
        task.timeUsed + (now - task.activeSince) >= task.order.quantum)
      overdue.push_back(attempt);
  }
  for (const auto attempt : overdue) {
    addCommand(TaskCommand::Kind::stop, attempt);
    finishTask(attempt, AttemptOutcome::quantumExpired);
  }
}

MonotonicTime WorkerSession::nextWakeUp() const {
  MonotonicTime earliest{std::numeric_limits<std::int64_t>::max()};
  if (!withoutLease && options.capacity.honoursLeases)
    earliest = leaseUntil;
  for (const auto& [attempt, task] : tasks) {
    if (task.isTrial() && task.isActive())
      earliest = std::min(earliest, task.activeSince + (task.order.quantum - task.timeUsed));
  }
  return earliest;
}

void WorkerSession::finishTask(AttemptNumber attempt, AttemptOutcome outcome) {
  unconfirmedResults[attempt] = TaskResult{tasks[attempt].order, outcome};
  tasks.erase(attempt);
}

void WorkerSession::reportNeverStarted(AttemptNumber attempt) {
  unconfirmedResults[attempt] = TaskResult{{}, AttemptOutcome::neverStarted};
}

void WorkerSession::onTaskEnded(AttemptNumber attempt, bool succeeded, MonotonicTime) {
  if (tasks.count(attempt))
    finishTask(attempt, succeeded ? AttemptOutcome::succeeded : AttemptOutcome::failed);
}

void WorkerSession::startDraining(Duration timeout) {
  draining = true;
  drainTimeout = timeout;
}

void WorkerSession::applyOrder(const Order& order, MonotonicTime now) {
  switch (order.kind) {
    case OrderKind::start:
    case OrderKind::stage:
      return startOrStage(order, now);
    case OrderKind::launch:
      return launch(order.attempt, now);
    case OrderKind::suspend:
    case OrderKind::resume:
      if (auto found = tasks.find(order.attempt); found != tasks.end())
        setSuspended(found->second, &RunningTask::suspendedByOrder,
                     order.kind == OrderKind::suspend, now);
      return;
    case OrderKind::stop:
      return stop(order.attempt);
  }
}

void WorkerSession::startOrStage(const Order& order, MonotonicTime now) {
  if (tasks.count(order.attempt) || unconfirmedResults.count(order.attempt))
    return;
  // No task starts once the worker drains. docs/design.md 5.7.
  if (draining)
    return reportNeverStarted(order.attempt);
  RunningTask task;
  task.order = order;
  task.staged = order.kind == OrderKind::stage;
  task.activeSince = now;
  task.started = !task.staged;
  if (task.started)
    commands.push_back({TaskCommand::Kind::start, order.attempt, order});
  tasks[order.attempt] = std::move(task);
}

void WorkerSession::launch(AttemptNumber attempt, MonotonicTime now) {
  auto found = tasks.find(attempt);
  if (found == tasks.end() || !found->second.staged)
    return;
  if (draining)
    return finishTask(attempt, AttemptOutcome::neverStarted);
  RunningTask& task = found->second;
  task.staged = false;
  task.started = true;
  task.suspendedByLease = false;
  task.activeSince = now;
  commands.push_back({TaskCommand::Kind::start, attempt, task.order});
}

void WorkerSession::stop(AttemptNumber attempt) {
  auto found = tasks.find(attempt);
  if (found == tasks.end()) {
    if (!unconfirmedResults.count(attempt))
      reportNeverStarted(attempt);
    return;
  }
  const bool started = found->second.started;
  if (started)
    addCommand(TaskCommand::Kind::stop, attempt);
  finishTask(attempt, started ? AttemptOutcome::stopped : AttemptOutcome::neverStarted);
}

}  // namespace aniseline
