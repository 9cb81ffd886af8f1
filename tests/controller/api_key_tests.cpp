// API keys are checked against the newest committed configuration, regardless of which controller
// receives the request and which controllers have failed in between. docs/design.md 6.7.
#include "controller_cluster.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

namespace {

constexpr std::int64_t electionMs = 3000;

ApiRequest configUpdate(std::uint64_t base, const std::string& tenants) {
  ApiRequest request;
  request.kind = RequestKind::applyConfig;
  request.baseVersion = ConfigVersion{base};
  request.text =
      R"({"queues":{"q":{}},"entrances":[{"host":"h","prefix":"/q/","queue":"q"},{"host":"h","prefix":"/p/","queue":"q","public":true}],"tenants":)" +
      tenants + "}";
  return request;
}

ApiRequest clientRequest(RequestKind kind, const std::string& path, const std::string& key) {
  ApiRequest request;
  request.kind = kind;
  request.host = "h";
  request.path = path;
  request.apiKey = ApiKeyDigest::of(key);
  if (kind == RequestKind::submitJob) {
    StepRequest step;
    step.name = "0";
    step.tasks = {TaskRequest{}};
    request.job.steps = {step};
  }
  return request;
}
ApiRequest submission(const std::string& id, const std::string& key) {
  return clientRequest(RequestKind::submitJob, "/q/" + id, key);
}

constexpr const char* bothTenants =
    R"({"north":{"api_keys":["n1","n2"]},"south":{"api_keys":["s1"]}})";
constexpr const char* withoutN1 = R"({"north":{"api_keys":["n2"]},"south":{"api_keys":["s1"]}})";

}  // namespace

TEST_GROUP(ApiKeyTests) {
  ControllerCluster cluster{3};

  void configure(std::uint64_t base, const char* tenants) {
    LONGS_EQUAL(200, cluster.askLeader(configUpdate(base, tenants)).status);
  }
  int statusOf(const ApiRequest& request) {
    return cluster.askLeader(request).status;
  }
};

TEST(ApiKeyTests, requestWithUnknownKeyIsRejectedWithoutEffect) {
  configure(0, bothTenants);
  LONGS_EQUAL(202, statusOf(submission("job1", "n1")));
  for (const char* key : {"", "n3", "N1"}) {
    LONGS_EQUAL(401, statusOf(submission("job2", key)));
    LONGS_EQUAL(401, statusOf(clientRequest(RequestKind::showPhase, "/q/job1", key)));
    LONGS_EQUAL(401, statusOf(clientRequest(RequestKind::cancelJob, "/q/job1", key)));
    LONGS_EQUAL(401, statusOf(clientRequest(RequestKind::showPhase, "/q/", key)));
  }
  const ClusterState& state = cluster.controller(cluster.leader()).committed();
  LONGS_EQUAL(1, state.jobs().size());
  CHECK(state.jobs().begin()->second.state == JobState::active);
}

TEST(ApiKeyTests, publicRouteRequiresNoKey) {
  configure(0, bothTenants);
  LONGS_EQUAL(202, statusOf(clientRequest(RequestKind::submitJob, "/p/job1", "")));
  LONGS_EQUAL(200, statusOf(clientRequest(RequestKind::showPhase, "/p/job1", "")));
}

TEST(ApiKeyTests, unknownRouteIsNotFoundWithAnyKey) {
  configure(0, bothTenants);
  LONGS_EQUAL(404, statusOf(clientRequest(RequestKind::showPhase, "/none/job1", "")));
  LONGS_EQUAL(404, statusOf(clientRequest(RequestKind::showPhase, "/none/job1", "n1")));
}

TEST(ApiKeyTests, jobIsAccessibleOnlyWithKeysOfItsTenant) {
  configure(0, bothTenants);
  LONGS_EQUAL(202, statusOf(submission("job1", "n1")));
  LONGS_EQUAL(200, statusOf(clientRequest(RequestKind::showPhase, "/q/job1", "n2")));
  LONGS_EQUAL(403, statusOf(clientRequest(RequestKind::showPhase, "/q/job1", "s1")));
  LONGS_EQUAL(403, statusOf(clientRequest(RequestKind::cancelJob, "/q/job1", "s1")));
  LONGS_EQUAL(403, statusOf(clientRequest(RequestKind::showPhase, "/p/job1", "")));
  LONGS_EQUAL(200, statusOf(clientRequest(RequestKind::cancelJob, "/q/job1", "n2")));
}

TEST(ApiKeyTests, acceptedJobRemainsAfterItsKeyIsRevoked) {
  configure(0, bothTenants);
  LONGS_EQUAL(202, statusOf(submission("job1", "n1")));
  configure(1, withoutN1);
  LONGS_EQUAL(401, statusOf(clientRequest(RequestKind::showPhase, "/q/job1", "n1")));
  LONGS_EQUAL(200, statusOf(clientRequest(RequestKind::showPhase, "/q/job1", "n2")));
  // A repeated submission with the remaining key of the tenant refers to the same job.
  LONGS_EQUAL(202, statusOf(submission("job1", "n2")));
}

TEST(ApiKeyTests, revokedKeyIsRejectedByEveryLaterLeader) {
  configure(0, bothTenants);
  configure(1, withoutN1);
  for (int change = 0; change < 3; ++change) {
    const std::size_t leader = cluster.leader();
    cluster.kill(leader);
    cluster.run(electionMs);
    LONGS_EQUAL(401, statusOf(submission("job" + std::to_string(change), "n1")));
    LONGS_EQUAL(202, statusOf(submission("good" + std::to_string(change), "n2")));
    cluster.start(leader);
    cluster.run(electionMs);
  }
}

// The partitioned controller still has the older configuration and believes that it is the leader.
TEST(ApiKeyTests, partitionedLeaderAcceptsNothingByOlderConfiguration) {
  configure(0, bothTenants);
  const std::size_t oldLeader = cluster.leader();
  cluster.setPartitioned(oldLeader, true);
  const RequestNumber early = cluster.submit(oldLeader, submission("early", "n1"));
  cluster.run(electionMs);
  configure(1, withoutN1);
  const RequestNumber late = cluster.submit(oldLeader, submission("late", "n1"));
  cluster.run(electionMs);
  for (const auto number : {early, late}) {
    const auto apiResponse = cluster.response(number);
    CHECK(!apiResponse || apiResponse->status != 202);
  }
  cluster.setPartitioned(oldLeader, false);
  cluster.run(electionMs);
  LONGS_EQUAL(0, cluster.controller(cluster.leader()).committed().jobs().count(JobId{"late"}));
  LONGS_EQUAL(401, statusOf(submission("again", "n1")));
}

// A rejection must not be based on a configuration that may never be committed.
TEST(ApiKeyTests, uncommittedConfigurationDoesNotRejectKey) {
  configure(0, bothTenants);
  const std::size_t oldLeader = cluster.leader();
  cluster.setPartitioned(oldLeader, true);
  const RequestNumber updateNumber = cluster.submit(oldLeader, configUpdate(1, withoutN1));
  const RequestNumber submissionNumber = cluster.submit(oldLeader, submission("job", "n1"));
  cluster.run(electionMs);
  const auto apiResponse = cluster.response(submissionNumber);
  CHECK(!apiResponse || apiResponse->status != 401);
  const auto updateResponse = cluster.response(updateNumber);
  CHECK(!updateResponse || updateResponse->status != 200);
  cluster.setPartitioned(oldLeader, false);
  cluster.run(electionMs);
  LONGS_EQUAL(202, statusOf(submission("job", "n1")));
}

TEST(ApiKeyTests, keysAndTenantsSurviveRestartOfAllControllers) {
  configure(0, bothTenants);
  LONGS_EQUAL(202, statusOf(submission("job1", "n1")));
  configure(1, withoutN1);
  for (std::size_t index = 0; index < cluster.size(); ++index)
    cluster.kill(index);
  for (std::size_t index = 0; index < cluster.size(); ++index)
    cluster.start(index);
  cluster.run(electionMs);
  LONGS_EQUAL(401, statusOf(submission("job2", "n1")));
  LONGS_EQUAL(200, statusOf(clientRequest(RequestKind::showPhase, "/q/job1", "n2")));
  LONGS_EQUAL(403, statusOf(clientRequest(RequestKind::showPhase, "/q/job1", "s1")));
}

// The number of changes is large enough that the state is carried by snapshots.
TEST(ApiKeyTests, keysAndTenantsSurviveSnapshots) {
  ControllerOptions options;
  options.maxRecordsBetweenSnapshots = 8;
  ControllerCluster snapshottingCluster(3, 0, options);
  LONGS_EQUAL(200, snapshottingCluster.askLeader(configUpdate(0, bothTenants)).status);
  LONGS_EQUAL(202, snapshottingCluster.askLeader(submission("job1", "n1")).status);
  for (std::uint64_t base = 1; base < 30; ++base)
    LONGS_EQUAL(
        200, snapshottingCluster.askLeader(configUpdate(base, base % 2 ? withoutN1 : bothTenants))
                 .status);
  LONGS_EQUAL(200, snapshottingCluster.askLeader(configUpdate(30, withoutN1)).status);
  for (std::size_t index = 0; index < snapshottingCluster.size(); ++index) {
    snapshottingCluster.kill(index);
    snapshottingCluster.start(index);
  }
  snapshottingCluster.run(electionMs);
  LONGS_EQUAL(401, snapshottingCluster.askLeader(submission("job2", "n1")).status);
  LONGS_EQUAL(
      200,
      snapshottingCluster.askLeader(clientRequest(RequestKind::showPhase, "/q/job1", "n2")).status);
}

TEST(ApiKeyTests, nativeApiSubmissionRequiresKey) {
  configure(0, bothTenants);
  ApiRequest request = submission("job1", "");
  request.host = request.path = "";
  request.job.id = JobId{"job1"};
  request.job.queue = QueueName{"q"};
  LONGS_EQUAL(401, statusOf(request));
  request.apiKey = ApiKeyDigest::of("s1");
  LONGS_EQUAL(202, statusOf(request));
  const auto& jobs = cluster.controller(cluster.leader()).committed().jobs();
  STRCMP_EQUAL("south", jobs.at(JobId{"job1"}).submission.tenant.value.c_str());
}

// A gateway forwards what the client sent; only the leader determines the tenant of a job.
TEST(ApiKeyTests, tenantIsNeverTakenFromRequest) {
  configure(0, bothTenants);
  ApiRequest request = submission("job1", "s1");
  request.job.tenant = TenantName{"north"};
  LONGS_EQUAL(202, statusOf(request));
  const auto& jobs = cluster.controller(cluster.leader()).committed().jobs();
  STRCMP_EQUAL("south", jobs.at(JobId{"job1"}).submission.tenant.value.c_str());
}

TEST(ApiKeyTests, rejectionsAreLoggedOncePerSecondWithoutKey) {
  configure(0, bothTenants);
  std::vector<RenderedLogEvent> reports;
  cluster.controller(cluster.leader()).logEvent.connect([&](const LogEvent& event) {
    if (std::holds_alternative<log_events::ApiKeysRejected>(event))
      reports.push_back(render(event));
  });
  for (int count = 0; count < 5; ++count)
    LONGS_EQUAL(401, statusOf(submission("job", "wrong-key")));
  cluster.run(1500);
  CHECK(!reports.empty());
  CHECK(reports.size() <= 3);
  double requests = 0;
  for (const auto& report : reports) {
    STRCMP_EQUAL("api_keys_rejected", report.name.c_str());
    requests += report.fields.at("requests").get<double>();
    CHECK(json(report.fields).serialize().find("wrong") == std::string::npos);
  }
  DOUBLES_EQUAL(5, requests, 0);
}
