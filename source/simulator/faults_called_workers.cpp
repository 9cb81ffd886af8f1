// Faults of called workers and of their agents. docs/design.md 12.3.
#include "simulator/fault_kinds.hpp"

namespace aniseline {

namespace {

constexpr std::int64_t quickRestartMs = 60;  // a restart within any lease
// Minimum duration, so that the drain deadline passes during the fault.
constexpr std::int64_t minDrainFaultMs = 5000;
constexpr std::int64_t veryShortDrainMs = 600;
constexpr std::int64_t delayedOrdersArriveMs = 12'000;  // until the last delayed order has arrived

void restartQuickly(SimulatedCluster& cluster, const FaultTargets& targets) {
  cluster.killCalledWorker(targets.calledWorker);
  cluster.scheduleAfter(quickRestartMs,
                        [&cluster, targets] { cluster.restartCalledWorker(targets.calledWorker); });
}

void drain(FaultInjector&, SimulatedCluster& cluster, const FaultTargets& targets, Fault& fault) {
  fault.duration = std::max(fault.duration, minDrainFaultMs);
  fault.begin = [&cluster, targets] {
    cluster.drainCalledWorker(targets.calledWorker,
                              targets.coinFlip ? shortDrainMs : veryShortDrainMs, downtimeMs);
    return true;
  };
}

void killAgent(FaultInjector&, SimulatedCluster& cluster, const FaultTargets& targets,
               Fault& fault) {
  if (targets.coinFlip)
    // Half of the killed agents are restarted within a second.
    fault.duration = 100 + fault.duration % 900;
  fault.begin = [&cluster, targets] {
    cluster.killAgent(targets.calledWorker);
    return true;
  };
  fault.end = [&cluster, targets] {
    cluster.restartAgent(targets.calledWorker);
  };
}

void killMachine(SimulatedCluster& cluster, const FaultTargets& targets) {
  cluster.killAgent(targets.calledWorker);
  cluster.killCalledWorker(targets.calledWorker);
}
void restartMachine(SimulatedCluster& cluster, const FaultTargets& targets) {
  cluster.restartAgent(targets.calledWorker);
  cluster.restartCalledWorker(targets.calledWorker);
}

void killAllAgents(SimulatedCluster& cluster, const FaultTargets&) {
  for (std::size_t index = 0; index < cluster.calledWorkerCount(); ++index)
    cluster.killAgent(index);
}
void restartAllAgents(SimulatedCluster& cluster, const FaultTargets&) {
  for (std::size_t index = 0; index < cluster.calledWorkerCount(); ++index)
    cluster.restartAgent(index);
}

void deliverLateOrders(SimulatedCluster& cluster, const FaultTargets& targets) {
  cluster.setOrdersDelayed(targets.calledWorker, false);
  // The delayed orders that have not arrived yet still count as a fault.
  const std::string pendingFault = "orders on their way " + std::to_string(cluster.now);
  cluster.recordFault(pendingFault, false);
  cluster.scheduleAfter(delayedOrdersArriveMs,
                        [&cluster, pendingFault] { cluster.recordFault(pendingFault, true); });
}

template <SimulatedCluster::Malfunction malfunction>
FaultKind malfunctionFault(const char* name) {
  return lastingFault(
      name,
      [](SimulatedCluster& cluster, const FaultTargets& targets) {
        cluster.setCalledWorkerMalfunction(targets.calledWorker, malfunction);
      },
      [](SimulatedCluster& cluster, const FaultTargets& targets) {
        cluster.setCalledWorkerMalfunction(targets.calledWorker,
                                           SimulatedCluster::Malfunction::none);
      });
}

FaultTable processFaults() {
  return {
      lastingFault(
          "kill a called worker",
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cluster.killCalledWorker(targets.calledWorker);
          },
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cluster.restartCalledWorker(targets.calledWorker);
          }),
      momentaryFault("a called worker comes back at once", restartQuickly),
      {"a called worker leaves", drain},
      {"kill an agent", killAgent},
      lastingFault(
          "freeze an agent",
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cluster.freezeAgent(targets.calledWorker, true);
          },
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cluster.freezeAgent(targets.calledWorker, false);
          }),
      lastingFault(
          "cut off an agent",
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cluster.isolateAgent(targets.calledWorker, true);
          },
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cluster.isolateAgent(targets.calledWorker, false);
          }),
      lastingFault("a called worker's machine out", killMachine, restartMachine),
      lastingFault("all agents killed", killAllAgents, restartAllAgents),
  };
}

FaultTable malfunctionFaults() {
  return {
      malfunctionFault<SimulatedCluster::Malfunction::stalled>("a called worker stalls"),
      malfunctionFault<SimulatedCluster::Malfunction::rejecting>(
          "a called worker turns starts away"),
      malfunctionFault<SimulatedCluster::Malfunction::unresponsive>("a called worker is mute"),
      malfunctionFault<SimulatedCluster::Malfunction::failing>("a called worker fails all"),
      lastingFault(
          "orders carried out late",
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cluster.setOrdersDelayed(targets.calledWorker, true);
          },
          deliverLateOrders),
  };
}

}  // namespace

FaultTable calledWorkerFaults() {
  return concatenate({processFaults(), malfunctionFaults(), calledWorkerAcknowledgementFaults()});
}

}  // namespace aniseline
