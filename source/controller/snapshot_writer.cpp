// Packing of the committed state. docs/design.md 3.4.
#include "controller/snapshot_writer.hpp"

namespace aniseline {

PackedSnapshot packSnapshot(const SnapshotWork& work) {
  return PackedSnapshot{work.index, pack(work.state)};
}

}  // namespace aniseline
