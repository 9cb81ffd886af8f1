#include "controller/snapshot_writer.hpp"

namespace aniseline {

std::optional<PackedSnapshot> SnapshotWriter::process(const SnapshotWork& work) {
  if (work.restartFrom) {
    auto read = unpack<ClusterState>(*work.restartFrom);
    clusterState = read ? std::move(read.value())
                        : ClusterState{};  // one that can't be read has stopped the core already
  }
  for (const auto& payload : work.records)
    if (auto record = unpack<LogRecord>(payload))
      clusterState.apply(record.value());
  if (!work.packThrough)
    return std::nullopt;
  return PackedSnapshot{*work.packThrough, pack(clusterState)};
}

}  // namespace aniseline
