// Tests of the cluster's identity across controllers: a cluster whose stored data has no id agrees
// on one, and a leader takes no request that is meant for another cluster. docs/design.md 3.8.
#include "controller_cluster.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

TEST_GROUP(AgreedClusterIdTests) {
  ControllerCluster cluster{3};  // its initial records have no id

  std::string idAt(std::size_t index) {
    return cluster.controller(index).raftNode().cluster().value;
  }
};

TEST(AgreedClusterIdTests, storedDataWithoutAnIdGetsOneByAgreement) {
  const std::string agreed = idAt(0);
  CHECK(!agreed.empty());
  for (std::size_t index = 1; index < cluster.size(); ++index)
    STRCMP_EQUAL(agreed.c_str(), idAt(index).c_str());
}

TEST(AgreedClusterIdTests, theIdOutlivesChangesOfLeaderAndRestarts) {
  const std::string agreed = idAt(0);
  for (int change = 0; change < 3; ++change) {
    const std::size_t leader = cluster.leader();
    cluster.kill(leader);
    cluster.run(4000);
    cluster.start(leader);
    cluster.run(4000);
    for (std::size_t index = 0; index < cluster.size(); ++index)
      STRCMP_EQUAL(agreed.c_str(), idAt(index).c_str());
  }
}

TEST(AgreedClusterIdTests, aRequestForAnotherClusterIsNotTaken) {
  ApiRequest request;
  request.kind = RequestKind::showCluster;
  request.cluster = ClusterId{"another"};
  const RequestNumber number = cluster.submit(cluster.leader(), request);
  cluster.run(100);
  const auto response = cluster.response(number);
  CHECK(response.has_value());
  LONGS_EQUAL(503, response->status);
  CHECK(response->notLeader);
  CHECK(response->leader.value.empty());
  request.cluster = ClusterId{idAt(0)};
  LONGS_EQUAL(200, cluster.askLeader(request).status);
}
