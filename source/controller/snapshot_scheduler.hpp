// Collects the input that the snapshot writer needs for the next snapshot, and decides when a
// snapshot is due. The writer itself runs on another thread; the daemon passes the work to it and
// returns the packed state. docs/design.md 3.4.
#ifndef ANISELINE_CONTROLLER_SNAPSHOT_SCHEDULER_HPP
#define ANISELINE_CONTROLLER_SNAPSHOT_SCHEDULER_HPP
#include "controller/options.hpp"
#include "controller/snapshot_writer.hpp"

namespace aniseline {

class SnapshotScheduler {
 public:
  // Starts again from a restored snapshot and discards the snapshot that is being packed.
  void restart(const std::string& state) {
    work = SnapshotWork{state, {}, std::nullopt};
    packing = false;
  }
  void recordApplied(const std::string& payload) { work.records.push_back(payload); }
  void requestIfDue(const RaftNode& raft, LogIndex appliedIndex, const ControllerOptions& options);
  SnapshotWork takeWork() { return std::exchange(work, {}); }
  // Ends the packing of a snapshot. Returns false if the packed snapshot is obsolete because
  // another one was installed in the meantime.
  bool finishPacking() { return std::exchange(packing, false); }

 private:
  SnapshotWork work;
  bool packing = false;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_SNAPSHOT_SCHEDULER_HPP
