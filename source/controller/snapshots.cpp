// When a snapshot of the committed state is taken and restored. docs/design.md 3.4.
#include "controller/controller.hpp"

namespace aniseline {

void Controller::restoreSnapshot(const Snapshot& snapshot) {
  auto state = unpack<ClusterState>(snapshot.state);
  if (state)
    committedState = std::move(state.value());
  else
    unreadable = true;
  appliedIndex = snapshot.index;
  snapshotWork = SnapshotWork{snapshot.state, {}, std::nullopt};
  packing = false;
}

void Controller::requestSnapshot() {
  if (raft.versionsSinceWhole() < options.snapshotVersions &&
      raft.bytesSinceWhole() < options.snapshotBytes)
    return;
  if (packing || appliedIndex <= raft.snapshot().index)
    return;
  snapshotWork.pack = appliedIndex;
  packing = true;
}

void Controller::packed(PackedSnapshot view) {
  if (!packing)
    return;  // another view was installed meanwhile
  packing = false;
  raft.compact(view.index, std::move(view.state));
}

}  // namespace aniseline
