// Tests of the cluster state: self-assembling gangs, retry limits, long-running steps, timetables,
// infeasible jobs, checkpoints, workers and redundant copies. docs/design.md 4, 5.
#include "scheduling/feasibility.hpp"
#include "state/cluster_state_fixture.hpp"

using namespace aniseline;

namespace {

StepRequirements longRunningRequirements() {
  StepRequirements stepRequirements;
  stepRequirements.longRunning = true;
  return stepRequirements;
}
StepRequirements checkpointedRequirements() {
  StepRequirements stepRequirements;
  stepRequirements.checkpointed = true;
  return stepRequirements;
}

}  // namespace

TEST_GROUP(ClusterStateGangs){};

TEST(ClusterStateGangs, membersStartTogetherWithOneRunNumber) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a");
  fixture.registerWorker("b");
  fixture.submit("gang", {ClusterStateFixture::gang(6)});
  STRCMP_EQUAL(
      "start gang on a, start gang on a, start gang on a, start gang on a, start gang on b, start "
      "gang on b",
      fixture.planAndRun().c_str());
  for (std::size_t task = 0; task < 6; ++task)
    LONGS_EQUAL(1, fixture.task("gang", task).runNumber);
  LONGS_EQUAL(1, fixture.clusterState.attempts().at(fixture.attempt("gang", 5)).runNumber);
  LONGS_EQUAL(1, fixture.lastOrder("b").runNumber);
}

TEST(ClusterStateGangs, startAsAWholeOrNotAtAll) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a");
  fixture.submit("gang", {ClusterStateFixture::gang(6)});
  STRCMP_EQUAL("", fixture.plan().c_str());
  fixture.registerWorker("b");
  CHECK(fixture.plan().find("start gang on b") != std::string::npos);
}

TEST(ClusterStateGangs, oneSuccessCompletesAllMembers) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a");
  fixture.submit("gang", {ClusterStateFixture::gang(3)});
  fixture.submit("next", {ClusterStateFixture::step(1)});
  fixture.planAndRun();
  const AttemptNumber other = fixture.attempt("gang", 2);
  fixture.endAttempt("gang", AttemptOutcome::succeeded, 1);
  STRCMP_EQUAL("done done done", fixture.tasks("gang").c_str());
  STRCMP_EQUAL("open", fixture.state("gang").c_str());  // the other attempts still occupy resources
  LONGS_EQUAL(2, fixture.openAttempts("gang"));
  CHECK_FALSE(fixture.stopOrdered(other));
  for (auto number : fixture.clusterState.attemptsOf(JobId{"gang"}, AttemptScope::all))
    fixture.endAttempt(number, AttemptOutcome::succeeded);
  STRCMP_EQUAL("finished", fixture.state("gang").c_str());
  LONGS_EQUAL(1, fixture.clusterState.counters().succeeded);
}

TEST(ClusterStateGangs, laterResultsOfMembersLeaveTheGangSucceeded) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a");
  fixture.submit("gang", {ClusterStateFixture::gang(3)});
  fixture.planAndRun();
  fixture.endAttempt("gang", AttemptOutcome::succeeded, 0);
  const auto left = fixture.clusterState.attemptsOf(JobId{"gang"}, AttemptScope::all);
  fixture.endAttempt(left.at(0), AttemptOutcome::stopped);
  fixture.endAttempt(left.at(1), AttemptOutcome::failed);
  STRCMP_EQUAL("finished", fixture.state("gang").c_str());
  STRCMP_EQUAL("", fixture.plan().c_str());
}

TEST(ClusterStateGangs, failureStopsOtherMembersAndCountsOnce) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a");
  fixture.submit("gang", {ClusterStateFixture::gang(3)});
  fixture.planAndRun();
  const AttemptNumber second = fixture.attempt("gang", 1), third = fixture.attempt("gang", 2);
  fixture.endAttempt("gang", AttemptOutcome::failed, 0);
  CHECK(fixture.stopOrdered(second));
  CHECK(fixture.stopOrdered(third));
  STRCMP_EQUAL("", fixture.plan().c_str());  // not before all attempts of the gang are closed
  fixture.endAttempt(second, AttemptOutcome::failed);  // failed by itself before the stop arrived
  fixture.endAttempt(third, AttemptOutcome::stopped);
  LONGS_EQUAL(1, fixture.task("gang", 0).failureCount);
  STRCMP_EQUAL("waiting waiting waiting", fixture.tasks("gang").c_str());
  fixture.now += 6000;
  fixture.planAndRun();
  for (std::size_t task = 0; task < 3; ++task)
    LONGS_EQUAL(2, fixture.task("gang", task).runNumber);
  for (int count = 2; count <= 3; ++count) {
    STRCMP_EQUAL("open", fixture.state("gang").c_str());
    fixture.endAttempt("gang", AttemptOutcome::failed, 2);
    for (auto number : fixture.clusterState.attemptsOf(JobId{"gang"}, AttemptScope::all))
      fixture.endAttempt(number, AttemptOutcome::stopped);
    fixture.now += 60'000;
    fixture.planAndRun();
  }
  STRCMP_EQUAL("failed", fixture.state("gang").c_str());  // three of its runs failed
  CHECK(!fixture.job("gang").reason.empty());
}

// A member that stopped because another failed may be reported before that failure.
TEST(ClusterStateGangs, memberStoppedBeforeTheFailureIsNotCounted) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a");
  fixture.submit("gang", {ClusterStateFixture::gang(2)});
  fixture.planAndRun();
  const AttemptNumber second = fixture.attempt("gang", 1);
  fixture.endAttempt("gang", AttemptOutcome::stopped, 0);
  CHECK(fixture.stopOrdered(second));
  fixture.endAttempt(second, AttemptOutcome::failed);
  LONGS_EQUAL(1, fixture.task("gang", 0).failureCount);
  LONGS_EQUAL(0, fixture.task("gang", 1).failureCount);
  fixture.now += 6000;
  STRCMP_EQUAL("start gang on a, start gang on a", fixture.plan().c_str());
}

TEST(ClusterStateGangs, rejectedMemberStopsTheOthers) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a");
  fixture.submit("gang", {ClusterStateFixture::gang(2)});
  fixture.plan();
  const AttemptNumber second = fixture.attempt("gang", 1);
  fixture.endAttempt("gang", AttemptOutcome::rejected, 0);
  CHECK(fixture.stopOrdered(second));
  fixture.endAttempt(second, AttemptOutcome::stopped);
  LONGS_EQUAL(0, fixture.task("gang", 0).failureCount);
  STRCMP_EQUAL("waiting waiting", fixture.tasks("gang").c_str());
}

TEST(ClusterStateGangs, checkpointsBelongToTheWholeGang) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a");
  fixture.submit("gang", {ClusterStateFixture::gang(2, 1000, checkpointedRequirements())});
  fixture.planAndRun();
  fixture.saveCheckpoint("gang", 1, "x1");
  fixture.endAttempt("gang", AttemptOutcome::failed, 1);
  fixture.endAttempt("gang", AttemptOutcome::stopped, 0);
  fixture.now += 6000;
  fixture.plan();
  std::vector<std::string> checkpoints;
  for (const auto& order : fixture.clusterState.workers().at(WorkerId{"a"}).unappliedOrders)
    if (order.kind == OrderKind::start && order.runNumber == 2)
      checkpoints.push_back(order.checkpoint);
  LONGS_EQUAL(2, checkpoints.size());
  for (const auto& savedCheckpoint : checkpoints)
    STRCMP_EQUAL("x1", savedCheckpoint.c_str());
}

TEST_GROUP(ClusterStateRetryLimit){};

// docs/design.md 4.4: in a queue with `tries`, only failed runs count.
TEST(ClusterStateRetryLimit, countsFailedRunsOnly) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a");
  fixture.submit("job", {ClusterStateFixture::step(1)});
  for (int count = 0; count < 12; ++count) {
    fixture.planAndRun();
    fixture.endAttempt("job", count % 3 == 0   ? AttemptOutcome::stopped
                              : count % 3 == 1 ? AttemptOutcome::neverStarted
                                               : AttemptOutcome::rejected);
    fixture.now += 60'000;
    STRCMP_EQUAL("open", fixture.state("job").c_str());
  }
  LONGS_EQUAL(0, fixture.task("job").failureCount);
  for (int count = 1; count <= 3; ++count) {
    STRCMP_EQUAL("open", fixture.state("job").c_str());
    STRCMP_EQUAL("start job on a", fixture.planAndRun().c_str());
    fixture.endAttempt("job", AttemptOutcome::failed);
    LONGS_EQUAL(count, fixture.task("job").failureCount);
    fixture.now += 60'000;
  }
  STRCMP_EQUAL("failed", fixture.state("job").c_str());
  STRCMP_EQUAL("", fixture.plan().c_str());
}

TEST(ClusterStateRetryLimit, leaseExpiryIsNotCounted) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a");
  fixture.registerWorker("b");
  fixture.submit("job", {ClusterStateFixture::step(1)});
  for (int count = 0; count < 8; ++count) {
    fixture.planAndRun();
    const AttemptNumber number = fixture.attempt("job");
    const WorkerId workerId = fixture.clusterState.attempts().at(number).worker;
    fixture.apply(WorkerUnreachable{workerId, {number}});
    STRCMP_EQUAL("waiting", fixture.tasks("job").c_str());
    fixture.now += 60'000;
    fixture.apply(WorkerReconnected{workerId});
    // The result is reported late and is void, because the lease had expired.
    fixture.endAttempt(number, count % 2 ? AttemptOutcome::failed : AttemptOutcome::stopped);
    STRCMP_EQUAL("waiting", fixture.tasks("job").c_str());
  }
  LONGS_EQUAL(0, fixture.task("job").failureCount);
}

// docs/design.md 5.5: an abandoned attempt's lease has expired, so a success that is reported late
// is void as well.
TEST(ClusterStateRetryLimit, successReportedAfterLeaseExpiryIsIgnored) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a");
  fixture.registerWorker("b");
  fixture.submit("job", {ClusterStateFixture::step(1)});
  fixture.planAndRun();
  const AttemptNumber first = fixture.attempt("job");
  fixture.apply(WorkerUnreachable{fixture.clusterState.attempts().at(first).worker, {first}});
  STRCMP_EQUAL("start job on b", fixture.planAndRun().c_str());
  fixture.endAttempt(first, AttemptOutcome::succeeded);
  STRCMP_EQUAL("placed", fixture.tasks("job").c_str());
  CHECK_FALSE(fixture.stopOrdered(fixture.attempt("job")));
  fixture.endAttempt("job");
  STRCMP_EQUAL("finished", fixture.state("job").c_str());
}

TEST(ClusterStateRetryLimit, queuesWithoutMaxFailuresCountStarts) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a", {.pool = ""});
  fixture.submit("job", {ClusterStateFixture::step(1)}, "plain");
  fixture.planAndRun();
  fixture.endAttempt("job", AttemptOutcome::failed);
  fixture.now += 60'000;
  fixture.planAndRun();
  fixture.endAttempt("job", AttemptOutcome::failed);
  STRCMP_EQUAL("failed", fixture.state("job").c_str());
}

TEST_GROUP(ClusterStateLongRunning){};

TEST(ClusterStateLongRunning, restartsAfterAnyOutcome) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a");
  fixture.submit("job", {ClusterStateFixture::step(2, 1000, longRunningRequirements())});
  for (int count = 0; count < 20; ++count) {
    CHECK(fixture.planAndRun().find("start job on a") != std::string::npos);
    fixture.endAttempt("job",
                       count % 3 == 0   ? AttemptOutcome::failed
                       : count % 3 == 1 ? AttemptOutcome::succeeded
                                        : AttemptOutcome::stopped,
                       0);
    STRCMP_EQUAL("waiting placed", fixture.tasks("job").c_str());
    STRCMP_EQUAL("open", fixture.state("job").c_str());
    fixture.now += 60'000;
  }
  LONGS_EQUAL(20, fixture.task("job").runNumber);
  fixture.apply(JobCancelled{JobId{"job"}});
  STRCMP_EQUAL("cancelling", fixture.state("job").c_str());
  fixture.endAttempt("job", AttemptOutcome::stopped, 1);
  STRCMP_EQUAL("cancelled", fixture.state("job").c_str());
}

TEST(ClusterStateLongRunning, gangsRestartAsAWhole) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a");
  fixture.submit("job", {ClusterStateFixture::gang(2, 1000, longRunningRequirements())});
  fixture.planAndRun();
  const AttemptNumber second = fixture.attempt("job", 1);
  fixture.endAttempt("job", AttemptOutcome::succeeded, 0);
  CHECK(fixture.stopOrdered(second));
  fixture.endAttempt(second, AttemptOutcome::stopped);
  fixture.now += 1000;
  STRCMP_EQUAL("start job on a, start job on a", fixture.plan().c_str());
  LONGS_EQUAL(2, fixture.task("job", 1).runNumber);
}

TEST_GROUP(ClusterStateTimetables){};

TEST(ClusterStateTimetables, endOnlyWithAllOccurrences) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a");
  fixture.submit("job", {ClusterStateFixture::step(1)}, "q",
                 Timetable{ClusterTime{5000}, Duration{1000}, 3});
  STRCMP_EQUAL("timed", fixture.state("job").c_str());
  STRCMP_EQUAL("", fixture.plan().c_str());
  for (int count = 0; count < 3; ++count)
    fixture.apply(OccurrenceFired{JobId{"job"}});
  fixture.planAndRun();  // the occurrences overlap
  fixture.endAttempt("job@2");
  fixture.endAttempt("job@0");
  STRCMP_EQUAL("finished", fixture.state("job@2").c_str());
  STRCMP_EQUAL("timed", fixture.state("job").c_str());
  fixture.endAttempt("job@1");
  STRCMP_EQUAL("finished", fixture.state("job").c_str());
  CHECK(fixture.clusterState.openJobs().empty());
  LONGS_EQUAL(0, fixture.clusterState.openJobsOf(QueueName{"q"}));
}

TEST(ClusterStateTimetables, stayOpenBetweenOccurrences) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a");
  fixture.submit("job", {ClusterStateFixture::step(1)}, "q",
                 Timetable{ClusterTime{5000}, Duration{1000}, 2});
  fixture.apply(OccurrenceFired{JobId{"job"}});
  fixture.planAndRun();
  fixture.endAttempt("job@0");
  STRCMP_EQUAL("timed", fixture.state("job").c_str());
  fixture.apply(OccurrenceFired{JobId{"job"}});
  fixture.planAndRun();
  fixture.endAttempt("job@1");
  STRCMP_EQUAL("finished", fixture.state("job").c_str());
}

TEST(ClusterStateTimetables, failWithTheFirstFailedOccurrence) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a");
  fixture.submit("job", {ClusterStateFixture::step(1)}, "other",
                 Timetable{ClusterTime{5000}, Duration{1000}, 4});
  fixture.registerWorker("s", {.pool = "store"});
  fixture.apply(OccurrenceFired{JobId{"job"}});
  fixture.apply(OccurrenceFired{JobId{"job"}});
  fixture.planAndRun();
  fixture.endAttempt("job@0", AttemptOutcome::failed);
  STRCMP_EQUAL("failed", fixture.state("job@0").c_str());
  STRCMP_EQUAL("failed", fixture.state("job").c_str());
  CHECK(fixture.job("job").reason.find("occurrence 0") == 0);
  STRCMP_EQUAL("cancelling", fixture.state("job@1").c_str());
  CHECK(fixture.stopOrdered(fixture.attempt("job@1")));
  fixture.apply(OccurrenceFired{JobId{"job"}});
  CHECK(fixture.clusterState.jobs().count(JobId{"job@2"}) == 0);
  fixture.endAttempt("job@1", AttemptOutcome::stopped);
  STRCMP_EQUAL("cancelled", fixture.state("job@1").c_str());
  STRCMP_EQUAL("failed", fixture.state("job").c_str());
  CHECK(fixture.clusterState.openJobs().empty());
}

TEST(ClusterStateTimetables, cancellingCancelsAllOccurrences) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a");
  fixture.submit("job", {ClusterStateFixture::step(1)}, "q",
                 Timetable{ClusterTime{5000}, Duration{1000}, 4});
  fixture.apply(OccurrenceFired{JobId{"job"}});
  fixture.apply(OccurrenceFired{JobId{"job"}});
  fixture.planAndRun();
  fixture.endAttempt("job@0");
  fixture.apply(JobCancelled{JobId{"job"}});
  STRCMP_EQUAL("cancelled", fixture.state("job").c_str());
  STRCMP_EQUAL("finished", fixture.state("job@0").c_str());
  CHECK(fixture.stopOrdered(fixture.attempt("job@1")));
  fixture.endAttempt("job@1", AttemptOutcome::stopped);
  STRCMP_EQUAL("cancelled", fixture.state("job@1").c_str());
  fixture.apply(OccurrenceFired{JobId{"job"}});
  CHECK(fixture.clusterState.jobs().count(JobId{"job@2"}) == 0);
  LONGS_EQUAL(0, fixture.clusterState.openJobsOf(QueueName{"q"}));
}

TEST_GROUP(ClusterStateInfeasibleJobs){};

TEST(ClusterStateInfeasibleJobs, reportedOnlyAfterCapacitiesSettled) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a");
  fixture.submit("big", {ClusterStateFixture::step(1, 9000)});
  const auto& oversized = fixture.job("big").submission;
  CHECK(!infeasibilityReason(fixture.clusterState, oversized, oversized.steps[0]));
  fixture.now += 3000;
  fixture.apply(LeaderStarted{});
  CHECK(infeasibilityReason(fixture.clusterState, oversized, oversized.steps[0]).has_value());
  fixture.apply(JobFailed{JobId{"big"}, "no known worker could ever hold it"});
  STRCMP_EQUAL("failed", fixture.state("big").c_str());
  STRCMP_EQUAL("no known worker could ever hold it", fixture.job("big").reason.c_str());
  CHECK(fixture.clusterState.openJobs().empty());
}

// Jobs of a service that had just been added were failed for good, because workers of other
// services were known and the first worker of this one had not registered yet.
TEST(ClusterStateInfeasibleJobs, notReportedWhileNoWorkerOfThePoolHasRegistered) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a");
  fixture.now += 60'000;
  fixture.apply(LeaderStarted{});
  fixture.submit("early", {ClusterStateFixture::step(1)}, "other");
  const auto& early = fixture.job("early").submission;
  CHECK(!infeasibilityReason(fixture.clusterState, early, early.steps[0]));
  // The first worker of the pool starts the time after which capacities have settled.
  fixture.registerWorker("s", {.cores = 500, .pool = "store"});
  fixture.now += 2000;
  fixture.apply(LeaderStarted{});
  CHECK(!infeasibilityReason(fixture.clusterState, early, early.steps[0]));
  fixture.now += 1000;
  fixture.apply(LeaderStarted{});
  CHECK(infeasibilityReason(fixture.clusterState, early, early.steps[0]).has_value());
}

TEST(ClusterStateInfeasibleJobs, dependsOnLabelPoolAcceleratorsAndMaxPerWorker) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a", {.labels = {"colour"}, .accelerators = 1});
  fixture.registerWorker("b");
  fixture.registerWorker("s", {.cores = 64'000, .pool = "store"});
  fixture.now += 3000;
  fixture.apply(LeaderStarted{});
  auto isInfeasible = [&](StepRequest step, const std::string& queue = "q") {
    JobSubmission job;
    job.queue = QueueName{queue};
    job.steps = {step};
    return infeasibilityReason(fixture.clusterState, job, job.steps[0]).has_value();
  };
  auto withLabel = [](const std::string& label) {
    StepRequirements stepRequirements;
    stepRequirements.requiredLabel = label;
    return stepRequirements;
  };
  // Tasks that are not a gang can run one after another.
  CHECK_FALSE(isInfeasible(ClusterStateFixture::step(9, 4000)));
  CHECK(isInfeasible(ClusterStateFixture::step(1, 4001)));
  // It fits the worker of the other pool.
  CHECK_FALSE(isInfeasible(ClusterStateFixture::step(1, 4001), "other"));
  CHECK_FALSE(isInfeasible(ClusterStateFixture::step(1, 1000, withLabel("colour"))));
  CHECK(isInfeasible(ClusterStateFixture::step(1, 1000, withLabel("absent"))));
  auto acceleratorStep = ClusterStateFixture::step(1);
  acceleratorStep.tasks[0].accelerators = 1;
  CHECK_FALSE(isInfeasible(acceleratorStep));
  acceleratorStep.tasks[0].accelerators = 2;
  CHECK(isInfeasible(acceleratorStep));
  CHECK_FALSE(isInfeasible(ClusterStateFixture::gang(8)));
  CHECK(isInfeasible(ClusterStateFixture::gang(9)));
  CHECK(isInfeasible(ClusterStateFixture::gang(5, 1000, withLabel("colour"))));
  StepRequirements onePerWorker;
  onePerWorker.maxPerWorker = 1;
  CHECK_FALSE(isInfeasible(ClusterStateFixture::gang(2, 1000, onePerWorker)));
  CHECK(isInfeasible(ClusterStateFixture::gang(3, 1000, onePerWorker)));
  // Tasks that are not a gang can run one after another.
  CHECK_FALSE(isInfeasible(ClusterStateFixture::step(3, 1000, onePerWorker)));
}

TEST(ClusterStateInfeasibleJobs, failedOccurrenceFailsItsTimetable) {
  ClusterStateFixture fixture;
  fixture.submit("job", {ClusterStateFixture::step(1)}, "q",
                 Timetable{ClusterTime{5000}, Duration{1000}, 4});
  fixture.apply(OccurrenceFired{JobId{"job"}});
  fixture.apply(JobFailed{JobId{"job@0"}, "no room anywhere"});
  STRCMP_EQUAL("failed", fixture.state("job").c_str());
  CHECK(fixture.job("job").reason.find("no room anywhere") != std::string::npos);
}

TEST_GROUP(ClusterStateCheckpoints){};

TEST(ClusterStateCheckpoints, passedToTheNextStartOfTheTask) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a");
  fixture.submit("job", {ClusterStateFixture::step(2, 1000, checkpointedRequirements())});
  fixture.planAndRun();
  fixture.saveCheckpoint("job", 0, "x1");
  fixture.endAttempt("job", AttemptOutcome::stopped, 0, "x2");
  fixture.endAttempt("job", AttemptOutcome::failed, 1);
  fixture.now += 60'000;
  fixture.plan();
  std::map<std::uint32_t, std::string> checkpoints;
  for (const auto& order : fixture.clusterState.workers().at(WorkerId{"a"}).unappliedOrders)
    if (order.kind == OrderKind::start && order.runNumber == 2)
      checkpoints[order.indexInStep] = order.checkpoint;
  STRCMP_EQUAL("x2", checkpoints.at(0).c_str());
  STRCMP_EQUAL("", checkpoints.at(1).c_str());  // checkpoints of other tasks are not used
}

TEST(ClusterStateCheckpoints, checkpointOfAnEarlierRunNeverReplacesALaterOne) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a");
  fixture.registerWorker("b");
  fixture.submit("job", {ClusterStateFixture::step(1, 1000, checkpointedRequirements())});
  fixture.planAndRun();
  const AttemptNumber first = fixture.attempt("job");
  fixture.saveCheckpoint("job", 0, "x1");
  fixture.apply(WorkerUnreachable{fixture.clusterState.attempts().at(first).worker, {first}});
  STRCMP_EQUAL("x1", fixture.task("job").checkpoint.c_str());
  fixture.planAndRun();
  fixture.saveCheckpoint("job", 0, "y2");
  fixture.endAttempt(first, AttemptOutcome::stopped, "x9");
  STRCMP_EQUAL("y2", fixture.task("job").checkpoint.c_str());
  // An empty checkpoint does not replace the last one.
  fixture.endAttempt("job", AttemptOutcome::stopped, 0, "");
  STRCMP_EQUAL("y2", fixture.task("job").checkpoint.c_str());
}

TEST_GROUP(ClusterStateWorkers){};

TEST(ClusterStateWorkers, newWorkerOnAHostReplacesTheFormer) {
  ClusterStateFixture fixture;
  fixture.registerWorker("life-1", {.host = "h1"});
  fixture.registerWorker("elsewhere", {.cores = 8000, .host = "h2"});
  fixture.submit("job", {ClusterStateFixture::step(1)});
  fixture.planAndRun();
  STRCMP_EQUAL("life-1", fixture.workerOf("job").c_str());
  fixture.registerWorker("life-2", {.host = "h1"});
  CHECK(fixture.clusterState.workers().at(WorkerId{"life-1"}).state == WorkerState::removed);
  CHECK(fixture.clusterState.workers().at(WorkerId{"elsewhere"}).state == WorkerState::available);
  STRCMP_EQUAL("waiting", fixture.tasks("job").c_str());
  LONGS_EQUAL(0, fixture.openAttempts("job"));
  STRCMP_EQUAL("start job on life-2", fixture.planAndRun().c_str());
  LONGS_EQUAL(2, fixture.task("job").runNumber);
}

TEST(ClusterStateWorkers, reRegisteredWorkerKeepsItsAttempts) {
  ClusterStateFixture fixture;
  fixture.registerWorker("life-1", {.host = "h1"});
  fixture.submit("job", {ClusterStateFixture::step(1)});
  fixture.planAndRun();
  // The worker registers again with a changed capacity.
  fixture.registerWorker("life-1", {.cores = 8000, .host = "h1"});
  STRCMP_EQUAL("placed", fixture.tasks("job").c_str());
  LONGS_EQUAL(1, fixture.openAttempts("job"));
}

TEST(ClusterStateWorkers, attemptsAreFoundByRunId) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a");
  fixture.registerWorker("b");
  auto second = ClusterStateFixture::step(2);
  second.dependencies = {"0"};
  fixture.submit("job", {ClusterStateFixture::step(2), second});
  fixture.submit("timed", {ClusterStateFixture::step(1)}, "q",
                 Timetable{ClusterTime{5000}, Duration{1000}, 3});
  fixture.apply(OccurrenceFired{JobId{"timed"}});
  fixture.apply(OccurrenceFired{JobId{"timed"}});
  fixture.planAndRun();
  auto findRun = [&](const std::string& worker, const std::string& job, std::uint32_t occurrence,
                     std::uint32_t step, std::uint32_t taskInStep, std::uint32_t run) {
    return fixture.clusterState.findAttempt(
        WorkerId{worker}, TaskRunId{JobId{job}, occurrence, step, taskInStep, run});
  };
  const std::string workerId = fixture.workerOf("job", 1);
  CHECK(findRun(workerId, "job", 0, 0, 1, 1) == fixture.attempt("job", 1));
  LONGS_EQUAL(0, findRun(workerId == "a" ? "b" : "a", "job", 0, 0, 1, 1).value);
  LONGS_EQUAL(0, findRun(workerId, "job", 0, 0, 1, 2).value);
  LONGS_EQUAL(0, findRun(workerId, "job", 0, 1, 0, 1).value);  // its step is still blocked
  LONGS_EQUAL(0, findRun(workerId, "job", 0, 9, 0, 1).value);
  LONGS_EQUAL(0, findRun(workerId, "job", 0, 0, 9, 1).value);
  LONGS_EQUAL(0, findRun(workerId, "nobody", 0, 0, 0, 1).value);
  CHECK(findRun(fixture.workerOf("timed@1"), "timed", 1, 0, 0, 1) == fixture.attempt("timed@1"));
  LONGS_EQUAL(0, findRun(fixture.workerOf("timed@1"), "timed", 2, 0, 0, 1).value);
  // An abandoned attempt is found until its result is known.
  const AttemptNumber first = fixture.attempt("job", 1);
  fixture.apply(WorkerUnreachable{WorkerId{workerId}, {first}});
  fixture.planAndRun();
  CHECK(fixture.attempt("job", 1) != first);
  CHECK(findRun(workerId, "job", 0, 0, 1, 1) == first);
  fixture.endAttempt(first, AttemptOutcome::stopped);
  LONGS_EQUAL(0, findRun(workerId, "job", 0, 0, 1, 1).value);
  // So is the attempt of a gang member whose task has already succeeded.
  fixture.apply(WorkerReconnected{WorkerId{workerId}});
  fixture.submit("gang", {ClusterStateFixture::gang(2)});
  fixture.planAndRun();
  const std::string other = fixture.workerOf("gang", 1);
  const AttemptNumber part = fixture.attempt("gang", 1);
  fixture.endAttempt("gang", AttemptOutcome::succeeded, 0);
  CHECK(findRun(other, "gang", 0, 0, 1, 1) == part);
}

TEST(ClusterStateWorkers, drainWithdrawsStartsNotYetReported) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a");
  fixture.registerWorker("b", {.cores = 8000});
  fixture.submit("job", {ClusterStateFixture::step(1)});
  fixture.planAndRun();
  fixture.submit("late", {ClusterStateFixture::step(1)});
  STRCMP_EQUAL("start late on a", fixture.plan().c_str());
  fixture.apply(WorkerDrainStarted{WorkerId{"a"}, Duration{2000}, false});
  CHECK(fixture.stopOrdered(fixture.attempt("late")));
  CHECK_FALSE(fixture.stopOrdered(fixture.attempt("job")));
  fixture.endAttempt("late", AttemptOutcome::neverStarted);
  LONGS_EQUAL(0, fixture.task("late").countedStarts);
  STRCMP_EQUAL("start late on b", fixture.plan().c_str());
}

TEST(ClusterStateWorkers, serializedStateRoundTrips) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a");
  fixture.submit("gang", {ClusterStateFixture::gang(2, 1000, checkpointedRequirements())});
  fixture.submit("timed", {ClusterStateFixture::step(1)}, "q",
                 Timetable{ClusterTime{5000}, Duration{1000}, 3});
  fixture.apply(OccurrenceFired{JobId{"timed"}});
  fixture.planAndRun();
  fixture.saveCheckpoint("gang", 1, "x1");
  auto read = unpack<ClusterState>(pack(fixture.clusterState));
  CHECK(read.has_value());
  CHECK(pack(read.value()) == pack(fixture.clusterState));
  STRCMP_EQUAL("x1", read.value().jobs().at(JobId{"gang"}).tasks[0].checkpoint.c_str());
}

// The members of a gang succeed together and one success counts for all, including a member whose
// worker was removed before it reported a result.
TEST(ClusterStateGangs, oneSuccessCompletesAMemberOfARemovedWorker) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a", {.cores = 1000});
  fixture.registerWorker("b", {.cores = 1000});
  fixture.registerWorker("c", {.cores = 1000});
  fixture.submit("gang", {ClusterStateFixture::gang(2)});
  STRCMP_EQUAL("start gang on a, start gang on b", fixture.planAndRun().c_str());
  const AttemptNumber first = fixture.attempt("gang", 0);
  fixture.apply(WorkerRemoved{WorkerId{"b"}, "crashed"});
  STRCMP_EQUAL("placed waiting", fixture.tasks("gang").c_str());
  CHECK(fixture.stopOrdered(first));
  fixture.endAttempt(first, AttemptOutcome::succeeded);  // it had succeeded before the stop arrived
  STRCMP_EQUAL("done done", fixture.tasks("gang").c_str());
  STRCMP_EQUAL("finished", fixture.state("gang").c_str());
  STRCMP_EQUAL("", fixture.plan().c_str());
}

// A task that is next in order and fits a worker must not wait 3 s, however often it failed or was
// stopped before.
TEST(ClusterStateLongRunning, retryPauseIsBounded) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a");
  fixture.submit("job", {ClusterStateFixture::step(1, 1000, longRunningRequirements())});
  for (int count = 0; count < 10; ++count) {
    fixture.planAndRun();
    fixture.endAttempt("job", AttemptOutcome::failed);
    const Duration pause = fixture.task("job").notBefore - ClusterTime{fixture.now};
    CHECK_TEXT(pause < Duration{2500}, ("waits " + std::to_string(pause.milliseconds) +
                                        " ms after failure " + std::to_string(count + 1))
                                           .c_str());
    fixture.now += 60'000;
  }
}

TEST(ClusterStateRetryLimit, stopsDoNotLengthenTheRetryPause) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a");
  fixture.submit("job", {ClusterStateFixture::step(1)});
  for (int count = 0; count < 6; ++count) {
    fixture.planAndRun();
    fixture.endAttempt("job", AttemptOutcome::stopped);
    fixture.now += 60'000;
  }
  fixture.planAndRun();
  fixture.endAttempt("job", AttemptOutcome::failed);
  const Duration pause = fixture.task("job").notBefore - ClusterTime{fixture.now};
  CHECK_TEXT(
      pause < Duration{2500},
      ("waits " + std::to_string(pause.milliseconds) + " ms after its first failure").c_str());
}

// docs/design.md 5.3: the start order of a closed attempt must not start it when the order is
// resent. A restarted agent receives all unapplied orders again, including those behind an order
// that is still open, while the task may already run elsewhere.
TEST(ClusterStateWorkers, startOrderOfAClosedAttemptBecomesAStop) {
  ClusterStateFixture fixture;
  fixture.registerWorker("a");
  fixture.registerWorker("b");
  fixture.submit("first", {ClusterStateFixture::step(1)});
  fixture.submit("second", {ClusterStateFixture::step(1)});
  STRCMP_EQUAL("start first on a, start second on a", fixture.plan().c_str());
  // The worker has no free capacity for it. The first order is still unanswered.
  fixture.endAttempt("second", AttemptOutcome::rejected);
  STRCMP_EQUAL("start second on b", fixture.plan().c_str());
  for (const auto& order : fixture.clusterState.workers().at(WorkerId{"a"}).unappliedOrders)
    CHECK_TEXT(order.job.value != "second" || order.kind != OrderKind::start,
               "a start that was refused is still ordered there");
}

TEST_GROUP(ClusterStateRedundantCopies) {
  ClusterStateFixture fixture;
  void setup() override {
    StepRequirements stepRequirements;
    stepRequirements.redundant = true;
    fixture.registerWorker("first", {.cores = 8000});
    fixture.registerWorker("other", {.cores = 8000});
    fixture.submit("copied", {ClusterStateFixture::step(1, 1000, stepRequirements, false, 100)});
  }
  void start(std::uint64_t attempt, const char* worker, bool isRedundantCopy) {
    Action action;
    action.attempt = AttemptNumber{attempt};
    action.job = JobId{"copied"};
    action.worker = WorkerId{worker};
    action.memory = 100;
    action.redundantCopy = isRedundantCopy;
    fixture.now += 10;
    fixture.apply(PlanMade{PlanNumber{attempt}, {action}, {}});
  }
};

// docs/incidents.md 3: the failures of redundant copies count against their task's limit, even
// while the first copy hangs.
TEST(ClusterStateRedundantCopies, failedCopiesCountAgainstTheirTask) {
  start(1, "first", false);
  for (std::uint64_t copy = 2; copy <= 4; ++copy) {
    CHECK_TEXT(!fixture.job("copied").terminating, "failed before its tries were used up");
    start(copy, "other", true);
    fixture.endAttempt(AttemptNumber{copy}, AttemptOutcome::failed);
  }
  CHECK(fixture.job("copied").terminating);
  CHECK(fixture.stopOrdered(AttemptNumber{1}));
  fixture.endAttempt(AttemptNumber{1}, AttemptOutcome::stopped);
  STRCMP_EQUAL("failed", fixture.state("copied").c_str());
}

// Of two copies the first success counts: the job ends at once, and the other copy keeps its
// resources until it has stopped.
TEST(ClusterStateRedundantCopies, firstSuccessCompletesTheTask) {
  start(1, "first", false);
  start(2, "other", true);
  fixture.endAttempt(AttemptNumber{2}, AttemptOutcome::succeeded);
  STRCMP_EQUAL("finished", fixture.state("copied").c_str());
  CHECK(fixture.stopOrdered(AttemptNumber{1}));
  fixture.endAttempt(AttemptNumber{1}, AttemptOutcome::succeeded);
  CHECK(fixture.clusterState.attempts().empty());
  STRCMP_EQUAL("finished", fixture.state("copied").c_str());
}

// docs/incidents.md 14: a drain may stop an attempt whose job has expired in the meantime.
TEST(ClusterStateRedundantCopies, drainOfAnAttemptWhoseJobExpiredAddsNoJob) {
  StepRequirements stepRequirements;
  stepRequirements.redundant = true;
  fixture.submit("pair", {ClusterStateFixture::gang(2, 5000, stepRequirements)});
  fixture.planAndRun();
  const std::string drained = fixture.workerOf("pair", 1);
  fixture.apply(WorkerDrainStarted{WorkerId{drained}, Duration{500}, false});
  fixture.apply(WorkerDrainDeadlinePassed{WorkerId{drained}});
  fixture.endAttempt("pair", AttemptOutcome::succeeded, 0);
  STRCMP_EQUAL("finished", fixture.state("pair").c_str());
  LONGS_EQUAL(1, fixture.openAttempts("pair"));
  JobsExpired expired;
  expired.jobs = {JobId{"pair"}};
  fixture.apply(expired);
  fixture.apply(WorkerDrainDeadlinePassed{WorkerId{drained}});
  CHECK(!fixture.clusterState.jobs().count(JobId{"pair"}));
}

TEST_GROUP(ClusterStateWorkerStanding) {
  ClusterStateFixture fixture;
  void setup() override {
    fixture.registerWorker("a");
  }
  std::int64_t scoreAfterFailureAt(std::int64_t elapsed, bool longRunning) {
    StepRequirements stepRequirements;
    stepRequirements.longRunning = longRunning;
    fixture.submit("job", {ClusterStateFixture::step(1, 1000, stepRequirements, false, 500)});
    fixture.planAndRun();
    fixture.now += elapsed;
    fixture.endAttempt("job", AttemptOutcome::failed);
    return fixture.clusterState.workers()
        .at(WorkerId{"a"})
        .failureScoreAt(ClusterTime{fixture.now});
  }
};

TEST(ClusterStateWorkerStanding, failureOfAnOrdinaryTaskCountsAgainstItsWorker) {
  LONGS_EQUAL(250, scoreAfterFailureAt(2000, false));
}

// docs/incidents.md 14: a long-running task ends by failing on any worker, so two of them would
// otherwise leave a healthy worker without work.
TEST(ClusterStateWorkerStanding, failureOfALongRunningTaskAtWorkCountsLittle) {
  LONGS_EQUAL(50, scoreAfterFailureAt(2000, true));
}

TEST(ClusterStateWorkerStanding, longRunningTaskThatFailsAtOnceCountsInFull) {
  LONGS_EQUAL(250, scoreAfterFailureAt(400, true));
}

// A task that also fails on a second worker is itself at fault.
TEST(ClusterStateWorkerStanding, failureOnASecondWorkerReducesTheFirstPenalty) {
  fixture.registerWorker("b");
  fixture.submit("job", {ClusterStateFixture::step(1)});
  STRCMP_EQUAL("start job on a", fixture.planAndRun().c_str());
  fixture.endAttempt("job", AttemptOutcome::failed);
  const auto scoreOfA = [&] {
    return fixture.clusterState.workers()
        .at(WorkerId{"a"})
        .failureScoreAt(ClusterTime{fixture.now});
  };
  LONGS_EQUAL(250, scoreOfA());
  fixture.now += 3000;
  STRCMP_EQUAL("start job on b", fixture.planAndRun().c_str());
  fixture.endAttempt("job", AttemptOutcome::failed);
  LONGS_EQUAL(50, scoreOfA());
}

TEST(ClusterStateWorkerStanding, secondFailureOnTheSameWorkerKeepsThePenalty) {
  fixture.submit("job", {ClusterStateFixture::step(1)});
  for (int failure = 0; failure < 2; ++failure) {
    fixture.planAndRun();
    fixture.endAttempt("job", AttemptOutcome::failed);
    fixture.now += 3000;
  }
  LONGS_EQUAL(
      300,
      fixture.clusterState.workers().at(WorkerId{"a"}).failureScoreAt(ClusterTime{fixture.now}));
}
