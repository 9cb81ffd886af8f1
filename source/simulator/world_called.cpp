#include "simulator/nodes.hpp"

namespace aniseline {

// What passes between two processes of one machine: no cut of the network comes between them.
void World::nextTo(Node& to, std::function<void()> work) {
  arrive(to, now + random.between(0, 1), std::move(work));
}

// --- agents
// ---------------------------------------------------------------------------------------------------

void World::bootAgent(AgentNode& node) {
  node.up = true;
  node.frozen = node.patientBusy = node.urgentBusy = false;
  node.beatWaitsUntil = 0;
  node.route = RouteView{};
  ++node.generation;
  node.core = std::make_unique<NodeAgent>(NodeAgentOptions{});
  learnRoute(node, node.generation);
  tickAgent(node, node.generation);
}

// One controller after the other is asked: any of them may be frozen. docs/design.md 9.2.
void World::learnRoute(AgentNode& node, std::uint64_t generation) {
  if (!node.up || node.generation != generation)
    return;
  if (!node.frozen) {
    const auto& known = node.route.controllers.empty() ? seeds : node.route.controllers;
    if (auto* to = at(known[node.turn++ % known.size()]); to && to->up)
      deliver(node, *to, [this, to, &node] {
        if (to->core->raftNode().blank())
          return;
        auto view = to->core->route(MonotonicTime{now + to->monotonicBase});
        deliver(*to, node, [&node, view] { node.route.takeNewer(view); });
      });
  }
  const bool learned = !node.route.leader.value.empty();
  schedule(now + (learned ? 1000 : 200),
           [this, &node, generation] { learnRoute(node, generation); });
}

void World::tickAgent(AgentNode& node, std::uint64_t generation) {
  if (!node.up || node.generation != generation)
    return;
  if (!node.frozen) {
    for (const auto& call : node.core->takeCalls(MonotonicTime{now}))
      perform(node, call);
    if (node.core->mayReport() && !node.patientBusy)
      syncAgent(node, true);
    if (!node.urgentBusy && node.core->urgent(MonotonicTime{now}))
      syncAgent(node, false);
    if (node.beatWaitsUntil && (node.core->leavingTold(node.beatOf) || now > node.beatWaitsUntil)) {
      node.beatWaitsUntil = 0;
      if (node.core->leavingTold(node.beatOf))
        acknowledgeLeaving(node.place, node.beatOf);
    }
  }
  schedule(now + 5, [this, &node, generation] { tickAgent(node, generation); });
}

void World::syncAgent(AgentNode& node, bool patient) {
  (patient ? node.patientBusy : node.urgentBusy) = true;
  ApiRequest request;
  request.kind = RequestKind::sync;
  request.report = node.core->report(MonotonicTime{now});
  request.report.wait = patient ? Duration{1000} : Duration{0};
  request.id = request.report.id.value;
  const std::int64_t sentAt = now;
  relay(node, request,
        [this, &node, patient, sentAt, report = request.report](const ApiResponse& answer) {
          auto& busy = patient ? node.patientBusy : node.urgentBusy;
          if (answer.status == 200) {
            if (auto told = unpack<SyncResponse>(answer.body))
              node.core->answered(report, told.value(), MonotonicTime{sentAt}, MonotonicTime{now});
            busy = false;
            return;
          }
          if (answer.status == 410 && report.id == node.core->life())
            node.core->replaced(MonotonicTime{now});
          schedule(now + 100, [&node, patient, generation = node.generation] {
            if (node.generation == generation)
              (patient ? node.patientBusy : node.urgentBusy) = false;
          });
        });
}

// --- what they ask of their workers
// --------------------------------------------------------------------------------

void World::perform(AgentNode& node, const WorkerCall& call) {
  auto& to = *called[node.place];
  const std::uint64_t generation = node.generation;
  auto told = std::make_shared<bool>(false);
  auto tell = [this, &node, generation, told, call](WorkerReply reply) {
    if (*told || !node.up || node.generation != generation)
      return;
    *told = true;
    auto hear = [this, &node, call, reply] {
      node.core->replied(call, reply, MonotonicTime{now});
    };
    if (node.frozen)
      node.inbox.push_back(hear);
    else
      hear();
  };
  if (!to.up)
    return schedule(now + 1, [tell] { tell({}); });
  schedule(now + call.within.milliseconds, [tell] { tell({}); });
  if (to.ordersLate && random.chance(0.85)) {
    // No answer: it is carried out now, or seconds later and after newer ones.
    const std::int64_t delay =
        random.chance(0.3)
            ? 0
            : random.between(2000, random.chance(0.5) ? 3200 : 12'000);  // many within the lease
    return schedule(now + delay, [this, &to, call, delay, life = to.worker->life()] {
      if (to.up && to.worker->life() == life)
        to.worker->take(call, now, delay > 0);
    });
  }
  nextTo(to, [this, &to, &node, call, tell] {
    WorkerReply reply = to.worker->take(call, now, false);
    if (to.worker->sickness == CalledWorker::Sickness::mute)
      return;
    auto answer = [this, &node, tell](const WorkerReply& given) {
      nextTo(node, [tell, given] { tell(given); });
    };
    if (call.kind != WorkerCall::Kind::look || reply.kind != WorkerReply::Kind::done)
      return answer(reply);
    if (call.wait.milliseconds > 0 && !to.worker->hasEnding(call.lastSeen)) {
      to.looks.push_back({call, now + call.wait.milliseconds, answer});
      return;
    }
    to.worker->list(reply, now);
    answer(reply);
  });
}

// --- workers that are called
// ---------------------------------------------------------------------------------------

void World::bootCalled(CalledNode& node) {
  node.up = true;
  node.gone = node.leavingAcknowledged = false;
  ++node.generation;
  node.looks.clear();
  node.leaving.reset();
  node.beats = 0;
  CalledWorkerOptions given;
  given.life = WorkerId{"w" + std::to_string(node.place + 1) + "." + std::to_string(++node.lives)};
  given.capacity = node.capacity;
  given.clockRate = 0.98 + 0.02 * double(random.between(0, 1000)) / 1000.0;
  given.clockBase = random.between(1000, 1'000'000);
  given.gangWait = Duration{options.seed % 3 ? 3000 : 1500};
  given.endingsAtOnce = std::size_t(std::array<int, 3>{500, 3, 40}[node.place % 3]);
  node.worker = std::make_unique<CalledWorker>(
      given, meetings->gangs, random.next(),
      [this](const JobId& id) {
        auto found = submissions.find(id.value);
        return found == submissions.end() ? nullptr : &found->second;
      },
      [this](HistoryEvent told) {
        told.at = calendar + now;
        witness(std::move(told));
      },
      now);
  node.worker->sickness = node.sickness;
  auto capacity = seen(HistoryEvent::Kind::capacity, calendar + now);
  capacity.worker = given.life.value;
  capacity.cores = node.capacity.cores;
  capacity.memory = node.capacity.memory;
  capacity.accelerators = node.capacity.accelerators;
  capacity.guards = node.capacity.guardsRoom;
  capacity.detail = "called";
  capacity.pool = node.capacity.pool;
  capacity.labels = node.capacity.labels;
  witness(capacity);
  node.beatAt = now + random.between(0, 300);
  tickCalled(node, node.generation);
}

void World::tickCalled(CalledNode& node, std::uint64_t generation) {
  if (!node.up || node.generation != generation)
    return;
  node.worker->tick(now);
  std::erase_if(node.looks, [&](const CalledNode::Look& look) {
    if (now < look.until && !node.worker->hasEnding(look.call.lastSeen))
      return false;
    WorkerReply reply;
    reply.kind = WorkerReply::Kind::done;
    node.worker->list(reply, now);
    look.reply(reply);
    return true;
  });
  if (now >= node.beatAt) {
    node.beatAt = now + 500;
    beat(node);
  }
  if (node.leaving)
    leaveStep(node);
  schedule(now + 5, [this, &node, generation] { tickCalled(node, generation); });
}

// Some beats come seconds late, behind newer ones and after the end of the life that sent them.
void World::beat(CalledNode& node) {
  constexpr double lateShare = 0.06;
  auto account = node.worker->account(now);
  account.sequence = ++node.beats;
  const std::int64_t delay = random.chance(lateShare) ? random.between(500, 6000) : 0;
  schedule(now + delay, [this, &agent = *agents[node.place], account] {
    if (!agent.up)
      return;
    nextTo(agent, [this, &agent, account] {
      if (!agent.core->known(account, MonotonicTime{now}))
        return;
      if (account.leaving)
        awaitLeavingTold(agent, account.life);
    });
  });
}

void World::endCalled(CalledNode& node) {
  if (!node.up)
    return;
  node.worker->vanish();
  node.up = false;
  ++node.generation;
  node.looks.clear();
  auto vanished = seen(HistoryEvent::Kind::vanished, calendar + now);
  vanished.worker = node.worker->life().value;
  witness(vanished);
}

void World::killAgent(std::size_t place) {
  auto& node = *agents[place];
  if (!node.up)
    return;
  node.up = node.frozen = false;
  ++node.generation;
  node.inbox.clear();
}
void World::restartAgent(std::size_t place) {
  if (!agents[place]->up)
    bootAgent(*agents[place]);
}
void World::freezeAgent(std::size_t place, bool frozen) {
  freeze(*agents[place], frozen);
}
void World::cutAgent(std::size_t place, bool cut) {
  agents[place]->cut = cut;
}
void World::killCalled(std::size_t place) {
  endCalled(*called[place]);
}
void World::restartCalled(std::size_t place) {
  if (!called[place]->up)
    bootCalled(*called[place]);
}
void World::sickenCalled(std::size_t place, Sickness sickness) {
  auto& node = *called[place];
  node.sickness = CalledWorker::Sickness(sickness);
  node.worker->sickness = node.sickness;
}
void World::delayOrders(std::size_t place, bool delayed) {
  called[place]->ordersLate = delayed;
}

// --- leavings
// ---------------------------------------------------------------------------------------------------

// It announces its end, serves on from the acknowledgement, and ends; with no acknowledgement it
// ends all the same, some seconds later. Another life begins after that. docs/design.md 12.4.
void World::leaveCalled(std::size_t place, std::int64_t within, std::int64_t awayFor) {
  auto& node = *called[place];
  if (!node.up || node.leaving)
    return;
  CalledNode::Leaving leaving;
  leaving.byLeave = random.chance(0.5);
  leaving.since = leaving.sayAgainAt = now;
  leaving.servesOn =
      within + (random.chance(0.3) ? random.between(2000, 9000) : random.between(0, 1500));
  leaving.awayFor = awayFor;
  node.leaving = leaving;
  if (!leaving.byLeave) {
    node.worker->leaving = true;
    node.worker->leaveWithin = Duration{within};
    node.beatAt = now;
  }
}

void World::leaveStep(CalledNode& node) {
  constexpr std::int64_t endsWithoutAnswerAfter = 5000, saysAgainAfter = 1000;
  auto& leaving = *node.leaving;
  if (leaving.byLeave && !node.leavingAcknowledged && now >= leaving.sayAgainAt) {
    leaving.sayAgainAt = now + saysAgainAfter;
    sayLeave(node);
  }
  if (!leaving.endsAt && node.leavingAcknowledged)
    leaving.endsAt = now + leaving.servesOn;
  if (!leaving.endsAt && now - leaving.since >= endsWithoutAnswerAfter)
    leaving.endsAt = now;
  if (!leaving.endsAt || now < leaving.endsAt)
    return;
  if (!leaving.byLeave && !leaving.lastWordSaid) {
    leaving.lastWordSaid = true;
    leaving.endsAt = now + random.between(0, 400);
    return sayLeave(node);
  }
  const std::int64_t awayFor = leaving.awayFor;
  const std::string what = "the end of a called worker that leaves " + std::to_string(now);
  endCalled(node);
  disturb(what, false);
  after(awayFor, [this, &node, what] {
    restartCalled(node.place);
    disturb(what, true);
  });
}

void World::sayLeave(CalledNode& node) {
  auto& agent = *agents[node.place];
  if (agent.up)
    nextTo(agent, [this, &agent, life = node.worker->life()] { hearLeave(agent, life); });
}

void World::hearLeave(AgentNode& agent, const WorkerId& life) {
  const Duration within{2000};
  if (agent.core->leaves(life, within, MonotonicTime{now}))
    return awaitLeavingTold(agent, life);
  ApiRequest leaving;
  leaving.kind = RequestKind::leave;
  leaving.id = life.value;
  leaving.within = within;
  relay(agent, leaving, [this, &agent, life](const ApiResponse& answer) {
    if (answer.status < 500)
      acknowledgeLeaving(agent.place, life);
  });
}

// The word of a leaving is acknowledged once it is logged, or not at all.
void World::awaitLeavingTold(AgentNode& agent, const WorkerId& life) {
  constexpr std::int64_t tellWithin = 900;
  agent.beatWaitsUntil = now + tellWithin;
  agent.beatOf = life;
}

void World::acknowledgeLeaving(std::size_t place, const WorkerId& life) {
  auto& node = *called[place];
  nextTo(node, [this, &node, life] {
    if (node.leavingAcknowledged || node.worker->life() != life)
      return;
    node.leavingAcknowledged = true;
    auto leaving = seen(HistoryEvent::Kind::leaving, calendar + now);
    leaving.worker = life.value;
    witness(leaving);
  });
}

}  // namespace aniseline
