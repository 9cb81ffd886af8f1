// Computes the values on which a majority of the voters agrees: commit index, leader contact,
// clock, and whether a member's copy of the log is still needed. docs/design.md 3.2, 3.5, 3.6.
#include "raft/node.hpp"

namespace aniseline {

std::size_t RaftNode::majoritySize() const {
  return majorityOf(countVoters(currentMembership));
}

// Returns the highest value that a majority of the voters has reached.
template <class Value, class PeerValue>
Value RaftNode::quorumValue(Value selfValue, PeerValue peerValue) const {
  std::vector<Value> values;
  for (const auto& member : currentMembership) {
    if (!member.voter)
      continue;
    const auto peer = peers.find(member.id);
    if (member.id == selfMember.id)
      values.push_back(selfValue);
    else
      values.push_back(peer == peers.end() ? Value{} : peerValue(peer->second));
  }
  if (values.size() < majoritySize())
    return Value{};
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[majoritySize() - 1];
}

RoundNumber RaftNode::confirmedRound() const {
  return quorumValue(rounds.current(), [](const PeerProgress& peer) { return peer.ackedRound(); });
}

MonotonicTime RaftNode::lastQuorumContact() const {
  return quorumValue(currentTime, [](const PeerProgress& peer) { return peer.ackedRoundSentAt(); });
}

MonotonicTime RaftNode::lastContactWith(const ControllerId& id) const {
  const auto peer = peers.find(id);
  return peer == peers.end() ? currentTime : peer->second.lastContact();
}

LogIndex RaftNode::matchIndexOf(const ControllerId& id) const {
  const auto peer = peers.find(id);
  return peer == peers.end() ? LogIndex{} : peer->second.matchIndex();
}

bool RaftNode::hasLostState(const ControllerId& id) const {
  const auto peer = peers.find(id);
  return peer != peers.end() && peer->second.hasLostState();
}

bool RaftNode::isCaughtUp(const ControllerId& id) const {
  const LogIndex replicated = id == selfMember.id ? writes.syncedIndex() : matchIndexOf(id);
  return replicated >= caughtUpIndex;
}

void RaftNode::updateCaughtUpIndex(MonotonicTime now) {
  if (now - caughtUpIndexUpdatedAt < RaftLimits::caughtUpInterval)
    return;
  caughtUpIndex = std::max(caughtUpIndex, nextCaughtUpIndex);
  nextCaughtUpIndex = committedIndex;
  caughtUpIndexUpdatedAt = now;
}

LogIndex RaftNode::syncedLogIndex() const {
  return std::min(writes.syncedIndex(), lastIndex());
}

// Returns the index up to which a majority of the voters holds the log without the copy of this
// member. Members that are not in contact are not counted either, since they may have lost their
// disks.
LogIndex RaftNode::replicatedIndexWithout(const ControllerId& id) const {
  const auto excluded = peers.find(id);
  const LogIndex selfValue = id == selfMember.id ? LogIndex{} : syncedLogIndex();
  return quorumValue(selfValue, [&](const PeerProgress& peer) {
    const bool isExcluded = excluded != peers.end() && &excluded->second == &peer;
    const bool heardRecently = currentTime - peer.lastContact() <= options.electionTimeoutMax;
    const bool isCounted = heardRecently && !isExcluded && !peer.hasLostState();
    return isCounted ? peer.matchIndex() : LogIndex{};
  });
}

bool RaftNode::isSafeToStop() const {
  if (!isVoter() || currentMembership.size() == 1)
    return true;
  const LogIndex replicated =
      isLeader() ? replicatedIndexWithout(selfMember.id) : replicatedIndexWithoutSelf;
  return replicated >= committedIndex;
}

// Only entries of the leader's current term are committed by counting replicas. Earlier entries are
// committed indirectly with them.
void RaftNode::advanceCommitIndex() {
  const LogIndex replicated =
      quorumValue(syncedLogIndex(), [](const PeerProgress& peer) { return peer.matchIndex(); });
  if (replicated <= committedIndex || log.termAt(replicated) != currentTerm)
    return;
  committedIndex = replicated;
  nextHeartbeatAt = std::min(nextHeartbeatAt, currentTime + RaftLimits::commitNotificationDelay);
  if (!isVoter())
    becomeFollower(currentTime);
}

std::optional<WallTime> RaftNode::medianWallTime(MonotonicTime now) const {
  std::vector<std::int64_t> clocks;
  for (const auto& member : currentMembership) {
    if (!member.voter)
      continue;
    if (member.id == selfMember.id) {
      clocks.push_back(wallTimeAt(now).milliseconds);
      continue;
    }
    const auto peer = peers.find(member.id);
    if (peer != peers.end() && peer->second.wallClockOffset())
      clocks.push_back(now.milliseconds + *peer->second.wallClockOffset());
  }
  if (clocks.size() < majoritySize())
    return std::nullopt;
  std::sort(clocks.begin(), clocks.end());
  return WallTime{clocks[(clocks.size() - 1) / 2]};
}

}  // namespace aniseline
