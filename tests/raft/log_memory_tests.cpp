// Tests that the memory used by a node's log is bounded in bytes, regardless of the size of the
// entries. docs/design.md 3.4.
#include "node_links.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

namespace {
constexpr std::size_t configBytes = 318 * 1000;  // a configuration of 830 queues
constexpr std::size_t changes = 600;
// The retained tail, the entries until the next snapshot, and one entry that exceeds each of the
// two limits.
constexpr std::size_t mostLogBytes = 16 * 1024 * 1024 + 8 * 1024 * 1024 + 2 * configBytes;
}  // namespace

TEST_GROUP(LogMemoryTests) {
  NodeLinks cluster{3};
  void setup() override {
    CHECK(cluster.runUntil([&] { return cluster.leader() != nullptr; }, 10'000));
  }
  void change(std::size_t bytes) {
    if (auto* leader = cluster.leader())
      leader->propose(std::string(bytes, 'c'), MonotonicTime{cluster.now});
  }
};

TEST(LogMemoryTests, theLogIsBoundedInBytesThroughHundredsOfLargeChanges) {
  for (std::size_t count = 0; count < changes; ++count) {
    change(configBytes);
    cluster.run(100);
  }
  for (const auto& [id, node] : cluster.nodes)
    LONGS_EQUAL(cluster.leader()->lastIndex().value, node->lastIndex().value);
  CHECK_COMPARE(cluster.mostRetained, <=, mostLogBytes);
}

// A disconnected follower makes the leader retain entries, but within the same limit, and the
// follower catches up after it is connected again.
TEST(LogMemoryTests, aFollowerThatIsAwayDoesNotLiftTheBound) {
  const ControllerId away{cluster.leader() == &cluster.node("a") ? "b" : "a"};
  cluster.cut(away, true);
  for (std::size_t count = 0; count < changes; ++count) {
    change(configBytes);
    cluster.run(100);
  }
  CHECK_COMPARE(cluster.mostRetained, <=, mostLogBytes);
  cluster.cut(away, false);
  CHECK(cluster.runUntil(
      [&] {
        return cluster.leader() &&
               cluster.nodes.at(away)->commitIndex() == cluster.leader()->commitIndex();
      },
      10'000));
}

// Small entries behind a snapshot are retained for a lagging follower, up to the limit in bytes.
TEST(LogMemoryTests, smallEntriesAreKeptForAFollowerThatIsLate) {
  const ControllerId away{cluster.leader() == &cluster.node("a") ? "b" : "a"};
  const LogIndex heardUpTo = cluster.nodes.at(away)->lastIndex();
  cluster.cut(away, true);
  cluster.snapshotBytes = 100'000;
  for (std::size_t count = 0; count < 5000; ++count) {
    change(100);
    if (count % 10 == 0)
      cluster.run(10);
  }
  cluster.run(100);
  CHECK(cluster.leader()->snapshot().lastIncludedIndex > heardUpTo);
  CHECK(cluster.leader()->logBaseIndex() <= heardUpTo);
}

// Only a limited number of bytes is sent to a follower that does not reply.
TEST(LogMemoryTests, whatIsUnacknowledgedIsBoundedInBytes) {
  RaftNode& leader = *cluster.leader();
  leader.takeMessages();
  std::map<ControllerId, std::size_t> sent;
  for (std::size_t count = 0; count < 900; ++count) {
    cluster.now += 1;
    leader.propose(std::string(10'000, 'c'), MonotonicTime{cluster.now});
    leader.tick(MonotonicTime{cluster.now}, WallTime{cluster.now});
    for (const auto& message : leader.takeMessages())
      sent[message.to] += payloadBytes(message);
  }
  LONGS_EQUAL(2, sent.size());
  for (const auto& [id, bytes] : sent) {
    CHECK(bytes > 0);
    CHECK_COMPARE(bytes, <=, 1024 * 1024);
  }
}

// An entry that exceeds every limit is still replicated, in chunks, and no message is larger than
// the send window.
TEST(LogMemoryTests, anEntryLargerThanEveryWindowPasses) {
  std::size_t largest = 0;
  cluster.delivered = [&](const PeerMessage& message) {
    largest = std::max(largest, payloadBytes(message));
  };
  for (std::size_t count = 0; count < 3; ++count) {
    change(100);
    change(3'000'000);
    change(100);
  }
  cluster.run(3000);
  for (const auto& [id, node] : cluster.nodes)
    LONGS_EQUAL(cluster.leader()->lastIndex().value, node->commitIndex().value);
  CHECK_COMPARE(largest, <=, cluster.options.maxUnacknowledgedBytes);
}
