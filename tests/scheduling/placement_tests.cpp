// Tests of worker selection: labels, the rack of the data, tasks per worker, same-rack steps,
// accelerators and pools. docs/design.md 4.6, docs/paper.md 2.
#include "state/cluster_state_fixture.hpp"

using namespace aniseline;

namespace {

using WorkerOptions = ClusterStateFixture::WorkerOptions;

StepRequirements requireLabel(const std::string& label) {
  StepRequirements requirements;
  requirements.requiredLabel = label;
  return requirements;
}
StepRequirements preferRack(const std::string& rack) {
  StepRequirements requirements;
  requirements.preferredRack = rack;
  return requirements;
}
StepRequirements limitPerWorker(std::uint32_t limit) {
  StepRequirements requirements;
  requirements.maxPerWorker = limit;
  return requirements;
}
StepRequirements sameRack() {
  StepRequirements requirements;
  requirements.sameRack = true;
  return requirements;
}
StepRequest accelerated(std::size_t tasks, std::uint32_t accelerators, std::uint32_t cores = 1000) {
  auto step = ClusterStateFixture::step(tasks, cores);
  for (auto& task : step.tasks)
    task.accelerators = accelerators;
  return step;
}

}  // namespace

TEST_GROUP(Placement){};

TEST(Placement, aRequiredLabelIsACondition) {
  ClusterStateFixture cluster;
  cluster.registerWorker("plain", WorkerOptions{.cores = 2000});
  cluster.registerWorker("colour", WorkerOptions{.cores = 16'000, .labels = {"mono", "colour"}});
  cluster.submit("a", {ClusterStateFixture::step(1, 1000, requireLabel("colour"))});
  STRCMP_EQUAL("start a on colour", cluster.planAndRun().c_str());
  cluster.submit("b", {ClusterStateFixture::step(1, 1000, requireLabel("foil"))});
  STRCMP_EQUAL("", cluster.planAndRun().c_str());
  cluster.submit("c", {ClusterStateFixture::step(1, 1000)});
  STRCMP_EQUAL("start c on plain", cluster.planAndRun().c_str());  // the fewest unallocated cores
}

TEST(Placement, tasksRunOnlyInThePoolOfTheirQueue) {
  ClusterStateFixture cluster;
  cluster.registerWorker("press", WorkerOptions{.cores = 16'000});
  cluster.registerWorker("store", WorkerOptions{.cores = 2000, .pool = "store"});
  cluster.submit("a", {ClusterStateFixture::step(1)});
  cluster.submit("b", {ClusterStateFixture::step(1)}, "other");
  cluster.submit("c", {ClusterStateFixture::step(1)}, "plain");
  const std::string plan = cluster.planAndRun();
  STRCMP_EQUAL("press", cluster.workerOf("a").c_str());
  STRCMP_EQUAL("store", cluster.workerOf("b").c_str());
  CHECK(plan.find("start c") == std::string::npos);  // the pool of its queue has no name
}

TEST(Placement, aTaskPrefersRoomNearItsData) {
  ClusterStateFixture cluster;
  cluster.registerWorker("far", WorkerOptions{.cores = 2000, .rack = "r1"});
  cluster.registerWorker("near", WorkerOptions{.cores = 8000, .rack = "r2"});
  cluster.submit("plain", {ClusterStateFixture::step(1)});
  STRCMP_EQUAL("start plain on far", cluster.planAndRun().c_str());  // the fewest unallocated cores
  cluster.submit("a", {ClusterStateFixture::step(1, 1000, preferRack("r2"))});
  STRCMP_EQUAL("start a on near", cluster.planAndRun().c_str());
  cluster.submit("b", {ClusterStateFixture::step(1, 7000, preferRack("r2"))});
  STRCMP_EQUAL("start b on near", cluster.planAndRun().c_str());
  // There is no room near the data. A remote run is slower, so the task waits for as long as that
  // would cost before it starts remotely.
  cluster.submit("c", {ClusterStateFixture::step(1, 1000, preferRack("r2"))});
  STRCMP_EQUAL("", cluster.planAndRun().c_str());
  cluster.now += 2000;
  STRCMP_EQUAL("start c on far", cluster.planAndRun().c_str());
}

TEST(Placement, maxPerWorkerLimitsTheTasksOfAStepOnOneWorker) {
  ClusterStateFixture cluster;
  cluster.registerWorker("a");
  cluster.registerWorker("b");
  cluster.submit("job", {ClusterStateFixture::step(5, 500, limitPerWorker(2))});
  STRCMP_EQUAL("start job on a, start job on a, start job on b, start job on b",
               cluster.planAndRun().c_str());
  cluster.endAttempt("job", AttemptOutcome::succeeded, 0);
  STRCMP_EQUAL("start job on a", cluster.planAndRun().c_str());
}

// An attempt that is being stopped, or was abandoned, may still run on its worker.
TEST(Placement, maxPerWorkerCountsAttemptsNotKnownToHaveEnded) {
  ClusterStateFixture cluster;
  cluster.registerWorker("a");
  cluster.submit("job", {ClusterStateFixture::step(1, 500, limitPerWorker(1)),
                         ClusterStateFixture::step(1, 500)});
  cluster.planAndRun();
  const AttemptNumber first = cluster.attempt("job", 0);
  cluster.apply(WorkerUnreachable{WorkerId{"a"}, {first}});
  cluster.apply(WorkerReconnected{WorkerId{"a"}});
  STRCMP_EQUAL("", cluster.plan().c_str());
  cluster.endAttempt(first, AttemptOutcome::stopped);
  STRCMP_EQUAL("start job on a", cluster.plan().c_str());
}

TEST(Placement, maxPerWorkerAppliesToGangs) {
  ClusterStateFixture cluster;
  cluster.registerWorker("a");
  cluster.registerWorker("b");
  cluster.submit("three", {ClusterStateFixture::gang(3, 500, limitPerWorker(1))});
  cluster.submit("two", {ClusterStateFixture::gang(2, 500, limitPerWorker(1))});
  STRCMP_EQUAL("start two on a, start two on b", cluster.planAndRun().c_str());
  cluster.registerWorker("c");
  STRCMP_EQUAL("start three on a, start three on b, start three on c",
               cluster.planAndRun().c_str());
}

TEST(Placement, aSameRackStepIsPlacedOnOneRack) {
  ClusterStateFixture cluster;
  cluster.registerWorker("a1", WorkerOptions{.cores = 2000, .rack = "A"});
  cluster.registerWorker("b1", WorkerOptions{.cores = 4000, .rack = "B"});
  cluster.registerWorker("a2", WorkerOptions{.cores = 2000, .rack = "A"});
  cluster.registerWorker("b2", WorkerOptions{.cores = 4000, .rack = "B"});
  cluster.submit("job", {ClusterStateFixture::gang(6, 1000, sameRack())});
  const std::string plan = cluster.planAndRun();
  CHECK_TEXT(plan.find(" on a") == std::string::npos, plan.c_str());
  cluster.submit("more", {ClusterStateFixture::gang(3, 1000, sameRack())});
  const std::string second = cluster.planAndRun();
  CHECK_TEXT(second.find(" on b") == std::string::npos, second.c_str());
}

TEST(Placement, aRestartedTaskReturnsToTheRackOfItsStep) {
  ClusterStateFixture cluster;
  cluster.registerWorker("a1", WorkerOptions{.cores = 2000, .rack = "A"});
  cluster.registerWorker("b1", WorkerOptions{.cores = 3000, .rack = "B"});
  cluster.submit("job", {ClusterStateFixture::step(2, 1000, sameRack())});
  STRCMP_EQUAL("start job on b1, start job on b1", cluster.planAndRun().c_str());
  cluster.endAttempt("job", AttemptOutcome::stopped, 0);
  cluster.submit("other", {ClusterStateFixture::step(1, 500)});  // rack A now has more idle cores
  cluster.now += 100;
  CHECK(cluster.planAndRun().find("start job on b1") != std::string::npos);
}

TEST(Placement, acceleratorsLimitPlacement) {
  ClusterStateFixture cluster;
  cluster.registerWorker("plain", WorkerOptions{.cores = 2000});
  cluster.registerWorker("quick", WorkerOptions{.cores = 8000, .accelerators = 2});
  cluster.submit("job", {accelerated(3, 1)});
  STRCMP_EQUAL("start job on quick, start job on quick", cluster.planAndRun().c_str());
  cluster.submit("plain", {ClusterStateFixture::step(1)});
  STRCMP_EQUAL("start plain on plain", cluster.planAndRun().c_str());
  cluster.endAttempt("job", AttemptOutcome::succeeded, 1);
  STRCMP_EQUAL("start job on quick", cluster.planAndRun().c_str());
}

TEST(Placement, aStepWaitsForAllTasksOfItsDependencies) {
  ClusterStateFixture cluster;
  cluster.registerWorker("a", WorkerOptions{.cores = 16'000});
  auto second = ClusterStateFixture::step(1);
  second.dependencies = {"0"};
  cluster.submit("job", {ClusterStateFixture::step(2), second});
  STRCMP_EQUAL("start job on a, start job on a", cluster.planAndRun().c_str());
  cluster.endAttempt("job", AttemptOutcome::succeeded, 0);
  STRCMP_EQUAL("", cluster.planAndRun().c_str());
  cluster.endAttempt("job", AttemptOutcome::succeeded, 1);
  STRCMP_EQUAL("start job on a", cluster.planAndRun().c_str());
}

TEST(Placement, aRetryPrefersAnotherWorker) {
  ClusterStateFixture cluster;
  cluster.registerWorker("a", WorkerOptions{.cores = 2000});
  cluster.registerWorker("b", WorkerOptions{.cores = 8000});
  cluster.submit("job", {ClusterStateFixture::step(1)});
  STRCMP_EQUAL("start job on a", cluster.planAndRun().c_str());
  cluster.endAttempt("job", AttemptOutcome::failed);
  cluster.now += 6000;
  STRCMP_EQUAL("start job on b", cluster.planAndRun().c_str());
}

TEST(Placement, queuesOfHigherPriorityGoFirst) {
  ClusterStateFixture cluster(
      R"({"planner":{"trials":false,"urgency_first":true},"pools":{"press":{}},
        "queues":{"slow":{"pool":"press","tries":1,"urgency":0},"quick":{"pool":"press","tries":1,"urgency":2}}})");
  cluster.registerWorker("a", WorkerOptions{.cores = 1000});
  cluster.submit("waited", {ClusterStateFixture::step(1)}, "slow");
  cluster.now += 600'000;
  cluster.submit("urgent", {ClusterStateFixture::step(1)}, "quick");
  STRCMP_EQUAL("start urgent on a", cluster.planAndRun().c_str());
}

// Cores are counted in thousandths: requests are not rounded up to whole cores, and no core is
// allocated twice.
TEST(Placement, coresAreAllocatedInThousandths) {
  ClusterStateFixture cluster;
  cluster.registerWorker("a", WorkerOptions{.cores = 1000});
  cluster.submit("job", {ClusterStateFixture::step(5, 240)});
  STRCMP_EQUAL("start job on a, start job on a, start job on a, start job on a",
               cluster.planAndRun().c_str());
}

// docs/design.md 7.3: a part that is not reported as running for 2.5 s may be missing, so that the
// other parts wait or run alone.
TEST(Placement, aGangWithAnUnconfirmedStartIsStoppedWhole) {
  ClusterStateFixture cluster;
  cluster.registerWorker("a", WorkerOptions{.cores = 1000});
  cluster.registerWorker("b", WorkerOptions{.cores = 1000});
  cluster.submit("gang", {ClusterStateFixture::gang(2)});
  STRCMP_EQUAL("start gang on a, start gang on b", cluster.plan().c_str());
  cluster.apply(WorkerSynced{
      WorkerId{"a"}, cluster.clusterState.workers().at(WorkerId{"a"}).lastIssuedOrder, {}});
  cluster.now += 2400;
  STRCMP_EQUAL("", cluster.plan().c_str());
  cluster.now += 200;
  STRCMP_EQUAL("stop gang on a, stop gang on b", cluster.plan().c_str());
  STRCMP_EQUAL("", cluster.plan().c_str());
}

// A task that waits for something other than cores and memory reserves none of these, since other
// work would be held back in vain. docs/paper.md 3.
TEST(Placement, aTaskBlockedByMaxPerWorkerDoesNotDelayOthers) {
  ClusterStateFixture cluster;
  cluster.registerWorker("a");
  cluster.submit("job", {ClusterStateFixture::step(2, 1000, limitPerWorker(1))});
  STRCMP_EQUAL("start job on a", cluster.planAndRun().c_str());
  cluster.submit("other", {ClusterStateFixture::step(1, 3000)});
  STRCMP_EQUAL("start other on a", cluster.planAndRun().c_str());
}

TEST(Placement, aTaskBlockedByAcceleratorsDoesNotDelayOthers) {
  ClusterStateFixture cluster;
  cluster.registerWorker("a", WorkerOptions{.accelerators = 1});
  cluster.submit("job", {accelerated(2, 1)});
  STRCMP_EQUAL("start job on a", cluster.planAndRun().c_str());
  cluster.submit("other", {ClusterStateFixture::step(1, 3000)});
  STRCMP_EQUAL("start other on a", cluster.planAndRun().c_str());
}

// A task takes longer away from its data. If it finds no room for that longer time, this says
// nothing about another task that runs for its requested time.
TEST(Placement, aFailedRemoteBackfillDoesNotRuleOutOthers) {
  ClusterStateFixture cluster;
  cluster.registerWorker("a", WorkerOptions{.cores = 8000, .rack = "r1"});
  cluster.submit("first", {ClusterStateFixture::step(1, 6000, {}, false, 100'000)});
  cluster.planAndRun();
  cluster.submit("wide", {ClusterStateFixture::step(1, 8000, {}, false, 50'000)});
  STRCMP_EQUAL("", cluster.planAndRun().c_str());  // "wide" holds the reserved start
  cluster.now += 1;
  cluster.submit("far",
                 {ClusterStateFixture::step(1, 1000, preferRack("r2"), false,
                                            80'000)});  // 120 s here: past the reserved start
  STRCMP_EQUAL("", cluster.planAndRun().c_str());
  cluster.now += 1;
  cluster.submit("plain", {ClusterStateFixture::step(1, 1000, {}, false, 80'000)});
  STRCMP_EQUAL("start plain on a", cluster.planAndRun().c_str());
}
