// Tests of how the cluster state handles results and drains of workers that an agent calls, rather
// than workers that sync themselves. docs/design.md 5.7, 5.8, 7.4.
#include "state/cluster_state.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

namespace {

Capacity calledWorkerCapacity() {
  Capacity capacity;
  capacity.cores = 4000;
  capacity.memory = 1000;
  capacity.honoursLeases = true;
  capacity.killsOnLeaseExpiry = true;
  capacity.selfAssemblingGangs = true;
  return capacity;
}

// A cluster state with two workers on which gangs assemble themselves, and one job: a gang of two
// tasks.
struct GangFixture {
  ClusterState clusterState;
  std::int64_t now = 0;
  std::uint64_t lastAttempt = 0;
  GangFixture() {
    auto config = ClusterConfig::parse(R"({"queues":{"q":{"tries":2}}})");
    config.value().version = ConfigVersion{1};
    apply(ConfigCommitted{config.value()});
    for (const char* id : {"v", "w"})
      apply(WorkerRegistered{WorkerId{id}, Incarnation{1}, calledWorkerCapacity()});
    JobSubmission job;
    job.id = JobId{"a"};
    job.queue = QueueName{"q"};
    job.steps = {{"only", {}, true, {TaskRequest{}, TaskRequest{}}}};
    apply(JobAccepted{job});
  }
  void apply(Event event) { clusterState.apply(LogRecord{ClusterTime{++now}, std::move(event)}); }
  // Starts the given tasks with this run number: task 0 on worker v, task 1 on worker w.
  void place(std::uint32_t run, std::vector<std::uint32_t> tasks) {
    PlanMade plan;
    for (auto task : tasks) {
      Action action;
      action.attempt = AttemptNumber{++lastAttempt};
      action.job = JobId{"a"};
      action.taskIndex = task;
      action.worker = WorkerId{task ? "w" : "v"};
      action.memory = 1;
      action.runNumber = run;
      plan.actions.push_back(action);
    }
    apply(plan);
    for (const char* id : {"v", "w"})
      apply(
          WorkerSynced{WorkerId{id}, clusterState.workers().at(WorkerId{id}).lastIssuedOrder, {}});
  }
  void endAttempt(const char* worker, std::uint64_t attempt, AttemptOutcome outcome) {
    apply(WorkerSynced{
        WorkerId{worker}, OrderNumber{}, {AttemptResult{AttemptNumber{attempt}, outcome}}});
  }
  JobState state() const { return clusterState.jobs().at(JobId{"a"}).state; }
};

}  // namespace

TEST_GROUP(CalledWorkerStateTests){};

// Holds also if the success of another member was void; otherwise that member would run again and
// wait for the others forever.
TEST(CalledWorkerStateTests, oneSuccessCountsForTheWholeGang) {
  GangFixture fixture;
  fixture.place(1, {0, 1});
  fixture.endAttempt("v", 1, AttemptOutcome::stopped);
  fixture.endAttempt("w", 2, AttemptOutcome::succeeded);
  CHECK(fixture.state() == JobState::succeeded);
}
TEST(CalledWorkerStateTests, lateSuccessOfAGangStopsItsReplacement) {
  GangFixture fixture;
  fixture.place(1, {0, 1});
  fixture.endAttempt("v", 1, AttemptOutcome::stopped);
  fixture.place(2, {0});
  fixture.endAttempt("w", 2, AttemptOutcome::succeeded);
  CHECK(fixture.clusterState.attempts().at(AttemptNumber{3}).state == AttemptState::stopping);
  fixture.endAttempt("v", 3, AttemptOutcome::stopped);
  CHECK(fixture.state() == JobState::succeeded);
}

// docs/design.md 5.7: a worker that became unreachable while draining continues to drain.
TEST(CalledWorkerStateTests, drainingWorkerIsStillDrainingAfterItReconnects) {
  ClusterState clusterState;
  std::int64_t now = 1000;
  auto apply = [&](Event event) {
    clusterState.apply(LogRecord{ClusterTime{++now}, std::move(event)});
  };
  const WorkerId id{"v"};
  apply(WorkerRegistered{id, Incarnation{1}, calledWorkerCapacity()});
  const Worker& worker = clusterState.workers().at(id);
  apply(WorkerDrainStarted{id, Duration{2000}, false});
  apply(WorkerUnreachable{id, {}});
  apply(WorkerReconnected{id});
  CHECK(worker.state == WorkerState::draining);
  // The same holds if the drain began while the worker was unreachable.
  apply(WorkerRegistered{id, Incarnation{2}, calledWorkerCapacity()});
  apply(WorkerUnreachable{id, {}});
  apply(WorkerDrainStarted{id, Duration{2000}, false});
  apply(WorkerReconnected{id});
  CHECK(worker.state == WorkerState::draining);
  // After an operator ends the drain, becoming unreachable does not resume it.
  apply(WorkerReconnected{id});
  CHECK(worker.state == WorkerState::available);
  apply(WorkerUnreachable{id, {}});
  apply(WorkerReconnected{id});
  CHECK(worker.state == WorkerState::available);
}
