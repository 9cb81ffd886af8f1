// Membership: joining, changes of members, removal. docs/design.md 3.5.
#include "raft/membership_change.hpp"

namespace aniseline {

void RaftNode::findMembers() {
  currentMembers = base.members;
  membersIndex = base.index;
  for (std::uint64_t place = log.size(); place > 0; --place)
    if (log[place - 1].members) {
      auto found = unpack<Members>(log[place - 1].payload);
      if (found)
        currentMembers = found.value();
      membersIndex = LogIndex{base.index.value + place};
      break;
    }
}

// A blank one asks where its seeds point; a learner that hears no leader may have been put out
// while it was away, and asks whoever it knew. docs/design.md 3.5.
void RaftNode::askToJoin(MonotonicTime now) {
  auto ask = [&](const Address& address) {
    outgoing.push_back({own.id, ControllerId{}, address, Join{own}, own.peer});
  };
  if (blank() && !leaderJoinAddress.value.empty())
    ask(leaderJoinAddress);
  else if (!blank() && currentRole == Role::learner && now - heardLeader > Duration{2000}) {
    for (const auto& entry : currentMembers)
      if (entry.id != own.id)
        ask(entry.peer);
    if (!leaderJoinAddress.value.empty())
      ask(leaderJoinAddress);
  } else
    return;
  nextHeartbeat = now + Duration{500};
}

std::optional<MembershipChangeRefusal> RaftNode::refusalOfMembers(const Members& members,
                                                                  MonotonicTime now) const {
  const auto holdsLog = [&](const ControllerId& id) {
    return caughtUp(id) && !lostState(id) && now - heardFrom(id) <= options.electionHigh;
  };
  const auto lost = [&](const ControllerId& id) {
    return lostState(id);
  };
  return refusalOf({currentMembers, members, own.id, serves(), membersSettled(), holdsLog, lost});
}

bool RaftNode::proposeMembers(const Members& members, MonotonicTime now) {
  if (refusalOfMembers(members, now))
    return false;
  log.push_back(LogEntry{currentTerm, true, pack(members)});
  mark(last());
  currentMembers = members;
  membersIndex = last();
  for (const auto& entry : currentMembers)
    if (entry.id != own.id && !peers.count(entry.id)) {
      Peer& peer = peers[entry.id];
      peer.next = last().next();
      peer.heard = peer.contact = now;
    }
  std::erase_if(peers, [&](const auto& entry) { return !member(entry.first); });
  nextHeartbeat = std::min(nextHeartbeat, now);
  return true;
}

void RaftNode::found(MonotonicTime now) {
  if (!blank())
    return;
  currentTerm = currentTerm.next();
  vote = own.id;
  Member first = own;
  first.voter = true;
  log.push_back(LogEntry{currentTerm, true, pack(Members{first})});
  mark(last());
  findMembers();
  currentRole = Role::follower;
  resetElection(now);
}

void RaftNode::join(const Address& address) {
  leaderJoinAddress = address;
}

// A member that speaks from a new address has moved with its disk: that is logged, so that everyone
// finds it. docs/design.md 3.5.
void RaftNode::followMoves(MonotonicTime now) {
  Members moved = currentMembers;
  for (auto& entry : moved) {
    auto heard = addresses.find(entry.id);
    if (entry.id != own.id && heard != addresses.end() && !heard->second.value.empty())
      entry.peer = heard->second;
    if (entry.id == own.id)
      entry.peer = own.peer;
  }
  if (moved != currentMembers)
    proposeMembers(moved, now);
}

// Only of members that are committed: what is not may never come to be, and then the asker is
// needed. docs/design.md 3.5.
void RaftNode::tellRemoved(const ControllerId& id) {
  const auto [term, index] = membersEntry();
  send(id, RemovedFromCluster{term, index, currentMembers});
}

std::pair<Term, LogIndex> RaftNode::membersEntry() const {
  const LogIndex index = std::max(membersIndex, base.index);
  return {termAt(index), index};
}

// The word of one leader is enough, since a committed entry is itself the word of a majority of the
// members it names, and stays true whatever the term. What must be ruled out is an old word that
// comes late: whoever was taken in again holds the entry that did it, which is a later one.
void RaftNode::on(const PeerMessage& message, const RemovedFromCluster& body, MonotonicTime) {
  const auto named = [&](const ControllerId& id, bool voting) {
    return std::any_of(body.members.begin(), body.members.end(), [&](const Member& entry) {
      return entry.id == id && (entry.voter || !voting);
    });
  };
  const bool later = std::make_pair(body.entryTerm, body.index) > membersEntry();
  if (later && named(message.from, true) && !named(own.id, false))
    wasRemoved = true;
}

void RaftNode::on(const PeerMessage&, const Join& body, MonotonicTime now) {
  if (!serves() || member(body.member.id) || !membersSettled())
    return;
  Members members = currentMembers;
  // The same address under a new identity: the old learner there is no more.
  std::erase_if(
      members, [&](const Member& entry) { return !entry.voter && entry.peer == body.member.peer; });
  const auto learners = std::count_if(members.begin(), members.end(),
                                      [](const Member& entry) { return !entry.voter; });
  if (std::size_t(learners) >= learnersWanted)
    return;
  Member learner = body.member;
  learner.voter = false;
  members.push_back(learner);
  proposeMembers(members, now);
}

}  // namespace aniseline
