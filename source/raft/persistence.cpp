// What must be on disk before a message that rests on it may leave. docs/design.md 3.3.
#include "raft/node.hpp"

namespace aniseline {

void RaftNode::mark(LogIndex from) {
  if (!dirty || from < dirtyFrom)
    dirtyFrom = from;
  dirty = true;
}

std::optional<WriteAheadRecord> RaftNode::takeWrite() {
  if (inFlight || (!dirty && !wantWhole))
    return std::nullopt;
  WriteAheadRecord record;
  record.version = nextVersion;
  nextVersion = nextVersion.next();
  record.term = currentTerm;
  record.vote = vote;
  record.whole = wantWhole;
  if (wantWhole) {
    record.snapshot = stored;
    record.first = stored.index.next();
    for (LogIndex index = record.first; index <= last(); index = index.next())
      record.entries.push_back(entry(index));
    sinceWhole = 0;
    bytesWritten = 0;
  } else {
    record.first = dirtyFrom;
    for (LogIndex index = dirtyFrom; index <= last(); index = index.next()) {
      record.entries.push_back(entry(index));
      bytesWritten += bytesOf(entry(index));
    }
    ++sinceWhole;
  }
  inFlight = InFlight{record.version, last(), ownVotePending};
  ownVotePending = false;
  dirty = wantWhole = false;
  return record;
}

void RaftNode::synced(DiskVersion version, MonotonicTime now) {
  if (!inFlight || inFlight->version != version)
    return;
  clockNow = now;
  syncedIndex = std::max(syncedIndex, inFlight->covers);
  durableIndex = std::max(std::min(durableIndex, last()), syncedIndex);
  const bool ownVote = inFlight->ownVote;
  inFlight.reset();
  std::vector<std::pair<DiskVersion, PeerMessage>> later;
  for (auto& [needs, message] : afterSync) {
    if (needs <= version) {
      outgoing.push_back(std::move(message));
    } else
      later.emplace_back(needs, std::move(message));
  }
  afterSync = std::move(later);
  if (ownVote && currentRole == Role::candidate && !trialElection && vote == own.id) {
    votes.insert(own.id);
    countVotes(now);
  }
  if (leads())
    advanceCommit();
  else if (!lastAppender.value.empty() && lastAppender == knownLeader)
    replyAppend(lastAppender, true, std::min(syncedIndex, shownBy), lastRoundSeen);
}

}  // namespace aniseline
