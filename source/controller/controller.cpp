// The control plane's core: one step, the log it follows, its role, and how requests reach their
// handlers. docs/design.md 3, 8.
#include "controller/controller.hpp"

namespace aniseline {

Controller::Controller(Member self, ControllerOptions options, std::uint64_t seed,
                       const std::vector<WriteAheadRecord>& restored, MonotonicTime now)
    : options(options), raft(std::move(self), options.raft, seed, restored, now), now(now) {
  if (raft.snapshotIndex().value > 0)
    restoreSnapshot(raft.snapshot());
}

ClusterTime Controller::clusterNow() const {
  return clusterBase + (now - clusterBaseAt);
}

// Truth is the log: nothing is changed but by a record of it. docs/design.md 3.2.
LogIndex Controller::append(Event event) {
  LogRecord record{std::max(clusterNow(), speculative().now), std::move(event)};
  std::string payload = pack(record);
  const std::size_t bytes = payload.size();
  const LogIndex index = raft.propose(std::move(payload), now);
  speculative().apply(record);
  planWanted = true;
  expect(record.event);
  proposals.push_back({index, raft.term(), std::move(record), bytes});
  proposalBytes += bytes;
  return index;
}

// What may bring a lapse, a leaving's end or an occurrence nearer than was reckoned.
void Controller::expect(const Event& event) {
  const auto& kind = event.type();
  if (kind == typeid(WorkerRegistered) || kind == typeid(WorkerLeaves) ||
      kind == typeid(WorkerLeaveOver) || kind == typeid(WorkerReturned) ||
      kind == typeid(WorkerSilent) || kind == typeid(WorkerGone))
    workersChanged = true;
  const auto* allowed = boost::get<JobAccepted>(&event);
  if (kind == typeid(OccurrenceFired) || (allowed && allowed->submission.timed()))
    nextFiring = ClusterTime{};
}

void Controller::followLog() {
  if (raft.takeInstalled()) {
    restoreSnapshot(raft.snapshot());
    emitLogEvent("view installed", {{"index", json(appliedIndex.value)}});
  }
  while (appliedIndex < raft.commitIndex()) {
    appliedIndex = appliedIndex.next();
    const LogEntry& entry = raft.entry(appliedIndex);
    if (entry.members)
      continue;
    if (applyCommitted(entry))
      snapshotWork.records.push_back(entry.payload);
    else {
      unreadable = true;
      emitLogEvent("unreadable record", {{"index", json(appliedIndex.value)}});
    }
  }
}

void Controller::dropProposal() {
  proposalBytes -= proposals.front().bytes;
  proposals.pop_front();
}

void Controller::forgetProposals() {
  proposals.clear();
  proposalBytes = 0;
}

bool Controller::applyCommitted(const LogEntry& entry) {
  while (!proposals.empty() && proposals.front().index < appliedIndex)
    dropProposal();
  if (!proposals.empty() && proposals.front().index == appliedIndex &&
      proposals.front().term == entry.term) {
    committedState.apply(proposals.front().record);
    dropProposal();
    return true;
  }
  auto record = unpack<LogRecord>(entry.payload);
  if (record)
    committedState.apply(record.value());
  return record.has_value();
}

void Controller::followRole() {
  if (raft.leads() && (!speculativeState || ledTerm != raft.term())) {
    ledTerm = raft.term();
    speculativeState = committedState;
    for (LogIndex index = appliedIndex.next(); index <= raft.last(); index = index.next()) {
      const LogEntry& entry = raft.entry(index);
      if (entry.members)
        continue;
      if (auto record = unpack<LogRecord>(entry.payload))
        speculative().apply(record.value());
      else
        unreadable = true;
    }
    leaderSince = now;
    clusterBase = speculative().now;
    clusterBaseAt = now;
    contacts.clear();
    ordersSent.clear();
    unresponsive.clear();
    reported.clear();
    refusedChange.clear();
    backlog = Backlog{};
    paces.clear();
    urgentDemand.clear();
    shortenedTo = ClusterTime{};
    workersChanged = true;
    nextFiring = ClusterTime{};
    forgetProposals();
    committedState.addressed.clear();
    for (const auto& [worker, places] : polls)
      pollsToLook.insert(places.begin(), places.end());
    append(LeaderStarted{});
    emitLogEvent("leads", {{"term", json(ledTerm.value)}, {"last", json(raft.last().value)}});
  } else if (!raft.leads() && speculativeState) {
    speculativeState.reset();
    wasServing = false;
    emitLogEvent("leads no more", {{"term", json(raft.term().value)}});
    for (const auto& [place, record] : requests)
      answer(record,
             record.logged && record.request.kind != RequestKind::sync
                 ? ApiResponse::unknown("the leader changed while this was under way; ask again")
                 : notLeader());
    forgetProposals();
    requests.clear();
    requestBytes = 0;
    taken.clear();
    unanswered.clear();
    polls.clear();
    pollsToLook.clear();
    pollsDue.clear();
  }
}

void Controller::take(RequestNumber number, ApiRequest request, MonotonicTime at) {
  PendingRequest record;
  record.number = number;
  record.request = std::move(request);
  record.deadline = at + options.answerWithin;
  if (!speculativeState || !raft.leads())
    return answer(record, notLeader());
  if (!hasRoomFor(record.request))
    return answer(record, ApiResponse::error(429, "overloaded", "too many requests are under way",
                                             Duration{1000}));
  if (!hasMemoryFor(record.request))
    return answer(record, ApiResponse::notTaken("too much is under way; ask again"));
  record.bytes = textBytes(record.request);
  requestBytes += record.bytes;
  record.place = ++lastPlace;
  taken.push_back(record.place);
  unanswered.insert(record.place);
  requests.emplace(record.place, std::move(record));
}

void Controller::step(MonotonicTime at, WallTime wall) {
  if (unreadable)
    return;
  now = std::max(now, at);
  raft.tick(now, wall);
  followLog();
  followRole();
  if (speculativeState && raft.serves()) {
    if (!wasServing) {
      wasServing = true;
      emitLogEvent("serves", {{"term", json(raft.term().value)}});
    }
    if (auto wallNow = raft.agreedWall(now);
        wallNow && wallNow->milliseconds > clusterNow().milliseconds) {
      clusterBase = ClusterTime{wallNow->milliseconds};
      clusterBaseAt = now;
    }
    admitRequests();
    expireLeases();
    fireTimetables();
    expireJobs();
    failHopelessJobs();
    planStarts();
    reviewMembership();
    raft.tick(now, wall);  // what was proposed leaves at once
    followLog();
    followRole();
  }
  if (speculativeState) {
    answerPolls();
    answerDecided();
  }
  requestSnapshot();
}

void Controller::admitRequests() {
  for (auto place : std::exchange(taken, {}))
    if (auto found = requests.find(place); found != requests.end()) {
      handle(found->second);
      releaseTexts(found->second);
    }
}

// docs/design.md 6.6: the leader's config is the newest there is, so what comes by an entrance is
// never judged by an older one.
bool Controller::enter(PendingRequest& record) {
  ApiRequest& request = record.request;
  const ClusterConfig& config = speculative().config;
  if (!config.version.value)
    return decide(record, ApiResponse::notTaken("there is no config yet"), false), false;
  const auto* entrance = config.entrance(request.host, request.path);
  if (!entrance)
    return decide(record, ApiResponse::error(404, "no_queue", "no queue is entered there"), false),
           false;
  request.id = request.path.substr(entrance->prefix.size());
  request.job.queue = entrance->queue;
  request.job.id = JobId{request.id};
  if (request.kind == RequestKind::showPhase && request.id.empty())
    request.kind = RequestKind::countWaiting;
  if (request.kind == RequestKind::submitJob)
    if (auto faults = request.job.faults(); !faults.empty())
      return decide(record,
                    ApiResponse::from(CoreError{CoreError::Kind::invalid, std::move(faults)}),
                    false),
             false;
  return true;
}

// An operator's word that a learner may take a member's place. Identities are never used again, so
// that a word which was taken stays known by whom it named, also once that one leads or is gone.
void Controller::handleReplacement(PendingRequest& record) {
  const ControllerId id{record.request.id};
  const Members& members = raft.members();
  const auto& replaced = speculative().replaced;
  const bool isMember = std::any_of(members.begin(), members.end(),
                                    [&](const Member& member) { return member.id == id; });
  const bool wasReplaced = std::find(replaced.begin(), replaced.end(), id) != replaced.end();
  const auto replacing = ApiResponse::of(202, {{"replacing", json(id.value)}});
  if (speculative().toReplace.count(id) || (wasReplaced && !isMember))
    return decide(record, replacing, false);
  if (!isMember)
    return decide(record, ApiResponse::error(404, "missing", "no member " + id.value), false);
  if (id == raft.self().id)
    return decide(
        record,
        ApiResponse::error(409, "conflict", "it leads; stop it first so that leadership moves"),
        false);
  append(ControllerReplacementRequested{id, false});
  decide(record, replacing, true);
}

void Controller::handle(PendingRequest& record) {
  if (record.request.byEntrance() && !enter(record))
    return;
  const ApiRequest& request = record.request;
  switch (request.kind) {
    case RequestKind::submitJob:
      return handleSubmit(record);
    case RequestKind::cancelJob:
      return handleCancel(record);
    case RequestKind::applyConfig:
      return handleConfig(record);
    case RequestKind::sync:
      return handleSync(record);
    case RequestKind::leave:
    case RequestKind::drain:
    case RequestKind::undrain:
    case RequestKind::declareGone:
      return handleWorkerOrder(record);
    case RequestKind::showJob: {
      auto found = speculative().jobs.find(JobId{request.id});
      if (found == speculative().jobs.end())
        return decide(record, ApiResponse::error(404, "missing", "no job " + request.id), false);
      return decide(record, ApiResponse::of(200, showJob(found->second)), false);
    }
    case RequestKind::showPhase:
      return decide(record, showPhase(JobId{request.id}), false);
    case RequestKind::countWaiting: {
      ApiResponse answer;
      auto found = speculative().openByQueue.find(request.job.queue);
      answer.number = found == speculative().openByQueue.end() ? 0 : found->second;
      return decide(record, std::move(answer), false);
    }
    case RequestKind::readConfig: {
      if (!speculative().config.version.value)
        return decide(record, ApiResponse::error(404, "missing", "there is no config yet"), false);
      ApiResponse answer;
      answer.body = speculative().config.text;
      return decide(record, std::move(answer), false);
    }
    case RequestKind::listJobs:
      return decide(record, ApiResponse::of(200, listJobs(request)), false);
    case RequestKind::showConfig: {
      picojson::object shown{{"version", json(speculative().config.version.value)}};
      picojson::value config;
      if (!speculative().config.text.empty() &&
          picojson::parse(config, speculative().config.text).empty())
        shown["config"] = config;
      return decide(record, ApiResponse::of(200, shown), false);
    }
    case RequestKind::listWorkers:
      return decide(record, ApiResponse::of(200, showWorkers()), false);
    case RequestKind::showCluster:
      return decide(record, ApiResponse::of(200, showCluster()), false);
    case RequestKind::showPlan:
      return decide(record, ApiResponse::of(200, showPlan()), false);
    case RequestKind::showCounters:
      return decide(record, ApiResponse::of(200, showCounters()), false);
    case RequestKind::replaceController:
      return handleReplacement(record);
    case RequestKind::exportState: {
      picojson::array jobs;
      for (const auto& [id, job] : speculative().jobs)
        jobs.push_back(json(showJob(job)));
      return decide(record,
                    ApiResponse::of(200, {{"jobs", json(jobs)},
                                          {"cluster_time_ms", json(clusterNow().milliseconds)}}),
                    false);
    }
  }
}

}  // namespace aniseline
