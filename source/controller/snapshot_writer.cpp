// Snapshots of a private copy of the committed state. docs/design.md 3.4.
#include "controller/snapshot_writer.hpp"

namespace aniseline {

std::optional<PackedSnapshot> SnapshotWriter::process(const SnapshotWork& work) {
  if (work.restartFrom) {
    // If the state can't be decoded, the controller has already stopped.
    auto state = unpack<ClusterState>(*work.restartFrom);
    clusterState = state ? std::move(state.value()) : ClusterState{};
  }
  for (const auto& payload : work.records)
    if (auto record = unpack<LogRecord>(payload))
      clusterState.apply(record.value());
  if (!work.packThrough)
    return std::nullopt;
  return PackedSnapshot{*work.packThrough, pack(clusterState)};
}

}  // namespace aniseline
