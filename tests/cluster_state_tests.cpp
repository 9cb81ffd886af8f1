// The fold of the log: gangs that assemble themselves, tries, what lasts, timetables, checkpoints,
// lives. docs/design.md 4, 5.
#include "cluster_state_bench.hpp"

using namespace aniseline;

namespace {

StepNeeds lasting() {
  StepNeeds needs;
  needs.lasts = true;
  return needs;
}
StepNeeds saving() {
  StepNeeds needs;
  needs.saves = true;
  return needs;
}

}  // namespace

TEST_GROUP(ClusterStateGangs){};

TEST(ClusterStateGangs, startTogetherWithOneRunNumber) {
  ClusterStateBench bench;
  bench.worker("a");
  bench.worker("b");
  bench.submit("gang", {ClusterStateBench::gang(6)});
  STRCMP_EQUAL(
      "start gang on a, start gang on a, start gang on a, start gang on a, start gang on b, start "
      "gang on b",
      bench.planAndRun().c_str());
  for (std::size_t task = 0; task < 6; ++task)
    LONGS_EQUAL(1, bench.task("gang", task).run);
  LONGS_EQUAL(1, bench.clusterState.attempts.at(bench.attempt("gang", 5)).run);
  LONGS_EQUAL(1, bench.lastOrder("b").run);
}

TEST(ClusterStateGangs, areStartedWholeOrNotAtAll) {
  ClusterStateBench bench;
  bench.worker("a");
  bench.submit("gang", {ClusterStateBench::gang(6)});
  STRCMP_EQUAL("", bench.plan().c_str());
  bench.worker("b");
  CHECK(bench.plan().find("start gang on b") != std::string::npos);
}

TEST(ClusterStateGangs, oneCleanEndingCountsForAll) {
  ClusterStateBench bench;
  bench.worker("a");
  bench.submit("gang", {ClusterStateBench::gang(3)});
  bench.submit("next", {ClusterStateBench::step(1)});
  bench.planAndRun();
  const AttemptNumber other = bench.attempt("gang", 2);
  bench.end("gang", EndingKind::finished, 1);
  STRCMP_EQUAL("done done done", bench.tasks("gang").c_str());
  STRCMP_EQUAL("open", bench.state("gang").c_str());  // the others still take their room
  LONGS_EQUAL(2, bench.openAttempts("gang"));
  CHECK_FALSE(bench.stopOrdered(other));
  for (auto number : bench.clusterState.attemptsOf(JobId{"gang"}, true))
    bench.end(number, EndingKind::finished);
  STRCMP_EQUAL("finished", bench.state("gang").c_str());
  LONGS_EQUAL(1, bench.clusterState.counters.finished);
}

TEST(ClusterStateGangs, anyEndingOfTheOthersLeavesThemDone) {
  ClusterStateBench bench;
  bench.worker("a");
  bench.submit("gang", {ClusterStateBench::gang(3)});
  bench.planAndRun();
  bench.end("gang", EndingKind::finished, 0);
  const auto left = bench.clusterState.attemptsOf(JobId{"gang"}, true);
  bench.end(left.at(0), EndingKind::stopped);
  bench.end(left.at(1), EndingKind::failed);
  STRCMP_EQUAL("finished", bench.state("gang").c_str());
  STRCMP_EQUAL("", bench.plan().c_str());
}

TEST(ClusterStateGangs, aFailureStopsTheRestAndCountsOnce) {
  ClusterStateBench bench;
  bench.worker("a");
  bench.submit("gang", {ClusterStateBench::gang(3)});
  bench.planAndRun();
  const AttemptNumber second = bench.attempt("gang", 1), third = bench.attempt("gang", 2);
  bench.end("gang", EndingKind::failed, 0);
  CHECK(bench.stopOrdered(second));
  CHECK(bench.stopOrdered(third));
  STRCMP_EQUAL("", bench.plan().c_str());  // not before all of it is back
  bench.end(second, EndingKind::failed);   // failed on its own before the stop came
  bench.end(third, EndingKind::stopped);
  LONGS_EQUAL(1, bench.task("gang", 0).failures);
  STRCMP_EQUAL("waiting waiting waiting", bench.tasks("gang").c_str());
  bench.now += 6000;
  bench.planAndRun();
  for (std::size_t task = 0; task < 3; ++task)
    LONGS_EQUAL(2, bench.task("gang", task).run);
  for (int count = 2; count <= 3; ++count) {
    STRCMP_EQUAL("open", bench.state("gang").c_str());
    bench.end("gang", EndingKind::failed, 2);
    for (auto number : bench.clusterState.attemptsOf(JobId{"gang"}, true))
      bench.end(number, EndingKind::stopped);
    bench.now += 60'000;
    bench.planAndRun();
  }
  STRCMP_EQUAL("failed", bench.state("gang").c_str());  // three runs of it failed
  CHECK(!bench.job("gang").reason.empty());
}

// `broken` of one part may be told before the failure that broke it.
TEST(ClusterStateGangs, aPartBrokenFirstTakesNoTry) {
  ClusterStateBench bench;
  bench.worker("a");
  bench.submit("gang", {ClusterStateBench::gang(2)});
  bench.planAndRun();
  const AttemptNumber second = bench.attempt("gang", 1);
  bench.end("gang", EndingKind::stopped, 0);
  CHECK(bench.stopOrdered(second));
  bench.end(second, EndingKind::failed);
  LONGS_EQUAL(1, bench.task("gang", 0).failures);
  LONGS_EQUAL(0, bench.task("gang", 1).failures);
  bench.now += 6000;
  STRCMP_EQUAL("start gang on a, start gang on a", bench.plan().c_str());
}

TEST(ClusterStateGangs, oneTurnedAwayTakesTheOthersBack) {
  ClusterStateBench bench;
  bench.worker("a");
  bench.submit("gang", {ClusterStateBench::gang(2)});
  bench.plan();
  const AttemptNumber second = bench.attempt("gang", 1);
  bench.end("gang", EndingKind::refused, 0);
  CHECK(bench.stopOrdered(second));
  bench.end(second, EndingKind::stopped);
  LONGS_EQUAL(0, bench.task("gang", 0).failures);
  STRCMP_EQUAL("waiting waiting", bench.tasks("gang").c_str());
}

TEST(ClusterStateGangs, checkpointsBelongToAllOfIt) {
  ClusterStateBench bench;
  bench.worker("a");
  bench.submit("gang", {ClusterStateBench::gang(2, 1000, saving())});
  bench.planAndRun();
  bench.save("gang", 1, "x1");
  bench.end("gang", EndingKind::failed, 1);
  bench.end("gang", EndingKind::stopped, 0);
  bench.now += 6000;
  bench.plan();
  std::vector<std::string> saved;
  for (const auto& order : bench.clusterState.workers.at(WorkerId{"a"}).orders)
    if (order.kind == OrderKind::start && order.run == 2)
      saved.push_back(order.saved);
  LONGS_EQUAL(2, saved.size());
  for (const auto& each : saved)
    STRCMP_EQUAL("x1", each.c_str());
}

TEST_GROUP(ClusterStateTries){};

// docs/design.md 4.4: with `tries` only runs that ended as failed count.
TEST(ClusterStateTries, countFailedRunsOnly) {
  ClusterStateBench bench;
  bench.worker("a");
  bench.submit("job", {ClusterStateBench::step(1)});
  for (int count = 0; count < 12; ++count) {
    bench.planAndRun();
    bench.end("job", count % 3 == 0   ? EndingKind::stopped
                     : count % 3 == 1 ? EndingKind::unstarted
                                      : EndingKind::refused);
    bench.now += 60'000;
    STRCMP_EQUAL("open", bench.state("job").c_str());
  }
  LONGS_EQUAL(0, bench.task("job").failures);
  for (int count = 1; count <= 3; ++count) {
    STRCMP_EQUAL("open", bench.state("job").c_str());
    STRCMP_EQUAL("start job on a", bench.planAndRun().c_str());
    bench.end("job", EndingKind::failed);
    LONGS_EQUAL(count, bench.task("job").failures);
    bench.now += 60'000;
  }
  STRCMP_EQUAL("failed", bench.state("job").c_str());
  STRCMP_EQUAL("", bench.plan().c_str());
}

TEST(ClusterStateTries, aLapseTakesNone) {
  ClusterStateBench bench;
  bench.worker("a");
  bench.worker("b");
  bench.submit("job", {ClusterStateBench::step(1)});
  for (int count = 0; count < 8; ++count) {
    bench.planAndRun();
    const AttemptNumber number = bench.attempt("job");
    const WorkerId place = bench.clusterState.attempts.at(number).worker;
    bench.apply(WorkerSilent{place, {number}});
    STRCMP_EQUAL("waiting", bench.tasks("job").c_str());
    bench.now += 60'000;
    bench.apply(WorkerReturned{place});
    bench.end(number, count % 2 ? EndingKind::failed
                                : EndingKind::stopped);  // told late: void, for its hold had lapsed
    STRCMP_EQUAL("waiting", bench.tasks("job").c_str());
  }
  LONGS_EQUAL(0, bench.task("job").failures);
}

// docs/design.md 5.5: given up means that its hold had lapsed; a clean ending told late is void
// too.
TEST(ClusterStateTries, aCleanEndingAfterALapseIsVoid) {
  ClusterStateBench bench;
  bench.worker("a");
  bench.worker("b");
  bench.submit("job", {ClusterStateBench::step(1)});
  bench.planAndRun();
  const AttemptNumber first = bench.attempt("job");
  bench.apply(WorkerSilent{bench.clusterState.attempts.at(first).worker, {first}});
  STRCMP_EQUAL("start job on b", bench.planAndRun().c_str());
  bench.end(first, EndingKind::finished);
  STRCMP_EQUAL("placed", bench.tasks("job").c_str());
  CHECK_FALSE(bench.stopOrdered(bench.attempt("job")));
  bench.end("job");
  STRCMP_EQUAL("finished", bench.state("job").c_str());
}

TEST(ClusterStateTries, withoutTriesStartsCountAsBefore) {
  ClusterStateBench bench;
  bench.worker("a", {.pool = ""});
  bench.submit("job", {ClusterStateBench::step(1)}, "plain");
  bench.planAndRun();
  bench.end("job", EndingKind::failed);
  bench.now += 60'000;
  bench.planAndRun();
  bench.end("job", EndingKind::failed);
  STRCMP_EQUAL("failed", bench.state("job").c_str());
}

TEST_GROUP(ClusterStateLasting){};

TEST(ClusterStateLasting, isStartedAgainHoweverItEnds) {
  ClusterStateBench bench;
  bench.worker("a");
  bench.submit("job", {ClusterStateBench::step(2, 1000, lasting())});
  for (int count = 0; count < 20; ++count) {
    CHECK(bench.planAndRun().find("start job on a") != std::string::npos);
    bench.end("job",
              count % 3 == 0   ? EndingKind::failed
              : count % 3 == 1 ? EndingKind::finished
                               : EndingKind::stopped,
              0);
    STRCMP_EQUAL("waiting placed", bench.tasks("job").c_str());
    STRCMP_EQUAL("open", bench.state("job").c_str());
    bench.now += 60'000;
  }
  LONGS_EQUAL(20, bench.task("job").run);
  bench.apply(JobCancelled{JobId{"job"}});
  STRCMP_EQUAL("cancelling", bench.state("job").c_str());
  bench.end("job", EndingKind::stopped, 1);
  STRCMP_EQUAL("cancelled", bench.state("job").c_str());
}

TEST(ClusterStateLasting, gangsAreStartedAgainWhole) {
  ClusterStateBench bench;
  bench.worker("a");
  bench.submit("job", {ClusterStateBench::gang(2, 1000, lasting())});
  bench.planAndRun();
  const AttemptNumber second = bench.attempt("job", 1);
  bench.end("job", EndingKind::finished, 0);
  CHECK(bench.stopOrdered(second));
  bench.end(second, EndingKind::stopped);
  bench.now += 1000;
  STRCMP_EQUAL("start job on a, start job on a", bench.plan().c_str());
  LONGS_EQUAL(2, bench.task("job", 1).run);
}

TEST_GROUP(ClusterStateTimetables){};

TEST(ClusterStateTimetables, areOverOnlyWithAllTheirOccurrences) {
  ClusterStateBench bench;
  bench.worker("a");
  bench.submit("job", {ClusterStateBench::step(1)}, "q",
               Timetable{ClusterTime{5000}, Duration{1000}, 3});
  STRCMP_EQUAL("timed", bench.state("job").c_str());
  STRCMP_EQUAL("", bench.plan().c_str());
  for (int count = 0; count < 3; ++count)
    bench.apply(OccurrenceFired{JobId{"job"}});
  bench.planAndRun();  // they overlap
  bench.end("job@2");
  bench.end("job@0");
  STRCMP_EQUAL("finished", bench.state("job@2").c_str());
  STRCMP_EQUAL("timed", bench.state("job").c_str());
  bench.end("job@1");
  STRCMP_EQUAL("finished", bench.state("job").c_str());
  CHECK(bench.clusterState.open.empty());
  LONGS_EQUAL(0, bench.clusterState.openByQueue[QueueName{"q"}]);
}

TEST(ClusterStateTimetables, areNotOverBetweenOccurrences) {
  ClusterStateBench bench;
  bench.worker("a");
  bench.submit("job", {ClusterStateBench::step(1)}, "q",
               Timetable{ClusterTime{5000}, Duration{1000}, 2});
  bench.apply(OccurrenceFired{JobId{"job"}});
  bench.planAndRun();
  bench.end("job@0");
  STRCMP_EQUAL("timed", bench.state("job").c_str());
  bench.apply(OccurrenceFired{JobId{"job"}});
  bench.planAndRun();
  bench.end("job@1");
  STRCMP_EQUAL("finished", bench.state("job").c_str());
}

TEST(ClusterStateTimetables, failWholeWithTheFirstThatFails) {
  ClusterStateBench bench;
  bench.worker("a");
  bench.submit("job", {ClusterStateBench::step(1)}, "other",
               Timetable{ClusterTime{5000}, Duration{1000}, 4});
  bench.worker("s", {.pool = "store"});
  bench.apply(OccurrenceFired{JobId{"job"}});
  bench.apply(OccurrenceFired{JobId{"job"}});
  bench.planAndRun();
  bench.end("job@0", EndingKind::failed);
  STRCMP_EQUAL("failed", bench.state("job@0").c_str());
  STRCMP_EQUAL("failed", bench.state("job").c_str());
  CHECK(bench.job("job").reason.find("occurrence 0") == 0);
  STRCMP_EQUAL("cancelling", bench.state("job@1").c_str());
  CHECK(bench.stopOrdered(bench.attempt("job@1")));
  bench.apply(OccurrenceFired{JobId{"job"}});
  CHECK(bench.clusterState.jobs.count(JobId{"job@2"}) == 0);
  bench.end("job@1", EndingKind::stopped);
  STRCMP_EQUAL("cancelled", bench.state("job@1").c_str());
  STRCMP_EQUAL("failed", bench.state("job").c_str());
  CHECK(bench.clusterState.open.empty());
}

TEST(ClusterStateTimetables, cancelWhole) {
  ClusterStateBench bench;
  bench.worker("a");
  bench.submit("job", {ClusterStateBench::step(1)}, "q",
               Timetable{ClusterTime{5000}, Duration{1000}, 4});
  bench.apply(OccurrenceFired{JobId{"job"}});
  bench.apply(OccurrenceFired{JobId{"job"}});
  bench.planAndRun();
  bench.end("job@0");
  bench.apply(JobCancelled{JobId{"job"}});
  STRCMP_EQUAL("cancelled", bench.state("job").c_str());
  STRCMP_EQUAL("finished", bench.state("job@0").c_str());
  CHECK(bench.stopOrdered(bench.attempt("job@1")));
  bench.end("job@1", EndingKind::stopped);
  STRCMP_EQUAL("cancelled", bench.state("job@1").c_str());
  bench.apply(OccurrenceFired{JobId{"job"}});
  CHECK(bench.clusterState.jobs.count(JobId{"job@2"}) == 0);
  LONGS_EQUAL(0, bench.clusterState.openByQueue[QueueName{"q"}]);
}

TEST_GROUP(ClusterStateHopeless){};

TEST(ClusterStateHopeless, isSaidOnlyWhenTheWorkersAreKnown) {
  ClusterStateBench bench;
  bench.worker("a");
  bench.submit("big", {ClusterStateBench::step(1, 9000)});
  const auto& big = bench.job("big").submission;
  CHECK(!bench.clusterState.neverFits(big, big.steps[0]));
  bench.now += 3000;
  bench.apply(LeaderStarted{});
  CHECK(bench.clusterState.neverFits(big, big.steps[0]).has_value());
  bench.apply(JobFailed{JobId{"big"}, "no known worker could ever hold it"});
  STRCMP_EQUAL("failed", bench.state("big").c_str());
  STRCMP_EQUAL("no known worker could ever hold it", bench.job("big").reason.c_str());
  CHECK(bench.clusterState.open.empty());
}

TEST(ClusterStateHopeless, dependsOnLabelPoolAcceleratorsAndApart) {
  ClusterStateBench bench;
  bench.worker("a", {.labels = {"colour"}, .accelerators = 1});
  bench.worker("b");
  bench.worker("s", {.cores = 64'000, .pool = "store"});
  bench.now += 3000;
  bench.apply(LeaderStarted{});
  auto never = [&](StepRequest step, const std::string& queue = "q") {
    JobSubmission job;
    job.queue = QueueName{queue};
    job.steps = {step};
    return bench.clusterState.neverFits(job, job.steps[0]).has_value();
  };
  auto labelled = [](const std::string& label) {
    StepNeeds needs;
    needs.label = label;
    return needs;
  };
  CHECK_FALSE(never(ClusterStateBench::step(9, 4000)));  // one after the other
  CHECK(never(ClusterStateBench::step(1, 4001)));
  CHECK_FALSE(never(ClusterStateBench::step(1, 4001), "other"));  // the other pool's worker
  CHECK_FALSE(never(ClusterStateBench::step(1, 1000, labelled("colour"))));
  CHECK(never(ClusterStateBench::step(1, 1000, labelled("absent"))));
  auto accelerated = ClusterStateBench::step(1);
  accelerated.tasks[0].accelerators = 1;
  CHECK_FALSE(never(accelerated));
  accelerated.tasks[0].accelerators = 2;
  CHECK(never(accelerated));
  CHECK_FALSE(never(ClusterStateBench::gang(8)));
  CHECK(never(ClusterStateBench::gang(9)));
  CHECK(never(ClusterStateBench::gang(5, 1000, labelled("colour"))));
  StepNeeds apart;
  apart.apart = 1;
  CHECK_FALSE(never(ClusterStateBench::gang(2, 1000, apart)));
  CHECK(never(ClusterStateBench::gang(3, 1000, apart)));
  CHECK_FALSE(never(ClusterStateBench::step(3, 1000, apart)));  // one after the other
}

TEST(ClusterStateHopeless, anOccurrenceFailsItsTimetable) {
  ClusterStateBench bench;
  bench.submit("job", {ClusterStateBench::step(1)}, "q",
               Timetable{ClusterTime{5000}, Duration{1000}, 4});
  bench.apply(OccurrenceFired{JobId{"job"}});
  bench.apply(JobFailed{JobId{"job@0"}, "no room anywhere"});
  STRCMP_EQUAL("failed", bench.state("job").c_str());
  CHECK(bench.job("job").reason.find("no room anywhere") != std::string::npos);
}

TEST_GROUP(ClusterStateCheckpoints){};

TEST(ClusterStateCheckpoints, areKeptForTheNextStartOfTheTask) {
  ClusterStateBench bench;
  bench.worker("a");
  bench.submit("job", {ClusterStateBench::step(2, 1000, saving())});
  bench.planAndRun();
  bench.save("job", 0, "x1");
  bench.end("job", EndingKind::stopped, 0, "x2");
  bench.end("job", EndingKind::failed, 1);
  bench.now += 60'000;
  bench.plan();
  std::map<std::uint32_t, std::string> saved;
  for (const auto& order : bench.clusterState.workers.at(WorkerId{"a"}).orders)
    if (order.kind == OrderKind::start && order.run == 2)
      saved[order.within] = order.saved;
  STRCMP_EQUAL("x2", saved.at(0).c_str());
  STRCMP_EQUAL("", saved.at(1).c_str());  // another task's is none of its own
}

TEST(ClusterStateCheckpoints, ofAnEarlierRunNeverReplaceALaterOnes) {
  ClusterStateBench bench;
  bench.worker("a");
  bench.worker("b");
  bench.submit("job", {ClusterStateBench::step(1, 1000, saving())});
  bench.planAndRun();
  const AttemptNumber first = bench.attempt("job");
  bench.save("job", 0, "x1");
  bench.apply(WorkerSilent{bench.clusterState.attempts.at(first).worker, {first}});
  STRCMP_EQUAL("x1", bench.task("job").saved.c_str());
  bench.planAndRun();
  bench.save("job", 0, "y2");
  bench.end(first, EndingKind::stopped, "x9");
  STRCMP_EQUAL("y2", bench.task("job").saved.c_str());
  bench.end("job", EndingKind::stopped, 0, "");  // one that says nothing takes nothing away
  STRCMP_EQUAL("y2", bench.task("job").saved.c_str());
}

TEST_GROUP(ClusterStateWorkers){};

TEST(ClusterStateWorkers, anotherLifeOnAHostPutsTheFormerOut) {
  ClusterStateBench bench;
  bench.worker("life-1", {.host = "h1"});
  bench.worker("elsewhere", {.cores = 8000, .host = "h2"});
  bench.submit("job", {ClusterStateBench::step(1)});
  bench.planAndRun();
  STRCMP_EQUAL("life-1", bench.workerOf("job").c_str());
  bench.worker("life-2", {.host = "h1"});
  CHECK(bench.clusterState.workers.at(WorkerId{"life-1"}).state == WorkerState::gone);
  CHECK(bench.clusterState.workers.at(WorkerId{"elsewhere"}).state == WorkerState::present);
  STRCMP_EQUAL("waiting", bench.tasks("job").c_str());
  LONGS_EQUAL(0, bench.openAttempts("job"));
  STRCMP_EQUAL("start job on life-2", bench.planAndRun().c_str());
  LONGS_EQUAL(2, bench.task("job").run);
}

TEST(ClusterStateWorkers, theSameLifeSeenAgainKeepsItsWork) {
  ClusterStateBench bench;
  bench.worker("life-1", {.host = "h1"});
  bench.submit("job", {ClusterStateBench::step(1)});
  bench.planAndRun();
  bench.worker("life-1", {.cores = 8000, .host = "h1"});  // it says something else of itself
  STRCMP_EQUAL("placed", bench.tasks("job").c_str());
  LONGS_EQUAL(1, bench.openAttempts("job"));
}

TEST(ClusterStateWorkers, attemptsAreFoundByTheNamesWorkersKnow) {
  ClusterStateBench bench;
  bench.worker("a");
  bench.worker("b");
  auto second = ClusterStateBench::step(2);
  second.after = {"0"};
  bench.submit("job", {ClusterStateBench::step(2), second});
  bench.submit("timed", {ClusterStateBench::step(1)}, "q",
               Timetable{ClusterTime{5000}, Duration{1000}, 3});
  bench.apply(OccurrenceFired{JobId{"timed"}});
  bench.apply(OccurrenceFired{JobId{"timed"}});
  bench.planAndRun();
  auto named = [&](const std::string& worker, const std::string& job, std::uint32_t occurrence,
                   std::uint32_t step, std::uint32_t within, std::uint32_t run) {
    return bench.clusterState.attemptNamed(WorkerId{worker},
                                           RunName{JobId{job}, occurrence, step, within, run});
  };
  const std::string place = bench.workerOf("job", 1);
  CHECK(named(place, "job", 0, 0, 1, 1) == bench.attempt("job", 1));
  LONGS_EQUAL(0, named(place == "a" ? "b" : "a", "job", 0, 0, 1, 1).value);
  LONGS_EQUAL(0, named(place, "job", 0, 0, 1, 2).value);
  LONGS_EQUAL(0, named(place, "job", 0, 1, 0, 1).value);  // its step waits
  LONGS_EQUAL(0, named(place, "job", 0, 9, 0, 1).value);
  LONGS_EQUAL(0, named(place, "job", 0, 0, 9, 1).value);
  LONGS_EQUAL(0, named(place, "nobody", 0, 0, 0, 1).value);
  CHECK(named(bench.workerOf("timed@1"), "timed", 1, 0, 0, 1) == bench.attempt("timed@1"));
  LONGS_EQUAL(0, named(bench.workerOf("timed@1"), "timed", 2, 0, 0, 1).value);
  // Given up, it is found until its ending is known.
  const AttemptNumber first = bench.attempt("job", 1);
  bench.apply(WorkerSilent{WorkerId{place}, {first}});
  bench.planAndRun();
  CHECK(bench.attempt("job", 1) != first);
  CHECK(named(place, "job", 0, 0, 1, 1) == first);
  bench.end(first, EndingKind::stopped);
  LONGS_EQUAL(0, named(place, "job", 0, 0, 1, 1).value);
  // So is the part of a gang that is done.
  bench.apply(WorkerReturned{WorkerId{place}});
  bench.submit("gang", {ClusterStateBench::gang(2)});
  bench.planAndRun();
  const std::string other = bench.workerOf("gang", 1);
  const AttemptNumber part = bench.attempt("gang", 1);
  bench.end("gang", EndingKind::finished, 0);
  CHECK(named(other, "gang", 0, 0, 1, 1) == part);
}

TEST(ClusterStateWorkers, leavingTakesBackWhatWasNotBegun) {
  ClusterStateBench bench;
  bench.worker("a");
  bench.worker("b", {.cores = 8000});
  bench.submit("job", {ClusterStateBench::step(1)});
  bench.planAndRun();
  bench.submit("late", {ClusterStateBench::step(1)});
  STRCMP_EQUAL("start late on a", bench.plan().c_str());
  bench.apply(WorkerLeaves{WorkerId{"a"}, Duration{2000}, false});
  CHECK(bench.stopOrdered(bench.attempt("late")));
  CHECK_FALSE(bench.stopOrdered(bench.attempt("job")));
  bench.end("late", EndingKind::unstarted);
  LONGS_EQUAL(0, bench.task("late").starts);
  STRCMP_EQUAL("start late on b", bench.plan().c_str());
}

TEST(ClusterStateWorkers, theFoldIsTheSameFromItsBytes) {
  ClusterStateBench bench;
  bench.worker("a");
  bench.submit("gang", {ClusterStateBench::gang(2, 1000, saving())});
  bench.submit("timed", {ClusterStateBench::step(1)}, "q",
               Timetable{ClusterTime{5000}, Duration{1000}, 3});
  bench.apply(OccurrenceFired{JobId{"timed"}});
  bench.planAndRun();
  bench.save("gang", 1, "x1");
  auto read = unpack<ClusterState>(pack(bench.clusterState));
  CHECK(read.has_value());
  CHECK(pack(read.value()) == pack(bench.clusterState));
  STRCMP_EQUAL("x1", read.value().jobs.at(JobId{"gang"}).tasks[0].saved.c_str());
}

// They end well together, and one such ending counts for all: also for a part whose worker went
// before it could tell.
TEST(ClusterStateGangs, oneCleanEndingCountsForAPartWhoseWorkerWent) {
  ClusterStateBench bench;
  bench.worker("a", {.cores = 1000});
  bench.worker("b", {.cores = 1000});
  bench.worker("c", {.cores = 1000});
  bench.submit("gang", {ClusterStateBench::gang(2)});
  STRCMP_EQUAL("start gang on a, start gang on b", bench.planAndRun().c_str());
  const AttemptNumber first = bench.attempt("gang", 0);
  bench.apply(WorkerGone{WorkerId{"b"}, "crashed"});
  STRCMP_EQUAL("placed waiting", bench.tasks("gang").c_str());
  CHECK(bench.stopOrdered(first));
  bench.end(first, EndingKind::finished);  // it had ended before the stop came
  STRCMP_EQUAL("done done", bench.tasks("gang").c_str());
  STRCMP_EQUAL("finished", bench.state("gang").c_str());
  STRCMP_EQUAL("", bench.plan().c_str());
}

// A task whose turn has come and that has room is not kept waiting for 3 s, however often it failed
// or was stopped before.
TEST(ClusterStateLasting, noFailureMakesItWaitForLong) {
  ClusterStateBench bench;
  bench.worker("a");
  bench.submit("job", {ClusterStateBench::step(1, 1000, lasting())});
  for (int count = 0; count < 10; ++count) {
    bench.planAndRun();
    bench.end("job", EndingKind::failed);
    const Duration pause = bench.task("job").notBefore - ClusterTime{bench.now};
    CHECK_TEXT(pause < Duration{2500}, ("waits " + std::to_string(pause.milliseconds) +
                                        " ms after failure " + std::to_string(count + 1))
                                           .c_str());
    bench.now += 60'000;
  }
}

TEST(ClusterStateTries, stopsMakeNoFailureWaitLonger) {
  ClusterStateBench bench;
  bench.worker("a");
  bench.submit("job", {ClusterStateBench::step(1)});
  for (int count = 0; count < 6; ++count) {
    bench.planAndRun();
    bench.end("job", EndingKind::stopped);
    bench.now += 60'000;
  }
  bench.planAndRun();
  bench.end("job", EndingKind::failed);
  const Duration pause = bench.task("job").notBefore - ClusterTime{bench.now};
  CHECK_TEXT(
      pause < Duration{2500},
      ("waits " + std::to_string(pause.milliseconds) + " ms after its first failure").c_str());
}

// docs/design.md 5.3: an order of a start whose ending is known must not begin when it is given
// again. An agent that was killed gets all orders that are not applied, and one before this may
// still be open; the task runs elsewhere by then.
TEST(ClusterStateWorkers, theOrderOfAStartThatEndedIsNoStartAnyMore) {
  ClusterStateBench bench;
  bench.worker("a");
  bench.worker("b");
  bench.submit("first", {ClusterStateBench::step(1)});
  bench.submit("second", {ClusterStateBench::step(1)});
  STRCMP_EQUAL("start first on a, start second on a", bench.plan().c_str());
  bench.end("second", EndingKind::refused);  // it had no room; the first still gets no answer
  STRCMP_EQUAL("start second on b", bench.plan().c_str());
  for (const auto& order : bench.clusterState.workers.at(WorkerId{"a"}).orders)
    CHECK_TEXT(order.job.value != "second" || order.kind != OrderKind::start,
               "a start that was refused is still ordered there");
}

TEST_GROUP(ClusterStateCopies) {
  ClusterStateBench bench;
  void setup() override {
    StepNeeds needs;
    needs.redundant = true;
    bench.worker("first", {.cores = 8000});
    bench.worker("other", {.cores = 8000});
    bench.submit("copied", {ClusterStateBench::step(1, 1000, needs, false, 100)});
  }
  void start(std::uint64_t attempt, const char* worker, bool twin) {
    Action action;
    action.attempt = AttemptNumber{attempt};
    action.job = JobId{"copied"};
    action.worker = WorkerId{worker};
    action.memory = 100;
    action.twin = twin;
    bench.now += 10;
    bench.apply(PlanMade{PlanNumber{attempt}, {action}, {}});
  }
};

// docs/incidents.md 3: copies that fail use their task's tries, also while the first run stands
// still.
TEST(ClusterStateCopies, copiesUseTheirTasksTries) {
  start(1, "first", false);
  for (std::uint64_t copy = 2; copy <= 4; ++copy) {
    CHECK_TEXT(!bench.job("copied").ending, "failed before its tries were used up");
    start(copy, "other", true);
    bench.end(AttemptNumber{copy}, EndingKind::failed);
  }
  CHECK(bench.job("copied").ending);
  CHECK(bench.stopOrdered(AttemptNumber{1}));
  bench.end(AttemptNumber{1}, EndingKind::stopped);
  STRCMP_EQUAL("failed", bench.state("copied").c_str());
}

// Of two copies the first clean ending counts: the job is over at once, and the other keeps its
// room until it has stopped.
TEST(ClusterStateCopies, theFirstCleanEndingCounts) {
  start(1, "first", false);
  start(2, "other", true);
  bench.end(AttemptNumber{2}, EndingKind::finished);
  STRCMP_EQUAL("finished", bench.state("copied").c_str());
  CHECK(bench.stopOrdered(AttemptNumber{1}));
  bench.end(AttemptNumber{1}, EndingKind::finished);
  CHECK(bench.clusterState.attempts.empty());
  STRCMP_EQUAL("finished", bench.state("copied").c_str());
}
