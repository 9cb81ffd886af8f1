// What is larger than may be under way at once goes in chunks: paced by the peer's window, with
// heartbeats between, resumed where the peer says that it is. docs/design.md 3.4.
#include "raft/node.hpp"

namespace aniseline {

// All that was sent before the answered round came before the answer, or it is lost.
void RaftNode::ChunkProgress::onReply(std::uint64_t next, RoundNumber round) {
  const bool lost = round > lastChunkRound && next < sentOffset;
  acknowledgedOffset = lost ? next : std::max(acknowledgedOffset, next);
  sentOffset = lost ? next : std::max(sentOffset, next);
}

// As much as the window allows; when that is nothing, `force` asks how far the peer is.
template <class Chunk>
void RaftNode::sendChunks(const Member& to, PeerProgress& peer, ChunkProgress& progress,
                          const std::string& bytes, Chunk chunk, bool force) {
  const std::size_t window = windowOf(peer);
  while (progress.sentOffset < bytes.size() &&
         progress.sentOffset - progress.acknowledgedOffset < window) {
    chunk.offset = progress.sentOffset;
    chunk.data = bytes.substr(progress.sentOffset, options.chunkBytes);
    progress.sentOffset += chunk.data.size();
    progress.lastChunkRound = currentRound;
    send(to.id, chunk);
    force = false;
  }
  if (progress.sentOffset < bytes.size())
    peer.sendWindow.exhausted = true;
  if (!force)
    return;
  chunk.offset = progress.acknowledgedOffset;
  chunk.data.clear();
  send(to.id, chunk);
}
template void RaftNode::sendChunks(const Member&, PeerProgress&, ChunkProgress&, const std::string&,
                                   InstallSnapshot, bool);

void RaftNode::sendEntryChunks(const Member& to, PeerProgress& peer, bool force) {
  if (!peer.entryTransfer)
    peer.entryTransfer = EntryTransfer{peer.nextIndex, {}};
  const LogEntry& sent = entry(peer.nextIndex);
  AppendEntryChunk chunk;
  chunk.term = currentTerm;
  chunk.previousLogIndex = LogIndex{peer.nextIndex.value - 1};
  chunk.previousLogTerm = termAt(chunk.previousLogIndex);
  chunk.leaderCommit = committedIndex;
  chunk.entryTerm = sent.term;
  chunk.isMembership = sent.isMembership;
  chunk.totalBytes = sent.payload.size();
  chunk.round = currentRound;
  sendChunks(to, peer, peer.entryTransfer->chunks, sent.payload, chunk, force);
}

// Whether a chunk is of the leader's that this node follows.
bool RaftNode::acceptChunk(const PeerMessage& message, Term term, RoundNumber heardRound,
                           MonotonicTime now) {
  if (term < currentTerm) {
    sendAppendReply(message.from, false, LogIndex{}, RoundNumber{});
    return false;
  }
  observeTerm(term, now);
  if (isLeader())
    return false;  // cannot be: one leader a term
  if (currentRole == Role::candidate)
    changeRole(Role::follower, now);
  recordLeaderContact(message.from, term, heardRound, now);
  return true;
}

RaftNode::PeerProgress* RaftNode::acceptChunkReply(const PeerMessage& message, Term term,
                                                   RoundNumber answered, WallTime wall,
                                                   MonotonicTime now) {
  if (term > currentTerm) {
    observeTerm(term, now);
    return nullptr;
  }
  auto found = peers.find(message.from);
  if (!isLeader() || term != currentTerm || found == peers.end())
    return nullptr;
  recordContact(found->second, answered, wall, now);
  return &found->second;
}

void RaftNode::handle(const PeerMessage& message, const AppendEntryChunk& body, MonotonicTime now) {
  if (!acceptChunk(message, body.term, body.round, now))
    return;
  const LogIndex index = body.previousLogIndex.next();
  AppendEntries append{body.term, body.previousLogIndex, body.previousLogTerm,
                       {},        body.leaderCommit,     body.round};
  const bool fits = body.previousLogIndex <= lastIndex() &&
                    body.previousLogIndex >= base.lastIncludedIndex &&
                    termAt(body.previousLogIndex) == body.previousLogTerm;
  if (!fits)
    return handle(message, append, now);  // says where the logs agree
  if (termAt(index) == body.entryTerm) {
    incomingEntry.reset();
    append.previousLogIndex = index;
    append.previousLogTerm = body.entryTerm;
    return handle(message, append, now);  // it is here already
  }
  if (!incomingEntry || incomingEntry->index != index || incomingEntry->term != body.entryTerm)
    incomingEntry = IncomingEntry{index, body.entryTerm, {}};
  std::string& received = incomingEntry->bytes;
  if (body.offset == received.size())
    received += body.data;
  if (received.size() < body.totalBytes)
    return send(message.from,
                AppendEntryChunkReply{currentTerm, index, body.entryTerm, received.size(),
                                      body.round, wallTimeAtTick + (currentTime - wallAt)});
  append.entries.push_back(LogEntry{body.entryTerm, body.isMembership, std::move(received)});
  incomingEntry.reset();
  handle(message, append, now);
}

void RaftNode::handle(const PeerMessage& message, const AppendEntryChunkReply& body,
                      MonotonicTime now) {
  PeerProgress* peer = acceptChunkReply(message, body.term, body.round, body.wallTime, now);
  if (!peer || !peer->entryTransfer || peer->entryTransfer->index != body.index ||
      termAt(body.index) != body.entryTerm)
    return;
  peer->entryTransfer->chunks.onReply(body.nextOffset, body.round);
  if (const auto* to = findMember(message.from))
    sendAppend(*to, *peer, false);
}

}  // namespace aniseline
