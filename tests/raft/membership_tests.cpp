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
Membership promoted(Membership members, const std::string& id) {
  for (auto& member : members)
    member.voter = member.voter || member.id.value == id;
  return members;
}

// Nodes with a shared clock, a network that can be partitioned, and disks that sync immediately. A
// new leader proposes the first entry of its term, as the controller does.
struct Cluster {
  std::int64_t now = 0;
  std::map<std::string, std::unique_ptr<RaftNode>> nodes;
  std::map<std::string, Term> opened;
  std::set<std::set<std::string>> cuts;
  std::set<std::string> down;

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
  void cut(const std::vector<std::string>& left, const std::vector<std::string>& right) {
    for (const auto& one : left)
      for (const auto& other : right)
        cuts.insert({one, other});
  }
  bool reaches(const PeerMessage& message) const {
    const std::string& to = message.to.value;
    return nodes.count(to) && !down.count(to) && !down.count(message.from.value) &&
           !cuts.count({message.from.value, to});
  }
  void openTerms() {
    for (auto& [id, node] : nodes)
      if (node->isLeader() && opened[id] != node->term()) {
        opened[id] = node->term();
        node->propose("opened", MonotonicTime{now});
      }
  }
  std::vector<PeerMessage> step() {
    std::vector<PeerMessage> sent;
    openTerms();
    for (auto& [id, node] : nodes) {
      if (down.count(id))
        continue;
      node->tick(MonotonicTime{now}, WallTime{now});
      while (auto record = node->takeWrite())
        node->onWriteSynced(record->version, MonotonicTime{now});
      for (auto& message : node->takeMessages())
        sent.push_back(std::move(message));
    }
    return sent;
  }
  void run(std::int64_t span) {
    for (const std::int64_t end = now + span; now < end; now += 10)
      for (const auto& message : step())
        if (reaches(message))
          nodes[message.to.value]->receive(message, MonotonicTime{now});
  }
  std::string leader() const {
    for (const auto& [id, node] : nodes)
      if (!down.count(id) && node->canServe())
        return id;
    return "";
  }
  std::string elect() {
    for (int count = 0; count < 1000 && leader().empty(); ++count)
      run(10);
    run(300);
    return leader();
  }
  RaftNode& at(const std::string& id) { return *nodes[id]; }
};

// Returns the id of the leader, followed by the other ids in order.
std::vector<std::string> leaderFirst(Cluster& cluster) {
  std::vector<std::string> order{cluster.elect()};
  for (const auto& [id, node] : cluster.nodes)
    if (id != order[0])
      order.push_back(id);
  return order;
}

}  // namespace

TEST_GROUP(Membership){};

// The leader of four voters is partitioned from two of them together with the voter that it
// removes, so the change cannot be committed. The voter is still one of the four and must not
// retire: without its copy, the two others could never form a majority.
TEST(Membership, aRemovalThatCannotCommitRetiresNobody) {
  Cluster cluster({"a", "b", "c", "d"});
  const auto order = leaderFirst(cluster);
  RaftNode& leader = cluster.at(order[0]);
  RaftNode& removed = cluster.at(order[1]);
  cluster.cut({order[0], order[1]}, {order[2], order[3]});
  CHECK(
      leader.proposeMembership(without(leader.membership(), order[1]), MonotonicTime{cluster.now}));
  cluster.run(5000);
  CHECK(!leader.membershipCommitted());
  CHECK(!removed.removedFromCluster());
  // The leader is lost permanently. The three remaining voters are a majority of the committed
  // four.
  cluster.down.insert(order[0]);
  cluster.cuts.clear();
  CHECK(!cluster.elect().empty());
}

// After the removal is committed, the removed node learns of it from the leader when it requests a
// vote.
TEST(Membership, aCommittedRemovalIsTold) {
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
TEST(Membership, aWordOfRemovalIsChecked) {
  WriteAheadRecord record;
  record.version = DiskVersion{1};
  record.holdsSnapshot = true;
  record.term = Term{9};
  record.firstIndex = LogIndex{1};
  record.entries.push_back({Term{1}, true, pack(voters({"a", "b"}))});
  record.entries.push_back({Term{3}, true, pack(voters({"a", "b", "x"}))});
  const auto told = [&](const std::string& from, const RemovedFromCluster& word) {
    RaftNode x(voter("x"), {}, 1, {record}, MonotonicTime{0});
    x.receive({ControllerId{from}, ControllerId{"x"}, Address{"x:1"}, word, Address{from + ":1"}},
              MonotonicTime{10});
    return x.removedFromCluster();
  };
  const Membership others = voters({"a", "b"});
  CHECK(told("a", {Term{3}, LogIndex{3}, others}));
  // The node's current term does not matter, since it may have increased in unsuccessful elections.
  CHECK(told("a", {Term{4}, LogIndex{2}, others}));
  // The node was admitted again later.
  CHECK(!told("a", {Term{3}, LogIndex{1}, others}));
  CHECK(!told("a", {Term{2}, LogIndex{7}, others}));
  CHECK(!told("a", {Term{3}, LogIndex{2}, others}));
  CHECK(!told("a", {Term{3}, LogIndex{3}, voters({"a", "b", "x"})}));
  CHECK(!told("c", {Term{3}, LogIndex{3}, others}));
}

namespace {

const char* refused(const std::string& from, const std::string& to, const std::string& holding,
                    const std::string& lost = "") {
  // Each letter is a member, and "l" is the leader. Upper-case letters are learners.
  const auto list = [](const std::string& letters) {
    Membership members;
    for (const char letter : letters) {
      members.push_back(voter(std::string(1, char(std::tolower(letter)))));
      members.back().voter = std::islower(letter);
    }
    return members;
  };
  const Membership before = list(from), after = list(to);
  const auto in = [](const std::string& letters) {
    return [&](const ControllerId& id) {
      return letters.find(id.value) != std::string::npos;
    };
  };
  const auto refusal =
      checkMembershipChange({before, after, ControllerId{"l"}, true, true, in(holding), in(lost)});
  return refusal ? name(*refusal) : "";
}

}  // namespace

TEST(Membership, aChangeNeedsALeaderOfItsOwnTermAndACommittedOneBefore) {
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

TEST(Membership, atMostOneVoterDiffersAndTheLeaderStays) {
  STRCMP_EQUAL("several voters", refused("labC", "labcd", "labcd"));
  STRCMP_EQUAL("several voters", refused("labC", "lac", "labc"));
  STRCMP_EQUAL("several voters", refused("labcd", "lab", "labcd"));
  STRCMP_EQUAL("the leader would leave", refused("lab", "ab", "lab"));
  STRCMP_EQUAL("the leader would leave", refused("lab", "Lab", "lab"));
  STRCMP_EQUAL("listed twice", refused("lab", "labb", "lab"));
  STRCMP_EQUAL("", refused("labC", "labD", "lab"));  // learners do not affect majorities
}

// To replace a failed voter, first a successor that holds the log is added, then the failed voter
// is removed.
TEST(Membership, theSuccessorHoldsTheLogBeforeItVotesAndBeforeTheOldCopyGoes) {
  STRCMP_EQUAL("the successor is behind", refused("labC", "labc", "la"));
  STRCMP_EQUAL("", refused("labC", "labc", "lac"));
  STRCMP_EQUAL("too few of the old voters hold the log", refused("labc", "lac", "la"));
  STRCMP_EQUAL("", refused("labc", "lac", "lac"));
  // Five voters, two of which have failed.
  STRCMP_EQUAL("the successor is behind", refused("labcdE", "labcde", "lab"));
  STRCMP_EQUAL("", refused("labcdE", "labcde", "labe"));
  STRCMP_EQUAL("too few of the old voters hold the log", refused("labcde", "labce", "lab"));
  STRCMP_EQUAL("", refused("labcde", "labce", "labe"));
}

TEST(Membership, noMajorityIsLeftWaiting) {
  STRCMP_EQUAL("too few of the old voters hold the log", refused("labC", "labc", "lc"));
  STRCMP_EQUAL("too few of the old voters hold the log", refused("la", "l", "la"));
  // Growing from three to five voters and shrinking back, one at a time, with one voter
  // unreachable.
  STRCMP_EQUAL("", refused("labCD", "labcD", "labc"));
  STRCMP_EQUAL("", refused("labcd", "labc", "labc"));
  STRCMP_EQUAL("too few of the old voters hold the log", refused("labcd", "labc", "lad"));
  STRCMP_EQUAL("", refused("labc", "lab", "lab"));
}

// The entries that a member has lost are gone whether or not it stays a member, so it is not
// counted.
TEST(Membership, whoLostItsStateIsNotCounted) {
  STRCMP_EQUAL("", refused("lax", "la", "la", "x"));
  STRCMP_EQUAL("", refused("lx", "l", "l", "x"));
  STRCMP_EQUAL("", refused("lxB", "lxb", "lb", "x"));
  STRCMP_EQUAL("too few of the new voters hold the log", refused("lxyB", "lxyb", "lb", "xy"));
  STRCMP_EQUAL("too few of the old voters hold the log", refused("lax", "la", "l", "x"));
}

// The leader does not count a member without recent contact, regardless of how much of the log it
// held.
TEST(Membership, aLeaderRefusesWhatWouldWaitForOneThatIsAway) {
  Cluster cluster({"a", "b", "c", "d"});
  const auto order = leaderFirst(cluster);
  RaftNode& leader = cluster.at(order[0]);
  cluster.cut({order[0], order[1], order[2]}, {order[3]});
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

TEST(Membership, aLearnerVotesOnlyOnceItHasCaughtUp) {
  Cluster cluster({"a", "b", "c"});
  const auto order = leaderFirst(cluster);
  RaftNode& leader = cluster.at(order[0]);
  cluster.add("n", {});
  Membership members = leader.membership();
  members.push_back(voter("n"));
  members.back().voter = false;
  cluster.down.insert("n");
  CHECK(leader.proposeMembership(members, MonotonicTime{cluster.now}));
  cluster.run(100);
  CHECK(leader.membershipChangeRefusal(promoted(members, "n"), MonotonicTime{cluster.now}) ==
        MembershipChangeRefusal::newVoterBehind);
  cluster.down.clear();
  cluster.run(1000);
  CHECK(leader.isCaughtUp(ControllerId{"n"}));
  CHECK(leader.proposeMembership(promoted(members, "n"), MonotonicTime{cluster.now}));
  cluster.run(500);
  CHECK(cluster.at("n").role() == Role::follower);
}

namespace {

// Changes members at random while links are cut, messages are delayed or lost, and nodes are down.
// At each step the invariants are checked against every entry that was ever committed.
struct RandomChanges : Cluster {
  Random draws;
  std::vector<std::pair<std::int64_t, PeerMessage>> underWay;
  std::map<Term, std::string> leaders;
  std::map<LogIndex, std::pair<Term, std::string>> committed;
  std::map<std::string, LogIndex> checked;
  Membership inForce;  // from the latest committed membership entry
  LogIndex changedAt;
  std::size_t told = 0, changes = 0, blanks = 0;
  std::int64_t nextEvent = 0;

  explicit RandomChanges(std::uint64_t seed)
      : Cluster({"a", "b", "c", "d"}), draws(seed), inForce(voters({"a", "b", "c", "d"})) {}

  bool chance(std::int64_t in) { return draws.between(1, in) == 1; }
  const Member& any(const Membership& members) {
    return members[std::size_t(draws.between(0, std::int64_t(members.size()) - 1))];
  }
  void disturb() {
    cuts.clear();
    down.clear();
    for (const auto& [left, node] : nodes)
      for (const auto& [right, other] : nodes)
        if (left < right && chance(5))
          cuts.insert({left, right});
    if (chance(4))
      down.insert(any(inForce).id.value);
  }
  // Every leader tries a change, including a partitioned one.
  void tryChange() {
    for (auto& [id, node] : nodes) {
      if (!node->isLeader() || down.count(id))
        continue;
      Membership members = node->membership();
      Member& drawn = members[std::size_t(draws.between(0, std::int64_t(members.size()) - 1))];
      if (!drawn.voter)
        drawn.voter = true;
      else
        std::erase(members, Member(drawn));
      changes += node->proposeMembership(members, MonotonicTime{now});
    }
  }
  void joinBlank() {
    const auto members = inForce;
    for (auto& [id, node] : nodes)
      if (node->isBlank())
        node->setJoinAddress(any(members).address);
    if (nodes.size() < 12 && members.size() < 5 && chance(2))
      add("n" + std::to_string(++blanks), {});
  }
  void carry() {
    for (auto& message : step())
      if (!chance(20))
        underWay.emplace_back(now + draws.between(0, 60), std::move(message));
    for (auto& [due, message] : std::exchange(underWay, {}))
      if (due > now)
        underWay.emplace_back(due, std::move(message));
      else
        deliver(std::move(message));
  }
  void deliver(PeerMessage message) {
    if (message.to.value.empty())  // a join request of a blank node, sent to an address
      message.to =
          ControllerId{message.toAddress.value.substr(0, message.toAddress.value.find(':'))};
    if (reaches(message))
      nodes[message.to.value]->receive(message, MonotonicTime{now});
  }
  void checkLog(const std::string& id, const RaftNode& node) {
    for (LogIndex at = checked[id].next(); at <= node.commitIndex(); at = at.next()) {
      const LogEntry& entry = node.entry(at);
      const auto found = committed.emplace(at, std::make_pair(entry.term, entry.payload)).first;
      CHECK(found->second == std::make_pair(entry.term, entry.payload));
      if (entry.isMembership && at > changedAt) {
        inForce = unpack<Membership>(entry.payload).value();
        changedAt = at;
      }
      checked[id] = at;
    }
  }
  void checkAll() {
    for (const auto& [id, node] : nodes) {
      if (node->isLeader())
        CHECK_EQUAL(id, leaders.emplace(node->term(), id).first->second);
      checkLog(id, *node);
    }
    for (auto entry = nodes.begin(); entry != nodes.end();) {
      const bool out = entry->second->removedFromCluster();
      told += out;
      if (out)
        CHECK(!votes(entry->first));
      entry = out ? nodes.erase(entry) : std::next(entry);
    }
  }
  bool votes(const std::string& id) const {
    return std::any_of(inForce.begin(), inForce.end(),
                       [&](const Member& member) { return member.id.value == id && member.voter; });
  }
  void runFor(std::int64_t span) {
    for (const std::int64_t end = now + span; now < end; now += 10) {
      if (now >= nextEvent) {
        nextEvent = now + draws.between(200, 2500);
        disturb();
        joinBlank();
      }
      if (chance(30))
        tryChange();
      carry();
      checkAll();
    }
  }
};

}  // namespace

TEST(Membership, nobodyThatVotesIsToldThatItIsOut) {
  std::size_t told = 0, changes = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    RandomChanges cluster(seed);
    cluster.runFor(30'000);
    told += cluster.told;
    changes += cluster.changes;
  }
  CHECK(changes > 500);
  CHECK(told > 50);
}

TEST_GROUP(StopOfAController){};

// With one of three voters disconnected, the leader and the remaining follower hold the only
// complete copies. Neither may stop until the third voter has caught up.
TEST(StopOfAController, theLastFullCopiesAreMissed) {
  Cluster cluster({"a", "b", "c"});
  const auto order = leaderFirst(cluster);
  RaftNode& leader = cluster.at(order[0]);
  RaftNode& second = cluster.at(order[1]);
  CHECK(leader.isSafeToStop());
  CHECK(second.isSafeToStop());
  cluster.cut({order[0], order[1]}, {order[2]});
  cluster.run(50);
  const LogIndex written = leader.propose("written", MonotonicTime{cluster.now});
  cluster.run(500);
  CHECK(leader.commitIndex() >= written);
  CHECK(second.commitIndex() >= written);
  CHECK(!leader.isSafeToStop());
  CHECK(!second.isSafeToStop());
  cluster.cuts.clear();
  cluster.run(3000);
  CHECK(cluster.at(order[2]).commitIndex() >= written);
  for (const auto& id : order)
    CHECK(cluster.at(id).isSafeToStop());
}

// Transferring the leadership does not replicate the entries that only two voters hold.
TEST(StopOfAController, handingOverIsNotEnough) {
  Cluster cluster({"a", "b", "c"});
  const auto order = leaderFirst(cluster);
  RaftNode& leader = cluster.at(order[0]);
  cluster.cut({order[0], order[1]}, {order[2]});
  cluster.run(50);
  leader.propose("written", MonotonicTime{cluster.now});
  cluster.run(300);
  leader.transferLeadership(MonotonicTime{cluster.now});
  cluster.run(1000);
  CHECK(cluster.at(order[1]).canServe());
  CHECK(!leader.isLeader());
  CHECK(!leader.isSafeToStop());
  cluster.cuts.clear();
  cluster.run(3000);
  CHECK(leader.isSafeToStop());
}

// A member that is down may have lost its disk. Its copy does not count until it replies again.
TEST(StopOfAController, aCopyThatIsNotHeardIsNotCounted) {
  Cluster cluster({"a", "b", "c"});
  const auto order = leaderFirst(cluster);
  CHECK(cluster.at(order[0]).isSafeToStop());
  cluster.down.insert(order[2]);
  cluster.run(2000);
  CHECK(!cluster.at(order[0]).isSafeToStop());
  CHECK(!cluster.at(order[1]).isSafeToStop());
  cluster.down.clear();
  cluster.run(500);
  CHECK(cluster.at(order[0]).isSafeToStop());
  CHECK(cluster.at(order[1]).isSafeToStop());
}

// A single voter or a learner may stop, since no other copy exists or its own is not needed.
TEST(StopOfAController, aLoneOneOrALearnerIsNotWaitedFor) {
  Cluster alone({"a"});
  CHECK_EQUAL(std::string("a"), alone.elect());
  CHECK(alone.at("a").isSafeToStop());
  RaftNode blank(voter("n"), {}, 1, {}, MonotonicTime{0});
  CHECK(blank.isSafeToStop());
}

// If the leader's log starts after the removal, the position of the snapshot proves the removal.
TEST(Membership, aRemovalIsToldAfterItsEntryIsCompacted) {
  Cluster cluster({"a", "b", "c", "d"});
  const auto order = leaderFirst(cluster);
  RaftNode& leader = cluster.at(order[0]);
  cluster.down.insert(order[3]);
  CHECK(
      leader.proposeMembership(without(leader.membership(), order[3]), MonotonicTime{cluster.now}));
  for (std::size_t count = 0; count < 2 * RaftOptions{}.retainedEntries; ++count)
    leader.propose("entry", MonotonicTime{cluster.now});
  cluster.run(2000);
  leader.compact(leader.commitIndex(), "state");
  cluster.down.clear();
  cluster.run(5000);
  CHECK(cluster.at(order[3]).removedFromCluster());
}
