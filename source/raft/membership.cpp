// Membership: joining, changes of members, removal. docs/design.md 3.5.
#include "raft/membership_change.hpp"

namespace aniseline {

// Takes the membership in force from the log, after the log has changed.
void RaftNode::reloadMembership() {
  auto effective = log.membershipAt(lastIndex());
  currentMembership = std::move(effective.membership);
  membershipIndex = effective.index;
}

// A blank node asks where it was directed to. A learner that hears no leader may have been removed
// while it was away, and asks every member that it knows. docs/design.md 3.5.
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
    outgoingMessages.push_back(
        {selfMember.id, ControllerId{}, target, JoinRequest{selfMember}, selfMember.address});
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
  if (!isBlank())
    return;
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

// A member that sends from a new address has moved with its disk. The log gets the new address, so
// that every controller finds it. docs/design.md 3.5.
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

// Only while the membership is committed: a change that is not may never be, and then the removed
// member is still needed. docs/design.md 3.5.
void RaftNode::notifyRemoved(const ControllerId& id) {
  const EntryPosition position = membershipPosition();
  send(id, RemovedFromCluster{position.term, position.index, currentMembership});
}

// Of the entry that the membership rests on: the change itself or, once that is compacted, the last
// entry of the snapshot.
EntryPosition RaftNode::membershipPosition() const {
  const LogIndex index = std::max(membershipIndex, log.baseIndex());
  return {log.termAt(index), index};
}

// One leader's message is enough, since a committed entry was agreed on by a majority of the
// members that it names, and stays true in every term. What has to be ruled out is an old message
// that comes late: an identity that was admitted again holds the entry that admitted it, which is a
// later one.
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
  // A learner with the same address was replaced by this identity.
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
