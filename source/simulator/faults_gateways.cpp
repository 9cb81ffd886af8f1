// Faults of gateways, and what callers do to a cluster. docs/design.md 12.3.
#include "simulator/fault_kinds.hpp"

namespace aniseline {

namespace {

using V = const FaultVictims&;

constexpr std::size_t swappedGateways = 4;  // the three of first contact and one more
constexpr std::int64_t swapEveryMs = 600, swapDownMs = 300;

// All the machines of first contact and one more; whoever was away meanwhile still knows the
// others. docs/operations.md 4.
void swapFirstContacts(World& world, V) {
  for (std::size_t place = 0; place < swappedGateways; ++place)
    world.after(std::int64_t(place) * swapEveryMs, [&world, place] {
      world.killGateway(place);
      world.moveGateway(place);
      world.after(swapDownMs, [&world, place] { world.restartGateway(place); });
    });
}

void flood(FaultDeck& deck, World&, V, Fault& fault) {
  fault.begin = [&deck] {
    deck.flood();
    return true;
  };
}

void raceOperators(FaultDeck& deck, World&, V, Fault& fault) {
  fault.begin = [&deck] {
    deck.operatorRace();
    return true;
  };
}

}  // namespace

FaultTable gatewayFaults() {
  return {
      lasting(
          "kill a gateway", [](World& world, V victims) { world.killGateway(victims.gateway); },
          [](World& world, V victims) { world.restartGateway(victims.gateway); }),
      lasting(
          "freeze a gateway",
          [](World& world, V victims) { world.freezeGateway(victims.gateway, true); },
          [](World& world, V victims) { world.freezeGateway(victims.gateway, false); }),
      momentary("first contacts swapped one by one", swapFirstContacts),
  };
}

FaultTable callerFaults() {
  return {{"a flood", flood}, {"two operators at once", raceOperators}};
}

}  // namespace aniseline
