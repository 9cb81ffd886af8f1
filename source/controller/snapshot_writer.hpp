// Keeps a fold of its own from which whole views are packed, off the thread that leads and plans.
// docs/design.md 3.4.
#ifndef ANISELINE_CONTROLLER_SNAPSHOT_WRITER_HPP
#define ANISELINE_CONTROLLER_SNAPSHOT_WRITER_HPP
#include "state/cluster_state.hpp"

namespace aniseline {

// What the core hands over, in the order in which it came about.
struct SnapshotWork {
  std::optional<std::string> restartFrom;  // a view to begin from
  std::vector<std::string> records;        // committed since
  std::optional<LogIndex> packThrough;     // wanted: the view of all that up to here
  bool empty() const { return !restartFrom && records.empty() && !packThrough; }
};
struct PackedSnapshot {
  LogIndex index;
  std::string state;
};

class SnapshotWriter {
 public:
  std::optional<PackedSnapshot> process(const SnapshotWork& work);

 private:
  ClusterState clusterState;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_SNAPSHOT_WRITER_HPP
