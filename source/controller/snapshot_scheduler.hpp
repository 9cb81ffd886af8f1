// Collects what the snapshot writer needs to build the next snapshot, and
// decides when one is due. The writer itself works on another thread; the
// daemon hands it the work and hands back the packed state. docs/design.md 3.4.
#ifndef ANISELINE_CONTROLLER_SNAPSHOT_SCHEDULER_HPP
#define ANISELINE_CONTROLLER_SNAPSHOT_SCHEDULER_HPP
#include "controller/options.hpp"
#include "controller/snapshot_writer.hpp"

namespace aniseline {

class SnapshotScheduler {
 public:
  // Begins anew from a snapshot that was restored; one being packed is not
  // wanted any more.
  void restart(const std::string& state) {
    work = SnapshotWork{state, {}, std::nullopt};
    packing = false;
  }
  void recordApplied(const std::string& payload) { work.records.push_back(payload); }
  void requestIfDue(const RaftNode& raft, LogIndex appliedIndex, const ControllerOptions& options);
  SnapshotWork takeWork() { return std::exchange(work, {}); }
  // False: the snapshot that was packed is out of date, since another one was
  // installed meanwhile.
  bool finish() { return std::exchange(packing, false); }

 private:
  SnapshotWork work;
  bool packing = false;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_SNAPSHOT_SCHEDULER_HPP
