#include "simulator/nodes.hpp"

namespace aniseline {

// What passes between two processes of one machine: no cut of the network comes between them.
void World::nextTo(Node& to, std::function<void()> work) {
    Node* target = &to;
    schedule(now + draw.between(0, 1), [target, generation = to.generation, work = std::move(work)] {
        if (!target->up || target->generation != generation) return;
        if (target->frozen) target->inbox.push_back(work);
        else work();
    });
}

// --- penstocks ---------------------------------------------------------------------------------------------------

void World::bootPenstock(PenstockNode& node) {
    node.up = true;
    node.frozen = node.patientBusy = node.urgentBusy = false;
    node.beatWaitsUntil = 0;
    node.route = RouteView{};
    ++node.generation;
    node.core = std::make_unique<Penstock>(PenstockOptions{});
    learnRoute(node, node.generation);
    tickPenstock(node, node.generation);
}

// One reservoir after the other is asked: any of them may be frozen. docs/design.md 9.2.
void World::learnRoute(PenstockNode& node, std::uint64_t generation) {
    if (!node.up || node.generation != generation) return;
    if (!node.frozen) {
        const auto& known = node.route.reservoirs.empty() ? seeds : node.route.reservoirs;
        if (auto* to = at(known[node.turn++ % known.size()]); to && to->up)
            deliver(node, *to, [this, to, &node] {
                if (to->core->agreed().blank()) return;
                auto view = to->core->route(Instant{now + to->monotonicBase});
                deliver(*to, node, [&node, view] { node.route.takeNewer(view); });
            });
    }
    const bool learned = !node.route.leader.value.empty();
    schedule(now + (learned ? 1000 : 200), [this, &node, generation] { learnRoute(node, generation); });
}

void World::tickPenstock(PenstockNode& node, std::uint64_t generation) {
    if (!node.up || node.generation != generation) return;
    if (!node.frozen) {
        for (const auto& call : node.core->takeCalls(Instant{now})) perform(node, call);
        if (node.core->mayReport() && !node.patientBusy) syncPenstock(node, true);
        if (!node.urgentBusy && node.core->urgent(Instant{now})) syncPenstock(node, false);
        auto& minion = *called[node.place];
        if (node.beatWaitsUntil && (node.core->leavingTold() || now > node.beatWaitsUntil)) {
            node.beatWaitsUntil = 0;
            if (node.core->leavingTold())
                nextTo(minion, [this, &minion, life = node.core->life()] {
                    if (minion.leavingAcknowledged || minion.minion->life() != life) return;
                    minion.leavingAcknowledged = true;
                    auto leaving = seen(Witness::Kind::leaving, calendar + now);
                    leaving.minion = life.value;
                    witness(leaving);
                });
        }
    }
    schedule(now + 5, [this, &node, generation] { tickPenstock(node, generation); });
}

void World::syncPenstock(PenstockNode& node, bool patient) {
    (patient ? node.patientBusy : node.urgentBusy) = true;
    Exchange exchange;
    exchange.ask = Ask::sync;
    exchange.report = node.core->report(Instant{now});
    exchange.report.wait = patient ? Span{1000} : Span{0};
    exchange.id = exchange.report.id.value;
    const std::int64_t sentAt = now;
    relay(node, exchange, [this, &node, patient, sentAt, report = exchange.report](const Answer& answer) {
        auto& busy = patient ? node.patientBusy : node.urgentBusy;
        if (answer.status == 200) {
            if (auto told = unpack<SyncAnswer>(answer.body)) node.core->answered(report, told.value(), Instant{sentAt}, Instant{now});
            busy = false;
            return;
        }
        if (answer.status == 410 && report.id == node.core->life()) node.core->replaced(Instant{now});
        schedule(now + 100, [&node, patient, generation = node.generation] {
            if (node.generation == generation) (patient ? node.patientBusy : node.urgentBusy) = false;
        });
    });
}

// --- what they ask of their minions --------------------------------------------------------------------------------

void World::perform(PenstockNode& node, const MinionCall& call) {
    auto& to = *called[node.place];
    const std::uint64_t generation = node.generation;
    auto told = std::make_shared<bool>(false);
    auto tell = [this, &node, generation, told, call](MinionReply reply) {
        if (*told || !node.up || node.generation != generation) return;
        *told = true;
        auto hear = [this, &node, call, reply] { node.core->replied(call, reply, Instant{now}); };
        if (node.frozen) node.inbox.push_back(hear);
        else hear();
    };
    if (!to.up) return schedule(now + 1, [tell] { tell({}); });
    schedule(now + call.within.milliseconds, [tell] { tell({}); });
    if (to.ordersLate && draw.chance(0.85)) {
        // No answer: it is carried out now, or seconds later and after newer ones.
        const std::int64_t delay = draw.chance(0.3) ? 0 : draw.between(2000, draw.chance(0.5) ? 3200 : 12'000);  // many within the lease
        return schedule(now + delay, [this, &to, call, delay, life = to.minion->life()] {
            if (to.up && to.minion->life() == life) to.minion->take(call, now, delay > 0);
        });
    }
    nextTo(to, [this, &to, &node, call, tell] {
        MinionReply reply = to.minion->take(call, now, false);
        if (to.minion->sickness == CalledMinion::Sickness::mute) return;
        auto answer = [this, &node, tell](const MinionReply& given) { nextTo(node, [tell, given] { tell(given); }); };
        if (call.kind != MinionCall::Kind::look || reply.kind != MinionReply::Kind::done) return answer(reply);
        if (call.wait.milliseconds > 0 && !to.minion->hasEnding(call.lastSeen)) {
            to.looks.push_back({call, now + call.wait.milliseconds, answer});
            return;
        }
        to.minion->list(reply, now);
        answer(reply);
    });
}

// --- minions that are called ---------------------------------------------------------------------------------------

void World::bootCalled(CalledNode& node) {
    node.up = true;
    node.gone = node.leavingAcknowledged = false;
    ++node.generation;
    node.looks.clear();
    CalledMinionOptions given;
    given.life = MinionId{"w" + std::to_string(node.place + 1) + "." + std::to_string(++node.lives)};
    given.capacity = node.capacity;
    given.clockRate = 0.98 + 0.02 * double(draw.between(0, 1000)) / 1000.0;
    given.clockBase = draw.between(1000, 1'000'000);
    given.gangWait = Span{options.seed % 3 ? 3000 : 1500};
    given.endingsAtOnce = std::size_t(std::array<int, 3>{500, 3, 40}[node.place % 3]);
    node.minion = std::make_unique<CalledMinion>(given, meetings->gangs, draw.next(), [this](const JobId& id) {
        auto found = submissions.find(id.value);
        return found == submissions.end() ? nullptr : &found->second;
    }, [this](Witness told) {
        told.at = calendar + now;
        witness(std::move(told));
    }, now);
    node.minion->sickness = node.sickness;
    auto capacity = seen(Witness::Kind::capacity, calendar + now);
    capacity.minion = given.life.value;
    capacity.cores = node.capacity.cores;
    capacity.memory = node.capacity.memory;
    capacity.accelerators = node.capacity.accelerators;
    capacity.guards = node.capacity.guardsRoom;
    capacity.detail = "called";
    capacity.pool = node.capacity.pool;
    capacity.labels = node.capacity.labels;
    witness(capacity);
    node.beatAt = now + draw.between(0, 300);
    tickCalled(node, node.generation);
}

void World::tickCalled(CalledNode& node, std::uint64_t generation) {
    if (!node.up || node.generation != generation) return;
    node.minion->tick(now);
    std::erase_if(node.looks, [&](const CalledNode::Look& look) {
        if (now < look.until && !node.minion->hasEnding(look.call.lastSeen)) return false;
        MinionReply reply;
        reply.kind = MinionReply::Kind::done;
        node.minion->list(reply, now);
        look.reply(reply);
        return true;
    });
    if (now >= node.beatAt) {
        node.beatAt = now + 500;
        beat(node);
    }
    schedule(now + 5, [this, &node, generation] { tickCalled(node, generation); });
}

void World::beat(CalledNode& node) {
    auto& penstock = *penstocks[node.place];
    if (!penstock.up) return;
    nextTo(penstock, [this, &penstock, account = node.minion->account(now)] {
        if (!penstock.core->known(account, Instant{now})) return;
        if (account.leaving) penstock.beatWaitsUntil = now + 900;
    });
}

void World::endCalled(CalledNode& node) {
    if (!node.up) return;
    node.minion->vanish();
    node.up = false;
    ++node.generation;
    node.looks.clear();
    auto vanished = seen(Witness::Kind::vanished, calendar + now);
    vanished.minion = node.minion->life().value;
    witness(vanished);
}

void World::killPenstock(std::size_t place) {
    auto& node = *penstocks[place];
    if (!node.up) return;
    node.up = node.frozen = false;
    ++node.generation;
    node.inbox.clear();
}
void World::restartPenstock(std::size_t place) {
    if (!penstocks[place]->up) bootPenstock(*penstocks[place]);
}
void World::freezePenstock(std::size_t place, bool frozen) { freeze(*penstocks[place], frozen); }
void World::cutPenstock(std::size_t place, bool cut) { penstocks[place]->cut = cut; }
void World::killCalled(std::size_t place) { endCalled(*called[place]); }
void World::restartCalled(std::size_t place) {
    if (!called[place]->up) bootCalled(*called[place]);
}
void World::sickenCalled(std::size_t place, Sickness sickness) {
    auto& node = *called[place];
    node.sickness = CalledMinion::Sickness(sickness);
    node.minion->sickness = node.sickness;
}
void World::delayOrders(std::size_t place, bool delayed) { called[place]->ordersLate = delayed; }

// It says that it leaves, serves on until then, says that it is gone, and ends; another life begins later.
void World::leaveCalled(std::size_t place, std::int64_t within, std::int64_t awayFor) {
    auto& node = *called[place];
    if (!node.up || node.minion->leaving) return;
    node.minion->leaving = true;
    node.minion->leaveWithin = Span{within};
    node.beatAt = now;
    const std::uint64_t generation = node.generation;
    after(within + 500, [this, &node, generation, awayFor] {
        if (!node.up || node.generation != generation) return;
        auto& penstock = *penstocks[node.place];
        // Nothing runs there any more when it says so.
        endCalled(node);
        after(awayFor, [this, &node] { restartCalled(node.place); });
        if (penstock.up)
            nextTo(penstock, [this, &penstock, life = node.minion->life()] {
                penstock.core->left(life);
                Exchange gone;
                gone.ask = Ask::declareGone;
                gone.id = life.value;
                relay(penstock, gone, [](const Answer&) {});
            });
    });
}

}  // namespace aniseline
