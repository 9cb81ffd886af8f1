// Faults of gateways, and what callers do to a cluster. docs/design.md 12.3.
#include "simulator/fault_kinds.hpp"

namespace aniseline {

namespace {

using V = const FaultTargets&;

constexpr std::size_t swappedGateways = 4;  // the three of first contact and one more
constexpr std::int64_t swapEveryMs = 600, swapDownMs = 300;

// All the machines of first contact and one more; whoever was away meanwhile still knows the
// others. docs/operations.md 4.
void swapFirstContacts(SimulatedCluster& world, V) {
  for (std::size_t place = 0; place < swappedGateways; ++place)
    world.scheduleAfter(std::int64_t(place) * swapEveryMs, [&world, place] {
      world.killGateway(place);
      world.moveGateway(place);
      world.scheduleAfter(swapDownMs, [&world, place] { world.restartGateway(place); });
    });
}

void flood(FaultInjector& deck, SimulatedCluster&, V, Fault& fault) {
  fault.begin = [&deck] {
    deck.flood();
    return true;
  };
}

void raceOperators(FaultInjector& deck, SimulatedCluster&, V, Fault& fault) {
  fault.begin = [&deck] {
    deck.operatorRace();
    return true;
  };
}

}  // namespace

FaultTable gatewayFaults() {
  return {
      lastingFault(
          "kill a gateway",
          [](SimulatedCluster& world, V victims) { world.killGateway(victims.gateway); },
          [](SimulatedCluster& world, V victims) { world.restartGateway(victims.gateway); }),
      lastingFault(
          "freeze a gateway",
          [](SimulatedCluster& world, V victims) { world.freezeGateway(victims.gateway, true); },
          [](SimulatedCluster& world, V victims) { world.freezeGateway(victims.gateway, false); }),
      momentaryFault("first contacts swapped one by one", swapFirstContacts),
  };
}

FaultTable callerFaults() {
  return {{"a flood", flood}, {"two operators at once", raceOperators}};
}

}  // namespace aniseline
