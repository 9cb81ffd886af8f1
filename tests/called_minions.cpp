// Minions that are called: what their penstocks and the ledger do with what a campaign found, and the rules that judge their
// histories. docs/design.md 5.8, 11, 12.4.
#include "ledger.hpp"
#include "penstock.hpp"
#include "planner.hpp"
#include "promises.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

namespace {

MinionAccount account(const std::string& life, std::int64_t clock) {
    MinionAccount given;
    given.life = MinionId{life};
    given.capacity.cores = 4000;
    given.capacity.memory = 1000;
    given.capacity.honoursTerms = given.capacity.lapses = given.capacity.assembles = true;
    given.clock = MinionTime{clock};
    return given;
}
Order startOf(std::uint64_t number, const std::string& job) {
    Order order;
    order.number = OrderNumber{number};
    order.attempt = AttemptNumber{number};
    order.job = JobId{job};
    order.run = 1;
    return order;
}
SyncAnswer answerWith(std::vector<Order> orders, std::uint64_t after) {
    SyncAnswer answer;
    answer.epoch = Epoch{1};
    answer.orders = std::move(orders);
    answer.after = OrderNumber{after};
    return answer;
}
std::set<std::string> started(Penstock& penstock, std::int64_t now) {
    std::set<std::string> jobs;
    for (const auto& call : penstock.takeCalls(Instant{now}))
        if (call.kind == MinionCall::Kind::start) jobs.insert(call.name.job.value);
    return jobs;
}

}  // namespace

TEST_GROUP(CalledMinionTests){};

// Orders in an answer that came too late were not taken; those behind them must not make it look as if they had been.
TEST(CalledMinionTests, noOrderIsPassedOver) {
    Penstock penstock{PenstockOptions{}};
    penstock.known(account("w", 1000), Instant{0});
    const auto first = penstock.report(Instant{0});
    const auto second = penstock.report(Instant{3900});
    penstock.answered(first, answerWith({startOf(1, "a")}, 0), Instant{0}, Instant{4000});
    penstock.answered(second, answerWith({startOf(2, "b")}, 1), Instant{3900}, Instant{4001});
    CHECK(started(penstock, 4002).empty());
    LONGS_EQUAL(0, penstock.report(Instant{4003}).received.value);
    penstock.answered(second, answerWith({startOf(1, "a"), startOf(2, "b")}, 0), Instant{3900}, Instant{4500});
    LONGS_EQUAL(2, started(penstock, 4501).size());
}

// Its hold may have run out, by a clock that may be slow: until that is sure what ended well is not called void, and no call
// renews the hold. docs/design.md 5.8.
TEST(CalledMinionTests, anEndingIsVoidOnlyWhenItsHoldHasSurelyRunOut) {
    Penstock penstock{PenstockOptions{}};
    penstock.known(account("w", 0), Instant{0});
    const auto report = penstock.report(Instant{0});
    penstock.answered(report, answerWith({startOf(1, "a")}, 0), Instant{0}, Instant{0});
    for (const auto& call : penstock.takeCalls(Instant{0})) {
        MinionReply reply;
        reply.kind = MinionReply::Kind::done;
        reply.clock = MinionTime{98};
        if (call.kind == MinionCall::Kind::look) reply.ended.push_back({1, RunName::of(startOf(1, "a")), EndingKind::finished, ""});
        penstock.replied(call, reply, Instant{100});
    }
    LONGS_EQUAL(1, penstock.report(Instant{101}).namedEndings.size());
    // It was held until 2940 by its own clock, which is between 2886 and 2943 by now.
    penstock.answered(penstock.report(Instant{2900}), answerWith({}, 1), Instant{2900}, Instant{2940});
    for (const auto& call : penstock.takeCalls(Instant{2945})) CHECK(!call.deadline);
    CHECK(penstock.report(Instant{2946}).namedEndings.at(0).kind == EndingKind::finished);
    // Its clock shows that it is held still.
    Penstock heard = penstock;
    heard.known(account("w", 2890), Instant{2950});
    heard.answered(heard.report(Instant{2950}), answerWith({startOf(2, "b")}, 0), Instant{2950}, Instant{2950});
    std::size_t renewed = 0;
    for (const auto& call : heard.takeCalls(Instant{2950})) renewed += call.deadline.has_value();
    CHECK(renewed > 0);
    CHECK(heard.report(Instant{3100}).namedEndings.at(0).kind == EndingKind::finished);
    // Or nothing more is heard.
    penstock.takeCalls(Instant{3200});
    CHECK(penstock.report(Instant{3201}).namedEndings.at(0).kind == EndingKind::stopped);
}

// A minion lists so many endings at a time: the rest is asked for even where nothing runs any more.
TEST(CalledMinionTests, theRestOfTheEndingsIsAskedFor) {
    Penstock penstock{PenstockOptions{}};
    penstock.known(account("w", 0), Instant{0});
    penstock.answered(penstock.report(Instant{0}), answerWith({}, 0), Instant{0}, Instant{0});
    auto looks = [&](std::int64_t now) {
        std::vector<MinionCall> found;
        for (const auto& call : penstock.takeCalls(Instant{now}))
            if (call.kind == MinionCall::Kind::look) found.push_back(call);
        return found;
    };
    MinionReply reply;
    reply.kind = MinionReply::Kind::done;
    reply.clock = MinionTime{10};
    reply.ended.push_back({1, RunName::of(startOf(1, "a")), EndingKind::finished, ""});
    reply.whole = false;
    penstock.replied(looks(10).at(0), reply, Instant{11});
    auto answer = answerWith({}, 0);
    answer.closed = 1;
    penstock.answered(penstock.report(Instant{12}), answer, Instant{12}, Instant{14});
    const auto again = looks(20);
    LONGS_EQUAL(1, again.size());
    LONGS_EQUAL(1, again.at(0).lastSeen);
}

namespace {

// A ledger with two minions at which gangs assemble themselves, and one job: a gang of two.
struct GangLedger {
    Ledger ledger;
    std::int64_t now = 0;
    std::uint64_t lastAttempt = 0;
    GangLedger() {
        auto setup = Setup::parse(R"({"queues":{"q":{"tries":2}}})");
        setup.value().version = SetupVersion{1};
        fold(SetupTaken{setup.value()});
        for (const char* id : {"v", "w"}) fold(MinionSeen{MinionId{id}, Incarnation{1}, account(id, 0).capacity});
        JobSubmission job;
        job.id = JobId{"a"};
        job.queue = QueueName{"q"};
        job.steps = {{"only", {}, true, {TaskRequest{}, TaskRequest{}}}};
        fold(JobAllowed{job});
    }
    void fold(Event event) { ledger.fold(Record{ClusterTime{++now}, std::move(event)}); }
    // Starts of one run, of task 0 on v and of task 1 on w.
    void place(std::uint32_t run, std::vector<std::uint32_t> tasks) {
        PlanMade plan;
        for (auto task : tasks) {
            Action action;
            action.attempt = AttemptNumber{++lastAttempt};
            action.job = JobId{"a"};
            action.task = task;
            action.minion = MinionId{task ? "w" : "v"};
            action.memory = 1;
            action.run = run;
            plan.actions.push_back(action);
        }
        fold(plan);
        for (const char* id : {"v", "w"}) fold(MinionSynced{MinionId{id}, ledger.minions.at(MinionId{id}).lastOrder, {}});
    }
    void end(const char* minion, std::uint64_t attempt, EndingKind kind) { fold(MinionSynced{MinionId{minion}, OrderNumber{}, {Ending{AttemptNumber{attempt}, kind}}}); }
    JobState state() const { return ledger.jobs.at(JobId{"a"}).state; }
};

}  // namespace

// One clean ending counts for the whole gang, also when another member's was void: else that member would wait alone for ever.
TEST(CalledMinionTests, aGangsCleanEndingCountsForAll) {
    GangLedger given;
    given.place(1, {0, 1});
    given.end("v", 1, EndingKind::stopped);
    given.end("w", 2, EndingKind::finished);
    CHECK(given.state() == JobState::finished);
}
TEST(CalledMinionTests, aGangsLateCleanEndingStopsWhatTookItsPlace) {
    GangLedger given;
    given.place(1, {0, 1});
    given.end("v", 1, EndingKind::stopped);
    given.place(2, {0});
    given.end("w", 2, EndingKind::finished);
    CHECK(given.ledger.attempts.at(AttemptNumber{3}).state == AttemptState::stopping);
    given.end("v", 3, EndingKind::stopped);
    CHECK(given.state() == JobState::finished);
}

// No start is reserved where too many of a step would be on one minion: it would never come, and hold others back.
TEST(CalledMinionTests, noStartIsReservedPastApart) {
    Ledger ledger;
    std::int64_t now = 0;
    auto fold = [&](Event event) { ledger.fold(Record{ClusterTime{++now}, std::move(event)}); };
    auto setup = Setup::parse(R"({"queues":{"q":{"tries":2}}})");
    setup.value().version = SetupVersion{1};
    fold(SetupTaken{setup.value()});
    fold(MinionSeen{MinionId{"v"}, Incarnation{1}, account("v", 0).capacity});
    JobSubmission job;
    job.id = JobId{"a"};
    job.queue = QueueName{"q"};
    job.steps = {{"only", {}, true, {TaskRequest{}, TaskRequest{}}}};
    job.steps[0].needs.apart = 1;
    fold(JobAllowed{job});
    Planner planner;
    CHECK(!planner.make(ledger, ClusterTime{now}, {{MinionId{"v"}, Span{0}}}).made.reservation.held());
    fold(MinionSeen{MinionId{"w"}, Incarnation{1}, account("w", 0).capacity});
    LONGS_EQUAL(2, planner.make(ledger, ClusterTime{now}, {{MinionId{"v"}, Span{0}}, {MinionId{"w"}, Span{0}}}).made.actions.size());
}

namespace {

using K = Witness::Kind;
Witness line(Witness::Kind kind, std::int64_t at, const std::string& job = "", std::uint32_t task = 0, const std::string& minion = "", const std::string& attempt = "1", const std::string& detail = "") {
    Witness witness;
    witness.kind = kind;
    witness.at = at;
    witness.job = job;
    witness.task = task;
    witness.minion = minion;
    witness.attempt = attempt;
    witness.detail = detail;
    if (kind == K::started) witness.payload = "p";
    witness.cores = witness.memory = kind == K::started ? 1 : 0;
    return witness;
}
Witness minion(const std::string& life) {
    auto witness = line(K::capacity, 1, "", 0, life, "", "called");
    witness.cores = witness.memory = 2;
    witness.pool = "pool";
    witness.labels = {"fine", "shelf1"};
    return witness;
}
// One task in a queue of two tries; `change` says what is special.
JobSubmission oneTask(std::function<void(JobSubmission&)> change = {}) {
    JobSubmission job;
    job.id = JobId{"a"};
    job.queue = QueueName{"q"};
    job.payload = "p";
    job.steps = {{"only", {}, false, {TaskRequest{1, 1, Span{100}, ""}}}};
    if (change) change(job);
    return job;
}
std::map<int, std::string> broken(std::vector<Witness> history, const JobSubmission& job = oneTask()) {
    history.insert(history.begin(), {minion("v"), minion("w")});
    PromiseOptions options;
    options.slack = 0;
    options.triesOf["q"] = 2;
    options.poolsOf["q"] = {"pool"};
    std::map<int, std::string> found;
    for (const auto& promise : checkPromises(std::move(history), {{"a", job}}, options).broken) found[promise.rule] += promise.text + "\n";
    return found;
}
std::vector<Witness> runOn(const std::string& life, std::int64_t from, std::int64_t to, const std::string& attempt, const std::string& how, std::int64_t noted = 0, std::uint32_t task = 0) {
    std::vector<Witness> lines{line(K::started, from, "a", task, life, attempt), line(K::ended, to, "a", task, life, attempt, how)};
    if (noted) lines.push_back(line(K::confirmed, noted, "a", task, life, attempt, how));
    return lines;
}
std::vector<Witness> both(std::vector<Witness> first, const std::vector<Witness>& second) {
    first.insert(first.end(), second.begin(), second.end());
    return first;
}

}  // namespace

TEST_GROUP(CalledPromiseTests){};

TEST(CalledPromiseTests, aGoodRunBreaksNothing) {
    auto history = both(runOn("v", 10, 20, "1", "failed", 25), runOn("w", 30, 40, "2", "finished", 45));
    history.push_back(line(K::shown, 50, "a", 0, "", "", "finished"));
    CHECK(broken(history).empty());
}
TEST(CalledPromiseTests, twice) {
    CHECK(broken({line(K::started, 10, "a", 0, "v"), line(K::started, 11, "a", 0, "w", "2")}).count(1));
    // After an ending that was taken note of, be it later; one that was void by a lapse is never taken note of.
    CHECK(broken(both(runOn("v", 10, 20, "1", "finished", 25), runOn("w", 30, 40, "2", "finished"))).count(1));
    CHECK(broken(both(runOn("v", 10, 20, "1", "finished", 35), runOn("w", 30, 40, "2", "finished"))).count(1));
    CHECK(!broken(both(runOn("v", 10, 20, "1", "finished"), runOn("w", 30, 40, "2", "finished", 45))).count(1));
    const auto redundant = oneTask([](auto& job) { job.steps[0].needs.redundant = true; });
    CHECK(broken({line(K::started, 10, "a", 0, "v"), line(K::started, 11, "a", 0, "w", "2")}, redundant).empty());
    CHECK(!broken(both(runOn("v", 10, 20, "1", "finished", 25), runOn("w", 30, 40, "2", "finished")), redundant).count(1));
    CHECK(broken(both(runOn("v", 10, 20, "1", "finished", 25), runOn("w", 1030, 1040, "2", "finished")), redundant).count(1));
    // Of a gang one member's ending is all members'.
    const auto gang = oneTask([](auto& job) {
        job.steps[0].gang = true;
        job.steps[0].tasks.resize(2, job.steps[0].tasks[0]);
    });
    CHECK(broken(both(both(runOn("v", 10, 20, "1", "finished", 25), runOn("w", 10, 20, "1", "finished", 0, 1)), runOn("w", 30, 40, "2", "broken", 0, 1)), gang).count(1));
}
TEST(CalledPromiseTests, place) {
    const auto start = {line(K::started, 10, "a", 0, "v")};
    CHECK(broken(start, oneTask([](auto& job) { job.steps[0].needs.label = "plain"; })).count(13));
    CHECK(broken(start, oneTask([](auto& job) { job.steps[0].needs.label = "fine"; })).empty());
    PromiseOptions elsewhere;
    elsewhere.poolsOf["q"] = {"other"};
    LONGS_EQUAL(13, checkPromises({minion("v"), line(K::started, 10, "a", 0, "v")}, {{"a", oneTask()}}, elsewhere).broken.at(0).rule);
    const auto apart = oneTask([](auto& job) {
        job.steps[0].needs.apart = 1;
        job.steps[0].tasks.resize(2, job.steps[0].tasks[0]);
    });
    CHECK(broken({line(K::started, 10, "a", 0, "v"), line(K::started, 11, "a", 1, "v")}, apart).count(13));
    CHECK(broken({line(K::started, 10, "a", 0, "v"), line(K::started, 11, "a", 1, "w")}, apart).empty());
}
TEST(CalledPromiseTests, tries) {
    const auto twoFailed = both(runOn("v", 10, 20, "1", "failed", 25), runOn("w", 30, 40, "2", "failed", 55));
    CHECK(broken(twoFailed).empty());
    CHECK(broken(both(twoFailed, runOn("v", 50, 60, "3", "finished"))).count(14));
    CHECK(broken(both(both(runOn("v", 10, 20, "1", "stopped", 25), runOn("w", 30, 40, "2", "failed", 45)), runOn("v", 50, 60, "3", "finished"))).empty());
    CHECK(broken(both(twoFailed, runOn("v", 50, 60, "3", "failed")), oneTask([](auto& job) { job.steps[0].needs.lasts = true; })).empty());
}
TEST(CalledPromiseTests, unasked) {
    CHECK(broken({line(K::started, 10, "b", 0, "v")}).count(15));
    CHECK(broken({line(K::started, 10, "a", 7, "v")}).count(15));
    CHECK(broken({line(K::started, 10, "a@1", 0, "v")}).count(15));
    auto other = line(K::started, 10, "a", 0, "v");
    other.payload = "another";
    CHECK(broken({other}).count(15));
    auto made = line(K::saved, 15, "a", 0, "v");
    made.saved = "of task 0";
    auto from = line(K::started, 30, "a", 0, "w", "2");
    from.saved = made.saved;
    const auto first = line(K::started, 10, "a", 0, "v"), end = line(K::ended, 20, "a", 0, "v", "1", "stopped");
    CHECK(broken({first, made, end, from}).empty());
    made.task = 1;
    const auto two = oneTask([](auto& job) { job.steps[0].tasks.resize(2, job.steps[0].tasks[0]); });
    CHECK(broken({first, made, end, from}, two).count(15));
    // A gang may go on from any member's, but all from the same.
    auto gang = two;
    gang.steps[0].gang = true;
    auto beside = line(K::started, 31, "a", 1, "v", "2");
    beside.saved = made.saved;
    CHECK(broken({first, made, end, from, beside}, gang).empty());
    beside.saved.clear();
    CHECK(broken({first, made, end, from, beside}, gang).count(15));
}
TEST(CalledPromiseTests, gangAlone) {
    const auto gang = oneTask([](auto& job) {
        job.steps[0].gang = true;
        job.steps[0].tasks.resize(2, job.steps[0].tasks[0]);
    });
    const auto alone = runOn("v", 10, 3010, "1", "alone");
    CHECK(broken(alone, gang).count(16));
    CHECK(broken(both({line(K::disturbed, 5, "", 0, "", "", "a fault")}, alone), gang).empty());
    CHECK(broken(both({line(K::cancelAcknowledged, 8, "a")}, alone), gang).empty());
}
TEST(CalledPromiseTests, leaving) {
    const auto leaving = line(K::leaving, 5, "", 0, "v");
    auto start = line(K::started, 10, "a", 0, "v");
    CHECK(broken({leaving, start}).count(17));
    start.late = true;  // an order from before, carried out seconds after it was given up
    CHECK(broken({leaving, start}).empty());
}
TEST(CalledPromiseTests, shownFinishedOrFailedTooSoon) {
    const auto shown = line(K::shown, 50, "a", 0, "", "", "finished"), failed = line(K::shown, 50, "a", 0, "", "", "failed");
    CHECK(broken(both(runOn("v", 10, 20, "1", "lapsed", 25), {shown})).count(4));
    const auto timed = oneTask([](auto& job) {
        job.timetable.first = ClusterTime{5};
        job.timetable.every = Span{1};
        job.timetable.count = 2;
    });
    auto first = runOn("v", 10, 20, "1", "finished", 25);
    for (auto& witness : first) witness.job = "a@0";
    CHECK(broken(both(first, {shown}), timed).count(4));
    auto second = runOn("w", 10, 20, "1", "finished", 25);
    for (auto& witness : second) witness.job = "a@1";
    CHECK(broken(both(both(first, second), {shown}), timed).empty());
    CHECK(broken(both(runOn("v", 10, 20, "1", "failed", 25), {failed})).count(18));
    CHECK(broken(both(both(runOn("v", 10, 20, "1", "failed", 25), runOn("v", 30, 40, "2", "failed", 45)), {failed})).empty());
    CHECK(broken({failed}, oneTask([](auto& job) { job.steps[0].tasks[0].cores = 9; })).empty());
}
TEST(CalledPromiseTests, room) {
    const auto three = oneTask([](auto& job) { job.steps[0].tasks.resize(3, job.steps[0].tasks[0]); });
    std::vector<Witness> starts;
    for (std::uint32_t task = 0; task < 3; ++task) starts.push_back(line(K::started, 10, "a", task, "v"));
    CHECK(broken(starts, three).count(10));
    starts.pop_back();
    CHECK(broken(starts, three).empty());
    starts[0].accelerators = 1;
    CHECK(broken(starts, three).count(10));
}
