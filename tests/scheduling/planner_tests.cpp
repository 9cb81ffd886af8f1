// Tests of single plans, in the order of docs/paper.md and docs/design.md 7.
#include "scheduling/planner.hpp"
#include <CppUTest/TestHarness.h>
using namespace aniseline;

namespace {
// A cluster state that is changed only by events, as in the daemons, and the plans made for it.
struct PlannerFixture {
  ClusterState clusterState;
  Planner planner;
  std::int64_t now = 0;
  LastContactAges contactAges;
  std::string unresponsiveWorker;  // does not apply orders
  explicit PlannerFixture(const std::string& config = R"({"queues":{"q":{"retries":1}}})") {
    auto parsed = ClusterConfig::parse(config);
    CHECK(parsed.has_value());
    parsed.value().version = ConfigVersion{1};
    apply(ConfigCommitted{parsed.value()});
  }
  void apply(Event event) { clusterState.apply(LogRecord{ClusterTime{now}, std::move(event)}); }
  void registerWorker(const std::string& id, std::uint32_t cores, std::uint64_t memory,
                      const std::string& rack = "") {
    Capacity capacity;
    capacity.rack = rack;
    capacity.cores = cores;
    capacity.memory = memory;
    apply(WorkerRegistered{WorkerId{id}, Incarnation{1}, capacity});
    contactAges[WorkerId{id}] = Duration{0};
  }
  void submit(const std::string& id, std::uint32_t cores, std::uint64_t memory,
              std::int64_t runtime, std::size_t tasks = 1, bool gang = false) {
    JobSubmission job;
    job.id = JobId{id};
    job.queue = QueueName{"q"};
    job.steps = {
        {"s",
         {},
         gang,
         std::vector<TaskRequest>(tasks, TaskRequest{cores, memory, Duration{runtime}, ""})}};
    apply(JobAccepted{job});
  }
  // Makes a plan, applies it, and lets the workers apply its orders. Returns the plan as text.
  std::string planAndRun() {
    auto plan = planner.makePlan(clusterState, ClusterTime{now}, contactAges);
    std::string text;
    for (const auto& action : plan.record.actions) {
      static const char* const names[] = {"start", "stage", "go", "hold", "stop"};
      text += std::string(text.empty() ? "" : ", ") + names[int(action.kind)] +
              (action.trial ? " trial " : " ") +
              (action.job.value.empty() ? "#" + std::to_string(action.attempt.value)
                                        : action.job.value) +
              " on " + action.worker.value;
    }
    if (plan.record.reservation.isActive())
      text += std::string(text.empty() ? "" : ", ") + "reserve " +
              plan.record.reservation.job.value + " on " +
              plan.record.reservation.placements[0].worker.value + " at " +
              std::to_string(plan.record.reservation.start.milliseconds / 1000);
    apply(plan.record);
    for (auto& [id, worker] : clusterState.workers())
      if (id.value != unresponsiveWorker)
        apply(WorkerSynced{id, worker.lastIssuedOrder, {}});
    return text;
  }
  void endAttempt(std::uint64_t attempt, AttemptOutcome outcome = AttemptOutcome::succeeded) {
    apply(WorkerSynced{clusterState.attempts().at(AttemptNumber{attempt}).worker,
                       {},
                       {{AttemptNumber{attempt}, outcome}}});
  }
};
constexpr const char* noTrials = R"({"planner":{"trials":false},"queues":{"q":{"retries":1}}})";
}  // namespace

TEST_GROUP(PlannerTests){};

// Paper 2.2: of the workers with room, the one with the fewest unallocated cores is chosen.
TEST(PlannerTests, fewestUnallocatedCoresWins) {
  PlannerFixture cluster(noTrials);
  cluster.registerWorker("big", 16, 9999);
  cluster.registerWorker("small", 4, 9999);
  cluster.submit("a", 2, 100, 60'000);
  STRCMP_EQUAL("start a on small", cluster.planAndRun().c_str());
  cluster.submit("b", 4, 100, 60'000);
  STRCMP_EQUAL("start b on big", cluster.planAndRun().c_str());
}

// Paper table 3: after a wait of one hour the expansion factor of the short job is 1+1/0.1=11, that
// of the long job 1+1/10=1.1.
TEST(PlannerTests, waitingRaisesTheRankOfShortJobsFaster) {
  PlannerFixture cluster(noTrials);
  cluster.registerWorker("m", 4, 9999);
  cluster.submit("running", 4, 100, 3'600'000);
  cluster.planAndRun();
  cluster.submit("long", 4, 100, 36'000'000);
  cluster.now = 1000;
  cluster.submit("short", 4, 100, 360'000);
  cluster.now = 3'600'000;
  cluster.endAttempt(1);
  STRCMP_EQUAL("start short on m, reserve long on m at 3960", cluster.planAndRun().c_str());
}

// Paper 2.2: there is one reserved start, and backfill must not delay it.
TEST(PlannerTests, backfillDoesNotDelayTheReservedStart) {
  PlannerFixture cluster(noTrials);
  cluster.registerWorker("m", 8, 9999);
  cluster.submit("first", 6, 100, 100'000);
  cluster.planAndRun();
  cluster.now = 1000;
  cluster.submit("wide", 8, 100, 50'000);
  STRCMP_EQUAL("reserve wide on m at 100", cluster.planAndRun().c_str());
  cluster.now = 2000;
  cluster.submit("fits", 2, 100, 90'000);
  cluster.submit("late", 2, 100, 120'000);
  STRCMP_EQUAL("start fits on m, reserve wide on m at 100", cluster.planAndRun().c_str());
  cluster.now = 60'000;
  cluster.endAttempt(2);
  STRCMP_EQUAL("reserve wide on m at 100",
               cluster.planAndRun().c_str());  // "late" would still run at 100 s
}

// Paper 2.4: a trial suspends attempts that have run for at least ten minutes, least slowdown
// first. They keep their memory and resume after the trial.
TEST(PlannerTests, aTrialSuspendsTheAttemptWithTheLeastSlowdownAndResumesIt) {
  PlannerFixture cluster;
  cluster.registerWorker("m", 4, 4096);
  cluster.submit("older", 2, 1024, 36'000'000);
  cluster.planAndRun();
  cluster.now = 300'000;
  cluster.submit("waited", 2, 1024, 36'000'000);
  cluster.now = 400'000;
  cluster.planAndRun();
  cluster.submit("new", 2, 3000, 1'800'000);
  STRCMP_EQUAL("reserve new on m at 36000",
               cluster.planAndRun().c_str());  // no attempt has run for ten minutes yet
  cluster.now = 1'100'000;
  STRCMP_EQUAL("hold #1 on m, start trial new on m, reserve new on m at 36000",
               cluster.planAndRun().c_str());
  CHECK(cluster.clusterState.attempts().at(AttemptNumber{1}).state == AttemptState::suspended);
  LONGS_EQUAL(1024, cluster.clusterState.attempts().at(AttemptNumber{3}).memory);
  cluster.now = 1'160'000;
  cluster.endAttempt(3, AttemptOutcome::quantumExpired);
  CHECK(cluster.clusterState.attempts().at(AttemptNumber{1}).state == AttemptState::running);
  LONGS_EQUAL(0, cluster.clusterState.jobs()
                     .at(JobId{"new"})
                     .tasks[0]
                     .countedStarts);  // an expired trial does not count as a start
  cluster.now = 2'000'000;
  CHECK(cluster.planAndRun().find("trial") == std::string::npos);  // each unit gets one trial
}

// Without enough unallocated memory there is no trial, however few cores it needs.
TEST(PlannerTests, noTrialWithoutUnallocatedMemory) {
  PlannerFixture cluster;
  cluster.registerWorker("m", 4, 4096);
  cluster.submit("older", 4, 3500, 36'000'000);
  cluster.planAndRun();
  cluster.now = 1'000'000;
  cluster.submit("new", 1, 2000, 1'800'000);
  STRCMP_EQUAL("reserve new on m at 36000", cluster.planAndRun().c_str());
}

// docs/design.md 7.3: a gang is staged as a whole, and launched only when every part is staged.
TEST(PlannerTests, aGangIsStagedAndLaunchedTogether) {
  PlannerFixture cluster(noTrials);
  cluster.registerWorker("m", 2, 4096);
  cluster.registerWorker("n", 2, 4096);
  cluster.submit("gang", 2, 100, 1000, 2, true);
  STRCMP_EQUAL("stage gang on m, stage gang on n", cluster.planAndRun().c_str());
  STRCMP_EQUAL("go #1 on m, go #2 on n", cluster.planAndRun().c_str());
  cluster.apply(WorkerRemoved{WorkerId{"m"}, "test"});
  CHECK(cluster.clusterState.attempts().at(AttemptNumber{2}).state ==
        AttemptState::stopping);  // it must not run alone
}

// docs/design.md 7.3: if one part is not reported as running, the other parts are stopped, so that
// none runs alone for long.
TEST(PlannerTests, aGangWithAnUnresponsivePartIsStopped) {
  PlannerFixture cluster(noTrials);
  cluster.registerWorker("m", 2, 4096);
  cluster.registerWorker("n", 2, 4096);
  cluster.submit("gang", 2, 100, 9000, 2, true);
  cluster.planAndRun();
  cluster.unresponsiveWorker = "n";
  STRCMP_EQUAL("go #1 on m, go #2 on n", cluster.planAndRun().c_str());
  cluster.now += 2400;
  STRCMP_EQUAL("", cluster.planAndRun().c_str());
  cluster.now += 200;
  STRCMP_EQUAL("stop #1 on m, stop #2 on n", cluster.planAndRun().c_str());
}

// docs/paper.md 2: among equal fits a retry avoids the rack where the task failed, and a gang uses
// few racks.
TEST(PlannerTests, racksBreakTiesOfTheBestFit) {
  PlannerFixture cluster(noTrials);
  cluster.registerWorker("a1", 4, 4096, "A");
  cluster.registerWorker("a2", 4, 4096, "A");
  cluster.registerWorker("b1", 4, 4096, "B");
  cluster.submit("j", 2, 100, 1000);
  STRCMP_EQUAL("start j on a1", cluster.planAndRun().c_str());
  cluster.endAttempt(1, AttemptOutcome::failed);
  cluster.now += 1000;
  STRCMP_EQUAL("start j on b1", cluster.planAndRun().c_str());
  PlannerFixture gangCluster(noTrials);
  gangCluster.registerWorker("a1", 4, 4096, "A");
  gangCluster.registerWorker("b1", 4, 4096, "B");
  gangCluster.registerWorker("c1", 4, 4096, "A");
  gangCluster.submit("gang", 4, 100, 1000, 2, true);
  STRCMP_EQUAL("stage gang on a1, stage gang on c1", gangCluster.planAndRun().c_str());
}

// docs/design.md 5.6: a worker that is slow, or on which work fails, gets one task at a time until
// it recovers.
TEST(PlannerTests, aSlowWorkerIsAvoidedUntilItRecovers) {
  PlannerFixture cluster(noTrials);
  cluster.registerWorker("slow", 4, 4096);
  cluster.registerWorker("sound", 8, 4096);
  for (std::uint64_t count = 1; count <= 4; ++count) {
    cluster.submit("job" + std::to_string(count), 1, 100, 1000);
    STRCMP_EQUAL(("start job" + std::to_string(count) + " on slow").c_str(),
                 cluster.planAndRun().c_str());
    cluster.now += 6000;
    cluster.endAttempt(count);
  }
  cluster.submit("a", 1, 100, 1000);
  STRCMP_EQUAL("start a on sound", cluster.planAndRun().c_str());
  cluster.now += 120'000;  // its failure score decays over time
  cluster.submit("b", 1, 100, 1000);
  STRCMP_EQUAL("start b on slow", cluster.planAndRun().c_str());
}

// docs/design.md 7.6: an overrunning task is not stopped; the reserved start moves and the move is
// counted.
TEST(PlannerTests, anOverrunMovesTheReservedStart) {
  PlannerFixture cluster(noTrials);
  cluster.registerWorker("m", 4, 4096);
  cluster.submit("over", 4, 100, 10'000);
  cluster.planAndRun();
  cluster.submit("next", 4, 100, 10'000);
  STRCMP_EQUAL("reserve next on m at 10", cluster.planAndRun().c_str());
  cluster.now = 20'000;
  STRCMP_EQUAL("reserve next on m at 30", cluster.planAndRun().c_str());
  LONGS_EQUAL(1, cluster.clusterState.reservation().timesMoved);
}
