// Tests of snapshot transfers to lagging followers: in chunks, flow-controlled and resumable.
// docs/design.md 3.4.
#include "node_links.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

namespace {
constexpr std::size_t configBytes = 318 * 1000;      // a configuration of 830 queues
constexpr std::size_t stateBytes = 4 * 1024 * 1024;  // additional state of jobs and workers
constexpr std::int64_t bytesEachMillisecond = 250;   // 2 Mbit/s
constexpr std::int64_t changeEach = 12'000;          // about 7,100 changes a day
constexpr std::size_t burst = 300;
constexpr std::size_t mostLogBytes = 16 * 1024 * 1024 + 8 * 1024 * 1024 + 2 * configBytes;

// Retains few entries, so that the limit in bytes and the lagging followers decide what is
// retained.
RaftOptions fewEntriesKept() {
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
  NodeLinks cluster{3, fewEntriesKept()};
  ControllerId slow;
  std::int64_t heardAt = 0, longestGap = 0;

  // The slow follower is disconnected until it needs a snapshot to catch up.
  void setup() override {
    CHECK(cluster.runUntil([&] { return cluster.leader() != nullptr; }, 10'000));
    slow = ControllerId{cluster.leader() == &cluster.node("c") ? "b" : "c"};
    cluster.stateBytes = stateBytes;
    cluster.onWire = [this](const PeerMessage& message) {
      return message.to == slow || message.from == slow
                 ? std::int64_t(wireBytes(message)) / bytesEachMillisecond
                 : 0;
    };
    cluster.delivered = [this](const PeerMessage& message) {
      if (message.to != slow)
        return;
      if (heardAt)
        longestGap = std::max(longestGap, cluster.now - heardAt);
      heardAt = cluster.now;
    };
  }
  void leaveBehind() {
    cluster.cut(slow, true);
    for (std::size_t count = 0; count < 90; ++count) {
      change();
      cluster.run(50);
    }
    CHECK(cluster.leader()->logBaseIndex() > follower().lastIndex());
    cluster.cut(slow, false);
    heardAt = cluster.now;
    longestGap = 0;
  }
  void change() {
    if (auto* leader = cluster.leader())
      leader->propose(std::string(configBytes, 'c'), MonotonicTime{cluster.now});
  }
  RaftNode& follower() {
    return *cluster.nodes.at(slow);
  }
  bool level(std::uint64_t within = 0) {
    auto* leader = cluster.leader();
    return leader && follower().commitIndex().value + within >= leader->commitIndex().value;
  }
  std::int64_t timeToLevel(std::int64_t most) {
    const std::int64_t begun = cluster.now;
    cluster.runUntil([&] { return level(); }, most);
    return cluster.now - begun;
  }
  // Disconnects the slow follower for one second in every eight. Transferring 4 MB takes sixteen
  // seconds.
  void cutNowAndThen() {
    cluster.cut(slow, cluster.now % 8000 >= 7000);
  }
};

// The log tail retained behind the snapshot is about 16 MB, which takes 67 s on this link.
TEST(SnapshotTransferTests, aSnapshotGoesBesideHeartbeats) {
  leaveBehind();
  const LogIndex wanted = cluster.leader()->snapshot().lastIncludedIndex;
  cluster.runUntil([&] { return follower().snapshot().lastIncludedIndex >= wanted; }, 60'000);
  CHECK(follower().snapshot().lastIncludedIndex >= wanted);
  CHECK_COMPARE(longestGap, <, cluster.options.electionTimeoutMin.milliseconds);
}

TEST(SnapshotTransferTests, aTransferResumesAfterCuts) {
  leaveBehind();
  const LogIndex wanted = cluster.leader()->snapshot().lastIncludedIndex;
  const std::int64_t begun = cluster.now;
  while (follower().snapshot().lastIncludedIndex < wanted && cluster.now - begun < 60'000) {
    cutNowAndThen();
    cluster.run(10);
  }
  CHECK(follower().snapshot().lastIncludedIndex >= wanted);
  CHECK_COMPARE(cluster.now - begun, <, 30'000);
}

// At the required rate of changes, with a burst of hundreds and repeated disconnections, a lagging
// follower catches up and stays caught up, and the leader's log stays within its limit.
TEST(SnapshotTransferTests, aFollowerConvergesUnderSteadyChangesAndBursts) {
  leaveBehind();
  const Term term = cluster.leader()->term();
  auto live = [&](std::int64_t span, std::int64_t each) {
    for (const std::int64_t end = cluster.now + span; cluster.now < end; cluster.run(10)) {
      cutNowAndThen();
      if (cluster.now % each == 0)
        change();
    }
  };
  live(180'000, changeEach);
  CHECK_TEXT(level(1), "not level under steady changes");
  live(std::int64_t(burst) * 500, 500);
  live(180'000, changeEach);
  CHECK_TEXT(level(1), "not level after a burst");
  CHECK_COMPARE(cluster.mostRetained, <=, mostLogBytes);
  LONGS_EQUAL(term.value, cluster.leader()->term().value);
}

// Snapshots are taken faster than one can be sent. The transfer that was started is completed,
// since the log still holds the entries that follow that snapshot.
TEST(SnapshotTransferTests, aTransferIsEndedThoughNewerSnapshotsAreTaken) {
  leaveBehind();
  const LogIndex begun = cluster.leader()->snapshot().lastIncludedIndex;
  for (const std::int64_t end = cluster.now + 30'000; cluster.now < end; cluster.run(10))
    if (cluster.now % 500 == 0)
      change();
  CHECK(cluster.leader()->snapshot().lastIncludedIndex > begun);
  CHECK(follower().logBaseIndex() >= begun);
}

// All links are slow, and one change takes 1.3 s on them. No follower times out meanwhile, and the
// leader keeps its contact with a majority.
TEST(SnapshotTransferTests, largeEntriesGoBesideHeartbeatsOnSlowLinks) {
  cluster.onWire = [](const PeerMessage& message) {
    return std::int64_t(wireBytes(message)) / bytesEachMillisecond;
  };
  const Term term = cluster.leader()->term();
  std::size_t proposed = 0;
  for (const std::int64_t end = cluster.now + 120'000; cluster.now < end; cluster.run(10))
    if (cluster.now % changeEach == 0) {
      change();
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
TEST(SnapshotTransferTests, aRestartOfTheFollowerBeginsAnew) {
  leaveBehind();
  const LogIndex wanted = cluster.leader()->snapshot().lastIncludedIndex;
  cluster.run(8000);
  CHECK(follower().snapshot().lastIncludedIndex < wanted);
  cluster.kill(slow);
  cluster.run(500);
  cluster.boot(slow);
  CHECK(
      cluster.runUntil([&] { return follower().snapshot().lastIncludedIndex >= wanted; }, 40'000));
  CHECK_COMPARE(timeToLevel(120'000), <, 120'000);
}

TEST(SnapshotTransferTests, anotherLeaderBringsItUpToDate) {
  leaveBehind();
  cluster.run(8000);
  const auto fallen = cluster.leader()->self().id;
  cluster.kill(fallen);
  cluster.run(3000);
  cluster.boot(fallen);
  CHECK(cluster.runUntil([&] { return cluster.leader() != nullptr; }, 20'000));
  change();
  CHECK(cluster.runUntil([&] { return level(); }, 200'000));
}

// A corrupted chunk invalidates the whole snapshot. The checksum detects it, nothing is installed,
// and the transfer starts again.
TEST(SnapshotTransferTests, aDamagedSnapshotIsNeverInstalled) {
  leaveBehind();
  std::size_t damaged = 0;
  cluster.damage = [&](PeerMessage& message) {
    auto* install = boost::get<InstallSnapshot>(&message.body);
    if (!install || install->offset < stateBytes / 2 || install->data.empty() || damaged)
      return;
    ++damaged;
    install->data.back() = char(install->data.back() ^ 1);
  };
  const LogIndex wanted = cluster.leader()->snapshot().lastIncludedIndex;
  CHECK(
      cluster.runUntil([&] { return follower().snapshot().lastIncludedIndex >= wanted; }, 60'000));
  LONGS_EQUAL(1, damaged);
  CHECK(follower().snapshot().state == cluster.leader()->snapshot().state);
}

// Duplicated, delayed or reordered chunks only make the transfer take longer.
TEST(SnapshotTransferTests, doubledChunksAreTakenOnce) {
  leaveBehind();
  std::vector<PeerMessage> seen;
  cluster.delivered = [&](const PeerMessage& message) {
    if (message.to == slow && boost::get<InstallSnapshot>(&message.body))
      seen.push_back(message);
  };
  const LogIndex wanted = cluster.leader()->snapshot().lastIncludedIndex;
  cluster.runUntil(
      [&] {
        if (!seen.empty() && cluster.now % 200 == 0) {
          follower().receive(seen[seen.size() / 2], MonotonicTime{cluster.now});
          follower().receive(seen.back(), MonotonicTime{cluster.now});
        }
        return follower().snapshot().lastIncludedIndex >= wanted;
      },
      60'000);
  CHECK(follower().snapshot().lastIncludedIndex >= wanted);
  CHECK(follower().snapshot().state == cluster.leader()->snapshot().state);
}

TEST(SnapshotTransferTests, doubledChunksOfAnEntryAreTakenOnce) {
  std::size_t doubled = 0;
  cluster.delivered = [&](const PeerMessage& message) {
    if (!boost::get<AppendEntryChunk>(&message.body))
      return;
    ++doubled;
    cluster.nodes.at(message.to)->receive(message, MonotonicTime{cluster.now});
  };
  change();
  const LogIndex last = cluster.leader()->lastIndex();
  CHECK(cluster.runUntil([&] { return follower().commitIndex() == last; }, 10'000));
  CHECK(doubled > 0);
  for (const auto& [id, node] : cluster.nodes) {
    LONGS_EQUAL(last.value, node->lastIndex().value);
    CHECK(node->entry(last).payload == cluster.leader()->entry(last).payload);
  }
}
