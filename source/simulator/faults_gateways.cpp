// Faults of gateways, and load peaks and conflicts caused by callers and operators.
// docs/design.md 12.3.
#include "simulator/fault_kinds.hpp"

namespace aniseline {

namespace {

constexpr std::size_t swappedGateways = 4;  // the three first contacts and one more gateway
constexpr std::int64_t swapEveryMs = 600, swapDownMs = 300;

// Replaces all first-contact gateways and one more, one by one. A process that was down meanwhile
// still knows the other gateways. docs/operations.md 4.
void swapFirstContacts(SimulatedCluster& cluster, const FaultTargets&) {
  for (std::size_t index = 0; index < swappedGateways; ++index)
    cluster.scheduleAfter(std::int64_t(index) * swapEveryMs, [&cluster, index] {
      cluster.killGateway(index);
      cluster.moveGateway(index);
      cluster.scheduleAfter(swapDownMs, [&cluster, index] { cluster.restartGateway(index); });
    });
}

void flood(FaultInjector& injector, SimulatedCluster&, const FaultTargets&, Fault& fault) {
  fault.begin = [&injector] {
    injector.submitJobFlood();
    return true;
  };
}

void raceOperators(FaultInjector& injector, SimulatedCluster&, const FaultTargets&, Fault& fault) {
  fault.begin = [&injector] {
    injector.startOperatorRace();
    return true;
  };
}

}  // namespace

FaultTable gatewayFaults() {
  return {
      lastingFault(
          "kill a gateway",
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cluster.killGateway(targets.gateway);
          },
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cluster.restartGateway(targets.gateway);
          }),
      lastingFault(
          "freeze a gateway",
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cluster.freezeGateway(targets.gateway, true);
          },
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cluster.freezeGateway(targets.gateway, false);
          }),
      momentaryFault("first contacts swapped one by one", swapFirstContacts),
  };
}

FaultTable callerFaults() {
  return {{"a flood", flood}, {"two operators at once", raceOperators}};
}

}  // namespace aniseline
