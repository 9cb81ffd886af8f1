// Decides which calls a worker needs, when it is polled, and what its replies mean for the leader.
#include "agent/node_agent.hpp"

namespace aniseline {

namespace {

// Interval between polls while the outcome of a run is uncertain and no result awaits confirmation.
constexpr Duration shortPollInterval{20};
// The delay before the poll that follows an unanswered call: the worker may be overloaded.
constexpr Duration unansweredPollInterval{250};
// The minimum interval between polls that only return unconfirmed results again.
constexpr Duration minUnconfirmedPollInterval{500};
// An idle worker is told after this delay that its last results are final. If new work arrives in
// the meantime, the poll for that work carries the confirmation.
constexpr Duration idleConfirmationDelay{200};
// The time allowed for a poll's reply beyond the time that the worker may wait for a result.
constexpr Duration pollReplyTimeout{400};
// Bounds on the delay until the host wakes up the agent.
constexpr Duration minWakeUpDelay{5};
constexpr Duration maxWakeUpDelay{60'000};
// The wake-up delay when a poll may become due without a message arriving first.
constexpr Duration pollWakeUpInterval{25};
// A worker that the leader declared gone is used again after its longest lease, plus a margin for a
// slow clock.
constexpr std::int64_t retirementPercent = 110;
constexpr Duration retirementMargin{500};

}  // namespace

NodeAgent::NodeAgent(NodeAgentOptions options)
    : options(options), instances(options), lease(options), contact(options), runs(options) {}

bool NodeAgent::onRegistration(const WorkerRegistration& incoming, MonotonicTime now) {
  if (instances.isFormer(incoming.workerInstance))
    return false;
  if (!instances.known()) {
    adoptInstance(incoming, false, now);
  } else if (incoming.workerInstance != workerInstance()) {
    instances.considerCandidate(incoming, now);
  } else if (instances.update(incoming)) {
    contact.noteContact(now);
    observeWorkerClock(incoming.clockReading, WorkerLease::ClockSource::registration, now);
  }
  return true;
}

// No work of the former instance continues, so the next instance inherits only the fencing term
// from its state.
void NodeAgent::adoptInstance(const WorkerRegistration& incoming, bool confirmed,
                              MonotonicTime now) {
  NodeAgent next(options);
  next.instances = std::move(instances).withCurrent(incoming, confirmed);
  next.term = term;
  *this = std::move(next);
  contact.noteContact(now);
  observeWorkerClock(incoming.clockReading, WorkerLease::ClockSource::registration, now);
}

bool NodeAgent::onDrainNotice(const WorkerId& instance, Duration drainTimeout, MonotonicTime now) {
  const auto state = instances.onDrainNotice(instance, drainTimeout);
  if (state == InstanceTracker::InstanceState::current)
    contact.noteContact(now);
  return state != InstanceTracker::InstanceState::unknown;
}

void NodeAgent::observeWorkerClock(const std::optional<WorkerTime>& reading,
                                   WorkerLease::ClockSource source, MonotonicTime now) {
  if (lease.observeClock(reading, source, now))
    recordLeaseExpiry(now);
}

// Successes that were unconfirmed when the lease expired are void. The worker's clock may be slow,
// so no success is voided before the lease has certainly expired. docs/design.md 5.5, 5.8.
void NodeAgent::recordLeaseExpiry(MonotonicTime now) {
  if (!lease.recordExpiry(now) || (runs.empty() && results.empty()))
    return;
  polls.noteLeaseExpired();
  results.voidSuccesses();
}

SyncReport NodeAgent::makeSyncReport(MonotonicTime now) {
  recordLeaseExpiry(now);
  const WorkerRegistration& registration = instances.current();
  SyncReport report;
  report.id = registration.workerInstance;
  report.incarnation = instances.incarnation();
  report.capacity = registration.capacity;
  report.wantsPackedResponse = true;
  report.lastReceivedOrder = orders.received();
  report.lastAppliedOrder = lastAppliedOrder();
  orders.noteReported(report.lastAppliedOrder, now);
  results.fillReport(report);
  report.reportedAt = now;
  report.unresponsive = contact.makeReport(now);
  if (report.unresponsive)
    report.remainingLease = lease.remaining(now);
  report.draining = registration.draining;
  report.drainTimeout = registration.drainTimeout;
  return report;
}

bool NodeAgent::hasUrgentReport(MonotonicTime now) const {
  if (!mayReport() || !instances.retirementOver(now))
    return false;
  if (instances.drainUnreported() || contact.reportOutdated(now) || results.hasUnreported())
    return true;
  return !orders.isReported(lastAppliedOrder()) && now >= orders.nextReportAt();
}

void NodeAgent::onSyncResponse(const SyncReport& report, const SyncResponse& response,
                               MonotonicTime sentAt, MonotonicTime now) {
  if (report.id != workerInstance() || report.incarnation != instances.incarnation() ||
      response.term < term)
    return;
  term = response.term;
  if (!report.unresponsive) {
    contact.onReportAcknowledged(report.reportedAt, now);
    orders.noteIssuedUpTo(response.ordersAfter);
    lease.extendLeaderLease(std::min(response.lease, options.maxWorkerLease), sentAt);
  }
  if (report.draining)
    instances.noteDrainReported();
  results.confirm(report, response.finalResultCount, now);
  // Orders under an expired lease are not followed. docs/design.md 5.3.
  if (lease.leaderLeaseValid(now))
    receiveOrders(response, now);
}

void NodeAgent::receiveOrders(const SyncResponse& response, MonotonicTime now) {
  const auto received = orders.receive(response);
  for (const Order* order : received.orders) {
    applyOrder(*order, now);
    if (received.firstResponse)
      runs.assumeMaybeStarted(TaskRunId::of(*order));
  }
}

void NodeAgent::applyOrder(const Order& order, MonotonicTime now) {
  const TaskRunId runId = TaskRunId::of(order);
  const bool known = runs.contains(runId);
  if (!known && results.contains(runId))
    return;  // the run has ended
  switch (order.kind) {
    case OrderKind::start:
    case OrderKind::stage:
      return runs.start(runId, order, now);
    case OrderKind::launch:
      // Members of a gang are staged at the agent and not at the worker, which only knows starts. A
      // run that an earlier process of this agent staged was therefore never started.
      // docs/design.md 7.3.
      if (!known)
        return recordResult(0, {runId, AttemptOutcome::neverStarted, ""}, now);
      return runs.launch(runId, order, now);
    case OrderKind::stop:
      return runs.stop(runId, order, now);
    case OrderKind::suspend:
    case OrderKind::resume:
      return;  // called workers cannot suspend a run
  }
}

void NodeAgent::onDeclaredGone(MonotonicTime now) {
  runs.clear();
  results.clear();
  orders.reset();
  lease.revokeLeaderLease();
  const std::int64_t longest = options.maxWorkerLease.milliseconds * retirementPercent / 100;
  instances.retireUntil(now + Duration{longest} + retirementMargin);
}

std::vector<WorkerCall> NodeAgent::takeCalls(MonotonicTime now) {
  std::vector<WorkerCall> calls;
  recordLeaseExpiry(now);
  instances.tick(now);
  if (auto probe = instances.takeCandidateProbe(now)) {
    probe->callId = nextCallId++;
    probe->fencingTerm = term;
    calls.push_back(std::move(*probe));
  }
  if (!instances.usable(now))
    return calls;
  addRunCalls(calls, now);
  if (pollDue(now) && !mustLetLeaseExpire(now))
    calls.push_back(makePoll(now));
  return calls;
}

void NodeAgent::addRunCalls(std::vector<WorkerCall>& calls, MonotonicTime now) {
  using NextStep = TrackedRun::NextStep;
  std::vector<TaskRunResult> neverStarted;
  runs.forEachCallable(now, [&](const TaskRunId& runId, TrackedRun& run) {
    switch (run.nextStep(instances.current().draining)) {
      case NextStep::none:
        return;
      case NextStep::start:
        // Each call may grant a later deadline, so this is checked for each call.
        if (!startsBlocked(now))
          calls.push_back(makeRunCall(WorkerCall::Kind::start, runId, run, now));
        return;
      case NextStep::stop:
        calls.push_back(makeRunCall(WorkerCall::Kind::stop, runId, run, now));
        return;
      case NextStep::reportNeverStarted:
        neverStarted.push_back({runId, run.outcomeWithoutRun(), ""});
        return;
    }
  });
  for (auto& result : neverStarted)
    recordResult(0, std::move(result), now);
}

bool NodeAgent::startsBlocked(MonotonicTime now) const {
  return polls.leaseExpired() || contact.startsBlocked() || orders.hasGap() ||
         contact.unresponsive(now) || !lease.leaderLeaseValid(now) || !lease.clockKnown() ||
         mustLetLeaseExpire(now);
}

// While the lease may have expired and there are unconfirmed results, no call renews it: the worker
// may have voided those results, and the agent must come to the same conclusion. docs/design.md
// 5.8.
bool NodeAgent::mustLetLeaseExpire(MonotonicTime now) const {
  return lease.mayHaveExpired(now) && !results.empty();
}

WorkerCall NodeAgent::makeCall(WorkerCall::Kind kind, MonotonicTime now) {
  WorkerCall call;
  call.kind = kind;
  call.callId = nextCallId++;
  call.workerInstance = workerInstance();
  call.fencingTerm = term;
  // A stop extends no lease. No call extends it either while the leader may consider the worker
  // unresponsive, so that the reported remaining lease stays correct.
  if (kind != WorkerCall::Kind::stop) {
    const bool keepLease = contact.unresponsive(now) || contact.startsBlocked();
    call.leaseDeadline = keepLease ? lease.granted() : lease.nextDeadline(now);
  }
  lease.grant(call.leaseDeadline);
  return call;
}

WorkerCall NodeAgent::makeRunCall(WorkerCall::Kind kind, const TaskRunId& runId, TrackedRun& run,
                                  MonotonicTime now) {
  WorkerCall call = makeCall(kind, now);
  call.runId = runId;
  if (kind == WorkerCall::Kind::start) {
    call.payload = run.order().payload;
    call.checkpoint = run.order().checkpoint;
    call.order = run.order();
  }
  runs.beginCall(run);
  return call;
}

WorkerCall NodeAgent::makePoll(MonotonicTime now) {
  WorkerCall call = makeCall(WorkerCall::Kind::poll, now);
  call.confirmedUpTo = results.confirmedUpTo();
  call.longPollTimeout = pollReturnsImmediately() ? Duration{0} : lease.longPollTimeout(now);
  call.timeout = call.longPollTimeout + pollReplyTimeout;
  if (!instances.confirmed())
    instances.consumeConfirmationProbe();
  call.callId = polls.begin(now);
  return call;
}

// A poll does not wait for a result if it checks whether the worker answers, or fetches information
// that already exists.
bool NodeAgent::pollReturnsImmediately() const {
  return !instances.confirmed() || !polls.everCompleted() || polls.leaseExpired() ||
         contact.lastCallUnanswered() || runs.anyUncertain() || results.hasWorkerResults() ||
         polls.moreResults() || (runs.empty() && confirmationDue());
}

bool NodeAgent::pollDue(MonotonicTime now) const {
  if (polls.inFlight())
    return false;
  const Duration sinceLast = polls.sinceLast(now);
  if (!instances.confirmed())
    return instances.confirmationProbeDue(sinceLast);
  if (term == Term{} || !lease.leaderLeaseValid(now))
    return false;
  if (!polls.everCompleted() || polls.leaseExpired())
    return true;
  if (runs.anyUncertain())
    return sinceLast >= (results.empty() ? shortPollInterval : options.uncertainPollInterval);
  return routinePollDue(now);
}

// Schedules the regular polls, which track running work and renew the worker's lease.
bool NodeAgent::routinePollDue(MonotonicTime now) const {
  const Duration sinceLast = polls.sinceLast(now);
  if (contact.lastCallUnanswered() && sinceLast < unansweredPollInterval)
    return false;
  if (!contact.lastCallUnanswered() && !runs.anyRunning() && !polls.moreResults())
    return idlePollDue(sinceLast);
  // While results await confirmation a poll would only return them again, but one is still needed
  // to renew the lease.
  return !results.hasWorkerResults() ||
         sinceLast >= std::max(lease.renewalInterval(), minUnconfirmedPollInterval);
}

// Nothing runs at the worker. It is polled to confirm its last results and, while it drains, until
// it stops replying.
bool NodeAgent::idlePollDue(Duration sinceLast) const {
  if (confirmationDue())
    return sinceLast >= idleConfirmationDelay;
  return instances.drainKnownToLeader() && sinceLast >= options.drainingPollInterval;
}

bool NodeAgent::confirmationDue() const {
  return results.confirmedUpTo() > polls.confirmedUpTo();
}

void NodeAgent::onWorkerReply(const WorkerCall& call, const WorkerReply& reply, MonotonicTime now) {
  if (call.workerInstance != workerInstance())
    return onCandidateReply(call, reply, now);
  const bool isPoll = call.kind == WorkerCall::Kind::poll;
  // The reply to an abandoned poll is ignored: a newer poll returns the same information or has
  // done so already.
  if (isPoll && !polls.finish(call))
    return;
  observeWorkerClock(reply.clockReading, WorkerLease::ClockSource::reply, now);
  instances.onCurrentReply(call, reply.status);
  if (reply.status == WorkerReply::Status::noResponse)
    contact.noteUnanswered();
  else
    contact.noteReply(now);
  if (!isPoll)
    runs.onReply(call, reply.status, now, polls.nextNumber());
  else if (reply.status == WorkerReply::Status::ok)
    onPollReply(call, reply, now);
}

void NodeAgent::onCandidateReply(const WorkerCall& call, const WorkerReply& reply,
                                 MonotonicTime now) {
  if (const auto confirmedInstance = instances.onCandidateReply(call, reply.status, now))
    adoptInstance(*confirmedInstance, true, now);
}

void NodeAgent::onPollReply(const WorkerCall& call, const WorkerReply& reply, MonotonicTime now) {
  polls.onReply(call, reply, now);
  std::set<TaskRunId> listedRuns;
  for (const auto& task : reply.runningTasks) {
    listedRuns.insert(task.runId);
    results.noteCheckpoint(task.runId, task.checkpoint);
    runs.onRunListed(task.runId);
  }
  for (const auto& result : reply.results) {
    listedRuns.insert(result.runId);
    if (!results.isNew(result.sequenceNumber))
      continue;
    const bool isVoid = polls.leaseExpired() && result.outcome == AttemptOutcome::succeeded;
    recordResult(
        result.sequenceNumber,
        {result.runId, isVoid ? AttemptOutcome::stopped : result.outcome, result.checkpoint}, now);
  }
  polls.onReplyHandled(call);
  // An incomplete list does not prove that a run is absent.
  if (!reply.complete)
    return;
  for (auto& result : runs.resolveUnlisted(listedRuns, call.callId))
    recordResult(0, std::move(result), now);
}

void NodeAgent::recordResult(std::uint64_t sequenceNumber, TaskRunResult result,
                             MonotonicTime now) {
  runs.erase(result.runId);
  results.add(sequenceNumber, std::move(result), now);
}

MonotonicTime NodeAgent::nextWakeUp(MonotonicTime now) const {
  const MonotonicTime soonest = now + minWakeUpDelay;
  MonotonicTime earliest = now + maxWakeUpDelay;
  const auto wakeUpAt = [&](std::optional<MonotonicTime> time) {
    if (time)
      earliest = std::min(earliest, std::max(*time, soonest));
  };
  wakeUpAt(instances.nextCandidateProbeAt());
  if (!instances.known() || instances.hasEnded())
    return earliest;
  wakeUpAt(contact.becomesUnresponsiveAt());
  wakeUpAt(runs.nextCallAt());
  if (!polls.inFlight() && (!runs.empty() || !polls.everCompleted() ||
                            contact.lastCallUnanswered() || confirmationDue()))
    wakeUpAt(now + pollWakeUpInterval);
  if (!orders.isReported(lastAppliedOrder()))
    wakeUpAt(orders.nextReportAt());
  return earliest;
}

}  // namespace aniseline
