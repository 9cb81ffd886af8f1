// Faults of the network between zones. docs/design.md 12.3.
#include "simulator/fault_kinds.hpp"

namespace aniseline {

namespace {

void cutOff(SimulatedCluster& world, std::size_t zone, bool cut) {
  for (std::size_t other = 0; other < simulatedZones; ++other)
    if (other != zone)
      partitionPair(world, zone, other, cut);
}

void splitAll(SimulatedCluster& world, bool cut) {
  for (std::size_t zone = 0; zone < simulatedZones; ++zone)
    cutOff(world, zone, cut);
}

}  // namespace

FaultTable networkFaults() {
  using V = const FaultTargets&;
  return {
      lastingFault(
          "cut zones both ways",
          [](SimulatedCluster& world, V victims) {
            partitionPair(world, victims.fromZone, victims.toZone, true);
          },
          [](SimulatedCluster& world, V victims) {
            partitionPair(world, victims.fromZone, victims.toZone, false);
          }),
      lastingFault(
          "cut zones one way",
          [](SimulatedCluster& world, V victims) {
            world.partitionZones(victims.fromZone, victims.toZone, true);
          },
          [](SimulatedCluster& world, V victims) {
            world.partitionZones(victims.fromZone, victims.toZone, false);
          }),
      lastingFault(
          "a zone cut off",
          [](SimulatedCluster& world, V victims) { cutOff(world, victims.fromZone, true); },
          [](SimulatedCluster& world, V victims) { cutOff(world, victims.fromZone, false); }),
      lastingFault(
          "centre split three ways", [](SimulatedCluster& world, V) { splitAll(world, true); },
          [](SimulatedCluster& world, V) { splitAll(world, false); }),
  };
}

}  // namespace aniseline
