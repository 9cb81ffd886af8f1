// What the kinds of fault are made of: their victims, what they share, and a table for each
// subject. docs/design.md 12.3.
#ifndef ANISELINE_SIMULATOR_FAULT_KINDS_HPP
#define ANISELINE_SIMULATOR_FAULT_KINDS_HPP
#include "simulator/fault_injector.hpp"

namespace aniseline {

// The zones, gateways, workers and racks of every simulated cluster.
constexpr std::size_t simulatedZones = 3, simulatedGateways = 7, simulatedWorkers = 11,
                      workersPerRack = 3;

// Whom one fault hits, drawn for every fault whether its kind looks at it or not, so that the
// schedule of a seed does not hang on the kind.
struct FaultTargets {
  std::size_t controller, gateway, worker, fromZone, toZone, calledWorker = 0;
  std::size_t controllerCount = 1,
              nextController =
                  0;  // controllers at once, and where to look for those beside the first
  bool prefersLeader, coinFlip;
  std::int64_t clockJump, duration;
};

// One kind of fault: `plan` sets what begins the fault and what ends it.
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
FaultTable acknowledgementFaults();              // aimed at the moment after an acknowledgement
FaultTable calledWorkerAcknowledgementFaults();  // the same, of what agents report
FaultTable calledWorkerFaults();                 // need workers that are called
FaultTable severalControllerFaults();            // need more voters than three

// --- what the tables share ---
constexpr std::int64_t shortDrainMs = 2500;  // a worker's, to leave within
constexpr std::int64_t downtimeMs = 1500;    // until one that is called and left comes back

// The kinds of several tables, in their order.
FaultTable concatenate(std::initializer_list<FaultTable> tables);

// One step of a fault whose victims are known from the start.
using FaultStep = void (*)(SimulatedCluster&, const FaultTargets&);
// A kind that takes effect always, and is lifted at its end.
FaultKind lastingFault(const char* name, FaultStep begin, FaultStep end);
// A kind that takes effect always, and needs no end.
FaultKind momentaryFault(const char* name, FaultStep begin);

// Does a step to one controller; false: it could not take effect there.
using ControllerStep = bool (*)(FaultInjector&, SimulatedCluster&, std::size_t index,
                                const FaultTargets&);
using ControllerRepair = void (*)(SimulatedCluster&, std::size_t index);
// A kind of one controller, or of as many as may be lost at once: the victims are chosen when the
// fault begins.
FaultKind faultOfControllers(const char* name, ControllerStep begin, ControllerRepair end);

// Calls `use` with the index of each process of a kind that stands in the zone.
template <class Use>
void forEachInZone(std::size_t count, std::size_t zone, Use use) {
  for (std::size_t index = zone; index < count; index += simulatedZones) {
    use(index);
  }
}
void partitionPair(SimulatedCluster& cluster, std::size_t from, std::size_t to, bool cut);
void powerOffControllers(SimulatedCluster& cluster);
void powerOnControllers(SimulatedCluster& cluster);
// Every process of a zone loses power: controllers, gateways, workers and agents.
void powerOffZone(SimulatedCluster& cluster, std::size_t zone);
// What is down starts again, but for these controllers, which stay away.
void powerOnZone(SimulatedCluster& cluster, std::size_t zone,
                 const std::vector<std::size_t>& controllersAway = {});

}  // namespace aniseline

#endif  // ANISELINE_SIMULATOR_FAULT_KINDS_HPP
