// The fold of the log: gangs that assemble themselves, tries, what lasts, timetables, checkpoints, lives. docs/design.md 4, 5.
#include "ledger_bench.hpp"

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

TEST_GROUP(LedgerGangs){};

TEST(LedgerGangs, startTogetherWithOneRunNumber) {
    LedgerBench bench;
    bench.minion("a");
    bench.minion("b");
    bench.submit("gang", {LedgerBench::gang(6)});
    STRCMP_EQUAL("start gang on a, start gang on a, start gang on a, start gang on a, start gang on b, start gang on b", bench.planAndRun().c_str());
    for (std::size_t task = 0; task < 6; ++task) LONGS_EQUAL(1, bench.task("gang", task).run);
    LONGS_EQUAL(1, bench.ledger.attempts.at(bench.attempt("gang", 5)).run);
    LONGS_EQUAL(1, bench.lastOrder("b").run);
}

TEST(LedgerGangs, areStartedWholeOrNotAtAll) {
    LedgerBench bench;
    bench.minion("a");
    bench.submit("gang", {LedgerBench::gang(6)});
    STRCMP_EQUAL("", bench.plan().c_str());
    bench.minion("b");
    CHECK(bench.plan().find("start gang on b") != std::string::npos);
}

TEST(LedgerGangs, oneCleanEndingCountsForAll) {
    LedgerBench bench;
    bench.minion("a");
    bench.submit("gang", {LedgerBench::gang(3)});
    bench.submit("next", {LedgerBench::step(1)});
    bench.planAndRun();
    const AttemptNumber other = bench.attempt("gang", 2);
    bench.end("gang", EndingKind::finished, 1);
    STRCMP_EQUAL("done done done", bench.tasks("gang").c_str());
    STRCMP_EQUAL("open", bench.state("gang").c_str());  // the others still take their room
    LONGS_EQUAL(2, bench.openAttempts("gang"));
    CHECK_FALSE(bench.stopOrdered(other));
    for (auto number : bench.ledger.attemptsOf(JobId{"gang"}, true)) bench.end(number, EndingKind::finished);
    STRCMP_EQUAL("finished", bench.state("gang").c_str());
    LONGS_EQUAL(1, bench.ledger.counters.finished);
}

TEST(LedgerGangs, anyEndingOfTheOthersLeavesThemDone) {
    LedgerBench bench;
    bench.minion("a");
    bench.submit("gang", {LedgerBench::gang(3)});
    bench.planAndRun();
    bench.end("gang", EndingKind::finished, 0);
    const auto left = bench.ledger.attemptsOf(JobId{"gang"}, true);
    bench.end(left.at(0), EndingKind::stopped);
    bench.end(left.at(1), EndingKind::failed);
    STRCMP_EQUAL("finished", bench.state("gang").c_str());
    STRCMP_EQUAL("", bench.plan().c_str());
}

TEST(LedgerGangs, aFailureStopsTheRestAndCountsOnce) {
    LedgerBench bench;
    bench.minion("a");
    bench.submit("gang", {LedgerBench::gang(3)});
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
    for (std::size_t task = 0; task < 3; ++task) LONGS_EQUAL(2, bench.task("gang", task).run);
    for (int count = 2; count <= 3; ++count) {
        STRCMP_EQUAL("open", bench.state("gang").c_str());
        bench.end("gang", EndingKind::failed, 2);
        for (auto number : bench.ledger.attemptsOf(JobId{"gang"}, true)) bench.end(number, EndingKind::stopped);
        bench.now += 60'000;
        bench.planAndRun();
    }
    STRCMP_EQUAL("failed", bench.state("gang").c_str());  // three runs of it failed
    CHECK(!bench.job("gang").reason.empty());
}

// `broken` of one part may be told before the failure that broke it.
TEST(LedgerGangs, aPartBrokenFirstTakesNoTry) {
    LedgerBench bench;
    bench.minion("a");
    bench.submit("gang", {LedgerBench::gang(2)});
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

TEST(LedgerGangs, oneTurnedAwayTakesTheOthersBack) {
    LedgerBench bench;
    bench.minion("a");
    bench.submit("gang", {LedgerBench::gang(2)});
    bench.plan();
    const AttemptNumber second = bench.attempt("gang", 1);
    bench.end("gang", EndingKind::refused, 0);
    CHECK(bench.stopOrdered(second));
    bench.end(second, EndingKind::stopped);
    LONGS_EQUAL(0, bench.task("gang", 0).failures);
    STRCMP_EQUAL("waiting waiting", bench.tasks("gang").c_str());
}

TEST(LedgerGangs, checkpointsBelongToAllOfIt) {
    LedgerBench bench;
    bench.minion("a");
    bench.submit("gang", {LedgerBench::gang(2, 1000, saving())});
    bench.planAndRun();
    bench.save("gang", 1, "x1");
    bench.end("gang", EndingKind::failed, 1);
    bench.end("gang", EndingKind::stopped, 0);
    bench.now += 6000;
    bench.plan();
    std::vector<std::string> saved;
    for (const auto& order : bench.ledger.minions.at(MinionId{"a"}).orders)
        if (order.kind == OrderKind::start && order.run == 2) saved.push_back(order.saved);
    LONGS_EQUAL(2, saved.size());
    for (const auto& each : saved) STRCMP_EQUAL("x1", each.c_str());
}

TEST_GROUP(LedgerTries){};

// docs/design.md 4.4: with `tries` only runs that ended as failed count.
TEST(LedgerTries, countFailedRunsOnly) {
    LedgerBench bench;
    bench.minion("a");
    bench.submit("job", {LedgerBench::step(1)});
    for (int count = 0; count < 12; ++count) {
        bench.planAndRun();
        bench.end("job", count % 3 == 0 ? EndingKind::stopped : count % 3 == 1 ? EndingKind::unstarted : EndingKind::refused);
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

TEST(LedgerTries, aLapseTakesNone) {
    LedgerBench bench;
    bench.minion("a");
    bench.minion("b");
    bench.submit("job", {LedgerBench::step(1)});
    for (int count = 0; count < 8; ++count) {
        bench.planAndRun();
        const AttemptNumber number = bench.attempt("job");
        const MinionId place = bench.ledger.attempts.at(number).minion;
        bench.fold(MinionSilent{place, {number}});
        STRCMP_EQUAL("waiting", bench.tasks("job").c_str());
        bench.now += 60'000;
        bench.fold(MinionAllowed{place});
        bench.end(number, count % 2 ? EndingKind::failed : EndingKind::stopped);  // told late: void, for its hold had lapsed
        STRCMP_EQUAL("waiting", bench.tasks("job").c_str());
    }
    LONGS_EQUAL(0, bench.task("job").failures);
}

// docs/design.md 5.5: given up means that its hold had lapsed; a clean ending told late is void too.
TEST(LedgerTries, aCleanEndingAfterALapseIsVoid) {
    LedgerBench bench;
    bench.minion("a");
    bench.minion("b");
    bench.submit("job", {LedgerBench::step(1)});
    bench.planAndRun();
    const AttemptNumber first = bench.attempt("job");
    bench.fold(MinionSilent{bench.ledger.attempts.at(first).minion, {first}});
    STRCMP_EQUAL("start job on b", bench.planAndRun().c_str());
    bench.end(first, EndingKind::finished);
    STRCMP_EQUAL("placed", bench.tasks("job").c_str());
    CHECK_FALSE(bench.stopOrdered(bench.attempt("job")));
    bench.end("job");
    STRCMP_EQUAL("finished", bench.state("job").c_str());
}

TEST(LedgerTries, withoutTriesStartsCountAsBefore) {
    LedgerBench bench;
    bench.minion("a", {.pool = ""});
    bench.submit("job", {LedgerBench::step(1)}, "plain");
    bench.planAndRun();
    bench.end("job", EndingKind::failed);
    bench.now += 60'000;
    bench.planAndRun();
    bench.end("job", EndingKind::failed);
    STRCMP_EQUAL("failed", bench.state("job").c_str());
}

TEST_GROUP(LedgerLasting){};

TEST(LedgerLasting, isStartedAgainHoweverItEnds) {
    LedgerBench bench;
    bench.minion("a");
    bench.submit("job", {LedgerBench::step(2, 1000, lasting())});
    for (int count = 0; count < 20; ++count) {
        CHECK(bench.planAndRun().find("start job on a") != std::string::npos);
        bench.end("job", count % 3 == 0 ? EndingKind::failed : count % 3 == 1 ? EndingKind::finished : EndingKind::stopped, 0);
        STRCMP_EQUAL("waiting placed", bench.tasks("job").c_str());
        STRCMP_EQUAL("open", bench.state("job").c_str());
        bench.now += 60'000;
    }
    LONGS_EQUAL(20, bench.task("job").run);
    bench.fold(JobCancelled{JobId{"job"}});
    STRCMP_EQUAL("cancelling", bench.state("job").c_str());
    bench.end("job", EndingKind::stopped, 1);
    STRCMP_EQUAL("cancelled", bench.state("job").c_str());
}

TEST(LedgerLasting, gangsAreStartedAgainWhole) {
    LedgerBench bench;
    bench.minion("a");
    bench.submit("job", {LedgerBench::gang(2, 1000, lasting())});
    bench.planAndRun();
    const AttemptNumber second = bench.attempt("job", 1);
    bench.end("job", EndingKind::finished, 0);
    CHECK(bench.stopOrdered(second));
    bench.end(second, EndingKind::stopped);
    bench.now += 1000;
    STRCMP_EQUAL("start job on a, start job on a", bench.plan().c_str());
    LONGS_EQUAL(2, bench.task("job", 1).run);
}

TEST_GROUP(LedgerTimetables){};

TEST(LedgerTimetables, areOverOnlyWithAllTheirOccurrences) {
    LedgerBench bench;
    bench.minion("a");
    bench.submit("job", {LedgerBench::step(1)}, "q", Timetable{ClusterTime{5000}, Span{1000}, 3});
    STRCMP_EQUAL("timed", bench.state("job").c_str());
    STRCMP_EQUAL("", bench.plan().c_str());
    for (int count = 0; count < 3; ++count) bench.fold(OccurrenceFired{JobId{"job"}});
    bench.planAndRun();  // they overlap
    bench.end("job@2");
    bench.end("job@0");
    STRCMP_EQUAL("finished", bench.state("job@2").c_str());
    STRCMP_EQUAL("timed", bench.state("job").c_str());
    bench.end("job@1");
    STRCMP_EQUAL("finished", bench.state("job").c_str());
    CHECK(bench.ledger.open.empty());
    LONGS_EQUAL(0, bench.ledger.openByQueue[QueueName{"q"}]);
}

TEST(LedgerTimetables, areNotOverBetweenOccurrences) {
    LedgerBench bench;
    bench.minion("a");
    bench.submit("job", {LedgerBench::step(1)}, "q", Timetable{ClusterTime{5000}, Span{1000}, 2});
    bench.fold(OccurrenceFired{JobId{"job"}});
    bench.planAndRun();
    bench.end("job@0");
    STRCMP_EQUAL("timed", bench.state("job").c_str());
    bench.fold(OccurrenceFired{JobId{"job"}});
    bench.planAndRun();
    bench.end("job@1");
    STRCMP_EQUAL("finished", bench.state("job").c_str());
}

TEST(LedgerTimetables, failWholeWithTheFirstThatFails) {
    LedgerBench bench;
    bench.minion("a");
    bench.submit("job", {LedgerBench::step(1)}, "other", Timetable{ClusterTime{5000}, Span{1000}, 4});
    bench.minion("s", {.pool = "store"});
    bench.fold(OccurrenceFired{JobId{"job"}});
    bench.fold(OccurrenceFired{JobId{"job"}});
    bench.planAndRun();
    bench.end("job@0", EndingKind::failed);
    STRCMP_EQUAL("failed", bench.state("job@0").c_str());
    STRCMP_EQUAL("failed", bench.state("job").c_str());
    CHECK(bench.job("job").reason.find("occurrence 0") == 0);
    STRCMP_EQUAL("cancelling", bench.state("job@1").c_str());
    CHECK(bench.stopOrdered(bench.attempt("job@1")));
    bench.fold(OccurrenceFired{JobId{"job"}});
    CHECK(bench.ledger.jobs.count(JobId{"job@2"}) == 0);
    bench.end("job@1", EndingKind::stopped);
    STRCMP_EQUAL("cancelled", bench.state("job@1").c_str());
    STRCMP_EQUAL("failed", bench.state("job").c_str());
    CHECK(bench.ledger.open.empty());
}

TEST(LedgerTimetables, cancelWhole) {
    LedgerBench bench;
    bench.minion("a");
    bench.submit("job", {LedgerBench::step(1)}, "q", Timetable{ClusterTime{5000}, Span{1000}, 4});
    bench.fold(OccurrenceFired{JobId{"job"}});
    bench.fold(OccurrenceFired{JobId{"job"}});
    bench.planAndRun();
    bench.end("job@0");
    bench.fold(JobCancelled{JobId{"job"}});
    STRCMP_EQUAL("cancelled", bench.state("job").c_str());
    STRCMP_EQUAL("finished", bench.state("job@0").c_str());
    CHECK(bench.stopOrdered(bench.attempt("job@1")));
    bench.end("job@1", EndingKind::stopped);
    STRCMP_EQUAL("cancelled", bench.state("job@1").c_str());
    bench.fold(OccurrenceFired{JobId{"job"}});
    CHECK(bench.ledger.jobs.count(JobId{"job@2"}) == 0);
    LONGS_EQUAL(0, bench.ledger.openByQueue[QueueName{"q"}]);
}

TEST_GROUP(LedgerHopeless){};

TEST(LedgerHopeless, isSaidOnlyWhenTheMinionsAreKnown) {
    LedgerBench bench;
    bench.minion("a");
    bench.submit("big", {LedgerBench::step(1, 9000)});
    const auto& big = bench.job("big").submission;
    CHECK(!bench.ledger.neverFits(big, big.steps[0]));
    bench.now += 3000;
    bench.fold(Opened{});
    CHECK(bench.ledger.neverFits(big, big.steps[0]).has_value());
    bench.fold(JobFailed{JobId{"big"}, "no known minion could ever hold it"});
    STRCMP_EQUAL("failed", bench.state("big").c_str());
    STRCMP_EQUAL("no known minion could ever hold it", bench.job("big").reason.c_str());
    CHECK(bench.ledger.open.empty());
}

TEST(LedgerHopeless, dependsOnLabelPoolAcceleratorsAndApart) {
    LedgerBench bench;
    bench.minion("a", {.labels = {"colour"}, .accelerators = 1});
    bench.minion("b");
    bench.minion("s", {.cores = 64'000, .pool = "store"});
    bench.now += 3000;
    bench.fold(Opened{});
    auto never = [&](StepRequest step, const std::string& queue = "q") {
        JobSubmission job;
        job.queue = QueueName{queue};
        job.steps = {step};
        return bench.ledger.neverFits(job, job.steps[0]).has_value();
    };
    auto labelled = [](const std::string& label) {
        StepNeeds needs;
        needs.label = label;
        return needs;
    };
    CHECK_FALSE(never(LedgerBench::step(9, 4000)));  // one after the other
    CHECK(never(LedgerBench::step(1, 4001)));
    CHECK_FALSE(never(LedgerBench::step(1, 4001), "other"));  // the other pool's minion
    CHECK_FALSE(never(LedgerBench::step(1, 1000, labelled("colour"))));
    CHECK(never(LedgerBench::step(1, 1000, labelled("absent"))));
    auto accelerated = LedgerBench::step(1);
    accelerated.tasks[0].accelerators = 1;
    CHECK_FALSE(never(accelerated));
    accelerated.tasks[0].accelerators = 2;
    CHECK(never(accelerated));
    CHECK_FALSE(never(LedgerBench::gang(8)));
    CHECK(never(LedgerBench::gang(9)));
    CHECK(never(LedgerBench::gang(5, 1000, labelled("colour"))));
    StepNeeds apart;
    apart.apart = 1;
    CHECK_FALSE(never(LedgerBench::gang(2, 1000, apart)));
    CHECK(never(LedgerBench::gang(3, 1000, apart)));
    CHECK_FALSE(never(LedgerBench::step(3, 1000, apart)));  // one after the other
}

TEST(LedgerHopeless, anOccurrenceFailsItsTimetable) {
    LedgerBench bench;
    bench.submit("job", {LedgerBench::step(1)}, "q", Timetable{ClusterTime{5000}, Span{1000}, 4});
    bench.fold(OccurrenceFired{JobId{"job"}});
    bench.fold(JobFailed{JobId{"job@0"}, "no room anywhere"});
    STRCMP_EQUAL("failed", bench.state("job").c_str());
    CHECK(bench.job("job").reason.find("no room anywhere") != std::string::npos);
}

TEST_GROUP(LedgerCheckpoints){};

TEST(LedgerCheckpoints, areKeptForTheNextStartOfTheTask) {
    LedgerBench bench;
    bench.minion("a");
    bench.submit("job", {LedgerBench::step(2, 1000, saving())});
    bench.planAndRun();
    bench.save("job", 0, "x1");
    bench.end("job", EndingKind::stopped, 0, "x2");
    bench.end("job", EndingKind::failed, 1);
    bench.now += 60'000;
    bench.plan();
    std::map<std::uint32_t, std::string> saved;
    for (const auto& order : bench.ledger.minions.at(MinionId{"a"}).orders)
        if (order.kind == OrderKind::start && order.run == 2) saved[order.within] = order.saved;
    STRCMP_EQUAL("x2", saved.at(0).c_str());
    STRCMP_EQUAL("", saved.at(1).c_str());  // another task's is none of its own
}

TEST(LedgerCheckpoints, ofAnEarlierRunNeverReplaceALaterOnes) {
    LedgerBench bench;
    bench.minion("a");
    bench.minion("b");
    bench.submit("job", {LedgerBench::step(1, 1000, saving())});
    bench.planAndRun();
    const AttemptNumber first = bench.attempt("job");
    bench.save("job", 0, "x1");
    bench.fold(MinionSilent{bench.ledger.attempts.at(first).minion, {first}});
    STRCMP_EQUAL("x1", bench.task("job").saved.c_str());
    bench.planAndRun();
    bench.save("job", 0, "y2");
    bench.end(first, EndingKind::stopped, "x9");
    STRCMP_EQUAL("y2", bench.task("job").saved.c_str());
    bench.end("job", EndingKind::stopped, 0, "");  // one that says nothing takes nothing away
    STRCMP_EQUAL("y2", bench.task("job").saved.c_str());
}

TEST_GROUP(LedgerMinions){};

TEST(LedgerMinions, anotherLifeOnAHostPutsTheFormerOut) {
    LedgerBench bench;
    bench.minion("life-1", {.host = "h1"});
    bench.minion("elsewhere", {.cores = 8000, .host = "h2"});
    bench.submit("job", {LedgerBench::step(1)});
    bench.planAndRun();
    STRCMP_EQUAL("life-1", bench.minionOf("job").c_str());
    bench.minion("life-2", {.host = "h1"});
    CHECK(bench.ledger.minions.at(MinionId{"life-1"}).state == MinionState::gone);
    CHECK(bench.ledger.minions.at(MinionId{"elsewhere"}).state == MinionState::present);
    STRCMP_EQUAL("waiting", bench.tasks("job").c_str());
    LONGS_EQUAL(0, bench.openAttempts("job"));
    STRCMP_EQUAL("start job on life-2", bench.planAndRun().c_str());
    LONGS_EQUAL(2, bench.task("job").run);
}

TEST(LedgerMinions, theSameLifeSeenAgainKeepsItsWork) {
    LedgerBench bench;
    bench.minion("life-1", {.host = "h1"});
    bench.submit("job", {LedgerBench::step(1)});
    bench.planAndRun();
    bench.minion("life-1", {.cores = 8000, .host = "h1"});  // it says something else of itself
    STRCMP_EQUAL("placed", bench.tasks("job").c_str());
    LONGS_EQUAL(1, bench.openAttempts("job"));
}

TEST(LedgerMinions, attemptsAreFoundByTheNamesMinionsKnow) {
    LedgerBench bench;
    bench.minion("a");
    bench.minion("b");
    auto second = LedgerBench::step(2);
    second.after = {"0"};
    bench.submit("job", {LedgerBench::step(2), second});
    bench.submit("timed", {LedgerBench::step(1)}, "q", Timetable{ClusterTime{5000}, Span{1000}, 3});
    bench.fold(OccurrenceFired{JobId{"timed"}});
    bench.fold(OccurrenceFired{JobId{"timed"}});
    bench.planAndRun();
    auto named = [&](const std::string& minion, const std::string& job, std::uint32_t occurrence, std::uint32_t step, std::uint32_t within, std::uint32_t run) {
        return bench.ledger.attemptNamed(MinionId{minion}, RunName{JobId{job}, occurrence, step, within, run});
    };
    const std::string place = bench.minionOf("job", 1);
    CHECK(named(place, "job", 0, 0, 1, 1) == bench.attempt("job", 1));
    LONGS_EQUAL(0, named(place == "a" ? "b" : "a", "job", 0, 0, 1, 1).value);
    LONGS_EQUAL(0, named(place, "job", 0, 0, 1, 2).value);
    LONGS_EQUAL(0, named(place, "job", 0, 1, 0, 1).value);  // its step waits
    LONGS_EQUAL(0, named(place, "job", 0, 9, 0, 1).value);
    LONGS_EQUAL(0, named(place, "job", 0, 0, 9, 1).value);
    LONGS_EQUAL(0, named(place, "nobody", 0, 0, 0, 1).value);
    CHECK(named(bench.minionOf("timed@1"), "timed", 1, 0, 0, 1) == bench.attempt("timed@1"));
    LONGS_EQUAL(0, named(bench.minionOf("timed@1"), "timed", 2, 0, 0, 1).value);
    // Given up, it is found until its ending is known.
    const AttemptNumber first = bench.attempt("job", 1);
    bench.fold(MinionSilent{MinionId{place}, {first}});
    bench.planAndRun();
    CHECK(bench.attempt("job", 1) != first);
    CHECK(named(place, "job", 0, 0, 1, 1) == first);
    bench.end(first, EndingKind::stopped);
    LONGS_EQUAL(0, named(place, "job", 0, 0, 1, 1).value);
    // So is the part of a gang that is done.
    bench.fold(MinionAllowed{MinionId{place}});
    bench.submit("gang", {LedgerBench::gang(2)});
    bench.planAndRun();
    const std::string other = bench.minionOf("gang", 1);
    const AttemptNumber part = bench.attempt("gang", 1);
    bench.end("gang", EndingKind::finished, 0);
    CHECK(named(other, "gang", 0, 0, 1, 1) == part);
}

TEST(LedgerMinions, leavingTakesBackWhatWasNotBegun) {
    LedgerBench bench;
    bench.minion("a");
    bench.minion("b", {.cores = 8000});
    bench.submit("job", {LedgerBench::step(1)});
    bench.planAndRun();
    bench.submit("late", {LedgerBench::step(1)});
    STRCMP_EQUAL("start late on a", bench.plan().c_str());
    bench.fold(MinionLeaves{MinionId{"a"}, Span{2000}, false});
    CHECK(bench.stopOrdered(bench.attempt("late")));
    CHECK_FALSE(bench.stopOrdered(bench.attempt("job")));
    bench.end("late", EndingKind::unstarted);
    LONGS_EQUAL(0, bench.task("late").starts);
    STRCMP_EQUAL("start late on b", bench.plan().c_str());
}

TEST(LedgerMinions, theFoldIsTheSameFromItsBytes) {
    LedgerBench bench;
    bench.minion("a");
    bench.submit("gang", {LedgerBench::gang(2, 1000, saving())});
    bench.submit("timed", {LedgerBench::step(1)}, "q", Timetable{ClusterTime{5000}, Span{1000}, 3});
    bench.fold(OccurrenceFired{JobId{"timed"}});
    bench.planAndRun();
    bench.save("gang", 1, "x1");
    auto read = unpack<Ledger>(pack(bench.ledger));
    CHECK(read.has_value());
    CHECK(pack(read.value()) == pack(bench.ledger));
    STRCMP_EQUAL("x1", read.value().jobs.at(JobId{"gang"}).tasks[0].saved.c_str());
}

// They end well together, and one such ending counts for all: also for a part whose minion went before it could tell.
TEST(LedgerGangs, oneCleanEndingCountsForAPartWhoseMinionWent) {
    LedgerBench bench;
    bench.minion("a", {.cores = 1000});
    bench.minion("b", {.cores = 1000});
    bench.minion("c", {.cores = 1000});
    bench.submit("gang", {LedgerBench::gang(2)});
    STRCMP_EQUAL("start gang on a, start gang on b", bench.planAndRun().c_str());
    const AttemptNumber first = bench.attempt("gang", 0);
    bench.fold(MinionGone{MinionId{"b"}, "crashed"});
    STRCMP_EQUAL("placed waiting", bench.tasks("gang").c_str());
    CHECK(bench.stopOrdered(first));
    bench.end(first, EndingKind::finished);  // it had ended before the stop came
    STRCMP_EQUAL("done done", bench.tasks("gang").c_str());
    STRCMP_EQUAL("finished", bench.state("gang").c_str());
    STRCMP_EQUAL("", bench.plan().c_str());
}

// A task whose turn has come and that has room is not kept waiting for 3 s, however often it failed or was stopped before.
TEST(LedgerLasting, noFailureMakesItWaitForLong) {
    LedgerBench bench;
    bench.minion("a");
    bench.submit("job", {LedgerBench::step(1, 1000, lasting())});
    for (int count = 0; count < 10; ++count) {
        bench.planAndRun();
        bench.end("job", EndingKind::failed);
        const Span pause = bench.task("job").notBefore - ClusterTime{bench.now};
        CHECK_TEXT(pause < Span{2500}, ("waits " + std::to_string(pause.milliseconds) + " ms after failure " + std::to_string(count + 1)).c_str());
        bench.now += 60'000;
    }
}

TEST(LedgerTries, stopsMakeNoFailureWaitLonger) {
    LedgerBench bench;
    bench.minion("a");
    bench.submit("job", {LedgerBench::step(1)});
    for (int count = 0; count < 6; ++count) {
        bench.planAndRun();
        bench.end("job", EndingKind::stopped);
        bench.now += 60'000;
    }
    bench.planAndRun();
    bench.end("job", EndingKind::failed);
    const Span pause = bench.task("job").notBefore - ClusterTime{bench.now};
    CHECK_TEXT(pause < Span{2500}, ("waits " + std::to_string(pause.milliseconds) + " ms after its first failure").c_str());
}

// docs/design.md 5.3: an order of a start whose ending is known must not begin when it is given again. A penstock that was killed
// gets all orders that are not applied, and one before this may still be open; the task runs elsewhere by then.
TEST(LedgerMinions, theOrderOfAStartThatEndedIsNoStartAnyMore) {
    LedgerBench bench;
    bench.minion("a");
    bench.minion("b");
    bench.submit("first", {LedgerBench::step(1)});
    bench.submit("second", {LedgerBench::step(1)});
    STRCMP_EQUAL("start first on a, start second on a", bench.plan().c_str());
    bench.end("second", EndingKind::refused);  // it had no room; the first still gets no answer
    STRCMP_EQUAL("start second on b", bench.plan().c_str());
    for (const auto& order : bench.ledger.minions.at(MinionId{"a"}).orders)
        CHECK_TEXT(order.job.value != "second" || order.kind != OrderKind::start, "a start that was refused is still ordered there");
}

TEST_GROUP(LedgerCopies) {
    LedgerBench bench;
    void setup() override {
        StepNeeds needs;
        needs.redundant = true;
        bench.minion("first", {.cores = 8000});
        bench.minion("other", {.cores = 8000});
        bench.submit("copied", {LedgerBench::step(1, 1000, needs, false, 100)});
    }
    void start(std::uint64_t attempt, const char* minion, bool twin) {
        Action action;
        action.attempt = AttemptNumber{attempt};
        action.job = JobId{"copied"};
        action.minion = MinionId{minion};
        action.memory = 100;
        action.twin = twin;
        bench.now += 10;
        bench.fold(PlanMade{PlanNumber{attempt}, {action}, {}});
    }
};

// docs/incidents.md 3: copies that fail use their task's tries, also while the first run stands still.
TEST(LedgerCopies, copiesUseTheirTasksTries) {
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

// Of two copies the first clean ending counts: the job is over at once, and the other keeps its room until it has stopped.
TEST(LedgerCopies, theFirstCleanEndingCounts) {
    start(1, "first", false);
    start(2, "other", true);
    bench.end(AttemptNumber{2}, EndingKind::finished);
    STRCMP_EQUAL("finished", bench.state("copied").c_str());
    CHECK(bench.stopOrdered(AttemptNumber{1}));
    bench.end(AttemptNumber{1}, EndingKind::finished);
    CHECK(bench.ledger.attempts.empty());
    STRCMP_EQUAL("finished", bench.state("copied").c_str());
}
