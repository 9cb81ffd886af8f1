// What a controller has yet to write to its disk, and the messages that wait for it. It decides
// when a record is due and what the record holds; the owner of the RaftNode writes the record and
// reports when it is synced. At most one write is under way: what changes meanwhile goes into the
// next one (group commit). docs/design.md 3.3.
#ifndef ANISELINE_RAFT_WRITE_AHEAD_QUEUE_HPP
#define ANISELINE_RAFT_WRITE_AHEAD_QUEUE_HPP
#include "raft/messages.hpp"
#include "raft/raft_log.hpp"

namespace aniseline {

// The state that a record is made of.
struct PersistentState {
  Term term;
  const ControllerId& votedFor;
  const Snapshot& snapshot;
  const RaftLog& log;
};

class WriteAheadQueue {
 public:
  // --- While the node is restored

  // A record was read from the disk.
  void recordRestored(const WriteAheadRecord& record);
  // All records were read; the log ends at this index.
  void finishRestore(LogIndex lastIndex) { synced = durable = lastIndex; }

  // --- What is to be written

  // The term, the vote or the log from `index` on has changed. An index past the log's end stands
  // for a change of term or vote only.
  void persistFrom(LogIndex index);
  // The next record is to hold the newest snapshot.
  void persistSnapshot() { snapshotPending = true; }
  // The node votes for itself in a new term. That vote counts once the next record is synced; a
  // write under way holds the vote of an earlier term.
  void persistOwnVote(LogIndex index);
  // Nothing waits to be written and no write is under way.
  bool isIdle() const { return !dirty && !inFlight; }
  // The next record to write, if any is due and none is under way.
  std::optional<WriteAheadRecord> take(const PersistentState& state);

  // --- What is on the disk

  struct SyncResult {
    std::vector<PeerMessage> released;  // the messages that may leave now, in their order
    bool ownVoteSynced = false;
  };
  // The record of this version is durable; nothing where it is not the one under way. The node's
  // log ends at `lastIndex`.
  std::optional<SyncResult> onSynced(DiskVersion version, LogIndex lastIndex);
  // Holds a message back until everything that has changed up to now is durable.
  void sendAfterSync(PeerMessage message);
  // The log up to here is durable and is still the node's log.
  LogIndex syncedIndex() const { return synced; }
  // What the disk holds, whichever leader's log it is. It is lower than what was once acknowledged
  // only where the disk was replaced by another. docs/design.md 3.5.
  LogIndex durableIndex() const { return durable; }
  // The log was cut off from `index` on.
  void truncateFrom(LogIndex index);
  // What the disk holds after this index is not the node's log any more.
  void limitSynced(LogIndex index);

  // --- What has accumulated since the last record with a snapshot

  std::uint64_t recordsSinceSnapshot() const { return recordCount; }
  std::uint64_t bytesSinceSnapshot() const { return recordBytes; }

 private:
  friend struct RaftNodeFingerprint;
  struct InFlightWrite {
    DiskVersion version;
    LogIndex lastIndex;  // of the log that it holds, as far as that is still the node's
    bool includesOwnVote = false;
  };
  struct MessageAwaitingSync {
    DiskVersion neededVersion;
    PeerMessage message;
  };
  DiskVersion nextVersion{1};
  std::optional<InFlightWrite> inFlight;
  bool dirty = false;
  LogIndex dirtyFromIndex;  // valid while dirty
  bool snapshotPending = false;
  bool ownVotePending = false;
  LogIndex synced;
  LogIndex durable;
  std::uint64_t recordCount = 0;
  std::uint64_t recordBytes = 0;
  std::vector<MessageAwaitingSync> messagesAwaitingSync;
};

}  // namespace aniseline

#endif  // ANISELINE_RAFT_WRITE_AHEAD_QUEUE_HPP
