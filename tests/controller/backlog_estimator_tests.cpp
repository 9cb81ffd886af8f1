// Work held back by a tenant's cap delays only the jobs of that tenant. docs/design.md 10.
#include "controller/backlog_estimator.hpp"
#include "state/cluster_state_fixture.hpp"

using namespace aniseline;

namespace {

constexpr const char* configText =
    R"({"planner":{"trials":false,"urgency_first":true},"pools":{"press":{}},
      "queues":{"q":{"pool":"press","tries":3,"target_ms":500}},
      "tenants":{"capped":{"cap":{"cores":1}},"free":{},"other":{"cap":{"cores":8}}}})";
constexpr std::size_t floodJobs = 60;
constexpr std::size_t tasksPerJob = 4;
constexpr std::int64_t runtimeMs = 1000;

}  // namespace

// There are sixteen cores. The flood of jobs is 240 core-seconds, or 15 s of all cores. The latency
// target of a job is 1.5 s, and one and a half times that is 2.25 s.
TEST_GROUP(BacklogEstimatorTests) {
  ClusterStateFixture fixture{configText};
  BacklogEstimator estimator;

  void setup() override {
    fixture.registerWorker("a", {.cores = 16'000});
  }
  static JobSubmission jobOf(const std::string& id, const std::string& tenant) {
    JobSubmission job;
    job.id = JobId{id};
    job.queue = QueueName{"q"};
    job.tenant = TenantName{tenant};
    job.steps = {ClusterStateFixture::step(tasksPerJob, 1000, {}, false, runtimeMs)};
    job.steps[0].name = "0";
    return job;
  }
  void flood(const std::string& tenant) {
    for (std::size_t index = 0; index < floodJobs; ++index)
      fixture.apply(JobAccepted{jobOf(tenant + std::to_string(index), tenant)});
  }
  bool isRejected(const std::string& tenant) {
    const JobSubmission job = jobOf("new", tenant);
    const ClusterState& state = fixture.clusterState;
    return estimator.retryDelay(job, *state.config().findQueue(job.queue), state, MonotonicTime{0})
        .has_value();
  }
};

TEST(BacklogEstimatorTests, cappedFloodDelaysJobsOfSameTenant) {
  flood("capped");
  CHECK(isRejected("capped"));
}

TEST(BacklogEstimatorTests, cappedFloodDoesNotDelayOtherTenants) {
  flood("capped");
  CHECK_FALSE(isRejected("other"));
  CHECK_FALSE(isRejected("free"));
  CHECK_FALSE(isRejected(""));
}

TEST(BacklogEstimatorTests, uncappedFloodDelaysAllTenants) {
  flood("free");
  CHECK(isRejected("free"));
  CHECK(isRejected("other"));
  CHECK(isRejected(""));
}

// The cap of this tenant is half of the cores for as long as a job may wait.
TEST(BacklogEstimatorTests, cappedFloodCountsUpToItsCap) {
  flood("other");
  CHECK(isRejected("other"));
  CHECK_FALSE(isRejected("free"));
}
