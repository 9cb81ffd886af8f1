// Tests that a cluster has one identity for good: what comes from another cluster is refused by its
// id before any term is compared, and a node that has known a cluster bootstraps none. A frozen
// controller that was replaced once bootstrapped a second cluster when it woke. docs/design.md 3.8.
#include "raft/node.hpp"
#include "state/leader_route.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

namespace {

const Membership members{{ControllerId{"a"}, Address{"a:1"}, ZoneName{"x"}, true},
                         {ControllerId{"b"}, Address{"b:1"}, ZoneName{"y"}, true},
                         {ControllerId{"c"}, Address{"c:1"}, ZoneName{"z"}, true}};
const Member blankMember{ControllerId{"d"}, Address{"d:1"}, ZoneName{"x"}, false};

WriteAheadRecord recordOf(const ClusterId& cluster) {
  WriteAheadRecord record;
  record.version = DiskVersion{1};
  record.holdsSnapshot = true;
  record.term = Term{1};
  record.firstIndex = LogIndex{1};
  record.entries.push_back({Term{1}, true, pack(members)});
  record.cluster = cluster;
  return record;
}
PeerMessage messageTo(const ControllerId& to, PeerBody body, const ClusterId& cluster) {
  return PeerMessage{ControllerId{"c"}, to, Address{}, std::move(body), Address{"c:1"}, cluster};
}
RequestVote voteRequest(std::uint64_t term) {
  RequestVote request;
  request.term = Term{term};
  request.lastLogIndex = LogIndex{100};
  request.lastLogTerm = Term{term};
  return request;
}
AppendEntries firstEntries(std::uint64_t term) {
  AppendEntries append;
  append.term = Term{term};
  append.entries.push_back({Term{term}, true, pack(members)});
  append.round = RoundNumber{1};
  return append;
}

}  // namespace

TEST_GROUP(ClusterIdentityTests) {
  const ClusterId own{"first"};
  const ClusterId other{"second"};
  RaftNode voter{members[1], {}, 1, {recordOf(own)}, MonotonicTime{0}};
  RaftNode blank{blankMember, {}, 1, {}, MonotonicTime{0}};
};

TEST(ClusterIdentityTests, messagesOfAnotherClusterAreRefusedWhateverTheirTerm) {
  voter.receive(messageTo(members[1].id, voteRequest(99), other), MonotonicTime{5000});
  voter.receive(messageTo(members[1].id, firstEntries(99), other), MonotonicTime{5000});
  LONGS_EQUAL(1, voter.term().value);
  LONGS_EQUAL(1, voter.lastIndex().value);
  CHECK(voter.takeMessages().empty());
  CHECK(voter.leaderId().value.empty());
  const auto refused = voter.takeForeignSender();
  CHECK(refused.has_value());
  STRCMP_EQUAL("second", refused->cluster.value.c_str());
  STRCMP_EQUAL("c", refused->id.value.c_str());
  CHECK_FALSE(voter.takeForeignSender().has_value());
}

TEST(ClusterIdentityTests, messagesOfTheOwnClusterAndOfProgramsWithoutIdsAreAccepted) {
  voter.receive(messageTo(members[1].id, voteRequest(2), own), MonotonicTime{5000});
  LONGS_EQUAL(2, voter.term().value);
  voter.receive(messageTo(members[1].id, voteRequest(3), ClusterId{}), MonotonicTime{10'000});
  LONGS_EQUAL(3, voter.term().value);
  CHECK_FALSE(voter.takeForeignSender().has_value());
}

TEST(ClusterIdentityTests, theFirstIdentityNamesTheClusterThatItBootstraps) {
  blank.bootstrap(MonotonicTime{0});
  STRCMP_EQUAL("d", blank.cluster().value.c_str());
  const auto record = blank.takeWrite();
  CHECK(record.has_value());
  STRCMP_EQUAL("d", record->cluster.value.c_str());
}

TEST(ClusterIdentityTests, aNodeThatHasKnownAClusterBootstrapsNone) {
  blank.bindToCluster(own);
  blank.bootstrap(MonotonicTime{0});
  CHECK(blank.isBlank());
  CHECK_FALSE(blank.takeWrite().has_value());
}

TEST(ClusterIdentityTests, aNodeThatHasKnownAClusterJoinsNoOther) {
  blank.bindToCluster(own);
  blank.receive(messageTo(blankMember.id, firstEntries(7), other), MonotonicTime{10});
  CHECK(blank.isBlank());
  blank.receive(messageTo(blankMember.id, firstEntries(2), own), MonotonicTime{20});
  CHECK_FALSE(blank.isBlank());
}

TEST(ClusterIdentityTests, aJoinRequestOfAnotherClusterIsRefused) {
  blank.bindToCluster(other);
  blank.setJoinAddress(Address{"b:1"});
  blank.tick(MonotonicTime{1000}, WallTime{1000});
  const auto messages = blank.takeMessages();
  LONGS_EQUAL(1, messages.size());
  STRCMP_EQUAL("second", messages[0].cluster.value.c_str());
  voter.receive(messages[0], MonotonicTime{1000});
  CHECK(voter.takeForeignSender().has_value());
}

TEST(ClusterIdentityTests, aBlankNodeTakesTheIdOfItsLeaderAndStoresItWithTheLog) {
  blank.receive(messageTo(blankMember.id, firstEntries(2), own), MonotonicTime{10});
  STRCMP_EQUAL("first", blank.cluster().value.c_str());
  const auto record = blank.takeWrite();
  CHECK(record.has_value());
  const auto stored = unpack<WriteAheadRecord>(pack(*record));
  CHECK(stored.has_value());
  const RaftNode restarted{blankMember, {}, 2, {stored.value()}, MonotonicTime{0}};
  STRCMP_EQUAL("first", restarted.cluster().value.c_str());
}

TEST(ClusterIdentityTests, aRecordWithoutAnIdHasTheBytesOfTheEarlierFormat) {
  OutputArchive earlier;
  const WriteAheadRecord record = recordOf(ClusterId{});
  earlier << record.version << record.holdsSnapshot << record.term << record.votedFor
          << record.snapshot << record.firstIndex << record.entries;
  CHECK(earlier.bytes == pack(record));
}

TEST(ClusterIdentityTests, aRouteToAnotherClusterIsNotFollowedWhateverItsTerm) {
  LeaderRoute route;
  LeaderRoute known;
  known.term = Term{3};
  known.leader = Address{"a:1"};
  known.cluster = own;
  CHECK(route.mergeNewer(known));
  LeaderRoute foreign = known;
  foreign.term = Term{50};
  foreign.leader = Address{"x:1"};
  foreign.cluster = other;
  CHECK_FALSE(route.mergeNewer(foreign));
  STRCMP_EQUAL("a:1", route.leader.value.c_str());
  // A route from a program without ids is followed, and the id stays known.
  known.term = Term{4};
  known.cluster = ClusterId{};
  CHECK(route.mergeNewer(known));
  CHECK_FALSE(route.mergeNewer(foreign));
}
