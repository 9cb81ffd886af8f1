// Tests that work with checkpoints is preempted by urgent work that finds no room, and resumes from
// its last checkpoint. docs/paper.md 5, docs/design.md 7.10.
#include "state/cluster_state_fixture.hpp"

using namespace aniseline;

namespace {

constexpr const char* configWithLongWork =
    R"({"planner":{"trials":false,"urgency_first":true},"pools":{"press":{}},
      "queues":{"urgent":{"pool":"press","tries":3,"urgency":2,"extend":1.5,"target_ms":250},
      "bulk":{"pool":"press","tries":1,"urgency":0,"extend":3.2,"target_ms":3000},
      "once":{"pool":"press","retries":0,"urgency":0,"extend":3.2,"target_ms":3000}}})";

StepRequirements checkpointed() {
  StepRequirements requirements;
  requirements.checkpointed = true;
  return requirements;
}

}  // namespace

TEST_GROUP(CheckpointPreemptionTests) {
  ClusterStateFixture cluster{configWithLongWork};

  void setup() override {
    cluster.registerWorker("a", {.cores = 10'000});
  }
  // Fills the worker with tasks of 10 s and lets them run for `runFor` ms.
  void runBulk(const StepRequirements& requirements = checkpointed(), std::int64_t runFor = 2000,
               bool gang = false) {
    cluster.submit("bulk", {ClusterStateFixture::step(2, 5000, requirements, gang)}, "bulk");
    cluster.planAndRun();
    cluster.now += runFor;
  }
  void submitUrgent(const std::string& id = "urgent", std::size_t tasks = 1) {
    cluster.submit(id, {ClusterStateFixture::step(tasks, 4000, {}, false, 300)}, "urgent");
  }
  // Returns the index of the bulk task that is being stopped.
  std::size_t stoppedTask() {
    const auto& first = cluster.clusterState.attempts().at(cluster.attempt("bulk", 0));
    return first.state == AttemptState::stopping ? 0 : 1;
  }
};

TEST(CheckpointPreemptionTests, stopsOnlyAsMuchWorkAsUrgentWorkNeeds) {
  runBulk();
  submitUrgent();
  STRCMP_EQUAL("stop bulk on a", cluster.planAndRun().c_str());
  // Cores of attempts that are being stopped count as soon to be free.
  STRCMP_EQUAL("", cluster.planAndRun().c_str());
  submitUrgent("more");
  STRCMP_EQUAL("stop bulk on a", cluster.planAndRun().c_str());
}

TEST(CheckpointPreemptionTests, preemptedWorkResumesFromItsCheckpointWithoutAFailure) {
  runBulk();
  submitUrgent();
  cluster.planAndRun();
  const std::size_t stopped = stoppedTask();
  cluster.endAttempt("bulk", AttemptOutcome::stopped, stopped, "saved");
  STRCMP_EQUAL("start urgent on a", cluster.planAndRun().c_str());
  LONGS_EQUAL(0, cluster.task("bulk", stopped).failureCount);
  STRCMP_EQUAL("open", cluster.state("bulk").c_str());
  cluster.endAttempt("urgent");
  STRCMP_EQUAL("start bulk on a", cluster.plan().c_str());
  const auto& orders = cluster.clusterState.workers().at(WorkerId{"a"}).unappliedOrders;
  STRCMP_EQUAL("saved", orders.back().checkpoint.c_str());
}

// A preemption does not count as a start, even in a queue without retries, where every start
// counts.
TEST(CheckpointPreemptionTests, preemptedWorkWithoutRetriesResumesToo) {
  cluster.submit("bulk", {ClusterStateFixture::step(2, 5000, checkpointed())}, "once");
  cluster.planAndRun();
  cluster.now += 2000;
  submitUrgent();
  STRCMP_EQUAL("stop bulk on a", cluster.planAndRun().c_str());
  cluster.endAttempt("bulk", AttemptOutcome::stopped, stoppedTask(), "saved");
  STRCMP_EQUAL("open", cluster.state("bulk").c_str());
  STRCMP_EQUAL("start urgent on a", cluster.planAndRun().c_str());
  cluster.endAttempt("urgent");
  STRCMP_EQUAL("start bulk on a", cluster.plan().c_str());
}

TEST(CheckpointPreemptionTests, workThatHasJustStartedIsNotPreempted) {
  runBulk(checkpointed(), 1400);
  submitUrgent();
  STRCMP_EQUAL("", cluster.planAndRun().c_str());
  cluster.now += 100;
  STRCMP_EQUAL("stop bulk on a", cluster.planAndRun().c_str());
}

TEST(CheckpointPreemptionTests, workWithoutCheckpointsIsNotPreempted) {
  runBulk(StepRequirements{});
  submitUrgent();
  STRCMP_EQUAL("", cluster.planAndRun().c_str());
}

TEST(CheckpointPreemptionTests, gangsAreNotPreempted) {
  runBulk(checkpointed(), 2000, true);
  submitUrgent();
  STRCMP_EQUAL("", cluster.planAndRun().c_str());
}

TEST(CheckpointPreemptionTests, workWithLowSlackIsNotPreempted) {
  runBulk(checkpointed(), 16'000);
  submitUrgent();
  STRCMP_EQUAL("", cluster.planAndRun().c_str());
}

// Expired work is placed after all other work anyhow.
TEST(CheckpointPreemptionTests, expiredWorkIsPreempted) {
  runBulk(checkpointed(), 120'000);
  submitUrgent();
  STRCMP_EQUAL("stop bulk on a", cluster.planAndRun().c_str());
}

TEST(CheckpointPreemptionTests, expiredUrgentWorkPreemptsNothing) {
  runBulk();
  submitUrgent();
  cluster.now += 5000;
  STRCMP_EQUAL("", cluster.planAndRun().c_str());
}

TEST(CheckpointPreemptionTests, lessUrgentWorkPreemptsNothing) {
  runBulk();
  cluster.submit("other", {ClusterStateFixture::step(1, 4000)}, "bulk");
  STRCMP_EQUAL("", cluster.planAndRun().c_str());
}
