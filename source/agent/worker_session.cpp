#include "agent/worker_session.hpp"

namespace aniseline {

SyncReport WorkerSession::report(MonotonicTime now) {
    tick(now);
    SyncReport report;
    report.id = options.id;
    report.incarnation = incarnation;
    report.capacity = options.capacity;
    report.lastOrder = applied;
    for (const auto& [attempt, ended] : endings) report.endings.push_back({attempt, ended.kind});
    report.leaving = leaving;
    report.leaveWithin = leaveWithin;
    report.wait = urgent() ? Duration{0} : options.wait;
    // Applied orders are told at once, but such a sync may then wait for new ones.
    if (endings.empty() && leaving == toldLeaving) report.wait = options.wait;
    toldApplied = applied;
    toldLeaving = leaving;
    return report;
}

bool WorkerSession::answered(const SyncResponse& answer, MonotonicTime sentAt, MonotonicTime now) {
    tick(now);
    // docs/design.md 5.3: an order from a superseded leader, or under a lease that is over, is not followed.
    if (answer.term < seenTerm || now >= sentAt + answer.lease) return false;
    seenTerm = answer.term;
    for (const auto& attempt : answer.confirmed)
        if (auto found = endings.find(attempt); found != endings.end()) {
            if (found->second.order.attempt.value) confirmed.emplace_back(found->second.order, found->second.kind);
            endings.erase(found);
        }
    if (!answer.gateways.empty()) knownGateways = answer.gateways;
    leaseEnds = std::max(leaseEnds, sentAt + answer.lease);
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

void WorkerSession::replaced(Incarnation next) {
    for (auto& [attempt, task] : tasks)
        if (task.started) effects.push_back({HandEffect::Kind::stop, attempt, {}});
    tasks.clear();
    endings.clear();
    incarnation = next;
    applied = toldApplied = OrderNumber{};
    holding = true;
}

void WorkerSession::setPaused(Running& task, bool pause, MonotonicTime now) {
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

void WorkerSession::tick(MonotonicTime now) {
    if (!holding && now >= leaseEnds && options.capacity.honoursLeases) {
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

MonotonicTime WorkerSession::nextDue() const {
    MonotonicTime due{std::numeric_limits<std::int64_t>::max()};
    if (!holding && options.capacity.honoursLeases) due = leaseEnds;
    for (const auto& [attempt, task] : tasks)
        if (task.order.quantum.milliseconds > 0 && active(task)) due = std::min(due, task.since + (task.order.quantum - task.ran));
    return due;
}

void WorkerSession::end(AttemptNumber attempt, EndingKind kind) {
    endings[attempt] = Ended{tasks[attempt].order, kind};
    tasks.erase(attempt);
}

void WorkerSession::ended(AttemptNumber attempt, bool well, MonotonicTime) {
    if (tasks.count(attempt)) end(attempt, well ? EndingKind::finished : EndingKind::failed);
}

void WorkerSession::leave(Duration within) {
    leaving = true;
    leaveWithin = within;
}

void WorkerSession::apply(const Order& order, MonotonicTime now) {
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
    order.quantum = Duration{quantum};
    return order;
}
SyncResponse answerOf(std::uint64_t term, std::vector<Order> orders, std::vector<AttemptNumber> confirmed = {}) {
    SyncResponse answer;
    answer.term = Term{term};
    answer.orders = std::move(orders);
    answer.confirmed = std::move(confirmed);
    return answer;
}
std::string effectsOf(WorkerSession& hand) {
    static const char* const names[] = {"start", "hold", "resume", "stop"};
    std::string text;
    for (const auto& effect : hand.takeEffects()) text += std::string(text.empty() ? "" : ", ") + names[int(effect.kind)] + " " + std::to_string(effect.attempt.value);
    return text;
}
std::string endingsOf(WorkerSession& hand, std::int64_t now) {
    std::string text;
    for (const auto& ending : hand.report(MonotonicTime{now}).endings) text += std::string(text.empty() ? "" : ", ") + name(ending.kind) + " " + std::to_string(ending.attempt.value);
    return text;
}
}  // namespace

TEST_GROUP(WorkerHandTests) {
    WorkerSession hand{[] {
        WorkerSession::Options options;
        options.id = WorkerId{"m"};
        options.capacity.honoursLeases = true;
        return options;
    }(), Incarnation{1}};
};

// docs/design.md 5.3: neither a superseded leader nor an answer past its lease moves a worker.
TEST(WorkerHandTests, staleAnswersAreNotFollowed) {
    CHECK(hand.answered(answerOf(5, {orderOf(1, OrderKind::start, 1)}), MonotonicTime{0}, MonotonicTime{10}));
    STRCMP_EQUAL("start 1", effectsOf(hand).c_str());
    CHECK(!hand.answered(answerOf(4, {orderOf(2, OrderKind::start, 2)}), MonotonicTime{20}, MonotonicTime{30}));
    CHECK(!hand.answered(answerOf(6, {orderOf(2, OrderKind::start, 3)}), MonotonicTime{40}, MonotonicTime{3040}));
    CHECK(hand.takeEffects().empty() || effectsOf(hand).find("start") == std::string::npos);
    LONGS_EQUAL(1, hand.report(MonotonicTime{3050}).lastOrder.value);
}

// docs/design.md 5.4: the lease counts from the send; when it lapses all holds in place, and goes on only when told nothing else.
TEST(WorkerHandTests, aLapsedLeaseHoldsAndATermAnewResumesOrStops) {
    hand.answered(answerOf(1, {orderOf(1, OrderKind::start, 1), orderOf(2, OrderKind::start, 2)}), MonotonicTime{0}, MonotonicTime{500});
    effectsOf(hand);
    hand.tick(MonotonicTime{2999});
    STRCMP_EQUAL("", effectsOf(hand).c_str());
    hand.tick(MonotonicTime{3000});
    STRCMP_EQUAL("hold 1, hold 2", effectsOf(hand).c_str());
    hand.answered(answerOf(1, {orderOf(3, OrderKind::stop, 1)}), MonotonicTime{9000}, MonotonicTime{9010});
    STRCMP_EQUAL("stop 1, resume 2", effectsOf(hand).c_str());
}

// Orders apply once each and in order, however often they come; endings are told until confirmed.
TEST(WorkerHandTests, ordersApplyOnceAndEndingsAreToldUntilConfirmed) {
    for (int again = 0; again < 2; ++again) hand.answered(answerOf(1, {orderOf(1, OrderKind::start, 1)}), MonotonicTime{0}, MonotonicTime{1});
    STRCMP_EQUAL("start 1", effectsOf(hand).c_str());
    hand.answered(answerOf(1, {orderOf(3, OrderKind::start, 3)}), MonotonicTime{0}, MonotonicTime{2});  // 2 is missing
    STRCMP_EQUAL("", effectsOf(hand).c_str());
    hand.ended(AttemptNumber{1}, true, MonotonicTime{5});
    STRCMP_EQUAL("finished 1", endingsOf(hand, 6).c_str());
    STRCMP_EQUAL("finished 1", endingsOf(hand, 7).c_str());
    hand.answered(answerOf(1, {}, {AttemptNumber{1}}), MonotonicTime{7}, MonotonicTime{8});
    STRCMP_EQUAL("", endingsOf(hand, 9).c_str());
    LONGS_EQUAL(1, hand.takeConfirmed().size());
}

// A trial ends itself after its run time, which a hold does not use up; nothing starts once it is leaving.
TEST(WorkerHandTests, trialsEndThemselvesAndLeavingStartsNothing) {
    hand.answered(answerOf(1, {orderOf(1, OrderKind::start, 1, 1000)}), MonotonicTime{0}, MonotonicTime{0});
    hand.answered(answerOf(1, {orderOf(2, OrderKind::hold, 1)}), MonotonicTime{400}, MonotonicTime{400});
    hand.answered(answerOf(1, {orderOf(3, OrderKind::resume, 1)}), MonotonicTime{2000}, MonotonicTime{2000});
    hand.tick(MonotonicTime{2599});
    STRCMP_EQUAL("start 1, hold 1, resume 1", effectsOf(hand).c_str());
    hand.tick(MonotonicTime{2600});
    STRCMP_EQUAL("stop 1", effectsOf(hand).c_str());
    STRCMP_EQUAL("ran_out 1", endingsOf(hand, 2601).c_str());
    hand.leave(Duration{1000});
    hand.answered(answerOf(1, {orderOf(4, OrderKind::start, 4), orderOf(5, OrderKind::stop, 5)}), MonotonicTime{2700}, MonotonicTime{2700});
    STRCMP_EQUAL("", effectsOf(hand).c_str());
    STRCMP_EQUAL("ran_out 1, unstarted 4, unstarted 5", endingsOf(hand, 2701).c_str());
}
#endif
