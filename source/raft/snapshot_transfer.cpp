// Log compaction, and chunked, flow-controlled, resumable transfer of snapshots to followers whose
// next entry was already compacted. docs/design.md 3.4.
#include "raft/node.hpp"

namespace aniseline {

namespace {

// Deserializes a received snapshot. Returns nullopt if it was corrupted in transit.
std::optional<Snapshot> decodeSnapshot(const std::string& bytes, const SnapshotIdentity& identity) {
  if (bytes.size() != identity.totalBytes || checksum(bytes) != identity.checksum)
    return std::nullopt;
  auto snapshot = unpack<Snapshot>(bytes);
  if (!snapshot || snapshot.value().lastIncludedIndex != identity.lastIncludedIndex ||
      snapshot.value().lastIncludedTerm != identity.lastIncludedTerm)
    return std::nullopt;
  return std::move(snapshot.value());
}

}  // namespace

// Returns the last entry to discard once a snapshot covers everything up to `snapshotIndex`.
// Entries that lagging members still need are retained as long as the retained log stays within its
// size limit.
LogIndex RaftNode::compactionIndex(LogIndex snapshotIndex) const {
  const std::uint64_t newest = lastIndex().value;
  LogIndex needed{newest - std::min<std::uint64_t>(newest, options.retainedEntries)};
  if (isLeader()) {
    for (const auto& [id, peer] : peers) {
      const auto& transfer = peer.snapshotTransfer();
      const LogIndex availableIndex =
          transfer ? transfer->identity.lastIncludedIndex : peer.matchIndex();
      needed = std::min(needed, availableIndex);
    }
  }
  return std::min(snapshotIndex,
                  std::max(needed, log.baseIndexForTailOf(options.maxRetainedBytes)));
}

void RaftNode::compact(LogIndex index, std::string state) {
  if (index > committedIndex || index <= latestSnapshot.lastIncludedIndex)
    return;
  latestSnapshot =
      Snapshot{index, log.termAt(index), log.membershipAt(index).membership, std::move(state)};
  writes.persistSnapshot();
  const LogIndex discarded = compactionIndex(index);
  if (discarded > log.baseIndex())
    log.discardThrough(discarded);
}

// Keeps sending the same snapshot, also to other followers, as long as the log holds the entries
// that follow it. Switches to the latest snapshot after that, or if no follower has received any
// part of the current one.
void RaftNode::prepareOutgoingSnapshot() {
  if (outgoingSnapshot) {
    const SnapshotIdentity& current = outgoingSnapshot->identity;
    const bool partlyReceived = std::any_of(peers.begin(), peers.end(), [&](const auto& entry) {
      const auto& transfer = entry.second.snapshotTransfer();
      return transfer && transfer->identity == current && transfer->chunks.acknowledged() > 0;
    });
    const bool canContinue = partlyReceived && current.lastIncludedIndex >= log.baseIndex();
    if (canContinue || current.lastIncludedIndex == latestSnapshot.lastIncludedIndex)
      return;
  }
  std::string bytes = pack(latestSnapshot);
  const SnapshotIdentity identity{latestSnapshot.lastIncludedIndex, latestSnapshot.lastIncludedTerm,
                                  bytes.size(), checksum(bytes)};
  outgoingSnapshot = OutgoingSnapshot{identity, std::move(bytes)};
}

// Frees the buffers of transfers that are no longer active.
void RaftNode::discardIdleTransfers() {
  const bool isSending = std::any_of(peers.begin(), peers.end(), [](const auto& entry) {
    return entry.second.snapshotTransfer().has_value();
  });
  if (!isLeader() || !isSending)
    outgoingSnapshot.reset();
  if (!isLeader())
    return;
  incomingSnapshot.reset();
  incomingEntry.reset();
}

void RaftNode::sendSnapshotChunks(const ControllerId& to, PeerProgress& peer, SendMode mode) {
  prepareOutgoingSnapshot();
  const SnapshotIdentity& identity = outgoingSnapshot->identity;
  ChunkProgress& progress = peer.openSnapshotTransfer(identity);
  for (auto& chunk : nextChunks(peer, progress, outgoingSnapshot->bytes, mode))
    send(to, InstallSnapshot{currentTerm, identity, chunk.offset, std::move(chunk.data),
                             rounds.current()});
}

// Adds a chunk to the incoming snapshot and returns the snapshot once it is complete. A corrupted
// snapshot is received again from the start.
std::optional<Snapshot> RaftNode::receiveSnapshotChunk(const InstallSnapshot& body) {
  if (!incomingSnapshot || incomingSnapshot->identity != body.snapshot)
    incomingSnapshot = IncomingSnapshot{body.snapshot, {}};
  ChunkBuffer& received = incomingSnapshot->received;
  received.append(body.offset, body.data);
  if (received.nextOffset() < body.snapshot.totalBytes)
    return std::nullopt;
  auto snapshot = decodeSnapshot(received.take(), body.snapshot);
  if (snapshot)
    incomingSnapshot.reset();
  return snapshot;
}

void RaftNode::installSnapshot(Snapshot snapshot) {
  const LogIndex index = snapshot.lastIncludedIndex;
  if (log.contains({snapshot.lastIncludedTerm, index})) {
    // Later entries may already have been acknowledged to the leader and counted, so they are kept.
    verifiedIndex = std::max(verifiedIndex, index);
  } else {
    // Entries on disk that this leader has not verified may belong to a diverged log, so they do
    // not count as synced entries of the snapshot's log.
    writes.limitSynced(verifiedIndex);
    verifiedIndex = index;
  }
  log.resetTo(snapshot);
  latestSnapshot = std::move(snapshot);
  committedIndex = index;
  writes.persistSnapshot();
  snapshotInstalled = true;
  reloadMembership();
  promoteIfVoter();
}

void RaftNode::handle(const PeerMessage& message, const InstallSnapshot& body, MonotonicTime now) {
  if (!acceptLeader(message.from, body.term, body.round, now))
    return;
  if (body.snapshot.lastIncludedIndex > committedIndex) {
    auto snapshot = receiveSnapshotChunk(body);
    if (!snapshot) {
      const std::uint64_t nextOffset = incomingSnapshot->received.nextOffset();
      return send(message.from, InstallSnapshotReply{currentTerm, body.snapshot, nextOffset,
                                                     body.round, wallTimeAt(currentTime)});
    }
    installSnapshot(std::move(*snapshot));
  }
  const LogIndex match = std::min(writes.syncedIndex(), verifiedIndex);
  sendAppendReply(message.from, true, match, body.round);
}

void RaftNode::handle(const PeerMessage& message, const InstallSnapshotReply& body,
                      MonotonicTime now) {
  PeerProgress* peer = acceptReply(message.from, body.term, body.round, body.wallTime, now);
  ChunkProgress* progress = peer ? peer->findSnapshotTransfer(body.snapshot) : nullptr;
  if (!progress)
    return;
  progress->onReply(body.nextOffset, body.round);
  replicate(message.from, *peer, SendMode::dataOnly);
}

}  // namespace aniseline
