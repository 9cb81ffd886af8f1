// Requests other than configuration updates that are repeated after their response was lost are
// recognised by their content. docs/design.md 8.2.
#include "controller_cluster.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

namespace {

ApiRequest replacement(const std::string& id) {
  ApiRequest request;
  request.kind = RequestKind::replaceController;
  request.targetId = id;
  return request;
}
std::string nameOf(std::size_t index) {
  return "c" + std::to_string(index);
}

// Returns a configuration with one ingress route, which leads to the given queue.
ApiRequest ingressRouteTo(const std::string& queue, std::uint64_t base) {
  ClusterConfig config = ClusterConfig::parse("{\"queues\":{\"" + queue + "\":{}}}").value();
  config.ingressRoutes = {{"host", "/in/", QueueName{queue}}};
  config.version = ConfigVersion{base + 1};
  config.text = "version " + std::to_string(base + 1);
  ApiRequest request;
  request.kind = RequestKind::applyConfig;
  request.baseVersion = ConfigVersion{base};
  request.packedConfig = pack(config);
  return request;
}
ApiRequest submission(const std::string& payload) {
  ApiRequest request;
  request.kind = RequestKind::submitJob;
  request.host = "host";
  request.path = "/in/job";
  request.job.payload = payload;
  request.job.steps = {{"0", {}, false, {TaskRequest{1000, 1, Duration{1000}, ""}}}};
  return request;
}

}  // namespace

TEST_GROUP(RepeatedRequestTests){};

TEST(RepeatedRequestTests, completedReplacementIsAcknowledgedAgain) {
  ControllerCluster cluster(3, 1);
  const std::size_t leader = cluster.leader();
  const std::string replaced = nameOf((leader + 1) % 3);
  LONGS_EQUAL(202, cluster.askLeader(replacement(replaced)).status);
  LONGS_EQUAL(202, cluster.askLeader(replacement(replaced)).status);
  cluster.run(20'000);
  const auto& members = cluster.controller(cluster.leader()).raftNode().membership();
  CHECK(std::none_of(members.begin(), members.end(),
                     [&](const Member& member) { return member.id.value == replaced; }));
  LONGS_EQUAL(202, cluster.askLeader(replacement(replaced)).status);
  LONGS_EQUAL(404, cluster.askLeader(replacement("nobody")).status);
  // The request is also recognised after a change of leader.
  cluster.kill(cluster.leader());
  LONGS_EQUAL(202, cluster.askLeader(replacement(replaced)).status);
}

TEST(RepeatedRequestTests, replacementIsAcknowledgedAgainByNamedController) {
  ControllerCluster cluster(3);
  const std::size_t leader = cluster.leader();
  LONGS_EQUAL(409, cluster.askLeader(replacement(nameOf(leader))).status);
  for (std::size_t index = 0; index < 3; ++index)
    if (index != leader)
      LONGS_EQUAL(202, cluster.askLeader(replacement(nameOf(index))).status);
  cluster.kill(leader);
  cluster.run(3000);
  LONGS_EQUAL(202, cluster.askLeader(replacement(nameOf(cluster.leader()))).status);
}

// A submission through an ingress route names no queue, and the queue of the route may change
// before the submission is repeated.
TEST(RepeatedRequestTests, jobIsRecognisedAfterItsRouteChangesQueue) {
  ControllerCluster cluster(1);
  LONGS_EQUAL(200, cluster.askLeader(ingressRouteTo("proofs", 0)).status);
  LONGS_EQUAL(202, cluster.askLeader(submission("one")).status);
  LONGS_EQUAL(200, cluster.askLeader(ingressRouteTo("plates", 1)).status);
  LONGS_EQUAL(202, cluster.askLeader(submission("one")).status);
  LONGS_EQUAL(409, cluster.askLeader(submission("other")).status);
  LONGS_EQUAL(1, cluster.controller(0).committed().jobs().size());
}

TEST(RepeatedRequestTests, cancelledJobIsAcknowledgedAgainAndStaysCancelled) {
  ControllerCluster cluster(1);
  LONGS_EQUAL(200, cluster.askLeader(ingressRouteTo("proofs", 0)).status);
  LONGS_EQUAL(202, cluster.askLeader(submission("one")).status);
  ApiRequest cancel = submission("");
  cancel.kind = RequestKind::cancelJob;
  LONGS_EQUAL(200, cluster.askLeader(cancel).status);
  LONGS_EQUAL(200, cluster.askLeader(cancel).status);
  cluster.run(70'000);  // beyond the time after which a finished job is compacted
  LONGS_EQUAL(202, cluster.askLeader(submission("one")).status);
  LONGS_EQUAL(200, cluster.askLeader(cancel).status);
  LONGS_EQUAL(409, cluster.askLeader(submission("other")).status);
  CHECK(cluster.controller(0).committed().jobs().at(JobId{"job"}).state == JobState::cancelled);
}
