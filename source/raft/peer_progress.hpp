// What a leader knows of one other member: how far its log matches, what is under way to it, and
// when it was in contact. A RaftNode owns one for each other member while it leads.
// docs/design.md 3.2, 3.4, 3.5.
#ifndef ANISELINE_RAFT_PEER_PROGRESS_HPP
#define ANISELINE_RAFT_PEER_PROGRESS_HPP
#include "raft/chunk_progress.hpp"
#include "raft/send_window.hpp"

namespace aniseline {

class PeerProgress {
 public:
  // A follower counts as heard from at `now`, so that it has time to answer.
  PeerProgress(LogIndex nextIndex, MonotonicTime now, const RaftOptions& options)
      : nextEntryIndex(nextIndex),
        lastReplyAt(now),
        acknowledgedRoundSentAt(now),
        window(options) {}

  // --- Contact

  // A reply came, with the follower's calendar clock in it.
  void recordReply(WallTime wallTime, MonotonicTime now);
  // The reply answers this round. True where that is a later one than any answered before.
  bool acknowledgeRound(RoundNumber round);
  // The newly acknowledged round was sent at this time.
  void recordRoundTrip(MonotonicTime sentAt, MonotonicTime now, const RaftOptions& options);
  RoundNumber ackedRound() const { return acknowledgedRound; }
  MonotonicTime lastContact() const { return lastReplyAt; }
  // The follower still followed this leader at that time: the last acknowledged round was sent
  // then.
  MonotonicTime ackedRoundSentAt() const { return acknowledgedRoundSentAt; }
  // The follower's calendar clock minus the leader's monotonic clock, in milliseconds.
  const std::optional<std::int64_t>& wallClockOffset() const { return clockOffset; }

  // --- Replication by AppendEntries

  // The next entry to send.
  LogIndex nextIndex() const { return nextEntryIndex; }
  // Up to here the follower's log is the leader's and durable.
  LogIndex matchIndex() const { return matchedIndex; }
  // Bytes that may be sent now without exceeding the window.
  bool fitsWindow(std::size_t bytes) const { return unacknowledgedBytes + bytes <= window.bytes(); }
  bool allAcknowledged() const { return unacknowledgedBatches.empty(); }
  SendWindow& sendWindow() { return window; }
  // Entries were sent, from nextIndex on.
  void recordSent(std::size_t entryCount, std::size_t bytes);
  // A reply of a round says that the follower's log ends at `lastIndex`. False where that is less
  // than it has acknowledged; the reply then says nothing more.
  bool checkLastIndex(LogIndex lastIndex, RoundNumber round);
  // The follower holds what it once acknowledged no more: its disk is another one.
  bool hasLostState() const { return stateLost; }
  // The follower matches up to `index`, as the reply of a round says.
  void onMatch(LogIndex index, RoundNumber round);
  // The follower rejected what was sent, and matches up to `index` at least; it is sent again from
  // there. False where the reply is to something that was sent before the last such step back, and
  // therefore says nothing new.
  bool onMismatch(LogIndex index, RoundNumber round, RoundNumber currentRound, LogIndex logBase);

  // --- Transfers in chunks; at most one of a snapshot and one of an entry

  struct SnapshotTransfer {
    SnapshotIdentity identity;
    ChunkProgress chunks;
  };
  struct EntryTransfer {
    LogIndex index;
    ChunkProgress chunks;
  };
  const std::optional<SnapshotTransfer>& snapshotTransfer() const { return activeSnapshot; }
  // The transfer of this snapshot, begun anew where another or none was under way.
  ChunkProgress& openSnapshotTransfer(const SnapshotIdentity& identity);
  // The transfer of this snapshot, or null where it is not the one under way.
  ChunkProgress* findSnapshotTransfer(const SnapshotIdentity& identity);
  // The snapshot is not needed any more: the follower's log reaches the leader's.
  void closeSnapshotTransfer() { activeSnapshot.reset(); }
  // Whether the next entry is being sent in chunks. A transfer of any other entry is dropped.
  bool isSendingEntryInChunks();
  // The transfer of the next entry, begun anew where none was under way.
  ChunkProgress& openEntryTransfer();
  // The transfer of the entry at this index, or null where it is not the one under way.
  ChunkProgress* findEntryTransfer(LogIndex index);

 private:
  friend struct RaftNodeFingerprint;
  struct UnacknowledgedBatch {
    LogIndex lastIndex;
    std::size_t bytes = 0;
  };
  void discardAcknowledged();
  void clearUnacknowledged();

  LogIndex nextEntryIndex;
  LogIndex matchedIndex;
  RoundNumber resetRound;  // in which nextIndex was last set back
  RoundNumber matchRound;  // of the reply that last raised matchIndex
  RoundNumber acknowledgedRound;
  MonotonicTime lastReplyAt;
  MonotonicTime acknowledgedRoundSentAt;
  std::optional<std::int64_t> clockOffset;
  bool stateLost = false;
  std::optional<SnapshotTransfer> activeSnapshot;
  std::optional<EntryTransfer> activeEntry;
  std::deque<UnacknowledgedBatch> unacknowledgedBatches;
  std::size_t unacknowledgedBytes = 0;  // the sum over the batches
  SendWindow window;
};

}  // namespace aniseline

#endif  // ANISELINE_RAFT_PEER_PROGRESS_HPP
