// Log compaction, and snapshots to followers that are behind the log: sent in chunks, paced, and
// resumed. docs/design.md 3.4.
#include "raft/node.hpp"

namespace aniseline {

Membership RaftNode::membershipAt(LogIndex index) const {
  Membership members = base.membership;
  for (LogIndex at = base.lastIncludedIndex.next(); at <= index; at = at.next()) {
    if (!entry(at).isMembership)
      continue;
    if (auto found = unpack<Membership>(entry(at).payload))
      members = found.value();
  }
  return members;
}

// The last entry that is dropped when all up to `folded` is in a snapshot. What members who are
// late still need stays, as long as the whole tail keeps within its bytes.
LogIndex RaftNode::compactionIndex(LogIndex folded) const {
  const std::uint64_t newest = lastIndex().value;
  LogIndex cut{newest - std::min<std::uint64_t>(newest, options.retainedEntries)};
  if (isLeader())
    for (const auto& [id, peer] : peers)
      cut = std::min(cut, peer.snapshotTransfer ? peer.snapshotTransfer->identity.lastIncludedIndex
                                                : peer.matchIndex);
  std::size_t bytes = 0;
  LogIndex within = lastIndex();
  while (within > base.lastIncludedIndex) {
    bytes += bytesOf(entry(within));
    if (bytes > options.maxRetainedBytes)
      break;
    within = LogIndex{within.value - 1};
  }
  return std::min(folded, std::max(cut, within));
}

void RaftNode::compact(LogIndex index, std::string state) {
  if (index > committedIndex || index <= latestSnapshot.lastIncludedIndex)
    return;
  latestSnapshot = Snapshot{index, termAt(index), membershipAt(index), std::move(state)};
  snapshotWritePending = true;
  const LogIndex cut = compactionIndex(index);
  if (cut <= base.lastIncludedIndex)
    return;
  Snapshot begin{cut, termAt(cut), membershipAt(cut), {}};
  log.erase(log.begin(), log.begin() + std::ptrdiff_t(cut.value - base.lastIncludedIndex.value));
  base = std::move(begin);
}

// The same snapshot goes on, also to another follower, until the log no longer holds what follows
// it; then, or while nobody has any of it, the newest takes its place.
void RaftNode::prepareOutgoingSnapshot() {
  if (outgoingSnapshot) {
    const SnapshotIdentity& current = outgoingSnapshot->identity;
    const bool begun = std::any_of(peers.begin(), peers.end(), [&](const auto& entry) {
      const auto& progress = entry.second.snapshotTransfer;
      return progress && progress->identity == current && progress->chunks.acknowledgedOffset > 0;
    });
    if (current.lastIncludedIndex == latestSnapshot.lastIncludedIndex ||
        (begun && current.lastIncludedIndex >= base.lastIncludedIndex))
      return;
  }
  std::string bytes = pack(latestSnapshot);
  const SnapshotIdentity identity{latestSnapshot.lastIncludedIndex, latestSnapshot.lastIncludedTerm,
                                  bytes.size(), checksum(bytes)};
  outgoingSnapshot = OutgoingSnapshot{identity, std::move(bytes)};
}

// What no one is sent any more is not held any longer.
void RaftNode::discardIdleTransfers() {
  const bool wanted = std::any_of(peers.begin(), peers.end(), [](const auto& entry) {
    return entry.second.snapshotTransfer.has_value();
  });
  if (!isLeader() || !wanted)
    outgoingSnapshot.reset();
  if (!isLeader())
    return;
  incomingSnapshot.reset();
  incomingEntry.reset();
}

void RaftNode::sendSnapshotChunks(const Member& to, PeerProgress& peer, bool force) {
  prepareOutgoingSnapshot();
  const SnapshotIdentity& identity = outgoingSnapshot->identity;
  if (!peer.snapshotTransfer || peer.snapshotTransfer->identity != identity) {
    peer.snapshotTransfer = SnapshotTransfer{identity, {}};
    peer.entryTransfer.reset();
    clearUnacknowledged(peer);
  }
  const InstallSnapshot chunk{currentTerm, identity, 0, {}, currentRound};
  sendChunks(to, peer, peer.snapshotTransfer->chunks, outgoingSnapshot->bytes, chunk, force);
}

// Adds what continues the snapshot that is being received; gives it once it is whole.
std::optional<Snapshot> RaftNode::appendSnapshotChunk(const InstallSnapshot& body) {
  if (!incomingSnapshot || incomingSnapshot->identity != body.snapshot)
    incomingSnapshot = IncomingSnapshot{body.snapshot, {}};
  std::string& received = incomingSnapshot->bytes;
  if (body.offset == received.size())
    received += body.data;
  if (received.size() < body.snapshot.totalBytes)
    return std::nullopt;
  const std::string whole = std::exchange(received, {});
  if (whole.size() != body.snapshot.totalBytes || checksum(whole) != body.snapshot.checksum)
    return std::nullopt;  // spoiled on the way: it begins anew
  auto snapshot = unpack<Snapshot>(whole);
  if (!snapshot || snapshot.value().lastIncludedIndex != body.snapshot.lastIncludedIndex ||
      snapshot.value().lastIncludedTerm != body.snapshot.lastIncludedTerm)
    return std::nullopt;
  incomingSnapshot.reset();
  return std::move(snapshot.value());
}

void RaftNode::installSnapshot(Snapshot snapshot) {
  if (termAt(snapshot.lastIncludedIndex) == snapshot.lastIncludedTerm) {
    // Entries after it that lie here may have been claimed, and counted: they stay.
    const auto folded = snapshot.lastIncludedIndex.value - base.lastIncludedIndex.value;
    log.erase(log.begin(), log.begin() + std::ptrdiff_t(folded));
    verifiedIndex = std::max(verifiedIndex, snapshot.lastIncludedIndex);
  } else {
    // What the disk holds beyond what this leader has shown may be another log; it stands for
    // nothing of the snapshot.
    syncedIndex = std::min(syncedIndex, verifiedIndex);
    if (writeInFlight)
      writeInFlight->lastIndex = std::min(writeInFlight->lastIndex, verifiedIndex);
    log.clear();
    verifiedIndex = snapshot.lastIncludedIndex;
  }
  latestSnapshot = std::move(snapshot);
  base = Snapshot{latestSnapshot.lastIncludedIndex,
                  latestSnapshot.lastIncludedTerm,
                  latestSnapshot.membership,
                  {}};
  committedIndex = latestSnapshot.lastIncludedIndex;
  snapshotWritePending = true;
  snapshotInstalled = true;
  reloadMembership();
  if (isVoter() && currentRole == Role::learner)
    currentRole = Role::follower;
}

void RaftNode::handle(const PeerMessage& message, const InstallSnapshot& body, MonotonicTime now) {
  if (!acceptChunk(message, body.term, body.round, now))
    return;
  if (body.snapshot.lastIncludedIndex > committedIndex) {
    auto whole = appendSnapshotChunk(body);
    if (!whole)
      return send(message.from,
                  InstallSnapshotReply{currentTerm, body.snapshot, incomingSnapshot->bytes.size(),
                                       body.round, wallTimeAtTick + (currentTime - wallAt)});
    installSnapshot(std::move(*whole));
  }
  sendAppendReply(message.from, true, std::min(syncedIndex, verifiedIndex), body.round);
}

void RaftNode::handle(const PeerMessage& message, const InstallSnapshotReply& body,
                      MonotonicTime now) {
  PeerProgress* peer = acceptChunkReply(message, body.term, body.round, body.wallTime, now);
  if (!peer || !peer->snapshotTransfer || peer->snapshotTransfer->identity != body.snapshot)
    return;
  peer->snapshotTransfer->chunks.onReply(body.nextOffset, body.round);
  if (const auto* to = findMember(message.from))
    sendAppend(*to, *peer, false);
}

}  // namespace aniseline
