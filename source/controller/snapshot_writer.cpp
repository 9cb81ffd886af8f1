#include "controller/snapshot_writer.hpp"

namespace aniseline {

std::optional<PackedSnapshot> SnapshotWriter::work(const SnapshotWork& work) {
  if (work.restart) {
    auto read = unpack<ClusterState>(*work.restart);
    clusterState = read ? std::move(read.value())
                        : ClusterState{};  // one that can't be read has stopped the core already
  }
  for (const auto& payload : work.records)
    if (auto record = unpack<LogRecord>(payload))
      clusterState.apply(record.value());
  if (!work.pack)
    return std::nullopt;
  return PackedSnapshot{*work.pack, pack(clusterState)};
}

}  // namespace aniseline
