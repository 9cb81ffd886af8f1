// Leader election: terms, pre-votes, votes and leadership transfer. docs/design.md 3.2.
#include "raft/node.hpp"

namespace aniseline {

void RaftNode::resetElection(MonotonicTime now) {
  electionAt = now + Duration{random.between(options.electionLow.milliseconds,
                                             options.electionHigh.milliseconds)};
}

void RaftNode::seeTerm(Term term, MonotonicTime now) {
  if (term <= currentTerm)
    return;
  currentTerm = term;
  vote = ControllerId{};
  knownLeader = ControllerId{};
  mark(last().next());
  if (currentRole != Role::learner)
    become(Role::follower, now);
}

void RaftNode::become(Role role, MonotonicTime now) {
  if (leads())
    heldByOthers = std::min(heldWithout(own.id), commit);
  currentRole = role;
  votes.clear();
  trialElection = false;
  if (role == Role::follower) {
    if (!selfVotes())
      currentRole = Role::learner;
    resetElection(now);
    transferringLeadership = false;
  }
}

void RaftNode::campaign(MonotonicTime now, bool trial, bool leaderTransfer) {
  if (!selfVotes())
    return;
  currentRole = Role::candidate;
  knownLeader = ControllerId{};
  trialElection = trial;
  votes.clear();
  resetElection(now);
  if (!trial) {
    currentTerm = currentTerm.next();
    vote = own.id;
    ownVotePending = true;
    if (inFlight)
      inFlight->ownVote = false;  // that write holds an earlier term's
    mark(last().next());
  } else
    votes.insert(own.id);
  RequestVote ask;
  ask.term = trial ? currentTerm.next() : currentTerm;
  ask.trial = trial;
  ask.leaderTransfer = leaderTransfer;
  ask.last = last();
  ask.lastTerm = termAt(last());
  for (const auto& entry : currentMembers)
    if (entry.voter && entry.id != own.id)
      send(entry.id, ask);
  if (trial)
    countVotes(now);
}

void RaftNode::countVotes(MonotonicTime now) {
  std::size_t given = 0;
  for (const auto& entry : currentMembers)
    given += entry.voter && votes.count(entry.id);
  // Its own vote is in once its term is synced: a leader that came back without it could lead the
  // same term again, with other entries. docs/design.md 3.3.
  if (given < majority() || !votes.count(own.id))
    return;
  if (trialElection)
    campaign(now, false, false);
  else
    lead(now);
}

void RaftNode::lead(MonotonicTime now) {
  become(Role::leader, now);
  knownLeader = own.id;
  transferringLeadership = false;
  peers.clear();
  roundTimes.clear();
  round = RoundNumber{};
  for (const auto& entry : currentMembers)
    if (entry.id != own.id) {
      Peer& peer = peers[entry.id];
      peer.next = last().next();
      peer.heard = peer.contact = now;
    }
  openedAt = last().next();  // the owner proposes its opening entry at once
  caughtUpFrom = nextCaughtUpFrom = openedAt;
  commitNotedAt = now;
  nextHeartbeat = now;
}

void RaftNode::transferLeadership(MonotonicTime now) {
  if (!leads())
    return;
  const Member* best = nullptr;
  for (const auto& entry : currentMembers)
    if (entry.voter && entry.id != own.id && now - peers[entry.id].heard < options.electionLow &&
        (!best || peers[entry.id].match > peers[best->id].match))
      best = &entry;
  if (!best)
    return;
  transferringLeadership = true;
  transferUntil = now + options.electionHigh;
  broadcast(now, true);
  send(best->id, TimeoutNow{currentTerm});
}

void RaftNode::on(const PeerMessage& message, const RequestVote& body, MonotonicTime now) {
  const auto* candidate = member(message.from);
  if (!candidate && serves() && membersSettled())
    return tellRemoved(message.from);
  // One that hears a leader does not help to unseat it. docs/design.md 3.2.
  const bool content = leads() || (now - heardLeader < options.electionLow);
  if (content && !body.leaderTransfer) {
    send(message.from, RequestVoteReply{currentTerm, body.trial, false});
    return;
  }
  if (!body.trial)
    seeTerm(body.term, now);
  const bool newer = std::tie(body.lastTerm, body.last) >= std::make_tuple(termAt(last()), last());
  // A learner votes too when asked by its identity: the asker's log may hold the change that made
  // it a voter, which its own does not hold yet, and that change may need its vote to be committed.
  // docs/design.md 3.5.
  bool given = newer && body.term >= currentTerm && !wasRemoved;
  if (!body.trial) {
    given = given && body.term == currentTerm && (vote.value.empty() || vote == message.from);
    if (given) {
      vote = message.from;
      mark(last().next());
      resetElection(now);
    }
    sendAfterSync(message.from, RequestVoteReply{currentTerm, false, given});
    if (!dirty && !inFlight)
      mark(last().next());
  } else
    send(message.from, RequestVoteReply{given ? body.term : currentTerm, true,
                                        given});  // one behind must learn by how far
}

void RaftNode::on(const PeerMessage& message, const RequestVoteReply& body, MonotonicTime now) {
  if (!body.given) {
    if (body.term > currentTerm)
      seeTerm(body.term, now);
    return;
  }
  if (currentRole != Role::candidate || trialElection != body.trial)
    return;
  if (body.term != (body.trial ? currentTerm.next() : currentTerm))
    return;
  votes.insert(message.from);
  countVotes(now);
}

void RaftNode::on(const PeerMessage& message, const TimeoutNow& body, MonotonicTime now) {
  if (body.term == currentTerm && message.from == knownLeader)
    campaign(now, false, true);
}

}  // namespace aniseline
