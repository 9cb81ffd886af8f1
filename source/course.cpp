#include "course.hpp"

namespace aniseline {

namespace {
// A submission, cancel, setup or order about a minion that may have been taken is never sent twice by a sluice.
bool readsOnly(Ask ask) {
    switch (ask) {
        case Ask::sync:
        case Ask::showJob:
        case Ask::listJobs:
        case Ask::showSetup:
        case Ask::listMinions:
        case Ask::showCluster:
        case Ask::showPlan:
        case Ask::showCounters:
        case Ask::showPhase:
        case Ask::countWaiting:
        case Ask::readSetup:
        case Ask::exportState: return true;
        default: return false;
    }
}
}  // namespace

RelayCourse::RelayCourse(const Exchange& exchange, Route route, const std::vector<Address>& seeds, Instant now)
    : route(std::move(route)), seeds(seeds), mayRepeat(readsOnly(exchange.ask)),
      deadline(now + (exchange.ask == Ask::sync ? exchange.report.wait + Span{1500} : std::min(exchange.patience, Span{2500}))), seekUntil(now + std::min(exchange.patience, Span{2000})) {}

RelayCourse::Step RelayCourse::done(Answer answer) { return Step{Step::Kind::answer, {}, {}, std::move(answer)}; }

RelayCourse::Step RelayCourse::ask(Instant now) {
    if (now >= deadline) return done(Answer::notTaken("no leader of the reservoirs is known"));
    Address target = std::exchange(hint, Address{});
    if (target.value.empty()) {
        const RouteView view = route();
        const std::vector<Address>& known = view.reservoirs.empty() ? seeds : view.reservoirs;
        if (!view.leader.value.empty() && view.leader != passedOver) target = view.leader;
        else {
            target = known[turn % known.size()];
            if (target == passedOver) target = known[++turn % known.size()];
        }
    }
    asked = target;
    return Step{Step::Kind::ask, target, deadline - now, {}};
}

RelayCourse::Step RelayCourse::next(Instant now) {
    passedOver = asked;
    if (now >= seekUntil) return done(Answer::notTaken("no leader of the reservoirs is known"));
    if (!hint.value.empty() && hints++ < 3) return ask(now);
    hint = Address{};
    ++turn;
    return Step{Step::Kind::wait, {}, Span{turn < 4 ? 20 : 60}, {}};
}

RelayCourse::Step RelayCourse::answered(const Answer& answer, Instant now) {
    if (!answer.notLeader) return done(answer);
    hint = answer.leader;
    return next(now);
}

RelayCourse::Step RelayCourse::failed(Loss loss, Instant now) {
    if (loss != Loss::unreachable && !mayRepeat) return done(Answer::unknown("the leader was lost while this was under way; ask again"));
    return next(now);
}

}  // namespace aniseline

#ifdef ANISELINE_TESTS
#include <CppUTest/TestHarness.h>
using namespace aniseline;

TEST_GROUP(RelayCourseTests) {
    std::vector<Address> seeds{Address{"s:1"}, Address{"s:2"}};
    RouteView view;
    RelayCourse course(Ask ask) {
        Exchange exchange;
        exchange.ask = ask;
        return RelayCourse(exchange, [this] { return view; }, seeds, Instant{0});
    }
};

// What may have been taken is neither sent again nor called rejected.
TEST(RelayCourseTests, aSubmissionLostOnTheWayIsUnknown) {
    view.leader = Address{"r:1"};
    auto submit = course(Ask::submitJob);
    STRCMP_EQUAL("r:1", submit.begin(Instant{0}).target.value.c_str());
    auto step = submit.failed(RelayCourse::Loss::lost, Instant{5});
    CHECK(step.kind == RelayCourse::Step::Kind::answer);
    LONGS_EQUAL(503, step.answer.status);
    auto read = course(Ask::showJob);
    read.begin(Instant{0});
    CHECK(read.failed(RelayCourse::Loss::lost, Instant{5}).kind == RelayCourse::Step::Kind::wait);
    // One that did not serve is passed over; a leader that the route names meanwhile is asked at once.
    view.reservoirs = {Address{"r:1"}, Address{"r:2"}};
    STRCMP_EQUAL("r:2", read.waited(Instant{30}).target.value.c_str());
    view.leader = Address{"r:3"};
    read.failed(RelayCourse::Loss::late, Instant{40});
    STRCMP_EQUAL("r:3", read.waited(Instant{50}).target.value.c_str());
}

TEST(RelayCourseTests, followsTheHintAndGivesUpInTime) {
    auto submit = course(Ask::submitJob);
    STRCMP_EQUAL("s:1", submit.begin(Instant{0}).target.value.c_str());
    Answer notLeader;
    notLeader.notLeader = true;
    notLeader.leader = Address{"r:2"};
    STRCMP_EQUAL("r:2", submit.answered(notLeader, Instant{1}).target.value.c_str());
    CHECK(submit.failed(RelayCourse::Loss::unreachable, Instant{2}).kind == RelayCourse::Step::Kind::wait);
    CHECK(submit.failed(RelayCourse::Loss::unreachable, Instant{2000}).kind == RelayCourse::Step::Kind::answer);
}
#endif
