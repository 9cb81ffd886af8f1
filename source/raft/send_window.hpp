// Limits the number of unacknowledged bytes sent to one follower. docs/design.md 3.4.
#ifndef ANISELINE_RAFT_SEND_WINDOW_HPP
#define ANISELINE_RAFT_SEND_WINDOW_HPP
#include "raft/options.hpp"

namespace aniseline {

// A congestion window. A round trip that is much longer than the fastest one was queued behind
// earlier data; halving the window in that case keeps heartbeats timely on a slow link. The window
// is doubled if it was exhausted while round trips were fast.
class SendWindow {
 public:
  explicit SendWindow(const RaftOptions& options)
      : capacity(std::min(RaftLimits::initialWindowBytes, options.maxUnacknowledgedBytes)) {}
  // Returns the maximum number of unacknowledged bytes.
  std::size_t bytes() const { return capacity; }
  // Records that more data would have been sent if the window were larger.
  void markExhausted() { exhausted = true; }
  // Adapts the window after a heartbeat round was confirmed with this round-trip time.
  void onRoundTrip(Duration roundTrip, const RaftOptions& options);

 private:
  friend struct RaftNodeFingerprint;
  std::size_t capacity;
  bool exhausted = false;  // since the last round trip
  std::optional<Duration> fastestRoundTrip;
};

}  // namespace aniseline

#endif  // ANISELINE_RAFT_SEND_WINDOW_HPP
