// The follower's side of log replication: accepting a leader, storing its entries, and tracking how
// much of the log is verified and may be acknowledged. docs/design.md 3.2, 3.3, 3.4.
#include "raft/node.hpp"

namespace aniseline {

// Accepts the sender of a leader's message as the current leader. Returns false if its term is
// outdated.
bool RaftNode::acceptLeader(const ControllerId& leader, Term term, RoundNumber round,
                            MonotonicTime now) {
  if (term < currentTerm) {
    sendAppendReply(leader, false, LogIndex{}, RoundNumber{});
    return false;
  }
  observeTerm(term, now);
  if (isLeader())
    return false;  // cannot happen, since a term has at most one leader
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
  // A new leader's log is only known to contain the committed part of this log. docs/design.md 3.3.
  if (isNew)
    verifiedIndex = committedIndex;
  lastAppendRound = isNew ? round : std::max(lastAppendRound, round);
  lastAppendLeader = leader;
  lastAppendTerm = term;
}

void RaftNode::handle(const PeerMessage& message, const AppendEntries& body, MonotonicTime now) {
  if (!acceptLeader(message.from, body.term, body.round, now))
    return;
  // Entries up to the log base are committed, so the leader's log contains them too.
  if (body.previousLogIndex < log.baseIndex()) {
    const LogIndex match = std::min(writes.syncedIndex(), committedIndex);
    return sendAppendReply(message.from, true, match, body.round);
  }
  // The logs match up to verifiedIndex. Replying with it lets the leader go back far enough in one
  // step. docs/design.md 3.4.
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

// Makes the log match the received entries and returns the index of the last one. Entries that the
// log already contains are kept together with all entries after them, because the message may be an
// old one.
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
