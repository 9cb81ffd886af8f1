// Packs snapshots off the thread that leads and plans: it keeps a cluster state of its own and
// applies to it the records that the controller has committed. Owned by whoever drives a
// controller, and called on one thread at a time, which need not be the controller's; it shares
// nothing with the controller. docs/design.md 3.4.
#ifndef ANISELINE_CONTROLLER_SNAPSHOT_WRITER_HPP
#define ANISELINE_CONTROLLER_SNAPSHOT_WRITER_HPP
#include "state/cluster_state.hpp"

namespace aniseline {

// What a controller hands over, to be processed in the order in which it was taken.
struct SnapshotWork {
  std::optional<std::string> restartFrom;  // a packed state to begin anew from
  std::vector<std::string> records;        // packed, committed since
  std::optional<LogIndex> packThrough;     // a snapshot of all up to this index is wanted
  bool empty() const { return !restartFrom && records.empty() && !packThrough; }
};
struct PackedSnapshot {
  LogIndex index;
  std::string state;
};

class SnapshotWriter {
 public:
  // Returns a snapshot when the work asks for one.
  std::optional<PackedSnapshot> process(const SnapshotWork& work);

 private:
  ClusterState clusterState;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_SNAPSHOT_WRITER_HPP
