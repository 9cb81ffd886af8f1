#include "simulator/nodes.hpp"

namespace aniseline {

void World::bootWorker(WorkerNode& node) {
  node.up = true;
  node.frozen = node.patientBusy = node.urgentBusy = false;
  ++node.generation;
  WorkerSession::Options hand;
  hand.id = WorkerId{node.id};
  hand.capacity = node.capacity;
  node.hand = std::make_unique<WorkerSession>(hand, Incarnation{random.next() | 1});
  std::vector<Address> firstContacts;  // what its settings say when it is started
  for (std::size_t place = 0; place < std::min<std::size_t>(3, gateways.size()); ++place)
    firstContacts.push_back(gateways[place]->outer);
  node.contacts = std::make_unique<PeerDirectory>(firstContacts, random.next());
  auto capacity = seen(HistoryEvent::Kind::capacity, calendar + now);
  capacity.worker = node.id;
  capacity.cores = node.capacity.cores;
  capacity.memory = node.capacity.memory;
  capacity.guards = node.capacity.guardsRoom;
  if (!node.capacity.honoursLeases)
    capacity.detail = "leaseless";
  witness(capacity);
  tickWorker(node, node.generation);
}

void World::tickWorker(WorkerNode& node, std::uint64_t generation) {
  if (!node.up || node.generation != generation)
    return;
  if (!node.frozen) {
    node.hand->tick(MonotonicTime{now});
    followEffects(node);
    std::vector<AttemptNumber> due;
    for (auto& [attempt, task] : node.tasks)
      if (task.active && now - task.since >= task.left)
        due.push_back(attempt);
    for (auto attempt : due) {
      auto& task = node.tasks[attempt];
      const bool well = !random.chance(node.fail);
      auto ended = seen(HistoryEvent::Kind::ended, calendar + now);
      ended.worker = node.id;
      ended.job = task.order.job.value;
      ended.task = task.order.task;
      ended.attempt = std::to_string(attempt.value);
      ended.detail = well ? "finished" : "failed";
      witness(ended);
      node.tasks.erase(attempt);
      node.hand->ended(attempt, well, MonotonicTime{now});
    }
    if (!node.patientBusy)
      syncWorker(node, true);
    if (!node.urgentBusy && node.hand->urgent())
      syncWorker(node, false);
  }
  schedule(now + 5, [this, &node, generation] { tickWorker(node, generation); });
}

void World::syncWorker(WorkerNode& node, bool patient) {
  auto report = node.hand->report(MonotonicTime{now});
  if (!patient)
    report.wait = Duration{0};
  const std::int64_t sentAt = now;
  (patient ? node.patientBusy : node.urgentBusy) = true;
  const auto incarnation = report.incarnation;
  node.contacts->learn(node.hand->gateways());
  askGateway(node, gatewayAt(node.contacts->current(MonotonicTime{now})), "POST",
             "/v1/workers/" + node.id + "/sync", renderReport(report),
             report.wait.milliseconds + 300,
             [this, &node, patient, sentAt, incarnation](int status, const std::string& body) {
               auto& busy = patient ? node.patientBusy : node.urgentBusy;
               if (node.hand->currentIncarnation() != incarnation) {
                 busy = false;
                 return;
               }
               if (status == 200) {
                 if (auto answer = SyncResponse::parse(body))
                   node.hand->answered(incarnation, answer.value(), MonotonicTime{sentAt},
                                       MonotonicTime{now});
                 followEffects(node);
               } else if (status == 410) {
                 node.hand->replaced(Incarnation{random.next() | 1});
                 followEffects(node);
               } else {
                 if (!node.contacts->knowsMore())
                   learnContacts(node, gatewayAt(node.contacts->current(MonotonicTime{now})));
                 node.contacts->failed(MonotonicTime{now});
               }
               if (status == 200 && patient) {
                 busy = false;
                 return;
               }
               const std::uint64_t generation = node.generation;
               schedule(now + (status == 200 ? 5 : 50), [&node, patient, generation] {
                 if (node.generation == generation)
                   (patient ? node.patientBusy : node.urgentBusy) = false;
               });
             });
}

// Whatever gateway answers names the others, even while no leader is there.
void World::learnContacts(WorkerNode& node, std::size_t place) {
  if (place == noGateway || !gateways[place]->up)
    return;
  auto* from = gateways[place].get();
  deliver(node, *from, [this, &node, from] {
    const auto inForce = preferred(from->route.gateways, node.capacity.zone, node.place);
    deliver(*from, node, [&node, inForce] { node.contacts->learn(inForce); });
  });
}

void World::followEffects(WorkerNode& node) {
  for (const auto& [order, kind] : node.hand->takeConfirmed()) {
    auto told = seen(HistoryEvent::Kind::confirmed, calendar + now);
    told.worker = node.id;
    told.job = order.job.value;
    told.task = order.task;
    told.attempt = std::to_string(order.attempt.value);
    told.detail = name(kind);
    witness(told);
  }
  for (const auto& effect : node.hand->takeEffects()) {
    auto found = node.tasks.find(effect.attempt);
    auto base = [&](HistoryEvent::Kind kind, const Order& order) {
      auto given = seen(kind, calendar + now);
      given.worker = node.id;
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
      if (effect.order.payload.starts_with("run="))
        run = std::strtoll(effect.order.payload.c_str() + 4, nullptr, 10);
      run = std::int64_t(double(run) * node.slow);
      node.tasks[effect.attempt] = {effect.order, now, run, run, true};
      witness(base(HistoryEvent::Kind::started, effect.order));
    } else if (found == node.tasks.end())
      continue;
    else if (effect.kind == HandEffect::Kind::hold) {
      found->second.left -= now - found->second.since;
      found->second.active = false;
      witness(base(HistoryEvent::Kind::held, found->second.order));
    } else if (effect.kind == HandEffect::Kind::resume) {
      found->second.since = now;
      found->second.active = true;
      witness(base(HistoryEvent::Kind::resumed, found->second.order));
    } else {
      auto& task = found->second;
      const std::int64_t ran = task.total - task.left + (task.active ? now - task.since : 0);
      auto ended = base(HistoryEvent::Kind::ended, task.order);
      ended.detail = task.order.quantum.milliseconds > 0 && ran >= task.order.quantum.milliseconds
                         ? "ran_out"
                         : "stopped";
      witness(ended);
      node.tasks.erase(found);
    }
  }
}

void World::killWorker(std::size_t place, bool forGood) {
  auto& node = *workers[place];
  node.gone = node.gone || forGood;
  if (!node.up)
    return;
  node.up = node.frozen = false;
  ++node.generation;
  node.inbox.clear();
  node.tasks.clear();
  auto vanished = seen(HistoryEvent::Kind::vanished, calendar + now);
  vanished.worker = node.id;
  witness(vanished);
}
void World::restartWorker(std::size_t place) {
  if (!workers[place]->up && !workers[place]->gone)
    bootWorker(*workers[place]);
}
bool World::isWorkerUp(const std::string& id) const {
  return std::any_of(workers.begin(), workers.end(),
                     [&](const auto& node) { return node->id == id && node->up; });
}
void World::returnWorker(std::size_t place) {
  workers[place]->gone = false;
  restartWorker(place);
}
void World::freezeWorker(std::size_t place, bool frozen) {
  auto& node = *workers[place];
  if (!node.up || node.frozen == frozen)
    return;
  // What runs in a frozen process does not run: the history says so.
  for (auto& [attempt, task] : node.tasks) {
    if (!task.active)
      continue;
    auto given =
        seen(frozen ? HistoryEvent::Kind::held : HistoryEvent::Kind::resumed, calendar + now);
    given.worker = node.id;
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
      if (task.active)
        task.since = now;
    auto before = node.tasks;
    node.frozen = false;
    node.hand->tick(MonotonicTime{now});
    node.frozen = true;
    for (const auto& effect : node.hand->takeEffects()) {
      auto found = node.tasks.find(effect.attempt);
      if (found == node.tasks.end())
        continue;
      if (effect.kind == HandEffect::Kind::hold)
        found->second.active = false;
      else if (effect.kind == HandEffect::Kind::stop) {
        auto ended = seen(HistoryEvent::Kind::ended, calendar + now);
        ended.worker = node.id;
        ended.job = found->second.order.job.value;
        ended.task = found->second.order.task;
        ended.attempt = std::to_string(effect.attempt.value);
        ended.detail = "ran_out";
        witness(ended);
        node.tasks.erase(found);
      }
    }
    for (auto& [attempt, task] : node.tasks) {
      if (!task.active)
        continue;
      auto given = seen(HistoryEvent::Kind::resumed, calendar + now);
      given.worker = node.id;
      given.job = task.order.job.value;
      given.task = task.order.task;
      given.attempt = std::to_string(attempt.value);
      witness(given);
    }
  }
  freeze(node, frozen);
}
void World::cutWorker(std::size_t place, bool cut) {
  workers[place]->cut = cut;
}
void World::leaveWorker(std::size_t place, std::int64_t within) {
  auto& node = *workers[place];
  if (node.up && !node.frozen) {
    node.hand->leave(Duration{within});
    auto leaving = seen(HistoryEvent::Kind::leaving, calendar + now);
    leaving.worker = node.id;
    witness(leaving);
  }
  after(within + 2000, [this, place, generation = node.generation] {
    if (workers[place]->generation == generation)
      killWorker(place, true);  // else it is another process by now
  });
}
void World::setWorker(std::size_t place, double slow, double fail) {
  workers[place]->slow = slow;
  workers[place]->fail = fail;
}
void World::cutZones(std::size_t from, std::size_t to, bool cut) {
  if (cut)
    cuts.insert({from, to});
  else
    cuts.erase({from, to});
}

}  // namespace aniseline
