// The leader's side of log replication: heartbeat rounds, AppendEntries limited by each follower's
// send window, and handling of the replies. docs/design.md 3.2, 3.4.
#include "raft/node.hpp"

namespace aniseline {

LogIndex RaftNode::propose(std::string payload, MonotonicTime now) {
  log.append(LogEntry{currentTerm, false, std::move(payload)});
  writes.persistFrom(lastIndex());
  nextHeartbeatAt = std::min(nextHeartbeatAt, now);
  return lastIndex();
}

RoundNumber RaftNode::startRound(MonotonicTime now) {
  nextHeartbeatAt = std::min(nextHeartbeatAt, now);
  return rounds.current().next();
}

void RaftNode::broadcast(MonotonicTime now) {
  rounds.startNext(now);
  for (const auto& member : currentMembership) {
    if (member.id != selfMember.id)
      replicate(member.id, peers.at(member.id), SendMode::heartbeat);
  }
  nextHeartbeatAt = now + options.heartbeatInterval;
  advanceCommitIndex();
}

// Sends the data that the follower needs next, as snapshot chunks, entry chunks or a batch of
// entries.
void RaftNode::replicate(const ControllerId& to, PeerProgress& peer, SendMode mode) {
  if (peer.nextIndex() <= log.baseIndex())
    sendSnapshotChunks(to, peer, mode);
  else if (isNextEntryTooLarge(peer))
    sendEntryChunks(to, peer, mode);
  else
    sendEntries(to, peer, mode);
}

// An entry whose transfer was started in chunks is also finished in chunks, even if the window has
// grown in the meantime.
bool RaftNode::isNextEntryTooLarge(PeerProgress& peer) const {
  if (peer.isSendingEntryInChunks())
    return true;
  return peer.allAcknowledged() && peer.nextIndex() <= lastIndex() &&
         bytesOf(entry(peer.nextIndex())) > peer.sendWindow().bytes();
}

void RaftNode::sendEntries(const ControllerId& to, PeerProgress& peer, SendMode mode) {
  AppendEntries body;
  body.term = currentTerm;
  body.previousLogIndex = indexBefore(peer.nextIndex());
  body.previousLogTerm = log.termAt(body.previousLogIndex);
  body.leaderCommit = committedIndex;
  body.round = rounds.current();
  body.replicatedIndexWithoutReceiver = std::min(replicatedIndexWithout(to), committedIndex);
  const std::size_t bytes = fillBatch(peer, body.entries);
  if (body.entries.empty() && mode == SendMode::dataOnly)
    return;
  if (!body.entries.empty())
    peer.recordSent(body.entries.size(), bytes);
  send(to, std::move(body));
}

// Copies the next entries that fit both the follower's send window and one message. Returns their
// size in bytes.
std::size_t RaftNode::fillBatch(PeerProgress& peer, std::vector<LogEntry>& entries) const {
  std::size_t bytes = 0;
  for (LogIndex index = peer.nextIndex(); index <= lastIndex(); index = index.next()) {
    const std::size_t batchBytes = bytes + bytesOf(entry(index));
    if (!peer.fitsWindow(batchBytes)) {
      peer.sendWindow().markExhausted();
      break;
    }
    if (!entries.empty() && batchBytes > options.maxBatchBytes)
      break;
    entries.push_back(entry(index));
    bytes = batchBytes;
  }
  return bytes;
}

// Processes the parts that all replies have in common: the term, and the acknowledged round.
// Returns the follower's progress, or null if the reply does not belong to the current leadership.
PeerProgress* RaftNode::acceptReply(const ControllerId& from, Term term, RoundNumber answered,
                                    WallTime wallTime, MonotonicTime now) {
  if (term > currentTerm) {
    observeTerm(term, now);
    return nullptr;
  }
  const auto found = peers.find(from);
  if (!isLeader() || term != currentTerm || found == peers.end())
    return nullptr;
  PeerProgress& peer = found->second;
  peer.recordReply(wallTime, now);
  if (peer.acknowledgeRound(answered)) {
    if (const auto sentAt = rounds.startTimeOf(answered))
      peer.recordRoundTrip(*sentAt, now, options);
  }
  return &peer;
}

void RaftNode::handle(const PeerMessage& message, const AppendEntriesReply& body,
                      MonotonicTime now) {
  PeerProgress* peer = acceptReply(message.from, body.term, body.round, body.wallTime, now);
  if (!peer || !peer->checkLastIndex(body.lastLogIndex, body.round))
    return;
  if (!body.success) {
    if (peer->onMismatch(body.matchIndex, body.round, rounds.current(), log.baseIndex()))
      replicate(message.from, *peer, SendMode::heartbeat);
    return;
  }
  peer->onMatch(body.matchIndex, body.round);
  if (body.matchIndex >= log.baseIndex())
    peer->closeSnapshotTransfer();
  advanceCommitIndex();
  if (peer->nextIndex() <= lastIndex())
    replicate(message.from, *peer, SendMode::dataOnly);
}

}  // namespace aniseline
