// Tests a node whose disk refuses writes: it stays, but neither leads nor starts elections, and
// returns by itself. docs/design.md 3.3.
#include "node_links.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

TEST_GROUP(DiskFailureTests) {
  NodeLinks links{3};
  void waitForLeader() {
    CHECK(links.runUntil(
        [&] {
          RaftNode* leader = links.leader();
          if (leader && !leader->canServe() && !proposedTerms.count(leader->term())) {
            proposedTerms.insert(leader->term());
            leader->propose("opened", MonotonicTime{links.now});
          }
          return leader && leader->canServe();
        },
        10'000));
  }
  std::set<Term> proposedTerms;
};

TEST(DiskFailureTests, aLeaderWhoseDiskRefusesWritesHandsOver) {
  waitForLeader();
  RaftNode& leader = *links.leader();
  leader.setDiskWritable(false);
  CHECK(links.runUntil([&] { return links.leader() && links.leader() != &leader; }, 3000));
  CHECK_FALSE(leader.isLeader());
}

TEST(DiskFailureTests, aNodeWhoseDiskRefusesWritesStartsNoElection) {
  waitForLeader();
  RaftNode& leader = *links.leader();
  std::vector<RaftNode*> others;
  for (auto& [id, node] : links.nodes)
    if (node.get() != &leader)
      others.push_back(node.get());
  others[0]->setDiskWritable(false);
  const Term before = leader.term();
  links.stopNode(others[1]->self().id);
  links.stopNode(leader.self().id);
  links.run(5000);
  LONGS_EQUAL(before.value, others[0]->term().value);
  CHECK(others[0]->role() == Role::follower);
  others[0]->setDiskWritable(true);
  links.run(2000);
  CHECK(others[0]->role() == Role::candidate);
}
