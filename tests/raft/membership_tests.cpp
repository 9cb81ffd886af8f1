// Tests of membership changes: which changes a leader refuses, and when a member learns that it was
// removed. docs/design.md 3.5.
#include "raft/membership_change.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

namespace {

Member voter(const std::string& id) {
  return {ControllerId{id}, Address{id + ":1"}, ZoneName{"zone-" + id}, true};
}
Membership voters(const std::vector<std::string>& ids) {
  Membership members;
  for (const auto& id : ids)
    members.push_back(voter(id));
  return members;
}
Membership without(Membership members, const std::string& id) {
  std::erase_if(members, [&](const Member& member) { return member.id.value == id; });
  return members;
}
Membership withPromoted(Membership members, const std::string& id) {
  for (auto& member : members)
    member.voter = member.voter || member.id.value == id;
  return members;
}

// Nodes with a shared clock, a network that can be partitioned, and disks that sync immediately. A
// new leader proposes the first entry of its term, as the controller does.
struct Cluster {
  std::int64_t now = 0;
  std::map<std::string, std::unique_ptr<RaftNode>> nodes;
  std::map<std::string, Term> firstEntryTerms;
  std::set<std::set<std::string>> cutLinks;
  std::set<std::string> stopped;

  explicit Cluster(const std::vector<std::string>& ids) {
    WriteAheadRecord record;
    record.version = DiskVersion{1};
    record.holdsSnapshot = true;
    record.term = Term{1};
    record.firstIndex = LogIndex{1};
    record.entries.push_back({Term{1}, true, pack(voters(ids))});
    for (const auto& id : ids)
      add(id, {record});
  }
  void add(const std::string& id, const std::vector<WriteAheadRecord>& disk) {
    nodes[id] = std::make_unique<RaftNode>(voter(id), RaftOptions{}, nodes.size() + 1, disk,
                                           MonotonicTime{now});
  }
  void cutLinksBetween(const std::vector<std::string>& left,
                       const std::vector<std::string>& right) {
    for (const auto& one : left)
      for (const auto& other : right)
        cutLinks.insert({one, other});
  }
  bool canDeliver(const PeerMessage& message) const {
    const std::string& to = message.to.value;
    return nodes.count(to) && !stopped.count(to) && !stopped.count(message.from.value) &&
           !cutLinks.count({message.from.value, to});
  }
  void proposeFirstEntries() {
    for (auto& [id, node] : nodes)
      if (node->isLeader() && firstEntryTerms[id] != node->term()) {
        firstEntryTerms[id] = node->term();
        node->propose("opened", MonotonicTime{now});
      }
  }
  std::vector<PeerMessage> tickAll() {
    std::vector<PeerMessage> sent;
    proposeFirstEntries();
    for (auto& [id, node] : nodes) {
      if (stopped.count(id))
        continue;
      node->tick(MonotonicTime{now}, WallTime{now});
      while (auto record = node->takeWrite())
        node->onWriteSynced(record->version, MonotonicTime{now});
      for (auto& message : node->takeMessages())
        sent.push_back(std::move(message));
    }
    return sent;
  }
  void run(std::int64_t duration) {
    for (const std::int64_t end = now + duration; now < end; now += 10)
      for (const auto& message : tickAll())
        if (canDeliver(message))
          nodes[message.to.value]->receive(message, MonotonicTime{now});
  }
  std::string leader() const {
    for (const auto& [id, node] : nodes)
      if (!stopped.count(id) && node->canServe())
        return id;
    return "";
  }
  std::string waitForLeader() {
    for (int count = 0; count < 1000 && leader().empty(); ++count)
      run(10);
    run(300);
    return leader();
  }
  RaftNode& at(const std::string& id) { return *nodes[id]; }
};

// Returns the id of the leader, followed by the other ids in order.
std::vector<std::string> leaderFirst(Cluster& cluster) {
  std::vector<std::string> order{cluster.waitForLeader()};
  for (const auto& [id, node] : cluster.nodes)
    if (id != order[0])
      order.push_back(id);
  return order;
}

}  // namespace

TEST_GROUP(MembershipTests){};

// The leader of four voters is partitioned from two of them together with the voter that it
// removes, so the change cannot be committed. The voter is still one of the four and must not
// retire: without its copy, the two others could never form a majority.
TEST(MembershipTests, uncommittedRemovalRetiresNobody) {
  Cluster cluster({"a", "b", "c", "d"});
  const auto order = leaderFirst(cluster);
  RaftNode& leader = cluster.at(order[0]);
  RaftNode& removed = cluster.at(order[1]);
  cluster.cutLinksBetween({order[0], order[1]}, {order[2], order[3]});
  CHECK(
      leader.proposeMembership(without(leader.membership(), order[1]), MonotonicTime{cluster.now}));
  cluster.run(5000);
  CHECK(!leader.membershipCommitted());
  CHECK(!removed.removedFromCluster());
  // The leader is lost permanently. The three remaining voters are a majority of the committed
  // four.
  cluster.stopped.insert(order[0]);
  cluster.cutLinks.clear();
  CHECK(!cluster.waitForLeader().empty());
}

// After the removal is committed, the removed node learns of it from the leader when it requests a
// vote.
TEST(MembershipTests, removedMemberIsNotified) {
  Cluster cluster({"a", "b", "c", "d"});
  const auto order = leaderFirst(cluster);
  RaftNode& leader = cluster.at(order[0]);
  CHECK(
      leader.proposeMembership(without(leader.membership(), order[3]), MonotonicTime{cluster.now}));
  cluster.run(5000);
  CHECK(leader.membershipCommitted());
  CHECK(cluster.at(order[3]).removedFromCluster());
  for (const auto& id : {order[0], order[1], order[2]})
    CHECK(!cluster.at(id).removedFromCluster());
}

// The receiver of a RemovedFromCluster message validates it against its own log and against the
// membership in the message.
TEST(MembershipTests, removalNoticeIsValidated) {
  WriteAheadRecord record;
  record.version = DiskVersion{1};
  record.holdsSnapshot = true;
  record.term = Term{9};
  record.firstIndex = LogIndex{1};
  record.entries.push_back({Term{1}, true, pack(voters({"a", "b"}))});
  record.entries.push_back({Term{3}, true, pack(voters({"a", "b", "x"}))});
  const auto acceptsRemoval = [&](const std::string& from, const RemovedFromCluster& notice) {
    RaftNode x(voter("x"), {}, 1, {record}, MonotonicTime{0});
    x.receive({ControllerId{from}, ControllerId{"x"}, Address{"x:1"}, notice, Address{from + ":1"}},
              MonotonicTime{10});
    return x.removedFromCluster();
  };
  const Membership others = voters({"a", "b"});
  CHECK(acceptsRemoval("a", {Term{3}, LogIndex{3}, others}));
  // The node's current term does not matter, since it may have increased in unsuccessful elections.
  CHECK(acceptsRemoval("a", {Term{4}, LogIndex{2}, others}));
  // The node was admitted again later.
  CHECK(!acceptsRemoval("a", {Term{3}, LogIndex{1}, others}));
  CHECK(!acceptsRemoval("a", {Term{2}, LogIndex{7}, others}));
  CHECK(!acceptsRemoval("a", {Term{3}, LogIndex{2}, others}));
  CHECK(!acceptsRemoval("a", {Term{3}, LogIndex{3}, voters({"a", "b", "x"})}));
  CHECK(!acceptsRemoval("c", {Term{3}, LogIndex{3}, others}));
}

namespace {

const char* refusalText(const std::string& from, const std::string& to, const std::string& upToDate,
                        const std::string& lostState = "") {
  // Each letter is a member, and "l" is the leader. Upper-case letters are learners.
  const auto parseMembers = [](const std::string& letters) {
    Membership members;
    for (const char letter : letters) {
      members.push_back(voter(std::string(1, char(std::tolower(letter)))));
      members.back().voter = std::islower(letter);
    }
    return members;
  };
  const Membership before = parseMembers(from), after = parseMembers(to);
  const auto isOneOf = [](const std::string& letters) {
    return [&](const ControllerId& id) {
      return letters.find(id.value) != std::string::npos;
    };
  };
  const auto refusal = checkMembershipChange(
      {before, after, ControllerId{"l"}, true, true, isOneOf(upToDate), isOneOf(lostState)});
  return refusal ? name(*refusal) : "";
}

}  // namespace

TEST(MembershipTests, changeNeedsAServingLeaderAndNoChangeInProgress) {
  const Membership from = voters({"l", "a"}), to = voters({"l", "a"});
  const auto all = [](const ControllerId&) {
    return true;
  };
  const auto none = [](const ControllerId&) {
    return false;
  };
  CHECK(checkMembershipChange({from, to, ControllerId{"l"}, false, true, all, none}) ==
        MembershipChangeRefusal::notServing);
  CHECK(checkMembershipChange({from, to, ControllerId{"l"}, true, false, all, none}) ==
        MembershipChangeRefusal::changeInProgress);
  CHECK(!checkMembershipChange({from, to, ControllerId{"l"}, true, true, all, none}));
}

TEST(MembershipTests, atMostOneVoterChangesAndTheLeaderStays) {
  STRCMP_EQUAL("several voters", refusalText("labC", "labcd", "labcd"));
  STRCMP_EQUAL("several voters", refusalText("labC", "lac", "labc"));
  STRCMP_EQUAL("several voters", refusalText("labcd", "lab", "labcd"));
  STRCMP_EQUAL("the leader would leave", refusalText("lab", "ab", "lab"));
  STRCMP_EQUAL("the leader would leave", refusalText("lab", "Lab", "lab"));
  STRCMP_EQUAL("listed twice", refusalText("lab", "labb", "lab"));
  STRCMP_EQUAL("", refusalText("labC", "labD", "lab"));  // learners do not affect majorities
}

// To replace a failed voter, first a successor that holds the log is added, then the failed voter
// is removed.
TEST(MembershipTests, successorMustCatchUpBeforeItReplacesAVoter) {
  STRCMP_EQUAL("the successor is behind", refusalText("labC", "labc", "la"));
  STRCMP_EQUAL("", refusalText("labC", "labc", "lac"));
  STRCMP_EQUAL("too few of the old voters hold the log", refusalText("labc", "lac", "la"));
  STRCMP_EQUAL("", refusalText("labc", "lac", "lac"));
  // Five voters, two of which have failed.
  STRCMP_EQUAL("the successor is behind", refusalText("labcdE", "labcde", "lab"));
  STRCMP_EQUAL("", refusalText("labcdE", "labcde", "labe"));
  STRCMP_EQUAL("too few of the old voters hold the log", refusalText("labcde", "labce", "lab"));
  STRCMP_EQUAL("", refusalText("labcde", "labce", "labe"));
}

TEST(MembershipTests, changeNeedsUpToDateMajorities) {
  STRCMP_EQUAL("too few of the old voters hold the log", refusalText("labC", "labc", "lc"));
  STRCMP_EQUAL("too few of the old voters hold the log", refusalText("la", "l", "la"));
  // Growing from three to five voters and shrinking back, one at a time, with one voter
  // unreachable.
  STRCMP_EQUAL("", refusalText("labCD", "labcD", "labc"));
  STRCMP_EQUAL("", refusalText("labcd", "labc", "labc"));
  STRCMP_EQUAL("too few of the old voters hold the log", refusalText("labcd", "labc", "lad"));
  STRCMP_EQUAL("", refusalText("labc", "lab", "lab"));
}

// The entries that a member has lost are gone whether or not it stays a member, so it is not
// counted.
TEST(MembershipTests, memberThatLostItsStateIsNotCounted) {
  STRCMP_EQUAL("", refusalText("lax", "la", "la", "x"));
  STRCMP_EQUAL("", refusalText("lx", "l", "l", "x"));
  STRCMP_EQUAL("", refusalText("lxB", "lxb", "lb", "x"));
  STRCMP_EQUAL("too few of the new voters hold the log", refusalText("lxyB", "lxyb", "lb", "xy"));
  STRCMP_EQUAL("too few of the old voters hold the log", refusalText("lax", "la", "l", "x"));
}

// The leader does not count a member without recent contact, regardless of how much of the log it
// held.
TEST(MembershipTests, leaderRefusesChangesThatNeedAnUnreachableMember) {
  Cluster cluster({"a", "b", "c", "d"});
  const auto order = leaderFirst(cluster);
  RaftNode& leader = cluster.at(order[0]);
  cluster.cutLinksBetween({order[0], order[1], order[2]}, {order[3]});
  cluster.run(3000);
  CHECK(leader.canServe());
  const MonotonicTime now{cluster.now};
  CHECK(leader.membershipChangeRefusal(without(leader.membership(), order[1]), now) ==
        MembershipChangeRefusal::oldMajorityMissing);
  CHECK(!leader.proposeMembership(without(leader.membership(), order[1]), now));
  CHECK(leader.proposeMembership(without(leader.membership(), order[3]), now));
  CHECK(leader.membershipChangeRefusal(leader.membership(), now) ==
        MembershipChangeRefusal::changeInProgress);
  cluster.run(1000);
  CHECK(leader.membershipCommitted());
}

TEST(MembershipTests, learnerVotesOnlyAfterCatchingUp) {
  Cluster cluster({"a", "b", "c"});
  const auto order = leaderFirst(cluster);
  RaftNode& leader = cluster.at(order[0]);
  cluster.add("n", {});
  Membership members = leader.membership();
  members.push_back(voter("n"));
  members.back().voter = false;
  cluster.stopped.insert("n");
  CHECK(leader.proposeMembership(members, MonotonicTime{cluster.now}));
  cluster.run(100);
  CHECK(leader.membershipChangeRefusal(withPromoted(members, "n"), MonotonicTime{cluster.now}) ==
        MembershipChangeRefusal::newVoterBehind);
  cluster.stopped.clear();
  cluster.run(1000);
  CHECK(leader.isCaughtUp(ControllerId{"n"}));
  CHECK(leader.proposeMembership(withPromoted(members, "n"), MonotonicTime{cluster.now}));
  cluster.run(500);
  CHECK(cluster.at("n").role() == Role::follower);
}

namespace {

// Changes members at random while links are cut, messages are delayed or lost, and nodes are down.
// At each step the invariants are checked against every entry that was ever committed.
struct RandomChanges : Cluster {
  Random random;
  std::vector<std::pair<std::int64_t, PeerMessage>> messagesInFlight;
  std::map<Term, std::string> leaders;
  std::map<LogIndex, std::pair<Term, std::string>> committedEntries;
  std::map<std::string, LogIndex> checkedUpTo;
  Membership committedMembership;  // from the latest committed membership entry
  LogIndex committedMembershipIndex;
  std::size_t notifiedCount = 0, acceptedChanges = 0, joinCount = 0;
  std::int64_t nextFaultsAt = 0;

  explicit RandomChanges(std::uint64_t seed)
      : Cluster({"a", "b", "c", "d"}),
        random(seed),
        committedMembership(voters({"a", "b", "c", "d"})) {}

  bool oneIn(std::int64_t outOf) { return random.between(1, outOf) == 1; }
  const Member& randomMember(const Membership& members) {
    return members[std::size_t(random.between(0, std::int64_t(members.size()) - 1))];
  }
  void injectFaults() {
    cutLinks.clear();
    stopped.clear();
    for (const auto& [left, node] : nodes)
      for (const auto& [right, other] : nodes)
        if (left < right && oneIn(5))
          cutLinks.insert({left, right});
    if (oneIn(4))
      stopped.insert(randomMember(committedMembership).id.value);
  }
  // Every leader tries a change, including a partitioned one.
  void proposeRandomChanges() {
    for (auto& [id, node] : nodes) {
      if (!node->isLeader() || stopped.count(id))
        continue;
      Membership members = node->membership();
      Member& drawn = members[std::size_t(random.between(0, std::int64_t(members.size()) - 1))];
      if (!drawn.voter)
        drawn.voter = true;
      else
        std::erase(members, Member(drawn));
      acceptedChanges += node->proposeMembership(members, MonotonicTime{now});
    }
  }
  void addBlankNode() {
    const auto members = committedMembership;
    for (auto& [id, node] : nodes)
      if (node->isBlank())
        node->setJoinAddress(randomMember(members).address);
    if (nodes.size() < 12 && members.size() < 5 && oneIn(2))
      add("n" + std::to_string(++joinCount), {});
  }
  void exchangeMessages() {
    for (auto& message : tickAll())
      if (!oneIn(20))
        messagesInFlight.emplace_back(now + random.between(0, 60), std::move(message));
    for (auto& [due, message] : std::exchange(messagesInFlight, {}))
      if (due > now)
        messagesInFlight.emplace_back(due, std::move(message));
      else
        deliver(std::move(message));
  }
  void deliver(PeerMessage message) {
    if (message.to.value.empty())  // a join request of a blank node, sent to an address
      message.to =
          ControllerId{message.toAddress.value.substr(0, message.toAddress.value.find(':'))};
    if (canDeliver(message))
      nodes[message.to.value]->receive(message, MonotonicTime{now});
  }
  void checkLog(const std::string& id, const RaftNode& node) {
    for (LogIndex at = checkedUpTo[id].next(); at <= node.commitIndex(); at = at.next()) {
      const LogEntry& entry = node.entry(at);
      const auto found =
          committedEntries.emplace(at, std::make_pair(entry.term, entry.payload)).first;
      CHECK(found->second == std::make_pair(entry.term, entry.payload));
      if (entry.isMembership && at > committedMembershipIndex) {
        committedMembership = unpack<Membership>(entry.payload).value();
        committedMembershipIndex = at;
      }
      checkedUpTo[id] = at;
    }
  }
  void checkInvariants() {
    for (const auto& [id, node] : nodes) {
      if (node->isLeader())
        CHECK_EQUAL(id, leaders.emplace(node->term(), id).first->second);
      checkLog(id, *node);
    }
    for (auto entry = nodes.begin(); entry != nodes.end();) {
      const bool isRemoved = entry->second->removedFromCluster();
      notifiedCount += isRemoved;
      if (isRemoved)
        CHECK(!isVoter(entry->first));
      entry = isRemoved ? nodes.erase(entry) : std::next(entry);
    }
  }
  bool isVoter(const std::string& id) const {
    return std::any_of(committedMembership.begin(), committedMembership.end(),
                       [&](const Member& member) { return member.id.value == id && member.voter; });
  }
  void runFor(std::int64_t duration) {
    for (const std::int64_t end = now + duration; now < end; now += 10) {
      if (now >= nextFaultsAt) {
        nextFaultsAt = now + random.between(200, 2500);
        injectFaults();
        addBlankNode();
      }
      if (oneIn(30))
        proposeRandomChanges();
      exchangeMessages();
      checkInvariants();
    }
  }
};

}  // namespace

TEST(MembershipTests, noVoterIsNotifiedOfRemoval) {
  std::size_t notifiedCount = 0, acceptedChanges = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    RandomChanges cluster(seed);
    cluster.runFor(30'000);
    notifiedCount += cluster.notifiedCount;
    acceptedChanges += cluster.acceptedChanges;
  }
  CHECK(acceptedChanges > 500);
  CHECK(notifiedCount > 50);
}

TEST_GROUP(SafeToStopTests){};

// With one of three voters disconnected, the leader and the remaining follower hold the only
// complete copies. Neither may stop until the third voter has caught up.
TEST(SafeToStopTests, lastCompleteCopiesMustNotStop) {
  Cluster cluster({"a", "b", "c"});
  const auto order = leaderFirst(cluster);
  RaftNode& leader = cluster.at(order[0]);
  RaftNode& second = cluster.at(order[1]);
  CHECK(leader.isSafeToStop());
  CHECK(second.isSafeToStop());
  cluster.cutLinksBetween({order[0], order[1]}, {order[2]});
  cluster.run(50);
  const LogIndex written = leader.propose("written", MonotonicTime{cluster.now});
  cluster.run(500);
  CHECK(leader.commitIndex() >= written);
  CHECK(second.commitIndex() >= written);
  CHECK(!leader.isSafeToStop());
  CHECK(!second.isSafeToStop());
  cluster.cutLinks.clear();
  cluster.run(3000);
  CHECK(cluster.at(order[2]).commitIndex() >= written);
  for (const auto& id : order)
    CHECK(cluster.at(id).isSafeToStop());
}

// Transferring the leadership does not replicate the entries that only two voters hold.
TEST(SafeToStopTests, leadershipTransferIsNotEnough) {
  Cluster cluster({"a", "b", "c"});
  const auto order = leaderFirst(cluster);
  RaftNode& leader = cluster.at(order[0]);
  cluster.cutLinksBetween({order[0], order[1]}, {order[2]});
  cluster.run(50);
  leader.propose("written", MonotonicTime{cluster.now});
  cluster.run(300);
  leader.transferLeadership(MonotonicTime{cluster.now});
  cluster.run(1000);
  CHECK(cluster.at(order[1]).canServe());
  CHECK(!leader.isLeader());
  CHECK(!leader.isSafeToStop());
  cluster.cutLinks.clear();
  cluster.run(3000);
  CHECK(leader.isSafeToStop());
}

// A member that is down may have lost its disk. Its copy does not count until it replies again.
TEST(SafeToStopTests, unreachableCopyIsNotCounted) {
  Cluster cluster({"a", "b", "c"});
  const auto order = leaderFirst(cluster);
  CHECK(cluster.at(order[0]).isSafeToStop());
  cluster.stopped.insert(order[2]);
  cluster.run(2000);
  CHECK(!cluster.at(order[0]).isSafeToStop());
  CHECK(!cluster.at(order[1]).isSafeToStop());
  cluster.stopped.clear();
  cluster.run(500);
  CHECK(cluster.at(order[0]).isSafeToStop());
  CHECK(cluster.at(order[1]).isSafeToStop());
}

// A single voter or a learner may stop, since no other copy exists or its own is not needed.
TEST(SafeToStopTests, singleVoterOrLearnerMayStop) {
  Cluster alone({"a"});
  CHECK_EQUAL(std::string("a"), alone.waitForLeader());
  CHECK(alone.at("a").isSafeToStop());
  RaftNode blank(voter("n"), {}, 1, {}, MonotonicTime{0});
  CHECK(blank.isSafeToStop());
}

// If the leader's log starts after the removal, the position of the snapshot proves the removal.
TEST(MembershipTests, removedMemberIsNotifiedAfterCompaction) {
  Cluster cluster({"a", "b", "c", "d"});
  const auto order = leaderFirst(cluster);
  RaftNode& leader = cluster.at(order[0]);
  cluster.stopped.insert(order[3]);
  CHECK(
      leader.proposeMembership(without(leader.membership(), order[3]), MonotonicTime{cluster.now}));
  for (std::size_t count = 0; count < 2 * RaftOptions{}.retainedEntries; ++count)
    leader.propose("entry", MonotonicTime{cluster.now});
  cluster.run(2000);
  leader.compact(leader.commitIndex(), "state");
  cluster.stopped.clear();
  cluster.run(5000);
  CHECK(cluster.at(order[3]).removedFromCluster());
}
