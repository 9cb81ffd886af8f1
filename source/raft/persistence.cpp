// What must be on disk before a message that rests on it may leave. docs/design.md 3.3.
#include "raft/node.hpp"

namespace aniseline {

void RaftNode::persistFrom(LogIndex from) {
  if (!dirty || from < dirtyFromIndex)
    dirtyFromIndex = from;
  dirty = true;
}

std::optional<WriteAheadRecord> RaftNode::takeWrite() {
  if (writeInFlight || (!dirty && !snapshotWritePending))
    return std::nullopt;
  WriteAheadRecord record;
  record.version = nextVersion;
  nextVersion = nextVersion.next();
  record.term = currentTerm;
  record.votedFor = votedFor;
  record.holdsSnapshot = snapshotWritePending;
  if (snapshotWritePending) {
    record.snapshot = latestSnapshot;
    record.firstIndex = latestSnapshot.lastIncludedIndex.next();
    for (LogIndex index = record.firstIndex; index <= lastIndex(); index = index.next())
      record.entries.push_back(entry(index));
    logRecordCount = 0;
    logRecordBytes = 0;
  } else {
    record.firstIndex = dirtyFromIndex;
    for (LogIndex index = dirtyFromIndex; index <= lastIndex(); index = index.next()) {
      record.entries.push_back(entry(index));
      logRecordBytes += bytesOf(entry(index));
    }
    ++logRecordCount;
  }
  writeInFlight = WriteInFlight{record.version, lastIndex(), ownVotePending};
  ownVotePending = false;
  dirty = snapshotWritePending = false;
  return record;
}

void RaftNode::onWriteSynced(DiskVersion version, MonotonicTime now) {
  if (!writeInFlight || writeInFlight->version != version)
    return;
  currentTime = now;
  syncedIndex = std::max(syncedIndex, writeInFlight->lastIndex);
  durableIndex = std::max(std::min(durableIndex, lastIndex()), syncedIndex);
  const bool ownVote = writeInFlight->includesOwnVote;
  writeInFlight.reset();
  std::vector<std::pair<DiskVersion, PeerMessage>> later;
  for (auto& [needs, message] : messagesAwaitingSync) {
    if (needs <= version) {
      outgoingMessages.push_back(std::move(message));
    } else
      later.emplace_back(needs, std::move(message));
  }
  messagesAwaitingSync = std::move(later);
  if (ownVote && currentRole == Role::candidate && !preVoteElection && votedFor == selfMember.id) {
    votesGranted.insert(selfMember.id);
    countVotes(now);
  }
  if (isLeader())
    advanceCommitIndex();
  else if (!lastAppender.value.empty() && lastAppender == knownLeader)
    sendAppendReply(lastAppender, true, std::min(syncedIndex, verifiedIndex), lastAppendRound);
}

}  // namespace aniseline
