#include "agent/node_agent.hpp"

namespace aniseline {

namespace {
// So many lives that said that they leave, and were not heard of otherwise, are remembered.
constexpr std::size_t announcedAtMost = 16;
// Between unanswered looks for a life that is only known by its account.
constexpr Duration lookForLifeAgain{100};
// What an answer takes on its way at most, in reckoning how far the worker's clock may be.
constexpr Duration answerTakes{50};
}  // namespace

bool NodeAgent::onRegistration(const WorkerRegistration& given, MonotonicTime now) {
  if (formerInstances.count(given.workerInstance))
    return false;
  if (given.workerInstance == registration.workerInstance)
    updateRegistration(given, now);
  else if (registration.workerInstance.value.empty())
    adoptInstance(given, false, now);
  else
    considerCandidate(given, now);
  return true;
}

// Another life: nothing of the former one runs or will. docs/design.md 5.8.
void NodeAgent::adoptInstance(const WorkerRegistration& given, bool shown, MonotonicTime now) {
  NodeAgent next(options);
  next.formerInstances = std::move(formerInstances);
  if (!registration.workerInstance.value.empty())
    next.formerInstances.insert(registration.workerInstance);
  next.earlyDrainNotices = std::move(earlyDrainNotices);
  next.term = term;
  *this = std::move(next);
  registration = given;
  if (auto announced = earlyDrainNotices.find(given.workerInstance);
      announced != earlyDrainNotices.end()) {
    registration.drainTimeout = given.draining ? given.drainTimeout : announced->second;
    registration.draining = true;
    earlyDrainNotices.erase(announced);
  }
  instanceConfirmed = shown;
  probesLeft = options.maxInstanceProbes;
  lastContactAt = now;
  observeWorkerClock(given.clockReading, ClockSource::registration, now);
}

// A newer account of the life that is known. That it leaves is never taken back.
// docs/design.md 5.7.
void NodeAgent::updateRegistration(const WorkerRegistration& given, MonotonicTime now) {
  if (given.sequence && given.sequence <= registration.sequence)
    return;  // overtaken
  lastContactAt = now;
  probesLeft = options.maxInstanceProbes;
  const WorkerRegistration before = std::exchange(registration, given);
  if (before.draining && !given.draining) {
    registration.draining = true;
    registration.drainTimeout = before.drainTimeout;
  }
  if (!registration.clockReading)
    registration.clockReading = before.clockReading;
  retireIfDraining();
  observeWorkerClock(given.clockReading, ClockSource::registration, now);
}

void NodeAgent::considerCandidate(const WorkerRegistration& given, MonotonicTime now) {
  const bool isNew = !candidate || candidate->registration.workerInstance != given.workerInstance;
  if (isNew)
    candidate = CandidateInstance{given, 0, now, false};
  else if (!given.sequence || given.sequence > candidate->registration.sequence) {
    const bool leaving = candidate->registration.draining || given.draining;
    candidate->registration = given;
    candidate->registration.draining = leaving;
  }
  candidate->probesLeft = options.maxInstanceProbes;
}

std::optional<WorkerCall> NodeAgent::probeCandidate(MonotonicTime now) {
  if (!candidate || candidate->probeInFlight || !candidate->probesLeft ||
      now < candidate->nextProbeAt)
    return std::nullopt;
  candidate->probeInFlight = true;
  --candidate->probesLeft;
  WorkerCall call;
  call.kind = WorkerCall::Kind::poll;
  call.callId = nextCallId++;
  call.workerInstance = candidate->registration.workerInstance;
  call.fencingTerm = term;
  return call;
}

void NodeAgent::onCandidateReply(const WorkerCall& call, const WorkerReply& reply,
                                 MonotonicTime now) {
  if (!candidate || call.workerInstance != candidate->registration.workerInstance)
    return;
  candidate->probeInFlight = false;
  candidate->nextProbeAt = now + lookForLifeAgain;
  if (reply.status == WorkerReply::Status::instanceMismatch)
    candidate.reset();  // an account that came late, of a life that is over
  else if (reply.status == WorkerReply::Status::ok || reply.status == WorkerReply::Status::fenced)
    adoptInstance(WorkerRegistration(candidate->registration), true, now);
}

// What stands at the address is told by answers only: each names the life that it is meant for.
void NodeAgent::updateInstanceConfirmation(const WorkerCall& call, const WorkerReply& reply) {
  if (reply.status == WorkerReply::Status::instanceMismatch) {
    instanceConfirmed = false;
    probesLeft = 0;  // until the next account of this life
  } else if (call.kind == WorkerCall::Kind::poll && (reply.status == WorkerReply::Status::ok ||
                                                     reply.status == WorkerReply::Status::fenced))
    instanceConfirmed = true;
}

bool NodeAgent::onDrainNotice(const WorkerId& life, Duration within, MonotonicTime now) {
  if (formerInstances.count(life))
    return true;
  WorkerRegistration* known = nullptr;
  if (life == registration.workerInstance)
    known = &registration;
  else if (candidate && life == candidate->registration.workerInstance)
    known = &candidate->registration;
  if (!known) {
    if (earlyDrainNotices.size() >= announcedAtMost)
      earlyDrainNotices.erase(earlyDrainNotices.begin());
    earlyDrainNotices[life] = within;
    return false;
  }
  if (!known->draining) {
    known->draining = true;
    known->drainTimeout = within;
  }
  if (known != &registration) {
    candidate->probesLeft = options.maxInstanceProbes;
    return true;
  }
  lastContactAt = std::max(lastContactAt, now);
  retireIfDraining();
  return true;
}

// The leader holds this life for gone, and it is not reported anew when it leaves.
void NodeAgent::retireIfDraining() {
  instanceEnded = instanceEnded || (retired && registration.draining);
}

bool NodeAgent::drainAcknowledged(const WorkerId& life) const {
  if (formerInstances.count(life))
    return true;
  return life == registration.workerInstance &&
         (instanceEnded || (registration.draining && drainReported));
}

void NodeAgent::observeWorkerClock(const std::optional<WorkerTime>& told, ClockSource source,
                                   MonotonicTime now) {
  if (!told)
    return;
  // An account may be seconds old: it tells what the clock shows at least, never at most.
  if (source == ClockSource::reply && (!repliedClock || *told > *repliedClock)) {
    repliedClock = told;
    repliedClockAt = now;
  }
  if (workerClock && *told <= *workerClock)
    return;
  workerClock = told;
  workerClockAt = now;
  recordLeaseExpiry(now);
}

// What had ended when the hold ran out, and was not confirmed, is void. docs/design.md 5.5. Its
// clock may be slow: before the hold has surely run out nothing is called void, and while it may
// have nothing renews it. docs/design.md 5.8.
void NodeAgent::recordLeaseExpiry(MonotonicTime now) {
  if (!grantedDeadline || !workerClock || expiryRecorded ||
      earliestWorkerClock(now) < *grantedDeadline)
    return;
  expiryRecorded = true;
  if (runs.empty() && pendingResults.empty())
    return;
  leaseExpired = true;
  firstPollAfterExpiry = pollsBegun + 1;
  for (auto& ending : pendingResults)
    if (ending.result.outcome == AttemptOutcome::succeeded && ending.sequenceNumber)
      ending.result.outcome = AttemptOutcome::stopped;
}

// What a clock that may be slow surely shows by now; and whether a true one may show the end of the
// hold already.
WorkerTime NodeAgent::earliestWorkerClock(MonotonicTime now) const {
  return *workerClock +
         Duration{std::int64_t(double((now - workerClockAt).milliseconds) * options.minClockRate)};
}
bool NodeAgent::leaseMayHaveExpired(MonotonicTime now) const {
  if (!grantedDeadline || !workerClock || expiryRecorded)
    return false;
  return !repliedClock || *repliedClock + (now - repliedClockAt) + answerTakes > *grantedDeadline;
}

// The lease as a time on the worker's clock. Counted as if that clock were slow, it is never later
// than the lease.
std::optional<WorkerTime> NodeAgent::nextLeaseDeadline(MonotonicTime now) const {
  if (!workerClock || leaderLeaseUntil <= now)
    return std::nullopt;
  const Duration left =
      std::min({leaderLeaseUntil - now, options.maxWorkerLease, options.workerLease});
  return *workerClock +
         Duration{std::int64_t(double((now - workerClockAt).milliseconds + left.milliseconds) *
                               options.minClockRate)};
}

// How long its tasks may yet run if it can't be reached, on a true clock.
Duration NodeAgent::remainingWorkerLease(MonotonicTime now) const {
  if (!grantedDeadline || !workerClock)
    return options.maxWorkerLease;
  const double read = double(workerClock->milliseconds) +
                      double((now - workerClockAt).milliseconds) * options.minClockRate;
  return Duration{std::max<std::int64_t>(
      0, std::int64_t((double(grantedDeadline->milliseconds) - read) / options.minClockRate) + 1)};
}

OrderNumber NodeAgent::lastAppliedOrder() const {
  return openOrders.empty() ? received
                            : std::min(received, OrderNumber{openOrders.begin()->value - 1});
}

SyncReport NodeAgent::makeSyncReport(MonotonicTime now) {
  recordLeaseExpiry(now);
  SyncReport report;
  report.id = registration.workerInstance;
  report.incarnation = incarnation;
  report.capacity = registration.capacity;
  report.wantsPackedResponse = true;
  report.lastReceivedOrder = received;
  report.lastAppliedOrder = reportedApplied = lastAppliedOrder();
  reportedAppliedAt = now;
  for (auto& ending : pendingResults) {
    report.runResults.push_back(ending.result);
    ending.reported = true;
    if (report.runResults.size() >= 500)
      break;
  }
  for (const auto& [name, saved] : pendingCheckpoints)
    report.checkpoints.push_back({name, saved});
  report.reportedAt = now;
  report.unresponsive = reportedUnresponsive = isUnresponsive(now);
  if (report.unresponsive) {
    report.remainingLease = remainingWorkerLease(now);
    startsBlocked = true;
    reportedUnresponsiveAt = now;
  }
  report.draining = registration.draining;
  report.drainTimeout = registration.drainTimeout;
  return report;
}

bool NodeAgent::isUnresponsive(MonotonicTime now) const {
  return callUnanswered && now - lastContactAt > options.unresponsiveAfter;
}

bool NodeAgent::hasUrgentReport(MonotonicTime now) const {
  if (!mayReport() || now < retiredUntil)
    return false;
  if ((registration.draining && !drainReported) || isUnresponsive(now) != reportedUnresponsive)
    return true;
  if (std::any_of(pendingResults.begin(), pendingResults.end(),
                  [](const PendingResult& ending) { return !ending.reported; }))
    return true;
  return lastAppliedOrder() != reportedApplied && now - reportedAppliedAt > Duration{400};
}

void NodeAgent::onSyncResponse(const SyncReport& asked, const SyncResponse& answer,
                               MonotonicTime sentAt, MonotonicTime now) {
  if (asked.id != registration.workerInstance || asked.incarnation != incarnation ||
      answer.term < term)
    return;
  term = answer.term;
  const Duration leaseGranted = std::min(answer.lease, options.maxWorkerLease);
  if (!asked.unresponsive) {
    // Only a word given after the last one of its unresponsiveness: until a leader has heard that,
    // what it was told still stands.
    if (!isUnresponsive(now) && asked.reportedAt > reportedUnresponsiveAt)
      startsBlocked = false;
    lastKnownOrder = std::max(lastKnownOrder, answer.ordersAfter);
    leaderLease = leaseGranted;
    leaderLeaseUntil = std::max(leaderLeaseUntil, sentAt + leaseGranted);
  }
  if (asked.draining)
    drainReported = true;
  for (const auto& save : asked.checkpoints)
    if (auto found = pendingCheckpoints.find(save.runId);
        found != pendingCheckpoints.end() && found->second == save.checkpoint)
      pendingCheckpoints.erase(found);
  for (std::size_t place = 0; place < answer.finalResultCount && place < asked.runResults.size();
       ++place) {
    const auto& name = asked.runResults[place].runId;
    for (auto ending = pendingResults.begin(); ending != pendingResults.end(); ++ending)
      if (ending->result.runId == name) {
        // Endings are final in the order of their numbers only: the worker forgets all up to one.
        if (ending->sequenceNumber && ending != pendingResults.begin())
          break;
        confirmedUpTo = std::max(confirmedUpTo, ending->sequenceNumber);
        pendingResults.erase(ending);
        break;
      }
  }
  if (now >= leaderLeaseUntil)
    return;  // too late to be followed, docs/design.md 5.3
  receiveOrders(answer, now);
}

// Answers overtake each other, so orders may come with a gap before them; each is carried out when
// it comes. A new process begins where the leader does, and an earlier one may have begun to carry
// out what comes first. docs/design.md 5.8.
void NodeAgent::receiveOrders(const SyncResponse& answer, MonotonicTime now) {
  auto has = [&](OrderNumber number) {
    return number <= received ||
           std::any_of(receivedSpans.begin(), receivedSpans.end(), [&](const auto& span) {
             return number > span.first && number <= span.second;
           });
  };
  const bool first = !syncedOnce;
  syncedOnce = true;
  if (answer.orders.empty())
    return;
  const OrderNumber before{answer.orders.front().number.value - 1};
  if (received == OrderNumber{}) {
    if (answer.ordersAfter > received)
      return;  // earlier ones were in an answer that did not come: all come again
    received = before;
  }
  for (const auto& order : answer.orders) {
    if (has(order.number))
      continue;
    applyOrder(order, now);
    if (auto work = runs.find(TaskRunId::of(order)); first && work != runs.end())
      work->second.maybeStarted = true;
  }
  auto& upTo = receivedSpans[before];
  upTo = std::max(upTo, answer.orders.back().number);
  while (!receivedSpans.empty() && receivedSpans.begin()->first <= received) {
    received = std::max(received, receivedSpans.begin()->second);
    receivedSpans.erase(receivedSpans.begin());
  }
}

void NodeAgent::onDeclaredGone(MonotonicTime now) {
  // Whatever still runs there dies with its hold; only then may this worker be used under another
  // incarnation.
  runs.clear();
  pendingResults.clear();
  pendingCheckpoints.clear();
  openOrders.clear();
  receivedSpans.clear();
  received = reportedApplied = lastKnownOrder = OrderNumber{};
  incarnation = incarnation.next();
  leaderLeaseUntil = MonotonicTime{0};
  retired = true;
  retireIfDraining();  // such a one is never used again, under whatever incarnation
  retiredUntil = now + Duration{options.maxWorkerLease.milliseconds * 11 / 10 + 500};
}

void NodeAgent::applyOrder(const Order& order, MonotonicTime now) {
  const TaskRunId name = TaskRunId::of(order);
  auto found = runs.find(name);
  if (order.kind == OrderKind::start || order.kind == OrderKind::stage) {
    if (found != runs.end())
      return;
    if (hasPendingResult(name))
      return;
    TrackedRun work;
    work.order = order;
    work.notBefore = now;
    work.staged = order.kind == OrderKind::stage;
    if (!work.staged) {
      work.openOrders.push_back(order.number);
      openOrders.insert(order.number);
    }
    runs.emplace(name, std::move(work));
    return;
  }
  if (order.kind == OrderKind::launch)
    return releaseStagedRun(order, name, now);
  if (order.kind != OrderKind::stop)
    return;
  if (found == runs.end()) {
    if (hasPendingResult(name))
      return;
    // Of a start that this process never saw: it is fenced all the same, and a look tells what
    // became of it.
    TrackedRun work;
    work.order = order;
    work.maybeStarted = true;
    found = runs.emplace(name, std::move(work)).first;
  }
  found->second.wanted = false;
  found->second.openOrders.push_back(order.number);
  openOrders.insert(order.number);
  found->second.notBefore = now;
}

// A gang's part is staged here, not at the worker, which knows starts only. docs/design.md 7.3.
void NodeAgent::releaseStagedRun(const Order& order, const TaskRunId& name, MonotonicTime now) {
  auto found = runs.find(name);
  if (found == runs.end()) {
    // Staged by an earlier process of this agent: it was never begun.
    if (!hasPendingResult(name))
      recordResult(name, AttemptOutcome::neverStarted, 0, "");
    return;
  }
  if (!found->second.staged)
    return;
  found->second.staged = false;
  found->second.notBefore = now;
  found->second.openOrders.push_back(order.number);
  openOrders.insert(order.number);
}

void NodeAgent::markOrdersApplied(TrackedRun& work) {
  for (auto number : work.openOrders)
    openOrders.erase(number);
  work.openOrders.clear();
}

void NodeAgent::recordResult(const TaskRunId& name, AttemptOutcome kind, std::uint64_t number,
                             std::string saved) {
  auto found = runs.find(name);
  if (found != runs.end()) {
    markOrdersApplied(found->second);
    runs.erase(found);
  }
  pendingCheckpoints.erase(name);
  latestCheckpoints.erase(name);
  PendingResult ending{number, TaskRunResult{name, kind, std::move(saved)}, false};
  if (!number)
    pendingResults.push_back(std::move(ending));
  else {
    auto place =
        std::find_if(pendingResults.begin(), pendingResults.end(), [&](const PendingResult& other) {
          return other.sequenceNumber == 0 || other.sequenceNumber > number;
        });
    pendingResults.insert(place, std::move(ending));
  }
}

void NodeAgent::requireNewPoll(TrackedRun& work) {
  work.stateKnown = false;
  work.decidingPoll = pollsBegun + 1;
}

Duration NodeAgent::leaseRenewalInterval() const {
  return std::clamp(Duration{std::min(leaderLease, options.workerLease).milliseconds / 4},
                    Duration{100}, options.maxLongPollTimeout);
}
// A look that is lost with its whole wait leaves a second of the hold that it asks for, in which
// others are made. What is left of the lease is what counts: the leader renews that once a sync
// only.
Duration NodeAgent::longPollTimeout(MonotonicTime now) const {
  const std::int64_t left = std::min(leaderLeaseUntil - now, options.workerLease).milliseconds;
  return std::min(std::max(leaseRenewalInterval(), Duration{std::min(left / 2, left - 1000)}),
                  options.maxLongPollTimeout);
}

// What surely runs is not among it: when a stop of it has done its work a look that waits comes
// back with the ending.
bool NodeAgent::hasUncertainRuns() const {
  return std::any_of(runs.begin(), runs.end(), [](const auto& entry) {
    return !entry.second.stateKnown && !entry.second.running;
  });
}
bool NodeAgent::hasUnconfirmedResults() const {
  return std::any_of(pendingResults.begin(), pendingResults.end(),
                     [](const PendingResult& ending) { return ending.sequenceNumber != 0; });
}
bool NodeAgent::hasPendingResult(const TaskRunId& name) const {
  return std::any_of(pendingResults.begin(), pendingResults.end(),
                     [&](const PendingResult& ending) { return ending.result.runId == name; });
}

bool NodeAgent::pollDue(MonotonicTime now) const {
  if (pollInFlight || registration.workerInstance.value.empty() || instanceEnded ||
      now < retiredUntil)
    return false;
  if (!instanceConfirmed)
    return probesLeft && now - lastPollAt >= lookForLifeAgain;
  if (term == Term{} || leaderLeaseUntil <= now)
    return false;
  if (!everPolled || leaseExpired)
    return true;
  if (hasUncertainRuns())
    return now - lastPollAt >=
           (pendingResults.empty() ? Duration{20} : options.uncertainPollInterval);
  if (callUnanswered && now - lastPollAt < Duration{250})
    return false;
  const bool running =
      callUnanswered ||
      std::any_of(runs.begin(), runs.end(), [](const auto& entry) { return entry.second.running; });
  if (!running && !moreResults)  // one that leaves is looked at until it answers no more
    return registration.draining && drainReported &&
           now - lastPollAt >= options.drainingPollInterval;
  // While endings wait to be confirmed a look would only tell them again; it is due all the same to
  // keep the hold up.
  return !hasUnconfirmedResults() ||
         now - lastPollAt >= std::max(leaseRenewalInterval(), Duration{500});
}

std::vector<WorkerCall> NodeAgent::takeCalls(MonotonicTime now) {
  std::vector<WorkerCall> calls;
  recordLeaseExpiry(now);
  retired = retired && now < retiredUntil;
  if (auto call = probeCandidate(now))
    calls.push_back(std::move(*call));
  if (registration.workerInstance.value.empty() || instanceEnded || now < retiredUntil)
    return calls;
  auto make = [&](WorkerCall::Kind kind) {
    WorkerCall call;
    call.kind = kind;
    call.callId = nextCallId++;
    call.workerInstance = registration.workerInstance;
    call.fencingTerm = term;
    // A stop extends no hold; and what the leader was told of a unresponsive worker stays true.
    if (kind != WorkerCall::Kind::stop)
      call.leaseDeadline =
          isUnresponsive(now) || startsBlocked ? grantedDeadline : nextLeaseDeadline(now);
    if (call.leaseDeadline && (!grantedDeadline || *grantedDeadline < *call.leaseDeadline)) {
      grantedDeadline = call.leaseDeadline;
      expiryRecorded = false;
    }
    return call;
  };
  std::vector<TaskRunId> never;
  for (auto& [name, work] : runs) {
    if (work.callInFlight || work.notBefore > now || callsInFlight >= options.maxConcurrentCalls)
      continue;
    if (work.staged && work.wanted && !registration.draining)
      continue;
    if (work.wanted && !work.running && work.stateKnown && !work.startAbandoned) {
      if (registration.draining &&
          !work.maybeStarted) {  // docs/design.md 5.7: nothing starts once the word is given
        never.push_back(name);
        continue;
      }
      if (registration.draining)
        work.startAbandoned = true;
      else {
        if (leaseExpired || startsBlocked || lastKnownOrder > received || isUnresponsive(now) ||
            leaderLeaseUntil <= now || !workerClock ||
            (leaseMayHaveExpired(now) && !pendingResults.empty()))
          continue;
        auto call = make(WorkerCall::Kind::start);
        call.runId = name;
        call.payload = work.order.payload;
        call.checkpoint = work.order.checkpoint;
        call.order = work.order;
        calls.push_back(std::move(call));
        work.callInFlight = true;
        ++callsInFlight;
        continue;
      }
    }
    if ((!work.wanted || work.startAbandoned) && !work.stopAcknowledged) {
      // What was never sent needs no stop: no call of it can be on its way.
      if (!work.running && !work.maybeStarted) {
        never.push_back(name);
        continue;
      }
      auto call = make(WorkerCall::Kind::stop);
      call.runId = name;
      calls.push_back(std::move(call));
      work.callInFlight = true;
      ++callsInFlight;
    }
  }
  for (const auto& name : never)
    recordResult(
        name, runs[name].rejected ? AttemptOutcome::rejected : AttemptOutcome::neverStarted, 0, "");
  if (pollDue(now) && !(leaseMayHaveExpired(now) && !pendingResults.empty())) {
    auto call = make(WorkerCall::Kind::poll);
    call.confirmedUpTo = confirmedUpTo;
    call.longPollTimeout = !instanceConfirmed || !everPolled || leaseExpired || callUnanswered ||
                                   hasUncertainRuns() || hasUnconfirmedResults() || moreResults
                               ? Duration{0}
                               : longPollTimeout(now);
    call.timeout = call.longPollTimeout + Duration{400};
    if (!instanceConfirmed)
      --probesLeft;
    pollInFlight = true;
    ++pollsBegun;
    call.callId = pollsBegun;
    lastPollAt = now;
    calls.push_back(std::move(call));
  }
  return calls;
}

void NodeAgent::onWorkerReply(const WorkerCall& call, const WorkerReply& reply, MonotonicTime now) {
  if (call.workerInstance != registration.workerInstance)
    return onCandidateReply(call, reply, now);
  const bool look = call.kind == WorkerCall::Kind::poll;
  if (look && (!pollInFlight || call.callId != pollsBegun))
    return;  // of one that was given up: a newer one tells, or has told
  if (look)
    pollInFlight = false;
  else if (callsInFlight > 0)
    --callsInFlight;
  observeWorkerClock(reply.clockReading, ClockSource::reply, now);
  updateInstanceConfirmation(call, reply);
  if (reply.status == WorkerReply::Status::noResponse)
    callUnanswered = true;
  else {
    callUnanswered = false;
    lastContactAt = now;
  }
  if (call.kind == WorkerCall::Kind::poll) {
    if (reply.status == WorkerReply::Status::ok)
      onPollReply(call, reply, now);
    return;
  }
  auto found = runs.find(call.runId);
  if (found == runs.end())
    return;  // its ending was seen meanwhile
  TrackedRun& work = found->second;
  work.callInFlight = false;
  const bool start = call.kind == WorkerCall::Kind::start;
  switch (reply.status) {
    case WorkerReply::Status::ok:
      if (start) {
        work.running = true;
        if (work.wanted)
          markOrdersApplied(work);
      } else {
        work.stopAcknowledged = true;
        requireNewPoll(work);
      }
      return;
    case WorkerReply::Status::noResponse:
      work.maybeStarted = true;
      work.notBefore = now + Duration{20};
      return;
    case WorkerReply::Status::staleRun:
      work.maybeStarted = true;  // it was there before, or a later one is: a look tells
      if (start)
        requireNewPoll(work);
      else
        work.notBefore = now + Duration{100};
      return;
    case WorkerReply::Status::deadlineExceeded:
      work.notBefore = now + Duration{50};  // with the next lease
      return;
    case WorkerReply::Status::unavailable:
      if (++work.unavailableReplies < 3 || !start) {
        work.notBefore = now + Duration{std::int64_t(50) << std::min(work.unavailableReplies, 4u)};
        return;
      }
      [[fallthrough]];
    case WorkerReply::Status::insufficientCapacity:
      if (start)
        work.startAbandoned = work.rejected = true;
      else
        work.notBefore = now + Duration{100};
      return;
    case WorkerReply::Status::fenced:
      work.notBefore = now + Duration{200};  // a newer leader has been here: its sync tells
      return;
    case WorkerReply::Status::invalidRequest:
      if (start)
        work.startAbandoned = true;
      else {
        work.stopAcknowledged = true;
        requireNewPoll(work);
      }
      return;
    case WorkerReply::Status::instanceMismatch:
      work.notBefore = now + Duration{300};  // the next account of itself will tell
      return;
  }
}

void NodeAgent::onPollReply(const WorkerCall& call, const WorkerReply& reply, MonotonicTime now) {
  everPolled = true;
  lastPollAt = now;
  std::set<TaskRunId> seen;
  for (const auto& active : reply.runningTasks) {
    seen.insert(active.runId);
    if (!active.checkpoint.empty() && latestCheckpoints[active.runId] != active.checkpoint) {
      latestCheckpoints[active.runId] = active.checkpoint;
      pendingCheckpoints[active.runId] = active.checkpoint;
    }
    auto [found, isNew] = runs.try_emplace(active.runId);
    TrackedRun& work = found->second;
    if (isNew)
      work.wanted = true;  // begun by an earlier process: it is watched, never begun or stopped of
                           // our own accord
    work.running = true;
    if (work.wanted && !work.callInFlight) {
      work.stateKnown = true;
      markOrdersApplied(work);
    }
  }
  for (const auto& ended : reply.results) {
    seen.insert(ended.runId);
    if (ended.sequenceNumber <= confirmedUpTo || ended.sequenceNumber <= highestResult)
      continue;
    highestResult = ended.sequenceNumber;
    recordResult(ended.runId,
                 leaseExpired && ended.outcome == AttemptOutcome::succeeded
                     ? AttemptOutcome::stopped
                     : ended.outcome,
                 ended.sequenceNumber, ended.checkpoint);
  }
  if (leaseExpired && call.callId >= firstPollAfterExpiry)
    leaseExpired = false;
  moreResults = !reply.complete;
  // docs/design.md 5.8: what a look begun after the last call for it does not show was never begun.
  if (!reply.complete)
    return;
  std::vector<TaskRunId> absent;
  for (auto& [name, work] : runs) {
    if (seen.count(name) || work.callInFlight)
      continue;
    if (!work.stateKnown && call.callId >= work.decidingPoll) {
      if (work.stopAcknowledged || work.wanted)
        absent.push_back(name);
    }
  }
  for (const auto& name : absent) {
    TrackedRun& work = runs[name];
    if (work.stopAcknowledged)
      recordResult(name, work.rejected ? AttemptOutcome::rejected : AttemptOutcome::neverStarted, 0,
                   "");
    else {  // `old`, yet not to be seen: what is there is another run; it is fenced before it is
            // given up
      work.startAbandoned = work.stateKnown = true;
      work.maybeStarted = true;
    }
  }
}

MonotonicTime NodeAgent::nextWakeUp(MonotonicTime now) const {
  MonotonicTime due = now + Duration{60'000};
  if (candidate && candidate->probesLeft && !candidate->probeInFlight)
    due = std::max(candidate->nextProbeAt, now + Duration{5});
  if (registration.workerInstance.value.empty() || instanceEnded)
    return due;
  if (callUnanswered && !reportedUnresponsive)
    due = std::min(
        due, std::max(lastContactAt + options.unresponsiveAfter + Duration{1}, now + Duration{5}));
  for (const auto& [name, work] : runs)
    if (!work.callInFlight && (!work.running || !work.wanted) && !work.stopAcknowledged &&
        !(work.staged && work.wanted))
      due = std::min(due, std::max(work.notBefore, now + Duration{5}));
  if (!pollInFlight && (!runs.empty() || !everPolled || callUnanswered))
    due = std::min(due, now + Duration{25});
  if (lastAppliedOrder() != reportedApplied)
    due = std::min(due, std::max(reportedAppliedAt + Duration{401}, now + Duration{5}));
  return due;
}

}  // namespace aniseline
