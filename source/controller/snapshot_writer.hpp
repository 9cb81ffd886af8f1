// Packs snapshots. Packing a large state takes long, so the driver of a controller does it outside
// the thread that leads and plans, on a copy of the committed state that belongs to the work item.
// docs/design.md 3.4.
#ifndef ANISELINE_CONTROLLER_SNAPSHOT_WRITER_HPP
#define ANISELINE_CONTROLLER_SNAPSHOT_WRITER_HPP
#include "state/cluster_state.hpp"

namespace aniseline {

// The committed state up to a log index, of which a snapshot is due.
struct SnapshotWork {
  LogIndex index;
  ClusterState state;
};
struct PackedSnapshot {
  LogIndex index;
  std::string state;
};

// May be called on any thread.
PackedSnapshot packSnapshot(const SnapshotWork& work);

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_SNAPSHOT_WRITER_HPP
