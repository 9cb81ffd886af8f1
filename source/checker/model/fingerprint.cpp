#include "checker/model/fingerprint.hpp"

namespace aniseline {

namespace {

// An age beyond the cap is no different from the cap.
std::int64_t age(MonotonicTime then, MonotonicTime now, Duration cap) {
  return std::min((now - then).milliseconds, cap.milliseconds);
}

}  // namespace

std::string RaftNodeFingerprint::of(const RaftNode& node, MonotonicTime now) {
  OutputArchive archive;
  archive << node.selfMember << node.currentRole << node.currentTerm << node.votedFor
          << node.knownLeader;
  archive << node.currentMembership << node.membershipIndex << node.base << node.latestSnapshot
          << node.log;
  archive << node.committedIndex << node.votesGranted << node.preVoteElection;
  archive << age(node.leaderHeardAt, now, node.options.electionTimeoutMin);
  archive << node.joinAddress << std::uint64_t(node.maxLearners);
  archive << node.removed << node.snapshotInstalled << node.lastKnownAddresses;
  archive << node.lastAppendRound << node.lastAppender << node.lastAppendTerm << node.verifiedIndex;
  archive << node.replicatedWithoutSelf;
  addIncoming(archive, node);
  addDisk(archive, node);
  if (node.isLeader())
    addLeadership(archive, node, now);
  return std::move(archive.bytes);
}

void RaftNodeFingerprint::addLeadership(OutputArchive& archive, const RaftNode& node,
                                        MonotonicTime now) {
  const Duration contactCap{node.options.electionTimeoutMax.milliseconds + 1};
  const Duration pauseCap{2 * node.options.heartbeatInterval.milliseconds + 1};
  constexpr Duration catchUpCap{250};  // after which what counts as caught up moves on
  archive << node.caughtUpIndex << node.nextCaughtUpIndex;
  archive << age(node.caughtUpIndexUpdatedAt, now, catchUpCap);
  archive << node.firstIndexOfTerm << node.currentRound << node.transferringLeadership;
  archive << age(node.nextHeartbeatAt, now, Duration{0});
  archive << age(node.lastBroadcastAt, now, node.options.heartbeatInterval);
  archive << age(node.lastTickAt, now, pauseCap);
  archive << age(node.pauseGraceUntil, now, Duration{0});
  if (node.transferringLeadership)
    archive << age(node.transferDeadline, now, Duration{1});
  RoundNumber lowestAcked = node.currentRound;
  for (const auto& [id, peer] : node.peers) {
    archive << id << peer.nextIndex << peer.matchIndex << peer.resetRound << peer.matchRound
            << peer.ackedRound;
    archive << age(peer.lastHeard, now, node.options.electionTimeoutMin)
            << age(peer.ackedRoundSentAt, now, contactCap);
    archive << peer.hasLostState;
    addTransfers(archive, peer);
    lowestAcked = std::min(lowestAcked, peer.ackedRound);
  }
  for (const auto& [number, sent] : node.roundStartTimes)
    if (number > lowestAcked)
      archive << number << age(sent, now, contactCap);
}

void RaftNodeFingerprint::addTransfers(OutputArchive& archive, const RaftNode::PeerProgress& peer) {
  const auto add = [&](const RaftNode::ChunkProgress& chunks) {
    archive << chunks.acknowledgedOffset << chunks.sentOffset << chunks.lastChunkRound;
  };
  archive << peer.snapshotTransfer.has_value();
  if (peer.snapshotTransfer) {
    archive << peer.snapshotTransfer->identity;
    add(peer.snapshotTransfer->chunks);
  }
  archive << peer.entryTransfer.has_value();
  if (peer.entryTransfer) {
    archive << peer.entryTransfer->index;
    add(peer.entryTransfer->chunks);
  }
  for (const auto& batch : peer.unacknowledgedBatches)
    archive << batch.lastIndex << std::uint64_t(batch.bytes);
  archive << std::uint64_t(peer.unacknowledgedBytes);
  archive << std::uint64_t(peer.sendWindow.bytes) << peer.sendWindow.exhausted;
  archive << (peer.sendWindow.fastestRoundTrip ? peer.sendWindow.fastestRoundTrip->milliseconds
                                               : -1);
}

void RaftNodeFingerprint::addIncoming(OutputArchive& archive, const RaftNode& node) {
  archive << node.incomingSnapshot.has_value() << node.incomingEntry.has_value();
  if (node.incomingSnapshot)
    archive << node.incomingSnapshot->identity << node.incomingSnapshot->bytes;
  if (node.incomingEntry)
    archive << node.incomingEntry->index << node.incomingEntry->term << node.incomingEntry->bytes;
  archive << node.outgoingSnapshot.has_value();
  if (node.outgoingSnapshot)
    archive << node.outgoingSnapshot->identity;
}

void RaftNodeFingerprint::addDisk(OutputArchive& archive, const RaftNode& node) {
  archive << node.dirty << node.snapshotWritePending << node.syncedIndex << node.durableIndex
          << node.ownVotePending;
  if (node.dirty)
    archive << node.dirtyFromIndex;
  archive << node.writeInFlight.has_value();
  if (node.writeInFlight)
    archive << node.writeInFlight->lastIndex << node.writeInFlight->includesOwnVote;
  for (const auto& [needs, message] : node.messagesAwaitingSync)
    archive << std::int64_t(needs.value - node.nextVersion.value) << message;
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
