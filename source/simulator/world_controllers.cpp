#include "simulator/nodes.hpp"

namespace aniseline {

void World::bootController(ControllerNode& node) {
  node.up = true;
  node.frozen = false;
  ++node.generation;
  node.writing.reset();
  if (node.identity.value.empty())
    node.identity = ControllerId{"r" + std::to_string(nextIdentity++)};
  const Member self{node.identity, node.address, ZoneName{"zone" + std::to_string(node.zone + 1)},
                    false};
  node.keeper = SnapshotWriter();
  ControllerOptions settings = options.controller;
  settings.voters = node.voters.value_or(settings.voters);
  node.core = std::make_unique<Controller>(self, settings, random.next(), node.disk,
                                           MonotonicTime{now + node.monotonicBase});
  node.core->logEvent.connect([this, &node](const LogEvent& note) {
    if (onLogEvent)
      schedule(now, [this, place = node.place, note] { onLogEvent(place, note); });
    if (say)
      say(node.identity.value + " " + note.what +
          (note.fields.empty() ? "" : " " + picojson::value(note.fields).serialize()));
  });
  schedule(now, [this, &node, generation = node.generation] { tickController(node, generation); });
}

void World::tickController(ControllerNode& node, std::uint64_t generation) {
  if (!node.up || node.generation != generation)
    return;
  if (!node.frozen) {
    stepSoon(node);
    if (node.core->raftNode().blank() && now >= node.seekAt) {
      node.seekAt = now + 200;
      for (auto& other : controllers)
        if (other.get() != &node && other->up && !other->frozen && !cutBetween(node, *other) &&
            !other->core->raftNode().blank()) {
          const auto route = other->core->route(MonotonicTime{now + other->monotonicBase});
          if (!route.leader.value.empty())
            node.core->join(route.leader);
        }
    }
    if (node.core->raftNode().removedFromCluster()) {
      // docs/design.md 3.5: it puts its state aside and begins as a new identity.
      if (say)
        say(node.identity.value + " is retired and begins anew");
      node.identity = ControllerId{};
      node.disk.clear();
      bootController(node);
      return;
    }
  }
  schedule(now + 10, [this, &node, generation] { tickController(node, generation); });
}

void World::stepSoon(ControllerNode& node) {
  if (node.stepping)
    return;
  node.stepping = true;
  const std::uint64_t generation = node.generation;
  schedule(now, [this, &node, generation] {
    node.stepping = false;
    if (!node.up || node.generation != generation || node.frozen)
      return;
    node.core->step(MonotonicTime{now + node.monotonicBase},
                    WallTime{calendar + now + node.wallOffset});
    drive(node);
  });
}

void World::finishWrite(ControllerNode& node, std::uint64_t generation) {
  if (!node.up || node.generation != generation || !node.writing)
    return;
  if (now < node.stalledUntil)
    return schedule(node.stalledUntil + 1,
                    [this, &node, generation] { finishWrite(node, generation); });
  if (node.full)
    return killController(node.place, true);  // a write that failed is not vouched for
  // The operating system's work goes on while the process is frozen; the news of it waits.
  const DiskVersion version = node.writing->version;
  if (node.writing->whole)
    node.disk.clear();
  node.disk.push_back(std::move(*node.writing));
  node.writing.reset();
  auto tell = [this, &node, version] {
    node.core->synced(version, MonotonicTime{now + node.monotonicBase});
    stepSoon(node);
  };
  if (node.frozen)
    node.inbox.push_back(tell);
  else
    tell();
}

void World::drive(ControllerNode& node) {
  if (auto record = node.core->takeWrite()) {
    node.writing = std::move(*record);
    writesDigest = hashBytes(writesDigest, pack(*node.writing));
    const std::int64_t done = std::max(now, node.stalledUntil) + random.between(1, 4) + node.slow;
    const std::uint64_t generation = node.generation;
    schedule(done, [this, &node, generation] { finishWrite(node, generation); });
  }
  if (auto work = node.core->takeSnapshotWork(); !work.empty())
    if (auto view = node.keeper.work(work))
      schedule(now + random.between(1, 60),
               [this, &node, generation = node.generation, view = std::move(*view)] {
                 if (!node.up || node.generation != generation)
                   return;
                 auto tell = [this, &node, view] {
                   node.core->packed(view);
                   stepSoon(node);
                 };
                 if (node.frozen)
                   node.inbox.push_back(tell);
                 else
                   tell();
               });
  for (auto& message : node.core->takeMessages()) {
    auto* to = at(message.toAddress);
    if (!to || !to->up)
      continue;
    deliver(node, *to, [this, to, message] {
      to->core->receive(message, MonotonicTime{now + to->monotonicBase});
      stepSoon(*to);
    });
  }
  for (auto& [number, answer] : node.core->takeAnswers()) {
    auto found = pending.find(number);
    if (found == pending.end())
      continue;
    auto reply = std::move(found->second);
    pending.erase(found);
    reply(answer);
  }
}

void World::killController(std::size_t place, bool losesUnsynced) {
  auto& node = *controllers[place];
  if (!node.up)
    return;
  // A mere kill leaves what the system was already writing; a loss of power does not.
  if (node.writing && !losesUnsynced && random.chance(0.5)) {
    if (node.writing->whole)
      node.disk.clear();
    node.disk.push_back(*node.writing);
  }
  node.writing.reset();
  node.up = node.frozen = false;
  ++node.generation;
  node.inbox.clear();
  node.stepping = false;
  auto dead = std::exchange(node.onDeath, {});
  for (auto& [key, tell] : dead)
    tell();
}
void World::restartController(std::size_t place) {
  if (!controllers[place]->up)
    bootController(*controllers[place]);
}
void World::setVoters(std::size_t place, std::size_t voters) {
  controllers[place]->voters = voters;
}
void World::loseDisk(std::size_t place) {
  killController(place, true);
  controllers[place]->disk.clear();
  controllers[place]->identity = ControllerId{};
}
void World::moveController(std::size_t place) {
  controllers[place]->address = Address{"10.0.0." + std::to_string(nextAddress++) + ":1"};
}
void World::freezeController(std::size_t place, bool frozen) {
  freeze(*controllers[place], frozen);
  if (!frozen)
    controllers[place]->stepping = false, stepSoon(*controllers[place]);
}
void World::cutController(std::size_t place, bool cut) {
  controllers[place]->cut = cut;
}
void World::stallDisk(std::size_t place, std::int64_t milliseconds) {
  controllers[place]->stalledUntil = now + milliseconds;
}
void World::slowDisk(std::size_t place, std::int64_t extra) {
  controllers[place]->slow = extra;
}
std::uint64_t World::durableDigest() const {
  std::uint64_t digest = writesDigest;
  for (const auto& node : controllers)
    if (node->up)
      digest = hashBytes(digest, pack(node->core->committed()));
  return digest;
}

std::vector<WriteAheadRecord> World::copyDisk(std::size_t place) const {
  return controllers[place]->disk;
}
void World::putDisk(std::size_t place, std::vector<WriteAheadRecord> records) {
  controllers[place]->disk = std::move(records);
}
void World::setClock(std::size_t place, std::int64_t wrongBy) {
  controllers[place]->wallOffset = wrongBy;
}
void World::fillDisk(std::size_t place, bool full) {
  controllers[place]->full = full;
}
void World::sayControllers() const {
  for (const auto& node : controllers) {
    const auto& agreed = node->core->raftNode();
    std::string text =
        node->identity.value + " at " + node->address.value + (node->up ? "" : " down") +
        (node->frozen ? " frozen" : "") + ": " + name(agreed.role()) + " of term " +
        std::to_string(agreed.term().value) + ", leader '" + agreed.leader().value + "', last " +
        std::to_string(agreed.last().value) + ", commit " +
        std::to_string(agreed.commitIndex().value) + ", disk " + std::to_string(node->disk.size()) +
        (node->writing ? " writing" : "") + ", members";
    for (const auto& member : agreed.members())
      text += " " + member.id.value + "@" + member.peer.value + (member.voter ? "*" : "");
    say(text);
  }
}
std::optional<std::size_t> World::copiesLost() const {
  const RaftNode* latest = nullptr;
  for (const auto& node : controllers) {
    const auto& agreed = node->core->raftNode();
    if (!agreed.membersSettled())
      return std::nullopt;
    if (!latest || agreed.commitIndex() > latest->commitIndex())
      latest = &agreed;
  }
  std::size_t voters = 0, lost = 0;
  for (const auto& member : latest->members()) {
    if (!member.voter)
      continue;
    ++voters;
    lost += std::none_of(controllers.begin(), controllers.end(), [&](const auto& node) {
      return node->identity == member.id && !node->disk.empty();
    });
  }
  return voters == votersWanted() ? std::optional(lost) : std::nullopt;
}
void World::transferLeadership(std::size_t place) {
  controllers[place]->core->transferLeadership(
      MonotonicTime{now + controllers[place]->monotonicBase});
}

}  // namespace aniseline
