// Tracks the replication progress of one peer.
#include "raft/peer_progress.hpp"

namespace aniseline {

void PeerProgress::recordReply(WallTime wallTime, MonotonicTime now) {
  lastReplyAt = now;
  clockOffset = wallTime.milliseconds - now.milliseconds;
}

bool PeerProgress::acknowledgeRound(RoundNumber round) {
  if (round <= acknowledgedRound)
    return false;
  acknowledgedRound = round;
  return true;
}

void PeerProgress::recordRoundTrip(MonotonicTime sentAt, MonotonicTime now,
                                   const RaftOptions& options) {
  acknowledgedRoundSentAt = std::max(acknowledgedRoundSentAt, sentAt);
  window.onRoundTrip(now - sentAt, options);
}

void PeerProgress::recordSent(std::size_t entryCount, std::size_t bytes) {
  nextEntryIndex = LogIndex{nextEntryIndex.value + entryCount};
  unacknowledgedBatches.push_back({indexBefore(nextEntryIndex), bytes});
  unacknowledgedBytes += bytes;
}

// A reply to a later round was created later. A reply to an earlier round may just have been
// reordered on the network, and proves nothing. docs/design.md 3.5.
bool PeerProgress::checkLastIndex(LogIndex lastIndex, RoundNumber round) {
  if (lastIndex >= matchedIndex)
    return true;
  stateLost = stateLost || round > matchRound;
  return false;
}

void PeerProgress::onMatch(LogIndex index, RoundNumber round) {
  if (index > matchedIndex) {
    matchedIndex = index;
    matchRound = round;
  }
  if (nextEntryIndex <= matchedIndex)
    nextEntryIndex = matchedIndex.next();
  discardAcknowledged();
}

bool PeerProgress::onMismatch(LogIndex index, RoundNumber round, RoundNumber currentRound,
                              LogIndex logBase) {
  const bool waitsForSnapshot = activeSnapshot && index < logBase;
  if (round <= resetRound || waitsForSnapshot)
    return false;
  activeSnapshot.reset();
  activeEntry.reset();
  clearUnacknowledged();
  resetRound = currentRound;
  nextEntryIndex = std::max(matchedIndex, std::min(index, indexBefore(nextEntryIndex))).next();
  return true;
}

ChunkProgress& PeerProgress::openSnapshotTransfer(const SnapshotIdentity& identity) {
  if (!activeSnapshot || activeSnapshot->identity != identity) {
    activeSnapshot = SnapshotTransfer{identity, {}};
    activeEntry.reset();
    clearUnacknowledged();
  }
  return activeSnapshot->chunks;
}

ChunkProgress* PeerProgress::findSnapshotTransfer(const SnapshotIdentity& identity) {
  return activeSnapshot && activeSnapshot->identity == identity ? &activeSnapshot->chunks : nullptr;
}

bool PeerProgress::isSendingEntryInChunks() {
  if (activeEntry && activeEntry->index != nextEntryIndex)
    activeEntry.reset();
  return activeEntry.has_value();
}

ChunkProgress& PeerProgress::openEntryTransfer() {
  if (!isSendingEntryInChunks())
    activeEntry = EntryTransfer{nextEntryIndex, {}};
  return activeEntry->chunks;
}

ChunkProgress* PeerProgress::findEntryTransfer(LogIndex index) {
  return activeEntry && activeEntry->index == index ? &activeEntry->chunks : nullptr;
}

void PeerProgress::discardAcknowledged() {
  while (!unacknowledgedBatches.empty() &&
         unacknowledgedBatches.front().lastIndex <= matchedIndex) {
    unacknowledgedBytes -= unacknowledgedBatches.front().bytes;
    unacknowledgedBatches.pop_front();
  }
}

void PeerProgress::clearUnacknowledged() {
  unacknowledgedBatches.clear();
  unacknowledgedBytes = 0;
}

}  // namespace aniseline
