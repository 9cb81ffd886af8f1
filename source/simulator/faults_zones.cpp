// Faults of all that stands in one zone. docs/design.md 12.3.
#include "simulator/fault_kinds.hpp"

namespace aniseline {

namespace {

constexpr std::int64_t zoneNoticeMs = 2000;      // given to the workers of a zone that is emptied
constexpr std::int64_t zoneEmptyAfterMs = 4500;  // until its controllers and gateways go too
constexpr std::int64_t zoneEmptyLastsMs =
    7000;  // at least, so that all of them are away for a time

void killZone(SimulatedCluster& world, std::size_t zone) {
  forEachInZone(world.controllerCount(), zone,
                [&](auto place) { world.killController(place, true); });
  forEachInZone(simulatedGateways, zone, [&](auto place) { world.killGateway(place); });
  forEachInZone(simulatedWorkers, zone, [&](auto place) { world.killWorker(place, false); });
  forEachInZone(world.calledWorkerCount(), zone, [&](auto place) {
    world.killAgent(place);
    world.killCalledWorker(place);
  });
}

void restartZone(SimulatedCluster& world, std::size_t zone) {
  forEachInZone(world.controllerCount(), zone, [&](auto place) { world.restartController(place); });
  forEachInZone(simulatedGateways, zone, [&](auto place) { world.restartGateway(place); });
  forEachInZone(simulatedWorkers, zone, [&](auto place) { world.restartWorker(place); });
  forEachInZone(world.calledWorkerCount(), zone, [&](auto place) {
    world.restartAgent(place);
    world.restartCalledWorker(place);
  });
}

void freezeZone(SimulatedCluster& world, std::size_t zone, bool frozen) {
  forEachInZone(world.controllerCount(), zone,
                [&](auto place) { world.freezeController(place, frozen); });
  forEachInZone(simulatedGateways, zone, [&](auto place) { world.freezeGateway(place, frozen); });
  forEachInZone(simulatedWorkers, zone, [&](auto place) { world.freezeWorker(place, frozen); });
  forEachInZone(world.calledWorkerCount(), zone,
                [&](auto place) { world.freezeAgent(place, frozen); });
}

void killServersOf(SimulatedCluster& world, std::size_t zone) {
  forEachInZone(world.controllerCount(), zone,
                [&](auto place) { world.killController(place, true); });
  forEachInZone(simulatedGateways, zone, [&](auto place) { world.killGateway(place); });
}

void emptyZone(FaultInjector& deck, SimulatedCluster& world, const FaultTargets& victims,
               Fault& fault) {
  fault.duration = std::max(fault.duration, zoneEmptyLastsMs);
  fault.begin = [&world, victims] {
    forEachInZone(simulatedWorkers, victims.fromZone,
                  [&](auto place) { world.drainWorker(place, zoneNoticeMs); });
    world.scheduleAfter(zoneEmptyAfterMs,
                        [&world, victims] { killServersOf(world, victims.fromZone); });
    return true;
  };
  fault.end = [&deck, &world, victims] {
    restartZone(world, victims.fromZone);
    forEachInZone(simulatedWorkers, victims.fromZone, [&](auto place) {
      world.reinstateWorker(place);
      deck.reinstate(place);
    });
  };
}

}  // namespace

FaultTable zoneFaults() {
  using V = const FaultTargets&;
  return {
      lastingFault(
          "a zone out",
          [](SimulatedCluster& world, V victims) { killZone(world, victims.fromZone); },
          [](SimulatedCluster& world, V victims) { restartZone(world, victims.fromZone); }),
      lastingFault(
          "a zone frozen",
          [](SimulatedCluster& world, V victims) { freezeZone(world, victims.fromZone, true); },
          [](SimulatedCluster& world, V victims) { freezeZone(world, victims.fromZone, false); }),
      {"a zone emptied at short notice", emptyZone},
  };
}

}  // namespace aniseline
