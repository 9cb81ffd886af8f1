// Computes lease deadlines and expiry from clock readings of bounded accuracy.
#include "agent/worker_lease.hpp"

namespace aniseline {

namespace {

// The longest assumed transit time of a reply, used to bound the worker's clock from above.
constexpr Duration maxReplyLatency{50};
// The part of the lease that is left for further polls if a poll is lost after its full wait.
constexpr Duration reservedForRetries{1000};
// Lower bound on the interval between polls that only renew the lease.
constexpr Duration minRenewalInterval{100};

}  // namespace

void WorkerLease::extendLeaderLease(Duration granted, MonotonicTime sentAt) {
  leaderLease = granted;
  leaderLeaseUntil = std::max(leaderLeaseUntil, sentAt + granted);
}

bool WorkerLease::observeClock(const std::optional<WorkerTime>& reading, ClockSource source,
                               MonotonicTime now) {
  if (!reading)
    return false;
  if (source == ClockSource::reply && (!replyClock || *reading > *replyClock)) {
    replyClock = reading;
    replyClockAt = now;
  }
  if (clock && *reading <= *clock)
    return false;
  clock = reading;
  clockAt = now;
  return true;
}

std::optional<WorkerTime> WorkerLease::nextDeadline(MonotonicTime now) const {
  if (!clock || leaderLeaseUntil <= now)
    return std::nullopt;
  const Duration left =
      std::min({leaderLeaseUntil - now, options.maxWorkerLease, options.workerLease});
  return *clock + Duration{std::int64_t(double((now - clockAt).milliseconds + left.milliseconds) *
                                        options.minClockRate)};
}

void WorkerLease::grant(const std::optional<WorkerTime>& deadline) {
  if (!deadline || (grantedDeadline && *deadline <= *grantedDeadline))
    return;
  grantedDeadline = deadline;
  expiryRecorded = false;
}

bool WorkerLease::recordExpiry(MonotonicTime now) {
  if (!grantedDeadline || !clock || expiryRecorded || earliestReading(now) < *grantedDeadline)
    return false;
  expiryRecorded = true;
  return true;
}

// Returns the lowest value that the worker's clock can show now, assuming its slowest rate.
WorkerTime WorkerLease::earliestReading(MonotonicTime now) const {
  return *clock +
         Duration{std::int64_t(double((now - clockAt).milliseconds) * options.minClockRate)};
}

// Assumes a clock that runs true, which is the fastest permitted rate.
bool WorkerLease::mayHaveExpired(MonotonicTime now) const {
  if (!grantedDeadline || !clock || expiryRecorded)
    return false;
  return !replyClock || *replyClock + (now - replyClockAt) + maxReplyLatency > *grantedDeadline;
}

Duration WorkerLease::remaining(MonotonicTime now) const {
  if (!grantedDeadline || !clock)
    return options.maxWorkerLease;
  const double reading =
      double(clock->milliseconds) + double((now - clockAt).milliseconds) * options.minClockRate;
  const double left = (double(grantedDeadline->milliseconds) - reading) / options.minClockRate;
  return Duration{std::max<std::int64_t>(0, std::int64_t(left) + 1)};
}

Duration WorkerLease::renewalInterval() const {
  const Duration lease = std::min(leaderLease, options.workerLease);
  return std::clamp(Duration{lease.milliseconds / 4}, minRenewalInterval,
                    options.maxLongPollTimeout);
}

// Only the remaining part of the leader's lease counts, because the leader renews it no more than
// once per sync.
Duration WorkerLease::longPollTimeout(MonotonicTime now) const {
  const Duration left = std::min(leaderLeaseUntil - now, options.workerLease);
  const Duration maxTimeout = std::min(Duration{left.milliseconds / 2}, left - reservedForRetries);
  return std::min(std::max(renewalInterval(), maxTimeout), options.maxLongPollTimeout);
}

}  // namespace aniseline
