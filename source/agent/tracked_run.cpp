// Derives a run's next call and its retry times from replies and polls.
#include "agent/tracked_run.hpp"

namespace aniseline {

namespace {

// Delays before a call is retried, by the status of its reply.
constexpr Duration retryAfterNoResponse{20};
// A sync has most likely renewed the lease by then.
constexpr Duration retryAfterDeadlineExceeded{50};
constexpr Duration retryAfterRejectedStop{100};
// A newer leader has called the worker; the next sync reaches that leader.
constexpr Duration retryAfterFenced{200};
// The worker's next registration identifies the instance at its address.
constexpr Duration retryAfterInstanceMismatch{300};
// The delay doubles with each unavailable reply, at most four times.
constexpr std::int64_t unavailableBackoffMillis = 50;
constexpr std::uint32_t maxBackoffDoublings = 4;
// A start is abandoned after this many unavailable replies; a stop never is.
constexpr std::uint32_t maxUnavailableReplies = 3;

}  // namespace

TrackedRun TrackedRun::fromStartOrder(const Order& order, MonotonicTime now) {
  TrackedRun run;
  run.startOrder = order;
  run.notBefore = run.startableAt = now;
  run.staged = order.kind == OrderKind::stage;
  return run;
}

TrackedRun TrackedRun::fromStopOrder(const Order& order) {
  TrackedRun run;
  run.startOrder = order;
  run.maybeStarted = true;
  return run;
}

void TrackedRun::launch(MonotonicTime now) {
  staged = false;
  notBefore = startableAt = now;
}

void TrackedRun::requestStop(MonotonicTime now) {
  shouldRun = false;
  notBefore = now;
}

TrackedRun::NextStep TrackedRun::nextStep(bool workerDraining) {
  if (staged && shouldRun && !workerDraining)
    return NextStep::none;
  if (shouldRun && !running && stateKnown && !startAbandoned) {
    if (!workerDraining)
      return NextStep::start;
    // No run is started at a draining worker. docs/design.md 5.7.
    if (!maybeStarted)
      return NextStep::reportNeverStarted;
    startAbandoned = true;
  }
  if ((shouldRun && !startAbandoned) || stopAcknowledged)
    return NextStep::none;
  return running || maybeStarted ? NextStep::stop : NextStep::reportNeverStarted;
}

bool TrackedRun::onStartReply(WorkerReply::Status status, MonotonicTime now,
                              std::uint64_t nextPoll) {
  using Status = WorkerReply::Status;
  if (scheduleRetry(status, now))
    return false;
  switch (status) {
    case Status::ok:
      running = true;
      return shouldRun;
    case Status::staleRun:
      maybeStarted = true;  // the worker knows this run or a later one: a poll shows which
      requireNewPoll(nextPoll);
      return false;
    case Status::unavailable:
      if (++unavailableReplies >= maxUnavailableReplies)
        startAbandoned = rejected = true;
      else
        retryWhenAvailable(now);
      return false;
    case Status::insufficientCapacity:
      startAbandoned = rejected = true;
      return false;
    case Status::invalidRequest:
      startAbandoned = true;
      return false;
    default:
      return false;
  }
}

void TrackedRun::onStopReply(WorkerReply::Status status, MonotonicTime now,
                             std::uint64_t nextPoll) {
  using Status = WorkerReply::Status;
  if (scheduleRetry(status, now))
    return;
  switch (status) {
    case Status::ok:
    case Status::invalidRequest:
      stopAcknowledged = true;
      requireNewPoll(nextPoll);
      return;
    case Status::staleRun:
      maybeStarted = true;
      retryAfter(retryAfterRejectedStop, now);
      return;
    case Status::unavailable:
      ++unavailableReplies;
      retryWhenAvailable(now);
      return;
    case Status::insufficientCapacity:
      retryAfter(retryAfterRejectedStop, now);
      return;
    default:
      return;
  }
}

// Handles the reply statuses after which both a start and a stop are sent again.
bool TrackedRun::scheduleRetry(WorkerReply::Status status, MonotonicTime now) {
  using Status = WorkerReply::Status;
  callInFlight = false;
  switch (status) {
    case Status::noResponse:
      maybeStarted = true;
      retryAfter(retryAfterNoResponse, now);
      return true;
    case Status::deadlineExceeded:
      retryAfter(retryAfterDeadlineExceeded, now);
      return true;
    case Status::fenced:
      retryAfter(retryAfterFenced, now);
      return true;
    case Status::instanceMismatch:
      retryAfter(retryAfterInstanceMismatch, now);
      return true;
    default:
      return false;
  }
}

void TrackedRun::requireNewPoll(std::uint64_t nextPoll) {
  stateKnown = false;
  firstConclusivePoll = nextPoll;
}

void TrackedRun::retryWhenAvailable(MonotonicTime now) {
  const std::uint32_t doublings = std::min(unavailableReplies, maxBackoffDoublings);
  retryAfter(Duration{unavailableBackoffMillis << doublings}, now);
}

bool TrackedRun::onListedRunning() {
  running = true;
  if (!shouldRun || callInFlight)
    return false;
  stateKnown = true;
  return true;
}

bool TrackedRun::isAbsenceConclusive(std::uint64_t poll) const {
  return !callInFlight && !stateKnown && poll >= firstConclusivePoll &&
         (stopAcknowledged || shouldRun);
}

bool TrackedRun::onNotListed() {
  if (stopAcknowledged)
    return true;
  startAbandoned = stateKnown = true;
  maybeStarted = true;
  return false;
}

std::optional<MonotonicTime> TrackedRun::nextCallAt() const {
  const bool needsCall = (!running || !shouldRun) && !stopAcknowledged && !(staged && shouldRun);
  if (callInFlight || !needsCall)
    return std::nullopt;
  return notBefore;
}

}  // namespace aniseline
