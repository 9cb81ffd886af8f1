// Handlers of worker syncs and of operator commands for workers. docs/design.md 5.
#include "controller/controller.hpp"

namespace aniseline {

namespace {

bool isReplacedIncarnation(const Worker& worker, Incarnation incarnation) {
  const auto& retired = worker.retiredIncarnations;
  return std::find(retired.begin(), retired.end(), incarnation) != retired.end() ||
         (worker.state == WorkerState::removed && worker.incarnation == incarnation);
}

// Returns the event that carries out an operator's command for a worker, or nothing if the command
// would change nothing.
std::optional<Event> eventForWorkerCommand(const ApiRequest& command, const Worker& worker) {
  const WorkerState state = worker.state;
  switch (command.kind) {
    case RequestKind::workerShutdown:
      // An unreachable worker may reconnect; it must not be used in that case either.
      if (state == WorkerState::available || state == WorkerState::unreachable)
        return WorkerDrainStarted{worker.id, command.drainTimeout, false};
      return std::nullopt;
    case RequestKind::drainWorker:
      if (state != WorkerState::drained && state != WorkerState::removed)
        return WorkerDrainStarted{worker.id, command.drainTimeout, true};
      return std::nullopt;
    case RequestKind::undrainWorker:
      if (state == WorkerState::drained || state == WorkerState::draining)
        return WorkerReconnected{worker.id};
      return std::nullopt;
    default:
      if (state != WorkerState::removed)
        return WorkerRemoved{worker.id, "declared gone by an operator"};
      return std::nullopt;
  }
}

}  // namespace

void Controller::handleWorkerCommand(PendingRequest& pending) {
  const WorkerId id{pending.request.targetId};
  auto found = speculative().workers().find(id);
  if (found == speculative().workers().end())
    return respondWhenCommitted(pending,
                                ApiResponse::error(404, "missing", "no worker " + id.value));
  const Worker& worker = found->second;
  auto event = eventForWorkerCommand(pending.request, worker);
  const bool appends = event.has_value();
  if (appends)
    append(std::move(*event));
  respondWhenCommitted(
      pending,
      ApiResponse::of(200, {{"worker", json(id.value)}, {"state", json(name(worker.state))}}),
      appends);
}

void Controller::handleSync(PendingRequest& pending) {
  const SyncReport& report = pending.request.report;
  if (auto rejection = syncRejection(report))
    return respondWhenCommitted(pending, std::move(*rejection));
  if (leases.isSupersededByOtherInstance(report))
    return respondWhenCommitted(
        pending,
        ApiResponse::notApplied("a later instance on this host has already been reported"));
  const bool registered = registerWorker(report);
  const bool replacesPolls =
      !report.wantsPackedResponse || report.longPollTimeout.milliseconds != 0;
  if (replacesPolls)
    requests.endPollsOf(report.id, now);
  recordContact(report);
  recordDrainNotice(report);
  recordProgress(report);
  startPoll(pending, registered);
}

// Two processes with the same identifier would replace each other endlessly, so a second process is
// rejected while the first one is alive.
std::optional<ApiResponse> Controller::syncRejection(const SyncReport& report) {
  auto found = speculative().workers().find(report.id);
  if (found == speculative().workers().end())
    return std::nullopt;
  const Worker& known = found->second;
  if (isReplacedIncarnation(known, report.incarnation))
    return replacedIncarnationResponse();
  const bool idInUse = known.incarnation != report.incarnation &&
                       known.state != WorkerState::removed && leases.isAlive(report.id, now);
  if (!idInUse)
    return std::nullopt;
  logEvent(log_events::WorkerIdInUse{report.id});
  return ApiResponse::error(409, "conflict",
                            "worker id " + report.id.value +
                                " is in use by another live process; give each process its own id",
                            options.workerLivenessTimeout);
}

// Returns true if the worker, its incarnation or its capacity is new.
bool Controller::registerWorker(const SyncReport& report) {
  auto known = speculative().workers().find(report.id);
  if (known != speculative().workers().end() && known->second.incarnation == report.incarnation &&
      known->second.capacity == report.capacity)
    return false;
  append(WorkerRegistered{report.id, report.incarnation, report.capacity});
  return true;
}

void Controller::recordContact(const SyncReport& report) {
  const auto effect = leases.recordReport(report, now);
  if (effect.becameResponsive)
    planning.requestPlan();
  const Worker& worker = speculative().workers().at(report.id);
  if (worker.state == WorkerState::unreachable && !report.unresponsive && !effect.outOfOrder)
    append(WorkerReconnected{report.id});
}

void Controller::recordDrainNotice(const SyncReport& report) {
  const Worker& worker = speculative().workers().at(report.id);
  const bool isNewDrain =
      worker.state == WorkerState::available ||
      (worker.state == WorkerState::unreachable && worker.drainDeadline == ClusterTime{});
  if (!report.draining || !isNewDrain)
    return;
  append(WorkerDrainStarted{report.id, report.drainTimeout, false});
  logEvent(log_events::WorkerDraining{report.id});
}

// Logs the orders that the worker has carried out, its results and its checkpoints, unless they are
// already known.
void Controller::recordProgress(const SyncReport& report) {
  const ClusterState& state = speculative();
  const Worker& worker = state.workers().at(report.id);
  WorkerSynced synced{report.id, std::min(report.lastAppliedOrder, worker.lastIssuedOrder), {}};
  for (const auto& result : report.results) {
    auto attempt = state.attempts().find(result.attempt);
    if (attempt != state.attempts().end() && attempt->second.worker == report.id)
      synced.results.push_back(result);
  }
  for (const auto& result : report.runResults)
    if (auto number = state.findAttempt(report.id, result.runId); number.value)
      synced.results.push_back({number, result.outcome, result.checkpoint});
  for (const auto& checkpoint : report.checkpoints)
    if (auto number = state.findAttempt(report.id, checkpoint.runId); number.value)
      synced.checkpoints.emplace_back(number, checkpoint.checkpoint);
  planning.recordRuntimes(synced, state, clusterNow(), now);
  if (synced.lastAppliedOrder > worker.lastAppliedOrder || !synced.results.empty() ||
      !synced.checkpoints.empty())
    append(std::move(synced));
}

// Holds the sync open until orders arrive, for at most the time that it requested. A sync with new
// results is answered as soon as possible, because the worker waits for their confirmation.
void Controller::startPoll(PendingRequest& pending, bool respondAtOnce) {
  const SyncReport& report = pending.request.report;
  const bool hasNewData = respondAtOnce || !report.results.empty() || !report.runResults.empty() ||
                          (report.draining && !report.wantsPackedResponse);
  requests.startPoll(pending);
  pending.appendedToLog = false;
  pending.requiredCommitIndex = raft.lastIndex();
  pending.requiredRound = raft.startRound(now);
  pending.pollUntil =
      hasNewData ? now : now + std::min(report.longPollTimeout, options.maxPollDuration);
  pending.deadline = now + options.maxPollDuration + options.responseTimeout;
}

}  // namespace aniseline
