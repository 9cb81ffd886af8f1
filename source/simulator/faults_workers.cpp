// Faults of workers and of racks of them. docs/design.md 12.3.
#include "simulator/fault_kinds.hpp"

namespace aniseline {

namespace {

using V = const FaultTargets&;

constexpr std::int64_t leavingLastsMs = 5000;  // at least, so that the notice runs out within it
constexpr double slowFactor = 6;               // times the runtime of its tasks
constexpr double quietFailures = 0.5;          // of its tasks

// Every worker of the rack that a worker stands in.
template <class Use>
void eachInRack(std::size_t worker, Use use) {
  const std::size_t first = worker / workersPerRack * workersPerRack;
  for (std::size_t place = first; place < std::min(first + workersPerRack, simulatedWorkers);
       ++place)
    use(place);
}

void cutRack(SimulatedCluster& world, std::size_t worker, bool cut) {
  eachInRack(worker, [&](auto place) { world.isolateWorker(place, cut); });
}

void vanish(FaultInjector& deck, SimulatedCluster& world, V victims, Fault& fault) {
  fault.begin = [&deck, &world, victims] {
    if (!deck.tryRemoveForGood(victims.worker))
      return false;
    world.killWorker(victims.worker, true);
    return true;
  };
}

void leaveAtShortNotice(FaultInjector& deck, SimulatedCluster& world, V victims, Fault& fault) {
  fault.duration = std::max(fault.duration, leavingLastsMs);
  fault.begin = [&deck, &world, victims] {
    if (!deck.tryRemoveForGood(victims.worker))
      return false;
    world.drainWorker(victims.worker, shortDrainMs);
    return true;
  };
}

FaultTable oneWorkerFaults() {
  return {
      lastingFault(
          "kill a worker",
          [](SimulatedCluster& world, V victims) { world.killWorker(victims.worker, false); },
          [](SimulatedCluster& world, V victims) { world.restartWorker(victims.worker); }),
      {"a worker vanishes", vanish},
      lastingFault(
          "freeze a worker",
          [](SimulatedCluster& world, V victims) { world.freezeWorker(victims.worker, true); },
          [](SimulatedCluster& world, V victims) { world.freezeWorker(victims.worker, false); }),
      lastingFault(
          "cut a worker, its tasks run on",
          [](SimulatedCluster& world, V victims) { world.isolateWorker(victims.worker, true); },
          [](SimulatedCluster& world, V victims) { world.isolateWorker(victims.worker, false); }),
      lastingFault(
          "a slow worker",
          [](SimulatedCluster& world, V victims) {
            world.setWorkerBehaviour(victims.worker, slowFactor, 0);
          },
          [](SimulatedCluster& world, V victims) {
            world.setWorkerBehaviour(victims.worker, 1, 0);
          }),
      lastingFault(
          "a worker fails its work quietly",
          [](SimulatedCluster& world, V victims) {
            world.setWorkerBehaviour(victims.worker, 1, quietFailures);
          },
          [](SimulatedCluster& world, V victims) {
            world.setWorkerBehaviour(victims.worker, 1, 0);
          }),
      {"a worker emptied at short notice", leaveAtShortNotice},
  };
}

FaultTable rackFaults() {
  return {
      lastingFault(
          "a rack cut off",
          [](SimulatedCluster& world, V victims) { cutRack(world, victims.worker, true); },
          [](SimulatedCluster& world, V victims) { cutRack(world, victims.worker, false); }),
      lastingFault(
          "a rack out",
          [](SimulatedCluster& world, V victims) {
            eachInRack(victims.worker, [&](auto place) { world.killWorker(place, false); });
          },
          [](SimulatedCluster& world, V victims) {
            eachInRack(victims.worker, [&](auto place) { world.restartWorker(place); });
          }),
  };
}

}  // namespace

FaultTable workerFaults() {
  return concatenate({oneWorkerFaults(), rackFaults()});
}

}  // namespace aniseline
