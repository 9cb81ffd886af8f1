// Leader election: terms, pre-votes, votes and leadership transfer. docs/design.md 3.2.
#include "raft/node.hpp"

namespace aniseline {

void RaftNode::resetElectionTimer(MonotonicTime now) {
  electionDeadline = now + Duration{random.between(options.electionTimeoutMin.milliseconds,
                                                   options.electionTimeoutMax.milliseconds)};
}

// Enters a later term, in which this node has not voted yet and knows no leader.
void RaftNode::observeTerm(Term term, MonotonicTime now) {
  if (term <= currentTerm)
    return;
  currentTerm = term;
  votedFor = ControllerId{};
  knownLeader = ControllerId{};
  writes.persistFrom(lastIndex().next());
  if (currentRole != Role::learner)
    becomeFollower(now);
}

// Becomes a follower, or a learner if this node is not a voter.
void RaftNode::becomeFollower(MonotonicTime now) {
  if (isLeader())
    replicatedIndexWithoutSelf = std::min(replicatedIndexWithout(selfMember.id), committedIndex);
  currentRole = isVoter() ? Role::follower : Role::learner;
  votesGranted.clear();
  preVoteElection = false;
  transferringLeadership = false;
  resetElectionTimer(now);
}

// Turns a learner into a follower after the log has made it a voter.
void RaftNode::promoteIfVoter() {
  if (currentRole == Role::learner && isVoter())
    currentRole = Role::follower;
}

void RaftNode::becomeLeader(MonotonicTime now) {
  currentRole = Role::leader;
  votesGranted.clear();
  preVoteElection = false;
  knownLeader = selfMember.id;
  transferringLeadership = false;
  rounds.reset();
  peers.clear();
  const LogIndex next = lastIndex().next();
  for (const auto& member : currentMembership) {
    if (member.id != selfMember.id)
      peers.emplace(member.id, PeerProgress{next, now, options});
  }
  firstIndexOfTerm = next;  // the owner immediately proposes the first entry of the term
  caughtUpIndex = nextCaughtUpIndex = next;
  caughtUpIndexUpdatedAt = now;
  nextHeartbeatAt = now;
}

void RaftNode::campaign(ElectionKind kind, MonotonicTime now) {
  if (!isVoter())
    return;
  currentRole = Role::candidate;
  knownLeader = ControllerId{};
  preVoteElection = kind == ElectionKind::preVote;
  votesGranted.clear();
  resetElectionTimer(now);
  if (preVoteElection) {
    votesGranted.insert(selfMember.id);
  } else {
    currentTerm = currentTerm.next();
    votedFor = selfMember.id;
    writes.persistOwnVote(lastIndex().next());
  }
  requestVotes(kind);
  if (preVoteElection)
    countVotes(now);
}

void RaftNode::requestVotes(ElectionKind kind) {
  RequestVote request;
  request.preVote = kind == ElectionKind::preVote;
  request.leaderTransfer = kind == ElectionKind::leaderTransfer;
  request.term = request.preVote ? currentTerm.next() : currentTerm;
  request.lastLogIndex = lastIndex();
  request.lastLogTerm = log.termAt(lastIndex());
  for (const auto& member : currentMembership) {
    if (member.voter && member.id != selfMember.id)
      send(member.id, request);
  }
}

void RaftNode::countVotes(MonotonicTime now) {
  const auto granted = std::count_if(
      currentMembership.begin(), currentMembership.end(),
      [&](const Member& member) { return member.voter && votesGranted.count(member.id); });
  // The candidate's own vote counts only once its term is synced. A leader that restarts without
  // having stored its term could otherwise lead the same term again, with different entries.
  // docs/design.md 3.3.
  if (std::size_t(granted) < majoritySize() || !votesGranted.count(selfMember.id))
    return;
  if (preVoteElection)
    campaign(ElectionKind::election, now);
  else
    becomeLeader(now);
}

void RaftNode::transferLeadership(MonotonicTime now) {
  if (!isLeader())
    return;
  const Member* successor = nullptr;
  for (const auto& member : currentMembership) {
    if (!member.voter || member.id == selfMember.id)
      continue;
    const bool heardRecently = now - peers.at(member.id).lastContact() < options.electionTimeoutMin;
    const bool furtherAhead =
        !successor || peers.at(member.id).matchIndex() > peers.at(successor->id).matchIndex();
    if (heardRecently && furtherAhead)
      successor = &member;
  }
  if (!successor)
    return;
  transferringLeadership = true;
  transferDeadline = now + options.electionTimeoutMax;
  broadcast(now);
  send(successor->id, TimeoutNow{currentTerm});
}

void RaftNode::handle(const PeerMessage& message, const RequestVote& body, MonotonicTime now) {
  if (!findMember(message.from) && canServe() && membershipCommitted())
    return notifyRemoved(message.from);
  // A node in contact with a live leader does not help to replace it. docs/design.md 3.2.
  const bool hasLiveLeader = isLeader() || now - lastLeaderContactAt < options.electionTimeoutMin;
  if (hasLiveLeader && !body.leaderTransfer)
    return send(message.from, RequestVoteReply{currentTerm, body.preVote, false});
  if (body.preVote)
    answerPreVote(message.from, body);
  else
    answerVote(message.from, body, now);
}

// A candidate's log must be at least as up-to-date as this node's. A learner grants votes too: the
// candidate's log may hold the change that made this node a voter while its own log does not yet,
// and committing that change may require its vote. docs/design.md 3.5.
bool RaftNode::isEligible(const RequestVote& request) const {
  const EntryPosition candidateLast{request.lastLogTerm, request.lastLogIndex};
  const EntryPosition ownLast{log.termAt(lastIndex()), lastIndex()};
  return candidateLast >= ownLast && request.term >= currentTerm && !removed;
}

void RaftNode::answerPreVote(const ControllerId& candidate, const RequestVote& request) {
  const bool granted = isEligible(request);
  // A refusal carries this node's term, so that a candidate with an older term can catch up.
  send(candidate, RequestVoteReply{granted ? request.term : currentTerm, true, granted});
}

void RaftNode::answerVote(const ControllerId& candidate, const RequestVote& request,
                          MonotonicTime now) {
  observeTerm(request.term, now);
  const bool votedForOther = !votedFor.value.empty() && votedFor != candidate;
  const bool granted = isEligible(request) && request.term == currentTerm && !votedForOther;
  if (granted) {
    votedFor = candidate;
    writes.persistFrom(lastIndex().next());
    resetElectionTimer(now);
  }
  sendAfterSync(candidate, RequestVoteReply{currentTerm, false, granted});
  if (writes.isIdle())
    writes.persistFrom(lastIndex().next());  // ensures that a sync releases the reply
}

void RaftNode::handle(const PeerMessage& message, const RequestVoteReply& body, MonotonicTime now) {
  if (!body.voteGranted)
    return observeTerm(body.term, now);
  if (currentRole != Role::candidate || preVoteElection != body.preVote)
    return;
  if (body.term != (body.preVote ? currentTerm.next() : currentTerm))
    return;
  votesGranted.insert(message.from);
  countVotes(now);
}

void RaftNode::handle(const PeerMessage& message, const TimeoutNow& body, MonotonicTime now) {
  if (body.term == currentTerm && message.from == knownLeader && diskWritable)
    campaign(ElectionKind::leaderTransfer, now);
}

}  // namespace aniseline
