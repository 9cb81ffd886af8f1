// Faults of workers and of racks of them. docs/design.md 12.3.
#include "simulator/fault_kinds.hpp"

namespace aniseline {

namespace {

using V = const FaultVictims&;

constexpr std::int64_t leavingLastsMs = 5000;  // at least, so that the notice runs out within it
constexpr double slowFactor = 6;               // times the runtime of its tasks
constexpr double quietFailures = 0.5;          // of its tasks

// Every worker of the rack that a worker stands in.
template <class Use>
void eachInRack(std::size_t worker, Use use) {
  const std::size_t first = worker / workersPerRack * workersPerRack;
  for (std::size_t place = first; place < std::min(first + workersPerRack, faultWorkers); ++place)
    use(place);
}

void cutRack(World& world, std::size_t worker, bool cut) {
  eachInRack(worker, [&](auto place) { world.cutWorker(place, cut); });
}

void vanish(FaultDeck& deck, World& world, V victims, Fault& fault) {
  fault.begin = [&deck, &world, victims] {
    if (!deck.killForGood(victims.worker))
      return false;
    world.killWorker(victims.worker, true);
    return true;
  };
}

void leaveAtShortNotice(FaultDeck& deck, World& world, V victims, Fault& fault) {
  fault.length = std::max(fault.length, leavingLastsMs);
  fault.begin = [&deck, &world, victims] {
    if (!deck.killForGood(victims.worker))
      return false;
    world.leaveWorker(victims.worker, shortNoticeMs);
    return true;
  };
}

FaultTable oneWorkerFaults() {
  return {
      lasting(
          "kill a worker", [](World& world, V victims) { world.killWorker(victims.worker, false); },
          [](World& world, V victims) { world.restartWorker(victims.worker); }),
      {"a worker vanishes", vanish},
      lasting(
          "freeze a worker",
          [](World& world, V victims) { world.freezeWorker(victims.worker, true); },
          [](World& world, V victims) { world.freezeWorker(victims.worker, false); }),
      lasting(
          "cut a worker, its tasks run on",
          [](World& world, V victims) { world.cutWorker(victims.worker, true); },
          [](World& world, V victims) { world.cutWorker(victims.worker, false); }),
      lasting(
          "a slow worker",
          [](World& world, V victims) { world.setWorker(victims.worker, slowFactor, 0); },
          [](World& world, V victims) { world.setWorker(victims.worker, 1, 0); }),
      lasting(
          "a worker fails its work quietly",
          [](World& world, V victims) { world.setWorker(victims.worker, 1, quietFailures); },
          [](World& world, V victims) { world.setWorker(victims.worker, 1, 0); }),
      {"a worker emptied at short notice", leaveAtShortNotice},
  };
}

FaultTable rackFaults() {
  return {
      lasting(
          "a rack cut off", [](World& world, V victims) { cutRack(world, victims.worker, true); },
          [](World& world, V victims) { cutRack(world, victims.worker, false); }),
      lasting(
          "a rack out",
          [](World& world, V victims) {
            eachInRack(victims.worker, [&](auto place) { world.killWorker(place, false); });
          },
          [](World& world, V victims) {
            eachInRack(victims.worker, [&](auto place) { world.restartWorker(place); });
          }),
  };
}

}  // namespace

FaultTable workerFaults() {
  return joined({oneWorkerFaults(), rackFaults()});
}

}  // namespace aniseline
