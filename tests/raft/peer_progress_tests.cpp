// Tests of a leader's state for one follower: match index, unacknowledged data, send window and
// chunked transfers. docs/design.md 3.2, 3.4, 3.5.
#include "raft/peer_progress.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

namespace {
constexpr MonotonicTime start{1000};
const SnapshotIdentity snapshotOfTen{LogIndex{10}, Term{1}, 500, 0};
}  // namespace

TEST_GROUP(PeerProgressTests) {
  RaftOptions options;
  PeerProgress peer{LogIndex{11}, start, options};
};

TEST(PeerProgressTests, sentEntriesAreUnacknowledgedUntilTheyMatch) {
  peer.recordSent(3, 300);
  peer.recordSent(2, 200);
  LONGS_EQUAL(16, peer.nextIndex().value);
  CHECK(!peer.fitsWindow(peer.sendWindow().bytes() - 499));
  peer.onMatch(LogIndex{13}, RoundNumber{1});
  CHECK(peer.fitsWindow(peer.sendWindow().bytes() - 200));
  CHECK(!peer.fitsWindow(peer.sendWindow().bytes() - 199));
  peer.onMatch(LogIndex{15}, RoundNumber{1});
  CHECK(peer.allAcknowledged());
  LONGS_EQUAL(15, peer.matchIndex().value);
}

TEST(PeerProgressTests, mismatchResetsNextIndexOncePerRound) {
  peer.recordSent(5, 500);
  CHECK(peer.onMismatch(LogIndex{4}, RoundNumber{3}, RoundNumber{4}, LogIndex{}));
  LONGS_EQUAL(5, peer.nextIndex().value);
  CHECK(peer.allAcknowledged());
  // A reply to a message sent before the reset contains nothing new.
  CHECK(!peer.onMismatch(LogIndex{2}, RoundNumber{4}, RoundNumber{5}, LogIndex{}));
  LONGS_EQUAL(5, peer.nextIndex().value);
  CHECK(peer.onMismatch(LogIndex{2}, RoundNumber{5}, RoundNumber{5}, LogIndex{}));
  LONGS_EQUAL(3, peer.nextIndex().value);
}

TEST(PeerProgressTests, mismatchNeverResetsBelowMatchIndex) {
  peer.onMatch(LogIndex{8}, RoundNumber{1});
  CHECK(peer.onMismatch(LogIndex{4}, RoundNumber{2}, RoundNumber{2}, LogIndex{}));
  LONGS_EQUAL(9, peer.nextIndex().value);
}

TEST(PeerProgressTests, mismatchBeforeTheLogBaseKeepsTheSnapshotTransfer) {
  peer.openSnapshotTransfer(snapshotOfTen);
  CHECK(!peer.onMismatch(LogIndex{4}, RoundNumber{3}, RoundNumber{3}, LogIndex{10}));
  CHECK(peer.snapshotTransfer().has_value());
  CHECK(peer.onMismatch(LogIndex{10}, RoundNumber{3}, RoundNumber{3}, LogIndex{10}));
  CHECK(!peer.snapshotTransfer().has_value());
}

TEST(PeerProgressTests, shorterLogProvesALostDiskOnlyInALaterRound) {
  peer.onMatch(LogIndex{8}, RoundNumber{5});
  CHECK(peer.checkLastIndex(LogIndex{8}, RoundNumber{6}));
  CHECK(!peer.checkLastIndex(LogIndex{7}, RoundNumber{5}));
  CHECK(!peer.hasLostState());
  CHECK(!peer.checkLastIndex(LogIndex{7}, RoundNumber{6}));
  CHECK(peer.hasLostState());
}

TEST(PeerProgressTests, differentSnapshotRestartsTheTransfer) {
  peer.openSnapshotTransfer(snapshotOfTen).onReply(100, RoundNumber{1});
  LONGS_EQUAL(100, peer.openSnapshotTransfer(snapshotOfTen).acknowledged());
  SnapshotIdentity other = snapshotOfTen;
  other.checksum = 1;
  CHECK(!peer.findSnapshotTransfer(other));
  LONGS_EQUAL(0, peer.openSnapshotTransfer(other).acknowledged());
}

TEST(PeerProgressTests, entryTransferCoversOnlyTheNextEntry) {
  peer.openEntryTransfer();
  CHECK(peer.isSendingEntryInChunks());
  CHECK(peer.findEntryTransfer(LogIndex{11}));
  peer.onMatch(LogIndex{11}, RoundNumber{1});
  CHECK(!peer.isSendingEntryInChunks());
  CHECK(!peer.findEntryTransfer(LogIndex{11}));
}

TEST(PeerProgressTests, onlyALaterRoundIsAcknowledged) {
  CHECK(peer.acknowledgeRound(RoundNumber{2}));
  CHECK(!peer.acknowledgeRound(RoundNumber{2}));
  CHECK(!peer.acknowledgeRound(RoundNumber{1}));
  LONGS_EQUAL(2, peer.ackedRound().value);
}

TEST_GROUP(SendWindowTests) {
  RaftOptions options;
  SendWindow window{options};
  const std::size_t initial = RaftLimits::initialWindowBytes;
  const Duration quick{10};
  const Duration slow{200};
};

TEST(SendWindowTests, windowGrowsOnlyIfExhausted) {
  window.onRoundTrip(quick, options);
  LONGS_EQUAL(initial, window.bytes());
  window.markExhausted();
  window.onRoundTrip(quick, options);
  LONGS_EQUAL(2 * initial, window.bytes());
  for (int count = 0; count < 10; ++count) {
    window.markExhausted();
    window.onRoundTrip(quick, options);
  }
  LONGS_EQUAL(options.maxUnacknowledgedBytes, window.bytes());
}

TEST(SendWindowTests, delayedRoundTripsShrinkTheWindowToOneChunk) {
  window.onRoundTrip(quick, options);
  window.markExhausted();
  window.onRoundTrip(slow, options);
  LONGS_EQUAL(initial / 2, window.bytes());
  for (int count = 0; count < 10; ++count)
    window.onRoundTrip(slow, options);
  LONGS_EQUAL(options.chunkBytes, window.bytes());
}

// A constant delay of the link does not shrink the window. Only the time beyond the fastest round
// trip counts.
TEST(SendWindowTests, constantDelayDoesNotShrinkTheWindow) {
  for (int count = 0; count < 5; ++count)
    window.onRoundTrip(slow, options);
  LONGS_EQUAL(initial, window.bytes());
}

TEST_GROUP(ChunkTransferTests) {
  const std::string bytes = std::string(250, 'x');
  ChunkProgress progress;
  std::size_t take(std::size_t window, std::uint64_t round) {
    return progress.takeChunks(bytes, window, 100, RoundNumber{round}).size();
  }
};

TEST(ChunkTransferTests, windowLimitsUnacknowledgedBytes) {
  LONGS_EQUAL(2, take(200, 1));
  LONGS_EQUAL(0, take(200, 1));
  progress.onReply(100, RoundNumber{1});
  LONGS_EQUAL(1, take(200, 1));
  CHECK(progress.allSent(bytes));
}

TEST(ChunkTransferTests, lostChunksAreSentAgainAfterALaterRound) {
  LONGS_EQUAL(3, take(1000, 1));
  progress.onReply(100, RoundNumber{1});
  CHECK(progress.allSent(bytes));  // the remaining chunks may still be in flight
  progress.onReply(100, RoundNumber{2});
  CHECK(!progress.allSent(bytes));
  const auto chunks = progress.takeChunks(bytes, 1000, 100, RoundNumber{3});
  LONGS_EQUAL(2, chunks.size());
  LONGS_EQUAL(100, chunks[0].offset);
  LONGS_EQUAL(50, chunks[1].data.size());
}

TEST(ChunkTransferTests, receiverAcceptsOnlyContiguousChunks) {
  ChunkBuffer buffer;
  buffer.append(0, "abc");
  buffer.append(0, "abc");
  buffer.append(5, "xyz");
  LONGS_EQUAL(3, buffer.nextOffset());
  buffer.append(3, "de");
  STRCMP_EQUAL("abcde", buffer.take().c_str());
  LONGS_EQUAL(0, buffer.nextOffset());
}
