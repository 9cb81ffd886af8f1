// Decides when a snapshot is due, and copies the committed state for it. The daemon packs the copy
// on another thread and returns the packed state. docs/design.md 3.4.
#ifndef ANISELINE_CONTROLLER_SNAPSHOT_SCHEDULER_HPP
#define ANISELINE_CONTROLLER_SNAPSHOT_SCHEDULER_HPP
#include "controller/options.hpp"
#include "controller/snapshot_writer.hpp"

namespace aniseline {

class SnapshotScheduler {
 public:
  // Discards the snapshot that is being packed, because another one was installed.
  void restart() {
    work.reset();
    packing = false;
  }
  void requestIfDue(const RaftNode& raft, LogIndex appliedIndex, const ClusterState& committed,
                    const ControllerOptions& options);
  std::optional<SnapshotWork> takeWork() { return std::exchange(work, std::nullopt); }
  // Ends the packing of a snapshot. Returns false if the packed snapshot is obsolete because
  // another one was installed in the meantime.
  bool finishPacking() { return std::exchange(packing, false); }

 private:
  std::optional<SnapshotWork> work;
  bool packing = false;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_SNAPSHOT_SCHEDULER_HPP
