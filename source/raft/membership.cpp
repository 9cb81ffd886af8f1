// Membership: joining, changes of members, removal. docs/design.md 3.5.
#include "raft/membership_change.hpp"

namespace aniseline {

void RaftNode::reloadMembership() {
  currentMembership = base.membership;
  membershipIndex = base.lastIncludedIndex;
  for (std::uint64_t place = log.size(); place > 0; --place)
    if (log[place - 1].isMembership) {
      auto found = unpack<Membership>(log[place - 1].payload);
      if (found)
        currentMembership = found.value();
      membershipIndex = LogIndex{base.lastIncludedIndex.value + place};
      break;
    }
}

// A blank one asks where its seeds point; a learner that hears no leader may have been put out
// while it was away, and asks whoever it knew. docs/design.md 3.5.
void RaftNode::requestJoin(MonotonicTime now) {
  auto ask = [&](const Address& address) {
    outgoingMessages.push_back(
        {selfMember.id, ControllerId{}, address, JoinRequest{selfMember}, selfMember.address});
  };
  if (isBlank() && !joinAddress.value.empty())
    ask(joinAddress);
  else if (!isBlank() && currentRole == Role::learner && now - leaderHeardAt > Duration{2000}) {
    for (const auto& entry : currentMembership)
      if (entry.id != selfMember.id)
        ask(entry.address);
    if (!joinAddress.value.empty())
      ask(joinAddress);
  } else
    return;
  nextHeartbeatAt = now + Duration{500};
}

std::optional<MembershipChangeRefusal> RaftNode::membershipChangeRefusal(const Membership& members,
                                                                         MonotonicTime now) const {
  const auto holdsLog = [&](const ControllerId& id) {
    return isCaughtUp(id) && !hasLostState(id) &&
           now - lastHeardFrom(id) <= options.electionTimeoutMax;
  };
  const auto lost = [&](const ControllerId& id) {
    return hasLostState(id);
  };
  return checkMembershipChange({currentMembership, members, selfMember.id, canServe(),
                                membershipCommitted(), holdsLog, lost});
}

bool RaftNode::proposeMembership(const Membership& members, MonotonicTime now) {
  if (membershipChangeRefusal(members, now))
    return false;
  log.push_back(LogEntry{currentTerm, true, pack(members)});
  persistFrom(lastIndex());
  currentMembership = members;
  membershipIndex = lastIndex();
  for (const auto& entry : currentMembership)
    if (entry.id != selfMember.id && !peers.count(entry.id)) {
      PeerProgress& peer = peers[entry.id];
      peer.nextIndex = lastIndex().next();
      peer.lastHeard = peer.ackedRoundSentAt = now;
    }
  std::erase_if(peers, [&](const auto& entry) { return !findMember(entry.first); });
  nextHeartbeatAt = std::min(nextHeartbeatAt, now);
  return true;
}

void RaftNode::bootstrap(MonotonicTime now) {
  if (!isBlank())
    return;
  currentTerm = currentTerm.next();
  votedFor = selfMember.id;
  Member first = selfMember;
  first.voter = true;
  log.push_back(LogEntry{currentTerm, true, pack(Membership{first})});
  persistFrom(lastIndex());
  reloadMembership();
  currentRole = Role::follower;
  resetElectionTimer(now);
}

void RaftNode::setJoinAddress(const Address& address) {
  joinAddress = address;
}

// A member that speaks from a new address has moved with its disk: that is logged, so that everyone
// finds it. docs/design.md 3.5.
void RaftNode::proposeMovedAddresses(MonotonicTime now) {
  Membership moved = currentMembership;
  for (auto& entry : moved) {
    auto heard = lastKnownAddresses.find(entry.id);
    if (entry.id != selfMember.id && heard != lastKnownAddresses.end() &&
        !heard->second.value.empty())
      entry.address = heard->second;
    if (entry.id == selfMember.id)
      entry.address = selfMember.address;
  }
  if (moved != currentMembership)
    proposeMembership(moved, now);
}

// Only of members that are committed: what is not may never come to be, and then the asker is
// needed. docs/design.md 3.5.
void RaftNode::notifyRemoved(const ControllerId& id) {
  const auto [term, index] = latestMembershipEntry();
  send(id, RemovedFromCluster{term, index, currentMembership});
}

std::pair<Term, LogIndex> RaftNode::latestMembershipEntry() const {
  const LogIndex index = std::max(membershipIndex, base.lastIncludedIndex);
  return {termAt(index), index};
}

// The word of one leader is enough, since a committed entry is itself the word of a majority of the
// members it names, and stays true whatever the term. What must be ruled out is an old word that
// comes late: whoever was taken in again holds the entry that did it, which is a later one.
void RaftNode::handle(const PeerMessage& message, const RemovedFromCluster& body, MonotonicTime) {
  const auto named = [&](const ControllerId& id, bool voting) {
    return std::any_of(body.membership.begin(), body.membership.end(), [&](const Member& entry) {
      return entry.id == id && (entry.voter || !voting);
    });
  };
  const bool later = std::make_pair(body.entryTerm, body.entryIndex) > latestMembershipEntry();
  if (later && named(message.from, true) && !named(selfMember.id, false))
    removed = true;
}

void RaftNode::handle(const PeerMessage&, const JoinRequest& body, MonotonicTime now) {
  if (!canServe() || findMember(body.member.id) || !membershipCommitted())
    return;
  Membership members = currentMembership;
  // The same address under a new identity: the old learner there is no more.
  std::erase_if(members, [&](const Member& entry) {
    return !entry.voter && entry.address == body.member.address;
  });
  const auto learners = std::count_if(members.begin(), members.end(),
                                      [](const Member& entry) { return !entry.voter; });
  if (std::size_t(learners) >= maxLearners)
    return;
  Member learner = body.member;
  learner.voter = false;
  members.push_back(learner);
  proposeMembership(members, now);
}

}  // namespace aniseline
