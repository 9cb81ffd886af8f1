// The steps of a controller, its changes of role, and the periodic work of a serving leader.
// docs/design.md 3, 8.
#include "controller/controller.hpp"
#include "controller/read_views.hpp"

namespace aniseline {

namespace {

constexpr Duration expiryCheckInterval{1000};
constexpr Duration scarceExpiryCheckInterval{100};  // while memory for jobs is scarce
// Limits the log volume, because a client may send a revoked key as often as it likes.
constexpr Duration rejectedKeysReportInterval{1000};
constexpr Duration growthReportInterval{1000};
constexpr Duration foreignClusterReportInterval{1000};

// Reports whether an event can make a lease or a drain end earlier than the deadlines computed so
// far.
bool affectsWorkerDeadlines(const Event& event) {
  const auto& type = event.type();
  return type == typeid(WorkerRegistered) || type == typeid(WorkerDrainStarted) ||
         type == typeid(WorkerDrainDeadlinePassed) || type == typeid(WorkerReconnected) ||
         type == typeid(WorkerUnreachable) || type == typeid(WorkerRemoved);
}

// Reports whether an event can make a timetable occurrence due earlier than the time computed so
// far.
bool affectsTimetables(const Event& event) {
  const auto* accepted = boost::get<JobAccepted>(&event);
  return event.type() == typeid(OccurrenceFired) ||
         (accepted && accepted->submission.hasTimetable());
}

}  // namespace

Controller::Controller(Member self, const ControllerOptions& options, std::uint64_t seed,
                       const std::vector<WriteAheadRecord>& restored, MonotonicTime now)
    : options(options),
      raft(std::move(self), options.raft, seed, restored, now),
      now(now),
      stateMachine(raft, logEvent),
      syncResponder(this->options, gateways),
      leases(this->options),
      membership(raft, this->options, logEvent),
      planning(leases, logEvent, options.maxPassedOverTime, options.policies),
      memory(options.maxJobBytes),
      admission(options.policies, memory),
      openJobs(logEvent),
      jobLatency(logEvent),
      dispatchLatency(logEvent) {}

void Controller::step(MonotonicTime at, WallTime wall) {
  if (hasUnreadableState())
    return;
  now = std::max(now, at);
  followRaft(wall);
  if (isLeading() && raft.canServe()) {
    startServing();
    advanceClock();
    handleQueuedRequests();
    expireLeases();
    fireTimetables();
    removeExpiredJobs();
    failUnschedulableJobs();
    runPlanner();
    reviewMembership();
    reportRejectedKeys();
    reportLimitedGrowth();
    dispatchLatency.report(now);
    followRaft(wall);  // sends out the new proposals in this same step
  }
  if (isLeading()) {
    respondToPolls();
    sendCommittedResponses();
  }
  stateMachine.requestSnapshotIfDue(options);
}

void Controller::followRaft(WallTime wall) {
  raft.tick(now, wall);
  const auto onCommit = [this](Duration latency) {
    dispatchLatency.recordCommit(latency);
  };
  if (stateMachine.applyCommittedEntries(now, onCommit))
    clock.observeRecord(committed().now(), now);
  onRoleChange();
  reportForeignCluster();
}

void Controller::onRoleChange() {
  const bool leads = raft.isLeader();
  if (leads && (!isLeading() || stateMachine.leadershipTerm() != raft.term()))
    startLeading();
  else if (!leads && isLeading())
    stopLeading();
}

// Resets the leader's own knowledge, which is not replicated.
void Controller::startLeading() {
  stateMachine.startLeading();
  clock.startLeading(speculative().now(), now);
  timetableClock.restart(now);
  leases.restart(now);
  membership.restart(now);
  planning.restart();
  admission.restart();
  retention.restart();
  jobLatency.clear();
  dispatchLatency.clear();
  timetables.invalidate();
  syncResponder.clear();
  requests.markAllPolls();
  append(
      LeaderStarted{isAbsent(raft.cluster()) ? ClusterId{raft.self().id.value} : raft.cluster()});
  logEvent(log_events::LeadershipStarted{raft.term(), raft.lastIndex()});
}

void Controller::stopLeading() {
  stateMachine.stopLeading();
  isServing = false;
  logEvent(log_events::LeadershipEnded{raft.term()});
  for (const auto& [sequence, pending] : requests.all()) {
    const bool outcomeUnknown =
        pending.appendedToLog && pending.request.kind != RequestKind::syncWorker;
    sendResponse(pending.number, outcomeUnknown
                                     ? ApiResponse::outcomeUnknown(
                                           "the leader changed while this was under way; ask again")
                                     : notLeaderResponse());
  }
  requests.clear();
}

void Controller::startServing() {
  if (isServing)
    return;
  isServing = true;
  logEvent(log_events::ServingStarted{raft.term()});
}

void Controller::advanceClock() {
  if (const auto agreed = raft.medianWallTime(now))
    clock.follow(*agreed, now);
}

void Controller::append(Event event) {
  if (options.explainLateJobs)
    jobLatency.recordResults(speculative(), event, clusterNow());
  dispatchLatency.recordEvent(speculative(), event, clusterNow());
  const Event& appended = stateMachine.append(std::move(event), clusterNow(), now);
  if (options.explainLateJobs)
    jobLatency.reportEnded(speculative());
  planning.requestPlan();
  if (affectsWorkerDeadlines(appended))
    leases.invalidateDeadlines();
  if (affectsTimetables(appended))
    timetables.invalidate();
}

void Controller::expireLeases() {
  for (auto& event : leases.expire(speculative(), now, clusterNow())) {
    const auto* unreachable = boost::get<WorkerUnreachable>(&event);
    if (unreachable &&
        speculative().workers().at(unreachable->worker).state != WorkerState::unreachable)
      logEvent(log_events::WorkerUnreachable{unreachable->worker});
    append(std::move(event));
  }
}

void Controller::fireTimetables() {
  // Timetables refer to the calendar, so nothing is due while the calendar time is unknown.
  const auto agreed = raft.medianWallTime(now);
  if (!agreed)
    return;
  const ClusterTime calendarNow = timetableClock.at(clusterNow(), *agreed, now);
  if (!timetables.isDue(calendarNow))
    return;
  for (auto& id : timetables.dueJobs(speculative(), calendarNow)) {
    if (memory.admitsOccurrence(speculative().jobs().at(id), speculative()))
      append(OccurrenceFired{std::move(id)});
    else
      timetables.defer(id, calendarNow);
  }
}

void Controller::removeExpiredJobs() {
  if (now < nextExpiryCheck)
    return;
  const bool memoryIsScarce = memory.isScarce(speculative());
  nextExpiryCheck = now + (memoryIsScarce ? scarceExpiryCheckInterval : expiryCheckInterval);
  if (auto expired = retention.collect(speculative(), clusterNow(), memoryIsScarce))
    append(std::move(*expired));
  gateways.removeStale(now);
}

void Controller::failUnschedulableJobs() {
  for (auto& failed : openJobs.check(speculative(), clusterNow(), now))
    append(std::move(failed));
}

void Controller::runPlanner() {
  auto plan = planning.run(speculative(), clusterNow(), now);
  if (!plan)
    return;
  append(std::move(*plan));
  planning.planAppended();
}

void Controller::reviewMembership() {
  if (!raft.membershipCommitted())
    return;
  for (const auto& id : membership.completedReplacements(speculative()))
    append(ControllerReplacementRequested{id, true});
  membership.review(speculative(), now);
}

void Controller::reportRejectedKeys() {
  if (rejectedKeys == 0 || now < nextKeyReport)
    return;
  nextKeyReport = now + rejectedKeysReportInterval;
  logEvent(
      log_events::ApiKeysRejected{speculative().config().version, std::exchange(rejectedKeys, 0)});
}

void Controller::reportLimitedGrowth() {
  if (now < nextGrowthReport)
    return;
  nextGrowthReport = now + growthReportInterval;
  const auto refusals = memory.takeRefusals();
  if (refusals.any())
    logEvent(log_events::StateGrowthLimited{
        refusals.rejectedJobs, refusals.deferredOccurrences, refusals.rejectedCancels,
        speculative().estimatedJobBytes(), options.maxJobBytes});
}

void Controller::reportForeignCluster() {
  if (now < nextForeignClusterReport)
    return;
  const auto refused = raft.takeForeignSender();
  if (!refused)
    return;
  nextForeignClusterReport = now + foreignClusterReportInterval;
  logEvent(log_events::ForeignClusterRefused{raft.cluster(), refused->cluster, refused->id});
}

void Controller::onSnapshotPacked(PackedSnapshot snapshot) {
  if (stateMachine.snapshots().finishPacking())
    raft.compact(snapshot.index, std::move(snapshot.state));
}

LeaderRoute Controller::route(MonotonicTime at) const {
  return routeView(raft, committed(), gateways, at);
}

}  // namespace aniseline
