// Packing snapshots of the committed state. docs/design.md 3.4.
#include "controller/snapshot_writer.hpp"

namespace aniseline {

std::optional<PackedSnapshot> SnapshotWriter::process(const SnapshotWork& work) {
  if (work.restartFrom) {
    // One that can't be decoded has stopped the controller already.
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
