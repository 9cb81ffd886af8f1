// One controller of the model: its RaftNode, its disk and its clock.
#ifndef ANISELINE_CHECKER_MODEL_MODEL_NODE_HPP
#define ANISELINE_CHECKER_MODEL_MODEL_NODE_HPP
#include "checker/model/fingerprint.hpp"

namespace aniseline::model {

// What a controller would find on its disk: the model's own fold of the synced records.
struct DiskImage {
  Term term;
  ControllerId vote;
  Snapshot snapshot;
  std::vector<LogEntry> entries;  // after the snapshot
  void append(const WriteAheadRecord& record);
  LogIndex lastIndex() const { return LogIndex{snapshot.lastIncludedIndex.value + entries.size()}; }
  // Whether the entry of this index and term is on the disk, itself or folded into the snapshot.
  bool contains(LogIndex index, Term term) const;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& vote& snapshot& entries;
  }
};

// A machine's present identity. A copy is taken before each action, so that worlds share what an
// action leaves as it was.
class ModelNode {
 public:
  ModelNode(const Member& self, const RaftOptions& options, std::vector<WriteAheadRecord> disk);

  MonotonicTime now() const { return clock; }
  void advanceClock(Duration span) { clock = clock + span; }
  void tick() { raft.tick(clock, WallTime{}); }
  // Hands a write to the disk, if there is any and none is under way.
  bool startWrite();
  bool writing() const { return inFlight.has_value(); }
  const WriteAheadRecord& writeInFlight() const { return *inFlight; }
  // The write under way is on the disk, and the node is told.
  void completeWrite();
  // The node is told so, and the disk loses it: only a disk that lies does this.
  void acknowledgeWithoutWriting();
  // Ends the process and starts it from the disk; the write under way is kept or lost.
  void restart(const RaftOptions& options, bool keepsWrite, bool forgetsLastRecord = false);
  // The owner of a new leader proposes its opening entry at once, as Controller does.
  void proposeOpeningEntry();
  // No two lives of a node propose the same payload.
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
