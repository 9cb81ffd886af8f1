#include "simulator/nodes.hpp"

namespace aniseline {

World::World(WorldOptions given) : options(given), random(given.seed * 7919 + 13) {
  outside = std::make_unique<Node>();
  for (std::size_t place = 0; place < options.controllers; ++place) {
    auto node = std::make_unique<ControllerNode>();
    node->place = place;
    node->zone = place % options.zones;
    node->address = Address{"10.0.0." + std::to_string(nextAddress++) + ":1"};
    node->monotonicBase = random.between(1000, 1'000'000);
    seeds.push_back(node->address);
    controllers.push_back(std::move(node));
  }
  for (auto& node : controllers)
    bootController(*node);
  controllers[0]->core->found(MonotonicTime{now + controllers[0]->monotonicBase});
  for (std::size_t place = 0; place < options.gateways; ++place) {
    auto node = std::make_unique<GatewayNode>();
    node->place = place;
    node->zone = place % options.zones;
    gateways.push_back(std::move(node));
    moveGateway(place);
    refreshGateway(*gateways.back(), gateways.back()->generation);
  }
  for (std::size_t place = 0; place < options.workers; ++place) {
    auto node = std::make_unique<WorkerNode>();
    node->place = place;
    node->zone = place % options.zones;
    node->id = "m" + std::to_string(place + options.twins < options.workers ? place + 1 : 1);
    node->capacity = Capacity{options.cores,
                              options.memory,
                              ZoneName{"zone" + std::to_string(node->zone + 1)},
                              "rack" + std::to_string(place / 3 + 1),
                              place + options.leaseless < options.workers,
                              place >= options.unguarded};
    workers.push_back(std::move(node));
    bootWorker(*workers.back());
  }
  meetings = std::make_unique<Meetings>();
  for (std::size_t place = 0; place < options.called; ++place) {
    auto agent = std::make_unique<AgentNode>();
    auto node = std::make_unique<CalledNode>();
    agent->place = node->place = place;
    agent->zone = node->zone = place % options.zones;
    // Two pools, of guarded and of unguarded workers; sizes, kinds and racks differ within each.
    Capacity& capacity = node->capacity;
    capacity.cores = place % 4 < 2 ? options.cores : options.cores * 3 / 2;
    capacity.memory = options.memory;
    capacity.accelerators = place % 4 == 3 ? 2 : 0;
    capacity.zone = ZoneName{"zone" + std::to_string(node->zone + 1)};
    capacity.rack = "shelf" + std::to_string(place / 4 + 1);
    capacity.labels = {place / 2 % 2 ? "plain" : "fine",
                       capacity.rack};  // of each kind in two zones
    capacity.pool = place % 2 ? "open" : "guarded";
    capacity.guardsRoom = place % 2 == 0;
    capacity.host = "host" + std::to_string(place + 1);
    capacity.honoursLeases = capacity.lapses = capacity.assembles = true;
    capacity.pauses = false;
    agents.push_back(std::move(agent));
    called.push_back(std::move(node));
    bootAgent(*agents.back());
    bootCalled(*called.back());
  }
}
World::~World() = default;

void World::schedule(std::int64_t time, std::function<void()> work) {
  events.push(Event{time, nextEvent++, std::move(work)});
}
void World::after(std::int64_t delay, std::function<void()> work) {
  schedule(now + delay, std::move(work));
}
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
    if (condition())
      return true;
    runUntil(std::min(until, now + 20));
  }
  return condition();
}

void World::witness(HistoryEvent given) {
  if (!given.at)
    given.at = calendar + now;
  const std::string line = given.line();
  transcriptHash = hashBytes(transcriptHash, line);
  if (say && !given.worker.empty())
    say("witness " + line);
  history.push_back(std::move(given));
}

bool World::cutBetween(const Node& from, const Node& to) const {
  if (from.cut || to.cut)
    return true;
  return &from != outside.get() && &to != outside.get() && cuts.count({from.zone, to.zone}) > 0;
}

void World::deliver(Node& from, Node& to, std::function<void()> work) {
  if (cutBetween(from, to) || (options.loss > 0 && random.chance(options.loss)))
    return;
  arrive(to, now + (from.zone == to.zone ? 0 : 1) + random.between(0, 1), std::move(work));
}

void World::arrive(Node& to, std::int64_t at, std::function<void()> work) {
  Node* target = &to;
  schedule(at, [target, generation = to.generation, work = std::move(work)] {
    if (!target->up || target->generation != generation)
      return;
    if (target->frozen)
      target->inbox.push_back(work);
    else
      work();
  });
}

void World::freeze(Node& node, bool frozen) {
  if (!node.up || node.frozen == frozen)
    return;
  node.frozen = frozen;
  if (frozen)
    return;
  auto inbox = std::exchange(node.inbox, {});
  const std::uint64_t generation = node.generation;
  Node* target = &node;
  schedule(now, [target, generation, inbox = std::move(inbox)] {
    if (target->up && target->generation == generation)
      for (auto& work : inbox)
        work();
  });
}

World::ControllerNode* World::at(const Address& address) {
  for (auto& node : controllers)
    if (node->address == address)
      return node.get();
  return nullptr;
}

// --- as a whole
// --------------------------------------------------------------------------------------------------

void World::healAll() {
  cuts.clear();
  options.loss = 0;
  for (std::size_t place = 0; place < controllers.size(); ++place) {
    restartController(place);
    freezeController(place, false);
    cutController(place, false);
    controllers[place]->stalledUntil = now;
    controllers[place]->slow = 0;
    controllers[place]->full = false;
    controllers[place]->wallOffset = 0;
  }
  for (std::size_t place = 0; place < gateways.size(); ++place) {
    restartGateway(place);
    freezeGateway(place, false);
  }
  for (std::size_t place = 0; place < workers.size(); ++place) {
    workers[place]->cut = false;
    freezeWorker(place, false);
    restartWorker(place);
    setWorker(place, 1, 0);
  }
  for (std::size_t place = 0; place < called.size(); ++place) {
    restartAgent(place);
    cutAgent(place, false);
    freezeAgent(place, false);
    sickenCalled(place, Sickness::none);
    delayOrders(place, false);
    restartCalled(place);
  }
}

void World::disturb(const std::string& fault, bool ends) {
  auto given =
      seen(ends ? HistoryEvent::Kind::mended : HistoryEvent::Kind::disturbed, calendar + now);
  given.detail = fault;
  witness(given);
}

void World::lookAtConfigs() {
  auto look = [this](const std::string& process, ConfigVersion version) {
    if (!version.value)
      return;  // it has just begun and knows of none
    auto given = seen(HistoryEvent::Kind::configSeen, calendar + now);
    given.detail = process;
    given.version = version.value;
    witness(given);
  };
  for (const auto& node : controllers)
    if (node->up && !node->frozen)
      look("controller" + std::to_string(node->place) + "." + std::to_string(node->generation),
           node->core->committed().config.version);
  for (const auto& node : gateways)
    if (node->up && !node->frozen)
      look("gateway" + std::to_string(node->place) + "." + std::to_string(node->generation),
           node->route.config);
}

}  // namespace aniseline
