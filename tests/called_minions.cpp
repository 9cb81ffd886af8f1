// Minions that are called: what their penstocks and the ledger do with what a campaign found, and the rules that judge their
// histories. docs/design.md 5.8, 11, 12.4.
#include "ledger.hpp"
#include "penstock.hpp"
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
