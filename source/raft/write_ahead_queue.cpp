// Builds write-ahead records and tracks what is durable.
#include "raft/write_ahead_queue.hpp"

namespace aniseline {

void WriteAheadQueue::recordRestored(const WriteAheadRecord& record) {
  recordCount = record.holdsSnapshot ? 0 : recordCount + 1;
  nextVersion = record.version.next();
}

void WriteAheadQueue::persistFrom(LogIndex index) {
  if (!dirty || index < dirtyFromIndex)
    dirtyFromIndex = index;
  dirty = true;
}

void WriteAheadQueue::persistOwnVote(LogIndex index) {
  ownVotePending = true;
  if (inFlight)
    inFlight->includesOwnVote = false;
  persistFrom(index);
}

std::optional<WriteAheadRecord> WriteAheadQueue::take(const PersistentState& state) {
  if (inFlight || (!dirty && !snapshotPending))
    return std::nullopt;
  WriteAheadRecord record;
  record.version = nextVersion;
  record.term = state.term;
  record.votedFor = state.votedFor;
  record.cluster = state.cluster;
  record.holdsSnapshot = snapshotPending;
  record.firstIndex = dirtyFromIndex;
  if (snapshotPending) {
    record.snapshot = state.snapshot;
    record.firstIndex = state.snapshot.lastIncludedIndex.next();
  }
  const LogIndex last = state.log.lastIndex();
  std::uint64_t bytes = 0;
  for (LogIndex index = record.firstIndex; index <= last; index = index.next()) {
    record.entries.push_back(state.log.entry(index));
    bytes += bytesOf(state.log.entry(index));
  }
  recordCount = snapshotPending ? 0 : recordCount + 1;
  recordBytes = snapshotPending ? 0 : recordBytes + bytes;
  inFlight = InFlightWrite{nextVersion, last, ownVotePending};
  nextVersion = nextVersion.next();
  dirty = snapshotPending = ownVotePending = false;
  return record;
}

std::optional<WriteAheadQueue::SyncResult> WriteAheadQueue::onSynced(DiskVersion version,
                                                                     LogIndex lastIndex) {
  if (!inFlight || inFlight->version != version)
    return std::nullopt;
  synced = std::max(synced, inFlight->lastIndex);
  durable = std::max(std::min(durable, lastIndex), synced);
  SyncResult result;
  result.ownVoteSynced = inFlight->includesOwnVote;
  inFlight.reset();
  std::vector<MessageAwaitingSync> stillWaiting;
  for (auto& held : messagesAwaitingSync) {
    if (held.neededVersion <= version)
      result.released.push_back(std::move(held.message));
    else
      stillWaiting.push_back(std::move(held));
  }
  messagesAwaitingSync = std::move(stillWaiting);
  return result;
}

void WriteAheadQueue::sendAfterSync(PeerMessage message) {
  messagesAwaitingSync.push_back({nextVersion, std::move(message)});
}

void WriteAheadQueue::truncateFrom(LogIndex index) {
  limitSynced(indexBefore(index));
  durable = std::min(durable, indexBefore(index));
  persistFrom(index);
}

void WriteAheadQueue::limitSynced(LogIndex index) {
  synced = std::min(synced, index);
  if (inFlight)
    inFlight->lastIndex = std::min(inFlight->lastIndex, index);
}

}  // namespace aniseline
