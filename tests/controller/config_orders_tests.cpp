// Configuration updates are recognised by their content. A repeated update that was applied is
// acknowledged again or gets an unclear answer, but is never rejected; of several different updates
// with the same version, exactly one is confirmed. docs/design.md 6.1.
#include "controller_cluster.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

namespace {

// Returns an update as an adapter sends it, with its version in the text.
ApiRequest configUpdate(std::uint64_t version, std::uint64_t base,
                        const std::string& queue = "proofs") {
  ClusterConfig config = ClusterConfig::parse("{\"queues\":{\"" + queue + "\":{}}}").value();
  config.version = ConfigVersion{version};
  config.text = "version " + std::to_string(version) + ", queue " + queue;
  ApiRequest request;
  request.kind = RequestKind::applyConfig;
  request.baseVersion = ConfigVersion{base};
  request.packedConfig = pack(config);
  return request;
}
// Returns an update as the native API sends it, which leaves the version to the leader.
ApiRequest unnumberedUpdate(std::uint64_t base, const std::string& queue = "proofs") {
  ApiRequest request;
  request.kind = RequestKind::applyConfig;
  request.baseVersion = ConfigVersion{base};
  request.text = "{\"queues\":{\"" + queue + "\":{}}}";
  return request;
}
// Returns a patch that adds or replaces a queue. With version 0 the leader assigns the version.
ApiRequest patch(std::uint64_t version, std::uint64_t base, const std::string& queue = "extra") {
  ApiRequest request;
  request.kind = RequestKind::patchConfig;
  request.baseVersion = ConfigVersion{base};
  const std::string number = version ? "\"version\":" + std::to_string(version) + "," : "";
  request.text = "{" + number + "\"upsert\":{\"queues\":{\"" + queue + "\":{\"retries\":3}}}}";
  return request;
}
bool isRejection(int status) {
  return status >= 400 && status < 500 && status != 408 && status != 429;
}
std::uint64_t currentVersion(ControllerCluster& cluster) {
  return cluster.controller(cluster.leader()).committed().config().version.value;
}

}  // namespace

TEST_GROUP(ConfigUpdateTests){};

TEST(ConfigUpdateTests, appliedUpdateIsAcknowledgedAgainAfterLaterUpdates) {
  ControllerCluster cluster(1);
  LONGS_EQUAL(200, cluster.askLeader(configUpdate(5, 0)).status);
  LONGS_EQUAL(200, cluster.askLeader(configUpdate(7, 5)).status);
  LONGS_EQUAL(200, cluster.askLeader(configUpdate(9, 7)).status);
  LONGS_EQUAL(200, cluster.askLeader(configUpdate(7, 5)).status);
  LONGS_EQUAL(200, cluster.askLeader(configUpdate(5, 0)).status);
  LONGS_EQUAL(9, currentVersion(cluster));
  // A different text with the same version, on the same base or another one, and a different
  // version on the same base.
  LONGS_EQUAL(409, cluster.askLeader(configUpdate(7, 5, "plates")).status);
  LONGS_EQUAL(400, cluster.askLeader(configUpdate(7, 9, "plates")).status);
  LONGS_EQUAL(409, cluster.askLeader(configUpdate(8, 5)).status);
  LONGS_EQUAL(9, currentVersion(cluster));
}

TEST(ConfigUpdateTests, unnumberedUpdateIsRecognisedByBaseAndText) {
  ControllerCluster cluster(1);
  for (std::uint64_t base = 0; base < 3; ++base)
    LONGS_EQUAL(200, cluster.askLeader(unnumberedUpdate(base)).status);
  const ApiResponse repeated = cluster.askLeader(unnumberedUpdate(1));
  LONGS_EQUAL(200, repeated.status);
  STRCMP_EQUAL("{\"version\":2}", repeated.body.c_str());
  LONGS_EQUAL(409, cluster.askLeader(unnumberedUpdate(1, "plates")).status);
  LONGS_EQUAL(3, currentVersion(cluster));
}

TEST(ConfigUpdateTests, updatesAreRecognisedAfterSnapshotsAndRestart) {
  ControllerOptions options;
  options.maxRecordsBetweenSnapshots = 5;
  options.raft.retainedEntries = 3;
  ControllerCluster cluster(1, 0, options);
  const std::uint64_t count = 40;
  for (std::uint64_t version = 1; version <= count; ++version)
    LONGS_EQUAL(200, cluster.askLeader(configUpdate(2 * version, 2 * version - 2)).status);
  CHECK(cluster.controller(0).raftNode().logBaseIndex() > LogIndex{20});
  cluster.kill(0);
  cluster.start(0);
  for (std::uint64_t version = 1; version <= count; ++version) {
    LONGS_EQUAL(200, cluster.askLeader(configUpdate(2 * version, 2 * version - 2)).status);
    CHECK(isRejection(
        cluster.askLeader(configUpdate(2 * version, 2 * version - 2, "plates")).status));
  }
  LONGS_EQUAL(2 * count, currentVersion(cluster));
}

TEST(ConfigUpdateTests, nextLeaderRecognisesAppliedUpdates) {
  ControllerCluster cluster(3);
  LONGS_EQUAL(200, cluster.askLeader(configUpdate(5, 0)).status);
  LONGS_EQUAL(200, cluster.askLeader(configUpdate(7, 5)).status);
  const std::size_t first = cluster.leader();
  // The response is lost together with the leader.
  cluster.submit(first, configUpdate(9, 7));
  cluster.run(50);
  cluster.kill(first);
  LONGS_EQUAL(200, cluster.askLeader(configUpdate(9, 7)).status);
  LONGS_EQUAL(200, cluster.askLeader(configUpdate(12, 9)).status);
  cluster.start(first);
  cluster.run(500);
  for (int round = 0; round < 3; ++round) {
    LONGS_EQUAL(200, cluster.askLeader(configUpdate(9, 7)).status);
    LONGS_EQUAL(200, cluster.askLeader(configUpdate(7, 5)).status);
    CHECK(isRejection(cluster.askLeader(configUpdate(9, 7, "plates")).status));
    const std::size_t leader = cluster.leader();
    cluster.kill(leader);
    cluster.run(2000);
    cluster.start(leader);
  }
}

// Eight updates are submitted at once and share one group commit. Exactly one is confirmed, and
// each gets the same response when it is repeated, including the rejected ones.
TEST(ConfigUpdateTests, oneOfEightUpdatesInOneCommitIsConfirmed) {
  ControllerCluster cluster(3);
  LONGS_EQUAL(200, cluster.askLeader(configUpdate(5, 0)).status);
  std::vector<RequestNumber> requestNumbers;
  for (int index = 0; index < 8; ++index)
    requestNumbers.push_back(cluster.submit(
        cluster.leader(), configUpdate(7 + index % 3, 5, "q" + std::to_string(index))));
  cluster.run(200);
  int confirmed = 0;
  for (int index = 0; index < 8; ++index) {
    const auto apiResponse = cluster.response(requestNumbers[std::size_t(index)]);
    CHECK(apiResponse.has_value());
    confirmed += apiResponse->status == 200;
    CHECK(apiResponse->status == 200 || isRejection(apiResponse->status));
    const auto repeated =
        cluster.askLeader(configUpdate(7 + index % 3, 5, "q" + std::to_string(index)));
    LONGS_EQUAL(apiResponse->status, repeated.status);
  }
  LONGS_EQUAL(1, confirmed);
}

// Two operators may send identical updates. They count as one update, and both operators are told
// that it was accepted.
TEST(ConfigUpdateTests, identicalTextsCountAsOneUpdate) {
  ControllerCluster cluster(3);
  LONGS_EQUAL(200, cluster.askLeader(configUpdate(5, 0)).status);
  const auto firstOperator = cluster.submit(cluster.leader(), configUpdate(7, 5));
  const auto secondOperator = cluster.submit(cluster.leader(), configUpdate(7, 5));
  cluster.run(200);
  LONGS_EQUAL(200, cluster.response(firstOperator)->status);
  LONGS_EQUAL(200, cluster.response(secondOperator)->status);
  LONGS_EQUAL(2, cluster.controller(cluster.leader()).committed().configHistory().updates().size());
}

// A partitioned leader holds an update that can't be committed. It gives no definite response to
// that update or to another one on the same base. The update accepted by the majority in the
// meantime takes effect.
TEST(ConfigUpdateTests, partitionedLeaderGivesNoDefiniteResponse) {
  ControllerCluster cluster(3);
  LONGS_EQUAL(200, cluster.askLeader(configUpdate(5, 0)).status);
  const std::size_t partitionedLeader = cluster.leader();
  cluster.setPartitioned(partitionedLeader, true);
  const auto lostUpdate = cluster.submit(partitionedLeader, configUpdate(7, 5, "lost"));
  cluster.run(30);
  const auto competingUpdate = cluster.submit(partitionedLeader, configUpdate(7, 5, "beside"));
  const auto repeated = cluster.submit(partitionedLeader, configUpdate(5, 0));
  cluster.run(4000);
  for (const auto number : {lostUpdate, competingUpdate, repeated}) {
    CHECK(cluster.response(number).has_value());
    LONGS_EQUAL(503, cluster.response(number)->status);
  }
  LONGS_EQUAL(200, cluster.askLeader(configUpdate(7, 5, "beside")).status);
  cluster.setPartitioned(partitionedLeader, false);
  cluster.run(2000);
  LONGS_EQUAL(200, cluster.askLeader(configUpdate(7, 5, "beside")).status);
  CHECK(isRejection(cluster.askLeader(configUpdate(7, 5, "lost")).status));
}

// A partitioned leader also must not reject updates that it considers stale or invalid, or
// submissions to an unknown route, even if it has no uncommitted entries: the other controllers may
// have newer state.
TEST(ConfigUpdateTests, partitionedLeaderRejectsNothing) {
  ControllerCluster cluster(3);
  LONGS_EQUAL(200, cluster.askLeader(configUpdate(5, 0)).status);
  const std::size_t partitionedLeader = cluster.leader();
  cluster.run(500);
  cluster.setPartitioned(partitionedLeader, true);
  ApiRequest invalid = unnumberedUpdate(5);
  invalid.text = "{";
  ApiRequest noQueue;
  noQueue.kind = RequestKind::submitJob;
  noQueue.host = "host";
  noQueue.path = "/nowhere/job";
  std::vector<RequestNumber> requestNumbers;
  for (const auto& request :
       {configUpdate(6, 3), configUpdate(4, 5), configUpdate(5, 0), invalid, noQueue})
    requestNumbers.push_back(cluster.submit(partitionedLeader, request));
  cluster.run(4000);
  for (const auto number : requestNumbers) {
    CHECK(cluster.response(number).has_value());
    LONGS_EQUAL(503, cluster.response(number)->status);
  }
}

TEST(ConfigUpdateTests, patchChangesOnlyNamedEntries) {
  ControllerCluster cluster(3);
  LONGS_EQUAL(200, cluster.askLeader(unnumberedUpdate(0)).status);
  LONGS_EQUAL(200, cluster.askLeader(patch(4, 1)).status);
  const auto& config = cluster.controller(cluster.leader()).committed().config();
  LONGS_EQUAL(4, config.version.value);
  CHECK(config.findQueue(QueueName{"proofs"}) != nullptr);
  LONGS_EQUAL(3, config.findQueue(QueueName{"extra"})->maxRetries);
  STRCMP_EQUAL("{\"queues\":{\"extra\":{\"retries\":3},\"proofs\":{}},\"version\":4}",
               config.text.c_str());
  LONGS_EQUAL(200, cluster.askLeader(patch(0, 4, "more")).status);
  LONGS_EQUAL(5, currentVersion(cluster));
}

TEST(ConfigUpdateTests, patchFollowsVersionRulesOfConfigurations) {
  ControllerCluster cluster(1);
  LONGS_EQUAL(200, cluster.askLeader(unnumberedUpdate(0)).status);
  LONGS_EQUAL(200, cluster.askLeader(patch(5, 1)).status);
  LONGS_EQUAL(200, cluster.askLeader(patch(7, 5, "more")).status);
  // A repeated patch is acknowledged, even if another one was accepted after it.
  LONGS_EQUAL(200, cluster.askLeader(patch(7, 5, "more")).status);
  LONGS_EQUAL(200, cluster.askLeader(patch(5, 1)).status);
  // Different updates on the same base or with the same version, and a version that is not greater
  // than the current one.
  LONGS_EQUAL(409, cluster.askLeader(patch(8, 5)).status);
  LONGS_EQUAL(409, cluster.askLeader(patch(7, 5)).status);
  LONGS_EQUAL(409, cluster.askLeader(unnumberedUpdate(5)).status);
  LONGS_EQUAL(400, cluster.askLeader(patch(6, 7)).status);
  LONGS_EQUAL(7, currentVersion(cluster));
}

TEST(ConfigUpdateTests, invalidPatchChangesNothing) {
  ControllerCluster cluster(1);
  LONGS_EQUAL(200, cluster.askLeader(unnumberedUpdate(0)).status);
  for (const char* text :
       {R"({"remove":{"queues":["plates"]}})", R"({"remove":{"queues":["proofs"]}})",
        R"({"upsert":{"queues":{"proofs":{"retries":-1}}}})",
        R"({"upsert":{"pools":{"presses":{}}}})", "{", "7"}) {
    ApiRequest request = patch(0, 1);
    request.text = text;
    const ApiResponse apiResponse = cluster.askLeader(request);
    LONGS_EQUAL(400, apiResponse.status);
    STRCMP_EQUAL("invalid", apiResponse.errorKind.c_str());
  }
  LONGS_EQUAL(400, cluster.askLeader(patch(3, 1, "")).status);
  LONGS_EQUAL(1, currentVersion(cluster));
}

TEST(ConfigUpdateTests, patchWithoutConfigurationIsRejected) {
  ControllerCluster cluster(1);
  LONGS_EQUAL(400, cluster.askLeader(patch(1, 0)).status);
  LONGS_EQUAL(0, currentVersion(cluster));
}

// Patches and complete configurations compete on the same base. Exactly one is confirmed, and each
// gets the same response when it is repeated.
TEST(ConfigUpdateTests, oneOfConcurrentPatchesAndConfigurationsIsConfirmed) {
  ControllerCluster cluster(3);
  LONGS_EQUAL(200, cluster.askLeader(unnumberedUpdate(0)).status);
  std::vector<ApiRequest> updateRequests;
  for (std::uint64_t index = 0; index < 4; ++index) {
    const std::string queue = "q" + std::to_string(index);
    updateRequests.push_back(patch(5 + index % 2, 1, queue));
    updateRequests.push_back(configUpdate(5 + index % 2, 1, queue));
  }
  std::vector<RequestNumber> requestNumbers;
  for (const auto& update : updateRequests)
    requestNumbers.push_back(cluster.submit(cluster.leader(), update));
  cluster.run(200);
  int confirmed = 0;
  for (std::size_t index = 0; index < updateRequests.size(); ++index) {
    const int status = cluster.response(requestNumbers[index])->status;
    confirmed += status == 200;
    CHECK(status == 200 || isRejection(status));
    LONGS_EQUAL(status, cluster.askLeader(updateRequests[index]).status);
  }
  LONGS_EQUAL(1, confirmed);
}

// The response is lost together with the leader, which may or may not have accepted the patch. The
// patch is also recognised after snapshots.
TEST(ConfigUpdateTests, patchIsRecognisedByNextLeaderAndAfterSnapshot) {
  ControllerOptions options;
  options.maxRecordsBetweenSnapshots = 5;
  options.raft.retainedEntries = 3;
  ControllerCluster cluster(3, 0, options);
  LONGS_EQUAL(200, cluster.askLeader(unnumberedUpdate(0)).status);
  const std::size_t first = cluster.leader();
  cluster.submit(first, patch(5, 1));
  cluster.run(50);
  cluster.kill(first);
  LONGS_EQUAL(200, cluster.askLeader(patch(5, 1)).status);
  cluster.start(first);
  for (std::uint64_t version = 6; version <= 30; ++version)
    LONGS_EQUAL(200, cluster.askLeader(patch(version, version - 1)).status);
  const std::size_t leader = cluster.leader();
  cluster.kill(leader);
  cluster.run(2000);
  for (std::uint64_t version = 6; version <= 30; ++version)
    LONGS_EQUAL(200, cluster.askLeader(patch(version, version - 1)).status);
  LONGS_EQUAL(200, cluster.askLeader(patch(5, 1)).status);
  CHECK(isRejection(cluster.askLeader(patch(5, 1, "plates")).status));
  LONGS_EQUAL(30, currentVersion(cluster));
}
