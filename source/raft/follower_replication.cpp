// A follower's side of log replication: which leader it follows, what of its log is known to be
// that leader's, and what it may claim to hold. docs/design.md 3.2, 3.3, 3.4.
#include "raft/node.hpp"

namespace aniseline {

// Follows the sender of any leader's message. False where its term is over.
bool RaftNode::acceptLeader(const ControllerId& leader, Term term, RoundNumber round,
                            MonotonicTime now) {
  if (term < currentTerm) {
    sendAppendReply(leader, false, LogIndex{}, RoundNumber{});
    return false;
  }
  observeTerm(term, now);
  if (isLeader())
    return false;  // impossible, since a term has one leader
  if (currentRole == Role::candidate)
    becomeFollower(now);
  recordLeaderContact(leader, term, round, now);
  return true;
}

void RaftNode::recordLeaderContact(const ControllerId& leader, Term term, RoundNumber round,
                                   MonotonicTime now) {
  knownLeader = leader;
  lastLeaderContactAt = now;
  resetElectionTimer(now);
  const bool isNew = lastAppendLeader != leader || lastAppendTerm != term;
  // Of the log only the committed part is known to be in a new leader's log. docs/design.md 3.3.
  if (isNew)
    verifiedIndex = committedIndex;
  lastAppendRound = isNew ? round : std::max(lastAppendRound, round);
  lastAppendLeader = leader;
  lastAppendTerm = term;
}

void RaftNode::handle(const PeerMessage& message, const AppendEntries& body, MonotonicTime now) {
  if (!acceptLeader(message.from, body.term, body.round, now))
    return;
  // What lies before the base is committed, so it is in the leader's log too.
  if (body.previousLogIndex < log.baseIndex()) {
    const LogIndex match = std::min(writes.syncedIndex(), committedIndex);
    return sendAppendReply(message.from, true, match, body.round);
  }
  // Up to verifiedIndex the logs agree, so that one reply sets the leader back far enough.
  // docs/design.md 3.4.
  if (!log.contains({body.previousLogTerm, body.previousLogIndex}))
    return sendAppendReply(message.from, false, verifiedIndex, body.round);
  const LogIndex lastSent = storeEntries(body);
  committedIndex = std::max(committedIndex, std::min(body.leaderCommit, lastSent));
  if (incomingSnapshot && incomingSnapshot->identity.lastIncludedIndex <= committedIndex)
    incomingSnapshot.reset();
  replicatedIndexWithoutSelf = body.replicatedIndexWithoutReceiver;
  verifiedIndex = std::max(verifiedIndex, lastSent);
  const LogIndex match = std::min(lastSent, writes.syncedIndex());
  sendAppendReply(message.from, true, match, body.round);
}

// Makes the log agree with the sent entries, and returns the index of the last of them. Entries
// that are here already stay, with all that follows them: the message may be an old one.
LogIndex RaftNode::storeEntries(const AppendEntries& body) {
  LogIndex index = body.previousLogIndex;
  bool membershipChanged = false;
  for (const auto& added : body.entries) {
    index = index.next();
    if (log.contains({added.term, index}))
      continue;
    if (index <= lastIndex())
      truncateLog(index);
    log.append(added);
    writes.persistFrom(index);
    membershipChanged = membershipChanged || added.isMembership;
  }
  if (membershipChanged) {
    reloadMembership();
    promoteIfVoter();
    if (currentRole == Role::follower && !isVoter())
      currentRole = Role::learner;
  }
  return index;
}

void RaftNode::truncateLog(LogIndex from) {
  log.truncateFrom(from);
  writes.truncateFrom(from);
  if (membershipIndex >= from)
    reloadMembership();
}

void RaftNode::sendAppendReply(const ControllerId& to, bool success, LogIndex matchIndex,
                               RoundNumber answered) {
  AppendEntriesReply reply;
  reply.term = currentTerm;
  reply.success = success;
  reply.matchIndex = matchIndex;
  reply.lastLogIndex = std::max(syncedLogIndex(), writes.durableIndex());
  reply.round = answered;
  reply.wallTime = wallTimeAt(currentTime);
  send(to, reply);
}

}  // namespace aniseline
