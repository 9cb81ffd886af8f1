// Faults of controllers: processes, disks and clocks. docs/design.md 12.3.
#include "simulator/fault_kinds.hpp"

namespace aniseline {

namespace {

constexpr std::int64_t slowDiskMs = 80;     // of each sync: more than a round of heartbeats
constexpr std::int64_t moveRestMs = 5000;   // until all know the addresses of those that moved
constexpr std::int64_t clockRestMs = 1000;  // until the next clock may lie

void restartController(SimulatedCluster& world, std::size_t place) {
  world.restartController(place);
}

// No more than may be lost, as two that move while both are down know only each other's old
// address. docs/design.md 3.5.
void moveWithDisks(FaultInjector& deck, SimulatedCluster& world, const FaultTargets& victims,
                   Fault& fault) {
  auto moved = std::make_shared<std::vector<std::size_t>>();
  fault.begin = [&deck, &world, victims, moved] {
    *moved = deck.chooseControllers(victims);
    if (world.now < deck.nextMoveAt || world.voterCount() != world.configuredVoters())
      return false;
    deck.nextMoveAt = world.now + victims.duration + moveRestMs;
    deck.movingControllers = moved->size();
    for (const std::size_t place : *moved) {
      world.killController(place, true);
      world.moveController(place);
    }
    return true;
  };
  fault.end = [&world, moved] {
    for (const std::size_t place : *moved)
      world.restartController(place);
  };
}

// One clock may lie at a time: two of three that lie alike outvote the truth.
void jumpClock(FaultInjector& deck, SimulatedCluster& world, const FaultTargets& victims,
               Fault& fault) {
  auto chosen = std::make_shared<std::vector<std::size_t>>();
  auto lying = std::make_shared<bool>(false);
  fault.begin = [&deck, &world, victims, chosen, lying] {
    *chosen = deck.chooseControllers(victims);
    for (const std::size_t place : *chosen) {
      if (world.now < deck.nextClockFaultAt)
        continue;
      deck.nextClockFaultAt = world.now + victims.duration + clockRestMs;
      world.setClockOffset(place, victims.clockJump);
      *lying = true;
    }
    return *lying;
  };
  fault.end = [&world, chosen, lying] {
    for (const std::size_t place : *chosen)
      if (*lying)
        world.setClockOffset(place, 0);
  };
}

void stallDisks(FaultInjector& deck, SimulatedCluster& world, const FaultTargets& victims,
                Fault& fault) {
  fault.begin = [&deck, &world, victims] {
    for (const std::size_t place : deck.chooseControllers(victims))
      world.stallDisk(place, victims.duration);
    return true;
  };
}

void stallDisksOfTwoZones(SimulatedCluster& world, const FaultTargets& victims) {
  for (const std::size_t zone : {victims.fromZone, victims.toZone})
    forEachInZone(world.controllerCount(), zone,
                  [&](auto place) { world.stallDisk(place, victims.duration); });
}

void freeDisk(SimulatedCluster& world, std::size_t place) {
  world.setDiskFull(place, false);
  world.restartController(place);
}

// `begin` of a kind that takes effect on every controller it is tried on.
template <class Step>
ControllerStep onAny(Step) {
  return [](FaultInjector&, SimulatedCluster& world, std::size_t place, const FaultTargets&) {
    Step{}(world, place);
    return true;
  };
}

template <bool moves>
bool loseDisk(FaultInjector& deck, SimulatedCluster&, std::size_t place, const FaultTargets&) {
  return deck.tryLoseDisk(place, moves);
}

}  // namespace

FaultTable controllerFaults() {
  return {
      faultOfControllers("kill a controller", onAny([](SimulatedCluster& world, std::size_t place) {
                           world.killController(place, false);
                         }),
                         restartController),
      faultOfControllers("power loss of a controller",
                         onAny([](SimulatedCluster& world, std::size_t place) {
                           world.killController(place, true);
                         }),
                         restartController),
      lastingFault(
          "power loss of all controllers",
          [](SimulatedCluster& world, const FaultTargets&) { powerOffControllers(world); },
          [](SimulatedCluster& world, const FaultTargets&) { powerOnControllers(world); }),
      faultOfControllers("disk lost", loseDisk<false>, restartController),
      faultOfControllers("controller replaced at a new address", loseDisk<true>, restartController),
      {"controller moved with its disk", moveWithDisks},
      faultOfControllers(
          "freeze a controller", onAny([](SimulatedCluster& world, std::size_t place) {
            world.freezeController(place, true);
          }),
          [](SimulatedCluster& world, std::size_t place) { world.freezeController(place, false); }),
  };
}

FaultTable machineFaults() {
  return {
      {"stall a disk", stallDisks},
      momentaryFault("stall two disks", stallDisksOfTwoZones),
      faultOfControllers(
          "slow a disk", onAny([](SimulatedCluster& world, std::size_t place) {
            world.slowDisk(place, slowDiskMs);
          }),
          [](SimulatedCluster& world, std::size_t place) { world.slowDisk(place, 0); }),
      faultOfControllers("disk full", onAny([](SimulatedCluster& world, std::size_t place) {
                           world.setDiskFull(place, true);
                         }),
                         freeDisk),
      {"jump a clock", jumpClock},
  };
}

FaultTable severalControllerFaults() {
  return {
      faultOfControllers("controllers cut off",
                         onAny([](SimulatedCluster& world, std::size_t place) {
                           world.isolateController(place, true);
                         }),
                         [](SimulatedCluster& world, std::size_t place) {
                           world.isolateController(place, false);
                         }),
  };
}

}  // namespace aniseline
