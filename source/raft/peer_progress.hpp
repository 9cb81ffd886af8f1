// A leader's view of one other member: match index, data in flight, and the time of last contact. A
// RaftNode owns one for each other member while it is the leader. docs/design.md 3.2, 3.4, 3.5.
#ifndef ANISELINE_RAFT_PEER_PROGRESS_HPP
#define ANISELINE_RAFT_PEER_PROGRESS_HPP
#include "raft/chunk_progress.hpp"
#include "raft/send_window.hpp"

namespace aniseline {

class PeerProgress {
 public:
  // The follower is considered in contact at `now`, which gives it time to reply.
  PeerProgress(LogIndex nextIndex, MonotonicTime now, const RaftOptions& options)
      : nextEntryIndex(nextIndex),
        lastReplyAt(now),
        acknowledgedRoundSentAt(now),
        window(options) {}

  // --- Contact

  // Records a reply and the follower's calendar clock that it contained.
  void recordReply(WallTime wallTime, MonotonicTime now);
  // Records that a reply answers this round. Returns true if no later or equal round was
  // acknowledged before.
  bool acknowledgeRound(RoundNumber round);
  // Records the time at which the newly acknowledged round was sent.
  void recordRoundTrip(MonotonicTime sentAt, MonotonicTime now, const RaftOptions& options);
  RoundNumber ackedRound() const { return acknowledgedRound; }
  MonotonicTime lastContact() const { return lastReplyAt; }
  // Returns the time at which the last acknowledged round was sent. The follower still followed
  // this leader at that time.
  MonotonicTime ackedRoundSentAt() const { return acknowledgedRoundSentAt; }
  // Returns the follower's calendar clock minus the leader's monotonic clock, in milliseconds.
  const std::optional<std::int64_t>& wallClockOffset() const { return clockOffset; }

  // --- Replication by AppendEntries

  // Returns the index of the next entry to send.
  LogIndex nextIndex() const { return nextEntryIndex; }
  // Returns the index up to which the follower's log matches the leader's and is durable.
  LogIndex matchIndex() const { return matchedIndex; }
  // Reports whether this number of bytes can be sent now without exceeding the window.
  bool fitsWindow(std::size_t bytes) const { return unacknowledgedBytes + bytes <= window.bytes(); }
  bool allAcknowledged() const { return unacknowledgedBatches.empty(); }
  SendWindow& sendWindow() { return window; }
  // Records that entries starting at nextIndex were sent.
  void recordSent(std::size_t entryCount, std::size_t bytes);
  // Checks the end of the follower's log as stated in its reply to a round. Returns false if
  // `lastIndex` is lower than the acknowledged index; the rest of the reply must then be ignored.
  bool checkLastIndex(LogIndex lastIndex, RoundNumber round);
  // Reports whether the follower no longer holds entries that it acknowledged, which means that its
  // disk was replaced.
  bool hasLostState() const { return stateLost; }
  // Records that the follower's log matches up to `index`, as stated in its reply to a round.
  void onMatch(LogIndex index, RoundNumber round);
  // Records that the follower rejected entries and that its log matches at least up to `index`,
  // from where sending resumes. Returns false if the reply answers a message sent before nextIndex
  // was last moved back, and therefore contains nothing new.
  bool onMismatch(LogIndex index, RoundNumber round, RoundNumber currentRound, LogIndex logBase);

  // --- Transfers in chunks; at most one snapshot and one entry at a time

  struct SnapshotTransfer {
    SnapshotIdentity identity;
    ChunkProgress chunks;
  };
  struct EntryTransfer {
    LogIndex index;
    ChunkProgress chunks;
  };
  const std::optional<SnapshotTransfer>& snapshotTransfer() const { return activeSnapshot; }
  // Returns the transfer of this snapshot. Starts it if it is not the active one.
  ChunkProgress& openSnapshotTransfer(const SnapshotIdentity& identity);
  // Returns the transfer of this snapshot, or null if it is not the active one.
  ChunkProgress* findSnapshotTransfer(const SnapshotIdentity& identity);
  // Ends the snapshot transfer because the follower's log now reaches the start of the leader's
  // log.
  void closeSnapshotTransfer() { activeSnapshot.reset(); }
  // Reports whether the next entry is being sent in chunks. Drops the transfer of any other entry.
  bool isSendingEntryInChunks();
  // Returns the transfer of the next entry. Starts it if it is not active.
  ChunkProgress& openEntryTransfer();
  // Returns the transfer of the entry at this index, or null if it is not the active one.
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
  RoundNumber resetRound;  // round in which nextIndex was last moved back
  RoundNumber matchRound;  // round of the reply that last increased matchIndex
  RoundNumber acknowledgedRound;
  MonotonicTime lastReplyAt;
  MonotonicTime acknowledgedRoundSentAt;
  std::optional<std::int64_t> clockOffset;
  bool stateLost = false;
  std::optional<SnapshotTransfer> activeSnapshot;
  std::optional<EntryTransfer> activeEntry;
  std::deque<UnacknowledgedBatch> unacknowledgedBatches;
  std::size_t unacknowledgedBytes = 0;  // sum over unacknowledgedBatches
  SendWindow window;
};

}  // namespace aniseline

#endif  // ANISELINE_RAFT_PEER_PROGRESS_HPP
