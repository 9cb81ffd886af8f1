// Faults of all processes in one zone. docs/design.md 12.3.
#include "simulator/fault_kinds.hpp"

namespace aniseline {

namespace {

constexpr std::int64_t zoneDrainMs = 2000;  // time that the workers of the zone have to drain
// Time until the zone's controllers and gateways are killed.
constexpr std::int64_t serversKilledAfterMs = 4500;
// Minimum duration, so that all processes of the zone are down for a while.
constexpr std::int64_t minZoneDrainFaultMs = 7000;

void freezeZone(SimulatedCluster& cluster, std::size_t zone, bool frozen) {
  forEachInZone(cluster.controllerCount(), zone,
                [&](auto index) { cluster.freezeController(index, frozen); });
  forEachInZone(simulatedGateways, zone, [&](auto index) { cluster.freezeGateway(index, frozen); });
  forEachInZone(simulatedWorkers, zone, [&](auto index) { cluster.freezeWorker(index, frozen); });
  forEachInZone(cluster.calledWorkerCount(), zone,
                [&](auto index) { cluster.freezeAgent(index, frozen); });
}

void killServersIn(SimulatedCluster& cluster, std::size_t zone) {
  forEachInZone(cluster.controllerCount(), zone,
                [&](auto index) { cluster.killController(index, true); });
  forEachInZone(simulatedGateways, zone, [&](auto index) { cluster.killGateway(index); });
}

void drainZone(FaultInjector& injector, SimulatedCluster& cluster, const FaultTargets& targets,
               Fault& fault) {
  fault.duration = std::max(fault.duration, minZoneDrainFaultMs);
  fault.begin = [&cluster, targets] {
    forEachInZone(simulatedWorkers, targets.fromZone,
                  [&](auto index) { cluster.drainWorker(index, zoneDrainMs); });
    cluster.scheduleAfter(serversKilledAfterMs,
                          [&cluster, targets] { killServersIn(cluster, targets.fromZone); });
    return true;
  };
  fault.end = [&injector, &cluster, targets] {
    powerOnZone(cluster, targets.fromZone);
    forEachInZone(simulatedWorkers, targets.fromZone, [&](auto index) {
      cluster.reinstateWorker(index);
      injector.reinstate(index);
    });
  };
}

}  // namespace

FaultTable zoneFaults() {
  return {
      lastingFault(
          "a zone out",
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            powerOffZone(cluster, targets.fromZone);
          },
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            powerOnZone(cluster, targets.fromZone);
          }),
      lastingFault(
          "a zone frozen",
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            freezeZone(cluster, targets.fromZone, true);
          },
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            freezeZone(cluster, targets.fromZone, false);
          }),
      {"a zone emptied at short notice", drainZone},
  };
}

}  // namespace aniseline
