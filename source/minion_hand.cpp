#include "minion_hand.hpp"

namespace aniseline {

SyncReport MinionHand::report(Instant now) {
    tick(now);
    SyncReport report;
    report.id = options.id;
    report.incarnation = incarnation;
    report.capacity = options.capacity;
    report.lastOrder = applied;
    for (const auto& [attempt, ended] : endings) report.endings.push_back({attempt, ended.kind});
    report.leaving = leaving;
    report.leaveWithin = leaveWithin;
    report.wait = urgent() ? Span{0} : options.wait;
    // Applied orders are told at once, but such a sync may then wait for new ones.
    if (endings.empty() && leaving == toldLeaving) report.wait = options.wait;
    toldApplied = applied;
    toldLeaving = leaving;
    return report;
}

bool MinionHand::answered(const SyncAnswer& answer, Instant sentAt, Instant now) {
    tick(now);
    // docs/design.md 5.3: an order from a superseded leader, or under a term that is over, is not followed.
    if (answer.epoch < seenEpoch || now >= sentAt + answer.term) return false;
    seenEpoch = answer.epoch;
    for (const auto& attempt : answer.confirmed)
        if (auto found = endings.find(attempt); found != endings.end()) {
            if (found->second.order.attempt.value) confirmed.emplace_back(found->second.order, found->second.kind);
            endings.erase(found);
        }
    if (!answer.sluices.empty()) knownSluices = answer.sluices;
    termEnds = std::max(termEnds, sentAt + answer.term);
    const bool wasHolding = std::exchange(holding, false);
    for (const auto& order : answer.orders)
        if (order.number == applied.next()) {
            applied = order.number;
            apply(order, now);
        }
    if (wasHolding)
        for (auto& [number, task] : tasks) setPaused(task, false, now);
    return true;
}

void MinionHand::replaced(Incarnation next) {
    for (auto& [attempt, task] : tasks)
        if (task.started) effects.push_back({HandEffect::Kind::stop, attempt, {}});
    tasks.clear();
    endings.clear();
    incarnation = next;
    applied = toldApplied = OrderNumber{};
    holding = true;
}

void MinionHand::setPaused(Running& task, bool pause, Instant now) {
    if (task.paused == pause) return;
    const bool before = active(task);
    task.paused = pause;
    const bool after = active(task);
    if (before && !after) {
        task.ran = task.ran + (now - task.since);
        effects.push_back({HandEffect::Kind::hold, task.order.attempt, {}});
    } else if (!before && after) {
        task.since = now;
        effects.push_back({HandEffect::Kind::resume, task.order.attempt, {}});
    }
}

void MinionHand::tick(Instant now) {
    if (!holding && now >= termEnds && options.capacity.honoursTerms) {
        holding = true;
        for (auto& [attempt, task] : tasks) setPaused(task, true, now);
    }
    std::vector<AttemptNumber> spent;
    for (const auto& [attempt, task] : tasks)
        if (task.order.quantum.milliseconds > 0 && active(task) && task.ran + (now - task.since) >= task.order.quantum) spent.push_back(attempt);
    for (auto attempt : spent) {
        effects.push_back({HandEffect::Kind::stop, attempt, {}});
        end(attempt, EndingKind::ranOut);
    }
}

Instant MinionHand::nextDue() const {
    Instant due{std::numeric_limits<std::int64_t>::max()};
    if (!holding && options.capacity.honoursTerms) due = termEnds;
    for (const auto& [attempt, task] : tasks)
        if (task.order.quantum.milliseconds > 0 && active(task)) due = std::min(due, task.since + (task.order.quantum - task.ran));
    return due;
}

void MinionHand::end(AttemptNumber attempt, EndingKind kind) {
    endings[attempt] = Ended{tasks[attempt].order, kind};
    tasks.erase(attempt);
}

void MinionHand::ended(AttemptNumber attempt, bool well, Instant) {
    if (tasks.count(attempt)) end(attempt, well ? EndingKind::finished : EndingKind::failed);
}

void MinionHand::leave(Span within) {
    leaving = true;
    leaveWithin = within;
}

void MinionHand::apply(const Order& order, Instant now) {
    auto found = tasks.find(order.attempt);
    switch (order.kind) {
        case OrderKind::start:
        case OrderKind::stage: {
            if (found != tasks.end() || endings.count(order.attempt)) return;
            if (leaving) {  // docs/design.md 5.7: nothing starts once the word is given
                endings[order.attempt] = Ended{{}, EndingKind::unstarted};
                return;
            }
            Running task;
            task.order = order;
            task.staged = order.kind == OrderKind::stage;
            task.since = now;
            task.started = !task.staged;
            if (task.started) effects.push_back({HandEffect::Kind::start, order.attempt, order});
            tasks[order.attempt] = std::move(task);
            return;
        }
        case OrderKind::go:
            if (found == tasks.end() || !found->second.staged) return;
            if (leaving) return end(order.attempt, EndingKind::unstarted);
            found->second.staged = false;
            found->second.started = true;
            found->second.paused = false;
            found->second.since = now;
            effects.push_back({HandEffect::Kind::start, order.attempt, found->second.order});
            return;
        case OrderKind::hold:
        case OrderKind::resume: {
            if (found == tasks.end()) return;
            Running& task = found->second;
            const bool before = active(task);
            task.held = order.kind == OrderKind::hold;
            const bool after = active(task);
            if (before && !after) {
                task.ran = task.ran + (now - task.since);
                effects.push_back({HandEffect::Kind::hold, order.attempt, {}});
            } else if (!before && after) {
                task.since = now;
                effects.push_back({HandEffect::Kind::resume, order.attempt, {}});
            }
            return;
        }
        case OrderKind::stop:
            if (found == tasks.end()) {
                if (!endings.count(order.attempt)) endings[order.attempt] = Ended{{}, EndingKind::unstarted};
                return;
            }
            const bool started = found->second.started;
            if (started) effects.push_back({HandEffect::Kind::stop, order.attempt, {}});
            end(order.attempt, started ? EndingKind::stopped : EndingKind::unstarted);
            return;
    }
}

}  // namespace aniseline

#ifdef ANISELINE_TESTS
#include <CppUTest/TestHarness.h>
using namespace aniseline;

namespace {
Order orderOf(std::uint64_t number, OrderKind kind, std::uint64_t attempt, std::int64_t quantum = 0) {
    Order order;
    order.number = OrderNumber{number};
    order.kind = kind;
    order.attempt = AttemptNumber{attempt};
    order.quantum = Span{quantum};
    return order;
}
SyncAnswer answerOf(std::uint64_t epoch, std::vector<Order> orders, std::vector<AttemptNumber> confirmed = {}) {
    SyncAnswer answer;
    answer.epoch = Epoch{epoch};
    answer.orders = std::move(orders);
    answer.confirmed = std::move(confirmed);
    return answer;
}
std::string effectsOf(MinionHand& hand) {
    static const char* const names[] = {"start", "hold", "resume", "stop"};
    std::string text;
    for (const auto& effect : hand.takeEffects()) text += std::string(text.empty() ? "" : ", ") + names[int(effect.kind)] + " " + std::to_string(effect.attempt.value);
    return text;
}
std::string endingsOf(MinionHand& hand, std::int64_t now) {
    std::string text;
    for (const auto& ending : hand.report(Instant{now}).endings) text += std::string(text.empty() ? "" : ", ") + name(ending.kind) + " " + std::to_string(ending.attempt.value);
    return text;
}
}  // namespace

TEST_GROUP(MinionHandTests) {
    MinionHand hand{[] {
        MinionHand::Options options;
        options.id = MinionId{"m"};
        options.capacity.honoursTerms = true;
        return options;
    }(), Incarnation{1}};
};

// docs/design.md 5.3: neither a superseded leader nor an answer past its term moves a minion.
TEST(MinionHandTests, staleAnswersAreNotFollowed) {
    CHECK(hand.answered(answerOf(5, {orderOf(1, OrderKind::start, 1)}), Instant{0}, Instant{10}));
    STRCMP_EQUAL("start 1", effectsOf(hand).c_str());
    CHECK(!hand.answered(answerOf(4, {orderOf(2, OrderKind::start, 2)}), Instant{20}, Instant{30}));
    CHECK(!hand.answered(answerOf(6, {orderOf(2, OrderKind::start, 3)}), Instant{40}, Instant{3040}));
    CHECK(hand.takeEffects().empty() || effectsOf(hand).find("start") == std::string::npos);
    LONGS_EQUAL(1, hand.report(Instant{3050}).lastOrder.value);
}

// docs/design.md 5.4: the term counts from the send; when it lapses all holds in place, and goes on only when told nothing else.
TEST(MinionHandTests, aLapsedTermHoldsAndATermAnewResumesOrStops) {
    hand.answered(answerOf(1, {orderOf(1, OrderKind::start, 1), orderOf(2, OrderKind::start, 2)}), Instant{0}, Instant{500});
    effectsOf(hand);
    hand.tick(Instant{2999});
    STRCMP_EQUAL("", effectsOf(hand).c_str());
    hand.tick(Instant{3000});
    STRCMP_EQUAL("hold 1, hold 2", effectsOf(hand).c_str());
    hand.answered(answerOf(1, {orderOf(3, OrderKind::stop, 1)}), Instant{9000}, Instant{9010});
    STRCMP_EQUAL("stop 1, resume 2", effectsOf(hand).c_str());
}

// Orders apply once each and in order, however often they come; endings are told until confirmed.
TEST(MinionHandTests, ordersApplyOnceAndEndingsAreToldUntilConfirmed) {
    for (int again = 0; again < 2; ++again) hand.answered(answerOf(1, {orderOf(1, OrderKind::start, 1)}), Instant{0}, Instant{1});
    STRCMP_EQUAL("start 1", effectsOf(hand).c_str());
    hand.answered(answerOf(1, {orderOf(3, OrderKind::start, 3)}), Instant{0}, Instant{2});  // 2 is missing
    STRCMP_EQUAL("", effectsOf(hand).c_str());
    hand.ended(AttemptNumber{1}, true, Instant{5});
    STRCMP_EQUAL("finished 1", endingsOf(hand, 6).c_str());
    STRCMP_EQUAL("finished 1", endingsOf(hand, 7).c_str());
    hand.answered(answerOf(1, {}, {AttemptNumber{1}}), Instant{7}, Instant{8});
    STRCMP_EQUAL("", endingsOf(hand, 9).c_str());
    LONGS_EQUAL(1, hand.takeConfirmed().size());
}

// A trial ends itself after its run time, which a hold does not use up; nothing starts once it is leaving.
TEST(MinionHandTests, trialsEndThemselvesAndLeavingStartsNothing) {
    hand.answered(answerOf(1, {orderOf(1, OrderKind::start, 1, 1000)}), Instant{0}, Instant{0});
    hand.answered(answerOf(1, {orderOf(2, OrderKind::hold, 1)}), Instant{400}, Instant{400});
    hand.answered(answerOf(1, {orderOf(3, OrderKind::resume, 1)}), Instant{2000}, Instant{2000});
    hand.tick(Instant{2599});
    STRCMP_EQUAL("start 1, hold 1, resume 1", effectsOf(hand).c_str());
    hand.tick(Instant{2600});
    STRCMP_EQUAL("stop 1", effectsOf(hand).c_str());
    STRCMP_EQUAL("ran_out 1", endingsOf(hand, 2601).c_str());
    hand.leave(Span{1000});
    hand.answered(answerOf(1, {orderOf(4, OrderKind::start, 4), orderOf(5, OrderKind::stop, 5)}), Instant{2700}, Instant{2700});
    STRCMP_EQUAL("", effectsOf(hand).c_str());
    STRCMP_EQUAL("ran_out 1, unstarted 4, unstarted 5", endingsOf(hand, 2701).c_str());
}
#endif
