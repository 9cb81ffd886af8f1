// Tests that work which fits is held back only for a bounded time by headroom for urgent work and
// by the reserved start of another unit. docs/paper.md 5, docs/design.md 7.9.
#include "state/cluster_state_fixture.hpp"

using namespace aniseline;

namespace {

constexpr const char* configWithUrgentQueue =
    R"({"planner":{"trials":false,"urgency_first":true},"pools":{"press":{}},
      "queues":{"urgent":{"pool":"press","tries":3,"urgency":2,"extend":1.5,"target_ms":250},
      "bulk":{"pool":"press","tries":3,"urgency":0,"extend":3.2,"target_ms":3000}}})";

}  // namespace

TEST_GROUP(StarvationGuardTests) {
  ClusterStateFixture cluster{configWithUrgentQueue};
  PlannerHints hints;

  void setup() override {
    hints.maxPassedOverTime = Duration{2000};
    hints.urgentDemand["press"] = 6000;
    cluster.registerWorker("a", {.cores = 10'000});
    cluster.submit("filler", {ClusterStateFixture::step(1, 6000, {}, false, 100'000)}, "urgent");
    cluster.planAndRun();
  }
  // Makes a plan with the current hints and returns the jobs that it starts. The units that it
  // passes over are set in the hints of the next plan as passed over for the given time.
  std::string startedBy(Duration passedOverFor) {
    const Plan plan = cluster.planner.makePlan(cluster.clusterState, ClusterTime{cluster.now},
                                               cluster.contactAges, false, hints);
    hints.passedOverFor.clear();
    for (const auto& unit : plan.passedOver)
      hints.passedOverFor[unit] = passedOverFor;
    std::string started;
    for (const auto& action : plan.record.actions)
      started += (started.empty() ? "" : ", ") + action.job.value;
    return started;
  }
  void submitBulk(const std::string& id, std::size_t tasks = 1, std::uint32_t cores = 1000) {
    cluster.submit(id, {ClusterStateFixture::step(tasks, cores)}, "bulk");
  }
  void raiseUrgentDemand() {
    hints.urgentDemand["press"] = 12'000;
  }
};

TEST(StarvationGuardTests, workHeldBackForHeadroomStartsOnceItIsOverdue) {
  raiseUrgentDemand();
  submitBulk("bulk");
  STRCMP_EQUAL("", startedBy(Duration{1999}).c_str());
  STRCMP_EQUAL("", startedBy(Duration{2000}).c_str());
  STRCMP_EQUAL("bulk", startedBy(Duration{0}).c_str());
}

// Expired work is placed last of all, and its target never makes it urgent.
TEST(StarvationGuardTests, expiredWorkStartsToo) {
  raiseUrgentDemand();
  submitBulk("expired");
  cluster.now += 3'600'000;
  STRCMP_EQUAL("", startedBy(Duration{2000}).c_str());
  STRCMP_EQUAL("expired", startedBy(Duration{0}).c_str());
}

TEST(StarvationGuardTests, overdueWorkMayDelayAnotherReservedStart) {
  hints.urgentDemand.clear();
  cluster.submit("wide", {ClusterStateFixture::step(1, 10'000, {}, false, 1000)}, "urgent");
  // The task would end after the reserved start and delay it.
  cluster.submit("bulk", {ClusterStateFixture::step(1, 1000, {}, false, 200'000)}, "bulk");
  STRCMP_EQUAL("", startedBy(Duration{2000}).c_str());
  STRCMP_EQUAL("bulk", startedBy(Duration{0}).c_str());
}

// Only one unit of a job is started, because with it the job makes progress.
TEST(StarvationGuardTests, onlyOneUnitOfAJobIsStarted) {
  raiseUrgentDemand();
  submitBulk("bulk", 3);
  startedBy(Duration{2000});
  STRCMP_EQUAL("bulk", startedBy(Duration{0}).c_str());
}

TEST(StarvationGuardTests, jobWithARunningTaskIsNotOverdue) {
  submitBulk("bulk", 3);
  hints.urgentDemand["press"] = 9000;  // leaves room beside it for one of three tasks
  STRCMP_EQUAL("bulk", cluster.plan().substr(6, 4).c_str());
  raiseUrgentDemand();
  startedBy(Duration{2000});
  STRCMP_EQUAL("", startedBy(Duration{2000}).c_str());
}

// Each long-running task is passed over separately.
TEST(StarvationGuardTests, eachLongRunningTaskHasItsOwnBound) {
  raiseUrgentDemand();
  StepRequirements needs;
  needs.longRunning = true;
  cluster.submit("lasting", {ClusterStateFixture::step(2, 1000, needs)}, "bulk");
  startedBy(Duration{2000});
  STRCMP_EQUAL("lasting, lasting", startedBy(Duration{0}).c_str());
}

TEST(StarvationGuardTests, unitMustFitTwice) {
  raiseUrgentDemand();
  submitBulk("bulk", 1, 3000);
  STRCMP_EQUAL("", startedBy(Duration{9000}).c_str());
  LONGS_EQUAL(0, hints.passedOverFor.size());
  STRCMP_EQUAL("", startedBy(Duration{9000}).c_str());
}

TEST(StarvationGuardTests, gangStartsWhole) {
  raiseUrgentDemand();
  cluster.submit("gang", {ClusterStateFixture::gang(2)}, "bulk");
  startedBy(Duration{2000});
  STRCMP_EQUAL("gang, gang", startedBy(Duration{0}).c_str());
}

TEST(StarvationGuardTests, withoutABoundNothingIsOverdue) {
  hints.maxPassedOverTime = Duration{0};
  raiseUrgentDemand();
  submitBulk("bulk");
  startedBy(Duration{9000});
  hints.passedOverFor[{JobId{"bulk"}, std::nullopt}] = Duration{9000};
  STRCMP_EQUAL("", startedBy(Duration{9000}).c_str());
}

// Jobs that fail on the only worker with a label once left later jobs without a run for as long as
// something ran there, beside free cores: the worker, with a penalty, got one task at a time.
TEST_GROUP(StarvedByPenaltyTests) {
  ClusterStateFixture cluster{configWithUrgentQueue};
  PlannerHints hints;

  void setup() override {
    hints.maxPassedOverTime = Duration{2000};
    cluster.registerWorker("plain", {.cores = 16'000});
    cluster.registerWorker("labelled", {.cores = 16'000, .labels = {"foil"}});
    // Different jobs fail on the worker until it has a penalty; the last one runs again.
    for (int number = 1; !hasPenalty(); ++number) {
      const std::string poison = "poison" + std::to_string(number);
      submitLabelled(poison);
      cluster.planAndRun();
      cluster.endAttempt(poison, AttemptOutcome::failed);
      if (!hasPenalty())
        cluster.apply(JobCancelled{JobId{poison}});
    }
    cluster.now += 1000;  // past the pause before a retry
    cluster.planAndRun();
    CHECK_EQUAL(1, cluster.clusterState.attemptsOn(WorkerId{"labelled"}).size());
  }
  bool hasPenalty() const {
    constexpr std::int64_t failureScoreLimit = 500;
    const Worker& worker = cluster.clusterState.workers().at(WorkerId{"labelled"});
    return worker.failureScoreAt(ClusterTime{cluster.now}) >= failureScoreLimit;
  }
  void submitLabelled(const std::string& id) {
    StepRequirements requirements;
    requirements.requiredLabel = "foil";
    cluster.submit(id, {ClusterStateFixture::step(1, 1000, requirements)}, "bulk");
  }
  bool starts(const std::string& id, Duration passedOverFor) {
    hints.passedOverFor.clear();
    hints.passedOverFor[{JobId{id}, std::nullopt}] = passedOverFor;
    const Plan plan = cluster.planner.makePlan(cluster.clusterState, ClusterTime{cluster.now},
                                               cluster.contactAges, false, hints);
    return std::any_of(plan.record.actions.begin(), plan.record.actions.end(),
                       [&](const Action& action) { return action.job.value == id; });
  }
};

TEST(StarvedByPenaltyTests, workThatFitsOnlyOnAWorkerWithAPenaltyStartsOnceItIsOverdue) {
  CHECK(hasPenalty());
  submitLabelled("good");
  CHECK_FALSE(starts("good", Duration{1999}));
  CHECK(starts("good", Duration{2000}));
}

TEST(StarvedByPenaltyTests, notWhileHalfOfItsPoolIsInUse) {
  cluster.submit("filler", {ClusterStateFixture::step(1, 16'000, {}, false, 100'000)}, "urgent");
  cluster.planAndRun();
  submitLabelled("good");
  CHECK_FALSE(starts("good", Duration{9000}));
}
