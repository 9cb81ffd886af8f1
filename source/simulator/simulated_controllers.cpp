// Controllers of the simulated cluster: their ticks, disks, messages and faults.
#include "simulator/simulated_nodes.hpp"

namespace aniseline {

namespace {

constexpr std::int64_t diskRetryMs = 500;  // as StateWriters::writeRetryInterval

std::string formatLogEvent(const LogEvent& event) {
  const RenderedLogEvent rendered = render(event);
  if (rendered.fields.empty())
    return rendered.name;
  return rendered.name + " " + picojson::value(rendered.fields).serialize();
}

}  // namespace

void SimulatedCluster::bootController(ControllerNode& node) {
  node.up = true;
  node.frozen = false;
  node.clockJump = 0;
  ++node.generation;
  node.writeInFlight.reset();
  if (node.identity.value.empty())
    node.identity = ControllerId{"r" + std::to_string(nextIdentity++)};
  const Member self{node.identity, node.address, ZoneName{"zone" + std::to_string(node.zone + 1)},
                    false};
  ControllerOptions settings = options.controller;
  settings.voterCount = node.votersOverride.value_or(settings.voterCount);
  node.core = std::make_unique<Controller>(self, settings, random.next(), node.disk,
                                           MonotonicTime{now + node.monotonicBase});
  node.core->bindToCluster(node.knownCluster);
  node.core->logEvent.connect([this, &node](const LogEvent& event) {
    if (onLogEvent)
      schedule(now, [this, index = node.index, event] { onLogEvent(index, event); });
    if (trace)
      trace(node.identity.value + " " + formatLogEvent(event));
  });
  schedule(now, [this, &node, generation = node.generation] { tickController(node, generation); });
}

void SimulatedCluster::tickController(ControllerNode& node, std::uint64_t generation) {
  if (!node.up || node.generation != generation)
    return;
  if (!node.frozen) {
    scheduleStep(node);
    if (node.core->raftNode().isBlank() && now >= node.nextJoinAttemptAt) {
      node.nextJoinAttemptAt = now + 200;
      for (auto& other : controllers)
        if (other.get() != &node && other->up && !other->frozen && !isCutBetween(node, *other) &&
            !other->core->raftNode().isBlank()) {
          const auto route = other->core->route(MonotonicTime{now + other->monotonicBase});
          if (!route.leader.value.empty())
            node.core->join(route.leader);
        }
    }
    if (node.core->raftNode().removedFromCluster()) {
      // The controller discards its state and starts with a new identity. docs/design.md 3.5.
      if (trace)
        trace(node.identity.value + " is retired and begins anew");
      node.identity = ControllerId{};
      node.disk.clear();
      bootController(node);
      // Its settings may still allow a bootstrap, and its seeds may all be blank.
      node.core->bootstrap(MonotonicTime{now + node.monotonicBase});
      return;
    }
  }
  schedule(now + 10, [this, &node, generation] { tickController(node, generation); });
}

void SimulatedCluster::scheduleStep(ControllerNode& node) {
  if (node.stepScheduled)
    return;
  node.stepScheduled = true;
  const std::uint64_t generation = node.generation;
  schedule(now, [this, &node, generation] {
    node.stepScheduled = false;
    if (!node.up || node.generation != generation || node.frozen)
      return;
    node.core->step(MonotonicTime{now + node.monotonicBase},
                    WallTime{epochMs + now + node.clockOffset + node.clockJump});
    processOutputs(node);
  });
}

void SimulatedCluster::finishWrite(ControllerNode& node, std::uint64_t generation) {
  if (!node.up || node.generation != generation || !node.writeInFlight)
    return;
  if (now < node.diskStalledUntil)
    return schedule(node.diskStalledUntil + 1,
                    [this, &node, generation] { finishWrite(node, generation); });
  if (node.diskFull) {
    // The record is written again until the disk takes it, and not acknowledged before.
    node.core->setDiskWritable(false);
    return schedule(now + diskRetryMs,
                    [this, &node, generation] { finishWrite(node, generation); });
  }
  // The operating system completes the write while the process is frozen; the process learns of it
  // when it is thawed.
  const DiskVersion version = node.writeInFlight->version;
  if (node.writeInFlight->holdsSnapshot)
    node.disk.clear();
  node.disk.push_back(std::move(*node.writeInFlight));
  node.writeInFlight.reset();
  auto respond = [this, &node, version] {
    node.core->setDiskWritable(true);
    node.core->onRecordSynced(version, MonotonicTime{now + node.monotonicBase});
    node.knownCluster = node.core->raftNode().cluster();
    storedClusters.insert(node.knownCluster);
    scheduleStep(node);
  };
  if (node.frozen)
    node.deferredWork.push_back(respond);
  else
    respond();
}

void SimulatedCluster::processOutputs(ControllerNode& node) {
  if (auto record = node.core->takeWrite()) {
    node.writeInFlight = std::move(*record);
    writesDigest = hashBytes(writesDigest, pack(*node.writeInFlight));
    const std::int64_t finishedAt =
        std::max(now, node.diskStalledUntil) + random.between(1, 4) + node.diskDelay;
    const std::uint64_t generation = node.generation;
    schedule(finishedAt, [this, &node, generation] { finishWrite(node, generation); });
  }
  if (auto work = node.core->takeSnapshotWork())
    schedule(now + random.between(1, 60),
             [this, &node, generation = node.generation, snapshot = packSnapshot(*work)] {
               if (!node.up || node.generation != generation)
                 return;
               auto respond = [this, &node, snapshot] {
                 node.core->onSnapshotPacked(snapshot);
                 scheduleStep(node);
               };
               if (node.frozen)
                 node.deferredWork.push_back(respond);
               else
                 respond();
             });
  for (auto& message : node.core->takeMessages()) {
    auto* to = controllerAt(message.toAddress);
    if (!to || !to->up)
      continue;
    deliver(node, *to, [this, to, message] {
      to->core->receive(message, MonotonicTime{now + to->monotonicBase});
      scheduleStep(*to);
    });
  }
  for (auto& [number, answer] : node.core->takeResponses()) {
    auto found = pendingRequests.find(number);
    if (found == pendingRequests.end())
      continue;
    auto reply = std::move(found->second);
    pendingRequests.erase(found);
    reply(answer);
  }
}

void SimulatedCluster::killController(std::size_t index, bool losesUnsynced) {
  auto& node = *controllers[index];
  if (!node.up)
    return;
  // After a kill, the operating system may still complete the write in flight; after a power loss
  // it does not.
  if (node.writeInFlight && !losesUnsynced && random.chance(0.5)) {
    if (node.writeInFlight->holdsSnapshot)
      node.disk.clear();
    node.disk.push_back(*node.writeInFlight);
  }
  node.writeInFlight.reset();
  node.up = node.frozen = false;
  ++node.generation;
  node.deferredWork.clear();
  node.stepScheduled = false;
  auto exitCallbacks = std::exchange(node.onExit, {});
  for (auto& [key, respond] : exitCallbacks)
    respond();
}
void SimulatedCluster::restartController(std::size_t index) {
  if (!controllers[index]->up)
    bootController(*controllers[index]);
}
void SimulatedCluster::setVoters(std::size_t index, std::size_t voters) {
  controllers[index]->votersOverride = voters;
}
void SimulatedCluster::loseDisk(std::size_t index) {
  killController(index, true);
  controllers[index]->disk.clear();
  controllers[index]->identity = ControllerId{};
  controllers[index]->knownCluster = ClusterId{};
}
void SimulatedCluster::moveController(std::size_t index) {
  controllers[index]->address = Address{"10.0.0." + std::to_string(nextAddress++) + ":1"};
}
void SimulatedCluster::freezeController(std::size_t index, bool frozen) {
  freeze(*controllers[index], frozen);
  if (!frozen)
    controllers[index]->stepScheduled = false, scheduleStep(*controllers[index]);
}
void SimulatedCluster::isolateController(std::size_t index, bool cut) {
  controllers[index]->isolated = cut;
}
void SimulatedCluster::stallDisk(std::size_t index, std::int64_t milliseconds) {
  controllers[index]->diskStalledUntil = now + milliseconds;
}
void SimulatedCluster::slowDisk(std::size_t index, std::int64_t extra) {
  controllers[index]->diskDelay = extra;
}
std::uint64_t SimulatedCluster::durableDigest() const {
  std::uint64_t digest = writesDigest;
  for (const auto& node : controllers)
    if (node->up)
      digest = hashBytes(digest, pack(node->core->committed()));
  return digest;
}

std::vector<WriteAheadRecord> SimulatedCluster::copyDisk(std::size_t index) const {
  return controllers[index]->disk;
}
void SimulatedCluster::replaceDisk(std::size_t index, std::vector<WriteAheadRecord> records) {
  controllers[index]->disk = std::move(records);
}
void SimulatedCluster::setClockOffset(std::size_t index, std::int64_t offset) {
  controllers[index]->clockOffset = offset;
}
void SimulatedCluster::jumpClock(std::size_t index, std::int64_t by) {
  controllers[index]->clockJump += by;
}
void SimulatedCluster::correctClock(std::size_t index) {
  controllers[index]->clockJump = 0;
}
void SimulatedCluster::setDiskFull(std::size_t index, bool full) {
  controllers[index]->diskFull = full;
}
void SimulatedCluster::traceControllers() const {
  for (const auto& node : controllers) {
    const auto& raft = node->core->raftNode();
    std::string text =
        node->identity.value + " at " + node->address.value + (node->up ? "" : " down") +
        (node->frozen ? " frozen" : "") + ": " + name(raft.role()) + " of term " +
        std::to_string(raft.term().value) + ", leader '" + raft.leaderId().value + "', last " +
        std::to_string(raft.lastIndex().value) + ", commit " +
        std::to_string(raft.commitIndex().value) + ", disk " + std::to_string(node->disk.size()) +
        (node->writeInFlight ? " writing" : "") + ", members";
    for (const auto& member : raft.membership())
      text += " " + member.id.value + "@" + member.address.value + (member.voter ? "*" : "");
    trace(text);
  }
}
std::optional<std::size_t> SimulatedCluster::votersWithoutDisk() const {
  const RaftNode* latest = nullptr;
  for (const auto& node : controllers) {
    const auto& raft = node->core->raftNode();
    if (!raft.membershipCommitted())
      return std::nullopt;
    if (!latest || raft.commitIndex() > latest->commitIndex())
      latest = &raft;
  }
  std::size_t voters = 0, lost = 0;
  for (const auto& member : latest->membership()) {
    if (!member.voter)
      continue;
    ++voters;
    lost += std::none_of(controllers.begin(), controllers.end(), [&](const auto& node) {
      return node->identity == member.id && !node->disk.empty();
    });
  }
  return voters == configuredVoters() ? std::optional(lost) : std::nullopt;
}
void SimulatedCluster::transferLeadership(std::size_t index) {
  controllers[index]->core->transferLeadership(
      MonotonicTime{now + controllers[index]->monotonicBase});
}

}  // namespace aniseline
