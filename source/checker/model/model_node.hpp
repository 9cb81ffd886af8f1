// One controller of the model: its RaftNode, its disk and its clock.
#ifndef ANISELINE_CHECKER_MODEL_MODEL_NODE_HPP
#define ANISELINE_CHECKER_MODEL_MODEL_NODE_HPP
#include "checker/model/fingerprint.hpp"

namespace aniseline::model {

// The data that a controller would read from its disk, computed by the model from the synced
// records.
struct DiskImage {
  Term term;
  ControllerId vote;
  Snapshot snapshot;
  std::vector<LogEntry> entries;  // after the snapshot
  void append(const WriteAheadRecord& record);
  LogIndex lastIndex() const { return LogIndex{snapshot.lastIncludedIndex.value + entries.size()}; }
  // Reports whether the entry with this index and term is on the disk, either in the log or covered
  // by the snapshot.
  bool contains(LogIndex index, Term term) const;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& vote& snapshot& entries;
  }
};

// The current identity of a machine. It is copied before each action, so that states share the
// nodes that an action does not change.
class ModelNode {
 public:
  ModelNode(const Member& self, const RaftOptions& options, std::vector<WriteAheadRecord> disk);

  MonotonicTime now() const { return clock; }
  void advanceClock(Duration span) { clock = clock + span; }
  void tick() { raft.tick(clock, WallTime{}); }
  // Passes a write to the disk. Returns false if there is none or one is already in progress.
  bool startWrite();
  bool writing() const { return inFlight.has_value(); }
  const WriteAheadRecord& writeInFlight() const { return *inFlight; }
  // Puts the write in progress on the disk and notifies the node.
  void completeWrite();
  // Notifies the node without storing the write, as a disk does that acknowledges unsynced writes.
  void acknowledgeWithoutWriting();
  // Restarts the process from the disk; the write in progress is kept or lost.
  void restart(const RaftOptions& options, bool keepsWrite, bool forgetsLastRecord = false);
  // Makes a new leader propose its first entry immediately, as Controller does.
  void proposeOpeningEntry();
  // Returns a payload that no other run of this node proposes.
  std::string uniquePayload(const std::string& what) const;
  std::uint64_t hash() const;

  Member self;
  RaftNode raft;
  DiskImage diskImage;

 private:
  static RaftNode startRaft(const Member& self, const RaftOptions& options,
                            const std::vector<WriteAheadRecord>& disk, MonotonicTime now);
  void appendToDisk(const WriteAheadRecord& record);
  void rebuildDiskImage();
  std::vector<WriteAheadRecord> disk;
  std::optional<WriteAheadRecord> inFlight;
  MonotonicTime clock;
  Term openedTerm;
  std::uint8_t restarts = 0;
};

}  // namespace aniseline::model

#endif  // ANISELINE_CHECKER_MODEL_MODEL_NODE_HPP
