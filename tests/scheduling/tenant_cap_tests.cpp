// Tests that no plan lets a tenant exceed its cap, whichever way work is started. The cases follow
// the order of docs/design.md 7.13.
#include "state/cluster_state_fixture.hpp"
#include "scheduling/tenant_usage.hpp"

using namespace aniseline;

namespace {

constexpr const char* configWithCaps =
    R"({"planner":{"trials":false,"urgency_first":true,"far":1.5},"pools":{"press":{}},
      "queues":{"q":{"pool":"press","tries":3},"urgent":{"pool":"press","tries":3,"urgency":2,"target_ms":250}},
      "tenants":{"small":{"cap":{"cores":4}},"large":{"cap":{"cores":100}},"memory":{"cap":{"memory_mb":250}},
                 "devices":{"cap":{"accelerators":1}},"free":{}}})";

}  // namespace

TEST_GROUP(TenantCapPlanTests) {
  ClusterStateFixture fixture{configWithCaps};

  void setup() override {
    fixture.registerWorker("a", {.cores = 16'000, .accelerators = 4});
    fixture.registerWorker("b", {.cores = 16'000, .accelerators = 4});
  }
  void submit(const std::string& id, const std::string& tenant, StepRequest step,
              const std::string& queue = "q") {
    JobSubmission job;
    job.id = JobId{id};
    job.queue = QueueName{queue};
    job.tenant = TenantName{tenant};
    step.name = "0";
    job.steps = {std::move(step)};
    fixture.apply(JobAccepted{std::move(job)});
  }
  void submit(const std::string& id, const std::string& tenant, std::size_t tasks,
              std::uint32_t cores = 1000) {
    submit(id, tenant, ClusterStateFixture::step(tasks, cores));
  }
  std::size_t planAndCountStarts() {
    const std::string actions = fixture.planAndRun();
    return std::size_t(std::count(actions.begin(), actions.end(), ',')) + !actions.empty();
  }
  // Ends the attempt of a task as succeeded, as its worker reports it.
  void endTask(const std::string& job, std::size_t task) {
    fixture.endAttempt(fixture.attempt(job, task), AttemptOutcome::succeeded);
  }
};

TEST(TenantCapPlanTests, startsUpToTheCapAndReplacesEndedTasks) {
  submit("job", "small", 10);
  LONGS_EQUAL(4, planAndCountStarts());
  LONGS_EQUAL(0, planAndCountStarts());
  endTask("job", 0);
  LONGS_EQUAL(1, planAndCountStarts());
}

TEST(TenantCapPlanTests, jobsOfOneTenantShareItsCap) {
  submit("one", "small", 3);
  submit("two", "small", 3);
  submit("other", "large", 5);
  submit("unlimited", "free", 5);
  submit("nobody", "", 5);
  LONGS_EQUAL(4 + 5 + 5 + 5, planAndCountStarts());
}

TEST(TenantCapPlanTests, capsAlsoLimitMemoryAndAccelerators) {
  submit("job", "memory", 10);  // 100 MB each
  LONGS_EQUAL(2, planAndCountStarts());
  StepRequest step = ClusterStateFixture::step(3);
  for (auto& task : step.tasks)
    task.accelerators = 1;
  submit("devices", "devices", step);
  LONGS_EQUAL(1, planAndCountStarts());
}

TEST(TenantCapPlanTests, stoppingAttemptsCountUntilTheyEnd) {
  submit("job", "small", 4);
  LONGS_EQUAL(4, planAndCountStarts());
  fixture.apply(JobCancelled{JobId{"job"}});
  submit("next", "small", 4);
  LONGS_EQUAL(0, planAndCountStarts());
  const auto numbers = fixture.clusterState.attemptsOf(JobId{"job"}, AttemptScope::all);
  for (auto number : numbers)
    fixture.endAttempt(number, AttemptOutcome::stopped);
  LONGS_EQUAL(4, planAndCountStarts());
}

// The lease has expired, so the worker has killed the attempt.
TEST(TenantCapPlanTests, abandonedAttemptsDoNotCount) {
  submit("job", "small", 4);
  LONGS_EQUAL(4, planAndCountStarts());
  for (const auto* id : {"a", "b"})
    fixture.apply(WorkerUnreachable{WorkerId{id}, fixture.clusterState.attemptsOn(WorkerId{id})});
  fixture.registerWorker("c", {.cores = 16'000});
  LONGS_EQUAL(4, planAndCountStarts());
}

TEST(TenantCapPlanTests, aTaskLargerThanTheCapStartsAlone) {
  submit("job", "small", 2, 6000);
  LONGS_EQUAL(1, planAndCountStarts());
  LONGS_EQUAL(0, planAndCountStarts());
}

TEST(TenantCapPlanTests, aTenantAtHalfItsCapMayExceedItByPartOfOneTask) {
  submit("half", "small", 2);
  LONGS_EQUAL(2, planAndCountStarts());
  submit("job", "small", 2, 3000);
  LONGS_EQUAL(1, planAndCountStarts());  // 5 cores with a cap of 4
  LONGS_EQUAL(0, planAndCountStarts());
}

// The large task may reach its worker first, and then the small one would find the tenant above its
// cap. Seed 92 of `simulate --tenants` found this.
TEST(TenantCapPlanTests, aTaskThatExceedsTheCapWaitsForUnreportedStarts) {
  submit("small", "small", 2);
  fixture.plan();
  submit("job", "small", 1, 4000);
  STRCMP_EQUAL("", fixture.plan().c_str());
  fixture.applyOrders();
  LONGS_EQUAL(1, planAndCountStarts());
}

TEST(TenantCapPlanTests, aTenantAboveHalfItsCapMayNotExceedIt) {
  submit("most", "small", 3);
  LONGS_EQUAL(3, planAndCountStarts());
  submit("job", "small", 1, 2000);
  LONGS_EQUAL(0, planAndCountStarts());
}

TEST(TenantCapPlanTests, aGangStartsWholeOrNotAtAll) {
  submit("filler", "small", 1);
  LONGS_EQUAL(1, planAndCountStarts());
  submit("wide", "small", ClusterStateFixture::gang(5));
  LONGS_EQUAL(0, planAndCountStarts());
  submit("fits", "small", ClusterStateFixture::gang(3));
  LONGS_EQUAL(3, planAndCountStarts());
}

TEST(TenantCapPlanTests, redundantCopiesCount) {
  StepRequirements redundant;
  redundant.redundant = true;
  submit("job", "small", ClusterStateFixture::step(2, 2000, redundant, false, 100));
  LONGS_EQUAL(2, planAndCountStarts());
  fixture.now += 60'000;  // overdue, so that copies are needed
  LONGS_EQUAL(0, planAndCountStarts());
  submit("same", "large", ClusterStateFixture::step(2, 2000, redundant, false, 100));
  LONGS_EQUAL(2, planAndCountStarts());
  fixture.now += 60'000;
  LONGS_EQUAL(2, planAndCountStarts());
}

// A reserved start would hold back other work although this work can't start itself.
TEST(TenantCapPlanTests, cappedWorkReservesNoStart) {
  submit("job", "small", 10);
  LONGS_EQUAL(4, planAndCountStarts());
  fixture.plan();
  CHECK_FALSE(fixture.clusterState.reservation().isActive());
}

TEST(TenantCapPlanTests, cappedWorkRequestsNoHeadroom) {
  submit("flood", "small", ClusterStateFixture::step(50), "urgent");
  const Plan plan =
      fixture.planner.makePlan(fixture.clusterState, ClusterTime{fixture.now}, fixture.contactAges);
  LONGS_EQUAL(4000, plan.urgentDemand.at("press"));
  LONGS_EQUAL(46, plan.heldByTenantCap);
}

TEST(TenantCapPlanTests, cappedWorkIsExplained) {
  submit("job", "small", 5);
  fixture.planAndRun();
  const Plan plan = fixture.planner.makePlan(fixture.clusterState, ClusterTime{fixture.now},
                                             fixture.contactAges, true);
  LONGS_EQUAL(1, plan.explanations.size());
  STRCMP_EQUAL("its tenant runs as much as its cap allows", plan.explanations[0].text.c_str());
}

TEST(TenantCapPlanTests, cappedWorkIsNotPassedOver) {
  submit("filler", "small", 4);
  LONGS_EQUAL(4, planAndCountStarts());
  submit("waits", "small", 1);
  PlannerHints hints;
  hints.maxPassedOverTime = Duration{2000};
  hints.passedOverFor[{JobId{"waits"}, std::nullopt}] = Duration{9000};
  const Plan plan = fixture.planner.makePlan(fixture.clusterState, ClusterTime{fixture.now},
                                             fixture.contactAges, false, hints);
  LONGS_EQUAL(0, plan.record.actions.size());
  LONGS_EQUAL(0, plan.passedOver.size());
}

TEST(TenantCapPlanTests, trialsCount) {
  ClusterStateFixture trialCluster{
      R"({"planner":{"trials":true},"queues":{"q":{"trial":{"quantum_ms":1000,"minimum_run_ms":0}}},
        "tenants":{"small":{"cap":{"cores":1}}}})"};
  Capacity capacity;
  capacity.cores = 1000;
  capacity.memory = 4096;
  capacity.honoursLeases = true;
  trialCluster.apply(WorkerRegistered{WorkerId{"a"}, Incarnation{1}, capacity});
  trialCluster.contactAges[WorkerId{"a"}] = Duration{0};
  const auto submitTo = [&](const std::string& id, const std::string& tenant) {
    JobSubmission job;
    job.id = JobId{id};
    job.queue = QueueName{"q"};
    job.tenant = TenantName{tenant};
    job.steps = {ClusterStateFixture::step(1, 1000)};
    job.steps[0].name = "0";
    trialCluster.apply(JobAccepted{std::move(job)});
  };
  submitTo("runs", "small");
  trialCluster.planAndRun();
  trialCluster.now += 5000;
  submitTo("more", "small");
  STRCMP_EQUAL("", trialCluster.planAndRun().c_str());
  submitTo("other", "");
  CHECK(trialCluster.planAndRun().find("start other on a") != std::string::npos);
}

TEST_GROUP(TenantUsageTests){};

TEST(TenantUsageTests, admitsNothingAboveTheCapOfAnyResource) {
  scheduling::TenantUsage usage(TenantCap{4000, 0, 2});
  CHECK(usage.admits({4000, 1'000'000, 2}, {4000, 1'000'000, 2}));
  usage.addRunning({3000, 0, 0});
  CHECK(usage.admits({1000, 0, 2}, {1000, 0, 2}));
  CHECK_FALSE(usage.admits({1001, 0, 0}, {1001, 0, 0}));
  CHECK_FALSE(usage.admits({0, 0, 3}, {0, 0, 3}));
}

TEST(TenantUsageTests, exceedsTheCapByLessThanTheSmallestUnreportedStart) {
  scheduling::TenantUsage usage(TenantCap{4000, 0, 0});
  usage.addRunning({500, 0, 0});
  CHECK(usage.admits({9000, 0, 0}, {9000, 0, 0}));
  usage.addOrdered({1500, 0, 0}, {500, 0, 0});
  CHECK(usage.admits({2500, 0, 0},
                     {2500, 0, 0}));  // 4500 in total, and a start of 500 may take effect last
  CHECK_FALSE(usage.admits({2501, 0, 0}, {2501, 0, 0}));
}
