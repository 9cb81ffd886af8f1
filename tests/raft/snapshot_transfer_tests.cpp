// Snapshots to followers that are far behind: in chunks, paced, resumed. docs/design.md 3.4.
#include "node_links.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

namespace {
constexpr std::size_t configBytes = 318 * 1000;      // a configuration of 830 queues
constexpr std::size_t stateBytes = 4 * 1024 * 1024;  // of jobs and workers beside it
constexpr std::int64_t bytesEachMillisecond = 250;   // 2 Mbit/s
constexpr std::int64_t changeEach = 12'000;          // 7,100 changes a day
constexpr std::size_t burst = 300;
constexpr std::size_t mostLogBytes = 16 * 1024 * 1024 + 8 * 1024 * 1024 + 2 * configBytes;

// So that the bytes, and who is being caught up, decide what is kept.
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

  // The slow one, a follower, is away until a snapshot is needed to bring it up to date.
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
  // Away for a second each eight; a whole 4 MB takes sixteen.
  void cutNowAndThen() {
    cluster.cut(slow, cluster.now % 8000 >= 7000);
  }
};

// The tail of the log behind the snapshot is some 16 MB, 67 s on this link.
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

// The letter's rate of changes, a burst of hundreds, cuts all along: whoever is behind becomes
// level, stays so, and the leader's log keeps its bound.
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

// Snapshots are taken faster than one is sent: the one that was begun is ended, since the log still
// holds what follows it.
TEST(SnapshotTransferTests, aTransferIsEndedThoughNewerSnapshotsAreTaken) {
  leaveBehind();
  const LogIndex begun = cluster.leader()->snapshot().lastIncludedIndex;
  for (const std::int64_t end = cluster.now + 30'000; cluster.now < end; cluster.run(10))
    if (cluster.now % 500 == 0)
      change();
  CHECK(cluster.leader()->snapshot().lastIncludedIndex > begun);
  CHECK(follower().logBaseIndex() >= begun);
}

// Every link is slow, a change takes 1.3 s on it: nobody takes the leader for lost meanwhile, and
// the leader goes on hearing a majority.
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

// What it has received lies in memory; a restart begins the transfer anew and ends it.
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

// A chunk that was changed on the way spoils the whole: it is found by the checksum, nothing of it
// is installed, and the transfer begins anew.
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

// Chunks that come twice, late or out of turn change nothing but the time it takes.
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
