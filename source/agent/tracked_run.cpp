#include "agent/tracked_run.hpp"

namespace aniseline {

namespace {

// Delays before a call is made again, by the reply.
constexpr Duration retryAfterSilence{20};
// By then a sync has most likely renewed the lease.
constexpr Duration retryAfterLateStart{50};
constexpr Duration retryAfterRejectedStop{100};
// A newer leader has called the worker: the next sync finds it.
constexpr Duration retryAfterFence{200};
// The worker's next registration names the instance that stands there.
constexpr Duration retryAfterInstanceMismatch{300};
// Doubled with each further reply that the worker is unavailable, four times at most.
constexpr std::int64_t unavailableBackoffMillis = 50;
constexpr std::uint32_t maxBackoffDoublings = 4;
// A start is given up after so many of them; a stop never is.
constexpr std::uint32_t maxUnavailableReplies = 3;

}  // namespace

TrackedRun TrackedRun::ordered(const Order& order, MonotonicTime now) {
  TrackedRun run;
  run.startOrder = order;
  run.notBefore = now;
  run.staged = order.kind == OrderKind::stage;
  return run;
}

TrackedRun TrackedRun::toBeFenced(const Order& order) {
  TrackedRun run;
  run.startOrder = order;
  run.maybeStarted = true;
  return run;
}

void TrackedRun::launch(MonotonicTime now) {
  staged = false;
  notBefore = now;
}

void TrackedRun::requestStop(MonotonicTime now) {
  wanted = false;
  notBefore = now;
}

TrackedRun::NextStep TrackedRun::nextStep(bool workerDraining) {
  if (staged && wanted && !workerDraining)
    return NextStep::none;
  if (wanted && !running && stateKnown && !startAbandoned) {
    if (!workerDraining)
      return NextStep::start;
    // Nothing is started at a worker that drains. docs/design.md 5.7.
    if (!maybeStarted)
      return NextStep::reportNeverStarted;
    startAbandoned = true;
  }
  if ((wanted && !startAbandoned) || stopAcknowledged)
    return NextStep::none;
  return running || maybeStarted ? NextStep::stop : NextStep::reportNeverStarted;
}

bool TrackedRun::onStartReply(WorkerReply::Status status, MonotonicTime now,
                              std::uint64_t nextPoll) {
  using Status = WorkerReply::Status;
  if (retriedLater(status, now))
    return false;
  switch (status) {
    case Status::ok:
      running = true;
      return wanted;
    case Status::staleRun:
      maybeStarted = true;  // it was there before, or a later run is: a poll shows which
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
  if (retriedLater(status, now))
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

// Replies after which a start and a stop are both sent again.
bool TrackedRun::retriedLater(WorkerReply::Status status, MonotonicTime now) {
  using Status = WorkerReply::Status;
  callInFlight = false;
  switch (status) {
    case Status::noResponse:
      maybeStarted = true;
      retryAfter(retryAfterSilence, now);
      return true;
    case Status::deadlineExceeded:
      retryAfter(retryAfterLateStart, now);
      return true;
    case Status::fenced:
      retryAfter(retryAfterFence, now);
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
  decidingPoll = nextPoll;
}

void TrackedRun::retryWhenAvailable(MonotonicTime now) {
  const std::uint32_t doublings = std::min(unavailableReplies, maxBackoffDoublings);
  retryAfter(Duration{unavailableBackoffMillis << doublings}, now);
}

bool TrackedRun::onSeenRunning() {
  running = true;
  if (!wanted || callInFlight)
    return false;
  stateKnown = true;
  return true;
}

bool TrackedRun::absenceDecides(std::uint64_t poll) const {
  return !callInFlight && !stateKnown && poll >= decidingPoll && (stopAcknowledged || wanted);
}

bool TrackedRun::onAbsent() {
  if (stopAcknowledged)
    return true;
  startAbandoned = stateKnown = true;
  maybeStarted = true;
  return false;
}

std::optional<MonotonicTime> TrackedRun::nextCallAt() const {
  const bool needsCall = (!running || !wanted) && !stopAcknowledged && !(staged && wanted);
  if (callInFlight || !needsCall)
    return std::nullopt;
  return notBefore;
}

}  // namespace aniseline
