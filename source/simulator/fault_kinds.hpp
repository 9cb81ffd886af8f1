// Building blocks of the kinds of fault: their targets, shared helpers, and a table of kinds for
// each subject. docs/design.md 12.3.
#ifndef ANISELINE_SIMULATOR_FAULT_KINDS_HPP
#define ANISELINE_SIMULATOR_FAULT_KINDS_HPP
#include "simulator/fault_injector.hpp"

namespace aniseline {

// The numbers of zones, gateways and workers of every simulated cluster, and the size of its racks.
constexpr std::size_t simulatedZones = 3, simulatedGateways = 7, simulatedWorkers = 11,
                      workersPerRack = 3;

// The targets of one fault. All of them are drawn for every fault, even where its kind does not use
// them, so that the schedule of a seed does not depend on the kind.
struct FaultTargets {
  std::size_t controller, gateway, worker, fromZone, toZone, calledWorker = 0;
  // The number of controllers to hit at once, and the index at which the search for those in
  // addition to the first one starts.
  std::size_t controllerCount = 1, nextController = 0;
  bool prefersLeader, coinFlip;
  std::int64_t clockJump, duration;
};

// One kind of fault. `plan` sets the functions that begin and end the fault.
struct FaultKind {
  const char* name;
  std::function<void(FaultInjector&, SimulatedCluster&, const FaultTargets&, Fault&)> plan;
};
using FaultTable = std::vector<FaultKind>;

// --- tables, by subject ---
FaultTable controllerFaults();
FaultTable networkFaults();
FaultTable machineFaults();  // disks and clocks of controllers
FaultTable workerFaults();
FaultTable zoneFaults();
FaultTable gatewayFaults();
FaultTable callerFaults();
FaultTable acknowledgementFaults();              // right after an acknowledgement
FaultTable calledWorkerAcknowledgementFaults();  // the same, for reports of agents
FaultTable calledWorkerFaults();                 // require called workers
FaultTable severalControllerFaults();            // require more than three voters

// --- shared by the tables ---
constexpr std::int64_t shortDrainMs = 2500;  // time within which a draining worker must leave
constexpr std::int64_t downtimeMs = 1500;    // from a called worker's exit to its restart

// Returns the kinds of several tables, in order.
FaultTable concatenate(std::initializer_list<FaultTable> tables);

// Begins or ends a fault whose targets are fixed when it is drawn.
using FaultStep = void (*)(SimulatedCluster&, const FaultTargets&);
// Returns a kind that always takes effect and is lifted at its end.
FaultKind lastingFault(const char* name, FaultStep begin, FaultStep end);
// Returns a kind that always takes effect and needs no end.
FaultKind momentaryFault(const char* name, FaultStep begin);

// Begins a fault of one controller. Returns false if it could not take effect there.
using ControllerStep = bool (*)(FaultInjector&, SimulatedCluster&, std::size_t index,
                                const FaultTargets&);
using ControllerRepair = void (*)(SimulatedCluster&, std::size_t index);
// Returns a kind that hits one controller, or up to as many as may be lost at once. The controllers
// are chosen when the fault begins.
FaultKind faultOfControllers(const char* name, ControllerStep begin, ControllerRepair end);

// Calls `use` with the index of each process in the zone, of a kind with `count` processes.
template <class Action>
void forEachInZone(std::size_t count, std::size_t zone, Action action) {
  for (std::size_t index = zone; index < count; index += simulatedZones) {
    action(index);
  }
}
void partitionPair(SimulatedCluster& cluster, std::size_t from, std::size_t to, bool cut);
void powerOffControllers(SimulatedCluster& cluster);
void powerOnControllers(SimulatedCluster& cluster);
// Powers off every process of a zone: controllers, gateways, workers and agents.
void powerOffZone(SimulatedCluster& cluster, std::size_t zone);
// Starts the processes of a zone that are down, except for the controllers in `controllersAway`.
void powerOnZone(SimulatedCluster& cluster, std::size_t zone,
                 const std::vector<std::size_t>& controllersAway = {});

}  // namespace aniseline

#endif  // ANISELINE_SIMULATOR_FAULT_KINDS_HPP
