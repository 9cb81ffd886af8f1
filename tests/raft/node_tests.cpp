// Tests of a single Raft node: acknowledgements, elections and snapshots. docs/design.md 3.
#include "raft/node.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

namespace {
const Membership threeVoters{{ControllerId{"a"}, Address{"a:1"}, ZoneName{"x"}, true},
                             {ControllerId{"b"}, Address{"b:1"}, ZoneName{"y"}, true},
                             {ControllerId{"c"}, Address{"c:1"}, ZoneName{"z"}, true}};
// Returns the disk of a follower with the membership and entries of term 1 that were never on a
// majority.
WriteAheadRecord diskWith(std::size_t entries) {
  WriteAheadRecord record;
  record.version = DiskVersion{1};
  record.holdsSnapshot = true;
  record.term = Term{1};
  record.firstIndex = LogIndex{1};
  record.entries.push_back({Term{1}, true, pack(threeVoters)});
  for (std::size_t count = 0; count < entries; ++count)
    record.entries.push_back({Term{1}, false, "lost"});
  return record;
}
std::vector<AppendEntriesReply> takeAppendReplies(RaftNode& raft) {
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

TEST_GROUP(RaftNodeTests) {
  RaftNode follower{threeVoters[1], {}, 1, {diskWith(5)}, MonotonicTime{0}};
  void sync(std::int64_t now) {
    while (auto record = follower.takeWrite())
      follower.onWriteSynced(record->version, MonotonicTime{now});
  }
};

// Entries on disk are acknowledged only up to the index at which they are known to match the
// leader's. docs/design.md 3.3.
TEST(RaftNodeTests, followerAcknowledgesOnlyVerifiedEntries) {
  AppendEntries heartbeat;
  heartbeat.term = Term{2};
  heartbeat.previousLogIndex = LogIndex{1};
  heartbeat.previousLogTerm = Term{1};
  heartbeat.round = RoundNumber{1};
  follower.receive(fromC(heartbeat), MonotonicTime{10});
  sync(12);
  for (const auto& reply : takeAppendReplies(follower))
    LONGS_EQUAL(1, reply.matchIndex.value);
}

// However far the logs have diverged, one reply tells the leader where to resume.
// docs/design.md 3.4.
TEST(RaftNodeTests, oneRejectionTellsWhereTheLogsMatch) {
  AppendEntries mismatched;
  mismatched.term = Term{2};
  mismatched.previousLogIndex = LogIndex{9};
  mismatched.previousLogTerm = Term{2};
  mismatched.round = RoundNumber{1};
  follower.receive(fromC(mismatched), MonotonicTime{10});
  auto replies = takeAppendReplies(follower);
  CHECK(!replies.empty() && !replies[0].success);
  AppendEntries retried = mismatched;
  retried.previousLogIndex = replies[0].matchIndex;
  // The leader's log has term 2 from index 2 on.
  retried.previousLogTerm = retried.previousLogIndex.value > 1 ? Term{2}
                            : retried.previousLogIndex.value   ? Term{1}
                                                               : Term{};
  retried.entries.assign(9 - retried.previousLogIndex.value, LogEntry{Term{2}, false, "kept"});
  follower.receive(fromC(retried), MonotonicTime{12});
  replies = takeAppendReplies(follower);
  CHECK(!replies.empty() && replies.back().success);
  LONGS_EQUAL(9, follower.lastIndex().value);
}

// A refusal must carry the voter's term. Otherwise a candidate with an older term never catches up,
// and no leader could ever be elected. docs/design.md 3.2.
TEST(RaftNodeTests, refusedPreVoteCarriesTheTerm) {
  AppendEntries seen;
  seen.term = Term{47};
  follower.receive(fromC(seen), MonotonicTime{10});
  follower.takeMessages();
  RequestVote preVote{Term{33}, true, false, LogIndex{99}, Term{32}};
  follower.receive(fromC(preVote), MonotonicTime{5000});
  const auto messages = follower.takeMessages();
  LONGS_EQUAL(1, messages.size());
  const auto& answer = boost::get<RequestVoteReply>(messages[0].body);
  CHECK(!answer.voteGranted);
  LONGS_EQUAL(47, answer.term.value);
}

// A learner that was removed while it was unreachable must request to join again, otherwise it
// would never become a member again. docs/design.md 3.5.
TEST(RaftNodeTests, learnerWithoutLeaderRequestsToJoin) {
  auto record = diskWith(1);
  Membership members = threeVoters;
  members[1].voter = false;
  record.entries[0].payload = pack(members);
  RaftNode learner(threeVoters[1], {}, 1, {record}, MonotonicTime{0});
  for (std::int64_t now = 0; now < 4000; now += 100)
    learner.tick(MonotonicTime{now}, WallTime{now});
  std::size_t joinRequests = 0;
  for (const auto& message : learner.takeMessages())
    joinRequests += message.body.type() == typeid(JoinRequest);
  CHECK(joinRequests > 0);
}

// An installed snapshot is acknowledged only after it is synced. Entries that were on disk before
// belong to a diverged log.
TEST(RaftNodeTests, installedSnapshotIsAcknowledgedOnlyWhenSynced) {
  const std::string packedSnapshot = pack(Snapshot{LogIndex{4}, Term{2}, threeVoters, "state"});
  const SnapshotIdentity identity{LogIndex{4}, Term{2}, packedSnapshot.size(),
                                  checksum(packedSnapshot)};
  const InstallSnapshot install{Term{2}, identity, 0, packedSnapshot, RoundNumber{1}};
  follower.receive(fromC(install), MonotonicTime{10});
  for (const auto& reply : takeAppendReplies(follower))
    CHECK(reply.matchIndex.value < 4);
  sync(12);
  const auto repliesAfterSync = takeAppendReplies(follower);
  CHECK(!repliesAfterSync.empty());
  LONGS_EQUAL(4, repliesAfterSync.back().matchIndex.value);
}

// While a snapshot is being written, the disk still holds the previous entries. A reply with a
// lower last index would be taken for a lost disk. docs/design.md 3.5.
TEST(RaftNodeTests, unsyncedSnapshotIsNotLostState) {
  const std::string packedSnapshot = pack(Snapshot{LogIndex{9}, Term{2}, threeVoters, "state"});
  const SnapshotIdentity identity{LogIndex{9}, Term{2}, packedSnapshot.size(),
                                  checksum(packedSnapshot)};
  const InstallSnapshot install{Term{2}, identity, 0, packedSnapshot, RoundNumber{1}};
  const auto lastIndexBefore = follower.lastIndex();
  follower.receive(fromC(install), MonotonicTime{10});
  for (const auto& reply : takeAppendReplies(follower))
    CHECK(reply.lastLogIndex >= lastIndexBefore);
}

// The leader may already count entries that were acknowledged to it. A delayed snapshot that ends
// before them must not remove them. docs/design.md 3.4.
TEST(RaftNodeTests, delayedSnapshotKeepsLaterEntries) {
  RaftNode laggingFollower{threeVoters[1], {}, 1, {diskWith(0)}, MonotonicTime{0}};
  std::vector<WriteAheadRecord> disk{diskWith(0)};
  const auto syncAll = [&](std::int64_t now) {
    while (auto record = laggingFollower.takeWrite()) {
      disk.push_back(*record);
      laggingFollower.onWriteSynced(record->version, MonotonicTime{now});
    }
  };
  AppendEntries append;
  append.term = Term{2};
  append.previousLogIndex = LogIndex{1};
  append.previousLogTerm = Term{1};
  append.entries.assign(4, LogEntry{Term{2}, false, "kept"});
  append.round = RoundNumber{1};
  laggingFollower.receive(fromC(append), MonotonicTime{10});
  syncAll(12);
  LONGS_EQUAL(5, takeAppendReplies(laggingFollower).back().matchIndex.value);
  const std::string packedSnapshot = pack(Snapshot{LogIndex{4}, Term{2}, threeVoters, "state"});
  const SnapshotIdentity identity{LogIndex{4}, Term{2}, packedSnapshot.size(),
                                  checksum(packedSnapshot)};
  const InstallSnapshot install{Term{2}, identity, 0, packedSnapshot, RoundNumber{2}};
  laggingFollower.receive(fromC(install), MonotonicTime{20});
  syncAll(22);
  LONGS_EQUAL(5, laggingFollower.lastIndex().value);
  LONGS_EQUAL(4, laggingFollower.commitIndex().value);
  LONGS_EQUAL(5, takeAppendReplies(laggingFollower).back().matchIndex.value);
  RaftNode restarted{threeVoters[1], {}, 1, disk, MonotonicTime{0}};
  LONGS_EQUAL(5, restarted.lastIndex().value);
}

// A candidate's own vote counts only once it is synced. The delayed write of an earlier term's vote
// on a slow disk does not count. docs/design.md 3.3.
TEST(RaftNodeTests, candidateCountsItsOwnVoteOnlyWhenItsTermIsSynced) {
  const auto campaign = [&](std::int64_t now) {
    follower.tick(MonotonicTime{now}, WallTime{now});
    follower.receive(fromC(RequestVoteReply{follower.term().next(), true, true}),
                     MonotonicTime{now});
  };
  campaign(5000);
  const auto slowWrite = follower.takeWrite();
  CHECK(slowWrite.has_value());
  LONGS_EQUAL(2, slowWrite->term.value);
  campaign(10'000);
  LONGS_EQUAL(3, follower.term().value);
  follower.onWriteSynced(slowWrite->version, MonotonicTime{10'010});
  follower.receive(fromC(RequestVoteReply{Term{3}, false, true}), MonotonicTime{10'020});
  CHECK(!follower.isLeader());
  sync(10'030);
  CHECK(follower.isLeader());
}

// A leader that has not stored its term could lead that term again after a restart, with different
// entries at the same index and term. docs/design.md 3.3.
TEST(RaftNodeTests, candidateLeadsOnlyWhenItsTermIsSynced) {
  follower.tick(MonotonicTime{5000}, WallTime{5000});
  follower.receive(fromC(RequestVoteReply{Term{2}, true, true}), MonotonicTime{5000});
  const auto slowWrite = follower.takeWrite();
  CHECK(slowWrite.has_value());
  auto voteReply = fromC(RequestVoteReply{Term{2}, false, true});
  follower.receive(voteReply, MonotonicTime{5010});
  voteReply.from = threeVoters[0].id;
  follower.receive(voteReply, MonotonicTime{5010});
  CHECK(!follower.isLeader());
  follower.onWriteSynced(slowWrite->version, MonotonicTime{5020});
  CHECK(follower.isLeader());
}
