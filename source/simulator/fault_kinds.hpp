// What the kinds of fault are made of: their victims, what they share, and a table for each
// subject. docs/design.md 12.3.
#pragma once
#include "simulator/faults.hpp"

namespace aniseline {

// The zones, gateways, workers and racks of every simulated cluster.
constexpr std::size_t faultZones = 3, faultGateways = 7, faultWorkers = 11, workersPerRack = 3;

// Whom one fault hits, drawn for every fault whether its kind looks at it or not, so that the
// schedule of a seed does not hang on the kind.
struct FaultVictims {
  std::size_t controller, gateway, worker, from, to, called = 0;
  std::size_t count = 1,
              other = 0;  // controllers at once, and where to look for those beside the first
  bool leader, coin;
  std::int64_t jump, length;
};

// One kind of fault: `plan` sets what begins the fault and what ends it.
struct FaultKind {
  const char* name;
  std::function<void(FaultDeck&, World&, const FaultVictims&, Fault&)> plan;
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
FaultTable strikes();                  // aimed at the moment after an acknowledgement
FaultTable calledWorkerStrikes();      // the same, of what agents report
FaultTable calledWorkerFaults();       // need workers that are called; with their strikes
FaultTable severalControllerFaults();  // need more voters than three

// --- what the tables share ---
constexpr std::int64_t shortNoticeMs = 2500;  // a worker's, to leave within
constexpr std::int64_t awayForMs = 1500;      // until one that is called and left comes back

// The kinds of several tables, in their order.
FaultTable joined(std::initializer_list<FaultTable> tables);

// One step of a fault whose victims are known from the start.
using FaultStep = void (*)(World&, const FaultVictims&);
// A kind that takes effect always, and is lifted at its end.
FaultKind lasting(const char* name, FaultStep begin, FaultStep end);
// A kind that takes effect always, and needs no end.
FaultKind momentary(const char* name, FaultStep begin);

// Does a step to one controller; false: it could not take effect there.
using ControllerStep = bool (*)(FaultDeck&, World&, std::size_t place, const FaultVictims&);
using ControllerMend = void (*)(World&, std::size_t place);
// A kind of one controller, or of as many as may be lost at once: the victims are chosen when the
// fault begins.
FaultKind ofControllers(const char* name, ControllerStep begin, ControllerMend end);

// Every process of a zone, by place.
template <class Use>
void eachOfZone(std::size_t count, std::size_t zone, Use use) {
  for (std::size_t place = zone; place < count; place += faultZones)
    use(place);
}
void cutPair(World& world, std::size_t from, std::size_t to, bool cut);
void powerOff(World& world);
void powerOn(World& world);

}  // namespace aniseline
