// Packs snapshots outside the thread that leads and plans. The writer keeps its own cluster state
// and applies the records that the controller has committed. It is owned by the driver of a
// controller and must be called from one thread at a time, which may differ from the controller's
// thread; it shares no data with the controller. docs/design.md 3.4.
#ifndef ANISELINE_CONTROLLER_SNAPSHOT_WRITER_HPP
#define ANISELINE_CONTROLLER_SNAPSHOT_WRITER_HPP
#include "state/cluster_state.hpp"

namespace aniseline {

// A batch of work from a controller. Batches must be processed in the order in which they were
// taken.
struct SnapshotWork {
  std::optional<std::string> restartFrom;  // packed state to start again from
  std::vector<std::string> records;        // packed records committed since the last batch
  std::optional<LogIndex> packThrough;     // a snapshot of the state up to this index is requested
  bool empty() const { return !restartFrom && records.empty() && !packThrough; }
};
struct PackedSnapshot {
  LogIndex index;
  std::string state;
};

class SnapshotWriter {
 public:
  // Returns a snapshot if the work requests one.
  std::optional<PackedSnapshot> process(const SnapshotWork& work);

 private:
  ClusterState clusterState;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_SNAPSHOT_WRITER_HPP
