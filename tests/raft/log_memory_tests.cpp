// Tests that the memory used by a node's log is bounded in bytes, regardless of the size of the
// entries. docs/design.md 3.4.
#include "node_links.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

namespace {
constexpr std::size_t configBytes = 318 * 1000;  // a configuration of 830 queues
constexpr std::size_t entryCount = 600;
// The retained tail, the entries until the next snapshot, and one entry that exceeds each of the
// two limits.
constexpr std::size_t maxLogBytes = 16 * 1024 * 1024 + 8 * 1024 * 1024 + 2 * configBytes;
}  // namespace

TEST_GROUP(LogMemoryTests) {
  NodeLinks cluster{3};
  void setup() override {
    CHECK(cluster.runUntil([&] { return cluster.leader() != nullptr; }, 10'000));
  }
  void proposeEntry(std::size_t bytes) {
    if (auto* leader = cluster.leader())
      leader->propose(std::string(bytes, 'c'), MonotonicTime{cluster.now});
  }
};

TEST(LogMemoryTests, logStaysBoundedUnderManyLargeEntries) {
  for (std::size_t count = 0; count < entryCount; ++count) {
    proposeEntry(configBytes);
    cluster.run(100);
  }
  for (const auto& [id, node] : cluster.nodes)
    LONGS_EQUAL(cluster.leader()->lastIndex().value, node->lastIndex().value);
  CHECK_COMPARE(cluster.peakRetainedBytes, <=, maxLogBytes);
}

// A disconnected follower makes the leader retain entries, but within the same limit, and the
// follower catches up after it is connected again.
TEST(LogMemoryTests, disconnectedFollowerDoesNotRaiseTheLimit) {
  const ControllerId disconnectedId{cluster.leader() == &cluster.node("a") ? "b" : "a"};
  cluster.setDisconnected(disconnectedId, true);
  for (std::size_t count = 0; count < entryCount; ++count) {
    proposeEntry(configBytes);
    cluster.run(100);
  }
  CHECK_COMPARE(cluster.peakRetainedBytes, <=, maxLogBytes);
  cluster.setDisconnected(disconnectedId, false);
  CHECK(cluster.runUntil(
      [&] {
        return cluster.leader() &&
               cluster.nodes.at(disconnectedId)->commitIndex() == cluster.leader()->commitIndex();
      },
      10'000));
}

// Small entries behind a snapshot are retained for a lagging follower, up to the limit in bytes.
TEST(LogMemoryTests, smallEntriesAreRetainedForALaggingFollower) {
  const ControllerId disconnectedId{cluster.leader() == &cluster.node("a") ? "b" : "a"};
  const LogIndex lastReceived = cluster.nodes.at(disconnectedId)->lastIndex();
  cluster.setDisconnected(disconnectedId, true);
  cluster.snapshotBytes = 100'000;
  for (std::size_t count = 0; count < 5000; ++count) {
    proposeEntry(100);
    if (count % 10 == 0)
      cluster.run(10);
  }
  cluster.run(100);
  CHECK(cluster.leader()->snapshot().lastIncludedIndex > lastReceived);
  CHECK(cluster.leader()->logBaseIndex() <= lastReceived);
}

// Only a limited number of bytes is sent to a follower that does not reply.
TEST(LogMemoryTests, unacknowledgedBytesAreBounded) {
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
TEST(LogMemoryTests, entryLargerThanTheWindowIsReplicated) {
  std::size_t largest = 0;
  cluster.onDelivery = [&](const PeerMessage& message) {
    largest = std::max(largest, payloadBytes(message));
  };
  for (std::size_t count = 0; count < 3; ++count) {
    proposeEntry(100);
    proposeEntry(3'000'000);
    proposeEntry(100);
  }
  cluster.run(3000);
  for (const auto& [id, node] : cluster.nodes)
    LONGS_EQUAL(cluster.leader()->lastIndex().value, node->commitIndex().value);
  CHECK_COMPARE(largest, <=, cluster.options.maxUnacknowledgedBytes);
}
