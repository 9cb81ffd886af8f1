#include "agent/worker_session.hpp"

namespace aniseline {

SyncReport WorkerSession::makeSyncReport(MonotonicTime now) {
  tick(now);
  SyncReport report;
  report.id = options.id;
  report.incarnation = incarnation;
  report.capacity = options.capacity;
  report.lastAppliedOrder = lastAppliedOrder;
  for (const auto& [attempt, ended] : unconfirmedResults)
    report.results.push_back({attempt, ended.outcome});
  report.draining = draining;
  report.drainTimeout = drainTimeout;
  report.longPollTimeout = hasUrgentReport() ? Duration{0} : options.longPollTimeout;
  // Applied orders are told at once, but such a sync may then wait for new ones.
  if (unconfirmedResults.empty() && draining == reportedDraining)
    report.longPollTimeout = options.longPollTimeout;
  reportedAppliedOrder = lastAppliedOrder;
  reportedDraining = draining;
  return report;
}

bool WorkerSession::onSyncResponse(Incarnation asked, const SyncResponse& answer,
                                   MonotonicTime sentAt, MonotonicTime now) {
  tick(now);
  // Orders are counted anew for each incarnation: another's would be taken for this one's.
  if (asked != incarnation)
    return false;
  // docs/design.md 5.3: an order from a superseded leader, or under a lease that is over, is not
  // followed.
  if (answer.term < highestTerm || now >= sentAt + answer.lease)
    return false;
  highestTerm = answer.term;
  for (const auto& attempt : answer.confirmedAttempts)
    if (auto found = unconfirmedResults.find(attempt); found != unconfirmedResults.end()) {
      if (found->second.order.attempt.value)
        confirmedResults.emplace_back(found->second.order, found->second.outcome);
      unconfirmedResults.erase(found);
    }
  if (!answer.gateways.empty())
    knownGateways = answer.gateways;
  leaseUntil = std::max(leaseUntil, sentAt + answer.lease);
  const bool wasHolding = std::exchange(withoutLease, false);
  for (const auto& order : answer.orders)
    if (order.number == lastAppliedOrder.next()) {
      lastAppliedOrder = order.number;
      applyOrder(order, now);
    }
  if (wasHolding)
    for (auto& [number, task] : tasks)
      setSuspendedByLease(task, false, now);
  return true;
}

void WorkerSession::onReplaced(Incarnation next) {
  for (auto& [attempt, task] : tasks)
    if (task.started)
      commands.push_back({TaskCommand::Kind::stop, attempt, {}});
  tasks.clear();
  unconfirmedResults.clear();
  incarnation = next;
  lastAppliedOrder = reportedAppliedOrder = OrderNumber{};
  withoutLease = true;
}

void WorkerSession::setSuspendedByLease(RunningTask& task, bool pause, MonotonicTime now) {
  if (task.suspendedByLease == pause)
    return;
  const bool before = isActive(task);
  task.suspendedByLease = pause;
  const bool after = isActive(task);
  if (before && !after) {
    task.timeUsed = task.timeUsed + (now - task.activeSince);
    commands.push_back({TaskCommand::Kind::suspend, task.order.attempt, {}});
  } else if (!before && after) {
    task.activeSince = now;
    commands.push_back({TaskCommand::Kind::resume, task.order.attempt, {}});
  }
}

void WorkerSession::tick(MonotonicTime now) {
  if (!withoutLease && now >= leaseUntil && options.capacity.honoursLeases) {
    withoutLease = true;
    for (auto& [attempt, task] : tasks)
      setSuspendedByLease(task, true, now);
  }
  std::vector<AttemptNumber> spent;
  for (const auto& [attempt, task] : tasks)
    if (task.order.quantum.milliseconds > 0 && isActive(task) &&
        task.timeUsed + (now - task.activeSince) >= task.order.quantum)
      spent.push_back(attempt);
  for (auto attempt : spent) {
    commands.push_back({TaskCommand::Kind::stop, attempt, {}});
    finishTask(attempt, AttemptOutcome::quantumExpired);
  }
}

MonotonicTime WorkerSession::nextWakeUp() const {
  MonotonicTime due{std::numeric_limits<std::int64_t>::max()};
  if (!withoutLease && options.capacity.honoursLeases)
    due = leaseUntil;
  for (const auto& [attempt, task] : tasks)
    if (task.order.quantum.milliseconds > 0 && isActive(task))
      due = std::min(due, task.activeSince + (task.order.quantum - task.timeUsed));
  return due;
}

void WorkerSession::finishTask(AttemptNumber attempt, AttemptOutcome kind) {
  unconfirmedResults[attempt] = TaskResult{tasks[attempt].order, kind};
  tasks.erase(attempt);
}

void WorkerSession::onTaskEnded(AttemptNumber attempt, bool well, MonotonicTime) {
  if (tasks.count(attempt))
    finishTask(attempt, well ? AttemptOutcome::succeeded : AttemptOutcome::failed);
}

void WorkerSession::startDraining(Duration within) {
  draining = true;
  drainTimeout = within;
}

void WorkerSession::applyOrder(const Order& order, MonotonicTime now) {
  auto found = tasks.find(order.attempt);
  switch (order.kind) {
    case OrderKind::start:
    case OrderKind::stage: {
      if (found != tasks.end() || unconfirmedResults.count(order.attempt))
        return;
      if (draining) {  // docs/design.md 5.7: nothing starts once the word is given
        unconfirmedResults[order.attempt] = TaskResult{{}, AttemptOutcome::neverStarted};
        return;
      }
      RunningTask task;
      task.order = order;
      task.staged = order.kind == OrderKind::stage;
      task.activeSince = now;
      task.started = !task.staged;
      if (task.started)
        commands.push_back({TaskCommand::Kind::start, order.attempt, order});
      tasks[order.attempt] = std::move(task);
      return;
    }
    case OrderKind::launch:
      if (found == tasks.end() || !found->second.staged)
        return;
      if (draining)
        return finishTask(order.attempt, AttemptOutcome::neverStarted);
      found->second.staged = false;
      found->second.started = true;
      found->second.suspendedByLease = false;
      found->second.activeSince = now;
      commands.push_back({TaskCommand::Kind::start, order.attempt, found->second.order});
      return;
    case OrderKind::suspend:
    case OrderKind::resume: {
      if (found == tasks.end())
        return;
      RunningTask& task = found->second;
      const bool before = isActive(task);
      task.suspendedByOrder = order.kind == OrderKind::suspend;
      const bool after = isActive(task);
      if (before && !after) {
        task.timeUsed = task.timeUsed + (now - task.activeSince);
        commands.push_back({TaskCommand::Kind::suspend, order.attempt, {}});
      } else if (!before && after) {
        task.activeSince = now;
        commands.push_back({TaskCommand::Kind::resume, order.attempt, {}});
      }
      return;
    }
    case OrderKind::stop:
      if (found == tasks.end()) {
        if (!unconfirmedResults.count(order.attempt))
          unconfirmedResults[order.attempt] = TaskResult{{}, AttemptOutcome::neverStarted};
        return;
      }
      const bool started = found->second.started;
      if (started)
        commands.push_back({TaskCommand::Kind::stop, order.attempt, {}});
      finishTask(order.attempt, started ? AttemptOutcome::stopped : AttemptOutcome::neverStarted);
      return;
  }
}

}  // namespace aniseline
