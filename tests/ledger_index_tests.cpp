// What the ledger finds by its indices is what a walk over all attempts finds, whatever was folded. docs/design.md 4.7, 5.1.
#include "ledger_bench.hpp"

using namespace aniseline;

namespace {

std::vector<AttemptNumber> walk(const Ledger& ledger, const std::function<bool(const Attempt&)>& wanted) {
    std::vector<AttemptNumber> found;
    for (const auto& [number, attempt] : ledger.attempts)
        if (wanted(attempt)) found.push_back(number);
    return found;
}

// The fold's own definition of a name, by a walk.
AttemptNumber walkNamed(const Ledger& ledger, const MinionId& minion, const RunName& name) {
    auto job = ledger.jobs.find(name.job);
    if (job != ledger.jobs.end() && job->second.submission.timed()) job = ledger.jobs.find(JobId{name.job.value + "@" + std::to_string(name.occurrence)});
    if (job == ledger.jobs.end()) return AttemptNumber{};
    const std::size_t place = job->second.place(name.step, name.within);
    if (place >= job->second.tasks.size()) return AttemptNumber{};
    const auto all = walk(ledger, [&](const Attempt& attempt) { return attempt.run == name.run && attempt.minion == minion && attempt.job == job->first && attempt.task == place; });
    const AttemptNumber current = job->second.tasks[place].attempt;
    if (std::count(all.begin(), all.end(), current)) return current;
    return all.empty() ? AttemptNumber{} : all.front();
}

constexpr const char* setupText = R"({"planner":{"trials":true,"urgency_first":true,"known_after_ms":3000},
    "pools":{"press":{}},"queues":{"q":{"pool":"press","tries":2},"plain":{"pool":"press","retries":1}}})";

struct Wanderer {
    LedgerBench bench{setupText};
    Draw draw;
    std::set<JobId> jobs;
    std::set<std::pair<MinionId, RunName>> names;  // also of attempts that are closed by now
    std::uint64_t submitted = 0, incarnation = 1, holds = 0, lost = 0, ended = 0;
    explicit Wanderer(std::uint64_t seed) : draw(seed) {
        for (int place = 0; place < 5; ++place) bench.minion(minion(place));
    }
    static std::string minion(std::int64_t place) { return "minion" + std::to_string(place); }
    MinionId anyMinion() { return MinionId{minion(draw.between(0, 4))}; }
    std::optional<AttemptNumber> anyAttempt() {
        const auto& attempts = bench.ledger.attempts;
        if (attempts.empty()) return std::nullopt;
        return std::next(attempts.begin(), draw.between(0, std::int64_t(attempts.size()) - 1))->first;
    }
    JobId anyJob() { return jobs.empty() ? JobId{} : *std::next(jobs.begin(), draw.between(0, std::int64_t(jobs.size()) - 1)); }

    void submit() {
        const std::string id = "job" + std::to_string(++submitted);
        StepNeeds needs;
        needs.redundant = draw.chance(0.2);
        std::vector<StepRequest> steps{LedgerBench::step(std::size_t(draw.between(1, 4)), 500, needs, draw.chance(0.3))};
        if (draw.chance(0.5)) {
            steps.push_back(LedgerBench::step(2, 500));
            steps.back().after = {"0"};
        }
        const Timetable timetable = draw.chance(0.2) ? Timetable{ClusterTime{5000}, Span{1000}, 3} : Timetable{};
        bench.submit(id, std::move(steps), draw.chance(0.5) ? "q" : "plain", timetable);
        if (timetable.first.milliseconds) bench.fold(OccurrenceFired{JobId{id}});
    }
    // A trial of a waiting task, and what runs there held for it.
    void trial() {
        for (const auto& [id, job] : bench.ledger.jobs)
            for (std::uint32_t task = 0; task < job.tasks.size(); ++task) {
                if (job.over() || job.ending || job.tasks[task].state != TaskState::waiting || job.step(job.tasks[task]).gang) continue;
                Action start;
                start.attempt = bench.ledger.lastAttempt.next();
                start.job = id;
                start.task = task;
                start.minion = anyMinion();
                start.trial = true;
                start.quantum = Span{500};
                std::vector<Action> actions{start};
                for (auto number : bench.ledger.attemptsOn(draw.chance(0.7) ? start.minion : anyMinion())) {
                    if (bench.ledger.attempts.at(number).state != AttemptState::running) continue;
                    Action hold;
                    hold.kind = ActionKind::hold;
                    hold.attempt = number;
                    hold.heldFor = start.attempt;
                    actions.push_back(hold);
                    ++holds;
                }
                return bench.fold(PlanMade{bench.ledger.plan.next(), actions, {}});
            }
    }
    void copy() {
        const auto number = anyAttempt();
        if (!number) return;
        const Attempt attempt = bench.ledger.attempts.at(*number);
        auto job = bench.ledger.jobs.find(attempt.job);
        if (job == bench.ledger.jobs.end() || job->second.tasks.empty() || !job->second.submission.steps[attempt.step].needs.redundant || attempt.gang) return;
        if (job->second.tasks[attempt.task].attempt != *number || job->second.tasks[attempt.task].twin.value || job->second.ending) return;
        Action start;
        start.attempt = bench.ledger.lastAttempt.next();
        start.job = attempt.job;
        start.task = attempt.task;
        start.minion = anyMinion();
        start.twin = true;
        bench.fold(PlanMade{bench.ledger.plan.next(), {start}, {}});
    }
    void end() {
        const auto number = anyAttempt();
        if (!number) return;
        ++ended;
        bench.end(*number, EndingKind(draw.between(0, 5)));
    }
    void silent() {
        const MinionId id = anyMinion();
        MinionSilent silence{id, {}};
        for (auto number : bench.ledger.attemptsOn(id))
            if (draw.chance(0.6)) silence.givenUp.push_back(number);
        lost += silence.givenUp.size();
        bench.fold(silence);
        if (draw.chance(0.5)) bench.fold(MinionAllowed{id});
    }
    void turn() {
        bench.now += draw.between(1, 400);
        const auto kind = draw.between(0, 99);
        if (kind < 20) submit();
        else if (kind < 40) bench.planAndRun();
        else if (kind < 65) end();
        else if (kind < 72) trial();
        else if (kind < 78) copy();
        else if (kind < 83) silent();
        else if (kind < 85) bench.fold(MinionGone{anyMinion(), "declared"});
        else if (kind < 89) {
            LedgerBench::Place place;
            place.incarnation = ++incarnation;
            bench.minion(anyMinion().value, place);
        } else if (kind < 91) bench.fold(MinionLeaves{anyMinion(), Span{500}, false});
        else if (kind < 92) bench.fold(MinionLeaveOver{anyMinion()});
        else if (kind < 94) bench.fold(MinionAllowed{anyMinion()});
        else if (kind < 96) bench.fold(JobCancelled{anyJob()});
        else if (kind < 98) bench.fold(JobFailed{anyJob(), "drawn"});
        else {
            Forgotten forgotten;
            for (const auto& [id, job] : bench.ledger.jobs) (draw.chance(0.5) ? forgotten.jobs : forgotten.shortened).push_back(id);
            bench.fold(forgotten);
        }
        for (const auto& [id, job] : bench.ledger.jobs) jobs.insert(id);
        for (const auto& [number, attempt] : bench.ledger.attempts) {
            Order order;
            order.job = attempt.job;
            order.step = attempt.step;
            order.within = attempt.within;
            order.run = attempt.run;
            names.emplace(attempt.minion, RunName::of(order));
        }
    }
    void check(const Ledger& ledger) const {
        for (const auto& id : jobs)
            for (bool withLost : {false, true})
                CHECK(ledger.attemptsOf(id, withLost) == walk(ledger, [&](const Attempt& attempt) { return attempt.job == id && (withLost || !attempt.lost); }));
        for (int place = 0; place < 5; ++place)
            CHECK(ledger.attemptsOn(MinionId{minion(place)}) == walk(ledger, [&](const Attempt& attempt) { return attempt.minion.value == minion(place); }));
        for (const auto& [minion, name] : names) CHECK(ledger.attemptNamed(minion, name) == walkNamed(ledger, minion, name));
        // Whoever waits for a trial is resumed with its end. docs/design.md 7.5.
        for (const auto& [number, attempt] : ledger.attempts) CHECK(attempt.state != AttemptState::held || ledger.attempts.count(attempt.heldFor));
    }
};

}  // namespace

TEST_GROUP(LedgerIndices){};

TEST(LedgerIndices, findWhatAWalkFinds) {
    std::uint64_t holds = 0, lost = 0, ended = 0;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        Wanderer wanderer(seed);
        for (int turn = 0; turn < 150; ++turn) {
            wanderer.turn();
            wanderer.check(wanderer.bench.ledger);
        }
        holds += wanderer.holds, lost += wanderer.lost, ended += wanderer.ended;
    }
    CHECK(holds > 20 && lost > 20 && ended > 100);
}

// The indices are not in a view: they are made anew when one is read, and what is folded next finds the same.
TEST(LedgerIndices, areMadeAnewFromAView) {
    for (std::uint64_t seed = 20; seed <= 26; ++seed) {
        Wanderer wanderer(seed);
        for (int turn = 0; turn < 120; ++turn) {
            wanderer.turn();
            if (turn % 20 != 19) continue;
            const std::string before = pack(wanderer.bench.ledger);
            wanderer.bench.ledger = unpack<Ledger>(before).value();
            CHECK(pack(wanderer.bench.ledger) == before);
            wanderer.check(wanderer.bench.ledger);
        }
    }
}

// A follower folds what it reads, and begins from a view now and then; it comes to the very state of the leader, who folds what it made.
TEST(LedgerIndices, aFollowerThatReadsAndBeginsFromViewsIsNoOther) {
    for (std::uint64_t seed = 40; seed <= 60; ++seed) {
        Wanderer wanderer(seed);
        Ledger follower = unpack<Ledger>(pack(wanderer.bench.ledger)).value();
        std::uint64_t folds = 0;
        wanderer.bench.folded = [&](const Record& record) {
            follower.fold(unpack<Record>(pack(record)).value());
            if (++folds % 17 == 0) follower = unpack<Ledger>(pack(follower)).value();
        };
        for (int turn = 0; turn < 200; ++turn) {
            wanderer.turn();
            CHECK(pack(follower) == pack(wanderer.bench.ledger));
        }
    }
}
