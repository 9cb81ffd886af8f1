// Tests when a record is due, what it contains, and which messages wait for its sync.
// docs/design.md 3.3.
#include "raft/write_ahead_queue.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

TEST_GROUP(WriteAheadQueueTests) {
  WriteAheadQueue queue;
  RaftLog log;
  Snapshot snapshot;
  ControllerId votedFor{"a"};
  ClusterId cluster{"first"};

  void append(std::size_t count) {
    for (std::size_t added = 0; added < count; ++added) {
      log.append(LogEntry{Term{1}, false, "payload"});
      queue.persistFrom(log.lastIndex());
    }
  }
  std::optional<WriteAheadRecord> take() {
    return queue.take({Term{1}, votedFor, snapshot, log, cluster});
  }
  // Returns the number of messages released.
  std::size_t sync(const WriteAheadRecord& record) {
    const auto result = queue.onSynced(record.version, log.lastIndex());
    CHECK(result.has_value());
    return result->released.size();
  }
};

TEST(WriteAheadQueueTests, nothingIsDueWithoutChanges) {
  CHECK(queue.isIdle());
  CHECK(!take());
}

TEST(WriteAheadQueueTests, changesDuringAWriteShareTheNextRecord) {
  append(2);
  const auto first = take();
  CHECK(first.has_value());
  LONGS_EQUAL(2, first->entries.size());
  append(3);
  CHECK(!take());
  sync(*first);
  LONGS_EQUAL(2, queue.syncedIndex().value);
  const auto second = take();
  CHECK(second.has_value());
  LONGS_EQUAL(3, second->firstIndex.value);
  LONGS_EQUAL(3, second->entries.size());
  LONGS_EQUAL(first->version.value + 1, second->version.value);
}

TEST(WriteAheadQueueTests, termChangeWritesNoEntries) {
  append(1);
  sync(*take());
  queue.persistFrom(log.lastIndex().next());
  const auto record = take();
  CHECK(record.has_value());
  CHECK(record->entries.empty());
  STRCMP_EQUAL("a", record->votedFor.value.c_str());
}

TEST(WriteAheadQueueTests, snapshotRecordContainsTheLogAfterItAndResetsTheCounters) {
  append(3);
  sync(*take());
  LONGS_EQUAL(1, queue.recordsSinceSnapshot());
  CHECK(queue.bytesSinceSnapshot() > 0);
  snapshot = Snapshot{LogIndex{1}, Term{1}, {}, "state"};
  queue.persistSnapshot();
  const auto record = take();
  CHECK(record.has_value());
  CHECK(record->holdsSnapshot);
  LONGS_EQUAL(2, record->firstIndex.value);
  LONGS_EQUAL(2, record->entries.size());
  LONGS_EQUAL(0, queue.recordsSinceSnapshot());
  LONGS_EQUAL(0, queue.bytesSinceSnapshot());
}

TEST(WriteAheadQueueTests, messageWaitsForTheRecordItDependsOn) {
  append(1);
  const auto first = take();
  append(1);
  queue.sendAfterSync(PeerMessage{});
  LONGS_EQUAL(0, sync(*first));
  LONGS_EQUAL(1, sync(*take()));
}

TEST(WriteAheadQueueTests, onlyTheInFlightWriteIsSynced) {
  append(1);
  const auto record = take();
  CHECK(!queue.onSynced(record->version.next(), log.lastIndex()));
  LONGS_EQUAL(0, queue.syncedIndex().value);
  sync(*record);
  CHECK(!queue.onSynced(record->version, log.lastIndex()));
  LONGS_EQUAL(1, queue.syncedIndex().value);
}

TEST(WriteAheadQueueTests, entriesTruncatedDuringTheWriteAreNotSynced) {
  append(5);
  const auto record = take();
  log.truncateFrom(LogIndex{3});
  queue.truncateFrom(LogIndex{3});
  sync(*record);
  LONGS_EQUAL(2, queue.syncedIndex().value);
  LONGS_EQUAL(2, queue.durableIndex().value);
}

TEST(WriteAheadQueueTests, replacedLogIsDurableUntilTheSnapshotIs) {
  append(5);
  sync(*take());
  queue.limitSynced(LogIndex{2});
  LONGS_EQUAL(2, queue.syncedIndex().value);
  LONGS_EQUAL(5, queue.durableIndex().value);
}

TEST(WriteAheadQueueTests, ownVoteIsSyncedOnlyByARecordOfItsTerm) {
  queue.persistOwnVote(log.lastIndex().next());
  const auto earlier = take();
  queue.persistOwnVote(log.lastIndex().next());
  CHECK(!queue.onSynced(earlier->version, log.lastIndex())->ownVoteSynced);
  const auto later = take();
  CHECK(queue.onSynced(later->version, log.lastIndex())->ownVoteSynced);
}
