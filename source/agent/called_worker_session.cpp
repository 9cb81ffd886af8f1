// Checks calls against the instance, the fencing term, the lease and the capacity before executing
// them.
#include "agent/called_worker_session.hpp"

namespace aniseline {

namespace {

WorkerReply replyWith(WorkerReply::Status status, WorkerTime now) {
  WorkerReply reply;
  reply.status = status;
  reply.clockReading = now;
  return reply;
}

TaskRunId taskOf(const TaskRunId& runId) {
  TaskRunId task = runId;
  task.runNumber = 0;
  return task;
}

}  // namespace

WorkerReply CalledWorkerSession::onCall(const WorkerCall& call, WorkerTime now) {
  if (call.workerInstance != workerInstance)
    return replyWith(WorkerReply::Status::instanceMismatch, now);
  if (call.fencingTerm < fencingTerm)
    return replyWith(WorkerReply::Status::fenced, now);
  fencingTerm = call.fencingTerm;
  tick(now);
  switch (call.kind) {
    case WorkerCall::Kind::start:
      return start(call, now);
    case WorkerCall::Kind::stop:
      return stop(call, now);
    case WorkerCall::Kind::poll:
      return poll(call, now);
  }
  return replyWith(WorkerReply::Status::invalidRequest, now);
}

WorkerReply CalledWorkerSession::start(const WorkerCall& call, WorkerTime now) {
  if (isStale(call.runId))
    return replyWith(WorkerReply::Status::staleRun, now);
  if (!call.leaseDeadline || *call.leaseDeadline <= now)
    return replyWith(WorkerReply::Status::deadlineExceeded, now);
  if (draining || !hasCapacityFor(call.order))
    return replyWith(WorkerReply::Status::insufficientCapacity, now);
  rememberRun(call.runId);
  extendLease(call.leaseDeadline, now);
  running[call.order.attempt] = RunningTask{call.runId, call.order, now};
  commands.push_back({TaskCommand::Kind::start, call.order.attempt, call.order});
  return replyWith(WorkerReply::Status::ok, now);
}

// A stop of an unknown run is recorded, so that a start of that run that arrives later is rejected.
WorkerReply CalledWorkerSession::stop(const WorkerCall& call, WorkerTime now) {
  rememberRun(call.runId);
  const auto task = std::find_if(running.begin(), running.end(), [&](const auto& entry) {
    return entry.second.runId == call.runId;
  });
  if (task != running.end())
    stopTask(task, AttemptOutcome::stopped);
  return replyWith(WorkerReply::Status::ok, now);
}

WorkerReply CalledWorkerSession::poll(const WorkerCall& call, WorkerTime now) {
  confirmResultsUpTo(call.confirmedUpTo);
  extendLease(call.leaseDeadline, now);
  auto reply = replyWith(WorkerReply::Status::ok, now);
  for (const auto& [attempt, task] : running)
    reply.runningTasks.push_back({task.runId, ""});
  for (const auto& result : unconfirmedResults) {
    if (reply.results.size() >= options.maxResultsPerPoll) {
      reply.complete = false;
      break;
    }
    reply.results.push_back({result.sequenceNumber, result.runId, result.outcome, ""});
  }
  return reply;
}

void CalledWorkerSession::confirmResultsUpTo(std::uint64_t sequenceNumber) {
  while (!unconfirmedResults.empty() &&
         unconfirmedResults.front().sequenceNumber <= sequenceNumber) {
    const TaskResult& result = unconfirmedResults.front();
    confirmedResults.push_back({result.order, result.outcome});
    unconfirmedResults.pop_front();
  }
}

void CalledWorkerSession::extendLease(const std::optional<WorkerTime>& deadline, WorkerTime now) {
  if (deadline)
    leaseUntil = std::max(leaseUntil, std::min(*deadline, now + options.maxLease));
}

void CalledWorkerSession::tick(WorkerTime now) {
  if (now >= leaseUntil) {
    // The tasks of unconfirmed successes may be started elsewhere from now on, so these successes
    // are void. docs/design.md 5.5.
    for (auto& result : unconfirmedResults) {
      if (result.outcome == AttemptOutcome::succeeded)
        result.outcome = AttemptOutcome::stopped;
    }
    stopAllTasks();
  }
  for (auto task = running.begin(); task != running.end();) {
    const auto current = task++;
    const Duration quantum = current->second.order.quantum;
    if (quantum.milliseconds > 0 && now - current->second.startedAt >= quantum)
      stopTask(current, AttemptOutcome::quantumExpired);
  }
}

void CalledWorkerSession::onTaskEnded(AttemptNumber attempt, bool succeeded, WorkerTime now) {
  tick(now);
  if (auto task = running.find(attempt); task != running.end())
    finishTask(task, succeeded ? AttemptOutcome::succeeded : AttemptOutcome::failed);
}

void CalledWorkerSession::finishTask(RunningTasks::iterator task, AttemptOutcome outcome) {
  unconfirmedResults.push_back(
      {++lastSequenceNumber, task->second.runId, task->second.order, outcome});
  running.erase(task);
}

void CalledWorkerSession::stopTask(RunningTasks::iterator task, AttemptOutcome outcome) {
  commands.push_back({TaskCommand::Kind::stop, task->first, task->second.order});
  finishTask(task, outcome);
}

void CalledWorkerSession::stopAllTasks() {
  while (!running.empty())
    stopTask(running.begin(), AttemptOutcome::stopped);
}

void CalledWorkerSession::onReplaced(WorkerId next) {
  stopAllTasks();
  auto stops = std::move(commands);
  *this = CalledWorkerSession(options, std::move(next));
  commands = std::move(stops);
}

bool CalledWorkerSession::hasCapacityFor(const Order& order) const {
  if (!options.capacity.enforcesCapacity)
    return true;
  std::uint64_t cores = order.cores;
  std::uint64_t memory = order.memory;
  for (const auto& [attempt, task] : running) {
    cores += task.order.cores;
    memory += task.order.memory;
  }
  return cores <= options.capacity.cores && memory <= options.capacity.memory;
}

bool CalledWorkerSession::isStale(const TaskRunId& runId) const {
  auto found = latestRuns.find(taskOf(runId));
  return found != latestRuns.end() && found->second >= runId.runNumber;
}

void CalledWorkerSession::rememberRun(const TaskRunId& runId) {
  const TaskRunId task = taskOf(runId);
  auto [found, isNew] = latestRuns.try_emplace(task, runId.runNumber);
  found->second = std::max(found->second, runId.runNumber);
  if (!isNew)
    return;
  rememberedTasks.push_back(task);
  if (rememberedTasks.size() > options.maxRememberedTasks) {
    latestRuns.erase(rememberedTasks.front());
    rememberedTasks.pop_front();
  }
}

}  // namespace aniseline
