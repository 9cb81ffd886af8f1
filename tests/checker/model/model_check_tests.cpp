// Tests that the model checker finds no violation in the Raft implementation and finds every
// injected defect.
#include "checker/model/describe.hpp"
#include "checker/model/scenarios.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;
using namespace aniseline::model;

namespace {

constexpr std::uint64_t quickBound = 3000;

std::string searchFinding(const ModelCluster& start, std::uint64_t states = quickBound) {
  const auto report = searchBreadthFirst(start, {states, 1000});
  return report.counterexample ? print(start, *report.counterexample) : "nothing";
}

std::string brokenRule(const std::string& name, const SeededDefect& defect,
                       bool outcomesOnly = false, std::uint64_t states = 60'000) {
  const auto start = prepare(scenario(name), defect, outcomesOnly);
  const auto report = searchBreadthFirst(start, {states, 1000});
  if (!report.counterexample)
    return "nothing";
  return report.counterexample->rule.substr(0, report.counterexample->rule.find(':'));
}

SeededDefect diskThatDropsWrites() {
  SeededDefect defect;
  defect.acknowledgesUnsyncedWrites = true;
  return defect;
}

}  // namespace

TEST_GROUP(ModelCheckTests){};

TEST(ModelCheckTests, noScenarioViolatesAnInvariant) {
  for (const auto& each : scenarios()) {
    if (each.name == "removal" || each.name == "lost disk")
      continue;  // covered by the next test
    STRCMP_EQUAL_TEXT("nothing", searchFinding(prepare(each)).c_str(), each.name.c_str());
  }
}

// A member is told that it was removed only by a committed membership change. docs/design.md 3.5.
TEST(ModelCheckTests, aPendingRemovalRemovesNoMember) {
  for (const std::string name : {"removal", "lost disk"})
    STRCMP_EQUAL("nothing", searchFinding(prepare(scenario(name))).c_str());
}

TEST(ModelCheckTests, randomWalksFindNoViolation) {
  for (const std::string name : {"election", "entry", "fork", "snapshot", "slow disk"}) {
    const auto start = withWalkOptions(prepare(scenario(name)));
    const auto report = searchRandomly(start, {1, 40, 80});
    STRCMP_EQUAL("nothing",
                 report.counterexample ? print(start, *report.counterexample).c_str() : "nothing");
    CHECK(report.states > 500);
  }
}

TEST(ModelCheckTests, findsUnsyncedWriteAcknowledgements) {
  STRCMP_EQUAL("a claim is behind its sync", brokenRule("entry", diskThatDropsWrites()).c_str());
  STRCMP_EQUAL("a vote is behind its sync", brokenRule("election", diskThatDropsWrites()).c_str());
}

TEST(ModelCheckTests, findsUnsyncedWriteAcknowledgementsByOutcomesOnly) {
  STRCMP_EQUAL("one leader a term",
               brokenRule("slow disk", diskThatDropsWrites(), true, 400'000).c_str());
}

TEST(ModelCheckTests, findsARestartFromAnOlderDisk) {
  SeededDefect defect;
  defect.restartsFromOldDisk = true;
  const auto start = prepare(scenario("restarts"), defect, true);
  const auto report = searchBreadthFirst(start, {100'000, 1000});
  CHECK(report.counterexample.has_value());
  STRCMP_CONTAINS("one vote a term", report.counterexample->rule.c_str());
}

TEST(ModelCheckTests, findsAnAcknowledgementBeyondTheDisk) {
  SeededDefect defect;
  defect.mutateMessage = [](PeerMessage& message) {
    if (auto* reply = boost::get<AppendEntriesReply>(&message.body); reply && reply->success)
      reply->matchIndex = reply->lastLogIndex = LogIndex{3};
  };
  STRCMP_EQUAL("committed is on a majority of disks", brokenRule("entry", defect).c_str());
}

TEST(ModelCheckTests, findsAReadConfirmedByRepliesOfALaterTerm) {
  SeededDefect defect;
  defect.mutateMessage = [](PeerMessage& message) {
    auto* reply = boost::get<AppendEntriesReply>(&message.body);
    if (!reply)
      return;
    reply->term = Term{2};
    reply->round = RoundNumber{1000};
  };
  STRCMP_EQUAL("no old read", brokenRule("read", defect).c_str());
}

TEST(ModelCheckTests, findsForgedVotes) {
  SeededDefect defect;
  defect.mutateMessage = [](PeerMessage& message) {
    auto* reply = boost::get<RequestVoteReply>(&message.body);
    if (!reply || reply->voteGranted)
      return;
    reply->voteGranted = true;
    reply->term = reply->term.next();  // the term for which the vote was requested
  };
  STRCMP_EQUAL("leader completeness", brokenRule("behind", defect, true).c_str());
}

TEST(ModelCheckTests, breadthFirstSearchFindsAShortestTrace) {
  const auto start = prepare(scenario("entry"), diskThatDropsWrites());
  const auto report = searchBreadthFirst(start, {60'000, 1000});
  CHECK(report.counterexample.has_value());
  const auto rule = replay(start, report.counterexample->trace);
  CHECK(rule.has_value());
  STRCMP_EQUAL(report.counterexample->rule.c_str(), rule->c_str());
  for (std::size_t left = 0; left < report.counterexample->trace.size(); ++left) {
    Trace fewer = report.counterexample->trace;
    fewer.erase(fewer.begin() + std::ptrdiff_t(left));
    CHECK(!replay(start, fewer));
  }
}

TEST(ModelCheckTests, shortenedWalksViolateTheSameInvariant) {
  const auto start = withWalkOptions(prepare(scenario("entry")), false, diskThatDropsWrites());
  const auto report = searchRandomly(start, {1, 200, 120});
  CHECK(report.counterexample.has_value());
  CHECK(report.counterexample->trace.size() < 12);
  STRCMP_EQUAL(report.counterexample->rule.c_str(),
               replay(start, report.counterexample->trace)->c_str());
}

TEST(ModelCheckTests, searchIsDeterministic) {
  const auto start = prepare(scenario("fork"));
  const auto first = searchBreadthFirst(start, {quickBound, 1000});
  const auto second = searchBreadthFirst(start, {quickBound, 1000});
  LONGS_EQUAL(first.transitions, second.transitions);
  LONGS_EQUAL(first.depth, second.depth);
}

// Actions of different nodes commute: both orders lead to the same state.
TEST(ModelCheckTests, commutingActionsLeadToOneState) {
  const auto start = prepare(scenario("entry"));
  Trace arrivals;
  for (const auto& action : start.enabledActions())
    if (action.kind == ActionKind::deliver)
      arrivals.push_back(action);
  LONGS_EQUAL(2, arrivals.size());
  auto forward = start, backward = start;
  CHECK(forward.apply(arrivals[0]) && forward.apply(arrivals[1]));
  CHECK(backward.apply(arrivals[1]) && backward.apply(arrivals[0]));
  CHECK(forward.hash() == backward.hash());
  CHECK(forward.hash() != start.hash());
}

// A restarted node has the state that the model computes from the synced records.
TEST(ModelCheckTests, restartsReadTheSyncedState) {
  for (const auto& each : scenarios()) {
    auto cluster = prepare(each);
    for (std::size_t machine = 0; machine < cluster.machines(); ++machine) {
      const DiskImage image = cluster.node(machine).diskImage;
      auto after = cluster;
      after.setOptions(std::make_shared<ModelOptions>());
      CHECK(after.apply({ActionKind::restart, std::uint8_t(machine)}));
      const auto& raft = after.node(machine).raft;
      LONGS_EQUAL(image.lastIndex().value, raft.lastIndex().value);
      LONGS_EQUAL(image.term.value, raft.term().value);
      for (LogIndex index = raft.logBaseIndex().next(); index <= raft.lastIndex();
           index = index.next())
        CHECK(image.contains(index, raft.entry(index).term));
    }
  }
}
