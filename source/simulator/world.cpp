#include "simulator/world.hpp"

namespace aniseline {

struct World::Node {
    std::size_t area = 0;
    bool up = true, frozen = false, cut = false;
    std::uint64_t generation = 1;
    std::vector<std::function<void()>> inbox;  // what arrives while frozen
    virtual ~Node() = default;
};

struct World::ReservoirNode : Node {
    std::size_t place = 0;
    Address address;
    ReservoirId identity;
    std::unique_ptr<Reservoir> core;
    std::vector<DiskRecord> disk;
    std::optional<DiskRecord> writing;
    std::int64_t stalledUntil = 0, slow = 0, wallOffset = 0, monotonicBase = 0;
    bool stepping = false;
    std::int64_t seekAt = 0;
    std::map<std::uint64_t, std::function<void()>> onDeath;  // who is told when the process ends
};

struct World::SluiceNode : Node {
    std::size_t place = 0;
    Address outer;
    RouteView route;
    std::map<std::uint64_t, std::function<void()>> onDeath;
};

struct World::MinionNode : Node {
    std::size_t place = 0;
    std::string id;
    Capacity capacity;
    std::unique_ptr<MinionHand> hand;
    struct Running {
        Order order;
        std::int64_t since = 0, left = 0, total = 0;
        bool active = true;
    };
    std::map<AttemptNumber, Running> tasks;
    double slow = 1, fail = 0;
    std::size_t sluice = 0;
    bool patientBusy = false, urgentBusy = false, gone = false;
};

struct World::CallerState {
    JobSubmission job;
    std::size_t sluice = 0;
    bool accepted = false, over = false, rejected = false, cancelled = false;
    std::int64_t cancelAfter = -1, begunAt = 0, tries = 0;
    bool resend = false;
};

namespace {
Witness seen(Witness::Kind kind, std::int64_t at) {
    Witness witness;
    witness.kind = kind;
    witness.at = at;
    return witness;
}
}  // namespace

World::World(WorldOptions given) : options(given), draw(given.seed * 7919 + 13) {
    outside = std::make_unique<Node>();
    for (std::size_t place = 0; place < 3; ++place) {
        auto node = std::make_unique<ReservoirNode>();
        node->place = place;
        node->area = place % options.areas;
        node->address = Address{"10.0.0." + std::to_string(nextAddress++) + ":1"};
        node->monotonicBase = draw.between(1000, 1'000'000);
        seeds.push_back(node->address);
        reservoirs.push_back(std::move(node));
    }
    for (auto& node : reservoirs) bootReservoir(*node);
    reservoirs[0]->core->found(Instant{now + reservoirs[0]->monotonicBase});
    for (std::size_t place = 0; place < options.sluices; ++place) {
        auto node = std::make_unique<SluiceNode>();
        node->place = place;
        node->area = place % options.areas;
        node->outer = Address{"10.0.1." + std::to_string(place + 1) + ":80"};
        refreshSluice(*node, node->generation);
        sluices.push_back(std::move(node));
    }
    for (std::size_t place = 0; place < options.minions; ++place) {
        auto node = std::make_unique<MinionNode>();
        node->place = place;
        node->area = place % options.areas;
        node->id = "m" + std::to_string(place + 1);
        node->capacity = Capacity{options.cores, options.memory, AreaName{"area" + std::to_string(node->area + 1)}, "rack" + std::to_string(place / 3 + 1),
                                  place + options.termless < options.minions, place >= options.unguarded};
        minions.push_back(std::move(node));
        bootMinion(*minions.back());
    }
}
World::~World() = default;

void World::schedule(std::int64_t time, std::function<void()> work) { events.push(Event{time, nextEvent++, std::move(work)}); }
void World::after(std::int64_t delay, std::function<void()> work) { schedule(now + delay, std::move(work)); }
void World::runUntil(std::int64_t time) {
    while (!events.empty() && events.top().time <= time) {
        auto event = std::move(const_cast<Event&>(events.top()));
        events.pop();
        now = event.time;
        event.work();
    }
    now = time;
}
bool World::runUntilTrue(const std::function<bool()>& condition, std::int64_t within) {
    const std::int64_t until = now + within;
    while (now < until) {
        if (condition()) return true;
        runUntil(std::min(until, now + 20));
    }
    return condition();
}

void World::witness(Witness given) {
    if (!given.at) given.at = calendar + now;
    const std::string line = given.line();
    for (unsigned char letter : line) transcriptHash = (transcriptHash ^ letter) * 1099511628211ull;
    if (say && !given.minion.empty()) say("witness " + line);
    history.push_back(std::move(given));
}

// --- the network -----------------------------------------------------------------------------------------------

bool World::cutBetween(const Node& from, const Node& to) const {
    if (from.cut || to.cut) return true;
    return &from != outside.get() && &to != outside.get() && cuts.count({from.area, to.area}) > 0;
}

void World::deliver(Node& from, Node& to, std::function<void()> work) {
    if (cutBetween(from, to) || (options.loss > 0 && draw.chance(options.loss))) return;
    const std::uint64_t generation = to.generation;
    Node* target = &to;
    schedule(now + (from.area == to.area ? 0 : 1) + draw.between(0, 1), [target, generation, work = std::move(work)] {
        if (!target->up || target->generation != generation) return;
        if (target->frozen) target->inbox.push_back(work);
        else work();
    });
}

void World::freeze(Node& node, bool frozen) {
    if (!node.up || node.frozen == frozen) return;
    node.frozen = frozen;
    if (frozen) return;
    auto inbox = std::exchange(node.inbox, {});
    const std::uint64_t generation = node.generation;
    Node* target = &node;
    schedule(now, [target, generation, inbox = std::move(inbox)] {
        if (target->up && target->generation == generation)
            for (auto& work : inbox) work();
    });
}

World::ReservoirNode* World::at(const Address& address) {
    for (auto& node : reservoirs)
        if (node->address == address) return node.get();
    return nullptr;
}

// --- reservoirs ------------------------------------------------------------------------------------------------

void World::bootReservoir(ReservoirNode& node) {
    node.up = true;
    node.frozen = false;
    ++node.generation;
    node.writing.reset();
    if (node.identity.value.empty()) node.identity = ReservoirId{"r" + std::to_string(nextIdentity++)};
    const Member self{node.identity, node.address, AreaName{"area" + std::to_string(node.area + 1)}, false};
    node.core = std::make_unique<Reservoir>(self, options.reservoir, draw.next(), node.disk, Instant{now + node.monotonicBase});
    node.core->noted.connect([this, &node](const Note& note) {
        if (say) say(node.identity.value + " " + note.what + (note.fields.empty() ? "" : " " + picojson::value(note.fields).serialize()));
    });
    schedule(now, [this, &node, generation = node.generation] { tickReservoir(node, generation); });
}

void World::tickReservoir(ReservoirNode& node, std::uint64_t generation) {
    if (!node.up || node.generation != generation) return;
    if (!node.frozen) {
        stepSoon(node);
        if (node.core->agreed().blank() && now >= node.seekAt) {
            node.seekAt = now + 200;
            for (auto& other : reservoirs)
                if (other.get() != &node && other->up && !other->frozen && !cutBetween(node, *other) && !other->core->agreed().blank()) {
                    const auto route = other->core->route(Instant{now + other->monotonicBase});
                    if (!route.leader.value.empty()) node.core->join(route.leader);
                }
        }
        if (node.core->agreed().retired()) {
            // docs/design.md 3.5: it puts its state aside and begins as a new identity.
            if (say) say(node.identity.value + " is retired and begins anew");
            node.identity = ReservoirId{};
            node.disk.clear();
            bootReservoir(node);
            return;
        }
    }
    schedule(now + 10, [this, &node, generation] { tickReservoir(node, generation); });
}

void World::stepSoon(ReservoirNode& node) {
    if (node.stepping) return;
    node.stepping = true;
    const std::uint64_t generation = node.generation;
    schedule(now, [this, &node, generation] {
        node.stepping = false;
        if (!node.up || node.generation != generation || node.frozen) return;
        node.core->step(Instant{now + node.monotonicBase}, WallTime{calendar + now + node.wallOffset});
        drive(node);
    });
}

void World::finishWrite(ReservoirNode& node, std::uint64_t generation) {
    if (!node.up || node.generation != generation || !node.writing) return;
    if (now < node.stalledUntil) return schedule(node.stalledUntil + 1, [this, &node, generation] { finishWrite(node, generation); });
    // The operating system's work goes on while the process is frozen; the news of it waits.
    const DiskVersion version = node.writing->version;
    if (node.writing->whole) node.disk.clear();
    node.disk.push_back(std::move(*node.writing));
    node.writing.reset();
    auto tell = [this, &node, version] {
        node.core->synced(version, Instant{now + node.monotonicBase});
        stepSoon(node);
    };
    if (node.frozen) node.inbox.push_back(tell);
    else tell();
}

void World::drive(ReservoirNode& node) {
    if (auto record = node.core->takeWrite()) {
        node.writing = std::move(*record);
        const std::int64_t done = std::max(now, node.stalledUntil) + draw.between(1, 4) + node.slow;
        const std::uint64_t generation = node.generation;
        schedule(done, [this, &node, generation] { finishWrite(node, generation); });
    }
    for (auto& message : node.core->takeMessages()) {
        auto* to = at(message.toAddress);
        if (!to || !to->up) continue;
        deliver(node, *to, [this, to, message] {
            to->core->receive(message, Instant{now + to->monotonicBase});
            stepSoon(*to);
        });
    }
    for (auto& [number, answer] : node.core->takeAnswers()) {
        auto found = pending.find(number);
        if (found == pending.end()) continue;
        auto reply = std::move(found->second);
        pending.erase(found);
        reply(answer);
    }
}

void World::killReservoir(std::size_t place, bool losesUnsynced) {
    auto& node = *reservoirs[place];
    if (!node.up) return;
    // A mere kill leaves what the system was already writing; a loss of power does not.
    if (node.writing && !losesUnsynced && draw.chance(0.5)) {
        if (node.writing->whole) node.disk.clear();
        node.disk.push_back(*node.writing);
    }
    node.writing.reset();
    node.up = node.frozen = false;
    ++node.generation;
    node.inbox.clear();
    node.stepping = false;
    auto dead = std::exchange(node.onDeath, {});
    for (auto& [key, tell] : dead) tell();
}
void World::restartReservoir(std::size_t place) {
    if (!reservoirs[place]->up) bootReservoir(*reservoirs[place]);
}
void World::loseDisk(std::size_t place) {
    killReservoir(place, true);
    reservoirs[place]->disk.clear();
    reservoirs[place]->identity = ReservoirId{};
}
void World::moveReservoir(std::size_t place) { reservoirs[place]->address = Address{"10.0.0." + std::to_string(nextAddress++) + ":1"}; }
void World::freezeReservoir(std::size_t place, bool frozen) {
    freeze(*reservoirs[place], frozen);
    if (!frozen) reservoirs[place]->stepping = false, stepSoon(*reservoirs[place]);
}
void World::stallDisk(std::size_t place, std::int64_t milliseconds) { reservoirs[place]->stalledUntil = now + milliseconds; }
void World::slowDisk(std::size_t place, std::int64_t extra) { reservoirs[place]->slow = extra; }
std::vector<DiskRecord> World::copyDisk(std::size_t place) const { return reservoirs[place]->disk; }
void World::putDisk(std::size_t place, std::vector<DiskRecord> records) { reservoirs[place]->disk = std::move(records); }
void World::setClock(std::size_t place, std::int64_t wrongBy) { reservoirs[place]->wallOffset = wrongBy; }
void World::handOver(std::size_t place) { reservoirs[place]->core->handOver(Instant{now + reservoirs[place]->monotonicBase}); }

// --- sluices ---------------------------------------------------------------------------------------------------

void World::refreshSluice(SluiceNode& node, std::uint64_t generation) {
    if (!node.up || node.generation != generation) return;
    if (!node.frozen)
        for (auto& reservoir : reservoirs) {
            if (!reservoir->up) continue;
            auto* to = reservoir.get();
            deliver(node, *to, [this, to, &node] {
                to->core->noteSluice(node.outer, Instant{now + to->monotonicBase});
                if (to->core->agreed().blank()) return;
                auto view = to->core->route(Instant{now + to->monotonicBase});
                deliver(*to, node, [&node, view] {
                    if (view.epoch < node.route.epoch) return;
                    auto next = view;
                    next.setup = std::max(next.setup, node.route.setup);
                    if (next.leader.value.empty() && next.epoch == node.route.epoch) next.leader = node.route.leader;
                    node.route = next;
                });
            });
        }
    schedule(now + 200, [this, &node, generation] { refreshSluice(node, generation); });
}

void World::askReservoir(SluiceNode& from, const Address& target, const Exchange& exchange, std::int64_t within, std::function<void(std::optional<Answer>, RelayCourse::Loss)> reply) {
    const std::uint64_t generation = from.generation;
    auto told = std::make_shared<bool>(false);
    auto tell = [this, &from, generation, told, reply](std::optional<Answer> answer, RelayCourse::Loss loss) {
        if (*told) return;
        *told = true;
        if (!from.up || from.generation != generation) return;
        if (from.frozen) from.inbox.push_back([reply, answer, loss] { reply(answer, loss); });
        else reply(answer, loss);
    };
    auto* to = at(target);
    if (!to || !to->up) return schedule(now + 1, [tell] { tell(std::nullopt, RelayCourse::Loss::unreachable); });
    if (cutBetween(from, *to) || cutBetween(*to, from)) return schedule(now + 1000, [tell] { tell(std::nullopt, RelayCourse::Loss::unreachable); });
    schedule(now + within, [tell] { tell(std::nullopt, RelayCourse::Loss::late); });
    const std::uint64_t key = nextExchange++;
    to->onDeath[key] = [this, tell] { schedule(now + 1, [tell] { tell(std::nullopt, RelayCourse::Loss::lost); }); };
    deliver(from, *to, [this, to, &from, exchange, tell, key] {
        const ExchangeNumber number{key};
        pending[number] = [this, to, &from, tell, key](const Answer& answer) {
            to->onDeath.erase(key);
            deliver(*to, from, [tell, answer] { tell(answer, RelayCourse::Loss::late); });
        };
        to->core->take(number, exchange, Instant{now + to->monotonicBase});
        stepSoon(*to);
        drive(*to);
    });
}

void World::follow(SluiceNode& node, std::shared_ptr<RelayCourse> course, Exchange exchange, RelayCourse::Step step, std::function<void(const Answer&)> reply) {
    if (step.kind == RelayCourse::Step::Kind::answer) return reply(step.answer);
    if (step.kind == RelayCourse::Step::Kind::wait) {
        const std::uint64_t generation = node.generation;
        return schedule(now + step.within.milliseconds, [this, &node, generation, course, exchange, reply] {
            if (!node.up || node.generation != generation) return;
            auto go = [this, &node, course, exchange, reply] { follow(node, course, exchange, course->waited(Instant{now}), reply); };
            if (node.frozen) node.inbox.push_back(go);
            else go();
        });
    }
    askReservoir(node, step.target, exchange, step.within.milliseconds, [this, &node, course, exchange, reply](std::optional<Answer> answer, RelayCourse::Loss loss) {
        follow(node, course, exchange, answer ? course->answered(*answer, Instant{now}) : course->failed(loss, Instant{now}), reply);
    });
}

void World::relay(SluiceNode& node, Exchange exchange, std::function<void(const Answer&)> reply) {
    auto course = std::make_shared<RelayCourse>(exchange, [&node] { return node.route; }, seeds, Instant{now});
    auto step = course->begin(Instant{now});
    follow(node, course, std::move(exchange), step, std::move(reply));
}

void World::askSluice(Node& from, std::size_t place, const std::string& method, const std::string& target, const std::string& body, std::int64_t within, Follower follower) {
    auto& node = *sluices[place % sluices.size()];
    const std::uint64_t generation = from.generation;
    auto told = std::make_shared<bool>(false);
    auto tell = [this, &from, generation, told, follower](int status, const std::string& text) {
        if (*told) return;
        *told = true;
        if (!from.up || from.generation != generation) return;
        if (from.frozen) from.inbox.push_back([follower, status, text] { follower(status, text); });
        else follower(status, text);
    };
    if (!node.up) return schedule(now + 1, [tell] { tell(0, "unreachable"); });
    if (cutBetween(from, node) || cutBetween(node, from)) return schedule(now + std::min<std::int64_t>(within, 1000), [tell] { tell(0, "unreachable"); });
    schedule(now + within, [tell] { tell(0, "late"); });
    const std::uint64_t key = nextExchange++;
    node.onDeath[key] = [this, tell] { schedule(now + 1, [tell] { tell(0, "lost"); }); };
    deliver(from, node, [this, &node, &from, method, target, body, tell, key] {
        auto reply = [this, &node, &from, tell, key](const Answer& answer) {
            node.onDeath.erase(key);
            deliver(node, from, [tell, answer] { tell(answer.status, answer.body); });
        };
        auto parsed = Exchange::parse(method, target, body);
        if (!parsed) return reply(Answer::from(parsed.error()));
        relay(node, std::move(parsed.value()), reply);
    });
}

void World::killSluice(std::size_t place) {
    auto& node = *sluices[place];
    if (!node.up) return;
    node.up = node.frozen = false;
    ++node.generation;
    node.inbox.clear();
    auto dead = std::exchange(node.onDeath, {});
    for (auto& [key, tell] : dead) tell();
}
void World::restartSluice(std::size_t place) {
    auto& node = *sluices[place];
    if (node.up) return;
    node.up = true;
    node.route = RouteView{};
    refreshSluice(node, ++node.generation);
}
void World::freezeSluice(std::size_t place, bool frozen) { freeze(*sluices[place], frozen); }

// --- minions ---------------------------------------------------------------------------------------------------

void World::bootMinion(MinionNode& node) {
    node.up = true;
    node.frozen = node.patientBusy = node.urgentBusy = false;
    ++node.generation;
    MinionHand::Options hand;
    hand.id = MinionId{node.id};
    hand.capacity = node.capacity;
    node.hand = std::make_unique<MinionHand>(hand, Incarnation{draw.next() | 1});
    node.sluice = draw.next() % sluices.size();
    auto capacity = seen(Witness::Kind::capacity, calendar + now);
    capacity.minion = node.id;
    capacity.cores = node.capacity.cores;
    capacity.memory = node.capacity.memory;
    capacity.guards = node.capacity.guardsRoom;
    witness(capacity);
    tickMinion(node, node.generation);
}

void World::tickMinion(MinionNode& node, std::uint64_t generation) {
    if (!node.up || node.generation != generation) return;
    if (!node.frozen) {
        node.hand->tick(Instant{now});
        followEffects(node);
        std::vector<AttemptNumber> due;
        for (auto& [attempt, task] : node.tasks)
            if (task.active && now - task.since >= task.left) due.push_back(attempt);
        for (auto attempt : due) {
            auto& task = node.tasks[attempt];
            const bool well = !draw.chance(node.fail);
            auto ended = seen(Witness::Kind::ended, calendar + now);
            ended.minion = node.id;
            ended.job = task.order.job.value;
            ended.task = task.order.task;
            ended.attempt = std::to_string(attempt.value);
            ended.detail = well ? "finished" : "failed";
            witness(ended);
            node.tasks.erase(attempt);
            node.hand->ended(attempt, well, Instant{now});
        }
        if (!node.patientBusy) syncMinion(node, true);
        if (!node.urgentBusy && node.hand->urgent()) syncMinion(node, false);
    }
    schedule(now + 5, [this, &node, generation] { tickMinion(node, generation); });
}

void World::syncMinion(MinionNode& node, bool patient) {
    auto report = node.hand->report(Instant{now});
    if (!patient) report.wait = Span{0};
    const std::int64_t sentAt = now;
    (patient ? node.patientBusy : node.urgentBusy) = true;
    const auto incarnation = report.incarnation;
    askSluice(node, node.sluice, "POST", "/v1/minions/" + node.id + "/sync", renderReport(report), report.wait.milliseconds + 300,
              [this, &node, patient, sentAt, incarnation](int status, const std::string& body) {
                  auto& busy = patient ? node.patientBusy : node.urgentBusy;
                  if (node.hand->currentIncarnation() != incarnation) {
                      busy = false;
                      return;
                  }
                  if (status == 200) {
                      if (auto answer = SyncAnswer::parse(body)) node.hand->answered(answer.value(), Instant{sentAt}, Instant{now});
                      followEffects(node);
                  } else if (status == 410) {
                      node.hand->replaced(Incarnation{draw.next() | 1});
                      followEffects(node);
                  } else node.sluice = (node.sluice + 1) % sluices.size();
                  if (status == 200 && patient) {
                      busy = false;
                      return;
                  }
                  const std::uint64_t generation = node.generation;
                  schedule(now + (status == 200 ? 5 : 50), [&node, patient, generation] {
                      if (node.generation == generation) (patient ? node.patientBusy : node.urgentBusy) = false;
                  });
              });
}

void World::followEffects(MinionNode& node) {
    for (const auto& [order, kind] : node.hand->takeConfirmed()) {
        auto told = seen(Witness::Kind::confirmed, calendar + now);
        told.minion = node.id;
        told.job = order.job.value;
        told.task = order.task;
        told.attempt = std::to_string(order.attempt.value);
        told.detail = name(kind);
        witness(told);
    }
    for (const auto& effect : node.hand->takeEffects()) {
        auto found = node.tasks.find(effect.attempt);
        auto base = [&](Witness::Kind kind, const Order& order) {
            auto given = seen(kind, calendar + now);
            given.minion = node.id;
            given.job = order.job.value;
            given.task = order.task;
            given.attempt = std::to_string(order.attempt.value);
            given.cores = order.cores;
            given.memory = order.memory;
            given.trial = order.quantum.milliseconds > 0;
            return given;
        };
        if (effect.kind == HandEffect::Kind::start) {
            std::int64_t run = effect.order.runtime.milliseconds;
            if (effect.order.payload.starts_with("run=")) run = std::strtoll(effect.order.payload.c_str() + 4, nullptr, 10);
            run = std::int64_t(double(run) * node.slow);
            node.tasks[effect.attempt] = {effect.order, now, run, run, true};
            witness(base(Witness::Kind::started, effect.order));
        } else if (found == node.tasks.end()) continue;
        else if (effect.kind == HandEffect::Kind::hold) {
            found->second.left -= now - found->second.since;
            found->second.active = false;
            witness(base(Witness::Kind::held, found->second.order));
        } else if (effect.kind == HandEffect::Kind::resume) {
            found->second.since = now;
            found->second.active = true;
            witness(base(Witness::Kind::resumed, found->second.order));
        } else {
            auto& task = found->second;
            const std::int64_t ran = task.total - task.left + (task.active ? now - task.since : 0);
            auto ended = base(Witness::Kind::ended, task.order);
            ended.detail = task.order.quantum.milliseconds > 0 && ran >= task.order.quantum.milliseconds ? "ran_out" : "stopped";
            witness(ended);
            node.tasks.erase(found);
        }
    }
}

void World::killMinion(std::size_t place, bool forGood) {
    auto& node = *minions[place];
    node.gone = node.gone || forGood;
    if (!node.up) return;
    node.up = node.frozen = false;
    ++node.generation;
    node.inbox.clear();
    node.tasks.clear();
    auto vanished = seen(Witness::Kind::vanished, calendar + now);
    vanished.minion = node.id;
    witness(vanished);
}
void World::restartMinion(std::size_t place) {
    if (!minions[place]->up && !minions[place]->gone) bootMinion(*minions[place]);
}
void World::freezeMinion(std::size_t place, bool frozen) {
    auto& node = *minions[place];
    if (!node.up || node.frozen == frozen) return;
    // What runs in a frozen process does not run: the history says so.
    for (auto& [attempt, task] : node.tasks) {
        if (!task.active) continue;
        auto given = seen(frozen ? Witness::Kind::held : Witness::Kind::resumed, calendar + now);
        given.minion = node.id;
        given.job = task.order.job.value;
        given.task = task.order.task;
        given.attempt = std::to_string(attempt.value);
        if (frozen) {
            task.left -= now - task.since;
            witness(given);
        }
    }
    if (!frozen) {
        // Woken, it looks at the time before anything else.
        for (auto& [attempt, task] : node.tasks)
            if (task.active) task.since = now;
        auto before = node.tasks;
        node.frozen = false;
        node.hand->tick(Instant{now});
        node.frozen = true;
        for (const auto& effect : node.hand->takeEffects()) {
            auto found = node.tasks.find(effect.attempt);
            if (found == node.tasks.end()) continue;
            if (effect.kind == HandEffect::Kind::hold) found->second.active = false;
            else if (effect.kind == HandEffect::Kind::stop) {
                auto ended = seen(Witness::Kind::ended, calendar + now);
                ended.minion = node.id;
                ended.job = found->second.order.job.value;
                ended.task = found->second.order.task;
                ended.attempt = std::to_string(effect.attempt.value);
                ended.detail = "ran_out";
                witness(ended);
                node.tasks.erase(found);
            }
        }
        for (auto& [attempt, task] : node.tasks) {
            if (!task.active) continue;
            auto given = seen(Witness::Kind::resumed, calendar + now);
            given.minion = node.id;
            given.job = task.order.job.value;
            given.task = task.order.task;
            given.attempt = std::to_string(attempt.value);
            witness(given);
        }
    }
    freeze(node, frozen);
}
void World::cutMinion(std::size_t place, bool cut) { minions[place]->cut = cut; }
void World::leaveMinion(std::size_t place, std::int64_t within) {
    auto& node = *minions[place];
    if (node.up && !node.frozen) {
        node.hand->leave(Span{within});
        auto leaving = seen(Witness::Kind::leaving, calendar + now);
        leaving.minion = node.id;
        witness(leaving);
    }
    after(within + 2000, [this, place] { killMinion(place, true); });
}
void World::setMinion(std::size_t place, double slow, double fail) {
    minions[place]->slow = slow;
    minions[place]->fail = fail;
}
void World::cutAreas(std::size_t from, std::size_t to, bool cut) {
    if (cut) cuts.insert({from, to});
    else cuts.erase({from, to});
}

void World::healAll() {
    cuts.clear();
    options.loss = 0;
    for (std::size_t place = 0; place < reservoirs.size(); ++place) {
        restartReservoir(place);
        freezeReservoir(place, false);
        reservoirs[place]->stalledUntil = now;
        reservoirs[place]->slow = 0;
        reservoirs[place]->wallOffset = 0;
    }
    for (std::size_t place = 0; place < sluices.size(); ++place) {
        restartSluice(place);
        freezeSluice(place, false);
    }
    for (std::size_t place = 0; place < minions.size(); ++place) {
        minions[place]->cut = false;
        freezeMinion(place, false);
        restartMinion(place);
        setMinion(place, 1, 0);
    }
}

// --- callers ---------------------------------------------------------------------------------------------------

void World::ask(std::size_t sluice, const std::string& method, const std::string& target, const std::string& body, Follower follower, std::int64_t within) {
    askSluice(*outside, sluice, method, target, body, within, std::move(follower));
}

void World::submit(const JobSubmission& job, std::int64_t cancelAfter) {
    submissions[job.id.value] = job;
    auto state = std::make_shared<CallerState>();
    state->job = job;
    state->sluice = draw.next() % sluices.size();
    state->cancelAfter = cancelAfter;
    state->begunAt = now;
    callers.push_back(state);
    trySubmit(state);
}
void World::resubmit(const JobSubmission& job) {
    auto state = std::make_shared<CallerState>();
    state->job = job;
    state->sluice = draw.next() % sluices.size();
    state->begunAt = now;
    state->resend = true;
    callers.push_back(state);
    trySubmit(state);
}

void World::trySubmit(std::shared_ptr<CallerState> state) {
    auto given = seen(Witness::Kind::submitted, calendar + now);
    given.job = state->job.id.value;
    witness(given);
    ++state->tries;
    askSluice(*outside, state->sluice, "POST", "/v1/jobs", renderJob(state->job), 3000, [this, state](int status, const std::string& body) {
        auto answered = seen(status == 202 ? Witness::Kind::accepted : status == 0 || status == 503 ? Witness::Kind::unknown : Witness::Kind::rejected, calendar + now);
        answered.job = state->job.id.value;
        answered.detail = std::to_string(status);
        witness(answered);
        if (say) say("submit " + state->job.id.value + ": " + std::to_string(status) + " " + body);
        if (status == 202) {
            state->accepted = true;
            if (state->tries == 1) acknowledgements.push_back(now - state->begunAt);
            if (state->cancelAfter >= 0) after(state->cancelAfter, [this, state] { tryCancel(state); });
            watch(state);
        } else if (status == 0 || status == 503 || (status == 429 && state->tries < 40)) {
            state->sluice = (state->sluice + 1) % sluices.size();
            after(200 + draw.between(0, 300), [this, state] { trySubmit(state); });
        } else {
            state->rejected = true;
        }
    });
}

void World::tryCancel(std::shared_ptr<CallerState> state) {
    if (state->over) return;
    askSluice(*outside, state->sluice, "DELETE", "/v1/jobs/" + state->job.id.value, "", 3000, [this, state](int status, const std::string& body) {
        if (say) say("cancel " + state->job.id.value + ": " + std::to_string(status) + " " + body);
        if (status == 200) {
            auto given = seen(Witness::Kind::cancelAcknowledged, calendar + now);
            given.job = state->job.id.value;
            witness(given);
            return;
        }
        state->sluice = (state->sluice + 1) % sluices.size();
        after(200, [this, state] { tryCancel(state); });
    });
}

void World::watch(std::shared_ptr<CallerState> state) {
    after(150 + draw.between(0, 200), [this, state] {
        askSluice(*outside, state->sluice, "GET", "/v1/jobs/" + state->job.id.value, "", 3000, [this, state](int status, const std::string& body) {
            std::string shown;
            if (status == 404) shown = "missing";
            else if (status == 200) {
                picojson::value root;
                if (picojson::parse(root, body).empty()) shown = root.get("state").to_str();
            } else state->sluice = (state->sluice + 1) % sluices.size();
            auto& last = lastShown[state->job.id.value];
            if (!shown.empty() && shown != last) {
                auto given = seen(Witness::Kind::shown, calendar + now);
                given.job = state->job.id.value;
                given.detail = shown;
                witness(given);
                last = shown;
                if (say) say("show " + state->job.id.value + ": " + shown);
            }
            state->over = shown == "finished" || shown == "failed" || shown == "cancelled";
            if (!state->over) watch(state);
        });
    });
}

void World::applySetup(const std::string& text, std::uint64_t basedOn, Follower follower, std::size_t sluice) {
    askSluice(*outside, sluice, "PUT", "/v1/setup", "{\"based_on\":" + std::to_string(basedOn) + ",\"setup\":" + text + "}", 3000,
              [this, follower = std::move(follower), text](int status, const std::string& body) {
                  if (status == 200) {
                      picojson::value root;
                      picojson::parse(root, body);
                      auto given = seen(Witness::Kind::setupAcknowledged, calendar + now);
                      given.version = std::uint64_t(root.get("version").get<double>());
                      witness(given);
                      auto parsed = Setup::parse(text);
                      if (parsed)
                          for (const auto& [name, queue] : parsed.value().queues) retries[name.value] = std::max(retries[name.value], queue.retries);
                  }
                  if (follower) follower(status, body);
              });
}

// --- what can be seen ------------------------------------------------------------------------------------------

std::optional<std::size_t> World::leader() const {
    std::optional<std::size_t> found;
    for (const auto& node : reservoirs)
        if (node->up && !node->frozen && node->core->agreed().serves() &&
            (!found || node->core->agreed().epoch() > reservoirs[*found]->core->agreed().epoch()))
            found = node->place;
    return found;
}
const Reservoir* World::reservoir(std::size_t place) const { return reservoirs[place]->up ? reservoirs[place]->core.get() : nullptr; }
std::size_t World::reservoirCount() const { return reservoirs.size(); }
std::uint64_t World::startsOf(const std::string& job) const {
    return std::uint64_t(std::count_if(history.begin(), history.end(), [&](const Witness& given) { return given.kind == Witness::Kind::started && given.job == job; }));
}
bool World::isVoter(std::size_t place) const {
    const auto& node = *reservoirs[place];
    const auto leading = leader();
    if (!node.up || !leading) return false;
    for (const auto& member : reservoirs[*leading]->core->agreed().members())
        if (member.id == node.identity) return member.voter;
    return false;
}
std::size_t World::voterCount() const {
    std::size_t count = 0;
    for (std::size_t place = 0; place < reservoirs.size(); ++place) count += isVoter(place);
    return count;
}
std::vector<std::string> World::unfinished() const {
    std::vector<std::string> left;
    for (const auto& state : callers)
        if (!state->over && !state->rejected) left.push_back(state->job.id.value + (state->accepted ? " accepted, last shown " : " never accepted ") + (lastShown.count(state->job.id.value) ? lastShown.at(state->job.id.value) : ""));
    return left;
}
bool World::allOver() const { return unfinished().empty(); }
std::vector<BrokenPromise> World::broken(bool) const {
    PromiseOptions promises;
    promises.slack = 50;
    promises.retriesOf.clear();
    for (const auto& [queue, allowed] : retries) promises.retriesOf[queue] = allowed;
    return checkPromises(history, submissions, promises);
}

}  // namespace aniseline
