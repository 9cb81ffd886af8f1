// Log compaction, and snapshots to followers that are behind the log: sent in chunks, paced, and
// resumed. docs/design.md 3.4.
#include "raft/node.hpp"

namespace aniseline {

Members RaftNode::membersAt(LogIndex index) const {
  Members members = base.members;
  for (LogIndex at = base.index.next(); at <= index; at = at.next()) {
    if (!entry(at).members)
      continue;
    if (auto found = unpack<Members>(entry(at).payload))
      members = found.value();
  }
  return members;
}

// The last entry that is dropped when all up to `folded` is in a snapshot. What members who are
// late still need stays, as long as the whole tail keeps within its bytes.
LogIndex RaftNode::keptFrom(LogIndex folded) const {
  const std::uint64_t newest = last().value;
  LogIndex cut{newest - std::min<std::uint64_t>(newest, options.keepEntries)};
  if (leads())
    for (const auto& [id, peer] : peers)
      cut = std::min(cut, peer.installing ? peer.installing->identity.index : peer.match);
  std::size_t bytes = 0;
  LogIndex within = last();
  while (within > base.index) {
    bytes += bytesOf(entry(within));
    if (bytes > options.keepBytes)
      break;
    within = LogIndex{within.value - 1};
  }
  return std::min(folded, std::max(cut, within));
}

void RaftNode::compact(LogIndex index, std::string state) {
  if (index > commit || index <= stored.index)
    return;
  stored = Snapshot{index, termAt(index), membersAt(index), std::move(state)};
  wantWhole = true;
  const LogIndex cut = keptFrom(index);
  if (cut <= base.index)
    return;
  Snapshot begin{cut, termAt(cut), membersAt(cut), {}};
  log.erase(log.begin(), log.begin() + std::ptrdiff_t(cut.value - base.index.value));
  base = std::move(begin);
}

// The same snapshot goes on, also to another follower, until the log no longer holds what follows
// it; then, or while nobody has any of it, the newest takes its place.
void RaftNode::openTransfer() {
  if (outgoingSnapshot) {
    const SnapshotIdentity& current = outgoingSnapshot->identity;
    const bool begun = std::any_of(peers.begin(), peers.end(), [&](const auto& entry) {
      const auto& progress = entry.second.installing;
      return progress && progress->identity == current && progress->chunks.acknowledged > 0;
    });
    if (current.index == stored.index || (begun && current.index >= base.index))
      return;
  }
  std::string bytes = pack(stored);
  const SnapshotIdentity identity{stored.index, stored.term, bytes.size(), checksum(bytes)};
  outgoingSnapshot = OutgoingSnapshot{identity, std::move(bytes)};
}

// What no one is sent any more is not held any longer.
void RaftNode::dropIdleTransfers() {
  const bool wanted = std::any_of(peers.begin(), peers.end(), [](const auto& entry) {
    return entry.second.installing.has_value();
  });
  if (!leads() || !wanted)
    outgoingSnapshot.reset();
  if (!leads())
    return;
  incomingSnapshot.reset();
  incomingEntry.reset();
}

void RaftNode::sendSnapshot(const Member& to, Peer& peer, bool force) {
  openTransfer();
  const SnapshotIdentity& identity = outgoingSnapshot->identity;
  if (!peer.installing || peer.installing->identity != identity) {
    peer.installing = SnapshotProgress{identity, {}};
    peer.largeEntry.reset();
    forgetUnacknowledged(peer);
  }
  const InstallSnapshot chunk{currentTerm, identity, 0, {}, round};
  sendChunks(to, peer, peer.installing->chunks, outgoingSnapshot->bytes, chunk, force);
}

// Adds what continues the snapshot that is being received; gives it once it is whole.
std::optional<Snapshot> RaftNode::takeChunk(const InstallSnapshot& body) {
  if (!incomingSnapshot || incomingSnapshot->identity != body.snapshot)
    incomingSnapshot = IncomingSnapshot{body.snapshot, {}};
  std::string& received = incomingSnapshot->bytes;
  if (body.offset == received.size())
    received += body.data;
  if (received.size() < body.snapshot.size)
    return std::nullopt;
  const std::string whole = std::exchange(received, {});
  if (whole.size() != body.snapshot.size || checksum(whole) != body.snapshot.sum)
    return std::nullopt;  // spoiled on the way: it begins anew
  auto snapshot = unpack<Snapshot>(whole);
  if (!snapshot || snapshot.value().index != body.snapshot.index ||
      snapshot.value().term != body.snapshot.term)
    return std::nullopt;
  incomingSnapshot.reset();
  return std::move(snapshot.value());
}

void RaftNode::install(Snapshot snapshot) {
  if (termAt(snapshot.index) == snapshot.term) {
    // Entries after it that lie here may have been claimed, and counted: they stay.
    const auto folded = snapshot.index.value - base.index.value;
    log.erase(log.begin(), log.begin() + std::ptrdiff_t(folded));
    shownBy = std::max(shownBy, snapshot.index);
  } else {
    // What the disk holds beyond what this leader has shown may be another log; it stands for
    // nothing of the snapshot.
    syncedIndex = std::min(syncedIndex, shownBy);
    if (inFlight)
      inFlight->covers = std::min(inFlight->covers, shownBy);
    log.clear();
    shownBy = snapshot.index;
  }
  stored = std::move(snapshot);
  base = Snapshot{stored.index, stored.term, stored.members, {}};
  commit = stored.index;
  wantWhole = true;
  installed = true;
  findMembers();
  if (selfVotes() && currentRole == Role::learner)
    currentRole = Role::follower;
}

void RaftNode::on(const PeerMessage& message, const InstallSnapshot& body, MonotonicTime now) {
  if (!hearChunk(message, body.term, body.round, now))
    return;
  if (body.snapshot.index > commit) {
    auto whole = takeChunk(body);
    if (!whole)
      return send(message.from,
                  InstallSnapshotReply{currentTerm, body.snapshot, incomingSnapshot->bytes.size(),
                                       body.round, wallNow + (clockNow - wallAt)});
    install(std::move(*whole));
  }
  replyAppend(message.from, true, std::min(syncedIndex, shownBy), body.round);
}

void RaftNode::on(const PeerMessage& message, const InstallSnapshotReply& body, MonotonicTime now) {
  Peer* peer = noteChunkReply(message, body.term, body.round, body.wall, now);
  if (!peer || !peer->installing || peer->installing->identity != body.snapshot)
    return;
  peer->installing->chunks.answered(body.next, body.round);
  if (const auto* to = member(message.from))
    sendAppend(*to, *peer, false);
}

}  // namespace aniseline
