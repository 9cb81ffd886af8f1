// Tests that a leader steps down if the other members are silent, but not if it was delayed itself.
// docs/design.md 3.2.
#include "raft/node.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

TEST_GROUP(LeaderTests) {
  Membership members{{ControllerId{"a"}, Address{"a:1"}, ZoneName{"x"}, true},
                     {ControllerId{"b"}, Address{"b:1"}, ZoneName{"y"}, true},
                     {ControllerId{"c"}, Address{"c:1"}, ZoneName{"z"}, true}};
  std::int64_t now = 0;
  std::map<std::string, std::unique_ptr<RaftNode>> nodes;
  std::vector<PeerMessage> unread;  // messages to the leader while it is paused
  std::string leader;

  void setup() override {
    WriteAheadRecord record;
    record.version = DiskVersion{1};
    record.holdsSnapshot = true;
    record.term = Term{1};
    record.firstIndex = LogIndex{1};
    record.entries.push_back({Term{1}, true, pack(members)});
    std::uint64_t seed = 1;
    for (const auto& member : members)
      nodes[member.id.value] = std::make_unique<RaftNode>(
          member, RaftOptions{}, seed++, std::vector<WriteAheadRecord>{record}, MonotonicTime{0});
    while (leader.empty() && now < 10'000) {
      run(10);
      for (const auto& [id, node] : nodes)
        if (node->isLeader())
          leader = id;
    }
    run(300);
  }
  // Runs every node except `busy`, whose incoming messages stay unread. With `cut`, they are
  // dropped.
  void run(std::int64_t span, const std::string& busy = "", bool cut = false) {
    for (const std::int64_t end = now + span; now < end; now += 10) {
      std::vector<PeerMessage> sent;
      for (auto& [id, node] : nodes) {
        if (id != busy)
          node->tick(MonotonicTime{now}, WallTime{now});
        while (auto record = node->takeWrite())
          node->onWriteSynced(record->version, MonotonicTime{now});
        for (auto& message : node->takeMessages())
          sent.push_back(std::move(message));
      }
      for (auto& message : sent)
        if (message.to.value != busy)
          nodes[message.to.value]->receive(message, MonotonicTime{now});
        else if (!cut)
          unread.push_back(std::move(message));
    }
  }
  void read() {
    for (const auto& message : std::exchange(unread, {}))
      nodes[leader]->receive(message, MonotonicTime{now});
  }
};

// One step of the leader took 1.2 s, longer than any election timeout, and the next call is a tick.
// The replies that arrived meanwhile are read only after it.
TEST(LeaderTests, oneThatWasBusyReadsBeforeItStepsDown) {
  nodes[leader]->tick(MonotonicTime{now}, WallTime{now});
  const auto requests = nodes[leader]->takeMessages();
  for (const auto& message : requests)
    nodes[message.to.value]->receive(message, MonotonicTime{now});
  for (auto& [id, node] : nodes)
    if (id != leader)
      for (auto& message : node->takeMessages())
        unread.push_back(std::move(message));
  now += 1200;
  nodes[leader]->tick(MonotonicTime{now}, WallTime{now});
  CHECK(nodes[leader]->isLeader());
  read();
  nodes[leader]->tick(MonotonicTime{now + 10}, WallTime{now});
  CHECK(nodes[leader]->isLeader());
}

// A leader that is disconnected but not paused steps down within the election timeout.
TEST(LeaderTests, oneThatIsCutOffStepsDown) {
  for (std::int64_t count = 0; count < 120 && nodes[leader]->isLeader(); ++count, now += 10) {
    nodes[leader]->tick(MonotonicTime{now}, WallTime{now});
    nodes[leader]->takeMessages();
  }
  CHECK(!nodes[leader]->isLeader());
}

// Repeated pauses cannot postpone the step-down indefinitely.
TEST(LeaderTests, oneThatIsCutOffAndBusyStepsDownToo) {
  const std::int64_t begun = now;
  while (nodes[leader]->isLeader() && now - begun < 20'000) {
    now += 400;
    nodes[leader]->tick(MonotonicTime{now}, WallTime{now});
    nodes[leader]->takeMessages();
  }
  CHECK(now - begun <= 6000);
}

// A leader that was paused while a successor was elected learns of it and stops leading.
TEST(LeaderTests, oneThatWasFrozenGivesWay) {
  run(3000, leader);
  std::size_t others = 0;
  for (const auto& [id, node] : nodes)
    others += id != leader && node->isLeader();
  LONGS_EQUAL(1, others);
  nodes[leader]->tick(MonotonicTime{now}, WallTime{now});
  read();
  CHECK(!nodes[leader]->isLeader());
}

// With a thousand requests per second and replies delayed by 200 ms, the number of messages in
// flight stays bounded and the leader keeps its leadership.
TEST(LeaderTests, manyRoundsDoNotHideTheAnswers) {
  constexpr std::int64_t way = 200;
  std::deque<std::pair<std::int64_t, PeerMessage>> underWay;
  std::size_t requests = 0;
  const std::int64_t begun = now;
  for (; now - begun < 3000; ++now) {
    nodes[leader]->startRound(MonotonicTime{now});
    for (auto& [id, node] : nodes) {
      node->tick(MonotonicTime{now}, WallTime{now});
      while (auto record = node->takeWrite())
        node->onWriteSynced(record->version, MonotonicTime{now});
      for (auto& message : node->takeMessages()) {
        requests += id == leader;
        underWay.emplace_back(now + way, std::move(message));
      }
    }
    while (!underWay.empty() && underWay.front().first <= now) {
      nodes[underWay.front().second.to.value]->receive(underWay.front().second, MonotonicTime{now});
      underWay.pop_front();
    }
    CHECK(nodes[leader]->isLeader());
    if (!nodes[leader]->isLeader())
      return;
  }
  CHECK(requests < 2 * 3000 / 25);
}

// If the replies arrive without delay, a round does not wait for the heartbeat interval.
TEST(LeaderTests, aRoundIsConfirmedAsSoonAsTheOthersAnswer) {
  for (std::size_t count = 0; count < 50; ++count) {
    const RoundNumber wanted = nodes[leader]->startRound(MonotonicTime{now});
    run(30);
    CHECK(nodes[leader]->confirmedRound() >= wanted);
  }
}
