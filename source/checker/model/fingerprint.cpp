// Archives the fields of a RaftNode, its peers and its write queue.
#include "checker/model/fingerprint.hpp"

namespace aniseline {

namespace {

// Returns the age in ms, capped because the node treats all ages above the cap alike.
std::int64_t age(MonotonicTime then, MonotonicTime now, Duration cap) {
  return std::min((now - then).milliseconds, cap.milliseconds);
}

}  // namespace

std::string RaftNodeFingerprint::of(const RaftNode& node, MonotonicTime now) {
  OutputArchive archive;
  archive << node.selfMember << node.currentRole << node.currentTerm << node.votedFor
          << node.knownLeader << node.currentCluster;
  archive << node.currentMembership << node.membershipIndex << node.latestSnapshot;
  archive << node.log.base.index << node.log.base.term << node.log.base.membership
          << node.log.entries;
  archive << node.committedIndex << node.votesGranted << node.preVoteElection;
  archive << age(node.lastLeaderContactAt, now, node.options.electionTimeoutMin);
  archive << node.joinAddress << std::uint64_t(node.maxLearners);
  archive << node.removed << node.diskWritable << node.snapshotInstalled << node.lastKnownAddresses;
  archive << node.lastAppendRound << node.lastAppendLeader << node.lastAppendTerm
          << node.verifiedIndex;
  archive << node.replicatedIndexWithoutSelf;
  addIncoming(archive, node);
  addDisk(archive, node.writes);
  if (node.isLeader())
    addLeadership(archive, node, now);
  return std::move(archive.bytes);
}

void RaftNodeFingerprint::addLeadership(OutputArchive& archive, const RaftNode& node,
                                        MonotonicTime now) {
  const Duration contactCap{node.options.electionTimeoutMax.milliseconds + 1};
  const Duration pauseCap{
      RaftLimits::pauseThresholdHeartbeats * node.options.heartbeatInterval.milliseconds + 1};
  archive << node.caughtUpIndex << node.nextCaughtUpIndex;
  archive << age(node.caughtUpIndexUpdatedAt, now, RaftLimits::caughtUpInterval);
  archive << node.firstIndexOfTerm << node.rounds.current() << node.transferringLeadership;
  archive << age(node.nextHeartbeatAt, now, Duration{0});
  archive << age(node.rounds.lastStartTime(), now, node.options.heartbeatInterval);
  archive << age(node.lastTickAt, now, pauseCap);
  archive << age(node.pauseGraceUntil, now, Duration{0});
  if (node.transferringLeadership)
    archive << age(node.transferDeadline, now, Duration{1});
  RoundNumber lowestAcked = node.rounds.current();
  for (const auto& [id, peer] : node.peers) {
    archive << id << peer.nextEntryIndex << peer.matchedIndex << peer.resetRound << peer.matchRound
            << peer.acknowledgedRound;
    archive << age(peer.lastReplyAt, now, node.options.electionTimeoutMin)
            << age(peer.acknowledgedRoundSentAt, now, contactCap);
    archive << peer.stateLost;
    addTransfers(archive, peer);
    lowestAcked = std::min(lowestAcked, peer.acknowledgedRound);
  }
  for (const auto& start : node.rounds.starts) {
    if (start.round > lowestAcked)
      archive << start.round << age(start.at, now, contactCap);
  }
}

void RaftNodeFingerprint::addTransfers(OutputArchive& archive, const PeerProgress& peer) {
  const auto add = [&](const ChunkProgress& chunks) {
    archive << chunks.acknowledgedOffset << chunks.sentOffset << chunks.lastChunkRound;
  };
  archive << peer.activeSnapshot.has_value();
  if (peer.activeSnapshot) {
    archive << peer.activeSnapshot->identity;
    add(peer.activeSnapshot->chunks);
  }
  archive << peer.activeEntry.has_value();
  if (peer.activeEntry) {
    archive << peer.activeEntry->index;
    add(peer.activeEntry->chunks);
  }
  for (const auto& batch : peer.unacknowledgedBatches)
    archive << batch.lastIndex << std::uint64_t(batch.bytes);
  archive << std::uint64_t(peer.unacknowledgedBytes);
  const SendWindow& window = peer.window;
  archive << std::uint64_t(window.capacity) << window.exhausted;
  archive << (window.fastestRoundTrip ? window.fastestRoundTrip->milliseconds : -1);
}

void RaftNodeFingerprint::addIncoming(OutputArchive& archive, const RaftNode& node) {
  archive << node.incomingSnapshot.has_value() << node.incomingEntry.has_value();
  if (node.incomingSnapshot)
    archive << node.incomingSnapshot->identity << node.incomingSnapshot->received.bytes;
  if (node.incomingEntry)
    archive << node.incomingEntry->index << node.incomingEntry->term
            << node.incomingEntry->received.bytes;
  archive << node.outgoingSnapshot.has_value();
  if (node.outgoingSnapshot)
    archive << node.outgoingSnapshot->identity;
}

void RaftNodeFingerprint::addDisk(OutputArchive& archive, const WriteAheadQueue& writes) {
  archive << writes.dirty << writes.snapshotPending << writes.synced << writes.durable
          << writes.ownVotePending;
  if (writes.dirty)
    archive << writes.dirtyFromIndex;
  archive << writes.inFlight.has_value();
  if (writes.inFlight)
    archive << writes.inFlight->lastIndex << writes.inFlight->includesOwnVote;
  for (const auto& held : writes.messagesAwaitingSync)
    archive << std::int64_t(held.neededVersion.value - writes.nextVersion.value) << held.message;
}

namespace model {

std::uint64_t combineHashes(std::uint64_t left, std::uint64_t right) {
  return Random(left ^ (right * 0x9e3779b97f4a7c15ull)).next();
}

std::uint64_t hashOf(std::string_view bytes) {
  std::uint64_t hash = bytes.size();
  while (!bytes.empty()) {
    std::uint64_t word = 0;
    const auto taken = std::min(bytes.size(), sizeof word);
    std::memcpy(&word, bytes.data(), taken);
    hash = combineHashes(hash, word);
    bytes.remove_prefix(taken);
  }
  return hash;
}

}  // namespace model
}  // namespace aniseline
