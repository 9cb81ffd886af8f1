// Tests of the in-memory log: its base, its memberships, and the entries that a snapshot replaces.
// docs/design.md 3.2, 3.4.
#include "raft/raft_log.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

namespace {

LogEntry entryOf(std::uint64_t term, const std::string& payload) {
  return LogEntry{Term{term}, false, payload};
}

Membership membershipOf(const std::string& id) {
  return {{ControllerId{id}, Address{id + ":1"}, ZoneName{"zone"}, true}};
}

LogEntry membershipEntry(std::uint64_t term, const std::string& id) {
  return LogEntry{Term{term}, true, pack(membershipOf(id))};
}

// Indexes 1 to 5: the membership of "a", two entries, the membership of "b", one entry.
RaftLog fiveEntries() {
  RaftLog log;
  log.append(membershipEntry(1, "a"));
  log.append(entryOf(1, "two"));
  log.append(entryOf(1, "three"));
  log.append(membershipEntry(2, "b"));
  log.append(entryOf(2, "five"));
  return log;
}

std::string memberAt(const RaftLog& log, std::uint64_t index) {
  return log.membershipAt(LogIndex{index}).membership.at(0).id.value;
}

}  // namespace

TEST_GROUP(RaftLogTests){};

TEST(RaftLogTests, anEmptyLogEndsAtItsBase) {
  const RaftLog log;
  LONGS_EQUAL(0, log.baseIndex().value);
  LONGS_EQUAL(0, log.lastIndex().value);
  CHECK(log.contains({Term{}, LogIndex{}}));
  CHECK(log.membershipAt(LogIndex{}).membership.empty());
}

TEST(RaftLogTests, anIndexOutsideTheLogHasNoTermAndIsNotContained) {
  RaftLog log = fiveEntries();
  LONGS_EQUAL(0, log.termAt(LogIndex{6}).value);
  CHECK(!log.contains({Term{}, LogIndex{6}}));
  log.discardThrough(LogIndex{3});
  LONGS_EQUAL(0, log.termAt(LogIndex{2}).value);
  CHECK(!log.contains({Term{}, LogIndex{2}}));
  CHECK(log.contains({Term{1}, LogIndex{3}}));
  CHECK(log.contains({Term{2}, LogIndex{5}}));
}

TEST(RaftLogTests, theMembershipIsThatOfTheLatestEntryBeforeAnIndex) {
  const RaftLog log = fiveEntries();
  STRCMP_EQUAL("a", memberAt(log, 1).c_str());
  STRCMP_EQUAL("a", memberAt(log, 3).c_str());
  STRCMP_EQUAL("b", memberAt(log, 4).c_str());
  STRCMP_EQUAL("b", memberAt(log, 5).c_str());
  LONGS_EQUAL(4, log.membershipAt(LogIndex{5}).index.value);
}

TEST(RaftLogTests, truncatedMembershipIsNoLongerInForce) {
  RaftLog log = fiveEntries();
  log.truncateFrom(LogIndex{4});
  LONGS_EQUAL(3, log.lastIndex().value);
  STRCMP_EQUAL("a", memberAt(log, 3).c_str());
}

TEST(RaftLogTests, discardingKeepsTermAndMembershipInTheBase) {
  RaftLog log = fiveEntries();
  log.discardThrough(LogIndex{2});
  LONGS_EQUAL(2, log.baseIndex().value);
  LONGS_EQUAL(5, log.lastIndex().value);
  LONGS_EQUAL(1, log.termAt(LogIndex{2}).value);
  STRCMP_EQUAL("three", log.entry(LogIndex{3}).payload.c_str());
  STRCMP_EQUAL("a", memberAt(log, 2).c_str());
  STRCMP_EQUAL("b", memberAt(log, 5).c_str());
}

TEST(RaftLogTests, snapshotKeepsLaterEntriesOfAMatchingLog) {
  RaftLog log = fiveEntries();
  log.resetTo(Snapshot{LogIndex{3}, Term{1}, membershipOf("a"), "state"});
  LONGS_EQUAL(3, log.baseIndex().value);
  LONGS_EQUAL(5, log.lastIndex().value);
  STRCMP_EQUAL("five", log.entry(LogIndex{5}).payload.c_str());
}

TEST(RaftLogTests, snapshotOfADivergedLogReplacesAllEntries) {
  RaftLog log = fiveEntries();
  log.resetTo(Snapshot{LogIndex{3}, Term{2}, membershipOf("c"), "state"});
  LONGS_EQUAL(3, log.baseIndex().value);
  LONGS_EQUAL(3, log.lastIndex().value);
  LONGS_EQUAL(2, log.termAt(LogIndex{3}).value);
  STRCMP_EQUAL("c", memberAt(log, 3).c_str());
}

TEST(RaftLogTests, restoredRecordsReplaceTheLogFromTheirFirstIndex) {
  RaftLog log;
  WriteAheadRecord snapshotRecord;
  snapshotRecord.holdsSnapshot = true;
  snapshotRecord.snapshot = Snapshot{LogIndex{3}, Term{1}, membershipOf("a"), "state"};
  snapshotRecord.entries = {entryOf(1, "four"), entryOf(1, "five")};
  log.restore(snapshotRecord);
  WriteAheadRecord termRecord;
  termRecord.firstIndex = LogIndex{6};
  log.restore(termRecord);
  LONGS_EQUAL(5, log.lastIndex().value);
  WriteAheadRecord entriesRecord;
  entriesRecord.firstIndex = LogIndex{5};
  entriesRecord.entries = {entryOf(2, "other"), entryOf(2, "six")};
  log.restore(entriesRecord);
  LONGS_EQUAL(3, log.baseIndex().value);
  LONGS_EQUAL(6, log.lastIndex().value);
  STRCMP_EQUAL("four", log.entry(LogIndex{4}).payload.c_str());
  STRCMP_EQUAL("other", log.entry(LogIndex{5}).payload.c_str());
}

TEST(RaftLogTests, tailIsTheLongestWithinItsByteLimit) {
  RaftLog log;
  for (int count = 0; count < 4; ++count)
    log.append(entryOf(1, std::string(1000, 'x')));
  const std::size_t entryBytes = bytesOf(log.entry(LogIndex{1}));
  LONGS_EQUAL(0, log.baseIndexForTailOf(4 * entryBytes).value);
  LONGS_EQUAL(1, log.baseIndexForTailOf(4 * entryBytes - 1).value);
  LONGS_EQUAL(3, log.baseIndexForTailOf(entryBytes).value);
  LONGS_EQUAL(4, log.baseIndexForTailOf(entryBytes - 1).value);
}
