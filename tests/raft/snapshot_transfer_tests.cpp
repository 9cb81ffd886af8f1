// Tests of snapshot transfers to lagging followers: in chunks, flow-controlled and resumable.
// docs/design.md 3.4.
#include "node_links.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

namespace {
constexpr std::size_t configBytes = 318 * 1000;      // a configuration of 830 queues
constexpr std::size_t stateBytes = 4 * 1024 * 1024;  // additional state of jobs and workers
constexpr std::int64_t bytesPerMillisecond = 250;    // 2 Mbit/s
constexpr std::int64_t changeInterval = 12'000;      // about 7,100 changes a day
constexpr std::size_t burstChanges = 300;
constexpr std::size_t maxLogBytes = 16 * 1024 * 1024 + 8 * 1024 * 1024 + 2 * configBytes;

// Retains few entries, so that the limit in bytes and the lagging followers decide what is
// retained.
RaftOptions smallRetentionOptions() {
  RaftOptions options;
  options.retainedEntries = 20;
  return options;
}

std::size_t wireBytes(const PeerMessage& message) {
  if (const auto* append = boost::get<AppendEntries>(&message.body)) {
    std::size_t bytes = 100;
    for (const auto& entry : append->entries)
      bytes += entry.payload.size() + 20;
    return bytes;
  }
  return 100 + pack(message.body).size();
}
}  // namespace

TEST_GROUP(SnapshotTransferTests) {
  NodeLinks cluster{3, smallRetentionOptions()};
  ControllerId slowFollowerId;
  std::int64_t lastDeliveryAt = 0, longestGap = 0;

  // Selects a follower and limits the bandwidth of its links.
  void setup() override {
    CHECK(cluster.runUntil([&] { return cluster.leader() != nullptr; }, 10'000));
    slowFollowerId = ControllerId{cluster.leader() == &cluster.node("c") ? "b" : "c"};
    cluster.stateBytes = stateBytes;
    cluster.transmissionTime = [this](const PeerMessage& message) {
      return message.to == slowFollowerId || message.from == slowFollowerId
                 ? std::int64_t(wireBytes(message)) / bytesPerMillisecond
                 : 0;
    };
    cluster.onDelivery = [this](const PeerMessage& message) {
      if (message.to != slowFollowerId)
        return;
      if (lastDeliveryAt)
        longestGap = std::max(longestGap, cluster.now - lastDeliveryAt);
      lastDeliveryAt = cluster.now;
    };
  }
  // Disconnects the slow follower until it needs a snapshot to catch up.
  void makeFollowerLag() {
    cluster.setDisconnected(slowFollowerId, true);
    for (std::size_t count = 0; count < 90; ++count) {
      proposeChange();
      cluster.run(50);
    }
    CHECK(cluster.leader()->logBaseIndex() > follower().lastIndex());
    cluster.setDisconnected(slowFollowerId, false);
    lastDeliveryAt = cluster.now;
    longestGap = 0;
  }
  void proposeChange() {
    if (auto* leader = cluster.leader())
      leader->propose(std::string(configBytes, 'c'), MonotonicTime{cluster.now});
  }
  RaftNode& follower() {
    return *cluster.nodes.at(slowFollowerId);
  }
  bool isCaughtUp(std::uint64_t maxLag = 0) {
    auto* leader = cluster.leader();
    return leader && follower().commitIndex().value + maxLag >= leader->commitIndex().value;
  }
  std::int64_t timeToCatchUp(std::int64_t timeout) {
    const std::int64_t startedAt = cluster.now;
    cluster.runUntil([&] { return isCaughtUp(); }, timeout);
    return cluster.now - startedAt;
  }
  // Disconnects the slow follower for one second in every eight. Transferring 4 MB takes sixteen
  // seconds.
  void disconnectPeriodically() {
    cluster.setDisconnected(slowFollowerId, cluster.now % 8000 >= 7000);
  }
};

// The log tail retained behind the snapshot is about 16 MB, which takes 67 s on this link.
TEST(SnapshotTransferTests, snapshotTransferDoesNotDelayHeartbeats) {
  makeFollowerLag();
  const LogIndex targetIndex = cluster.leader()->snapshot().lastIncludedIndex;
  cluster.runUntil([&] { return follower().snapshot().lastIncludedIndex >= targetIndex; }, 60'000);
  CHECK(follower().snapshot().lastIncludedIndex >= targetIndex);
  CHECK_COMPARE(longestGap, <, cluster.options.electionTimeoutMin.milliseconds);
}

TEST(SnapshotTransferTests, transferResumesAfterDisconnections) {
  makeFollowerLag();
  const LogIndex targetIndex = cluster.leader()->snapshot().lastIncludedIndex;
  const std::int64_t startedAt = cluster.now;
  while (follower().snapshot().lastIncludedIndex < targetIndex &&
         cluster.now - startedAt < 60'000) {
    disconnectPeriodically();
    cluster.run(10);
  }
  CHECK(follower().snapshot().lastIncludedIndex >= targetIndex);
  CHECK_COMPARE(cluster.now - startedAt, <, 30'000);
}

// At the required rate of changes, with a burst of hundreds and repeated disconnections, a lagging
// follower catches up and stays caught up, and the leader's log stays within its limit.
TEST(SnapshotTransferTests, followerCatchesUpUnderSteadyChangesAndBursts) {
  makeFollowerLag();
  const Term term = cluster.leader()->term();
  auto runWithChanges = [&](std::int64_t duration, std::int64_t interval) {
    for (const std::int64_t end = cluster.now + duration; cluster.now < end; cluster.run(10)) {
      disconnectPeriodically();
      if (cluster.now % interval == 0)
        proposeChange();
    }
  };
  runWithChanges(180'000, changeInterval);
  CHECK_TEXT(isCaughtUp(1), "the follower did not catch up under steady changes");
  runWithChanges(std::int64_t(burstChanges) * 500, 500);
  runWithChanges(180'000, changeInterval);
  CHECK_TEXT(isCaughtUp(1), "the follower did not catch up after a burst");
  CHECK_COMPARE(cluster.peakRetainedBytes, <=, maxLogBytes);
  LONGS_EQUAL(term.value, cluster.leader()->term().value);
}

// Snapshots are taken faster than one can be sent. The transfer that was started is completed,
// since the log still holds the entries that follow that snapshot.
TEST(SnapshotTransferTests, transferCompletesWhileNewerSnapshotsAreTaken) {
  makeFollowerLag();
  const LogIndex startIndex = cluster.leader()->snapshot().lastIncludedIndex;
  for (const std::int64_t end = cluster.now + 30'000; cluster.now < end; cluster.run(10))
    if (cluster.now % 500 == 0)
      proposeChange();
  CHECK(cluster.leader()->snapshot().lastIncludedIndex > startIndex);
  CHECK(follower().logBaseIndex() >= startIndex);
}

// All links are slow, and one change takes 1.3 s on them. No follower times out meanwhile, and the
// leader keeps its contact with a majority.
TEST(SnapshotTransferTests, largeEntriesDoNotDelayHeartbeatsOnSlowLinks) {
  cluster.transmissionTime = [](const PeerMessage& message) {
    return std::int64_t(wireBytes(message)) / bytesPerMillisecond;
  };
  const Term term = cluster.leader()->term();
  std::size_t proposed = 0;
  for (const std::int64_t end = cluster.now + 120'000; cluster.now < end; cluster.run(10))
    if (cluster.now % changeInterval == 0) {
      proposeChange();
      ++proposed;
    }
  cluster.run(5000);
  LONGS_EQUAL(term.value, cluster.leader()->term().value);
  LONGS_EQUAL(10, proposed);
  for (const auto& [id, node] : cluster.nodes)
    LONGS_EQUAL(cluster.leader()->lastIndex().value, node->commitIndex().value);
  CHECK_COMPARE(longestGap, <, cluster.options.electionTimeoutMin.milliseconds);
}

// Received chunks are only in memory. After a restart of the follower the transfer starts again and
// completes.
TEST(SnapshotTransferTests, followerRestartRestartsTheTransfer) {
  makeFollowerLag();
  const LogIndex targetIndex = cluster.leader()->snapshot().lastIncludedIndex;
  cluster.run(8000);
  CHECK(follower().snapshot().lastIncludedIndex < targetIndex);
  cluster.stopNode(slowFollowerId);
  cluster.run(500);
  cluster.startNode(slowFollowerId);
  CHECK(cluster.runUntil([&] { return follower().snapshot().lastIncludedIndex >= targetIndex; },
                         40'000));
  CHECK_COMPARE(timeToCatchUp(120'000), <, 120'000);
}

TEST(SnapshotTransferTests, newLeaderBringsTheFollowerUpToDate) {
  makeFollowerLag();
  cluster.run(8000);
  const auto oldLeaderId = cluster.leader()->self().id;
  cluster.stopNode(oldLeaderId);
  cluster.run(3000);
  cluster.startNode(oldLeaderId);
  CHECK(cluster.runUntil([&] { return cluster.leader() != nullptr; }, 20'000));
  proposeChange();
  CHECK(cluster.runUntil([&] { return isCaughtUp(); }, 200'000));
}

// A corrupted chunk invalidates the whole snapshot. The checksum detects it, nothing is installed,
// and the transfer starts again.
TEST(SnapshotTransferTests, corruptedSnapshotIsNeverInstalled) {
  makeFollowerLag();
  std::size_t corruptedChunks = 0;
  cluster.corrupt = [&](PeerMessage& message) {
    auto* install = boost::get<InstallSnapshot>(&message.body);
    if (!install || install->offset < stateBytes / 2 || install->data.empty() || corruptedChunks)
      return;
    ++corruptedChunks;
    install->data.back() = char(install->data.back() ^ 1);
  };
  const LogIndex targetIndex = cluster.leader()->snapshot().lastIncludedIndex;
  CHECK(cluster.runUntil([&] { return follower().snapshot().lastIncludedIndex >= targetIndex; },
                         60'000));
  LONGS_EQUAL(1, corruptedChunks);
  CHECK(follower().snapshot().state == cluster.leader()->snapshot().state);
}

// Duplicated, delayed or reordered chunks only make the transfer take longer.
TEST(SnapshotTransferTests, duplicateSnapshotChunksAreIgnored) {
  makeFollowerLag();
  std::vector<PeerMessage> receivedChunks;
  cluster.onDelivery = [&](const PeerMessage& message) {
    if (message.to == slowFollowerId && boost::get<InstallSnapshot>(&message.body))
      receivedChunks.push_back(message);
  };
  const LogIndex targetIndex = cluster.leader()->snapshot().lastIncludedIndex;
  cluster.runUntil(
      [&] {
        if (!receivedChunks.empty() && cluster.now % 200 == 0) {
          follower().receive(receivedChunks[receivedChunks.size() / 2], MonotonicTime{cluster.now});
          follower().receive(receivedChunks.back(), MonotonicTime{cluster.now});
        }
        return follower().snapshot().lastIncludedIndex >= targetIndex;
      },
      60'000);
  CHECK(follower().snapshot().lastIncludedIndex >= targetIndex);
  CHECK(follower().snapshot().state == cluster.leader()->snapshot().state);
}

TEST(SnapshotTransferTests, duplicateEntryChunksAreIgnored) {
  std::size_t duplicateCount = 0;
  cluster.onDelivery = [&](const PeerMessage& message) {
    if (!boost::get<AppendEntryChunk>(&message.body))
      return;
    ++duplicateCount;
    cluster.nodes.at(message.to)->receive(message, MonotonicTime{cluster.now});
  };
  proposeChange();
  const LogIndex last = cluster.leader()->lastIndex();
  CHECK(cluster.runUntil([&] { return follower().commitIndex() == last; }, 10'000));
  CHECK(duplicateCount > 0);
  for (const auto& [id, node] : cluster.nodes) {
    LONGS_EQUAL(last.value, node->lastIndex().value);
    CHECK(node->entry(last).payload == cluster.leader()->entry(last).payload);
  }
}
