#include "simulator/nodes.hpp"

namespace aniseline {

void World::bootReservoir(ReservoirNode& node) {
    node.up = true;
    node.frozen = false;
    ++node.generation;
    node.writing.reset();
    if (node.identity.value.empty()) node.identity = ReservoirId{"r" + std::to_string(nextIdentity++)};
    const Member self{node.identity, node.address, AreaName{"area" + std::to_string(node.area + 1)}, false};
    node.keeper = ViewKeeper();
    node.core = std::make_unique<Reservoir>(self, options.reservoir, draw.next(), node.disk, Instant{now + node.monotonicBase});
    node.core->noted.connect([this, &node](const Note& note) {
        if (noting) schedule(now, [this, place = node.place, note] { noting(place, note); });
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
    if (node.full) return killReservoir(node.place, true);  // a write that failed is not vouched for
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
    if (auto work = node.core->takeViewWork(); !work.empty())
        if (auto view = node.keeper.work(work))
            schedule(now + draw.between(1, 60), [this, &node, generation = node.generation, view = std::move(*view)] {
                if (!node.up || node.generation != generation) return;
                auto tell = [this, &node, view] {
                    node.core->packed(view);
                    stepSoon(node);
                };
                if (node.frozen) node.inbox.push_back(tell);
                else tell();
            });
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
void World::cutReservoir(std::size_t place, bool cut) { reservoirs[place]->cut = cut; }
void World::stallDisk(std::size_t place, std::int64_t milliseconds) { reservoirs[place]->stalledUntil = now + milliseconds; }
void World::slowDisk(std::size_t place, std::int64_t extra) { reservoirs[place]->slow = extra; }
std::vector<DiskRecord> World::copyDisk(std::size_t place) const { return reservoirs[place]->disk; }
void World::putDisk(std::size_t place, std::vector<DiskRecord> records) { reservoirs[place]->disk = std::move(records); }
void World::setClock(std::size_t place, std::int64_t wrongBy) { reservoirs[place]->wallOffset = wrongBy; }
void World::fillDisk(std::size_t place, bool full) { reservoirs[place]->full = full; }
void World::sayReservoirs() const {
    for (const auto& node : reservoirs) {
        const auto& agreed = node->core->agreed();
        std::string text = node->identity.value + " at " + node->address.value + (node->up ? "" : " down") + (node->frozen ? " frozen" : "") + ": " + name(agreed.role()) + " of epoch " +
                           std::to_string(agreed.epoch().value) + ", leader '" + agreed.leader().value + "', last " + std::to_string(agreed.last().value) + ", commit " +
                           std::to_string(agreed.commitIndex().value) + ", disk " + std::to_string(node->disk.size()) + (node->writing ? " writing" : "") + ", members";
        for (const auto& member : agreed.members()) text += " " + member.id.value + "@" + member.peer.value + (member.voter ? "*" : "");
        say(text);
    }
}
std::optional<std::size_t> World::copiesLost() const {
    const Agreement* latest = nullptr;
    for (const auto& node : reservoirs) {
        const auto& agreed = node->core->agreed();
        if (!agreed.membersSettled()) return std::nullopt;
        if (!latest || agreed.commitIndex() > latest->commitIndex()) latest = &agreed;
    }
    std::size_t voters = 0, lost = 0;
    for (const auto& member : latest->members()) {
        if (!member.voter) continue;
        ++voters;
        lost += std::none_of(reservoirs.begin(), reservoirs.end(), [&](const auto& node) { return node->identity == member.id && !node->disk.empty(); });
    }
    return voters == votersWanted() ? std::optional(lost) : std::nullopt;
}
void World::handOver(std::size_t place) { reservoirs[place]->core->handOver(Instant{now + reservoirs[place]->monotonicBase}); }

}  // namespace aniseline
