// Faults of controllers: processes, disks and clocks. docs/design.md 12.3.
#include "simulator/fault_kinds.hpp"

namespace aniseline {

namespace {

constexpr std::int64_t longestBriefOutageMs = 1000;  // outage of all controllers at once
constexpr std::int64_t slowDiskMs = 80;         // delay of each sync, longer than a heartbeat round
constexpr std::int64_t moveCooldownMs = 5000;   // until all processes know the new addresses
constexpr std::int64_t clockCooldownMs = 1000;  // until another clock may be wrong
constexpr std::int64_t serialJumps = 12;        // jumps of clocks in one series
constexpr std::int64_t serialJumpIntervalMs = 120;
constexpr std::int64_t longestSerialJumpMs = 2400;

void restartController(SimulatedCluster& cluster, std::size_t index) {
  cluster.restartController(index);
}

// Moves at most as many controllers as may be lost, since two that move while both are down know
// only each other's old address. docs/design.md 3.5.
void moveWithDisks(FaultInjector& injector, SimulatedCluster& cluster, const FaultTargets& targets,
                   Fault& fault) {
  auto moved = std::make_shared<std::vector<std::size_t>>();
  fault.begin = [&injector, &cluster, targets, moved] {
    *moved = injector.chooseControllers(targets);
    if (cluster.now < injector.nextMoveAt || cluster.voterCount() != cluster.configuredVoters())
      return false;
    injector.nextMoveAt = cluster.now + targets.duration + moveCooldownMs;
    injector.movingControllers = moved->size();
    for (const std::size_t index : *moved) {
      cluster.killController(index, true);
      cluster.moveController(index);
    }
    return true;
  };
  fault.end = [&cluster, moved] {
    for (const std::size_t index : *moved)
      cluster.restartController(index);
  };
}

// Sets one clock wrong at a time: two of three clocks that are wrong alike outvote the correct one.
void jumpClock(FaultInjector& injector, SimulatedCluster& cluster, const FaultTargets& targets,
               Fault& fault) {
  auto chosen = std::make_shared<std::vector<std::size_t>>();
  auto tookEffect = std::make_shared<bool>(false);
  fault.begin = [&injector, &cluster, targets, chosen, tookEffect] {
    *chosen = injector.chooseControllers(targets);
    for (const std::size_t index : *chosen) {
      if (cluster.now < injector.nextClockFaultAt)
        continue;
      injector.nextClockFaultAt = cluster.now + targets.duration + clockCooldownMs;
      cluster.setClockOffset(index, targets.clockJump);
      *tookEffect = true;
    }
    return *tookEffect;
  };
  fault.end = [&cluster, chosen, tookEffect] {
    for (const std::size_t index : *chosen)
      if (*tookEffect)
        cluster.setClockOffset(index, 0);
  };
}

// Moves the clocks of all controllers, one after another and all in the same direction, until most
// of them are far off. No median protects from that.
void jumpClocksInTurn(SimulatedCluster& cluster, const FaultTargets& targets) {
  const std::int64_t jump = targets.clockJump % longestSerialJumpMs;
  for (std::int64_t turn = 0; turn < serialJumps && turn * serialJumpIntervalMs < targets.duration;
       ++turn) {
    const std::size_t index = (targets.controller + std::size_t(turn)) % cluster.controllerCount();
    cluster.scheduleAfter(turn * serialJumpIntervalMs, [&cluster, index, jump] {
      // Without a leader nobody may know the time yet. docs/design.md 3.6.
      if (cluster.leader())
        cluster.jumpClock(index, jump);
    });
  }
}

void correctClocks(SimulatedCluster& cluster, const FaultTargets&) {
  for (std::size_t index = 0; index < cluster.controllerCount(); ++index)
    cluster.correctClock(index);
}

void stallDisks(FaultInjector& injector, SimulatedCluster& cluster, const FaultTargets& targets,
                Fault& fault) {
  fault.begin = [&injector, &cluster, targets] {
    for (const std::size_t index : injector.chooseControllers(targets))
      cluster.stallDisk(index, targets.duration);
    return true;
  };
}

void stallDisksOfTwoZones(SimulatedCluster& cluster, const FaultTargets& targets) {
  for (const std::size_t zone : {targets.fromZone, targets.toZone})
    forEachInZone(cluster.controllerCount(), zone,
                  [&](auto index) { cluster.stallDisk(index, targets.duration); });
}

// Kills all controllers at once and restarts them with their disks. This is allowed whatever the
// number of tolerable losses.
void killAllBriefly(SimulatedCluster& cluster, const FaultTargets& targets) {
  for (std::size_t index = 0; index < cluster.controllerCount(); ++index)
    cluster.killController(index, false);
  cluster.scheduleAfter(1 + targets.duration % longestBriefOutageMs,
                        [&cluster] { powerOnControllers(cluster); });
}

void endDiskFull(SimulatedCluster& cluster, std::size_t index) {
  cluster.setDiskFull(index, false);
}

// Returns a `begin` step that takes effect on every controller.
template <class Step>
ControllerStep onAny(Step) {
  return [](FaultInjector&, SimulatedCluster& cluster, std::size_t index, const FaultTargets&) {
    Step{}(cluster, index);
    return true;
  };
}

template <bool moves>
bool loseDisk(FaultInjector& injector, SimulatedCluster&, std::size_t index, const FaultTargets&) {
  return injector.tryLoseDisk(index, moves);
}

}  // namespace

FaultTable controllerFaults() {
  return {
      faultOfControllers("kill a controller",
                         onAny([](SimulatedCluster& cluster, std::size_t index) {
                           cluster.killController(index, false);
                         }),
                         restartController),
      faultOfControllers("power loss of a controller",
                         onAny([](SimulatedCluster& cluster, std::size_t index) {
                           cluster.killController(index, true);
                         }),
                         restartController),
      lastingFault(
          "power loss of all controllers",
          [](SimulatedCluster& cluster, const FaultTargets&) { powerOffControllers(cluster); },
          [](SimulatedCluster& cluster, const FaultTargets&) { powerOnControllers(cluster); }),
      faultOfControllers("disk lost", loseDisk<false>, restartController),
      faultOfControllers("controller replaced at a new address", loseDisk<true>, restartController),
      {"controller moved with its disk", moveWithDisks},
      faultOfControllers("freeze a controller",
                         onAny([](SimulatedCluster& cluster, std::size_t index) {
                           cluster.freezeController(index, true);
                         }),
                         [](SimulatedCluster& cluster, std::size_t index) {
                           cluster.freezeController(index, false);
                         }),
      momentaryFault("kill all controllers", killAllBriefly),
  };
}

FaultTable machineFaults() {
  return {
      {"stall a disk", stallDisks},
      momentaryFault("stall two disks", stallDisksOfTwoZones),
      faultOfControllers(
          "slow a disk", onAny([](SimulatedCluster& cluster, std::size_t index) {
            cluster.slowDisk(index, slowDiskMs);
          }),
          [](SimulatedCluster& cluster, std::size_t index) { cluster.slowDisk(index, 0); }),
      faultOfControllers("disk full", onAny([](SimulatedCluster& cluster, std::size_t index) {
                           cluster.setDiskFull(index, true);
                         }),
                         endDiskFull),
      {"jump a clock", jumpClock},
      lastingFault("jump all clocks in turn", jumpClocksInTurn, correctClocks),
  };
}

FaultTable severalControllerFaults() {
  return {
      faultOfControllers("controllers cut off",
                         onAny([](SimulatedCluster& cluster, std::size_t index) {
                           cluster.isolateController(index, true);
                         }),
                         [](SimulatedCluster& cluster, std::size_t index) {
                           cluster.isolateController(index, false);
                         }),
  };
}

}  // namespace aniseline
