// Distribution of a controller process's memory. docs/design.md 3.4.
#include "controller/options.hpp"

namespace aniseline {

namespace {

// Each limit is the memory of the process divided by one of these. Together the limits take well
// under half of it; the rest is for the cluster state, its copies and responses.
constexpr std::uint64_t retainedLogDivisor = 16;
constexpr std::uint64_t snapshotDivisor = 32;
constexpr std::uint64_t pendingDivisor = 16;
constexpr std::uint64_t outboxDivisor = 64;           // for each peer
constexpr std::uint64_t unacknowledgedDivisor = 256;  // for each peer

}  // namespace

void ControllerOptions::applyMemoryLimit(std::uint64_t processBytes) {
  if (!processBytes)
    return;
  auto limit = [&](auto& bytes, std::uint64_t divisor) {
    bytes = std::min<std::uint64_t>(bytes, processBytes / divisor);
  };
  limit(raft.maxRetainedBytes, retainedLogDivisor);
  limit(maxBytesBetweenSnapshots, snapshotDivisor);
  limit(maxPendingBytes, pendingDivisor);
  limit(maxOutboxBytes, outboxDivisor);
  limit(raft.maxUnacknowledgedBytes, unacknowledgedDivisor);
}

}  // namespace aniseline
