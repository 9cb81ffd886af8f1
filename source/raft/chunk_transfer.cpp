// Transfer of entries that exceed a follower's send window: in chunks limited by the window, with
// heartbeats in between, resumed at the offset that the follower reports. docs/design.md 3.4.
#include "raft/node.hpp"

namespace aniseline {

// Returns the chunks of a transfer that the window allows now. If there are none and a heartbeat is
// due, returns a chunk without data, which asks the follower for its offset.
std::vector<Chunk> RaftNode::nextChunks(PeerProgress& peer, ChunkProgress& progress,
                                        const std::string& bytes, SendMode mode) const {
  auto chunks =
      progress.takeChunks(bytes, peer.sendWindow().bytes(), options.chunkBytes, rounds.current());
  if (!progress.allSent(bytes))
    peer.sendWindow().markExhausted();
  if (chunks.empty() && mode == SendMode::heartbeat)
    chunks.push_back({progress.acknowledged(), {}});
  return chunks;
}

void RaftNode::sendEntryChunks(const ControllerId& to, PeerProgress& peer, SendMode mode) {
  const LogEntry& sent = entry(peer.nextIndex());
  AppendEntryChunk body;
  body.term = currentTerm;
  body.previousLogIndex = indexBefore(peer.nextIndex());
  body.previousLogTerm = log.termAt(body.previousLogIndex);
  body.leaderCommit = committedIndex;
  body.entryTerm = sent.term;
  body.isMembership = sent.isMembership;
  body.totalBytes = sent.payload.size();
  body.round = rounds.current();
  for (auto& chunk : nextChunks(peer, peer.openEntryTransfer(), sent.payload, mode)) {
    body.offset = chunk.offset;
    body.data = std::move(chunk.data);
    send(to, body);
  }
}

void RaftNode::handle(const PeerMessage& message, const AppendEntryChunk& body, MonotonicTime now) {
  if (!acceptLeader(message.from, body.term, body.round, now))
    return;
  const LogIndex index = body.previousLogIndex.next();
  AppendEntries append{body.term, body.previousLogIndex, body.previousLogTerm,
                       {},        body.leaderCommit,     body.round};
  if (!log.contains({body.previousLogTerm, body.previousLogIndex}))
    return handle(message, append, now);  // replies with the index up to which the logs match
  if (log.contains({body.entryTerm, index})) {
    incomingEntry.reset();
    append.previousLogIndex = index;
    append.previousLogTerm = body.entryTerm;
    return handle(message, append, now);  // acknowledges the entry, which the log already contains
  }
  if (!incomingEntry || incomingEntry->index != index || incomingEntry->term != body.entryTerm)
    incomingEntry = IncomingEntry{index, body.entryTerm, {}};
  ChunkBuffer& received = incomingEntry->received;
  received.append(body.offset, body.data);
  if (received.nextOffset() < body.totalBytes)
    return send(message.from,
                AppendEntryChunkReply{currentTerm, index, body.entryTerm, received.nextOffset(),
                                      body.round, wallTimeAt(currentTime)});
  append.entries.push_back(LogEntry{body.entryTerm, body.isMembership, received.take()});
  incomingEntry.reset();
  handle(message, append, now);
}

void RaftNode::handle(const PeerMessage& message, const AppendEntryChunkReply& body,
                      MonotonicTime now) {
  PeerProgress* peer = acceptReply(message.from, body.term, body.round, body.wallTime, now);
  ChunkProgress* progress = peer ? peer->findEntryTransfer(body.index) : nullptr;
  if (!progress || log.termAt(body.index) != body.entryTerm)
    return;
  progress->onReply(body.nextOffset, body.round);
  replicate(message.from, *peer, SendMode::dataOnly);
}

}  // namespace aniseline
