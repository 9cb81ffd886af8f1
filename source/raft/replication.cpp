// Log replication: rounds of AppendEntries, quorum contact and the commit index.
// docs/design.md 3.2, 3.4.
#include "raft/node.hpp"

namespace aniseline {

namespace {
// Sent before anything is known of the link: a quarter of a second at 2 Mbit/s, bytes.
constexpr std::size_t firstWindow = 64 * 1024;
}  // namespace

void RaftNode::cutLog(LogIndex from) {
  log.resize(from.value - base.index.value - 1);
  syncedIndex = std::min(syncedIndex, LogIndex{from.value - 1});
  durableIndex = std::min(durableIndex, LogIndex{from.value - 1});
  if (inFlight)
    inFlight->covers = std::min(inFlight->covers, LogIndex{from.value - 1});
  mark(from);
  if (membersIndex >= from)
    findMembers();
}

LogIndex RaftNode::propose(std::string payload, MonotonicTime now) {
  log.push_back(LogEntry{currentTerm, false, std::move(payload)});
  mark(last());
  nextHeartbeat = std::min(nextHeartbeat, now);
  return last();
}

RoundNumber RaftNode::startRound(MonotonicTime now) {
  nextHeartbeat = std::min(nextHeartbeat, now);
  return round.next();
}

// The highest value that a majority of the voters has reached.
template <class Value, class OfPeer>
Value RaftNode::reachedByMajority(Value ofSelf, OfPeer ofPeer) const {
  std::vector<Value> reached;
  for (const auto& entry : currentMembers) {
    if (!entry.voter)
      continue;
    auto found = peers.find(entry.id);
    if (entry.id == own.id)
      reached.push_back(ofSelf);
    else
      reached.push_back(found == peers.end() ? Value{} : ofPeer(found->second));
  }
  if (reached.size() < majority())
    return Value{};
  std::sort(reached.begin(), reached.end(), std::greater<>());
  return reached[majority() - 1];
}

RoundNumber RaftNode::confirmedRound() const {
  return reachedByMajority(round, [](const Peer& peer) { return peer.acked; });
}

MonotonicTime RaftNode::quorumContact() const {
  return reachedByMajority(clockNow, [](const Peer& peer) { return peer.contact; });
}

MonotonicTime RaftNode::heardFrom(const ControllerId& id) const {
  auto found = peers.find(id);
  return found == peers.end() ? clockNow : found->second.heard;
}

LogIndex RaftNode::matchOf(const ControllerId& id) const {
  auto found = peers.find(id);
  return found == peers.end() ? LogIndex{} : found->second.match;
}

bool RaftNode::caughtUp(const ControllerId& id) const {
  if (id == own.id)
    return syncedIndex >= caughtUpFrom;
  return matchOf(id) >= caughtUpFrom;
}

// How far back "a moment ago" is: once to twice this. Longer than a round on the slowest links that
// a leader keeps its followers on, shorter than any wait for an election.
constexpr Duration commitNotedEach{250};

void RaftNode::noteCommit(MonotonicTime now) {
  if (now - commitNotedAt < commitNotedEach)
    return;
  caughtUpFrom = std::max(caughtUpFrom, nextCaughtUpFrom);
  nextCaughtUpFrom = commit;
  commitNotedAt = now;
}

// One that is not heard may have lost its disk: its copy is not counted on.
LogIndex RaftNode::heldWithout(const ControllerId& id) const {
  const auto left = peers.find(id);
  const LogIndex ofSelf = id == own.id ? LogIndex{} : std::min(syncedIndex, last());
  return reachedByMajority(ofSelf, [&](const Peer& peer) {
    const bool isLeftOut = left != peers.end() && &left->second == &peer;
    const bool heard = clockNow - peer.heard <= options.electionHigh;
    return heard && !isLeftOut && !peer.lostState ? peer.match : LogIndex{};
  });
}

bool RaftNode::othersHoldCommitted() const {
  if (!selfVotes() || currentMembers.size() == 1)
    return true;
  const LogIndex held = leads() ? heldWithout(own.id) : heldByOthers;
  return held >= commit;
}

bool RaftNode::lostState(const ControllerId& id) const {
  auto found = peers.find(id);
  return found != peers.end() && found->second.lostState;
}

std::optional<WallTime> RaftNode::agreedWall(MonotonicTime now) const {
  std::vector<std::int64_t> walls;
  for (const auto& entry : currentMembers) {
    if (!entry.voter)
      continue;
    if (entry.id == own.id)
      walls.push_back(wallNow.milliseconds + (now - wallAt).milliseconds);
    else {
      auto found = peers.find(entry.id);
      if (found != peers.end() && found->second.wallOffset)
        walls.push_back(now.milliseconds + *found->second.wallOffset);
    }
  }
  if (walls.size() < majority())
    return std::nullopt;
  std::sort(walls.begin(), walls.end());
  return WallTime{
      walls[(walls.size() - 1) / 2]};  // the lower median: one clock alone cannot move it ahead
}

void RaftNode::broadcast(MonotonicTime now, bool force) {
  broadcastAt = now;
  round = round.next();
  roundTimes.emplace_back(round, now);
  if (roundTimes.size() > 256)
    roundTimes.pop_front();
  for (const auto& entry : currentMembers)
    if (entry.id != own.id)
      sendAppend(entry, peers[entry.id], force);
  nextHeartbeat = now + options.heartbeat;
  advanceCommit();
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

std::size_t RaftNode::windowOf(Peer& peer) const {
  if (!peer.window.bytes)
    peer.window.bytes = std::min(firstWindow, options.unacknowledgedBytes);
  return peer.window.bytes;
}

// A round that returns later than the link's own delay explains waited behind what was sent before
// it: less at a time keeps heartbeats timely on a slow link. docs/design.md 3.4.
void RaftNode::adaptWindow(Peer& peer, Duration roundTrip) const {
  SendWindow& window = peer.window;
  const std::size_t bytes = windowOf(peer);
  window.quickest = std::min(window.quickest.value_or(roundTrip), roundTrip);
  const bool late = roundTrip - *window.quickest > options.heartbeat;
  if (late)
    window.bytes = std::max(std::min(options.chunkBytes, bytes), bytes / 2);
  else if (window.usedUp)
    window.bytes = std::min(options.unacknowledgedBytes, bytes * 2);
  window.usedUp = false;
}

void RaftNode::dropAcknowledged(Peer& peer) {
  while (!peer.unacknowledged.empty() && peer.unacknowledged.front().last <= peer.match) {
    peer.unacknowledgedBytes -= peer.unacknowledged.front().bytes;
    peer.unacknowledged.pop_front();
  }
}

void RaftNode::forgetUnacknowledged(Peer& peer) {
  peer.unacknowledged.clear();
  peer.unacknowledgedBytes = 0;
}

void RaftNode::sendAppend(const Member& to, Peer& peer, bool force) {
  if (peer.next <= base.index)
    return sendSnapshot(to, peer, force);
  const std::size_t window = windowOf(peer);
  if (peer.largeEntry && peer.largeEntry->index != peer.next)
    peer.largeEntry.reset();
  const bool large =
      peer.unacknowledged.empty() && peer.next <= last() && bytesOf(entry(peer.next)) > window;
  if (peer.largeEntry || large)
    return sendLargeEntry(to, peer, force);
  AppendEntries body;
  body.term = currentTerm;
  body.previous = LogIndex{peer.next.value - 1};
  body.previousTerm = termAt(body.previous);
  body.commit = commit;
  body.round = round;
  body.heldByOthers = std::min(heldWithout(to.id), commit);
  std::size_t bytes = 0;
  for (LogIndex index = peer.next; index <= last(); index = index.next()) {
    const std::size_t grown = bytes + bytesOf(entry(index));
    const std::size_t underWay = peer.unacknowledgedBytes + grown;
    if (underWay > window)
      peer.window.usedUp = true;
    if (underWay > window || (!body.entries.empty() && grown > options.batchBytes))
      break;
    body.entries.push_back(entry(index));
    bytes = grown;
  }
  if (body.entries.empty() && !force)
    return;
  if (!body.entries.empty()) {
    peer.next = LogIndex{peer.next.value + body.entries.size()};
    peer.unacknowledged.push_back({LogIndex{peer.next.value - 1}, bytes});
    peer.unacknowledgedBytes += bytes;
  }
  send(to.id, std::move(body));
}

void RaftNode::advanceCommit() {
  const LogIndex agreed =
      reachedByMajority(std::min(syncedIndex, last()), [](const Peer& peer) { return peer.match; });
  if (agreed > commit && termAt(agreed) == currentTerm) {
    commit = agreed;
    nextHeartbeat = std::min(nextHeartbeat, clockNow + Duration{10});
    if (!selfVotes())
      become(Role::follower, clockNow);
  }
}

void RaftNode::replyAppend(const ControllerId& to, bool matched, LogIndex match,
                           RoundNumber answered) {
  AppendEntriesReply reply;
  reply.term = currentTerm;
  reply.matched = matched;
  reply.match = match;
  reply.last = std::max(std::min(syncedIndex, last()), durableIndex);
  reply.round = answered;
  reply.wall = wallNow + (clockNow - wallAt);
  send(to, reply);
}

void RaftNode::hearLeader(const ControllerId& leader, Term term, RoundNumber heardRound,
                          MonotonicTime now) {
  knownLeader = leader;
  heardLeader = now;
  resetElection(now);
  const bool another = lastAppender != leader || lastAppendTerm != term;
  // docs/design.md 3.3: of what lies here only the committed part is known to be in a new leader's
  // log.
  if (another)
    shownBy = commit;
  lastRoundSeen = another ? heardRound : std::max(lastRoundSeen, heardRound);
  lastAppender = leader;
  lastAppendTerm = term;
}

void RaftNode::on(const PeerMessage& message, const AppendEntries& body, MonotonicTime now) {
  if (body.term < currentTerm) {
    replyAppend(message.from, false, LogIndex{}, RoundNumber{});
    return;
  }
  seeTerm(body.term, now);
  if (leads())
    return;  // cannot be: one leader a term
  if (currentRole == Role::candidate)
    become(Role::follower, now);
  hearLeader(message.from, body.term, body.round, now);
  // Up to what this leader has shown the logs agree, so one answer sets it back far enough.
  // docs/design.md 3.4.
  if (body.previous > last())
    return replyAppend(message.from, false, shownBy, body.round);
  if (body.previous < base.index)
    return replyAppend(message.from, true, std::min(syncedIndex, commit), body.round);
  if (termAt(body.previous) != body.previousTerm)
    return replyAppend(message.from, false, shownBy, body.round);
  LogIndex index = body.previous;
  bool membersChanged = false;
  for (const auto& added : body.entries) {
    index = index.next();
    if (index <= last()) {
      if (termAt(index) == added.term)
        continue;
      cutLog(index);
    }
    log.push_back(added);
    mark(index);
    membersChanged = membersChanged || added.members;
  }
  if (membersChanged) {
    findMembers();
    if (selfVotes() && currentRole == Role::learner)
      currentRole = Role::follower;
    else if (!selfVotes() && currentRole == Role::follower)
      currentRole = Role::learner;
  }
  commit = std::max(commit, std::min(body.commit, index));
  if (incomingSnapshot && incomingSnapshot->identity.index <= commit)
    incomingSnapshot.reset();
  heldByOthers = body.heldByOthers;
  shownBy = std::max(shownBy, index);
  replyAppend(message.from, true, std::min(index, syncedIndex), body.round);
}

void RaftNode::noteContact(Peer& peer, RoundNumber answered, WallTime wall, MonotonicTime now) {
  peer.heard = now;
  peer.wallOffset = wall.milliseconds - now.milliseconds;
  if (answered <= peer.acked)
    return;
  peer.acked = answered;
  for (const auto& [number, sent] : roundTimes)
    if (number == answered) {
      peer.contact = std::max(peer.contact, sent);
      adaptWindow(peer, now - sent);
    }
}

void RaftNode::on(const PeerMessage& message, const AppendEntriesReply& body, MonotonicTime now) {
  if (body.term > currentTerm)
    return seeTerm(body.term, now);
  if (!leads() || body.term != currentTerm)
    return;
  auto found = peers.find(message.from);
  if (found == peers.end())
    return;
  Peer& peer = found->second;
  noteContact(peer, body.round, body.wall, now);
  // docs/design.md 3.5: it once acknowledged more than it now has; its disk is not the one that
  // voted. A reply of a later round was made later; one that was merely overtaken on the way proves
  // nothing.
  if (body.last < peer.match) {
    peer.lostState = peer.lostState || body.round > peer.matchRound;
    return;
  }
  if (body.matched) {
    if (body.match > peer.match) {
      peer.match = body.match;
      peer.matchRound = body.round;
    }
    if (body.match >= base.index)
      peer.installing.reset();
    if (peer.next <= peer.match)
      peer.next = peer.match.next();
    dropAcknowledged(peer);
    advanceCommit();
    if (peer.next <= last()) {
      if (const auto* to = member(message.from))
        sendAppend(*to, peer, false);
    }
  } else if (body.round > peer.resetRound && (!peer.installing || body.match >= base.index)) {
    peer.installing.reset();
    peer.largeEntry.reset();
    forgetUnacknowledged(peer);
    peer.resetRound = round;
    peer.next =
        LogIndex{std::max(peer.match.value, std::min(body.match.value, peer.next.value - 1)) + 1};
    if (const auto* to = member(message.from))
      sendAppend(*to, peer, true);
  }
}

}  // namespace aniseline
