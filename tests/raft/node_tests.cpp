// Tests of a single Raft node: acknowledgements, elections and snapshots. docs/design.md 3.
#include "raft/node.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

namespace {
const Membership three{{ControllerId{"a"}, Address{"a:1"}, ZoneName{"x"}, true},
                       {ControllerId{"b"}, Address{"b:1"}, ZoneName{"y"}, true},
                       {ControllerId{"c"}, Address{"c:1"}, ZoneName{"z"}, true}};
// Returns the disk of a follower with the membership and entries of term 1 that were never on a
// majority.
WriteAheadRecord heldBy(std::size_t entries) {
  WriteAheadRecord record;
  record.version = DiskVersion{1};
  record.holdsSnapshot = true;
  record.term = Term{1};
  record.firstIndex = LogIndex{1};
  record.entries.push_back({Term{1}, true, pack(three)});
  for (std::size_t count = 0; count < entries; ++count)
    record.entries.push_back({Term{1}, false, "lost"});
  return record;
}
std::vector<AppendEntriesReply> repliesOf(RaftNode& raft) {
  std::vector<AppendEntriesReply> replies;
  for (auto& message : raft.takeMessages())
    if (auto* reply = boost::get<AppendEntriesReply>(&message.body))
      replies.push_back(*reply);
  return replies;
}
PeerMessage fromC(PeerBody body) {
  return PeerMessage{ControllerId{"c"}, ControllerId{"b"}, Address{"b:1"}, std::move(body),
                     Address{"c:1"}};
}
}  // namespace

TEST_GROUP(RaftTests) {
  RaftNode follower{three[1], {}, 1, {heldBy(5)}, MonotonicTime{0}};
  void sync(std::int64_t now) {
    while (auto record = follower.takeWrite())
      follower.onWriteSynced(record->version, MonotonicTime{now});
  }
};

// Entries on disk are acknowledged only up to the index at which they are known to match the
// leader's. docs/design.md 3.3.
TEST(RaftTests, aFollowerClaimsNoEntriesThatItsLeaderHasNotShown) {
  AppendEntries heartbeat;
  heartbeat.term = Term{2};
  heartbeat.previousLogIndex = LogIndex{1};
  heartbeat.previousLogTerm = Term{1};
  heartbeat.round = RoundNumber{1};
  follower.receive(fromC(heartbeat), MonotonicTime{10});
  sync(12);
  for (const auto& reply : repliesOf(follower))
    LONGS_EQUAL(1, reply.matchIndex.value);
}

// However far the logs have diverged, one reply tells the leader where to resume.
// docs/design.md 3.4.
TEST(RaftTests, oneMismatchTellsWhereTheLogsAgree) {
  AppendEntries ahead;
  ahead.term = Term{2};
  ahead.previousLogIndex = LogIndex{9};
  ahead.previousLogTerm = Term{2};
  ahead.round = RoundNumber{1};
  follower.receive(fromC(ahead), MonotonicTime{10});
  auto replies = repliesOf(follower);
  CHECK(!replies.empty() && !replies[0].success);
  AppendEntries again = ahead;
  again.previousLogIndex = replies[0].matchIndex;
  again.previousLogTerm = again.previousLogIndex.value > 1 ? Term{2}
                          : again.previousLogIndex.value   ? Term{1}  // the leader's log has term 2
                                                                    // from index 2 on
                                                         : Term{};
  again.entries.assign(9 - again.previousLogIndex.value, LogEntry{Term{2}, false, "kept"});
  follower.receive(fromC(again), MonotonicTime{12});
  replies = repliesOf(follower);
  CHECK(!replies.empty() && replies.back().success);
  LONGS_EQUAL(9, follower.lastIndex().value);
}

// A refusal must carry the voter's term. Otherwise a candidate with an older term never catches up,
// and no leader could ever be elected. docs/design.md 3.2.
TEST(RaftTests, aRefusedTrialTellsTheTerm) {
  AppendEntries seen;
  seen.term = Term{47};
  follower.receive(fromC(seen), MonotonicTime{10});
  follower.takeMessages();
  RequestVote ask{Term{33}, true, false, LogIndex{99}, Term{32}};
  follower.receive(fromC(ask), MonotonicTime{5000});
  const auto messages = follower.takeMessages();
  LONGS_EQUAL(1, messages.size());
  const auto& answer = boost::get<RequestVoteReply>(messages[0].body);
  CHECK(!answer.voteGranted);
  LONGS_EQUAL(47, answer.term.value);
}

// A learner that was removed while it was unreachable must request to join again, otherwise it
// would never become a member again. docs/design.md 3.5.
TEST(RaftTests, aLearnerThatHearsNoLeaderAsksToJoin) {
  auto record = heldBy(1);
  Membership members = three;
  members[1].voter = false;
  record.entries[0].payload = pack(members);
  RaftNode learner(three[1], {}, 1, {record}, MonotonicTime{0});
  for (std::int64_t now = 0; now < 4000; now += 100)
    learner.tick(MonotonicTime{now}, WallTime{now});
  std::size_t asked = 0;
  for (const auto& message : learner.takeMessages())
    asked += message.body.type() == typeid(JoinRequest);
  CHECK(asked > 0);
}

// An installed snapshot is acknowledged only after it is synced. Entries that were on disk before
// belong to a diverged log.
TEST(RaftTests, anInstalledViewIsClaimedOnlyWhenItIsSynced) {
  const std::string whole = pack(Snapshot{LogIndex{4}, Term{2}, three, "state"});
  const SnapshotIdentity identity{LogIndex{4}, Term{2}, whole.size(), checksum(whole)};
  const InstallSnapshot install{Term{2}, identity, 0, whole, RoundNumber{1}};
  follower.receive(fromC(install), MonotonicTime{10});
  for (const auto& reply : repliesOf(follower))
    CHECK(reply.matchIndex.value < 4);
  sync(12);
  const auto after = repliesOf(follower);
  CHECK(!after.empty());
  LONGS_EQUAL(4, after.back().matchIndex.value);
}

// While a snapshot is being written, the disk still holds the previous entries. A reply with a
// lower last index would be taken for a lost disk. docs/design.md 3.5.
TEST(RaftTests, aSnapshotUnderWayIsNoLostState) {
  const std::string whole = pack(Snapshot{LogIndex{9}, Term{2}, three, "state"});
  const SnapshotIdentity identity{LogIndex{9}, Term{2}, whole.size(), checksum(whole)};
  const InstallSnapshot install{Term{2}, identity, 0, whole, RoundNumber{1}};
  const auto held = follower.lastIndex();
  follower.receive(fromC(install), MonotonicTime{10});
  for (const auto& reply : repliesOf(follower))
    CHECK(reply.lastLogIndex >= held);
}

// The leader may already count entries that were acknowledged to it. A delayed snapshot that ends
// before them must not remove them. docs/design.md 3.4.
TEST(RaftTests, aLateSnapshotLeavesTheEntriesAfterIt) {
  RaftNode behind{three[1], {}, 1, {heldBy(0)}, MonotonicTime{0}};
  std::vector<WriteAheadRecord> disk{heldBy(0)};
  const auto syncAll = [&](std::int64_t now) {
    while (auto record = behind.takeWrite()) {
      disk.push_back(*record);
      behind.onWriteSynced(record->version, MonotonicTime{now});
    }
  };
  AppendEntries append;
  append.term = Term{2};
  append.previousLogIndex = LogIndex{1};
  append.previousLogTerm = Term{1};
  append.entries.assign(4, LogEntry{Term{2}, false, "kept"});
  append.round = RoundNumber{1};
  behind.receive(fromC(append), MonotonicTime{10});
  syncAll(12);
  LONGS_EQUAL(5, repliesOf(behind).back().matchIndex.value);
  const std::string whole = pack(Snapshot{LogIndex{4}, Term{2}, three, "state"});
  const SnapshotIdentity identity{LogIndex{4}, Term{2}, whole.size(), checksum(whole)};
  const InstallSnapshot install{Term{2}, identity, 0, whole, RoundNumber{2}};
  behind.receive(fromC(install), MonotonicTime{20});
  syncAll(22);
  LONGS_EQUAL(5, behind.lastIndex().value);
  LONGS_EQUAL(4, behind.commitIndex().value);
  LONGS_EQUAL(5, repliesOf(behind).back().matchIndex.value);
  RaftNode restarted{three[1], {}, 1, disk, MonotonicTime{0}};
  LONGS_EQUAL(5, restarted.lastIndex().value);
}

// A candidate's own vote counts only once it is synced. The delayed write of an earlier term's vote
// on a slow disk does not count. docs/design.md 3.3.
TEST(RaftTests, aCandidateCountsItsOwnVoteOnlyOnceThatTermIsSynced) {
  const auto campaign = [&](std::int64_t now) {
    follower.tick(MonotonicTime{now}, WallTime{now});
    follower.receive(fromC(RequestVoteReply{follower.term().next(), true, true}),
                     MonotonicTime{now});
  };
  campaign(5000);
  const auto slow = follower.takeWrite();
  CHECK(slow.has_value());
  LONGS_EQUAL(2, slow->term.value);
  campaign(10'000);
  LONGS_EQUAL(3, follower.term().value);
  follower.onWriteSynced(slow->version, MonotonicTime{10'010});
  follower.receive(fromC(RequestVoteReply{Term{3}, false, true}), MonotonicTime{10'020});
  CHECK(!follower.isLeader());
  sync(10'030);
  CHECK(follower.isLeader());
}

// A leader that has not stored its term could lead that term again after a restart, with different
// entries at the same index and term. docs/design.md 3.3.
TEST(RaftTests, aCandidateLeadsOnlyOnceItsOwnTermIsSynced) {
  follower.tick(MonotonicTime{5000}, WallTime{5000});
  follower.receive(fromC(RequestVoteReply{Term{2}, true, true}), MonotonicTime{5000});
  const auto slow = follower.takeWrite();
  CHECK(slow.has_value());
  auto given = fromC(RequestVoteReply{Term{2}, false, true});
  follower.receive(given, MonotonicTime{5010});
  given.from = three[0].id;
  follower.receive(given, MonotonicTime{5010});
  CHECK(!follower.isLeader());
  follower.onWriteSynced(slow->version, MonotonicTime{5020});
  CHECK(follower.isLeader());
}
