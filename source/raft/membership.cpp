// Membership: join requests, membership changes, and notification of removed members.
// docs/design.md 3.5.
#include "raft/membership_change.hpp"

namespace aniseline {

// Reloads the membership in force after the log has changed.
void RaftNode::reloadMembership() {
  auto effective = log.membershipAt(lastIndex());
  currentMembership = std::move(effective.membership);
  membershipIndex = effective.index;
}

// A blank node sends its join request to the configured address. A learner without contact with a
// leader may have been removed while it was unreachable, so it asks every member that it knows.
// docs/design.md 3.5.
void RaftNode::requestJoin(MonotonicTime now) {
  std::vector<Address> targets;
  if (!isBlank()) {
    const bool leaderTimedOut = now - lastLeaderContactAt > RaftLimits::learnerLeaderTimeout;
    if (currentRole != Role::learner || !leaderTimedOut)
      return;
    for (const auto& member : currentMembership) {
      if (member.id != selfMember.id)
        targets.push_back(member.address);
    }
  } else if (joinAddress.value.empty()) {
    return;
  }
  if (!joinAddress.value.empty())
    targets.push_back(joinAddress);
  for (const auto& target : targets)
    outgoingMessages.push_back({selfMember.id, ControllerId{}, target, JoinRequest{selfMember},
                                selfMember.address, currentCluster});
  nextHeartbeatAt = now + RaftLimits::joinRetryInterval;
}

std::optional<MembershipChangeRefusal> RaftNode::membershipChangeRefusal(const Membership& proposed,
                                                                         MonotonicTime now) const {
  MembershipChange change{currentMembership, proposed, selfMember.id};
  change.canServe = canServe();
  change.currentCommitted = membershipCommitted();
  change.isCaughtUp = [&](const ControllerId& id) {
    const bool heardRecently = now - lastContactWith(id) <= options.electionTimeoutMax;
    return isCaughtUp(id) && !hasLostState(id) && heardRecently;
  };
  change.hasLostState = [&](const ControllerId& id) {
    return hasLostState(id);
  };
  return checkMembershipChange(change);
}

bool RaftNode::proposeMembership(const Membership& proposed, MonotonicTime now) {
  if (membershipChangeRefusal(proposed, now))
    return false;
  log.append(LogEntry{currentTerm, true, pack(proposed)});
  writes.persistFrom(lastIndex());
  currentMembership = proposed;
  membershipIndex = lastIndex();
  for (const auto& member : currentMembership) {
    if (member.id != selfMember.id)
      peers.try_emplace(member.id, lastIndex().next(), now, options);
  }
  std::erase_if(peers, [&](const auto& peer) { return !findMember(peer.first); });
  nextHeartbeatAt = std::min(nextHeartbeatAt, now);
  return true;
}

void RaftNode::bootstrap(MonotonicTime now) {
  if (!isBlank() || !isAbsent(currentCluster))
    return;
  // An identity is drawn at random and bootstraps at most one cluster, so its id names the cluster.
  currentCluster = ClusterId{selfMember.id.value};
  currentTerm = currentTerm.next();
  votedFor = selfMember.id;
  Member firstMember = selfMember;
  firstMember.voter = true;
  log.append(LogEntry{currentTerm, true, pack(Membership{firstMember})});
  writes.persistFrom(lastIndex());
  reloadMembership();
  currentRole = Role::follower;
  resetElectionTimer(now);
}

void RaftNode::setJoinAddress(const Address& address) {
  joinAddress = address;
}

// A member that sends from a new address has moved together with its disk. The new address is
// proposed for the log, so that every controller can reach the member. docs/design.md 3.5.
void RaftNode::proposeAddressChanges(MonotonicTime now) {
  Membership updated = currentMembership;
  for (auto& member : updated) {
    if (member.id == selfMember.id) {
      member.address = selfMember.address;
      continue;
    }
    const auto known = lastKnownAddresses.find(member.id);
    if (known != lastKnownAddresses.end() && !known->second.value.empty())
      member.address = known->second;
  }
  if (updated != currentMembership)
    proposeMembership(updated, now);
}

// Must be called only while the membership in force is committed: an uncommitted change may never
// be committed, and the removed member would then still be needed. docs/design.md 3.5.
void RaftNode::notifyRemoved(const ControllerId& id) {
  const EntryPosition position = membershipPosition();
  send(id, RemovedFromCluster{position.term, position.index, currentMembership});
}

// Returns the position of the entry that defines the membership in force, or that of the last entry
// in the snapshot if the former was compacted.
EntryPosition RaftNode::membershipPosition() const {
  const LogIndex index = std::max(membershipIndex, log.baseIndex());
  return {log.termAt(index), index};
}

// One leader's message is sufficient: a majority of the members has agreed on a committed entry,
// and it remains valid in every later term. Only delayed messages must be ruled out. A controller
// that was admitted again holds the later entry that admitted it, so the position of the entry in a
// delayed message is not later than its own.
void RaftNode::handle(const PeerMessage& message, const RemovedFromCluster& body, MonotonicTime) {
  const bool isLater = EntryPosition{body.entryTerm, body.entryIndex} > membershipPosition();
  const Member* sender = aniseline::findMember(body.membership, message.from);
  const bool fromVoter = sender && sender->voter;
  if (isLater && fromVoter && !aniseline::findMember(body.membership, selfMember.id))
    removed = true;
}

void RaftNode::handle(const PeerMessage&, const JoinRequest& body, MonotonicTime now) {
  if (!canServe() || findMember(body.member.id) || !membershipCommitted())
    return;
  Membership proposed = currentMembership;
  // A learner at the same address has been replaced by this identity.
  std::erase_if(proposed, [&](const Member& member) {
    return !member.voter && member.address == body.member.address;
  });
  if (proposed.size() - countVoters(proposed) >= maxLearners)
    return;
  Member learner = body.member;
  learner.voter = false;
  proposed.push_back(learner);
  proposeMembership(proposed, now);
}

}  // namespace aniseline
