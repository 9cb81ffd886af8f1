// Faults of the network between zones. docs/design.md 12.3.
#include "simulator/fault_kinds.hpp"

namespace aniseline {

namespace {

void cutOff(World& world, std::size_t zone, bool cut) {
  for (std::size_t other = 0; other < faultZones; ++other)
    if (other != zone)
      cutPair(world, zone, other, cut);
}

void splitAll(World& world, bool cut) {
  for (std::size_t zone = 0; zone < faultZones; ++zone)
    cutOff(world, zone, cut);
}

}  // namespace

FaultTable networkFaults() {
  using V = const FaultVictims&;
  return {
      lasting(
          "cut zones both ways",
          [](World& world, V victims) { cutPair(world, victims.from, victims.to, true); },
          [](World& world, V victims) { cutPair(world, victims.from, victims.to, false); }),
      lasting(
          "cut zones one way",
          [](World& world, V victims) { world.cutZones(victims.from, victims.to, true); },
          [](World& world, V victims) { world.cutZones(victims.from, victims.to, false); }),
      lasting(
          "a zone cut off", [](World& world, V victims) { cutOff(world, victims.from, true); },
          [](World& world, V victims) { cutOff(world, victims.from, false); }),
      lasting(
          "centre split three ways", [](World& world, V) { splitAll(world, true); },
          [](World& world, V) { splitAll(world, false); }),
  };
}

}  // namespace aniseline
