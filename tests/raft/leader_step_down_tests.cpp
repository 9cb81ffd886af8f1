// Tests that a leader steps down if the other members are silent, but not if it was delayed itself.
// docs/design.md 3.2.
#include "raft/node.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

TEST_GROUP(LeaderStepDownTests) {
  Membership members{{ControllerId{"a"}, Address{"a:1"}, ZoneName{"x"}, true},
                     {ControllerId{"b"}, Address{"b:1"}, ZoneName{"y"}, true},
                     {ControllerId{"c"}, Address{"c:1"}, ZoneName{"z"}, true}};
  std::int64_t now = 0;
  std::map<std::string, std::unique_ptr<RaftNode>> nodes;
  std::vector<PeerMessage> unreadMessages;  // messages to the leader while it is paused
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
  // Runs every node except `pausedId`, whose incoming messages stay unread or, with `dropMessages`,
  // are lost.
  void run(std::int64_t duration, const std::string& pausedId = "", bool dropMessages = false) {
    for (const std::int64_t end = now + duration; now < end; now += 10) {
      std::vector<PeerMessage> sent;
      for (auto& [id, node] : nodes) {
        if (id != pausedId)
          node->tick(MonotonicTime{now}, WallTime{now});
        while (auto record = node->takeWrite())
          node->onWriteSynced(record->version, MonotonicTime{now});
        for (auto& message : node->takeMessages())
          sent.push_back(std::move(message));
      }
      for (auto& message : sent)
        if (message.to.value != pausedId)
          nodes[message.to.value]->receive(message, MonotonicTime{now});
        else if (!dropMessages)
          unreadMessages.push_back(std::move(message));
    }
  }
  void deliverUnread() {
    for (const auto& message : std::exchange(unreadMessages, {}))
      nodes[leader]->receive(message, MonotonicTime{now});
  }
};

// One step of the leader took 1.2 s, longer than any election timeout, and the next call is a tick.
// The replies that arrived meanwhile are read only after it.
TEST(LeaderStepDownTests, pausedLeaderReadsRepliesBeforeSteppingDown) {
  nodes[leader]->tick(MonotonicTime{now}, WallTime{now});
  const auto leaderMessages = nodes[leader]->takeMessages();
  for (const auto& message : leaderMessages)
    nodes[message.to.value]->receive(message, MonotonicTime{now});
  for (auto& [id, node] : nodes)
    if (id != leader)
      for (auto& message : node->takeMessages())
        unreadMessages.push_back(std::move(message));
  now += 1200;
  nodes[leader]->tick(MonotonicTime{now}, WallTime{now});
  CHECK(nodes[leader]->isLeader());
  deliverUnread();
  nodes[leader]->tick(MonotonicTime{now + 10}, WallTime{now});
  CHECK(nodes[leader]->isLeader());
}

// A leader that is disconnected but not paused steps down within the election timeout.
TEST(LeaderStepDownTests, disconnectedLeaderStepsDown) {
  for (std::int64_t count = 0; count < 120 && nodes[leader]->isLeader(); ++count, now += 10) {
    nodes[leader]->tick(MonotonicTime{now}, WallTime{now});
    nodes[leader]->takeMessages();
  }
  CHECK(!nodes[leader]->isLeader());
}

// Repeated pauses cannot postpone the step-down indefinitely.
TEST(LeaderStepDownTests, repeatedlyPausedLeaderStepsDown) {
  const std::int64_t startedAt = now;
  while (nodes[leader]->isLeader() && now - startedAt < 20'000) {
    now += 400;
    nodes[leader]->tick(MonotonicTime{now}, WallTime{now});
    nodes[leader]->takeMessages();
  }
  CHECK(now - startedAt <= 6000);
}

// A leader that was paused while a successor was elected learns of it and stops leading.
TEST(LeaderStepDownTests, pausedLeaderAcceptsItsSuccessor) {
  run(3000, leader);
  std::size_t otherLeaders = 0;
  for (const auto& [id, node] : nodes)
    otherLeaders += id != leader && node->isLeader();
  LONGS_EQUAL(1, otherLeaders);
  nodes[leader]->tick(MonotonicTime{now}, WallTime{now});
  deliverUnread();
  CHECK(!nodes[leader]->isLeader());
}

// With a thousand requests per second and messages delayed by 200 ms, the number of messages in
// flight stays bounded and the leader keeps its leadership.
TEST(LeaderStepDownTests, manyRequestsKeepMessagesInFlightBounded) {
  constexpr std::int64_t messageDelay = 200;
  std::deque<std::pair<std::int64_t, PeerMessage>> messagesInFlight;
  std::size_t leaderMessages = 0;
  const std::int64_t startedAt = now;
  for (; now - startedAt < 3000; ++now) {
    nodes[leader]->startRound(MonotonicTime{now});
    for (auto& [id, node] : nodes) {
      node->tick(MonotonicTime{now}, WallTime{now});
      while (auto record = node->takeWrite())
        node->onWriteSynced(record->version, MonotonicTime{now});
      for (auto& message : node->takeMessages()) {
        leaderMessages += id == leader;
        messagesInFlight.emplace_back(now + messageDelay, std::move(message));
      }
    }
    while (!messagesInFlight.empty() && messagesInFlight.front().first <= now) {
      nodes[messagesInFlight.front().second.to.value]->receive(messagesInFlight.front().second,
                                                               MonotonicTime{now});
      messagesInFlight.pop_front();
    }
    CHECK(nodes[leader]->isLeader());
    if (!nodes[leader]->isLeader())
      return;
  }
  CHECK(leaderMessages < 2 * 3000 / 25);
}

// If the replies arrive without delay, a round does not wait for the heartbeat interval.
TEST(LeaderStepDownTests, roundIsConfirmedWithoutWaitingForTheHeartbeat) {
  for (std::size_t count = 0; count < 50; ++count) {
    const RoundNumber requestedRound = nodes[leader]->startRound(MonotonicTime{now});
    run(30);
    CHECK(nodes[leader]->confirmedRound() >= requestedRound);
  }
}
