// Faults of the network between zones. docs/design.md 12.3.
#include "simulator/fault_kinds.hpp"

namespace aniseline {

namespace {

void isolateZone(SimulatedCluster& cluster, std::size_t zone, bool cut) {
  for (std::size_t other = 0; other < simulatedZones; ++other)
    if (other != zone)
      partitionPair(cluster, zone, other, cut);
}

void splitAll(SimulatedCluster& cluster, bool cut) {
  for (std::size_t zone = 0; zone < simulatedZones; ++zone)
    isolateZone(cluster, zone, cut);
}

}  // namespace

FaultTable networkFaults() {
  return {
      lastingFault(
          "cut zones both ways",
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            partitionPair(cluster, targets.fromZone, targets.toZone, true);
          },
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            partitionPair(cluster, targets.fromZone, targets.toZone, false);
          }),
      lastingFault(
          "cut zones one way",
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cluster.partitionZones(targets.fromZone, targets.toZone, true);
          },
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cluster.partitionZones(targets.fromZone, targets.toZone, false);
          }),
      lastingFault(
          "a zone cut off",
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            isolateZone(cluster, targets.fromZone, true);
          },
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            isolateZone(cluster, targets.fromZone, false);
          }),
      lastingFault(
          "centre split three ways",
          [](SimulatedCluster& cluster, const FaultTargets&) { splitAll(cluster, true); },
          [](SimulatedCluster& cluster, const FaultTargets&) { splitAll(cluster, false); }),
  };
}

}  // namespace aniseline
