// Applies the events about workers. docs/design.md 5.
#include "state/attempt_results.hpp"
#include "state/event_appliers.hpp"

namespace aniseline {

namespace {

// The number of earlier incarnations that are remembered, so that a late sync of one is recognised.
constexpr std::size_t maxRetiredIncarnations = 16;

void closeAllAttempts(ClusterTables& tables, const WorkerId& worker) {
  const auto numbers = tables.attemptIndex.onWorker(worker);
  AttemptResults results(tables);
  AttemptControl attempts(tables);
  for (auto number : numbers) {
    results.abandon(number);
    attempts.remove(number);
  }
}

// docs/design.md 5.8: a host runs one worker at a time, so a new worker on a host replaces any
// other one there.
void removeOthersOnHost(ClusterTables& tables, const WorkerRegistered& event) {
  if (event.capacity.host.empty())
    return;
  for (auto& [id, other] : tables.workers) {
    if (id != event.worker && other.capacity.host == event.capacity.host &&
        other.state != WorkerState::removed)
      applyEvent(tables, WorkerRemoved{id, "another stands on its host"});
  }
}

/// Reports whether every task that fits the second worker also fits the first one.
bool offersAtLeast(const Capacity& known, const Capacity& capacity) {
  return known.cores >= capacity.cores && known.memory >= capacity.memory &&
         known.accelerators >= capacity.accelerators && known.pool == capacity.pool &&
         std::all_of(capacity.labels.begin(), capacity.labels.end(),
                     [&](const std::string& label) { return known.hasLabel(label); });
}

void beginIncarnation(ClusterTables& tables, Worker& worker, Incarnation incarnation) {
  closeAllAttempts(tables, worker.id);
  if (worker.incarnation.value)
    worker.retiredIncarnations.push_back(worker.incarnation);
  if (worker.retiredIncarnations.size() > maxRetiredIncarnations)
    worker.retiredIncarnations.erase(worker.retiredIncarnations.begin());
  worker.incarnation = incarnation;
  // Orders are numbered within an incarnation.
  worker.unappliedOrders.clear();
  worker.lastIssuedOrder = OrderNumber{};
  worker.lastAppliedOrder = OrderNumber{};
  if (worker.state != WorkerState::drained)
    worker.state = WorkerState::available;
  worker.drainDeadline = ClusterTime{};
  worker.drainDeadlinePassed = false;
}

void onOrderApplied(ClusterTables& tables, const Order& order) {
  auto found = tables.attempts.find(order.attempt);
  if (found == tables.attempts.end())
    return;
  Attempt& attempt = found->second;
  const bool isOrdered = attempt.state == AttemptState::ordered;
  const bool isLaunching = attempt.state == AttemptState::launching;
  if (order.kind == OrderKind::stage && isOrdered)
    attempt.state = AttemptState::staged;
  if ((order.kind == OrderKind::start && isOrdered) ||
      (order.kind == OrderKind::launch && isLaunching)) {
    attempt.state = AttemptState::running;
    attempt.runningSince = tables.now;
  }
}

void applyOrdersUpTo(ClusterTables& tables, Worker& worker, OrderNumber lastApplied) {
  if (lastApplied <= worker.lastAppliedOrder || lastApplied > worker.lastIssuedOrder)
    return;
  worker.lastAppliedOrder = lastApplied;
  auto& orders = worker.unappliedOrders;
  while (!orders.empty() && orders.front().number <= lastApplied) {
    const Order order = std::move(orders.front());
    orders.pop_front();
    onOrderApplied(tables, order);
  }
}

// Stops an attempt because its worker is drained, together with the other members of its gang.
void stopForDrain(ClusterTables& tables, Attempt& attempt, RetryAccounting accounting) {
  AttemptControl attempts(tables);
  if (attempt.gang)
    attempts.abortGang(attempt.job, attempt.stepIndex, attempt.number);
  attempts.forceStop(attempt, accounting);
}

bool isReportedAsStarted(const Attempt& attempt) {
  return attempt.state != AttemptState::ordered && attempt.state != AttemptState::staged &&
         attempt.state != AttemptState::launching;
}

}  // namespace

void applyEvent(ClusterTables& tables, const WorkerRegistered& event) {
  removeOthersOnHost(tables, event);
  const bool capacityKnown = std::any_of(
      tables.workers.begin(), tables.workers.end(),
      [&](const auto& entry) { return offersAtLeast(entry.second.capacity, event.capacity); });
  tables.updatedWorkers.insert(event.worker);
  Worker& worker = tables.workers[event.worker];
  worker.id = event.worker;
  worker.lastSeenAt = tables.now;
  if (worker.incarnation != event.incarnation)
    beginIncarnation(tables, worker, event.incarnation);
  if (!capacityKnown)
    tables.capacityChangedAt = tables.now;
  worker.capacity = event.capacity;
}

void applyEvent(ClusterTables& tables, const WorkerSynced& event) {
  auto found = tables.workers.find(event.worker);
  if (found == tables.workers.end())
    return;
  applyOrdersUpTo(tables, found->second, event.lastAppliedOrder);
  JobLifecycle jobs(tables);
  for (const auto& [number, checkpoint] : event.checkpoints) {
    if (auto attempt = tables.attempts.find(number); attempt != tables.attempts.end())
      jobs.recordCheckpoint(attempt->second, checkpoint);
  }
  AttemptResults results(tables);
  for (const auto& result : event.results) {
    if (auto attempt = tables.attempts.find(result.attempt); attempt != tables.attempts.end())
      jobs.recordCheckpoint(attempt->second, result.checkpoint);
    results.close(result.attempt, result.outcome);
  }
}

void applyEvent(ClusterTables& tables, const WorkerDrainStarted& event) {
  auto found = tables.workers.find(event.worker);
  if (found == tables.workers.end() || found->second.state == WorkerState::removed)
    return;
  Worker& worker = found->second;
  if (event.byOperator)
    worker.state = WorkerState::drained;
  else if (worker.state != WorkerState::unreachable)
    worker.state = WorkerState::draining;
  worker.drainDeadline = tables.now + event.timeout;
  worker.drainDeadlinePassed = false;
  // docs/design.md 5.7: starts that the worker has not yet reported are withdrawn at once.
  for (auto number : std::set<AttemptNumber>(tables.attemptIndex.onWorker(event.worker))) {
    Attempt& attempt = tables.attempts.at(number);
    if (!isReportedAsStarted(attempt))
      stopForDrain(tables, attempt, RetryAccounting::exempt);
  }
}

void applyEvent(ClusterTables& tables, const WorkerDrainDeadlinePassed& event) {
  auto found = tables.workers.find(event.worker);
  if (found == tables.workers.end())
    return;
  found->second.drainDeadlinePassed = true;
  for (auto number : std::set<AttemptNumber>(tables.attemptIndex.onWorker(event.worker))) {
    Attempt& attempt = tables.attempts.at(number);
    if (!attempt.abandoned)
      stopForDrain(tables, attempt, RetryAccounting::counted);
  }
}

void applyEvent(ClusterTables& tables, const WorkerReconnected& event) {
  auto found = tables.workers.find(event.worker);
  if (found == tables.workers.end() || found->second.state == WorkerState::removed)
    return;
  Worker& worker = found->second;
  worker.lastSeenAt = tables.now;
  // docs/design.md 5.7: a worker that became unreachable while draining continues to drain.
  if (worker.state == WorkerState::unreachable && worker.drainDeadline != ClusterTime{}) {
    worker.state = WorkerState::draining;
    return;
  }
  worker.state = WorkerState::available;
  worker.drainDeadline = ClusterTime{};
  worker.drainDeadlinePassed = false;
}

void applyEvent(ClusterTables& tables, const WorkerUnreachable& event) {
  auto found = tables.workers.find(event.worker);
  if (found == tables.workers.end() || found->second.state == WorkerState::removed)
    return;
  Worker& worker = found->second;
  if (worker.state != WorkerState::drained)
    worker.state = WorkerState::unreachable;
  if (!worker.capacity.honoursLeases)
    return;
  for (auto number : event.abandoned) {
    auto attempt = tables.attempts.find(number);
    if (attempt == tables.attempts.end() || attempt->second.worker != event.worker)
      continue;
    AttemptResults(tables).abandon(number);
    AttemptControl(tables).forceStop(attempt->second, RetryAccounting::counted);
  }
}

void applyEvent(ClusterTables& tables, const WorkerRemoved& event) {
  auto found = tables.workers.find(event.worker);
  if (found == tables.workers.end())
    return;
  Worker& worker = found->second;
  worker.state = WorkerState::removed;
  worker.lastSeenAt = tables.now;
  closeAllAttempts(tables, event.worker);
  worker.unappliedOrders.clear();
  worker.lastAppliedOrder = worker.lastIssuedOrder;
}

}  // namespace aniseline
