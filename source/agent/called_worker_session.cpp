#include "agent/called_worker_session.hpp"

namespace aniseline {

namespace {

WorkerReply reply(WorkerReply::Status kind, WorkerTime now) {
  WorkerReply made;
  made.status = kind;
  made.clockReading = now;
  return made;
}

}  // namespace

WorkerReply CalledWorkerSession::onCall(const WorkerCall& call, WorkerTime now) {
  if (call.workerInstance != workerInstance)
    return reply(WorkerReply::Status::instanceMismatch, now);
  if (call.fencingTerm < fencingTerm)
    return reply(WorkerReply::Status::fenced, now);
  fencingTerm = call.fencingTerm;
  tick(now);
  auto made = call.kind == WorkerCall::Kind::start  ? start(call, now)
              : call.kind == WorkerCall::Kind::stop ? stop(call)
                                                    : poll(call, now);
  made.clockReading = now;
  return made;
}

WorkerReply CalledWorkerSession::start(const WorkerCall& call, WorkerTime now) {
  TaskRunId task = call.runId;
  task.runNumber = 0;
  if (auto found = latestRuns.find(task);
      found != latestRuns.end() && found->second >= call.runId.runNumber)
    return reply(WorkerReply::Status::staleRun, now);
  if (!call.leaseDeadline || *call.leaseDeadline <= now)
    return reply(WorkerReply::Status::deadlineExceeded, now);
  if (draining || !fits(call.order))
    return reply(WorkerReply::Status::insufficientCapacity, now);
  rememberRun(call.runId);
  extendLease(call.leaseDeadline, now);
  running[call.order.attempt] = RunningTask{call.runId, call.order, now};
  commands.push_back({TaskCommand::Kind::start, call.order.attempt, call.order});
  return reply(WorkerReply::Status::ok, now);
}

// A stop of what is not there is remembered: a start of it that comes late is turned away.
WorkerReply CalledWorkerSession::stop(const WorkerCall& call) {
  rememberRun(call.runId);
  for (auto task = running.begin(); task != running.end(); ++task)
    if (task->second.runId == call.runId) {
      finishTask(task, AttemptOutcome::stopped, false);
      break;
    }
  return reply(WorkerReply::Status::ok, WorkerTime{});
}

WorkerReply CalledWorkerSession::poll(const WorkerCall& call, WorkerTime now) {
  while (!unconfirmedResults.empty() &&
         unconfirmedResults.front().sequenceNumber <= call.confirmedUpTo) {
    confirmedResults.emplace_back(unconfirmedResults.front().order,
                                  unconfirmedResults.front().outcome);
    unconfirmedResults.pop_front();
  }
  extendLease(call.leaseDeadline, now);
  auto made = reply(WorkerReply::Status::ok, now);
  for (const auto& [attempt, task] : running)
    made.runningTasks.push_back({task.runId, ""});
  for (const auto& ended : unconfirmedResults) {
    if (made.results.size() >= options.maxResultsPerPoll) {
      made.complete = false;
      break;
    }
    made.results.push_back({ended.sequenceNumber, ended.runId, ended.outcome, ""});
  }
  return made;
}

void CalledWorkerSession::extendLease(const std::optional<WorkerTime>& deadline, WorkerTime now) {
  if (deadline)
    leaseUntil = std::max(leaseUntil, std::min(*deadline, now + options.maxLease));
}

void CalledWorkerSession::tick(WorkerTime now) {
  if (now >= leaseUntil) {
    // What had ended well and was not confirmed may be started elsewhere from now on: it is void.
    // docs/design.md 5.5.
    for (auto& ended : unconfirmedResults)
      if (ended.outcome == AttemptOutcome::succeeded)
        ended.outcome = AttemptOutcome::stopped;
    while (!running.empty())
      finishTask(running.begin(), AttemptOutcome::stopped, false);
  }
  for (auto task = running.begin(); task != running.end();) {
    const auto present = task++;
    const Duration quantum = present->second.order.quantum;
    if (quantum.milliseconds > 0 && now - present->second.startedAt >= quantum)
      finishTask(present, AttemptOutcome::quantumExpired, false);
  }
}

void CalledWorkerSession::onTaskEnded(AttemptNumber attempt, bool well, WorkerTime now) {
  tick(now);
  if (auto task = running.find(attempt); task != running.end())
    finishTask(task, well ? AttemptOutcome::succeeded : AttemptOutcome::failed, true);
}

void CalledWorkerSession::finishTask(std::map<AttemptNumber, RunningTask>::iterator task,
                                     AttemptOutcome kind, bool byItself) {
  if (!byItself)
    commands.push_back({TaskCommand::Kind::stop, task->first, task->second.order});
  unconfirmedResults.push_back(
      {++lastSequenceNumber, task->second.runId, task->second.order, kind});
  running.erase(task);
}

void CalledWorkerSession::onReplaced(WorkerId next) {
  while (!running.empty())
    finishTask(running.begin(), AttemptOutcome::stopped, false);
  const auto stops = std::move(commands);
  *this = CalledWorkerSession(options, std::move(next));
  commands = stops;
}

bool CalledWorkerSession::fits(const Order& order) const {
  if (!options.capacity.enforcesCapacity)
    return true;
  std::uint64_t cores = order.cores, memory = order.memory;
  for (const auto& [attempt, task] : running)
    cores += task.order.cores, memory += task.order.memory;
  return cores <= options.capacity.cores && memory <= options.capacity.memory;
}

bool CalledWorkerSession::rememberRun(const TaskRunId& name) {
  TaskRunId task = name;
  task.runNumber = 0;
  auto [found, isNew] = latestRuns.try_emplace(task, name.runNumber);
  if (!isNew && found->second >= name.runNumber)
    return false;
  found->second = name.runNumber;
  if (!isNew)
    return true;
  rememberedTasks.push_back(task);
  if (rememberedTasks.size() > options.maxRememberedTasks) {
    latestRuns.erase(rememberedTasks.front());
    rememberedTasks.pop_front();
  }
  return true;
}

}  // namespace aniseline
