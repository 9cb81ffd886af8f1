// Construction, clock handling and message dispatch of a Raft node. docs/design.md 3.
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
    if (!isAbsent(record.cluster))
      currentCluster = record.cluster;
    if (record.holdsSnapshot)
      latestSnapshot = record.snapshot;
    log.restore(record);
    writes.recordRestored(record);
  }
  committedIndex = log.baseIndex();
  writes.finishRestore(lastIndex());
  reloadMembership();
  currentRole = isVoter() ? Role::follower : Role::learner;
  resetElectionTimer(now);
}

bool RaftNode::isVoter() const {
  const auto* found = findMember(selfMember.id);
  return found && found->voter;
}

const Member* RaftNode::findMember(const ControllerId& id) const {
  return aniseline::findMember(currentMembership, id);
}

WallTime RaftNode::wallTimeAt(MonotonicTime now) const {
  return wallTimeAtTick + (now - lastTickAt);
}

// Prefers the address of the member's last message: the member may have restarted at a new address
// that is not in the log yet.
Address RaftNode::addressOf(const ControllerId& id) const {
  if (auto known = lastKnownAddresses.find(id); known != lastKnownAddresses.end())
    return known->second;
  const auto* member = findMember(id);
  return member ? member->address : Address{};
}

PeerMessage RaftNode::makeMessage(const ControllerId& to, PeerBody body) const {
  return PeerMessage{selfMember.id, to, addressOf(to), std::move(body), selfMember.address,
                     currentCluster};
}

void RaftNode::send(const ControllerId& to, PeerBody body) {
  outgoingMessages.push_back(makeMessage(to, std::move(body)));
}

// Queues a message whose content depends on durable state. It is sent once that state is synced.
// docs/design.md 3.3.
void RaftNode::sendAfterSync(const ControllerId& to, PeerBody body) {
  writes.sendAfterSync(makeMessage(to, std::move(body)));
}

void RaftNode::tick(MonotonicTime now, WallTime wall) {
  currentTime = now;
  detectPause(now);
  wallTimeAtTick = wall;
  discardIdleTransfers();
  if (isLeader())
    tickAsLeader(now);
  else
    tickAsFollower(now);
}

// Detects that this process was paused. Replies may have arrived unread during a pause, so a long
// gap between ticks says nothing about the other members. docs/design.md 3.2.
void RaftNode::detectPause(MonotonicTime now) {
  const Duration pauseThreshold{RaftLimits::pauseThresholdHeartbeats *
                                options.heartbeatInterval.milliseconds};
  if (now - lastTickAt > pauseThreshold)
    pauseGraceUntil = now + options.electionTimeoutMin;
  lastTickAt = now;
}

// A leader that has had no contact with a majority for the maximum election timeout may have been
// replaced. docs/design.md 3.2.
bool RaftNode::hasLostQuorum(MonotonicTime now) const {
  if (currentMembership.size() <= 1)
    return false;
  const Duration timeSinceContact = now - lastQuorumContact();
  if (timeSinceContact <= options.electionTimeoutMax)
    return false;
  const Duration maxTimeSinceContact{RaftLimits::maxElectionTimeoutsWhilePaused *
                                     options.electionTimeoutMax.milliseconds};
  return now >= pauseGraceUntil || timeSinceContact > maxTimeSinceContact;
}

void RaftNode::tickAsLeader(MonotonicTime now) {
  if (hasLostQuorum(now)) {
    knownLeader = ControllerId{};
    becomeFollower(now);
    return;
  }
  updateCaughtUpIndex(now);
  if (transferringLeadership && now > transferDeadline)
    transferringLeadership = false;
  // Limits the number of unconfirmed rounds. If followers are slow to reply, requests that arrive
  // in the meantime share the next round. docs/design.md 3.2.
  const std::uint64_t unconfirmed = rounds.current().value - confirmedRound().value;
  const bool canStartRound = unconfirmed < options.maxUnconfirmedRounds ||
                             now - rounds.lastStartTime() >= options.heartbeatInterval;
  if (now >= nextHeartbeatAt && canStartRound)
    broadcast(now);
  if (!diskWritable && !transferringLeadership)
    transferLeadership(now);
}

void RaftNode::tickAsFollower(MonotonicTime now) {
  if (now >= nextHeartbeatAt)
    requestJoin(now);
  promoteIfVoter();
  if (currentRole != Role::learner && now >= electionDeadline && !removed && diskWritable)
    campaign(ElectionKind::preVote, now);
}

void RaftNode::bindToCluster(const ClusterId& cluster) {
  if (isAbsent(currentCluster))
    currentCluster = cluster;
}

// Terms and log positions of two clusters say nothing about each other, so a message of another
// cluster is refused before anything in it is compared. docs/design.md 3.8.
bool RaftNode::isFromOtherCluster(const PeerMessage& message) {
  if (!areDifferentClusters(currentCluster, message.cluster))
    return false;
  foreignSender = ForeignSender{message.from, message.cluster};
  return true;
}

// The id is stored with the next record, which is written before anything of the leader's log is
// acknowledged.
void RaftNode::adoptClusterOfLeader(const PeerMessage& message) {
  if (message.from == knownLeader)
    bindToCluster(message.cluster);
}

void RaftNode::receive(const PeerMessage& message, MonotonicTime now) {
  currentTime = std::max(currentTime, now);
  const bool isJoinRequest = message.body.type() == typeid(JoinRequest);
  if (!isJoinRequest && message.to != selfMember.id)
    return;
  if (isFromOtherCluster(message))
    return;
  if (lastKnownAddresses.size() > RaftLimits::rememberedAddresses)
    lastKnownAddresses.clear();
  lastKnownAddresses[message.from] = message.fromAddress;
  boost::apply_visitor([&](const auto& body) { handle(message, body, now); }, message.body);
  adoptClusterOfLeader(message);
  if (canServe() && membershipCommitted())
    proposeAddressChanges(now);
}

}  // namespace aniseline
