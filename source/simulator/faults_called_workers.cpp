// Faults of workers that are called, and of their agents. docs/design.md 12.3.
#include "simulator/fault_kinds.hpp"

namespace aniseline {

namespace {

using V = const FaultTargets&;

constexpr std::int64_t backAtOnceMs = 60;      // a restart faster than any lease
constexpr std::int64_t leavingLastsMs = 5000;  // at least, so that the notice runs out within it
constexpr std::int64_t hastyNoticeMs = 600;
constexpr std::int64_t lateOrdersMs = 12'000;  // until the last order held back has arrived

void comeBackAtOnce(SimulatedCluster& world, V victims) {
  world.killCalledWorker(victims.calledWorker);
  world.scheduleAfter(backAtOnceMs,
                      [&world, victims] { world.restartCalledWorker(victims.calledWorker); });
}

void leave(FaultInjector&, SimulatedCluster& world, V victims, Fault& fault) {
  fault.duration = std::max(fault.duration, leavingLastsMs);
  fault.begin = [&world, victims] {
    world.drainCalledWorker(victims.calledWorker, victims.coinFlip ? shortDrainMs : hastyNoticeMs,
                            downtimeMs);
    return true;
  };
}

void killAgent(FaultInjector&, SimulatedCluster& world, V victims, Fault& fault) {
  if (victims.coinFlip)
    fault.duration = 100 + fault.duration % 900;  // most are started again at once
  fault.begin = [&world, victims] {
    world.killAgent(victims.calledWorker);
    return true;
  };
  fault.end = [&world, victims] {
    world.restartAgent(victims.calledWorker);
  };
}

void killMachine(SimulatedCluster& world, V victims) {
  world.killAgent(victims.calledWorker);
  world.killCalledWorker(victims.calledWorker);
}
void restartMachine(SimulatedCluster& world, V victims) {
  world.restartAgent(victims.calledWorker);
  world.restartCalledWorker(victims.calledWorker);
}

void killAllAgents(SimulatedCluster& world, V) {
  for (std::size_t place = 0; place < world.calledWorkerCount(); ++place)
    world.killAgent(place);
}
void restartAllAgents(SimulatedCluster& world, V) {
  for (std::size_t place = 0; place < world.calledWorkerCount(); ++place)
    world.restartAgent(place);
}

void deliverLateOrders(SimulatedCluster& world, V victims) {
  world.setOrdersDelayed(victims.calledWorker, false);
  // What is still on its way is trouble too.
  const std::string still = "orders on their way " + std::to_string(world.now);
  world.recordFault(still, false);
  world.scheduleAfter(lateOrdersMs, [&world, still] { world.recordFault(still, true); });
}

template <SimulatedCluster::Malfunction sickness>
FaultKind sick(const char* name) {
  return lastingFault(
      name,
      [](SimulatedCluster& world, V victims) {
        world.setCalledWorkerMalfunction(victims.calledWorker, sickness);
      },
      [](SimulatedCluster& world, V victims) {
        world.setCalledWorkerMalfunction(victims.calledWorker, SimulatedCluster::Malfunction::none);
      });
}

FaultTable processFaults() {
  return {
      lastingFault(
          "kill a called worker",
          [](SimulatedCluster& world, V victims) { world.killCalledWorker(victims.calledWorker); },
          [](SimulatedCluster& world, V victims) {
            world.restartCalledWorker(victims.calledWorker);
          }),
      momentaryFault("a called worker comes back at once", comeBackAtOnce),
      {"a called worker leaves", leave},
      {"kill an agent", killAgent},
      lastingFault(
          "freeze an agent",
          [](SimulatedCluster& world, V victims) { world.freezeAgent(victims.calledWorker, true); },
          [](SimulatedCluster& world, V victims) {
            world.freezeAgent(victims.calledWorker, false);
          }),
      lastingFault(
          "cut off an agent",
          [](SimulatedCluster& world, V victims) {
            world.isolateAgent(victims.calledWorker, true);
          },
          [](SimulatedCluster& world, V victims) {
            world.isolateAgent(victims.calledWorker, false);
          }),
      lastingFault("a called worker's machine out", killMachine, restartMachine),
      lastingFault("all agents killed", killAllAgents, restartAllAgents),
  };
}

FaultTable sicknesses() {
  return {
      sick<SimulatedCluster::Malfunction::stalled>("a called worker stalls"),
      sick<SimulatedCluster::Malfunction::rejecting>("a called worker turns starts away"),
      sick<SimulatedCluster::Malfunction::unresponsive>("a called worker is mute"),
      sick<SimulatedCluster::Malfunction::failing>("a called worker fails all"),
      lastingFault(
          "orders carried out late",
          [](SimulatedCluster& world, V victims) {
            world.setOrdersDelayed(victims.calledWorker, true);
          },
          deliverLateOrders),
  };
}

}  // namespace

FaultTable calledWorkerFaults() {
  return concatenate({processFaults(), sicknesses(), calledWorkerAcknowledgementFaults()});
}

}  // namespace aniseline
