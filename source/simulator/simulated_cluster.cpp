// Sets up the nodes, and implements the event queue, message delivery and the lifting of faults.
#include "simulator/simulated_nodes.hpp"

namespace aniseline {

SimulatedCluster::SimulatedCluster(SimulatedClusterOptions simulationOptions)
    : options(simulationOptions), random(simulationOptions.seed * 7919 + 13) {
  clients = std::make_unique<Node>();
  for (std::size_t index = 0; index < options.controllers; ++index) {
    auto node = std::make_unique<ControllerNode>();
    node->index = index;
    node->zone = index % options.zones;
    node->address = Address{"10.0.0." + std::to_string(nextAddress++) + ":1"};
    node->monotonicBase = random.between(1000, 1'000'000);
    seedAddresses.push_back(node->address);
    controllers.push_back(std::move(node));
  }
  for (auto& node : controllers)
    bootController(*node);
  controllers[0]->core->bootstrap(MonotonicTime{now + controllers[0]->monotonicBase});
  for (std::size_t index = 0; index < options.gateways; ++index) {
    auto node = std::make_unique<GatewayNode>();
    node->index = index;
    node->zone = index % options.zones;
    gateways.push_back(std::move(node));
    moveGateway(index);
    refreshRoute(*gateways.back(), gateways.back()->generation);
  }
  for (std::size_t index = 0; index < options.workers; ++index) {
    auto node = std::make_unique<WorkerNode>();
    node->index = index;
    node->zone = index % options.zones;
    node->id = "m" + std::to_string(
                         index + options.workersWithDuplicateId < options.workers ? index + 1 : 1);
    node->capacity = Capacity{options.cores,
                              options.memory,
                              ZoneName{"zone" + std::to_string(node->zone + 1)},
                              "rack" + std::to_string(index / 3 + 1),
                              index + options.workersIgnoringLeases < options.workers,
                              index >= options.workersNotEnforcingCapacity};
    workers.push_back(std::move(node));
    bootWorker(*workers.back());
  }
  gangState = std::make_unique<GangState>();
  for (std::size_t index = 0; index < options.calledWorkers; ++index) {
    auto agent = std::make_unique<AgentNode>();
    auto node = std::make_unique<CalledWorkerNode>();
    agent->index = node->index = index;
    agent->zone = node->zone = index % options.zones;
    // There are two pools: workers that enforce their capacity and workers that do not. Sizes,
    // labels and racks differ within each pool.
    Capacity& capacity = node->capacity;
    capacity.cores = index % 4 < 2 ? options.cores : options.cores * 3 / 2;
    capacity.memory = options.memory;
    capacity.accelerators = index % 4 == 3 ? 2 : 0;
    capacity.zone = ZoneName{"zone" + std::to_string(node->zone + 1)};
    capacity.rack = "shelf" + std::to_string(index / 4 + 1);
    // Workers with each label stand in two zones.
    capacity.labels = {index / 2 % 2 ? "plain" : "fine", capacity.rack};
    capacity.pool = index % 2 ? "open" : "guarded";
    capacity.enforcesCapacity = index % 2 == 0;
    capacity.host = "host" + std::to_string(index + 1);
    capacity.honoursLeases = capacity.killsOnLeaseExpiry = capacity.selfAssemblingGangs = true;
    capacity.supportsSuspend = false;
    agents.push_back(std::move(agent));
    calledWorkers.push_back(std::move(node));
    bootAgent(*agents.back());
    bootCalledWorker(*calledWorkers.back());
  }
}
SimulatedCluster::~SimulatedCluster() = default;

void SimulatedCluster::schedule(std::int64_t time, std::function<void()> work) {
  events.push(Event{time, nextEvent++, std::move(work)});
}
void SimulatedCluster::scheduleAfter(std::int64_t delay, std::function<void()> work) {
  schedule(now + delay, std::move(work));
}
void SimulatedCluster::runUntil(std::int64_t time) {
  while (!events.empty() && events.top().time <= time) {
    auto event = std::move(const_cast<Event&>(events.top()));
    events.pop();
    now = event.time;
    event.action();
  }
  now = time;
}
bool SimulatedCluster::runUntilTrue(const std::function<bool()>& condition, std::int64_t within) {
  const std::int64_t until = now + within;
  while (now < until) {
    if (condition())
      return true;
    runUntil(std::min(until, now + 20));
  }
  return condition();
}

void SimulatedCluster::recordEvent(HistoryEvent event) {
  if (!event.timestamp)
    event.timestamp = epochMs + now;
  const std::string line = event.toJsonLine();
  transcriptHash = hashBytes(transcriptHash, line);
  if (trace && !event.worker.empty())
    trace("witness " + line);
  history.push_back(std::move(event));
}

bool SimulatedCluster::isCutBetween(const Node& from, const Node& to) const {
  if (from.isolated || to.isolated)
    return true;
  return &from != clients.get() && &to != clients.get() &&
         partitions.count({from.zone, to.zone}) > 0;
}

void SimulatedCluster::deliver(Node& from, Node& to, std::function<void()> work) {
  if (isCutBetween(from, to) || (options.messageLoss > 0 && random.chance(options.messageLoss)))
    return;
  deliverAt(to, now + (from.zone == to.zone ? 0 : 1) + random.between(0, 1), std::move(work));
}

void SimulatedCluster::deliverAt(Node& to, std::int64_t at, std::function<void()> work) {
  Node* target = &to;
  schedule(at, [target, generation = to.generation, work = std::move(work)] {
    if (!target->up || target->generation != generation)
      return;
    if (target->frozen)
      target->deferredWork.push_back(work);
    else
      work();
  });
}

void SimulatedCluster::freeze(Node& node, bool frozen) {
  if (!node.up || node.frozen == frozen)
    return;
  node.frozen = frozen;
  if (frozen)
    return;
  auto pendingWork = std::exchange(node.deferredWork, {});
  const std::uint64_t generation = node.generation;
  Node* target = &node;
  schedule(now, [target, generation, pendingWork = std::move(pendingWork)] {
    if (target->up && target->generation == generation)
      for (auto& work : pendingWork)
        work();
  });
}

SimulatedCluster::ControllerNode* SimulatedCluster::controllerAt(const Address& address) {
  for (auto& node : controllers)
    if (node->address == address)
      return node.get();
  return nullptr;
}

// --- operations on the whole cluster ---

void SimulatedCluster::healAll() {
  partitions.clear();
  options.messageLoss = 0;
  for (std::size_t index = 0; index < controllers.size(); ++index) {
    restartController(index);
    freezeController(index, false);
    isolateController(index, false);
    controllers[index]->diskStalledUntil = now;
    controllers[index]->diskDelay = 0;
    controllers[index]->diskFull = false;
    controllers[index]->clockOffset = 0;
  }
  for (std::size_t index = 0; index < gateways.size(); ++index) {
    restartGateway(index);
    freezeGateway(index, false);
  }
  for (std::size_t index = 0; index < workers.size(); ++index) {
    workers[index]->isolated = false;
    freezeWorker(index, false);
    restartWorker(index);
    setWorkerBehaviour(index, 1, 0);
  }
  for (std::size_t index = 0; index < calledWorkers.size(); ++index) {
    restartAgent(index);
    isolateAgent(index, false);
    freezeAgent(index, false);
    setCalledWorkerMalfunction(index, Malfunction::none);
    setOrdersDelayed(index, false);
    restartCalledWorker(index);
  }
}

void SimulatedCluster::recordFault(const std::string& fault, bool ends) {
  auto event = makeEvent(ends ? HistoryEvent::Kind::faultEnded : HistoryEvent::Kind::faultBegan,
                         epochMs + now);
  event.detail = fault;
  recordEvent(event);
}

void SimulatedCluster::observeConfigs() {
  auto recordVersion = [this](const std::string& process, ConfigVersion version) {
    if (!version.value)
      return;  // the process has just started and has no configuration yet
    auto event = makeEvent(HistoryEvent::Kind::configObserved, epochMs + now);
    event.detail = process;
    event.version = version.value;
    recordEvent(event);
  };
  for (const auto& node : controllers)
    if (node->up && !node->frozen)
      recordVersion(
          "controller" + std::to_string(node->index) + "." + std::to_string(node->generation),
          node->core->committed().config().version);
  for (const auto& node : gateways)
    if (node->up && !node->frozen)
      recordVersion(
          "gateway" + std::to_string(node->index) + "." + std::to_string(node->generation),
          node->route.config);
}

}  // namespace aniseline
