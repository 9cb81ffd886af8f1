// Log replication: rounds of AppendEntries, quorum contact and the commit index.
// docs/design.md 3.2, 3.4.
#include "raft/node.hpp"

namespace aniseline {

namespace {
// Sent before anything is known of the link: a quarter of a second at 2 Mbit/s, bytes.
constexpr std::size_t firstWindow = 64 * 1024;
}  // namespace

void RaftNode::truncateLog(LogIndex from) {
  log.resize(from.value - base.lastIncludedIndex.value - 1);
  syncedIndex = std::min(syncedIndex, LogIndex{from.value - 1});
  durableIndex = std::min(durableIndex, LogIndex{from.value - 1});
  if (writeInFlight)
    writeInFlight->lastIndex = std::min(writeInFlight->lastIndex, LogIndex{from.value - 1});
  persistFrom(from);
  if (membershipIndex >= from)
    reloadMembership();
}

LogIndex RaftNode::propose(std::string payload, MonotonicTime now) {
  log.push_back(LogEntry{currentTerm, false, std::move(payload)});
  persistFrom(lastIndex());
  nextHeartbeatAt = std::min(nextHeartbeatAt, now);
  return lastIndex();
}

RoundNumber RaftNode::startRound(MonotonicTime now) {
  nextHeartbeatAt = std::min(nextHeartbeatAt, now);
  return currentRound.next();
}

// The highest value that a majority of the voters has reached.
template <class Value, class OfPeer>
Value RaftNode::quorumValue(Value ofSelf, OfPeer ofPeer) const {
  std::vector<Value> reached;
  for (const auto& entry : currentMembership) {
    if (!entry.voter)
      continue;
    auto found = peers.find(entry.id);
    if (entry.id == selfMember.id)
      reached.push_back(ofSelf);
    else
      reached.push_back(found == peers.end() ? Value{} : ofPeer(found->second));
  }
  if (reached.size() < majoritySize())
    return Value{};
  std::sort(reached.begin(), reached.end(), std::greater<>());
  return reached[majoritySize() - 1];
}

RoundNumber RaftNode::confirmedRound() const {
  return quorumValue(currentRound, [](const PeerProgress& peer) { return peer.ackedRound; });
}

MonotonicTime RaftNode::lastQuorumContact() const {
  return quorumValue(currentTime, [](const PeerProgress& peer) { return peer.ackedRoundSentAt; });
}

MonotonicTime RaftNode::lastHeardFrom(const ControllerId& id) const {
  auto found = peers.find(id);
  return found == peers.end() ? currentTime : found->second.lastHeard;
}

LogIndex RaftNode::matchIndexOf(const ControllerId& id) const {
  auto found = peers.find(id);
  return found == peers.end() ? LogIndex{} : found->second.matchIndex;
}

bool RaftNode::isCaughtUp(const ControllerId& id) const {
  if (id == selfMember.id)
    return syncedIndex >= caughtUpIndex;
  return matchIndexOf(id) >= caughtUpIndex;
}

// How far back "a moment ago" is: once to twice this. Longer than a round on the slowest links that
// a leader keeps its followers on, shorter than any wait for an election.
constexpr Duration commitNotedEach{250};

void RaftNode::updateCaughtUpIndex(MonotonicTime now) {
  if (now - caughtUpIndexUpdatedAt < commitNotedEach)
    return;
  caughtUpIndex = std::max(caughtUpIndex, nextCaughtUpIndex);
  nextCaughtUpIndex = committedIndex;
  caughtUpIndexUpdatedAt = now;
}

// One that is not heard may have lost its disk: its copy is not counted on.
LogIndex RaftNode::replicatedIndexWithout(const ControllerId& id) const {
  const auto left = peers.find(id);
  const LogIndex ofSelf = id == selfMember.id ? LogIndex{} : std::min(syncedIndex, lastIndex());
  return quorumValue(ofSelf, [&](const PeerProgress& peer) {
    const bool isLeftOut = left != peers.end() && &left->second == &peer;
    const bool heard = currentTime - peer.lastHeard <= options.electionTimeoutMax;
    return heard && !isLeftOut && !peer.hasLostState ? peer.matchIndex : LogIndex{};
  });
}

bool RaftNode::isSafeToStop() const {
  if (!isVoter() || currentMembership.size() == 1)
    return true;
  const LogIndex held = isLeader() ? replicatedIndexWithout(selfMember.id) : replicatedWithoutSelf;
  return held >= committedIndex;
}

bool RaftNode::hasLostState(const ControllerId& id) const {
  auto found = peers.find(id);
  return found != peers.end() && found->second.hasLostState;
}

std::optional<WallTime> RaftNode::agreedWallTime(MonotonicTime now) const {
  std::vector<std::int64_t> walls;
  for (const auto& entry : currentMembership) {
    if (!entry.voter)
      continue;
    if (entry.id == selfMember.id)
      walls.push_back(wallTimeAtTick.milliseconds + (now - wallAt).milliseconds);
    else {
      auto found = peers.find(entry.id);
      if (found != peers.end() && found->second.wallClockOffset)
        walls.push_back(now.milliseconds + *found->second.wallClockOffset);
    }
  }
  if (walls.size() < majoritySize())
    return std::nullopt;
  std::sort(walls.begin(), walls.end());
  return WallTime{
      walls[(walls.size() - 1) / 2]};  // the lower median: one clock alone cannot move it ahead
}

void RaftNode::broadcast(MonotonicTime now, bool force) {
  lastBroadcastAt = now;
  currentRound = currentRound.next();
  roundStartTimes.emplace_back(currentRound, now);
  if (roundStartTimes.size() > 256)
    roundStartTimes.pop_front();
  for (const auto& entry : currentMembership)
    if (entry.id != selfMember.id)
      sendAppend(entry, peers[entry.id], force);
  nextHeartbeatAt = now + options.heartbeatInterval;
  advanceCommitIndex();
}

std::size_t payloadBytes(const PeerMessage& message) {
  if (const auto* append = boost::get<AppendEntries>(&message.body)) {
    std::size_t bytes = 0;
    for (const auto& entry : append->entries)
      bytes += bytesOf(entry);
    return bytes;
  }
  if (const auto* install = boost::get<InstallSnapshot>(&message.body))
    return install->data.size();
  const auto* chunk = boost::get<AppendEntryChunk>(&message.body);
  return chunk ? chunk->data.size() : 0;
}

std::size_t RaftNode::windowOf(PeerProgress& peer) const {
  if (!peer.sendWindow.bytes)
    peer.sendWindow.bytes = std::min(firstWindow, options.maxUnacknowledgedBytes);
  return peer.sendWindow.bytes;
}

// A round that returns later than the link's own delay explains waited behind what was sent before
// it: less at a time keeps heartbeats timely on a slow link. docs/design.md 3.4.
void RaftNode::adaptWindow(PeerProgress& peer, Duration roundTrip) const {
  SendWindow& window = peer.sendWindow;
  const std::size_t bytes = windowOf(peer);
  window.fastestRoundTrip = std::min(window.fastestRoundTrip.value_or(roundTrip), roundTrip);
  const bool late = roundTrip - *window.fastestRoundTrip > options.heartbeatInterval;
  if (late)
    window.bytes = std::max(std::min(options.chunkBytes, bytes), bytes / 2);
  else if (window.exhausted)
    window.bytes = std::min(options.maxUnacknowledgedBytes, bytes * 2);
  window.exhausted = false;
}

void RaftNode::discardAcknowledged(PeerProgress& peer) {
  while (!peer.unacknowledgedBatches.empty() &&
         peer.unacknowledgedBatches.front().lastIndex <= peer.matchIndex) {
    peer.unacknowledgedBytes -= peer.unacknowledgedBatches.front().bytes;
    peer.unacknowledgedBatches.pop_front();
  }
}

void RaftNode::clearUnacknowledged(PeerProgress& peer) {
  peer.unacknowledgedBatches.clear();
  peer.unacknowledgedBytes = 0;
}

void RaftNode::sendAppend(const Member& to, PeerProgress& peer, bool force) {
  if (peer.nextIndex <= base.lastIncludedIndex)
    return sendSnapshotChunks(to, peer, force);
  const std::size_t window = windowOf(peer);
  if (peer.entryTransfer && peer.entryTransfer->index != peer.nextIndex)
    peer.entryTransfer.reset();
  const bool large = peer.unacknowledgedBatches.empty() && peer.nextIndex <= lastIndex() &&
                     bytesOf(entry(peer.nextIndex)) > window;
  if (peer.entryTransfer || large)
    return sendEntryChunks(to, peer, force);
  AppendEntries body;
  body.term = currentTerm;
  body.previousLogIndex = LogIndex{peer.nextIndex.value - 1};
  body.previousLogTerm = termAt(body.previousLogIndex);
  body.leaderCommit = committedIndex;
  body.round = currentRound;
  body.replicatedWithoutReceiver = std::min(replicatedIndexWithout(to.id), committedIndex);
  std::size_t bytes = 0;
  for (LogIndex index = peer.nextIndex; index <= lastIndex(); index = index.next()) {
    const std::size_t grown = bytes + bytesOf(entry(index));
    const std::size_t underWay = peer.unacknowledgedBytes + grown;
    if (underWay > window)
      peer.sendWindow.exhausted = true;
    if (underWay > window || (!body.entries.empty() && grown > options.maxBatchBytes))
      break;
    body.entries.push_back(entry(index));
    bytes = grown;
  }
  if (body.entries.empty() && !force)
    return;
  if (!body.entries.empty()) {
    peer.nextIndex = LogIndex{peer.nextIndex.value + body.entries.size()};
    peer.unacknowledgedBatches.push_back({LogIndex{peer.nextIndex.value - 1}, bytes});
    peer.unacknowledgedBytes += bytes;
  }
  send(to.id, std::move(body));
}

void RaftNode::advanceCommitIndex() {
  const LogIndex agreed = quorumValue(std::min(syncedIndex, lastIndex()),
                                      [](const PeerProgress& peer) { return peer.matchIndex; });
  if (agreed > committedIndex && termAt(agreed) == currentTerm) {
    committedIndex = agreed;
    nextHeartbeatAt = std::min(nextHeartbeatAt, currentTime + Duration{10});
    if (!isVoter())
      changeRole(Role::follower, currentTime);
  }
}

void RaftNode::sendAppendReply(const ControllerId& to, bool matched, LogIndex match,
                               RoundNumber answered) {
  AppendEntriesReply reply;
  reply.term = currentTerm;
  reply.success = matched;
  reply.matchIndex = match;
  reply.lastLogIndex = std::max(std::min(syncedIndex, lastIndex()), durableIndex);
  reply.round = answered;
  reply.wallTime = wallTimeAtTick + (currentTime - wallAt);
  send(to, reply);
}

void RaftNode::recordLeaderContact(const ControllerId& leader, Term term, RoundNumber heardRound,
                                   MonotonicTime now) {
  knownLeader = leader;
  leaderHeardAt = now;
  resetElectionTimer(now);
  const bool another = lastAppender != leader || lastAppendTerm != term;
  // docs/design.md 3.3: of what lies here only the committed part is known to be in a new leader's
  // log.
  if (another)
    verifiedIndex = committedIndex;
  lastAppendRound = another ? heardRound : std::max(lastAppendRound, heardRound);
  lastAppender = leader;
  lastAppendTerm = term;
}

void RaftNode::handle(const PeerMessage& message, const AppendEntries& body, MonotonicTime now) {
  if (body.term < currentTerm) {
    sendAppendReply(message.from, false, LogIndex{}, RoundNumber{});
    return;
  }
  observeTerm(body.term, now);
  if (isLeader())
    return;  // cannot be: one leader a term
  if (currentRole == Role::candidate)
    changeRole(Role::follower, now);
  recordLeaderContact(message.from, body.term, body.round, now);
  // Up to what this leader has shown the logs agree, so one answer sets it back far enough.
  // docs/design.md 3.4.
  if (body.previousLogIndex > lastIndex())
    return sendAppendReply(message.from, false, verifiedIndex, body.round);
  if (body.previousLogIndex < base.lastIncludedIndex)
    return sendAppendReply(message.from, true, std::min(syncedIndex, committedIndex), body.round);
  if (termAt(body.previousLogIndex) != body.previousLogTerm)
    return sendAppendReply(message.from, false, verifiedIndex, body.round);
  LogIndex index = body.previousLogIndex;
  bool membersChanged = false;
  for (const auto& added : body.entries) {
    index = index.next();
    if (index <= lastIndex()) {
      if (termAt(index) == added.term)
        continue;
      truncateLog(index);
    }
    log.push_back(added);
    persistFrom(index);
    membersChanged = membersChanged || added.isMembership;
  }
  if (membersChanged) {
    reloadMembership();
    if (isVoter() && currentRole == Role::learner)
      currentRole = Role::follower;
    else if (!isVoter() && currentRole == Role::follower)
      currentRole = Role::learner;
  }
  committedIndex = std::max(committedIndex, std::min(body.leaderCommit, index));
  if (incomingSnapshot && incomingSnapshot->identity.lastIncludedIndex <= committedIndex)
    incomingSnapshot.reset();
  replicatedWithoutSelf = body.replicatedWithoutReceiver;
  verifiedIndex = std::max(verifiedIndex, index);
  sendAppendReply(message.from, true, std::min(index, syncedIndex), body.round);
}

void RaftNode::recordContact(PeerProgress& peer, RoundNumber answered, WallTime wall,
                             MonotonicTime now) {
  peer.lastHeard = now;
  peer.wallClockOffset = wall.milliseconds - now.milliseconds;
  if (answered <= peer.ackedRound)
    return;
  peer.ackedRound = answered;
  for (const auto& [number, sent] : roundStartTimes)
    if (number == answered) {
      peer.ackedRoundSentAt = std::max(peer.ackedRoundSentAt, sent);
      adaptWindow(peer, now - sent);
    }
}

void RaftNode::handle(const PeerMessage& message, const AppendEntriesReply& body,
                      MonotonicTime now) {
  if (body.term > currentTerm)
    return observeTerm(body.term, now);
  if (!isLeader() || body.term != currentTerm)
    return;
  auto found = peers.find(message.from);
  if (found == peers.end())
    return;
  PeerProgress& peer = found->second;
  recordContact(peer, body.round, body.wallTime, now);
  // docs/design.md 3.5: it once acknowledged more than it now has; its disk is not the one that
  // voted. A reply of a later round was made later; one that was merely overtaken on the way proves
  // nothing.
  if (body.lastLogIndex < peer.matchIndex) {
    peer.hasLostState = peer.hasLostState || body.round > peer.matchRound;
    return;
  }
  if (body.success) {
    if (body.matchIndex > peer.matchIndex) {
      peer.matchIndex = body.matchIndex;
      peer.matchRound = body.round;
    }
    if (body.matchIndex >= base.lastIncludedIndex)
      peer.snapshotTransfer.reset();
    if (peer.nextIndex <= peer.matchIndex)
      peer.nextIndex = peer.matchIndex.next();
    discardAcknowledged(peer);
    advanceCommitIndex();
    if (peer.nextIndex <= lastIndex()) {
      if (const auto* to = findMember(message.from))
        sendAppend(*to, peer, false);
    }
  } else if (body.round > peer.resetRound &&
             (!peer.snapshotTransfer || body.matchIndex >= base.lastIncludedIndex)) {
    peer.snapshotTransfer.reset();
    peer.entryTransfer.reset();
    clearUnacknowledged(peer);
    peer.resetRound = currentRound;
    peer.nextIndex = LogIndex{
        std::max(peer.matchIndex.value, std::min(body.matchIndex.value, peer.nextIndex.value - 1)) +
        1};
    if (const auto* to = findMember(message.from))
      sendAppend(*to, peer, true);
  }
}

}  // namespace aniseline
