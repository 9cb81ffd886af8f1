#include "agent/node_agent.hpp"

namespace aniseline {

namespace {

// Between polls while it is uncertain what became of a run and no result waits to be confirmed.
constexpr Duration shortPollInterval{20};
// A poll after an unanswered call waits this long: the worker may be overloaded.
constexpr Duration unansweredPollInterval{250};
// Polls that repeat unconfirmed results are not made more often.
constexpr Duration minUnconfirmedPollInterval{500};
// A worker with nothing left to run is told after this time that its last results are final. Work
// that comes meanwhile brings a poll of its own.
constexpr Duration idleConfirmationDelay{200};
// What a poll's reply may take beyond the time that the worker may wait for a result.
constexpr Duration pollReplyTimeout{400};
// The host wakes up the agent no sooner than this, and no later than that.
constexpr Duration minWakeUpDelay{5};
constexpr Duration maxWakeUpDelay{60'000};
// When a poll may be due soon and no message need come before it.
constexpr Duration pollWakeUpInterval{25};
// A worker that the leader declared gone is used again after its longest lease, with a margin for a
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

// Nothing of the former instance runs on, so of its state only the fencing term counts for the
// next.
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

// Successes that were not confirmed when the lease expired are void. The worker's clock may be
// slow: nothing is called void before the lease has surely expired. docs/design.md 5.5, 5.8.
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
  results.confirm(report, response.finalResultCount);
  // Orders under a lease that is over are not followed. docs/design.md 5.3.
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
    return;  // it is over
  switch (order.kind) {
    case OrderKind::start:
    case OrderKind::stage:
      return runs.start(runId, order, now);
    case OrderKind::launch:
      // A gang's part is staged here and not at the worker, which knows starts only: one that an
      // earlier process of this agent has staged was never started. docs/design.md 7.3.
      if (!known)
        return recordResult(0, {runId, AttemptOutcome::neverStarted, ""});
      return runs.launch(runId, order, now);
    case OrderKind::stop:
      return runs.stop(runId, order, now);
    case OrderKind::suspend:
    case OrderKind::resume:
      return;  // workers that are called can't suspend a run
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
        // Each call may grant a later deadline, so this is asked anew for each.
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
    recordResult(0, std::move(result));
}

bool NodeAgent::startsBlocked(MonotonicTime now) const {
  return polls.leaseExpired() || contact.startsBlocked() || orders.hasGap() ||
         contact.unresponsive(now) || !lease.leaderLeaseValid(now) || !lease.clockKnown() ||
         mustLetLeaseExpire(now);
}

// While the lease may have expired nothing renews it if there are unconfirmed results: they may be
// void at the worker, and are to be found so here. docs/design.md 5.8.
bool NodeAgent::mustLetLeaseExpire(MonotonicTime now) const {
  return lease.mayHaveExpired(now) && !results.empty();
}

WorkerCall NodeAgent::makeCall(WorkerCall::Kind kind, MonotonicTime now) {
  WorkerCall call;
  call.kind = kind;
  call.callId = nextCallId++;
  call.workerInstance = workerInstance();
  call.fencingTerm = term;
  // A stop extends no lease. Nor does any call while the leader may take the worker for
  // unresponsive, so that the remaining lease which was reported stays true.
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

// A poll that is to show something that is known to be there, or whether the worker answers at all,
// waits for no result.
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

// Polls that follow what runs, and keep the worker's lease up.
bool NodeAgent::routinePollDue(MonotonicTime now) const {
  const Duration sinceLast = polls.sinceLast(now);
  if (contact.lastCallUnanswered() && sinceLast < unansweredPollInterval)
    return false;
  if (!contact.lastCallUnanswered() && !runs.anyRunning() && !polls.moreResults())
    return idlePollDue(sinceLast);
  // While results wait to be confirmed a poll would only repeat them; one is due all the same to
  // renew the lease.
  return !results.hasWorkerResults() ||
         sinceLast >= std::max(lease.renewalInterval(), minUnconfirmedPollInterval);
}

// Nothing runs at the worker. It is polled when it has to be told that its last results are final,
// and, while it drains, until it replies no more.
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
  // A poll that was given up says nothing: a newer one says it, or has said it.
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
        {result.runId, isVoid ? AttemptOutcome::stopped : result.outcome, result.checkpoint});
  }
  polls.onReplyHandled(call);
  // A list that leaves results out proves no absence.
  if (!reply.complete)
    return;
  for (auto& result : runs.resolveUnlisted(listedRuns, call.callId))
    recordResult(0, std::move(result));
}

void NodeAgent::recordResult(std::uint64_t sequenceNumber, TaskRunResult result) {
  runs.erase(result.runId);
  results.add(sequenceNumber, std::move(result));
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
