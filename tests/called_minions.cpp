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
