// Workers that sync with the leader, their faults, and partitions between zones.
#include "simulator/simulated_nodes.hpp"

namespace aniseline {

void SimulatedCluster::bootWorker(WorkerNode& node) {
  node.up = true;
  node.frozen = node.longPollInFlight = node.urgentSyncInFlight = false;
  ++node.generation;
  WorkerSession::Options sessionOptions;
  sessionOptions.id = WorkerId{node.id};
  sessionOptions.capacity = node.capacity;
  node.session = std::make_unique<WorkerSession>(sessionOptions, Incarnation{random.next() | 1});
  std::vector<Address> firstContacts;  // as in the worker's settings at its start
  for (std::size_t index = 0; index < std::min<std::size_t>(3, gateways.size()); ++index)
    firstContacts.push_back(gateways[index]->publicAddress);
  node.gatewayDirectory = std::make_unique<PeerDirectory>(firstContacts, random.next());
  auto capacity = makeEvent(HistoryEvent::Kind::capacityReported, epochMs + now);
  capacity.worker = node.id;
  capacity.cores = node.capacity.cores;
  capacity.memory = node.capacity.memory;
  capacity.enforcesCapacity = node.capacity.enforcesCapacity;
  if (!node.capacity.honoursLeases)
    capacity.detail = "leaseless";
  recordEvent(capacity);
  tickWorker(node, node.generation);
}

void SimulatedCluster::tickWorker(WorkerNode& node, std::uint64_t generation) {
  if (!node.up || node.generation != generation)
    return;
  if (!node.frozen) {
    node.session->tick(MonotonicTime{now});
    applyWorkerEffects(node);
    std::vector<AttemptNumber> due;
    for (auto& [attempt, task] : node.tasks)
      if (task.active && now - task.resumedAt >= task.remaining)
        due.push_back(attempt);
    for (auto attempt : due) {
      auto& task = node.tasks[attempt];
      const bool succeeded = !random.chance(node.failureRate);
      auto ended = makeEvent(HistoryEvent::Kind::ended, epochMs + now);
      ended.worker = node.id;
      ended.job = task.order.job.value;
      ended.task = task.order.taskIndex;
      ended.attempt = std::to_string(attempt.value);
      ended.detail = succeeded ? "finished" : "failed";
      recordEvent(ended);
      node.tasks.erase(attempt);
      node.session->onTaskEnded(attempt, succeeded, MonotonicTime{now});
    }
    if (!node.longPollInFlight)
      syncWorker(node, true);
    if (!node.urgentSyncInFlight && node.session->hasUrgentReport())
      syncWorker(node, false);
  }
  schedule(now + 5, [this, &node, generation] { tickWorker(node, generation); });
}

void SimulatedCluster::syncWorker(WorkerNode& node, bool longPoll) {
  auto report = node.session->makeSyncReport(MonotonicTime{now});
  if (!longPoll)
    report.longPollTimeout = Duration{0};
  const std::int64_t sentAt = now;
  (longPoll ? node.longPollInFlight : node.urgentSyncInFlight) = true;
  const auto incarnation = report.incarnation;
  node.gatewayDirectory->update(node.session->gateways());
  askGateway(node, gatewayAt(node.gatewayDirectory->current(MonotonicTime{now})), "POST",
             "/v1/workers/" + node.id + "/sync", renderSyncReport(report),
             report.longPollTimeout.milliseconds + 300,
             [this, &node, longPoll, sentAt, incarnation](int status, const std::string& body) {
               auto& inFlight = longPoll ? node.longPollInFlight : node.urgentSyncInFlight;
               if (node.session->currentIncarnation() != incarnation) {
                 inFlight = false;
                 return;
               }
               if (status == 200) {
                 if (auto answer = SyncResponse::parse(body))
                   node.session->onSyncResponse(incarnation, answer.value(), MonotonicTime{sentAt},
                                                MonotonicTime{now});
                 applyWorkerEffects(node);
               } else if (status == 410) {
                 node.session->onReplaced(Incarnation{random.next() | 1});
                 applyWorkerEffects(node);
               } else {
                 if (!node.gatewayDirectory->hasDiscoveredPeers())
                   discoverGateways(node,
                                    gatewayAt(node.gatewayDirectory->current(MonotonicTime{now})));
                 node.gatewayDirectory->markFailed(MonotonicTime{now});
               }
               if (status == 200 && longPoll) {
                 inFlight = false;
                 return;
               }
               const std::uint64_t generation = node.generation;
               schedule(now + (status == 200 ? 5 : 50), [&node, longPoll, generation] {
                 if (node.generation == generation)
                   (longPoll ? node.longPollInFlight : node.urgentSyncInFlight) = false;
               });
             });
}

// Any gateway that answers lists the others, even while there is no leader.
void SimulatedCluster::discoverGateways(WorkerNode& node, std::size_t index) {
  if (index == gatewayNotFound || !gateways[index]->up)
    return;
  auto* from = gateways[index].get();
  deliver(node, *from, [this, &node, from] {
    const auto knownGateways =
        orderedByZonePreference(from->route.gateways, node.capacity.zone, node.index);
    deliver(*from, node, [&node, knownGateways] { node.gatewayDirectory->update(knownGateways); });
  });
}

void SimulatedCluster::applyWorkerEffects(WorkerNode& node) {
  for (const auto& [order, kind] : node.session->takeConfirmedResults()) {
    auto event = makeEvent(HistoryEvent::Kind::resultConfirmed, epochMs + now);
    event.worker = node.id;
    event.job = order.job.value;
    event.task = order.taskIndex;
    event.attempt = std::to_string(order.attempt.value);
    event.detail = name(kind);
    recordEvent(event);
  }
  for (const auto& command : node.session->takeCommands()) {
    auto found = node.tasks.find(command.attempt);
    auto makeTaskEvent = [&](HistoryEvent::Kind kind, const Order& order) {
      auto event = makeEvent(kind, epochMs + now);
      event.worker = node.id;
      event.job = order.job.value;
      event.task = order.taskIndex;
      event.attempt = std::to_string(order.attempt.value);
      event.cores = order.cores;
      event.memory = order.memory;
      event.trial = order.quantum.milliseconds > 0;
      return event;
    };
    if (command.kind == TaskCommand::Kind::start) {
      std::int64_t runtime = command.order.runtime.milliseconds;
      if (command.order.payload.starts_with("run="))
        runtime = std::strtoll(command.order.payload.c_str() + 4, nullptr, 10);
      runtime = std::int64_t(double(runtime) * node.slowdown);
      node.tasks[command.attempt] = {command.order, now, runtime, runtime, true};
      recordEvent(makeTaskEvent(HistoryEvent::Kind::started, command.order));
    } else if (found == node.tasks.end())
      continue;
    else if (command.kind == TaskCommand::Kind::suspend) {
      found->second.remaining -= now - found->second.resumedAt;
      found->second.active = false;
      recordEvent(makeTaskEvent(HistoryEvent::Kind::suspended, found->second.order));
    } else if (command.kind == TaskCommand::Kind::resume) {
      found->second.resumedAt = now;
      found->second.active = true;
      recordEvent(makeTaskEvent(HistoryEvent::Kind::resumed, found->second.order));
    } else {
      auto& task = found->second;
      const std::int64_t ran =
          task.total - task.remaining + (task.active ? now - task.resumedAt : 0);
      auto ended = makeTaskEvent(HistoryEvent::Kind::ended, task.order);
      ended.detail = task.order.quantum.milliseconds > 0 && ran >= task.order.quantum.milliseconds
                         ? "ran_out"
                         : "stopped";
      recordEvent(ended);
      node.tasks.erase(found);
    }
  }
}

void SimulatedCluster::killWorker(std::size_t index, bool forGood) {
  auto& node = *workers[index];
  node.removed = node.removed || forGood;
  if (!node.up)
    return;
  node.up = node.frozen = false;
  ++node.generation;
  node.deferredWork.clear();
  node.tasks.clear();
  auto event = makeEvent(HistoryEvent::Kind::workerLost, epochMs + now);
  event.worker = node.id;
  recordEvent(event);
}
void SimulatedCluster::restartWorker(std::size_t index) {
  if (!workers[index]->up && !workers[index]->removed)
    bootWorker(*workers[index]);
}
bool SimulatedCluster::isWorkerUp(const std::string& id) const {
  return std::any_of(workers.begin(), workers.end(),
                     [&](const auto& node) { return node->id == id && node->up; });
}
void SimulatedCluster::reinstateWorker(std::size_t index) {
  workers[index]->removed = false;
  restartWorker(index);
}
void SimulatedCluster::freezeWorker(std::size_t index, bool frozen) {
  auto& node = *workers[index];
  if (!node.up || node.frozen == frozen)
    return;
  // The tasks of a frozen process do not run, which is recorded in the history.
  for (auto& [attempt, task] : node.tasks) {
    if (!task.active)
      continue;
    auto event = makeEvent(frozen ? HistoryEvent::Kind::suspended : HistoryEvent::Kind::resumed,
                           epochMs + now);
    event.worker = node.id;
    event.job = task.order.job.value;
    event.task = task.order.taskIndex;
    event.attempt = std::to_string(attempt.value);
    if (frozen) {
      task.remaining -= now - task.resumedAt;
      recordEvent(event);
    }
  }
  if (!frozen) {
    // A thawed process first checks the time.
    for (auto& [attempt, task] : node.tasks)
      if (task.active)
        task.resumedAt = now;
    auto before = node.tasks;
    node.frozen = false;
    node.session->tick(MonotonicTime{now});
    node.frozen = true;
    for (const auto& command : node.session->takeCommands()) {
      auto found = node.tasks.find(command.attempt);
      if (found == node.tasks.end())
        continue;
      if (command.kind == TaskCommand::Kind::suspend)
        found->second.active = false;
      else if (command.kind == TaskCommand::Kind::stop) {
        auto ended = makeEvent(HistoryEvent::Kind::ended, epochMs + now);
        ended.worker = node.id;
        ended.job = found->second.order.job.value;
        ended.task = found->second.order.taskIndex;
        ended.attempt = std::to_string(command.attempt.value);
        ended.detail = "ran_out";
        recordEvent(ended);
        node.tasks.erase(found);
      }
    }
    for (auto& [attempt, task] : node.tasks) {
      if (!task.active)
        continue;
      auto event = makeEvent(HistoryEvent::Kind::resumed, epochMs + now);
      event.worker = node.id;
      event.job = task.order.job.value;
      event.task = task.order.taskIndex;
      event.attempt = std::to_string(attempt.value);
      recordEvent(event);
    }
  }
  freeze(node, frozen);
}
void SimulatedCluster::isolateWorker(std::size_t index, bool cut) {
  workers[index]->isolated = cut;
}
void SimulatedCluster::drainWorker(std::size_t index, std::int64_t within) {
  auto& node = *workers[index];
  if (node.up && !node.frozen) {
    node.session->startDraining(Duration{within});
    auto event = makeEvent(HistoryEvent::Kind::draining, epochMs + now);
    event.worker = node.id;
    recordEvent(event);
  }
  scheduleAfter(within + 2000, [this, index, generation = node.generation] {
    if (workers[index]->generation == generation)
      killWorker(index, true);  // otherwise the process has been replaced
  });
}
void SimulatedCluster::setWorkerBehaviour(std::size_t index, double slowdown, double failureRate) {
  workers[index]->slowdown = slowdown;
  workers[index]->failureRate = failureRate;
}
void SimulatedCluster::partitionZones(std::size_t from, std::size_t to, bool cut) {
  if (cut)
    partitions.insert({from, to});
  else
    partitions.erase({from, to});
}

}  // namespace aniseline
