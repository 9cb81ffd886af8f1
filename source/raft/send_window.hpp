// How many bytes may be under way to one follower. docs/design.md 3.4.
#ifndef ANISELINE_RAFT_SEND_WINDOW_HPP
#define ANISELINE_RAFT_SEND_WINDOW_HPP
#include "raft/options.hpp"

namespace aniseline {

// A congestion window. A round trip that takes longer than the link's own delay explains has waited
// behind what was sent before it; halving the window then keeps heartbeats timely on a slow link.
// It is doubled again when it was exhausted and round trips are quick.
class SendWindow {
 public:
  explicit SendWindow(const RaftOptions& options)
      : capacity(std::min(RaftLimits::initialWindowBytes, options.maxUnacknowledgedBytes)) {}
  // Bytes that may be unacknowledged at once.
  std::size_t bytes() const { return capacity; }
  // Notes that more would have been sent if the window were larger.
  void markExhausted() { exhausted = true; }
  // A round of heartbeats was confirmed after this time; adapts the window.
  void onRoundTrip(Duration roundTrip, const RaftOptions& options);

 private:
  friend struct RaftNodeFingerprint;
  std::size_t capacity;
  bool exhausted = false;  // since the last round trip
  std::optional<Duration> fastestRoundTrip;
};

}  // namespace aniseline

#endif  // ANISELINE_RAFT_SEND_WINDOW_HPP
