// Adapts the send window to measured round-trip times.
#include "raft/send_window.hpp"

namespace aniseline {

void SendWindow::onRoundTrip(Duration roundTrip, const RaftOptions& options) {
  fastestRoundTrip = std::min(fastestRoundTrip.value_or(roundTrip), roundTrip);
  const bool delayed = roundTrip - *fastestRoundTrip > options.heartbeatInterval;
  if (delayed)
    capacity = std::max(std::min(options.chunkBytes, capacity), capacity / 2);
  else if (exhausted)
    capacity = std::min(options.maxUnacknowledgedBytes, capacity * 2);
  exhausted = false;
}

}  // namespace aniseline
