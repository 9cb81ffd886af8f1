// The two leases under which work runs at a worker: the leader's, granted by sync responses on the
// agent's clock, and within it the worker's own, granted by the agent's calls as deadlines on the
// worker's clock. That clock may be slow and is known from readings only, so every bound here is
// taken on the safe side. Owned and called by NodeAgent. docs/design.md 5.4, 5.5, 5.8.
#ifndef ANISELINE_AGENT_WORKER_LEASE_HPP
#define ANISELINE_AGENT_WORKER_LEASE_HPP
#include "agent/node_agent_options.hpp"
#include "agent/worker_messages.hpp"

namespace aniseline {

class WorkerLease {
 public:
  // Where a reading of the worker's clock comes from. A registration may be seconds old: it shows
  // what the clock reads at least, never at most.
  enum class ClockSource : std::uint8_t { registration, reply };

  explicit WorkerLease(const NodeAgentOptions& options) : options(options) {}

  // The leader's lease, counted from when the sync was sent.
  void extendLeaderLease(Duration granted, MonotonicTime sentAt);
  void revokeLeaderLease() { leaderLeaseUntil = MonotonicTime{0}; }
  bool leaderLeaseValid(MonotonicTime now) const { return now < leaderLeaseUntil; }

  // True if the reading is newer than what was known, so that recordExpiry may find something.
  bool observeClock(const std::optional<WorkerTime>& reading, ClockSource source,
                    MonotonicTime now);
  bool clockKnown() const { return clock.has_value(); }

  // The deadline that a call may grant now, counted as if the worker's clock were as slow as it may
  // be, so that it is never later than the leader's lease. Nothing without a lease or a reading.
  std::optional<WorkerTime> nextDeadline(MonotonicTime now) const;
  // The latest deadline that the worker may have accepted.
  const std::optional<WorkerTime>& granted() const { return grantedDeadline; }
  // A call that is sent now grants this deadline.
  void grant(const std::optional<WorkerTime>& deadline);

  // True once for each lease, when it has surely expired.
  bool recordExpiry(MonotonicTime now);
  // The lease may have expired by now, and no expiry was recorded yet.
  bool mayHaveExpired(MonotonicTime now) const;
  // For how long the worker may yet run its tasks if no call reaches it, on a true clock.
  Duration remaining(MonotonicTime now) const;

  // The lease is renewed after that long at the latest.
  Duration renewalInterval() const;
  // How long a poll that begins now may wait for a result.
  Duration longPollTimeout(MonotonicTime now) const;

 private:
  WorkerTime earliestReading(MonotonicTime now) const;

  NodeAgentOptions options;
  MonotonicTime leaderLeaseUntil{0};
  Duration leaderLease{0};
  // The highest reading of the worker's clock, and when it came.
  std::optional<WorkerTime> clock;
  MonotonicTime clockAt;
  // The highest reading that came with a reply, which is never old.
  std::optional<WorkerTime> replyClock;
  MonotonicTime replyClockAt;
  std::optional<WorkerTime> grantedDeadline;
  bool expiryRecorded = false;
};

}  // namespace aniseline

#endif  // ANISELINE_AGENT_WORKER_LEASE_HPP
