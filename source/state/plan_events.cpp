// Applies the planner's decisions: starts, suspends and stops of attempts, and the reservation.
// docs/design.md 5.
#include "state/event_appliers.hpp"
#include "state/job_lifecycle.hpp"
#include "state/stop_reasons.hpp"

namespace aniseline {

namespace {

bool isExemptFromRetryLimit(const std::string& stopReason) {
  return stopReason == stop_reasons::stagingTimedOut || stopReason == stop_reasons::preempted;
}

void countStart(ClusterTables& tables, Task& task) {
  if (task.countedStarts++ > 0)
    ++tables.counters.retries;
  ++tables.counters.starts;
}

Attempt makeAttempt(const ClusterTables& tables, const Action& action, const Job& job,
                    const Task& task) {
  const TaskRequest& request = job.requestOf(task);
  Attempt attempt;
  attempt.number = action.attempt;
  attempt.job = action.job;
  attempt.taskIndex = action.taskIndex;
  attempt.stepIndex = task.stepIndex;
  attempt.indexInStep = task.indexInStep;
  attempt.worker = action.worker;
  attempt.cores = request.cores;
  attempt.accelerators = request.accelerators;
  attempt.runNumber = std::max(task.runNumber + 1, action.runNumber);
  attempt.memory = action.memory;
  attempt.runtime = request.runtime;
  attempt.quantum = action.trial ? action.quantum : Duration{0};
  attempt.gang = job.stepOf(task).gang;
  attempt.selfAssembling = attempt.gang && action.kind == ActionKind::start;
  attempt.countsAsStart = action.kind == ActionKind::start;
  attempt.orderedAt = tables.now;
  attempt.runningSince = tables.now;
  return attempt;
}

void orderStart(ClusterTables& tables, const Action& action) {
  Job& job = tables.jobs[action.job];
  Task& task = job.tasks[action.taskIndex];
  Attempt attempt = makeAttempt(tables, action, job, task);
  task.runNumber = attempt.runNumber;
  const auto kind = action.kind == ActionKind::start ? OrderKind::start : OrderKind::stage;
  Order& order = AttemptControl(tables).issueOrder(kind, attempt);
  order.payload = job.payloadOf(task);
  const auto checkpointed = attempt.gang ? job.taskIndexOf(task.stepIndex, 0) : action.taskIndex;
  order.checkpoint = job.tasks[checkpointed].checkpoint;
  attempt.orderNumber = order.number;
  tables.lastAttempt = std::max(tables.lastAttempt, action.attempt);
  tables.addAttempt(attempt);
  task.state = TaskState::placed;
  (action.redundantCopy ? task.redundantAttempt : task.currentAttempt) = action.attempt;
  if (action.trial) {
    task.trialStarted = true;
    ++tables.counters.trials;
  }
  if (attempt.countsAsStart)
    countStart(tables, task);
}

void launchStaged(ClusterTables& tables, Attempt& attempt) {
  attempt.state = AttemptState::launching;
  attempt.countsAsStart = true;
  attempt.runningSince = tables.now;
  countStart(tables, tables.jobs[attempt.job].tasks[attempt.taskIndex]);
  attempt.orderNumber = AttemptControl(tables).issueOrder(OrderKind::launch, attempt).number;
}

void applyAction(ClusterTables& tables, const Action& action) {
  if (action.kind == ActionKind::start || action.kind == ActionKind::stage)
    return orderStart(tables, action);
  auto found = tables.attempts.find(action.attempt);
  if (found == tables.attempts.end())
    return;
  Attempt& attempt = found->second;
  if (action.kind == ActionKind::launch && attempt.state == AttemptState::staged) {
    launchStaged(tables, attempt);
  } else if (action.kind == ActionKind::suspend && attempt.state == AttemptState::running) {
    AttemptControl(tables).suspend(attempt, action.suspendedForTrial);
  } else if (action.kind == ActionKind::stop) {
    const auto accounting =
        isExemptFromRetryLimit(action.reason) ? RetryAccounting::exempt : RetryAccounting::counted;
    AttemptControl(tables).forceStop(attempt, accounting);
  }
}

}  // namespace

void applyEvent(ClusterTables& tables, const PlanMade& event) {
  ++tables.counters.plans;
  tables.lastPlan = event.number;
  if (event.reservation.timesMoved > tables.reservation.timesMoved)
    ++tables.counters.reservationsMoved;
  tables.reservation = event.reservation;
  for (const auto& action : event.actions)
    applyAction(tables, action);
}

}  // namespace aniseline
