// The thresholds at which a snapshot is requested. docs/design.md 3.4.
#include "controller/snapshot_scheduler.hpp"

namespace aniseline {

void SnapshotScheduler::requestIfDue(const RaftNode& raft, LogIndex appliedIndex,
                                     const ClusterState& committed,
                                     const ControllerOptions& options) {
  if (raft.logRecordsSinceSnapshot() < options.maxRecordsBetweenSnapshots &&
      raft.logBytesSinceSnapshot() < options.maxBytesBetweenSnapshots)
    return;
  if (packing || appliedIndex <= raft.snapshot().lastIncludedIndex)
    return;
  work = SnapshotWork{appliedIndex, committed};
  packing = true;
}

}  // namespace aniseline
