// Decides when a registration, a drain notice or a reply changes the current instance.
#include "agent/instance_tracker.hpp"

namespace aniseline {

namespace {

// The maximum number of stored drain notices from otherwise unknown instances.
constexpr std::size_t maxEarlyDrainNotices = 16;
// Interval between unanswered polls of an instance that is known only from its registration.
constexpr Duration probeInterval{100};

bool confirmsInstance(WorkerReply::Status status) {
  // A fenced call has also reached the instance that it names; that instance has seen a newer
  // leader.
  return status == WorkerReply::Status::ok || status == WorkerReply::Status::fenced;
}

}  // namespace

InstanceTracker InstanceTracker::withCurrent(const WorkerRegistration& incoming,
                                             bool confirmed) && {
  InstanceTracker next(options);
  next.formerInstances = std::move(formerInstances);
  if (known())
    next.formerInstances.insert(registration.workerInstance);
  next.earlyDrainNotices = std::move(earlyDrainNotices);
  next.registration = incoming;
  auto notice = next.earlyDrainNotices.find(incoming.workerInstance);
  if (notice != next.earlyDrainNotices.end()) {
    if (!incoming.draining)
      next.registration.drainTimeout = notice->second;
    next.registration.draining = true;
    next.earlyDrainNotices.erase(notice);
  }
  next.instanceConfirmed = confirmed;
  next.probesLeft = options.maxInstanceProbes;
  return next;
}

bool InstanceTracker::update(const WorkerRegistration& incoming) {
  if (incoming.sequence && incoming.sequence <= registration.sequence)
    return false;
  probesLeft = options.maxInstanceProbes;
  const WorkerRegistration before = std::exchange(registration, incoming);
  if (before.draining && !incoming.draining) {
    registration.draining = true;
    registration.drainTimeout = before.drainTimeout;
  }
  if (!registration.clockReading)
    registration.clockReading = before.clockReading;
  endIfRetiredAndDraining();
  return true;
}

void InstanceTracker::considerCandidate(const WorkerRegistration& incoming, MonotonicTime now) {
  if (!candidate || candidate->registration.workerInstance != incoming.workerInstance) {
    candidate = Candidate{incoming, 0, now, false};
  } else if (!incoming.sequence || incoming.sequence > candidate->registration.sequence) {
    const bool draining = candidate->registration.draining || incoming.draining;
    candidate->registration = incoming;
    candidate->registration.draining = draining;
  }
  candidate->probesLeft = options.maxInstanceProbes;
}

InstanceTracker::InstanceState InstanceTracker::onDrainNotice(const WorkerId& instance,
                                                              Duration drainTimeout) {
  if (isFormer(instance))
    return InstanceState::former;
  const bool isCurrent = instance == registration.workerInstance;
  const bool isCandidate =
      !isCurrent && candidate && instance == candidate->registration.workerInstance;
  if (!isCurrent && !isCandidate) {
    storeEarlyDrainNotice(instance, drainTimeout);
    return InstanceState::unknown;
  }
  WorkerRegistration& known = isCurrent ? registration : candidate->registration;
  if (!known.draining) {
    known.draining = true;
    known.drainTimeout = drainTimeout;
  }
  if (isCandidate) {
    candidate->probesLeft = options.maxInstanceProbes;
    return InstanceState::candidate;
  }
  endIfRetiredAndDraining();
  return InstanceState::current;
}

void InstanceTracker::storeEarlyDrainNotice(const WorkerId& instance, Duration drainTimeout) {
  if (earlyDrainNotices.size() >= maxEarlyDrainNotices)
    earlyDrainNotices.erase(earlyDrainNotices.begin());
  earlyDrainNotices[instance] = drainTimeout;
}

std::optional<WorkerCall> InstanceTracker::takeCandidateProbe(MonotonicTime now) {
  if (!candidate || candidate->probeInFlight || !candidate->probesLeft ||
      now < candidate->nextProbeAt)
    return std::nullopt;
  candidate->probeInFlight = true;
  --candidate->probesLeft;
  WorkerCall call;
  call.kind = WorkerCall::Kind::poll;
  call.workerInstance = candidate->registration.workerInstance;
  return call;
}

std::optional<WorkerRegistration> InstanceTracker::onCandidateReply(const WorkerCall& call,
                                                                    WorkerReply::Status status,
                                                                    MonotonicTime now) {
  if (!candidate || call.workerInstance != candidate->registration.workerInstance)
    return std::nullopt;
  candidate->probeInFlight = false;
  candidate->nextProbeAt = now + probeInterval;
  if (status == WorkerReply::Status::instanceMismatch) {
    candidate.reset();  // its registration arrived late: the instance has ended
    return std::nullopt;
  }
  if (!confirmsInstance(status))
    return std::nullopt;
  return candidate->registration;
}

void InstanceTracker::onCurrentReply(const WorkerCall& call, WorkerReply::Status status) {
  if (status == WorkerReply::Status::instanceMismatch) {
    instanceConfirmed = false;
    probesLeft = 0;  // no probes until this instance registers again
  } else if (call.kind == WorkerCall::Kind::poll && confirmsInstance(status)) {
    instanceConfirmed = true;
  }
}

std::optional<MonotonicTime> InstanceTracker::nextCandidateProbeAt() const {
  if (!candidate || !candidate->probesLeft || candidate->probeInFlight)
    return std::nullopt;
  return candidate->nextProbeAt;
}

bool InstanceTracker::confirmationProbeDue(Duration sinceLastPoll) const {
  return probesLeft && sinceLastPoll >= probeInterval;
}

void InstanceTracker::retireUntil(MonotonicTime until) {
  currentIncarnation = currentIncarnation.next();
  retired = true;
  endIfRetiredAndDraining();
  retirementEnd = until;
}

bool InstanceTracker::drainAcknowledged(const WorkerId& instance) const {
  if (isFormer(instance))
    return true;
  return instance == registration.workerInstance && (ended || drainKnownToLeader());
}

}  // namespace aniseline
