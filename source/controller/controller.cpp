// The control plane's core: one step, the log it follows, its role, and how requests reach their
// handlers. docs/design.md 3, 8.
#include "controller/controller.hpp"

namespace aniseline {

Controller::Controller(Member self, ControllerOptions options, std::uint64_t seed,
                       const std::vector<WriteAheadRecord>& restored, MonotonicTime now)
    : options(options), raft(std::move(self), options.raft, seed, restored, now), now(now) {
  if (raft.logBaseIndex().value > 0)
    restoreSnapshot(raft.snapshot());
}

ClusterTime Controller::clusterNow() const {
  return clusterBase + (now - clusterBaseAt);
}

// Truth is the log: nothing is changed but by a record of it. docs/design.md 3.2.
LogIndex Controller::append(Event event) {
  LogRecord record{std::max(clusterNow(), speculative().now()), std::move(event)};
  std::string payload = pack(record);
  const std::size_t bytes = payload.size();
  const LogIndex index = raft.propose(std::move(payload), now);
  speculative().apply(record);
  planRequested = true;
  invalidateCachedDeadlines(record.event);
  proposals.push_back({index, raft.term(), std::move(record), bytes});
  proposalBytes += bytes;
  return index;
}

// What may bring a lapse, a leaving's end or an occurrence nearer than was reckoned.
void Controller::invalidateCachedDeadlines(const Event& event) {
  const auto& kind = event.type();
  if (kind == typeid(WorkerRegistered) || kind == typeid(WorkerDrainStarted) ||
      kind == typeid(WorkerDrainDeadlinePassed) || kind == typeid(WorkerReconnected) ||
      kind == typeid(WorkerUnreachable) || kind == typeid(WorkerRemoved))
    workerDeadlinesStale = true;
  const auto* allowed = boost::get<JobAccepted>(&event);
  if (kind == typeid(OccurrenceFired) || (allowed && allowed->submission.hasTimetable()))
    nextTimetableFiring = ClusterTime{};
}

void Controller::applyCommittedEntries() {
  if (raft.takeSnapshotInstalled()) {
    restoreSnapshot(raft.snapshot());
    emitLogEvent("view installed", {{"index", json(appliedIndex.value)}});
  }
  while (appliedIndex < raft.commitIndex()) {
    appliedIndex = appliedIndex.next();
    const LogEntry& entry = raft.entry(appliedIndex);
    if (entry.isMembership)
      continue;
    if (applyCommittedEntry(entry))
      snapshotWork.records.push_back(entry.payload);
    else {
      unreadableState = true;
      emitLogEvent("unreadable record", {{"index", json(appliedIndex.value)}});
    }
  }
}

void Controller::popProposal() {
  proposalBytes -= proposals.front().bytes;
  proposals.pop_front();
}

void Controller::clearProposals() {
  proposals.clear();
  proposalBytes = 0;
}

bool Controller::applyCommittedEntry(const LogEntry& entry) {
  while (!proposals.empty() && proposals.front().index < appliedIndex)
    popProposal();
  if (!proposals.empty() && proposals.front().index == appliedIndex &&
      proposals.front().term == entry.term) {
    committedState.apply(proposals.front().record);
    popProposal();
    return true;
  }
  auto record = unpack<LogRecord>(entry.payload);
  if (record)
    committedState.apply(record.value());
  return record.has_value();
}

void Controller::onRoleChange() {
  if (raft.isLeader() && (!speculativeState || leadershipTerm != raft.term())) {
    leadershipTerm = raft.term();
    speculativeState = committedState;
    for (LogIndex index = appliedIndex.next(); index <= raft.lastIndex(); index = index.next()) {
      const LogEntry& entry = raft.entry(index);
      if (entry.isMembership)
        continue;
      if (auto record = unpack<LogRecord>(entry.payload))
        speculative().apply(record.value());
      else
        unreadableState = true;
    }
    leaderSince = now;
    clusterBase = speculative().now();
    clusterBaseAt = now;
    lastContacts.clear();
    sentOrders.clear();
    unresponsiveUntil.clear();
    latestReports.clear();
    lastRefusedChange.clear();
    backlog = Backlog{};
    paces.clear();
    urgentDemand.clear();
    shortenedThrough = ClusterTime{};
    workerDeadlinesStale = true;
    nextTimetableFiring = ClusterTime{};
    clearProposals();
    committedState.takeUpdatedWorkers();
    for (const auto& [worker, places] : pollsByWorker)
      pollsToCheck.insert(places.begin(), places.end());
    append(LeaderStarted{});
    emitLogEvent("leads",
                 {{"term", json(leadershipTerm.value)}, {"last", json(raft.lastIndex().value)}});
  } else if (!raft.isLeader() && speculativeState) {
    speculativeState.reset();
    wasServing = false;
    emitLogEvent("leads no more", {{"term", json(raft.term().value)}});
    for (const auto& [place, record] : requests)
      sendResponse(record, record.appendedToLog && record.request.kind != RequestKind::syncWorker
                               ? ApiResponse::outcomeUnknown(
                                     "the leader changed while this was under way; ask again")
                               : notLeaderResponse());
    clearProposals();
    requests.clear();
    requestBytes = 0;
    queuedRequests.clear();
    unansweredRequests.clear();
    pollsByWorker.clear();
    pollsToCheck.clear();
    pollCheckTimes.clear();
  }
}

void Controller::submitRequest(RequestNumber number, ApiRequest request, MonotonicTime at) {
  PendingRequest record;
  record.number = number;
  record.request = std::move(request);
  record.deadline = at + options.responseTimeout;
  if (!speculativeState || !raft.isLeader())
    return sendResponse(record, notLeaderResponse());
  if (!hasRequestCapacity(record.request))
    return sendResponse(
        record,
        ApiResponse::error(429, "overloaded", "too many requests are under way", Duration{1000}));
  if (!fitsMemoryLimit(record.request))
    return sendResponse(record, ApiResponse::notApplied("too much is under way; ask again"));
  record.retainedBytes = payloadBytes(record.request);
  requestBytes += record.retainedBytes;
  record.sequenceNumber = ++lastSequenceNumber;
  queuedRequests.push_back(record.sequenceNumber);
  unansweredRequests.insert(record.sequenceNumber);
  requests.emplace(record.sequenceNumber, std::move(record));
}

void Controller::step(MonotonicTime at, WallTime wall) {
  if (unreadableState)
    return;
  now = std::max(now, at);
  raft.tick(now, wall);
  applyCommittedEntries();
  onRoleChange();
  if (speculativeState && raft.canServe()) {
    if (!wasServing) {
      wasServing = true;
      emitLogEvent("serves", {{"term", json(raft.term().value)}});
    }
    if (auto wallNow = raft.agreedWallTime(now);
        wallNow && wallNow->milliseconds > clusterNow().milliseconds) {
      clusterBase = ClusterTime{wallNow->milliseconds};
      clusterBaseAt = now;
    }
    handleNewRequests();
    expireLeases();
    fireTimetables();
    expireFinishedJobs();
    failUnschedulableJobs();
    runPlanner();
    reviewMembership();
    raft.tick(now, wall);  // what was proposed leaves at once
    applyCommittedEntries();
    onRoleChange();
  }
  if (speculativeState) {
    respondToPolls();
    sendCommittedResponses();
  }
  requestSnapshot();
}

void Controller::handleNewRequests() {
  for (auto place : std::exchange(queuedRequests, {}))
    if (auto found = requests.find(place); found != requests.end()) {
      handleRequest(found->second);
      releaseRequestTexts(found->second);
    }
}

// docs/design.md 6.6: the leader's config is the newest there is, so what comes by an entrance is
// never judged by an older one.
bool Controller::resolveIngressRoute(PendingRequest& record) {
  ApiRequest& request = record.request;
  const ClusterConfig& config = speculative().config();
  if (!config.version.value)
    return respondWhenCommitted(record, ApiResponse::notApplied("there is no config yet"), false),
           false;
  const auto* entrance = config.findIngressRoute(request.host, request.path);
  if (!entrance)
    return respondWhenCommitted(
               record, ApiResponse::error(404, "no_queue", "no queue is entered there"), false),
           false;
  request.targetId = request.path.substr(entrance->pathPrefix.size());
  request.job.queue = entrance->queue;
  request.job.id = JobId{request.targetId};
  if (request.kind == RequestKind::showPhase && request.targetId.empty())
    request.kind = RequestKind::countOpenJobs;
  if (request.kind == RequestKind::submitJob)
    if (auto faults = request.job.validate(); !faults.empty())
      return respondWhenCommitted(
                 record,
                 ApiResponse::fromError(CoreError{CoreError::Kind::invalid, std::move(faults)}),
                 false),
             false;
  return true;
}

// An operator's word that a learner may take a member's place. Identities are never used again, so
// that a word which was taken stays known by whom it named, also once that one leads or is gone.
void Controller::handleReplacement(PendingRequest& record) {
  const ControllerId id{record.request.targetId};
  const Membership& members = raft.membership();
  const auto& replaced = speculative().replacedControllers();
  const bool isMember = std::any_of(members.begin(), members.end(),
                                    [&](const Member& member) { return member.id == id; });
  const bool wasReplaced = std::find(replaced.begin(), replaced.end(), id) != replaced.end();
  const auto replacing = ApiResponse::of(202, {{"replacing", json(id.value)}});
  if (speculative().controllersToReplace().count(id) || (wasReplaced && !isMember))
    return respondWhenCommitted(record, replacing, false);
  if (!isMember)
    return respondWhenCommitted(record, ApiResponse::error(404, "missing", "no member " + id.value),
                                false);
  if (id == raft.self().id)
    return respondWhenCommitted(
        record,
        ApiResponse::error(409, "conflict", "it leads; stop it first so that leadership moves"),
        false);
  append(ControllerReplacementRequested{id, false});
  respondWhenCommitted(record, replacing, true);
}

void Controller::handleRequest(PendingRequest& record) {
  if (record.request.viaIngress() && !resolveIngressRoute(record))
    return;
  const ApiRequest& request = record.request;
  switch (request.kind) {
    case RequestKind::submitJob:
      return handleSubmit(record);
    case RequestKind::cancelJob:
      return handleCancel(record);
    case RequestKind::applyConfig:
      return handleConfig(record);
    case RequestKind::syncWorker:
      return handleSync(record);
    case RequestKind::workerShutdown:
    case RequestKind::drainWorker:
    case RequestKind::undrainWorker:
    case RequestKind::removeWorker:
      return handleWorkerOrder(record);
    case RequestKind::showJob: {
      auto found = speculative().jobs().find(JobId{request.targetId});
      if (found == speculative().jobs().end())
        return respondWhenCommitted(
            record, ApiResponse::error(404, "missing", "no job " + request.targetId), false);
      return respondWhenCommitted(record, ApiResponse::of(200, showJob(found->second)), false);
    }
    case RequestKind::showPhase:
      return respondWhenCommitted(record, showJobPhase(JobId{request.targetId}), false);
    case RequestKind::countOpenJobs: {
      ApiResponse answer;
      auto found = speculative().openJobsByQueue().find(request.job.queue);
      answer.openJobCount = found == speculative().openJobsByQueue().end() ? 0 : found->second;
      return respondWhenCommitted(record, std::move(answer), false);
    }
    case RequestKind::readConfig: {
      if (!speculative().config().version.value)
        return respondWhenCommitted(
            record, ApiResponse::error(404, "missing", "there is no config yet"), false);
      ApiResponse answer;
      answer.body = speculative().config().text;
      return respondWhenCommitted(record, std::move(answer), false);
    }
    case RequestKind::listJobs:
      return respondWhenCommitted(record, ApiResponse::of(200, listJobs(request)), false);
    case RequestKind::showConfig: {
      picojson::object shown{{"version", json(speculative().config().version.value)}};
      picojson::value config;
      if (!speculative().config().text.empty() &&
          picojson::parse(config, speculative().config().text).empty())
        shown["config"] = config;
      return respondWhenCommitted(record, ApiResponse::of(200, shown), false);
    }
    case RequestKind::listWorkers:
      return respondWhenCommitted(record, ApiResponse::of(200, showWorkers()), false);
    case RequestKind::showCluster:
      return respondWhenCommitted(record, ApiResponse::of(200, showCluster()), false);
    case RequestKind::showPlan:
      return respondWhenCommitted(record, ApiResponse::of(200, showPlan()), false);
    case RequestKind::showCounters:
      return respondWhenCommitted(record, ApiResponse::of(200, showCounters()), false);
    case RequestKind::replaceController:
      return handleReplacement(record);
    case RequestKind::exportState: {
      picojson::array jobs;
      for (const auto& [id, job] : speculative().jobs())
        jobs.push_back(json(showJob(job)));
      return respondWhenCommitted(
          record,
          ApiResponse::of(
              200, {{"jobs", json(jobs)}, {"cluster_time_ms", json(clusterNow().milliseconds)}}),
          false);
    }
  }
}

}  // namespace aniseline
