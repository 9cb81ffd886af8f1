// A flood past all use is turned away at once, with a time to come back; what is of use is taken. docs/design.md 10.
#include "reservoir.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

TEST_GROUP(AdmissionTests) {
    std::int64_t now = 1000;
    std::uint64_t exchanges = 0;
    Reservoir reservoir{Member{ReservoirId{"r"}, Address{"r:1"}, AreaName{"x"}, false}, {}, 1, {}, Instant{now}};
    std::map<ExchangeNumber, Answer> answers;

    void setup() override {
        reservoir.found(Instant{now});
        run(2000);
        Exchange exchange;
        exchange.ask = Ask::applySetup;
        exchange.text = R"({"planner":{"trials":false,"urgency_first":true},"queues":{"proofs":{"urgency":2,"tries":3,"extend":1.5,"target_ms":500},
            "plates":{"urgency":0,"tries":3,"extend":3,"target_ms":3000},"plain":{"tries":3}}})";
        LONGS_EQUAL(200, ask(exchange).status);
        exchange = Exchange{};
        exchange.ask = Ask::sync;
        exchange.id = "m";
        exchange.report.id = MinionId{"m"};
        exchange.report.incarnation = Incarnation{1};
        exchange.report.capacity.cores = 4000;
        exchange.report.capacity.memory = 100'000;
        LONGS_EQUAL(200, ask(exchange).status);
    }
    void run(std::int64_t span) {
        for (const std::int64_t end = now + span; now < end; now += 10) {
            reservoir.step(Instant{now}, WallTime{now});
            while (auto record = reservoir.takeWrite()) reservoir.synced(record->version, Instant{now});
            reservoir.takeMessages();
            for (auto& [number, answer] : reservoir.takeAnswers()) answers[number] = answer;
        }
    }
    Answer ask(const Exchange& exchange) {
        const ExchangeNumber number{++exchanges};
        reservoir.take(number, exchange, Instant{now});
        run(50);
        CHECK(answers.count(number));
        return answers[number];
    }
    Answer submit(const std::string& queue, std::int64_t runtime, std::size_t tasks) {
        Exchange exchange;
        exchange.ask = Ask::submitJob;
        exchange.job.id = JobId{"job" + std::to_string(exchanges)};
        exchange.job.queue = QueueName{queue};
        exchange.job.steps = {{"s", {}, false, std::vector<TaskRequest>(tasks, TaskRequest{2000, 100, Span{runtime}, ""})}};
        return ask(exchange);
    }
};

// Four cores; a job of 40 tasks of 200 ms on two cores is four seconds of their time. Three times its aim is 2.4 s.
TEST(AdmissionTests, whatWouldBeginPastItsUseIsTurnedAwayAtOnce) {
    LONGS_EQUAL(202, submit("proofs", 200, 40).status);
    run(300);
    const Answer refused = submit("proofs", 200, 1);
    LONGS_EQUAL(429, refused.status);
    STRCMP_EQUAL("overloaded", refused.kind.c_str());
    CHECK(refused.retryAfter >= Span{500} && refused.retryAfter <= Span{3000});
    // A queue without an aim is bounded by its limits alone.
    LONGS_EQUAL(202, submit("plain", 200, 1).status);
}

// What comes after it in the order holds nothing up; what has a far aim can wait for what comes before.
TEST(AdmissionTests, lessUrgentWorkTurnsNoUrgentWorkAway) {
    LONGS_EQUAL(202, submit("plates", 60'000, 40).status);
    run(300);
    LONGS_EQUAL(202, submit("proofs", 200, 40).status);
    run(300);
    LONGS_EQUAL(202, submit("plates", 600'000, 1).status);
}

// No minions are known yet, or all are away: nothing is said of how long a wait would be.
TEST(AdmissionTests, withoutMinionsNothingIsTurnedAway) {
    Exchange gone;
    gone.ask = Ask::declareGone;
    gone.id = "m";
    LONGS_EQUAL(200, ask(gone).status);
    run(300);
    LONGS_EQUAL(202, submit("proofs", 200, 40).status);
    run(300);
    LONGS_EQUAL(202, submit("proofs", 200, 40).status);
}

// A report of deafness that a later word has overtaken gives up nothing. docs/design.md 5.8.
TEST(AdmissionTests, anOvertakenWordOfDeafnessIsNotHeeded) {
    Exchange word;
    word.ask = Ask::sync;
    word.id = "p";
    word.report.id = MinionId{"p"};
    word.report.incarnation = Incarnation{1};
    word.report.capacity.cores = 4000;
    word.report.capacity.memory = 100'000;
    word.report.capacity.honoursTerms = word.report.capacity.lapses = true;
    word.report.packed = true;
    word.report.reportedAt = Instant{200};
    LONGS_EQUAL(200, ask(word).status);
    word.report.deaf = true;
    word.report.reportedAt = Instant{100};
    LONGS_EQUAL(200, ask(word).status);
    run(1000);
    CHECK(reservoir.committed().minions.at(MinionId{"p"}).state == MinionState::present);
    word.report.reportedAt = Instant{300};
    LONGS_EQUAL(200, ask(word).status);
    run(1000);
    CHECK(reservoir.committed().minions.at(MinionId{"p"}).state == MinionState::silent);
}
