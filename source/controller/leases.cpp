// Workers: registration, syncs, leases, leaving and their ends. docs/design.md 5.
#include "controller/controller.hpp"

namespace aniseline {

void Controller::handleSync(PendingRequest& record) {
  const SyncReport& report = record.request.report;
  auto found = speculative().workers().find(report.id);
  const Worker* known = found == speculative().workers().end() ? nullptr : &found->second;
  if (known && (std::count(known->retiredIncarnations.begin(), known->retiredIncarnations.end(),
                           report.incarnation) ||
                (known->state == WorkerState::removed && known->incarnation == report.incarnation)))
    return respondWhenCommitted(
        record,
        ApiResponse::error(410, "gone",
                           "this incarnation is replaced: stop all tasks and begin anew"),
        false);
  // Two processes with one id would put each other out for ever: while the one that is known is
  // alive the other is told so.
  if (known && known->incarnation != report.incarnation && known->state != WorkerState::removed &&
      now - lastContact(report.id) < options.workerLivenessTimeout) {
    emitLogEvent("worker id in use", {{"worker", json(report.id.value)}});
    return respondWhenCommitted(
        record,
        ApiResponse::error(
            409, "conflict",
            "worker " + report.id.value + " is alive as another process; give each its own id",
            options.workerLivenessTimeout),
        false);
  }
  bool prompt = false;
  if (!known || known->incarnation != report.incarnation || known->capacity != report.capacity) {
    append(WorkerRegistered{report.id, report.incarnation, report.capacity});
    prompt = true;
  }
  const Worker& worker = speculative().workers().at(report.id);
  auto& waiting = pollsByWorker[report.id];
  if (!report.wantsPackedResponse ||
      report.longPollTimeout
          .milliseconds)  // a newer sync that waits takes the place of one that still does
    for (auto other : waiting) {
      requests.at(other).pollUntil = now;
      pollsToCheck.insert(other);
    }
  // A unresponsive worker is not in touch, whoever speaks for it: no lease is granted, and it is
  // given up when the last one is over. A report that a later one has overtaken says nothing of
  // that any more. docs/design.md 5.8.
  MonotonicTime& latest = latestReports[report.id];
  const bool overtaken = report.wantsPackedResponse && report.reportedAt < latest;
  latest = std::max(latest, report.reportedAt);
  if (report.unresponsive && !overtaken) {
    const MonotonicTime over = now + report.remainingLease + options.unresponsiveMargin;
    auto [known, isNew] = unresponsiveUntil.try_emplace(report.id, over);
    if (!isNew)
      known->second = std::min(known->second, over);
    workerDeadlinesStale = true;
  } else if (!overtaken) {
    if (unresponsiveUntil.erase(report.id))
      planRequested = true;
    lastContacts[report.id] = now;
  }
  if (worker.state == WorkerState::unreachable && !report.unresponsive && !overtaken)
    append(WorkerReconnected{report.id});
  const bool unlogged =
      worker.state == WorkerState::available ||
      (worker.state == WorkerState::unreachable && worker.drainDeadline == ClusterTime{});
  if (report.draining && unlogged) {
    append(WorkerDrainStarted{report.id, report.drainTimeout, false});
    emitLogEvent("worker leaves", {{"worker", json(report.id.value)}});
  }
  WorkerSynced synced{report.id, std::min(report.lastAppliedOrder, worker.lastIssuedOrder), {}};
  for (const auto& ending : report.results) {
    auto attempt = speculative().attempts().find(ending.attempt);
    if (attempt != speculative().attempts().end() && attempt->second.worker == report.id)
      synced.results.push_back(ending);
  }
  for (const auto& ending : report.runResults)
    if (auto number = speculative().findAttempt(report.id, ending.runId); number.value)
      synced.results.push_back({number, ending.outcome, ending.checkpoint});
  recordPace(synced);
  for (const auto& save : report.checkpoints)
    if (auto number = speculative().findAttempt(report.id, save.runId); number.value)
      synced.checkpoints.emplace_back(number, save.checkpoint);
  if (synced.lastAppliedOrder > worker.lastAppliedOrder || !synced.results.empty() ||
      !synced.checkpoints.empty())
    append(std::move(synced));
  record.stage = RequestStage::longPolling;
  unansweredRequests.erase(record.sequenceNumber);
  waiting.insert(record.sequenceNumber);
  pollsToCheck.insert(record.sequenceNumber);
  record.appendedToLog = false;
  record.requiredCommitIndex = raft.lastIndex();
  record.requiredRound = raft.startRound(now);
  record.pollUntil = prompt || !report.results.empty() || !report.runResults.empty() ||
                             (report.draining && !report.wantsPackedResponse)
                         ? now
                         : now + std::min(report.longPollTimeout, options.maxPollDuration);
  record.deadline = now + options.maxPollDuration + options.responseTimeout;
}

void Controller::handleWorkerOrder(PendingRequest& record) {
  const WorkerId id{record.request.targetId};
  auto found = speculative().workers().find(id);
  if (found == speculative().workers().end())
    return respondWhenCommitted(record, ApiResponse::error(404, "missing", "no worker " + id.value),
                                false);
  const Worker& worker = found->second;
  bool logged = true;
  switch (record.request.kind) {
    case RequestKind::workerShutdown:
      // One that is silent may return: it is not used then either.
      if (worker.state == WorkerState::available || worker.state == WorkerState::unreachable)
        append(WorkerDrainStarted{id, record.request.drainTimeout, false});
      else
        logged = false;
      break;
    case RequestKind::drainWorker:
      if (worker.state != WorkerState::drained && worker.state != WorkerState::removed)
        append(WorkerDrainStarted{id, record.request.drainTimeout, true});
      else
        logged = false;
      break;
    case RequestKind::undrainWorker:
      if (worker.state == WorkerState::drained || worker.state == WorkerState::draining)
        append(WorkerReconnected{id});
      else
        logged = false;
      break;
    default:
      if (worker.state != WorkerState::removed)
        append(WorkerRemoved{id, "declared gone by an operator"});
      else
        logged = false;
  }
  respondWhenCommitted(
      record,
      ApiResponse::of(200, {{"worker", json(id.value)}, {"state", json(name(worker.state))}}),
      logged);
}

MonotonicTime Controller::lastContact(const WorkerId& id) const {
  auto contact = lastContacts.find(id);
  return contact == lastContacts.end() ? leaderSince : std::max(leaderSince, contact->second);
}

// Which tasks of a silent worker are given up by now: their queues may ask for more patience.
// docs/design.md 5.5.
WorkerUnreachable Controller::unreachableEventFor(const Worker& worker, MonotonicTime heard) {
  WorkerUnreachable silent{worker.id, {}};
  if (!worker.capacity.honoursLeases)
    return silent;
  for (auto number : speculative().attemptsOn(worker.id)) {
    const Attempt& attempt = speculative().attempts().at(number);
    auto job = speculative().jobs().find(attempt.job);
    const auto* queue = job == speculative().jobs().end()
                            ? nullptr
                            : speculative().config().findQueue(job->second.submission.queue);
    const Duration patience = queue ? queue->reassignAfter : Duration{0};
    auto unheard = unresponsiveUntil.find(worker.id);
    const bool over = unheard != unresponsiveUntil.end() && now > unheard->second + patience;
    if (!attempt.abandoned &&
        (over || now - heard > options.leaseDuration + options.leaseMargin + patience))
      silent.abandoned.push_back(number);
  }
  return silent;
}

void Controller::collectExpiredWorkers() {
  workerDeadlinesStale = false;
  expiredWorkers.clear();
  nextLeaseExpiry = MonotonicTime{std::numeric_limits<std::int64_t>::max()};
  nextDrainDeadline = ClusterTime{std::numeric_limits<std::int64_t>::max()};
  for (const auto& [id, worker] : speculative().workers()) {
    if (worker.state == WorkerState::removed)
      continue;
    MonotonicTime lapse =
        lastContact(id) + options.leaseDuration + options.leaseMargin + Duration{1};
    if (auto unheard = unresponsiveUntil.find(id); unheard != unresponsiveUntil.end())
      lapse = std::min(lapse, unheard->second + Duration{1});
    const bool leaves =
        (worker.state == WorkerState::draining || worker.state == WorkerState::drained) &&
        !worker.drainDeadlinePassed;
    if (now >= lapse || (leaves && clusterNow() >= worker.drainDeadline)) {
      expiredWorkers.insert(id);
      continue;
    }
    nextLeaseExpiry = std::min(nextLeaseExpiry, lapse);
    if (leaves)
      nextDrainDeadline = std::min(nextDrainDeadline, worker.drainDeadline);
  }
}

// Leases, leavings, and their ends. docs/design.md 5.4 to 5.7.
void Controller::expireLeases() {
  if (workerDeadlinesStale || now >= nextLeaseExpiry || clusterNow() >= nextDrainDeadline)
    collectExpiredWorkers();
  std::vector<Event> events;
  for (const auto& id : expiredWorkers) {
    auto found = speculative().workers().find(id);
    if (found == speculative().workers().end() || found->second.state == WorkerState::removed)
      continue;
    const Worker& worker = found->second;
    const MonotonicTime heard = lastContact(id);
    auto unheard = unresponsiveUntil.find(id);
    if (now - heard > options.leaseDuration + options.leaseMargin ||
        (unheard != unresponsiveUntil.end() && now > unheard->second)) {
      auto silent = unreachableEventFor(worker, heard);
      if (worker.state == WorkerState::draining && speculative().attemptsOn(id).empty())
        events.push_back(WorkerRemoved{id, "left"});
      else if (!silent.abandoned.empty() ||
               (worker.state != WorkerState::unreachable && worker.state != WorkerState::drained))
        events.push_back(std::move(silent));
    }
    if ((worker.state == WorkerState::draining || worker.state == WorkerState::drained) &&
        !worker.drainDeadlinePassed && clusterNow() >= worker.drainDeadline)
      events.push_back(WorkerDrainDeadlinePassed{id});
  }
  for (auto& event : events) {
    if (auto* silent = boost::get<WorkerUnreachable>(&event);
        silent && speculative().workers().at(silent->worker).state != WorkerState::unreachable)
      emitLogEvent("worker silent", {{"worker", json(silent->worker.value)}});
    append(std::move(event));
  }
}

}  // namespace aniseline
