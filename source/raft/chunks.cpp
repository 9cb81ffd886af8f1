// What is larger than may be under way at once goes in chunks: paced by the peer's window, with
// heartbeats between, resumed where the peer says that it is. docs/design.md 3.4.
#include "raft/node.hpp"

namespace aniseline {

// All that was sent before the answered round came before the answer, or it is lost.
void RaftNode::ChunkProgress::answered(std::uint64_t next, RoundNumber round) {
  const bool lost = round > sentRound && next < sent;
  acknowledged = lost ? next : std::max(acknowledged, next);
  sent = lost ? next : std::max(sent, next);
}

// As much as the window allows; when that is nothing, `force` asks how far the peer is.
template <class Chunk>
void RaftNode::sendChunks(const Member& to, Peer& peer, ChunkProgress& progress,
                          const std::string& bytes, Chunk chunk, bool force) {
  const std::size_t window = windowOf(peer);
  while (progress.sent < bytes.size() && progress.sent - progress.acknowledged < window) {
    chunk.offset = progress.sent;
    chunk.data = bytes.substr(progress.sent, options.chunkBytes);
    progress.sent += chunk.data.size();
    progress.sentRound = round;
    send(to.id, chunk);
    force = false;
  }
  if (progress.sent < bytes.size())
    peer.window.usedUp = true;
  if (!force)
    return;
  chunk.offset = progress.acknowledged;
  chunk.data.clear();
  send(to.id, chunk);
}
template void RaftNode::sendChunks(const Member&, Peer&, ChunkProgress&, const std::string&,
                                   InstallSnapshot, bool);

void RaftNode::sendLargeEntry(const Member& to, Peer& peer, bool force) {
  if (!peer.largeEntry)
    peer.largeEntry = EntryProgress{peer.next, {}};
  const LogEntry& sent = entry(peer.next);
  AppendEntryChunk chunk;
  chunk.term = currentTerm;
  chunk.previous = LogIndex{peer.next.value - 1};
  chunk.previousTerm = termAt(chunk.previous);
  chunk.commit = commit;
  chunk.entryTerm = sent.term;
  chunk.members = sent.members;
  chunk.size = sent.payload.size();
  chunk.round = round;
  sendChunks(to, peer, peer.largeEntry->chunks, sent.payload, chunk, force);
}

// Whether a chunk is of the leader's that this node follows.
bool RaftNode::hearChunk(const PeerMessage& message, Term term, RoundNumber heardRound,
                         MonotonicTime now) {
  if (term < currentTerm) {
    replyAppend(message.from, false, LogIndex{}, RoundNumber{});
    return false;
  }
  seeTerm(term, now);
  if (leads())
    return false;  // cannot be: one leader a term
  if (currentRole == Role::candidate)
    become(Role::follower, now);
  hearLeader(message.from, term, heardRound, now);
  return true;
}

RaftNode::Peer* RaftNode::noteChunkReply(const PeerMessage& message, Term term,
                                         RoundNumber answered, WallTime wall, MonotonicTime now) {
  if (term > currentTerm) {
    seeTerm(term, now);
    return nullptr;
  }
  auto found = peers.find(message.from);
  if (!leads() || term != currentTerm || found == peers.end())
    return nullptr;
  noteContact(found->second, answered, wall, now);
  return &found->second;
}

void RaftNode::on(const PeerMessage& message, const AppendEntryChunk& body, MonotonicTime now) {
  if (!hearChunk(message, body.term, body.round, now))
    return;
  const LogIndex index = body.previous.next();
  AppendEntries append{body.term, body.previous, body.previousTerm, {}, body.commit, body.round};
  const bool fits = body.previous <= last() && body.previous >= base.index &&
                    termAt(body.previous) == body.previousTerm;
  if (!fits)
    return on(message, append, now);  // says where the logs agree
  if (termAt(index) == body.entryTerm) {
    incomingEntry.reset();
    append.previous = index;
    append.previousTerm = body.entryTerm;
    return on(message, append, now);  // it is here already
  }
  if (!incomingEntry || incomingEntry->index != index || incomingEntry->term != body.entryTerm)
    incomingEntry = IncomingEntry{index, body.entryTerm, {}};
  std::string& received = incomingEntry->bytes;
  if (body.offset == received.size())
    received += body.data;
  if (received.size() < body.size)
    return send(message.from,
                AppendEntryChunkReply{currentTerm, index, body.entryTerm, received.size(),
                                      body.round, wallNow + (clockNow - wallAt)});
  append.entries.push_back(LogEntry{body.entryTerm, body.members, std::move(received)});
  incomingEntry.reset();
  on(message, append, now);
}

void RaftNode::on(const PeerMessage& message, const AppendEntryChunkReply& body,
                  MonotonicTime now) {
  Peer* peer = noteChunkReply(message, body.term, body.round, body.wall, now);
  if (!peer || !peer->largeEntry || peer->largeEntry->index != body.index ||
      termAt(body.index) != body.entryTerm)
    return;
  peer->largeEntry->chunks.answered(body.next, body.round);
  if (const auto* to = member(message.from))
    sendAppend(*to, *peer, false);
}

}  // namespace aniseline
