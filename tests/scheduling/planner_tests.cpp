#include "scheduling/planner.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

namespace {
// A cluster state made by events alone, as in the daemons, and the plan of one moment.
struct Bench {
  ClusterState clusterState;
  Planner planner;
  std::int64_t now = 0;
  LastContactAges heard;
  std::string unresponsive;  // a worker that hears no orders
  explicit Bench(const std::string& config = R"({"queues":{"q":{"retries":1}}})") {
    auto parsed = ClusterConfig::parse(config);
    CHECK(parsed.has_value());
    parsed.value().version = ConfigVersion{1};
    apply(ConfigCommitted{parsed.value()});
  }
  void apply(Event event) { clusterState.apply(LogRecord{ClusterTime{now}, std::move(event)}); }
  void worker(const std::string& id, std::uint32_t cores, std::uint64_t memory,
              const std::string& rack = "") {
    Capacity capacity;
    capacity.rack = rack;
    capacity.cores = cores;
    capacity.memory = memory;
    apply(WorkerRegistered{WorkerId{id}, Incarnation{1}, capacity});
    heard[WorkerId{id}] = Duration{0};
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
  // What the plan does, one word an action; folded and applied by the workers at once.
  std::string plan() {
    auto made = planner.makePlan(clusterState, ClusterTime{now}, heard);
    std::string text;
    for (const auto& action : made.record.actions) {
      static const char* const names[] = {"start", "stage", "go", "hold", "stop"};
      text += std::string(text.empty() ? "" : ", ") + names[int(action.kind)] +
              (action.trial ? " trial " : " ") +
              (action.job.value.empty() ? "#" + std::to_string(action.attempt.value)
                                        : action.job.value) +
              " on " + action.worker.value;
    }
    if (made.record.reservation.isActive())
      text += std::string(text.empty() ? "" : ", ") + "reserve " +
              made.record.reservation.job.value + " on " +
              made.record.reservation.placements[0].worker.value + " at " +
              std::to_string(made.record.reservation.start.milliseconds / 1000);
    apply(made.record);
    for (auto& [id, worker] : clusterState.workers())
      if (id.value != unresponsive)
        apply(WorkerSynced{id, worker.lastIssuedOrder, {}});
    return text;
  }
  void end(std::uint64_t attempt, AttemptOutcome kind = AttemptOutcome::succeeded) {
    apply(WorkerSynced{clusterState.attempts().at(AttemptNumber{attempt}).worker,
                       {},
                       {{AttemptNumber{attempt}, kind}}});
  }
};
constexpr const char* noTrials = R"({"planner":{"trials":false},"queues":{"q":{"retries":1}}})";
}  // namespace

TEST_GROUP(PlannerTests){};

// Paper 2.2: of the workers with room the one with the fewest unallocated cores.
TEST(PlannerTests, fewestUnallocatedCoresWins) {
  Bench bench(noTrials);
  bench.worker("big", 16, 9999);
  bench.worker("small", 4, 9999);
  bench.submit("a", 2, 100, 60'000);
  STRCMP_EQUAL("start a on small", bench.plan().c_str());
  bench.submit("b", 4, 100, 60'000);
  STRCMP_EQUAL("start b on big", bench.plan().c_str());
}

// Paper table 3: with one hour of wait the short job's expansion is 1+1/0.1=11, the long one's
// 1+1/10=1.1.
TEST(PlannerTests, waitingRaisesTheShortJobFaster) {
  Bench bench(noTrials);
  bench.worker("m", 4, 9999);
  bench.submit("running", 4, 100, 3'600'000);
  bench.plan();
  bench.submit("long", 4, 100, 36'000'000);
  bench.now = 1000;
  bench.submit("short", 4, 100, 360'000);
  bench.now = 3'600'000;
  bench.end(1);
  STRCMP_EQUAL("start short on m, reserve long on m at 3960", bench.plan().c_str());
}

// Paper 2.2: one reserved start, and backfill that does not delay it.
TEST(PlannerTests, backfillGoesInOnlyWhereTheReservedStartStays) {
  Bench bench(noTrials);
  bench.worker("m", 8, 9999);
  bench.submit("first", 6, 100, 100'000);
  bench.plan();
  bench.now = 1000;
  bench.submit("wide", 8, 100, 50'000);
  STRCMP_EQUAL("reserve wide on m at 100", bench.plan().c_str());
  bench.now = 2000;
  bench.submit("fits", 2, 100, 90'000);
  bench.submit("late", 2, 100, 120'000);
  STRCMP_EQUAL("start fits on m, reserve wide on m at 100", bench.plan().c_str());
  bench.now = 60'000;
  bench.end(2);
  STRCMP_EQUAL("reserve wide on m at 100", bench.plan().c_str());  // late would still run at 100
}

// Paper 2.4: victims with ten minutes behind them, the least slowdown first, held with their
// memory, back afterwards.
TEST(PlannerTests, aTrialHoldsTheLeastSlowedDownAndResumesIt) {
  Bench bench;
  bench.worker("m", 4, 4096);
  bench.submit("older", 2, 1024, 36'000'000);
  bench.plan();
  bench.now = 300'000;
  bench.submit("waited", 2, 1024, 36'000'000);
  bench.now = 400'000;
  bench.plan();
  bench.submit("new", 2, 3000, 1'800'000);
  STRCMP_EQUAL("reserve new on m at 36000",
               bench.plan().c_str());  // nobody has run for ten minutes yet
  bench.now = 1'100'000;
  STRCMP_EQUAL("hold #1 on m, start trial new on m, reserve new on m at 36000",
               bench.plan().c_str());
  CHECK(bench.clusterState.attempts().at(AttemptNumber{1}).state == AttemptState::suspended);
  LONGS_EQUAL(1024, bench.clusterState.attempts().at(AttemptNumber{3}).memory);
  bench.now = 1'160'000;
  bench.end(3, AttemptOutcome::quantumExpired);
  CHECK(bench.clusterState.attempts().at(AttemptNumber{1}).state == AttemptState::running);
  LONGS_EQUAL(0, bench.clusterState.jobs()
                     .at(JobId{"new"})
                     .tasks[0]
                     .countedStarts);  // a trial that ran out takes nothing
  bench.now = 2'000'000;
  CHECK(bench.plan().find("trial") == std::string::npos);  // one trial a unit
}

// With too little unallocated memory there is no trial, however few cores it wants.
TEST(PlannerTests, noTrialWithoutUnallocatedMemory) {
  Bench bench;
  bench.worker("m", 4, 4096);
  bench.submit("older", 4, 3500, 36'000'000);
  bench.plan();
  bench.now = 1'000'000;
  bench.submit("new", 1, 2000, 1'800'000);
  STRCMP_EQUAL("reserve new on m at 36000", bench.plan().c_str());
}

// docs/design.md 7.3: a gang is staged whole, and goes only when every part is staged.
TEST(PlannerTests, aGangIsStagedAndGoesTogether) {
  Bench bench(noTrials);
  bench.worker("m", 2, 4096);
  bench.worker("n", 2, 4096);
  bench.submit("gang", 2, 100, 1000, 2, true);
  STRCMP_EQUAL("stage gang on m, stage gang on n", bench.plan().c_str());
  STRCMP_EQUAL("go #1 on m, go #2 on n", bench.plan().c_str());
  bench.apply(WorkerRemoved{WorkerId{"m"}, "test"});
  CHECK(bench.clusterState.attempts().at(AttemptNumber{2}).state ==
        AttemptState::stopping);  // it does not run alone
}

// docs/design.md 7.3: a part that is not heard to have gone has the others stopped; none runs alone
// for long.
TEST(PlannerTests, aGangWithAUnresponsivePartIsStopped) {
  Bench bench(noTrials);
  bench.worker("m", 2, 4096);
  bench.worker("n", 2, 4096);
  bench.submit("gang", 2, 100, 9000, 2, true);
  bench.plan();
  bench.unresponsive = "n";
  STRCMP_EQUAL("go #1 on m, go #2 on n", bench.plan().c_str());
  bench.now += 2400;
  STRCMP_EQUAL("", bench.plan().c_str());
  bench.now += 200;
  STRCMP_EQUAL("stop #1 on m, stop #2 on n", bench.plan().c_str());
}

// docs/paper.md 2: where the fit leaves a choice a retry leaves the rack it failed on, and a gang
// keeps to few.
TEST(PlannerTests, racksDecideWhereTheFitLeavesAChoice) {
  Bench bench(noTrials);
  bench.worker("a1", 4, 4096, "A");
  bench.worker("a2", 4, 4096, "A");
  bench.worker("b1", 4, 4096, "B");
  bench.submit("j", 2, 100, 1000);
  STRCMP_EQUAL("start j on a1", bench.plan().c_str());
  bench.end(1, AttemptOutcome::failed);
  bench.now += 1000;
  STRCMP_EQUAL("start j on b1", bench.plan().c_str());
  Bench gangs(noTrials);
  gangs.worker("a1", 4, 4096, "A");
  gangs.worker("b1", 4, 4096, "B");
  gangs.worker("c1", 4, 4096, "A");
  gangs.submit("gang", 4, 100, 1000, 2, true);
  STRCMP_EQUAL("stage gang on a1, stage gang on c1", gangs.plan().c_str());
}

// docs/design.md 5.6: one that is slow, or fails its work, gets one task at a time until it has
// mended.
TEST(PlannerTests, aSlowWorkerGetsLess) {
  Bench bench(noTrials);
  bench.worker("slow", 4, 4096);
  bench.worker("sound", 8, 4096);
  for (std::uint64_t count = 1; count <= 4; ++count) {
    bench.submit("job" + std::to_string(count), 1, 100, 1000);
    STRCMP_EQUAL(("start job" + std::to_string(count) + " on slow").c_str(), bench.plan().c_str());
    bench.now += 6000;
    bench.end(count);
  }
  bench.submit("a", 1, 100, 1000);
  STRCMP_EQUAL("start a on sound", bench.plan().c_str());
  bench.now += 120'000;  // time mends it
  bench.submit("b", 1, 100, 1000);
  STRCMP_EQUAL("start b on slow", bench.plan().c_str());
}

// docs/design.md 7.6: an overrunning task stays; the reserved start moves and says so.
TEST(PlannerTests, anOverrunMovesTheReservedStart) {
  Bench bench(noTrials);
  bench.worker("m", 4, 4096);
  bench.submit("over", 4, 100, 10'000);
  bench.plan();
  bench.submit("next", 4, 100, 10'000);
  STRCMP_EQUAL("reserve next on m at 10", bench.plan().c_str());
  bench.now = 20'000;
  STRCMP_EQUAL("reserve next on m at 30", bench.plan().c_str());
  LONGS_EQUAL(1, bench.clusterState.reservation().timesMoved);
}
