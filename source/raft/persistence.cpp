// Durability: hands out write-ahead records, and processes completed syncs, which release held
// messages, count the node's own vote and advance the acknowledged index. docs/design.md 3.3.
#include "raft/node.hpp"

namespace aniseline {

std::optional<WriteAheadRecord> RaftNode::takeWrite() {
  return writes.take({currentTerm, votedFor, latestSnapshot, log, currentCluster});
}

void RaftNode::onWriteSynced(DiskVersion version, MonotonicTime now) {
  auto result = writes.onSynced(version, lastIndex());
  if (!result)
    return;
  currentTime = now;
  for (auto& message : result->released)
    outgoingMessages.push_back(std::move(message));
  const bool isElection = currentRole == Role::candidate && !preVoteElection;
  if (result->ownVoteSynced && isElection && votedFor == selfMember.id) {
    votesGranted.insert(selfMember.id);
    countVotes(now);
  }
  if (isLeader()) {
    advanceCommitIndex();
  } else if (!lastAppendLeader.value.empty() && lastAppendLeader == knownLeader) {
    const LogIndex match = std::min(writes.syncedIndex(), verifiedIndex);
    sendAppendReply(lastAppendLeader, true, match, lastAppendRound);
  }
}

}  // namespace aniseline
