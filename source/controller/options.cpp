// Distribution of a controller process's memory. docs/design.md 3.4.
#include "controller/options.hpp"

namespace aniseline {

namespace {

// Each limit is the memory of the process divided by one of these.
constexpr std::uint64_t retainedLogDivisor = 16;
constexpr std::uint64_t snapshotDivisor = 32;
constexpr std::uint64_t pendingDivisor = 16;
constexpr std::uint64_t outboxDivisor = 64;           // for each peer
constexpr std::uint64_t unacknowledgedDivisor = 256;  // for each peer
// A leader holds three copies of the cluster state: committed, speculative and that of the snapshot
// writer. The packed snapshots, plans and responses made from them take about as much as one more.
constexpr std::uint64_t jobBytesDivisor = 8;

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
  limit(maxJobBytes, jobBytesDivisor);
}

}  // namespace aniseline
