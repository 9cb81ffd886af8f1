// Starts, runs, stops and reports tasks in virtual time.
#include "simulator/called_worker.hpp"
#include "state/occurrence.hpp"

namespace aniseline {

namespace {
// The payload of a simulated task states what it does, such as "run=800" or "run=800 fail".
// Returns its runtime in ms.
std::int64_t parseRuntime(const std::string& payload, std::int64_t defaultRuntime) {
  return payload.starts_with("run=") ? std::strtoll(payload.c_str() + 4, nullptr, 10)
                                     : defaultRuntime;
}
bool alwaysFails(const std::string& payload) {
  return payload.ends_with(" fail");
}
AttemptOutcome outcomeFrom(const std::string& outcome) {
  return outcome == "finished" ? AttemptOutcome::succeeded
         : outcome == "failed" ? AttemptOutcome::failed
                               : AttemptOutcome::stopped;
}
// A checkpoint's text consists of the progress in ms and a random number that makes it unique.
std::int64_t parseProgress(const std::string& checkpoint) {
  return std::strtoll(checkpoint.c_str(), nullptr, 10);
}
}  // namespace

CalledWorker::CalledWorker(CalledWorkerOptions workerOptions, GangRendezvousTable& rendezvousTable,
                           std::uint64_t seed, JobLookup findJob, EventSink recordEvent,
                           std::int64_t now)
    : options(std::move(workerOptions)),
      rendezvousTable(rendezvousTable),
      random(seed),
      findJob(std::move(findJob)),
      recordEvent(std::move(recordEvent)),
      startedAt(now),
      lastTickAt(now) {}

WorkerRegistration CalledWorker::registrationAt(std::int64_t now) const {
  return {options.workerInstance, options.capacity, draining, drainTimeout, clock(now)};
}

HistoryEvent CalledWorker::makeEvent(HistoryEvent::Kind kind, const TaskRunId& name) const {
  HistoryEvent event;
  event.kind = kind;
  event.worker = options.workerInstance.value;
  event.job = name.job.value;
  event.attempt = std::to_string(name.runNumber);
  const auto* job = findJob(name.job);
  if (!job)
    return event;
  if (job->hasTimetable())
    event.job = OccurrenceId::make(name.job, name.occurrence).value;
  event.task = name.indexInStep;
  for (std::uint32_t step = 0; step < std::min<std::size_t>(name.stepIndex, job->steps.size());
       ++step)
    event.task += std::uint32_t(job->steps[step].tasks.size());
  return event;
}

void CalledWorker::extendLease(const std::optional<WorkerTime>& deadline, std::int64_t now) {
  if (!deadline)
    return;
  const WorkerTime until = std::min(*deadline, clock(now) + options.maxLease);
  if (until > clock(now) && (!leaseExpiresAt || until > *leaseExpiresAt))
    leaseExpiresAt = until;
}

WorkerReply CalledWorker::handleCall(const WorkerCall& call, std::int64_t now, bool late) {
  tick(now);
  WorkerReply reply;
  if (call.workerInstance != options.workerInstance) {
    reply.status = WorkerReply::Status::instanceMismatch;
    return reply;
  }
  reply.clockReading = clock(now);
  if (call.kind == WorkerCall::Kind::start && malfunction == Malfunction::rejecting) {
    reply.status = WorkerReply::Status::unavailable;  // the call had no effect
    return reply;
  }
  if (call.fencingTerm < fencingTerm) {
    reply.status = WorkerReply::Status::fenced;
    return reply;
  }
  fencingTerm = call.fencingTerm;
  reply.status = WorkerReply::Status::ok;
  if (call.kind == WorkerCall::Kind::stop)
    stop(call, now);
  else
    extendLease(call.leaseDeadline, now);
  if (call.kind == WorkerCall::Kind::poll)
    confirmResults(call.confirmedUpTo);
  if (call.kind == WorkerCall::Kind::start)
    start(call, reply, now, late);
  return reply;
}

bool CalledWorker::fits(const TaskRequest& request) const {
  std::uint64_t cores = request.cores, memory = request.memory, accelerators = request.accelerators;
  for (const auto& [name, run] : runs) {
    cores += run.request.cores;
    memory += run.request.memory;
    accelerators += run.request.accelerators;
  }
  return cores <= options.capacity.cores && memory <= options.capacity.memory &&
         accelerators <= options.capacity.accelerators;
}

void CalledWorker::start(const WorkerCall& call, WorkerReply& reply, std::int64_t now, bool late) {
  if (runs.count(call.runId))
    return;  // the run has already been started
  const bool newerRunPresent = std::any_of(runs.begin(), runs.end(), [&](const auto& entry) {
    return withoutRunNumber(entry.first) == withoutRunNumber(call.runId) &&
           entry.first.runNumber > call.runId.runNumber;
  });
  if (auto fenced = fencedRuns.find(withoutRunNumber(call.runId));
      newerRunPresent || (fenced != fencedRuns.end() && call.runId.runNumber <= fenced->second)) {
    reply.status = WorkerReply::Status::staleRun;
    return;
  }
  if (!leaseExpiresAt || !call.leaseDeadline || *call.leaseDeadline <= clock(now)) {
    reply.status = WorkerReply::Status::deadlineExceeded;
    return;
  }
  ActiveRun run;
  run.job = findJob(call.runId.job);
  if (run.job && call.runId.stepIndex < run.job->steps.size())
    run.step = &run.job->steps[call.runId.stepIndex];
  if (run.step && call.runId.indexInStep < run.step->tasks.size())
    run.request = run.step->tasks[call.runId.indexInStep];
  if (options.capacity.enforcesCapacity && !fits(run.request)) {
    reply.status = WorkerReply::Status::insufficientCapacity;
    return;
  }
  run.payload = call.payload;
  run.checkpoint = call.checkpoint;
  run.startedAt = now;
  run.progress = run.checkpointedProgress = parseProgress(call.checkpoint);
  run.readyAt = call.checkpoint.empty() ? now : now + options.restoreTime.milliseconds;
  run.runtime = parseRuntime(call.payload, run.request.runtime.milliseconds);
  run.fails = alwaysFails(call.payload);
  // A long-running task runs until it is stopped, or fails at a random time.
  if (run.step && run.step->requirements.longRunning) {
    run.runtime = random.between(4000, 40'000);
    run.fails = true;
  }
  if (run.step && !run.step->requirements.preferredRack.empty() &&
      !options.capacity.hasLabel(run.step->requirements.preferredRack))
    run.runtime = std::int64_t(double(run.runtime) * options.remoteSlowdown);
  if (malfunction == Malfunction::failing) {
    run.runtime = std::min<std::int64_t>(run.runtime, run.progress + 100);
    run.fails = true;
  }
  auto event = makeEvent(HistoryEvent::Kind::started, call.runId);
  event.payload = call.payload;
  event.checkpoint = call.checkpoint;
  event.cores = run.request.cores;
  event.memory = run.request.memory;
  event.accelerators = run.request.accelerators;
  event.executedLate = late;
  recordEvent(event);
  if (run.gang()) {
    auto& rendezvous = rendezvousOf(call.runId);
    rendezvous.membersPresent.insert(call.runId.indexInStep);
    rendezvous.racks.insert(options.capacity.rack);
    if (!rendezvous.assembledAt && rendezvous.outcome.empty() &&
        rendezvous.membersPresent.size() == run.step->tasks.size())
      rendezvous.assembledAt = run.readyAt;
  }
  runs.emplace(call.runId, std::move(run));
}

void CalledWorker::stop(const WorkerCall& call, std::int64_t now) {
  auto& highestFencedRun = fencedRuns[withoutRunNumber(call.runId)];
  highestFencedRun = std::max(highestFencedRun, call.runId.runNumber);
  auto found = runs.find(call.runId);
  if (found != runs.end() && !found->second.stopsAt)
    found->second.stopsAt = now + random.between(0, options.maxStopDelay.milliseconds);
}

// A confirmed result is not listed again and is final, unless the lease expired before it was
// confirmed.
void CalledWorker::confirmResults(std::uint64_t lastSeen) {
  while (!unconfirmedResults.empty() && unconfirmedResults.front().number <= lastSeen) {
    const EndedRun& ended = unconfirmedResults.front();
    if (!ended.leaseExpired) {
      auto event = makeEvent(HistoryEvent::Kind::resultConfirmed, ended.name);
      event.detail = ended.outcome;
      recordEvent(event);
    }
    unconfirmedResults.pop_front();
  }
}

void CalledWorker::listRuns(WorkerReply& reply, std::int64_t now) const {
  reply.clockReading = clock(now);
  for (const auto& [name, run] : runs)
    reply.runningTasks.push_back({name, run.checkpoint});
  for (const auto& ended : unconfirmedResults) {
    if (reply.results.size() >= options.maxResultsPerPoll) {
      reply.complete = false;
      break;
    }
    reply.results.push_back(
        {ended.number, ended.name, outcomeFrom(ended.outcome), ended.checkpoint});
  }
}

void CalledWorker::saveCheckpoint(const TaskRunId& name, ActiveRun& run) {
  if (!run.step || !run.step->requirements.checkpointed || run.progress <= run.checkpointedProgress)
    return;
  run.checkpointedProgress = run.progress;
  run.checkpoint = std::to_string(run.progress) + ":" + std::to_string(random.next());
  auto event = makeEvent(HistoryEvent::Kind::checkpointed, name);
  event.checkpoint = run.checkpoint;
  recordEvent(event);
}

void CalledWorker::endRun(TaskRunId name, const std::string& outcome) {
  auto found = runs.find(name);
  auto event = makeEvent(HistoryEvent::Kind::ended, name);
  event.detail = outcome;
  recordEvent(event);
  unconfirmedResults.push_back({++lastResultNumber, name, outcome, found->second.checkpoint});
  if (found->second.gang()) {
    auto& rendezvous = rendezvousOf(name);
    if (rendezvous.outcome.empty())
      rendezvous.outcome = outcome == "finished" ? "finished" : "broken";
  }
  runs.erase(found);
  auto& highestFencedRun = fencedRuns[withoutRunNumber(name)];
  highestFencedRun = std::max(highestFencedRun, name.runNumber);
}

void CalledWorker::tick(std::int64_t now) {
  const std::int64_t previousTickAt = std::exchange(lastTickAt, now);
  if (leaseExpiresAt && clock(now) >= *leaseExpiresAt) {
    leaseExpiresAt.reset();
    while (!runs.empty())
      endRun(runs.begin()->first, "lapsed");
    for (auto& ended : unconfirmedResults)
      ended.leaseExpired = true;
  }
  std::vector<std::pair<TaskRunId, std::string>> endedRuns;
  for (auto& [name, run] : runs) {
    GangRendezvous* rendezvous = run.gang() ? &rendezvousOf(name) : nullptr;
    const bool progresses = !rendezvous || rendezvous->assembledAt;
    if (progresses && malfunction != Malfunction::stalled) {
      const std::int64_t activeSince = std::max(
          {previousTickAt, run.readyAt, rendezvous ? *rendezvous->assembledAt : run.startedAt});
      run.progress += std::max<std::int64_t>(0, now - activeSince);
      const std::int64_t interval = options.checkpointInterval.milliseconds;
      if (run.progress / interval > run.checkpointedProgress / interval &&
          run.progress < run.runtime)
        saveCheckpoint(name, run);
    }
    const std::int64_t duration =
        rendezvous && run.step->requirements.sameRack && rendezvous->racks.size() > 1
            ? std::int64_t(double(run.runtime) * options.remoteSlowdown)
            : run.runtime;
    if (run.stopsAt) {
      if (now < *run.stopsAt)
        continue;
      saveCheckpoint(name, run);
      endedRuns.emplace_back(name, "stopped");
    } else if (rendezvous && !rendezvous->outcome.empty())
      endedRuns.emplace_back(name, rendezvous->outcome);
    else if (rendezvous && !rendezvous->assembledAt) {
      if (now - run.startedAt >= options.gangTimeout.milliseconds)
        endedRuns.emplace_back(name, "alone");
    } else if (run.progress >= duration)
      endedRuns.emplace_back(name, run.fails ? "failed" : "finished");
  }
  for (const auto& [name, outcome] : endedRuns) {
    // Another member of the gang may have ended in the same tick. The outcome of the first one
    // applies to all members.
    const bool completed = outcome == "finished" || outcome == "failed";
    const auto& run = runs.at(name);
    endRun(name, completed && run.gang() && !rendezvousOf(name).outcome.empty()
                     ? rendezvousOf(name).outcome
                     : outcome);
  }
}

void CalledWorker::crash() {
  for (auto& [name, run] : runs)
    if (run.gang()) {
      auto& rendezvous = rendezvousOf(name);
      if (rendezvous.outcome.empty())
        rendezvous.outcome = "broken";
    }
  runs.clear();
}

}  // namespace aniseline
