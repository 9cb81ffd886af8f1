// A client sends a submission, gets no answer, and cancels the job through another gateway. The
// submission arrives after the cancellation was acknowledged, out of a gateway that was suspended.
// Before tombstones, the job was accepted then and ran to its end. docs/design.md 4.3.
#include "controller_cluster.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

namespace {

constexpr std::int64_t electionMs = 3000;
constexpr std::int64_t retentionMs = 60'000;

ApiRequest configUpdate(std::uint64_t base, const std::string& tenants) {
  ApiRequest request;
  request.kind = RequestKind::applyConfig;
  request.baseVersion = ConfigVersion{base};
  request.text =
      R"({"planner":{"keep_finished_ms":60000},"queues":{"q":{}},"entrances":[{"host":"h","prefix":"/q/","queue":"q"}])" +
      (tenants.empty() ? "" : ",\"tenants\":" + tenants) + "}";
  return request;
}

ApiRequest clientRequest(RequestKind kind, const std::string& id, const std::string& key) {
  ApiRequest request;
  request.kind = kind;
  request.host = "h";
  request.path = "/q/" + id;
  request.apiKey = ApiKeyDigest::of(key);
  return request;
}
ApiRequest submission(const std::string& id, const std::string& key = "") {
  ApiRequest request = clientRequest(RequestKind::submitJob, id, key);
  request.job.steps = {{"0", {}, false, {TaskRequest{}}}};
  return request;
}
ApiRequest cancellation(const std::string& id, const std::string& key = "") {
  return clientRequest(RequestKind::cancelJob, id, key);
}

}  // namespace

TEST_GROUP(LateSubmissionTests) {
  ControllerOptions options;
  std::unique_ptr<ControllerCluster> cluster;

  void start(const std::string& tenants = "") {
    cluster = std::make_unique<ControllerCluster>(3, 0, options);
    LONGS_EQUAL(200, statusOf(configUpdate(0, tenants)));
    registerWorker();
  }
  void registerWorker() {
    ApiRequest sync;
    sync.kind = RequestKind::syncWorker;
    sync.targetId = "w";
    sync.report.id = WorkerId{"w"};
    sync.report.incarnation = Incarnation{1};
    sync.report.capacity.cores = 4000;
    sync.report.capacity.memory = 1000;
    LONGS_EQUAL(200, statusOf(sync));
  }
  int statusOf(const ApiRequest& request) {
    return cluster->askLeader(request).status;
  }
  const ClusterState& state() {
    return cluster->controller(cluster->leader()).committed();
  }
  void checkNeverRuns(const std::string& id) {
    LONGS_EQUAL(202, statusOf(submission(id)));
    cluster->run(500);
    const Job& job = state().jobs().at(JobId{id});
    CHECK(job.state == JobState::cancelled);
    CHECK(state().attemptsOf(JobId{id}, AttemptScope::all).empty());
    const ApiResponse shown = cluster->askLeader(clientRequest(RequestKind::showPhase, id, ""));
    STRCMP_CONTAINS("cancelled", shown.body.c_str());
  }
  void changeLeader() {
    const std::size_t former = cluster->leader();
    cluster->kill(former);
    cluster->run(electionMs);
    cluster->start(former);
    cluster->run(electionMs);
  }
  void restartAll() {
    for (std::size_t index = 0; index < cluster->size(); ++index)
      cluster->kill(index);
    for (std::size_t index = 0; index < cluster->size(); ++index)
      cluster->start(index);
    cluster->run(electionMs);
  }
};

TEST(LateSubmissionTests, submissionThatArrivesAfterItsCancelNeverRuns) {
  start();
  LONGS_EQUAL(404, statusOf(cancellation("job")));
  // A job that nobody has submitted yet is not shown.
  LONGS_EQUAL(410, statusOf(clientRequest(RequestKind::showPhase, "job", "")));
  checkNeverRuns("job");
}

TEST(LateSubmissionTests, submissionByNativeInterfaceNeverRunsAfterItsCancel) {
  start();
  ApiRequest cancel;
  cancel.kind = RequestKind::cancelJob;
  cancel.targetId = "job";
  LONGS_EQUAL(404, statusOf(cancel));
  checkNeverRuns("job");
}

// The leader that acknowledged the cancel may be gone when the submission arrives.
TEST(LateSubmissionTests, cancelHoldsAfterChangeOfLeader) {
  start();
  LONGS_EQUAL(404, statusOf(cancellation("job")));
  changeLeader();
  checkNeverRuns("job");
}

// After a snapshot, the log no longer contains the cancellation.
TEST(LateSubmissionTests, cancelHoldsAfterSnapshotAndRestartOfAllControllers) {
  options.maxRecordsBetweenSnapshots = 20;
  options.raft.retainedEntries = 5;
  start();
  LONGS_EQUAL(404, statusOf(cancellation("job")));
  for (int count = 0; count < 60; ++count)
    LONGS_EQUAL(202, statusOf(submission("other" + std::to_string(count))));
  for (std::size_t index = 0; index < cluster->size(); ++index)
    CHECK(cluster->controller(index).raftNode().logBaseIndex().value > 40);
  restartAll();
  checkNeverRuns("job");
}

// The submission may be repeated as long as an ended job would be known.
TEST(LateSubmissionTests, repeatedLateSubmissionIsAcknowledgedAgain) {
  start();
  LONGS_EQUAL(404, statusOf(cancellation("job")));
  checkNeverRuns("job");
  checkNeverRuns("job");
  LONGS_EQUAL(200, statusOf(cancellation("job")));
  ApiRequest other = submission("job");
  other.job.payload = "other";
  LONGS_EQUAL(409, statusOf(other));
}

// The occurrences of a timetable are fired by the leader, not by the submission.
TEST(LateSubmissionTests, lateTimetableNeverFires) {
  start();
  LONGS_EQUAL(404, statusOf(cancellation("job")));
  ApiRequest timed = submission("job");
  timed.job.timetable.firstStart = ClusterTime{1};
  timed.job.timetable.interval = Duration{100};
  timed.job.timetable.count = 5;
  LONGS_EQUAL(202, statusOf(timed));
  cluster->run(2000);
  LONGS_EQUAL(1, state().jobs().size());
  CHECK(state().jobs().at(JobId{"job"}).state == JobState::cancelled);
}

TEST(LateSubmissionTests, cancelIsRememberedAsLongAsEndedJobs) {
  start();
  LONGS_EQUAL(404, statusOf(cancellation("job")));
  cluster->run(retentionMs - 5000);
  LONGS_EQUAL(404, statusOf(cancellation("renewed")));
  LONGS_EQUAL(2, state().tombstones().size());
  cluster->run(10'000);
  LONGS_EQUAL(202, statusOf(submission("unrelated")));
  LONGS_EQUAL(1, state().tombstones().size());
  checkNeverRuns("renewed");
}

// Otherwise one tenant could prevent the jobs of another.
TEST(LateSubmissionTests, cancelDoesNotApplyToSubmissionsOfAnotherTenant) {
  start(R"({"north":{"api_keys":["n1"]},"south":{"api_keys":["s1"]}})");
  LONGS_EQUAL(404, statusOf(cancellation("job", "n1")));
  LONGS_EQUAL(202, statusOf(submission("job", "s1")));
  CHECK(state().jobs().at(JobId{"job"}).state == JobState::active);
  LONGS_EQUAL(404, statusOf(cancellation("job2", "n1")));
  LONGS_EQUAL(202, statusOf(submission("job2", "n1")));
  CHECK(state().jobs().at(JobId{"job2"}).state == JobState::cancelled);
}

TEST(LateSubmissionTests, operatorsCancelAppliesToEveryTenant) {
  start(R"({"north":{"api_keys":["n1"]}})");
  ApiRequest cancel;
  cancel.kind = RequestKind::cancelJob;
  cancel.targetId = "job";
  LONGS_EQUAL(404, statusOf(cancel));
  LONGS_EQUAL(202, statusOf(submission("job", "n1")));
  CHECK(state().jobs().at(JobId{"job"}).state == JobState::cancelled);
}

// A flood of cancels of unknown jobs must not exhaust the controllers' memory, and none that was
// acknowledged may be forgotten because of it.
TEST(LateSubmissionTests, cancelsOfUnknownJobsAreRejectedOnceTheirMemoryIsUsedUp) {
  options.maxJobBytes = 200'000;
  start();
  constexpr std::size_t moreThanFit = 1000;
  std::size_t acknowledged = 0;
  while (acknowledged < moreThanFit &&
         statusOf(cancellation("job" + std::to_string(acknowledged))) == 404)
    ++acknowledged;
  CHECK(acknowledged > 10 && acknowledged < moreThanFit);
  LONGS_EQUAL(acknowledged, state().tombstones().size());
  CHECK(state().tombstones().estimatedBytes() <= options.maxJobBytes / 20);
  const ApiResponse rejected = cluster->askLeader(cancellation("another"));
  LONGS_EQUAL(429, rejected.status);
  CHECK(rejected.retryAfter > Duration{0});
  checkNeverRuns("job0");
  // The job takes over the role of its tombstone, whose memory is free again.
  LONGS_EQUAL(404, statusOf(cancellation("another")));
}

// No submission can have such an id, so nothing has to be remembered.
TEST(LateSubmissionTests, cancelOfInvalidIdIsNotRemembered) {
  start();
  for (const std::string& id : {std::string("a@0"), std::string(200, 'a'), std::string("a/b")})
    LONGS_EQUAL(404, statusOf(cancellation(id)));
  LONGS_EQUAL(0, state().tombstones().size());
}
