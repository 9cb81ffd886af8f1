// When a snapshot of the committed state is taken and restored. docs/design.md 3.4.
#include "controller/controller.hpp"

namespace aniseline {

void Controller::restoreSnapshot(const Snapshot& snapshot) {
  auto state = unpack<ClusterState>(snapshot.state);
  if (state)
    committedState = std::move(state.value());
  else
    unreadableState = true;
  appliedIndex = snapshot.lastIncludedIndex;
  snapshotWork = SnapshotWork{snapshot.state, {}, std::nullopt};
  packingSnapshot = false;
}

void Controller::requestSnapshot() {
  if (raft.logRecordsSinceSnapshot() < options.maxRecordsBetweenSnapshots &&
      raft.logBytesSinceSnapshot() < options.maxBytesBetweenSnapshots)
    return;
  if (packingSnapshot || appliedIndex <= raft.snapshot().lastIncludedIndex)
    return;
  snapshotWork.packThrough = appliedIndex;
  packingSnapshot = true;
}

void Controller::onSnapshotPacked(PackedSnapshot view) {
  if (!packingSnapshot)
    return;  // another view was installed meanwhile
  packingSnapshot = false;
  raft.compact(view.index, std::move(view.state));
}

}  // namespace aniseline
