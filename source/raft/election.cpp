// Leader election: terms, pre-votes, votes and leadership transfer. docs/design.md 3.2.
#include "raft/node.hpp"

namespace aniseline {

void RaftNode::resetElectionTimer(MonotonicTime now) {
  electionDeadline = now + Duration{random.between(options.electionTimeoutMin.milliseconds,
                                                   options.electionTimeoutMax.milliseconds)};
}

void RaftNode::observeTerm(Term term, MonotonicTime now) {
  if (term <= currentTerm)
    return;
  currentTerm = term;
  votedFor = ControllerId{};
  knownLeader = ControllerId{};
  persistFrom(lastIndex().next());
  if (currentRole != Role::learner)
    changeRole(Role::follower, now);
}

void RaftNode::changeRole(Role role, MonotonicTime now) {
  if (isLeader())
    replicatedWithoutSelf = std::min(replicatedIndexWithout(selfMember.id), committedIndex);
  currentRole = role;
  votesGranted.clear();
  preVoteElection = false;
  if (role == Role::follower) {
    if (!isVoter())
      currentRole = Role::learner;
    resetElectionTimer(now);
    transferringLeadership = false;
  }
}

void RaftNode::campaign(MonotonicTime now, bool trial, bool leaderTransfer) {
  if (!isVoter())
    return;
  currentRole = Role::candidate;
  knownLeader = ControllerId{};
  preVoteElection = trial;
  votesGranted.clear();
  resetElectionTimer(now);
  if (!trial) {
    currentTerm = currentTerm.next();
    votedFor = selfMember.id;
    ownVotePending = true;
    if (writeInFlight)
      writeInFlight->includesOwnVote = false;  // that write holds an earlier term's
    persistFrom(lastIndex().next());
  } else
    votesGranted.insert(selfMember.id);
  RequestVote ask;
  ask.term = trial ? currentTerm.next() : currentTerm;
  ask.preVote = trial;
  ask.leaderTransfer = leaderTransfer;
  ask.lastLogIndex = lastIndex();
  ask.lastLogTerm = termAt(lastIndex());
  for (const auto& entry : currentMembership)
    if (entry.voter && entry.id != selfMember.id)
      send(entry.id, ask);
  if (trial)
    countVotes(now);
}

void RaftNode::countVotes(MonotonicTime now) {
  std::size_t given = 0;
  for (const auto& entry : currentMembership)
    given += entry.voter && votesGranted.count(entry.id);
  // Its own vote is in once its term is synced: a leader that came back without it could lead the
  // same term again, with other entries. docs/design.md 3.3.
  if (given < majoritySize() || !votesGranted.count(selfMember.id))
    return;
  if (preVoteElection)
    campaign(now, false, false);
  else
    becomeLeader(now);
}

void RaftNode::becomeLeader(MonotonicTime now) {
  changeRole(Role::leader, now);
  knownLeader = selfMember.id;
  transferringLeadership = false;
  peers.clear();
  roundStartTimes.clear();
  currentRound = RoundNumber{};
  for (const auto& entry : currentMembership)
    if (entry.id != selfMember.id) {
      PeerProgress& peer = peers[entry.id];
      peer.nextIndex = lastIndex().next();
      peer.lastHeard = peer.ackedRoundSentAt = now;
    }
  firstIndexOfTerm = lastIndex().next();  // the owner proposes its opening entry at once
  caughtUpIndex = nextCaughtUpIndex = firstIndexOfTerm;
  caughtUpIndexUpdatedAt = now;
  nextHeartbeatAt = now;
}

void RaftNode::transferLeadership(MonotonicTime now) {
  if (!isLeader())
    return;
  const Member* best = nullptr;
  for (const auto& entry : currentMembership)
    if (entry.voter && entry.id != selfMember.id &&
        now - peers[entry.id].lastHeard < options.electionTimeoutMin &&
        (!best || peers[entry.id].matchIndex > peers[best->id].matchIndex))
      best = &entry;
  if (!best)
    return;
  transferringLeadership = true;
  transferDeadline = now + options.electionTimeoutMax;
  broadcast(now, true);
  send(best->id, TimeoutNow{currentTerm});
}

void RaftNode::handle(const PeerMessage& message, const RequestVote& body, MonotonicTime now) {
  const auto* candidate = findMember(message.from);
  if (!candidate && canServe() && membershipCommitted())
    return notifyRemoved(message.from);
  // One that hears a leader does not help to unseat it. docs/design.md 3.2.
  const bool content = isLeader() || (now - leaderHeardAt < options.electionTimeoutMin);
  if (content && !body.leaderTransfer) {
    send(message.from, RequestVoteReply{currentTerm, body.preVote, false});
    return;
  }
  if (!body.preVote)
    observeTerm(body.term, now);
  const bool newer = std::tie(body.lastLogTerm, body.lastLogIndex) >=
                     std::make_tuple(termAt(lastIndex()), lastIndex());
  // A learner votes too when asked by its identity: the asker's log may hold the change that made
  // it a voter, which its own does not hold yet, and that change may need its vote to be committed.
  // docs/design.md 3.5.
  bool given = newer && body.term >= currentTerm && !removed;
  if (!body.preVote) {
    given =
        given && body.term == currentTerm && (votedFor.value.empty() || votedFor == message.from);
    if (given) {
      votedFor = message.from;
      persistFrom(lastIndex().next());
      resetElectionTimer(now);
    }
    sendAfterSync(message.from, RequestVoteReply{currentTerm, false, given});
    if (!dirty && !writeInFlight)
      persistFrom(lastIndex().next());
  } else
    send(message.from, RequestVoteReply{given ? body.term : currentTerm, true,
                                        given});  // one behind must learn by how far
}

void RaftNode::handle(const PeerMessage& message, const RequestVoteReply& body, MonotonicTime now) {
  if (!body.voteGranted) {
    if (body.term > currentTerm)
      observeTerm(body.term, now);
    return;
  }
  if (currentRole != Role::candidate || preVoteElection != body.preVote)
    return;
  if (body.term != (body.preVote ? currentTerm.next() : currentTerm))
    return;
  votesGranted.insert(message.from);
  countVotes(now);
}

void RaftNode::handle(const PeerMessage& message, const TimeoutNow& body, MonotonicTime now) {
  if (body.term == currentTerm && message.from == knownLeader)
    campaign(now, false, true);
}

}  // namespace aniseline
