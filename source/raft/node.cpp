// The consensus node: its construction, its clock, and how messages reach their handlers.
// docs/design.md 3.
#include "raft/node.hpp"

namespace aniseline {

const char* name(Role role) {
  static const char* const names[] = {"learner", "follower", "candidate", "leader"};
  return names[std::size_t(role)];
}

RaftNode::RaftNode(Member self, RaftOptions options, std::uint64_t seed,
                   const std::vector<WriteAheadRecord>& restored, MonotonicTime now)
    : selfMember(std::move(self)), options(options), random(seed), currentTime(now) {
  for (const auto& record : restored) {
    currentTerm = record.term;
    votedFor = record.votedFor;
    if (record.holdsSnapshot) {
      latestSnapshot = record.snapshot;
      base = Snapshot{record.snapshot.lastIncludedIndex,
                      record.snapshot.lastIncludedTerm,
                      record.snapshot.membership,
                      {}};
      log = record.entries;
      logRecordCount = 0;
    } else {
      if (!record.entries.empty()) {
        log.resize(record.firstIndex.value - base.lastIncludedIndex.value - 1);
        log.insert(log.end(), record.entries.begin(), record.entries.end());
      }
      ++logRecordCount;
    }
    nextVersion = record.version.next();
  }
  committedIndex = base.lastIncludedIndex;
  syncedIndex = durableIndex = lastIndex();
  reloadMembership();
  currentRole = isVoter() ? Role::follower : Role::learner;
  resetElectionTimer(now);
}

bool RaftNode::isVoter() const {
  const auto* found = findMember(selfMember.id);
  return found && found->voter;
}

const Member* RaftNode::findMember(const ControllerId& id) const {
  for (const auto& entry : currentMembership)
    if (entry.id == id)
      return &entry;
  return nullptr;
}

std::size_t RaftNode::majoritySize() const {
  return std::size_t(std::count_if(currentMembership.begin(), currentMembership.end(),
                                   [](auto& entry) { return entry.voter; })) /
             2 +
         1;
}

Term RaftNode::termAt(LogIndex index) const {
  if (index == base.lastIncludedIndex)
    return base.lastIncludedTerm;
  if (index < base.lastIncludedIndex || index > lastIndex())
    return Term{};
  return entry(index).term;
}

Address RaftNode::addressOf(const ControllerId& id) const {
  // Where it last spoke from: a member may have come back at another address, which its log does
  // not say yet.
  if (auto heard = lastKnownAddresses.find(id); heard != lastKnownAddresses.end())
    return heard->second;
  const auto* found = findMember(id);
  return found ? found->address : Address{};
}

void RaftNode::send(const ControllerId& to, PeerBody body) {
  outgoingMessages.push_back(
      PeerMessage{selfMember.id, to, addressOf(to), std::move(body), selfMember.address});
}

// docs/design.md 3.3: what rests on durable state leaves only when that state is synced.
void RaftNode::sendAfterSync(const ControllerId& to, PeerBody body) {
  messagesAwaitingSync.emplace_back(nextVersion, PeerMessage{selfMember.id, to, addressOf(to),
                                                             std::move(body), selfMember.address});
}

void RaftNode::tick(MonotonicTime now, WallTime wall) {
  currentTime = now;
  wallTimeAtTick = wall;
  wallAt = now;
  // After a pause of our own the answers of others may lie unread: our lateness says nothing of
  // them. docs/design.md 3.2.
  if (now - lastTickAt > Duration{2 * options.heartbeatInterval.milliseconds})
    pauseGraceUntil = now + options.electionTimeoutMin;
  lastTickAt = now;
  discardIdleTransfers();
  if (isLeader()) {
    // A leader that has not heard from a majority for the longest election time may have been
    // replaced. docs/design.md 3.2.
    const Duration unheard = currentMembership.size() > 1 ? now - lastQuorumContact() : Duration{0};
    if (unheard > options.electionTimeoutMax &&
        (now >= pauseGraceUntil ||
         unheard > Duration{5 * options.electionTimeoutMax.milliseconds})) {
      knownLeader = ControllerId{};
      changeRole(Role::follower, now);
      return;
    }
    updateCaughtUpIndex(now);
    if (transferringLeadership && now > transferDeadline)
      transferringLeadership = false;
    // A few rounds at a time: where the others are slow what is wanted meanwhile goes together into
    // the next. docs/design.md 3.2.
    const bool mayBegin =
        currentRound.value - confirmedRound().value < options.maxUnconfirmedRounds ||
        now - lastBroadcastAt >= options.heartbeatInterval;
    if (now >= nextHeartbeatAt && mayBegin)
      broadcast(now, true);
    return;
  }
  if (now >= nextHeartbeatAt)
    requestJoin(now);
  if (isVoter() && currentRole == Role::learner)
    currentRole = Role::follower;
  if (currentRole != Role::learner && now >= electionDeadline && !removed)
    campaign(now, true, false);
}

void RaftNode::receive(const PeerMessage& message, MonotonicTime now) {
  currentTime = std::max(currentTime, now);
  const bool isJoin = message.body.type() == typeid(JoinRequest);
  if (!isJoin && message.to != selfMember.id)
    return;  // meant for another identity at this address
  if (lastKnownAddresses.size() > 64)
    lastKnownAddresses.clear();
  lastKnownAddresses[message.from] = message.fromAddress;
  boost::apply_visitor([&](const auto& body) { handle(message, body, now); }, message.body);
  if (canServe() && membershipCommitted())
    proposeMovedAddresses(now);
}

}  // namespace aniseline
