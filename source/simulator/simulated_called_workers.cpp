// Agents and called workers in the simulated cluster: heartbeats, calls, drains and their faults.
#include "simulator/simulated_nodes.hpp"

namespace aniseline {

// Delivers a message between two processes of one machine; network partitions do not affect it.
void SimulatedCluster::deliverLocally(Node& to, std::function<void()> work) {
  deliverAt(to, now + random.between(0, 1), std::move(work));
}

// --- agents ---

void SimulatedCluster::bootAgent(AgentNode& node) {
  node.up = true;
  node.frozen = node.longPollInFlight = node.urgentSyncInFlight = false;
  node.drainAcknowledgementDueBy = 0;
  node.route = LeaderRoute{};
  ++node.generation;
  node.core = std::make_unique<NodeAgent>(NodeAgentOptions{});
  learnRoute(node, node.generation);
  tickAgent(node, node.generation);
}

// Asks the controllers in turn, since any of them may be frozen. docs/design.md 9.2.
void SimulatedCluster::learnRoute(AgentNode& node, std::uint64_t generation) {
  if (!node.up || node.generation != generation)
    return;
  if (!node.frozen) {
    const auto& known = node.route.controllers.empty() ? seedAddresses : node.route.controllers;
    if (auto* to = controllerAt(known[node.nextController++ % known.size()]); to && to->up)
      deliver(node, *to, [this, to, &node] {
        if (to->core->raftNode().isBlank())
          return;
        auto view = to->core->route(MonotonicTime{now + to->monotonicBase});
        deliver(*to, node, [&node, view] { node.route.mergeNewer(view); });
      });
  }
  const bool learned = !node.route.leader.value.empty();
  schedule(now + (learned ? 1000 : 200),
           [this, &node, generation] { learnRoute(node, generation); });
}

void SimulatedCluster::tickAgent(AgentNode& node, std::uint64_t generation) {
  if (!node.up || node.generation != generation)
    return;
  if (!node.frozen) {
    for (const auto& call : node.core->takeCalls(MonotonicTime{now}))
      callWorker(node, call);
    if (node.core->mayReport() && !node.longPollInFlight)
      syncAgent(node, true);
    if (!node.urgentSyncInFlight && node.core->hasUrgentReport(MonotonicTime{now}))
      syncAgent(node, false);
    if (node.drainAcknowledgementDueBy && (node.core->drainAcknowledged(node.drainingWorker) ||
                                           now > node.drainAcknowledgementDueBy)) {
      node.drainAcknowledgementDueBy = 0;
      if (node.core->drainAcknowledged(node.drainingWorker))
        acknowledgeDrain(node.index, node.drainingWorker);
    }
  }
  schedule(now + 5, [this, &node, generation] { tickAgent(node, generation); });
}

void SimulatedCluster::syncAgent(AgentNode& node, bool longPoll) {
  (longPoll ? node.longPollInFlight : node.urgentSyncInFlight) = true;
  ApiRequest request;
  request.kind = RequestKind::syncWorker;
  request.report = node.core->makeSyncReport(MonotonicTime{now});
  request.report.longPollTimeout = longPoll ? Duration{1000} : Duration{0};
  request.targetId = request.report.id.value;
  const std::int64_t sentAt = now;
  callLeader(node, request,
             [this, &node, longPoll, sentAt, report = request.report](const ApiResponse& answer) {
               auto& inFlight = longPoll ? node.longPollInFlight : node.urgentSyncInFlight;
               if (answer.status == 200) {
                 if (auto response = unpack<SyncResponse>(answer.body))
                   node.core->onSyncResponse(report, response.value(), MonotonicTime{sentAt},
                                             MonotonicTime{now});
                 inFlight = false;
                 return;
               }
               if (answer.status == 410 && report.id == node.core->workerInstance())
                 node.core->onDeclaredGone(MonotonicTime{now});
               schedule(now + 100, [&node, longPoll, generation = node.generation] {
                 if (node.generation == generation)
                   (longPoll ? node.longPollInFlight : node.urgentSyncInFlight) = false;
               });
             });
}

// --- calls of agents to their workers ---

void SimulatedCluster::callWorker(AgentNode& node, const WorkerCall& call) {
  auto& to = *calledWorkers[node.index];
  const std::uint64_t generation = node.generation;
  auto answered = std::make_shared<bool>(false);
  auto respond = [this, &node, generation, answered, call](WorkerReply reply) {
    if (*answered || !node.up || node.generation != generation)
      return;
    *answered = true;
    auto deliverReply = [this, &node, call, reply] {
      node.core->onWorkerReply(call, reply, MonotonicTime{now});
    };
    if (node.frozen)
      node.deferredWork.push_back(deliverReply);
    else
      deliverReply();
  };
  if (!to.up)
    return schedule(now + 1, [respond] { respond({}); });
  schedule(now + call.timeout.milliseconds, [respond] { respond({}); });
  if (to.ordersDelayed && random.chance(0.85)) {
    // The call gets no answer. It is carried out now, or seconds later and after newer calls; many
    // of the delayed calls still arrive within the lease.
    const std::int64_t delay =
        random.chance(0.3) ? 0 : random.between(2000, random.chance(0.5) ? 3200 : 12'000);
    return schedule(now + delay, [this, &to, call, delay, instance = to.worker->workerInstance()] {
      if (to.up && to.worker->workerInstance() == instance)
        to.worker->handleCall(call, now, delay > 0);
    });
  }
  deliverLocally(to, [this, &to, &node, call, respond] {
    WorkerReply reply = to.worker->handleCall(call, now, false);
    if (to.worker->malfunction == CalledWorker::Malfunction::unresponsive)
      return;
    auto answer = [this, &node, respond](const WorkerReply& workerReply) {
      deliverLocally(node, [respond, workerReply] { respond(workerReply); });
    };
    if (call.kind != WorkerCall::Kind::poll || reply.status != WorkerReply::Status::ok)
      return answer(reply);
    if (call.longPollTimeout.milliseconds > 0 && !to.worker->hasResultAfter(call.confirmedUpTo)) {
      to.pendingPolls.push_back({call, now + call.longPollTimeout.milliseconds, answer});
      return;
    }
    to.worker->listRuns(reply, now);
    answer(reply);
  });
}

// --- called workers ---

void SimulatedCluster::bootCalledWorker(CalledWorkerNode& node) {
  node.up = true;
  node.removed = node.drainAcknowledged = false;
  ++node.generation;
  node.pendingPolls.clear();
  node.drain.reset();
  node.heartbeats = 0;
  CalledWorkerOptions workerOptions;
  workerOptions.workerInstance =
      WorkerId{"w" + std::to_string(node.index + 1) + "." + std::to_string(++node.instanceCount)};
  workerOptions.capacity = node.capacity;
  workerOptions.clockRate = 0.98 + 0.02 * double(random.between(0, 1000)) / 1000.0;
  workerOptions.clockOrigin = random.between(1000, 1'000'000);
  workerOptions.gangTimeout = Duration{options.seed % 3 ? 3000 : 1500};
  workerOptions.maxResultsPerPoll = std::size_t(std::array<int, 3>{500, 3, 40}[node.index % 3]);
  node.worker = std::make_unique<CalledWorker>(
      workerOptions, gangState->rendezvous, random.next(),
      [this](const JobId& id) {
        auto found = submissions.find(id.value);
        return found == submissions.end() ? nullptr : &found->second;
      },
      [this](HistoryEvent event) {
        event.timestamp = epochMs + now;
        recordEvent(std::move(event));
      },
      now);
  node.worker->malfunction = node.malfunction;
  auto capacity = makeEvent(HistoryEvent::Kind::capacityReported, epochMs + now);
  capacity.worker = workerOptions.workerInstance.value;
  capacity.cores = node.capacity.cores;
  capacity.memory = node.capacity.memory;
  capacity.accelerators = node.capacity.accelerators;
  capacity.enforcesCapacity = node.capacity.enforcesCapacity;
  capacity.detail = "called";
  capacity.pool = node.capacity.pool;
  capacity.labels = node.capacity.labels;
  recordEvent(capacity);
  node.nextHeartbeatAt = now + random.between(0, 300);
  tickCalledWorker(node, node.generation);
}

void SimulatedCluster::tickCalledWorker(CalledWorkerNode& node, std::uint64_t generation) {
  if (!node.up || node.generation != generation)
    return;
  node.worker->tick(now);
  std::erase_if(node.pendingPolls, [&](const CalledWorkerNode::PendingPoll& poll) {
    if (now < poll.deadline && !node.worker->hasResultAfter(poll.call.confirmedUpTo))
      return false;
    WorkerReply reply;
    reply.status = WorkerReply::Status::ok;
    node.worker->listRuns(reply, now);
    poll.reply(reply);
    return true;
  });
  if (now >= node.nextHeartbeatAt) {
    node.nextHeartbeatAt = now + 500;
    sendHeartbeat(node);
  }
  if (node.drain)
    advanceDrain(node);
  schedule(now + 5, [this, &node, generation] { tickCalledWorker(node, generation); });
}

// Some heartbeats arrive seconds late, after newer ones and after the instance that sent them has
// ended.
void SimulatedCluster::sendHeartbeat(CalledWorkerNode& node) {
  constexpr double lateShare = 0.06;
  auto registration = node.worker->registrationAt(now);
  registration.sequence = ++node.heartbeats;
  const std::int64_t delay = random.chance(lateShare) ? random.between(500, 6000) : 0;
  schedule(now + delay, [this, &agent = *agents[node.index], registration] {
    if (!agent.up)
      return;
    deliverLocally(agent, [this, &agent, registration] {
      if (!agent.core->onRegistration(registration, MonotonicTime{now}))
        return;
      if (registration.draining)
        awaitDrainAcknowledgement(agent, registration.workerInstance);
    });
  });
}

void SimulatedCluster::endCalledWorker(CalledWorkerNode& node) {
  if (!node.up)
    return;
  node.worker->crash();
  node.up = false;
  ++node.generation;
  node.pendingPolls.clear();
  auto event = makeEvent(HistoryEvent::Kind::workerLost, epochMs + now);
  event.worker = node.worker->workerInstance().value;
  recordEvent(event);
}

void SimulatedCluster::killAgent(std::size_t index) {
  auto& node = *agents[index];
  if (!node.up)
    return;
  node.up = node.frozen = false;
  ++node.generation;
  node.deferredWork.clear();
}
void SimulatedCluster::restartAgent(std::size_t index) {
  if (!agents[index]->up)
    bootAgent(*agents[index]);
}
void SimulatedCluster::freezeAgent(std::size_t index, bool frozen) {
  freeze(*agents[index], frozen);
}
void SimulatedCluster::isolateAgent(std::size_t index, bool cut) {
  agents[index]->isolated = cut;
}
void SimulatedCluster::killCalledWorker(std::size_t index) {
  endCalledWorker(*calledWorkers[index]);
}
void SimulatedCluster::restartCalledWorker(std::size_t index) {
  if (!calledWorkers[index]->up)
    bootCalledWorker(*calledWorkers[index]);
}
void SimulatedCluster::setCalledWorkerMalfunction(std::size_t index, Malfunction malfunction) {
  auto& node = *calledWorkers[index];
  node.malfunction = CalledWorker::Malfunction(malfunction);
  node.worker->malfunction = node.malfunction;
}
void SimulatedCluster::setOrdersDelayed(std::size_t index, bool delayed) {
  calledWorkers[index]->ordersDelayed = delayed;
}

// --- drains ---

// The worker announces the drain, keeps serving for a while after the acknowledgement, and exits.
// Without an acknowledgement it exits 5 s after the announcement. A new instance starts later.
// docs/design.md 12.4.
void SimulatedCluster::drainCalledWorker(std::size_t index, std::int64_t within,
                                         std::int64_t downtime) {
  auto& node = *calledWorkers[index];
  if (!node.up || node.drain)
    return;
  CalledWorkerNode::Drain drain;
  drain.byRequest = random.chance(0.5);
  drain.announcedAt = drain.nextAnnouncementAt = now;
  drain.servesAfterAcknowledgement =
      within + (random.chance(0.3) ? random.between(2000, 9000) : random.between(0, 1500));
  drain.downtime = downtime;
  node.drain = drain;
  if (!drain.byRequest) {
    node.worker->draining = true;
    node.worker->drainTimeout = Duration{within};
    node.nextHeartbeatAt = now;
  }
}

void SimulatedCluster::advanceDrain(CalledWorkerNode& node) {
  constexpr std::int64_t exitWithoutAcknowledgementMs = 5000, announcementRetryMs = 1000;
  auto& drain = *node.drain;
  if (drain.byRequest && !node.drainAcknowledged && now >= drain.nextAnnouncementAt) {
    drain.nextAnnouncementAt = now + announcementRetryMs;
    announceDrain(node);
  }
  if (!drain.endsAt && node.drainAcknowledged)
    drain.endsAt = now + drain.servesAfterAcknowledgement;
  if (!drain.endsAt && now - drain.announcedAt >= exitWithoutAcknowledgementMs)
    drain.endsAt = now;
  if (!drain.endsAt || now < drain.endsAt)
    return;
  if (!drain.byRequest && !drain.finalAnnouncementSent) {
    drain.finalAnnouncementSent = true;
    drain.endsAt = now + random.between(0, 400);
    return announceDrain(node);
  }
  const std::int64_t downtime = drain.downtime;
  const std::string fault = "the end of a called worker that leaves " + std::to_string(now);
  endCalledWorker(node);
  recordFault(fault, false);
  scheduleAfter(downtime, [this, &node, fault] {
    restartCalledWorker(node.index);
    recordFault(fault, true);
  });
}

void SimulatedCluster::announceDrain(CalledWorkerNode& node) {
  auto& agent = *agents[node.index];
  if (agent.up)
    deliverLocally(agent, [this, &agent, instance = node.worker->workerInstance()] {
      receiveDrainAnnouncement(agent, instance);
    });
}

void SimulatedCluster::receiveDrainAnnouncement(AgentNode& agent, const WorkerId& instance) {
  const Duration within{2000};
  if (agent.core->onDrainNotice(instance, within, MonotonicTime{now}))
    return awaitDrainAcknowledgement(agent, instance);
  ApiRequest request;
  request.kind = RequestKind::workerShutdown;
  request.targetId = instance.value;
  request.drainTimeout = within;
  callLeader(agent, request, [this, &agent, instance](const ApiResponse& answer) {
    if (answer.status < 500)
      acknowledgeDrain(agent.index, instance);
  });
}

// A drain announcement is acknowledged once it is in the log, or not at all.
void SimulatedCluster::awaitDrainAcknowledgement(AgentNode& agent, const WorkerId& instance) {
  constexpr std::int64_t acknowledgeWithinMs = 900;
  agent.drainAcknowledgementDueBy = now + acknowledgeWithinMs;
  agent.drainingWorker = instance;
}

void SimulatedCluster::acknowledgeDrain(std::size_t index, const WorkerId& instance) {
  auto& node = *calledWorkers[index];
  deliverLocally(node, [this, &node, instance] {
    if (node.drainAcknowledged || node.worker->workerInstance() != instance)
      return;
    node.drainAcknowledged = true;
    auto event = makeEvent(HistoryEvent::Kind::draining, epochMs + now);
    event.worker = instance.value;
    recordEvent(event);
  });
}

}  // namespace aniseline
