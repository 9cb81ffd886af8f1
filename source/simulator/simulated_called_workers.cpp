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

void SimulatedCluster::syncAgent(AgentNode& node, bool patient) {
  (patient ? node.longPollInFlight : node.urgentSyncInFlight) = true;
  ApiRequest request;
  request.kind = RequestKind::syncWorker;
  request.report = node.core->makeSyncReport(MonotonicTime{now});
  request.report.longPollTimeout = patient ? Duration{1000} : Duration{0};
  request.targetId = request.report.id.value;
  const std::int64_t sentAt = now;
  callLeader(node, request,
             [this, &node, patient, sentAt, report = request.report](const ApiResponse& answer) {
               auto& busy = patient ? node.longPollInFlight : node.urgentSyncInFlight;
               if (answer.status == 200) {
                 if (auto notified = unpack<SyncResponse>(answer.body))
                   node.core->onSyncResponse(report, notified.value(), MonotonicTime{sentAt},
                                             MonotonicTime{now});
                 busy = false;
                 return;
               }
               if (answer.status == 410 && report.id == node.core->workerInstance())
                 node.core->onDeclaredGone(MonotonicTime{now});
               schedule(now + 100, [&node, patient, generation = node.generation] {
                 if (node.generation == generation)
                   (patient ? node.longPollInFlight : node.urgentSyncInFlight) = false;
               });
             });
}

// --- calls of agents to their workers ---

void SimulatedCluster::callWorker(AgentNode& node, const WorkerCall& call) {
  auto& to = *calledWorkers[node.index];
  const std::uint64_t generation = node.generation;
  auto notified = std::make_shared<bool>(false);
  auto respond = [this, &node, generation, notified, call](WorkerReply reply) {
    if (*notified || !node.up || node.generation != generation)
      return;
    *notified = true;
    auto hear = [this, &node, call, reply] {
      node.core->onWorkerReply(call, reply, MonotonicTime{now});
    };
    if (node.frozen)
      node.deferredWork.push_back(hear);
    else
      hear();
  };
  if (!to.up)
    return schedule(now + 1, [respond] { respond({}); });
  schedule(now + call.timeout.milliseconds, [respond] { respond({}); });
  if (to.ordersDelayed && random.chance(0.85)) {
    // The call gets no answer. It is carried out now, or seconds later and after newer calls; many
    // of the delayed calls still arrive within the lease.
    const std::int64_t delay =
        random.chance(0.3) ? 0 : random.between(2000, random.chance(0.5) ? 3200 : 12'000);
    return schedule(now + delay, [this, &to, call, delay, life = to.worker->workerInstance()] {
      if (to.up && to.worker->workerInstance() == life)
        to.worker->handleCall(call, now, delay > 0);
    });
  }
  deliverLocally(to, [this, &to, &node, call, respond] {
    WorkerReply reply = to.worker->handleCall(call, now, false);
    if (to.worker->malfunction == CalledWorker::Malfunction::unresponsive)
      return;
    auto answer = [this, &node, respond](const WorkerReply& event) {
      deliverLocally(node, [respond, event] { respond(event); });
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
  CalledWorkerOptions event;
  event.workerInstance =
      WorkerId{"w" + std::to_string(node.index + 1) + "." + std::to_string(++node.instanceCount)};
  event.capacity = node.capacity;
  event.clockRate = 0.98 + 0.02 * double(random.between(0, 1000)) / 1000.0;
  event.clockOrigin = random.between(1000, 1'000'000);
  event.gangTimeout = Duration{options.seed % 3 ? 3000 : 1500};
  event.maxResultsPerPoll = std::size_t(std::array<int, 3>{500, 3, 40}[node.index % 3]);
  node.worker = std::make_unique<CalledWorker>(
      event, gangState->rendezvous, random.next(),
      [this](const JobId& id) {
        auto found = submissions.find(id.value);
        return found == submissions.end() ? nullptr : &found->second;
      },
      [this](HistoryEvent notified) {
        notified.timestamp = epochMs + now;
        recordEvent(std::move(notified));
      },
      now);
  node.worker->malfunction = node.malfunction;
  auto capacity = makeEvent(HistoryEvent::Kind::capacityReported, epochMs + now);
  capacity.worker = event.workerInstance.value;
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
  auto account = node.worker->accountAt(now);
  account.sequence = ++node.heartbeats;
  const std::int64_t delay = random.chance(lateShare) ? random.between(500, 6000) : 0;
  schedule(now + delay, [this, &agent = *agents[node.index], account] {
    if (!agent.up)
      return;
    deliverLocally(agent, [this, &agent, account] {
      if (!agent.core->onRegistration(account, MonotonicTime{now}))
        return;
      if (account.draining)
        awaitDrainAcknowledgement(agent, account.workerInstance);
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
  auto vanished = makeEvent(HistoryEvent::Kind::workerLost, epochMs + now);
  vanished.worker = node.worker->workerInstance().value;
  recordEvent(vanished);
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
void SimulatedCluster::setCalledWorkerMalfunction(std::size_t index, Malfunction sickness) {
  auto& node = *calledWorkers[index];
  node.malfunction = CalledWorker::Malfunction(sickness);
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
                                         std::int64_t awayFor) {
  auto& node = *calledWorkers[index];
  if (!node.up || node.drain)
    return;
  CalledWorkerNode::Drain leaving;
  leaving.byRequest = random.chance(0.5);
  leaving.announcedAt = leaving.nextAnnouncementAt = now;
  leaving.servesAfterAcknowledgement =
      within + (random.chance(0.3) ? random.between(2000, 9000) : random.between(0, 1500));
  leaving.downtime = awayFor;
  node.drain = leaving;
  if (!leaving.byRequest) {
    node.worker->draining = true;
    node.worker->drainTimeout = Duration{within};
    node.nextHeartbeatAt = now;
  }
}

void SimulatedCluster::advanceDrain(CalledWorkerNode& node) {
  constexpr std::int64_t endsWithoutAnswerAfter = 5000, saysAgainAfter = 1000;
  auto& leaving = *node.drain;
  if (leaving.byRequest && !node.drainAcknowledged && now >= leaving.nextAnnouncementAt) {
    leaving.nextAnnouncementAt = now + saysAgainAfter;
    announceDrain(node);
  }
  if (!leaving.endsAt && node.drainAcknowledged)
    leaving.endsAt = now + leaving.servesAfterAcknowledgement;
  if (!leaving.endsAt && now - leaving.announcedAt >= endsWithoutAnswerAfter)
    leaving.endsAt = now;
  if (!leaving.endsAt || now < leaving.endsAt)
    return;
  if (!leaving.byRequest && !leaving.finalAnnouncementSent) {
    leaving.finalAnnouncementSent = true;
    leaving.endsAt = now + random.between(0, 400);
    return announceDrain(node);
  }
  const std::int64_t awayFor = leaving.downtime;
  const std::string what = "the end of a called worker that leaves " + std::to_string(now);
  endCalledWorker(node);
  recordFault(what, false);
  scheduleAfter(awayFor, [this, &node, what] {
    restartCalledWorker(node.index);
    recordFault(what, true);
  });
}

void SimulatedCluster::announceDrain(CalledWorkerNode& node) {
  auto& agent = *agents[node.index];
  if (agent.up)
    deliverLocally(agent, [this, &agent, life = node.worker->workerInstance()] {
      receiveDrainAnnouncement(agent, life);
    });
}

void SimulatedCluster::receiveDrainAnnouncement(AgentNode& agent, const WorkerId& instance) {
  const Duration within{2000};
  if (agent.core->onDrainNotice(instance, within, MonotonicTime{now}))
    return awaitDrainAcknowledgement(agent, instance);
  ApiRequest leaving;
  leaving.kind = RequestKind::workerShutdown;
  leaving.targetId = instance.value;
  leaving.drainTimeout = within;
  callLeader(agent, leaving, [this, &agent, instance](const ApiResponse& answer) {
    if (answer.status < 500)
      acknowledgeDrain(agent.index, instance);
  });
}

// A drain announcement is acknowledged once it is in the log, or not at all.
void SimulatedCluster::awaitDrainAcknowledgement(AgentNode& agent, const WorkerId& instance) {
  constexpr std::int64_t tellWithin = 900;
  agent.drainAcknowledgementDueBy = now + tellWithin;
  agent.drainingWorker = instance;
}

void SimulatedCluster::acknowledgeDrain(std::size_t index, const WorkerId& instance) {
  auto& node = *calledWorkers[index];
  deliverLocally(node, [this, &node, instance] {
    if (node.drainAcknowledged || node.worker->workerInstance() != instance)
      return;
    node.drainAcknowledged = true;
    auto leaving = makeEvent(HistoryEvent::Kind::draining, epochMs + now);
    leaving.worker = instance.value;
    recordEvent(leaving);
  });
}

}  // namespace aniseline
