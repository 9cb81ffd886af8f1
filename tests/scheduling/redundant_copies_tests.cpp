// Tests of redundant copies and trials against the limits of their step. After a change of leader
// all copies of one step were once started on the same worker, past its limit per worker.
// docs/design.md 7.7, 7.14.
#include "state/cluster_state_fixture.hpp"

using namespace aniseline;

TEST_GROUP(RedundantCopiesTests) {
  ClusterStateFixture fixture;
  PlannerHints hints;

  void setup() override {
    for (const char* id : {"w1", "w2", "w3", "w4", "w5", "w6"})
      fixture.registerWorker(id);
  }
  // Runs a step of four redundant tasks, at most one on each worker.
  void runLimitedStep() {
    StepRequirements requirements;
    requirements.redundant = true;
    requirements.maxPerWorker = 1;
    fixture.submit("job", {ClusterStateFixture::step(4, 1000, requirements)});
    fixture.planAndRun();
  }
  // Makes the workers of the step's tasks unknown to the leader, as they are to a new one.
  void forgetWorkersOfStep() {
    for (std::size_t task = 0; task < 4; ++task)
      fixture.contactAges.erase(WorkerId{fixture.workerOf("job", task)});
  }
  std::vector<std::string> workersOfCopies() {
    const Plan plan = fixture.planner.makePlan(fixture.clusterState, ClusterTime{fixture.now},
                                               fixture.contactAges, false, hints);
    std::vector<std::string> workers;
    for (const auto& action : plan.record.actions)
      if (action.redundantCopy)
        workers.push_back(action.worker.value);
    std::sort(workers.begin(), workers.end());
    return workers;
  }
};

TEST(RedundantCopiesTests, copiesOfOnePlanKeepTheLimitPerWorker) {
  runLimitedStep();
  forgetWorkersOfStep();
  const auto workers = workersOfCopies();
  LONGS_EQUAL(2, workers.size());  // two workers are in contact
  CHECK(workers[0] != workers[1]);
}

TEST(RedundantCopiesTests, aNewLeaderDoesNotTakeAWorkerForSilentBeforeItCanHaveReported) {
  runLimitedStep();
  forgetWorkersOfStep();
  hints.leadingFor = Duration{2000};
  CHECK(workersOfCopies().empty());
  hints.leadingFor = Duration{2001};
  CHECK_FALSE(workersOfCopies().empty());
}

TEST(RedundantCopiesTests, aWorkerThatThisLeaderHasHeardFromIsJudgedByThat) {
  runLimitedStep();
  hints.leadingFor = Duration{3000};
  CHECK(workersOfCopies().empty());
  fixture.contactAges[WorkerId{fixture.workerOf("job", 0)}] = Duration{2001};
  LONGS_EQUAL(1, workersOfCopies().size());
}

TEST(RedundantCopiesTests, trialsOfOnePlanKeepTheLimitPerWorker) {
  ClusterStateFixture trialCluster{
      R"({"planner":{"trials":true},"queues":{"q":{"trial":{"quantum_ms":1000,"minimum_run_ms":0}}}})"};
  Capacity capacity;
  capacity.cores = 8000;
  capacity.memory = 1000;
  capacity.honoursLeases = true;
  trialCluster.apply(WorkerRegistered{WorkerId{"a"}, Incarnation{1}, capacity});
  trialCluster.contactAges[WorkerId{"a"}] = Duration{0};
  // The fillers take the cores, so that the other job can only have trials, one for each filler.
  trialCluster.submit("filler", {ClusterStateFixture::step(2, 4000)});
  trialCluster.planAndRun();
  trialCluster.now += 5000;
  StepRequirements requirements;
  requirements.maxPerWorker = 1;
  trialCluster.submit("limited", {ClusterStateFixture::step(3, 1000, requirements)});
  const std::string actions = trialCluster.planAndRun();
  STRCMP_EQUAL("hold filler on a, start limited on a", actions.c_str());
}
