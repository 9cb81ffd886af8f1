// The changes that a controller still has to write to disk, and the messages that must wait for
// them. The queue decides when a record is due and what it contains. The owner of the RaftNode
// writes the record and reports when it is synced. At most one write is in flight; changes made in
// the meantime go into the next record (group commit). docs/design.md 3.3.
#ifndef ANISELINE_RAFT_WRITE_AHEAD_QUEUE_HPP
#define ANISELINE_RAFT_WRITE_AHEAD_QUEUE_HPP
#include "raft/messages.hpp"
#include "raft/raft_log.hpp"

namespace aniseline {

// The state from which a record is built.
struct PersistentState {
  Term term;
  const ControllerId& votedFor;
  const Snapshot& snapshot;
  const RaftLog& log;
  const ClusterId& cluster;
};

class WriteAheadQueue {
 public:
  // --- Restoring

  // Accounts for a record that was read from disk.
  void recordRestored(const WriteAheadRecord& record);
  // Ends restoring: all records were read, and the log ends at this index.
  void finishRestore(LogIndex lastIndex) { synced = durable = lastIndex; }

  // --- Pending changes

  // Marks the term, the vote or the log starting at `index` as changed. An index after the end of
  // the log marks only the term and vote.
  void persistFrom(LogIndex index);
  // Requests that the next record contain the latest snapshot.
  void persistSnapshot() { snapshotPending = true; }
  // Records that the node votes for itself in a new term. The vote counts once the next record is
  // synced, because a write that is already in flight holds an earlier term's vote.
  void persistOwnVote(LogIndex index);
  // Reports whether no change is pending and no write is in flight.
  bool isIdle() const { return !dirty && !inFlight; }
  // Returns the next record to write if one is due and no write is in flight.
  std::optional<WriteAheadRecord> take(const PersistentState& state);

  // --- Durable state

  struct SyncResult {
    std::vector<PeerMessage> released;  // messages that may be sent now, in order
    bool ownVoteSynced = false;
  };
  // Records that the record of this version is durable. Returns nullopt if it is not the one in
  // flight. `lastIndex` is the current end of the node's log.
  std::optional<SyncResult> onSynced(DiskVersion version, LogIndex lastIndex);
  // Holds a message back until every change made so far is durable.
  void sendAfterSync(PeerMessage message);
  // Returns the index up to which the node's current log is durable.
  LogIndex syncedIndex() const { return synced; }
  // Returns the last index on disk, regardless of which leader's log it belongs to. It is lower
  // than an acknowledged index only if the disk was replaced. docs/design.md 3.5.
  LogIndex durableIndex() const { return durable; }
  // Records that the log was truncated starting at `index`.
  void truncateFrom(LogIndex index);
  // Records that entries on disk after this index no longer belong to the node's log.
  void limitSynced(LogIndex index);

  // --- Amount written since the last record with a snapshot

  std::uint64_t recordsSinceSnapshot() const { return recordCount; }
  std::uint64_t bytesSinceSnapshot() const { return recordBytes; }

 private:
  friend struct RaftNodeFingerprint;
  struct InFlightWrite {
    DiskVersion version;
    LogIndex lastIndex;  // last index of the log in the record that is still in the node's log
    bool includesOwnVote = false;
  };
  struct MessageAwaitingSync {
    DiskVersion neededVersion;
    PeerMessage message;
  };
  DiskVersion nextVersion{1};
  std::optional<InFlightWrite> inFlight;
  bool dirty = false;
  LogIndex dirtyFromIndex;  // valid only while dirty
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
