// Tracks the two leases under which work runs at a worker: the leader's lease, granted by sync
// responses and measured on the agent's clock, and within it the worker's lease, granted by the
// agent's calls as deadlines on the worker's clock. The worker's clock may be slow and is known
// only from readings, so every bound is conservative. Owned and called by NodeAgent. docs/design.md
// 5.4, 5.5, 5.8.
#ifndef ANISELINE_AGENT_WORKER_LEASE_HPP
#define ANISELINE_AGENT_WORKER_LEASE_HPP
#include "agent/node_agent_options.hpp"
#include "agent/worker_messages.hpp"

namespace aniseline {

class WorkerLease {
 public:
  // The source of a reading of the worker's clock. A registration may be seconds old, so its
  // reading is a lower bound for the clock but not an upper bound.
  enum class ClockSource : std::uint8_t { registration, reply };

  explicit WorkerLease(const NodeAgentOptions& options) : options(options) {}

  // Extends the leader's lease, which counts from the time at which the sync was sent.
  void extendLeaderLease(Duration granted, MonotonicTime sentAt);
  void revokeLeaderLease() { leaderLeaseUntil = MonotonicTime{0}; }
  bool leaderLeaseValid(MonotonicTime now) const { return now < leaderLeaseUntil; }

  // Records a reading. Returns true if it is newer than the latest known one, in which case
  // recordExpiry may find that the lease has expired.
  bool observeClock(const std::optional<WorkerTime>& reading, ClockSource source,
                    MonotonicTime now);
  bool clockKnown() const { return clock.has_value(); }

  // Returns the deadline that a call may grant now. It assumes the slowest permitted clock at the
  // worker, so that it never exceeds the leader's lease. Returns nothing without a lease or a clock
  // reading.
  std::optional<WorkerTime> nextDeadline(MonotonicTime now) const;
  // Returns the latest deadline that the worker may have accepted.
  const std::optional<WorkerTime>& granted() const { return grantedDeadline; }
  // Records the deadline granted by a call that is sent now.
  void grant(const std::optional<WorkerTime>& deadline);

  // Returns true once per lease, when the lease has certainly expired.
  bool recordExpiry(MonotonicTime now);
  // Reports whether the lease may have expired by now although no expiry has been recorded yet.
  bool mayHaveExpired(MonotonicTime now) const;
  // Returns how long the worker may continue to run its tasks if no call reaches it, in
  // milliseconds of a true clock.
  Duration remaining(MonotonicTime now) const;

  // Returns the longest interval between renewals of the lease.
  Duration renewalInterval() const;
  // Returns how long a poll that starts now may wait for a result.
  Duration longPollTimeout(MonotonicTime now) const;

 private:
  WorkerTime earliestReading(MonotonicTime now) const;

  NodeAgentOptions options;
  MonotonicTime leaderLeaseUntil{0};
  Duration leaderLease{0};
  // The highest reading of the worker's clock, and the time at which it arrived.
  std::optional<WorkerTime> clock;
  MonotonicTime clockAt;
  // The highest reading that arrived with a reply; such a reading is recent.
  std::optional<WorkerTime> replyClock;
  MonotonicTime replyClockAt;
  std::optional<WorkerTime> grantedDeadline;
  bool expiryRecorded = false;
};

}  // namespace aniseline

#endif  // ANISELINE_AGENT_WORKER_LEASE_HPP
