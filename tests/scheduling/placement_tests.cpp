// Where a plan puts tasks: labels, the data's rack, apart, one rack, accelerators, pools.
// docs/design.md 4.6, docs/paper.md 2.
#include "state/cluster_state_fixture.hpp"

using namespace aniseline;

namespace {

using Place = ClusterStateFixture::WorkerOptions;

StepRequirements labelled(const std::string& label) {
  StepRequirements needs;
  needs.requiredLabel = label;
  return needs;
}
StepRequirements near(const std::string& rack) {
  StepRequirements needs;
  needs.preferredRack = rack;
  return needs;
}
StepRequirements apart(std::uint32_t most) {
  StepRequirements needs;
  needs.maxPerWorker = most;
  return needs;
}
StepRequirements sameRack() {
  StepRequirements needs;
  needs.sameRack = true;
  return needs;
}
StepRequest accelerated(std::size_t tasks, std::uint32_t accelerators, std::uint32_t cores = 1000) {
  auto step = ClusterStateFixture::step(tasks, cores);
  for (auto& task : step.tasks)
    task.accelerators = accelerators;
  return step;
}

}  // namespace

TEST_GROUP(Placement){};

TEST(Placement, aLabelIsACondition) {
  ClusterStateFixture bench;
  bench.registerWorker("plain", Place{.cores = 2000});
  bench.registerWorker("colour", Place{.cores = 16'000, .labels = {"mono", "colour"}});
  bench.submit("a", {ClusterStateFixture::step(1, 1000, labelled("colour"))});
  STRCMP_EQUAL("start a on colour", bench.planAndRun().c_str());
  bench.submit("b", {ClusterStateFixture::step(1, 1000, labelled("foil"))});
  STRCMP_EQUAL("", bench.planAndRun().c_str());
  bench.submit("c", {ClusterStateFixture::step(1, 1000)});
  STRCMP_EQUAL("start c on plain", bench.planAndRun().c_str());  // the fewest unallocated cores
}

TEST(Placement, onlyThePoolOfTheQueue) {
  ClusterStateFixture bench;
  bench.registerWorker("press", Place{.cores = 16'000});
  bench.registerWorker("store", Place{.cores = 2000, .pool = "store"});
  bench.submit("a", {ClusterStateFixture::step(1)});
  bench.submit("b", {ClusterStateFixture::step(1)}, "other");
  bench.submit("c", {ClusterStateFixture::step(1)}, "plain");
  const std::string plan = bench.planAndRun();
  STRCMP_EQUAL("press", bench.workerOf("a").c_str());
  STRCMP_EQUAL("store", bench.workerOf("b").c_str());
  CHECK(plan.find("start c") == std::string::npos);  // its pool is the one without a name
}

TEST(Placement, nearItsDataWhereThereIsRoom) {
  ClusterStateFixture bench;
  bench.registerWorker("far", Place{.cores = 2000, .rack = "r1"});
  bench.registerWorker("near", Place{.cores = 8000, .rack = "r2"});
  bench.submit("plain", {ClusterStateFixture::step(1)});
  STRCMP_EQUAL("start plain on far", bench.planAndRun().c_str());  // the fewest unallocated cores
  bench.submit("a", {ClusterStateFixture::step(1, 1000, near("r2"))});
  STRCMP_EQUAL("start a on near", bench.planAndRun().c_str());
  bench.submit("b", {ClusterStateFixture::step(1, 7000, near("r2"))});
  STRCMP_EQUAL("start b on near", bench.planAndRun().c_str());
  bench.submit(
      "c",
      {ClusterStateFixture::step(
          1, 1000, near("r2"))});  // no room there: elsewhere is slower, and better than waiting
  STRCMP_EQUAL("start c on far", bench.planAndRun().c_str());
}

TEST(Placement, apartIsTheMostOfAStepOnOneWorker) {
  ClusterStateFixture bench;
  bench.registerWorker("a");
  bench.registerWorker("b");
  bench.submit("job", {ClusterStateFixture::step(5, 500, apart(2))});
  STRCMP_EQUAL("start job on a, start job on a, start job on b, start job on b",
               bench.planAndRun().c_str());
  bench.endAttempt("job", AttemptOutcome::succeeded, 0);
  STRCMP_EQUAL("start job on a", bench.planAndRun().c_str());
}

// One that is being stopped, or was given up, may still be there.
TEST(Placement, apartCountsWhatIsNotKnownToHaveEnded) {
  ClusterStateFixture bench;
  bench.registerWorker("a");
  bench.submit("job",
               {ClusterStateFixture::step(1, 500, apart(1)), ClusterStateFixture::step(1, 500)});
  bench.planAndRun();
  const AttemptNumber first = bench.attempt("job", 0);
  bench.apply(WorkerUnreachable{WorkerId{"a"}, {first}});
  bench.apply(WorkerReconnected{WorkerId{"a"}});
  STRCMP_EQUAL("", bench.plan().c_str());
  bench.endAttempt(first, AttemptOutcome::stopped);
  STRCMP_EQUAL("start job on a", bench.plan().c_str());
}

TEST(Placement, gangsKeepApartToo) {
  ClusterStateFixture bench;
  bench.registerWorker("a");
  bench.registerWorker("b");
  bench.submit("three", {ClusterStateFixture::gang(3, 500, apart(1))});
  bench.submit("two", {ClusterStateFixture::gang(2, 500, apart(1))});
  STRCMP_EQUAL("start two on a, start two on b", bench.planAndRun().c_str());
  bench.registerWorker("c");
  STRCMP_EQUAL("start three on a, start three on b, start three on c", bench.planAndRun().c_str());
}

TEST(Placement, oneRackForAStepThatWantsOne) {
  ClusterStateFixture bench;
  bench.registerWorker("a1", Place{.cores = 2000, .rack = "A"});
  bench.registerWorker("b1", Place{.cores = 4000, .rack = "B"});
  bench.registerWorker("a2", Place{.cores = 2000, .rack = "A"});
  bench.registerWorker("b2", Place{.cores = 4000, .rack = "B"});
  bench.submit("job", {ClusterStateFixture::gang(6, 1000, sameRack())});
  const std::string plan = bench.planAndRun();
  CHECK_TEXT(plan.find(" on a") == std::string::npos, plan.c_str());
  bench.submit("more", {ClusterStateFixture::gang(3, 1000, sameRack())});
  const std::string second = bench.planAndRun();
  CHECK_TEXT(second.find(" on b") == std::string::npos, second.c_str());
}

TEST(Placement, aTaskStartedAgainGoesToTheRackOfItsStep) {
  ClusterStateFixture bench;
  bench.registerWorker("a1", Place{.cores = 2000, .rack = "A"});
  bench.registerWorker("b1", Place{.cores = 3000, .rack = "B"});
  bench.submit("job", {ClusterStateFixture::step(2, 1000, sameRack())});
  STRCMP_EQUAL("start job on b1, start job on b1", bench.planAndRun().c_str());
  bench.endAttempt("job", AttemptOutcome::stopped, 0);
  bench.submit("other", {ClusterStateFixture::step(1, 500)});  // now rack A has the more idle cores
  bench.now += 100;
  CHECK(bench.planAndRun().find("start job on b1") != std::string::npos);
}

TEST(Placement, acceleratorsAreRoom) {
  ClusterStateFixture bench;
  bench.registerWorker("plain", Place{.cores = 2000});
  bench.registerWorker("quick", Place{.cores = 8000, .accelerators = 2});
  bench.submit("job", {accelerated(3, 1)});
  STRCMP_EQUAL("start job on quick, start job on quick", bench.planAndRun().c_str());
  bench.submit("plain", {ClusterStateFixture::step(1)});
  STRCMP_EQUAL("start plain on plain", bench.planAndRun().c_str());
  bench.endAttempt("job", AttemptOutcome::succeeded, 1);
  STRCMP_EQUAL("start job on quick", bench.planAndRun().c_str());
}

TEST(Placement, aStepWaitsForAllTasksBeforeIt) {
  ClusterStateFixture bench;
  bench.registerWorker("a", Place{.cores = 16'000});
  auto second = ClusterStateFixture::step(1);
  second.dependencies = {"0"};
  bench.submit("job", {ClusterStateFixture::step(2), second});
  STRCMP_EQUAL("start job on a, start job on a", bench.planAndRun().c_str());
  bench.endAttempt("job", AttemptOutcome::succeeded, 0);
  STRCMP_EQUAL("", bench.planAndRun().c_str());
  bench.endAttempt("job", AttemptOutcome::succeeded, 1);
  STRCMP_EQUAL("start job on a", bench.planAndRun().c_str());
}

TEST(Placement, aRetryGoesElsewhereWhereThereIsRoom) {
  ClusterStateFixture bench;
  bench.registerWorker("a", Place{.cores = 2000});
  bench.registerWorker("b", Place{.cores = 8000});
  bench.submit("job", {ClusterStateFixture::step(1)});
  STRCMP_EQUAL("start job on a", bench.planAndRun().c_str());
  bench.endAttempt("job", AttemptOutcome::failed);
  bench.now += 6000;
  STRCMP_EQUAL("start job on b", bench.planAndRun().c_str());
}

TEST(Placement, moreUrgentQueuesGoFirst) {
  ClusterStateFixture bench(
      R"({"planner":{"trials":false,"urgency_first":true},"pools":{"press":{}},
        "queues":{"slow":{"pool":"press","tries":1,"urgency":0},"quick":{"pool":"press","tries":1,"urgency":2}}})");
  bench.registerWorker("a", Place{.cores = 1000});
  bench.submit("waited", {ClusterStateFixture::step(1)}, "slow");
  bench.now += 600'000;
  bench.submit("urgent", {ClusterStateFixture::step(1)}, "quick");
  STRCMP_EQUAL("start urgent on a", bench.planAndRun().c_str());
}

// Thousandths of a core: nothing is rounded up to whole ones, and nothing is promised twice.
TEST(Placement, coresAreSharedByThousandths) {
  ClusterStateFixture bench;
  bench.registerWorker("a", Place{.cores = 1000});
  bench.submit("job", {ClusterStateFixture::step(5, 240)});
  STRCMP_EQUAL("start job on a, start job on a, start job on a, start job on a",
               bench.planAndRun().c_str());
}

// docs/design.md 7.3: a part not heard to have begun for 2.5 s may be missing, and the others wait
// or run alone.
TEST(Placement, aGangThatIsNotHeardToHaveBegunIsStoppedWhole) {
  ClusterStateFixture bench;
  bench.registerWorker("a", Place{.cores = 1000});
  bench.registerWorker("b", Place{.cores = 1000});
  bench.submit("gang", {ClusterStateFixture::gang(2)});
  STRCMP_EQUAL("start gang on a, start gang on b", bench.plan().c_str());
  bench.apply(WorkerSynced{
      WorkerId{"a"}, bench.clusterState.workers().at(WorkerId{"a"}).lastIssuedOrder, {}});
  bench.now += 2400;
  STRCMP_EQUAL("", bench.plan().c_str());
  bench.now += 200;
  STRCMP_EQUAL("stop gang on a, stop gang on b", bench.plan().c_str());
  STRCMP_EQUAL("", bench.plan().c_str());
}

// What waits for something else than cores and memory reserves none of these: others would wait for
// it in vain. docs/paper.md 3.
TEST(Placement, whatWaitsToBeApartKeepsNoRoomIdle) {
  ClusterStateFixture bench;
  bench.registerWorker("a");
  bench.submit("job", {ClusterStateFixture::step(2, 1000, apart(1))});
  STRCMP_EQUAL("start job on a", bench.planAndRun().c_str());
  bench.submit("other", {ClusterStateFixture::step(1, 3000)});
  STRCMP_EQUAL("start other on a", bench.planAndRun().c_str());
}

TEST(Placement, whatWaitsForAnAcceleratorKeepsNoRoomIdle) {
  ClusterStateFixture bench;
  bench.registerWorker("a", Place{.accelerators = 1});
  bench.submit("job", {accelerated(2, 1)});
  STRCMP_EQUAL("start job on a", bench.planAndRun().c_str());
  bench.submit("other", {ClusterStateFixture::step(1, 3000)});
  STRCMP_EQUAL("start other on a", bench.planAndRun().c_str());
}

// Away from its data a task takes longer; one that found no place for that says nothing of another
// that takes its plain time.
TEST(Placement, aTaskFarFromItsDataKeepsNoOtherFromRoom) {
  ClusterStateFixture bench;
  bench.registerWorker("a", Place{.cores = 8000, .rack = "r1"});
  bench.submit("first", {ClusterStateFixture::step(1, 6000, {}, false, 100'000)});
  bench.planAndRun();
  bench.submit("wide", {ClusterStateFixture::step(1, 8000, {}, false, 50'000)});
  STRCMP_EQUAL("", bench.planAndRun().c_str());  // holds the reserved start
  bench.now += 1;
  bench.submit("far", {ClusterStateFixture::step(1, 1000, near("r2"), false,
                                                 80'000)});  // 120 s here: past the reserved start
  STRCMP_EQUAL("", bench.planAndRun().c_str());
  bench.now += 1;
  bench.submit("plain", {ClusterStateFixture::step(1, 1000, {}, false, 80'000)});
  STRCMP_EQUAL("start plain on a", bench.planAndRun().c_str());
}
