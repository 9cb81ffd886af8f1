// Faults aimed at the moment after an acknowledgement: it leaves, and the machine with it.
// docs/design.md 12.3.
#include "simulator/fault_kinds.hpp"

namespace aniseline {

namespace {

using V = const FaultTargets&;

constexpr std::int64_t struckForMs = 1500;       // until those that were struck come back
constexpr std::int64_t diskLostForMs = 500;      // until those without their disk come back
constexpr std::int64_t memberStrikeDelayMs = 2;  // so that the change of members is on its way

bool acknowledged(const ApiResponse& answer) {
  return answer.status < 300;
}
bool acknowledgesJob(const ApiRequest& request, const ApiResponse& answer) {
  return request.kind == RequestKind::submitJob && acknowledged(answer);
}
bool acknowledgesCancel(const ApiRequest& request, const ApiResponse& answer) {
  return request.kind == RequestKind::cancelJob && acknowledged(answer);
}
bool acknowledgesConfig(const ApiRequest& request, const ApiResponse& answer) {
  return request.kind == RequestKind::applyConfig && acknowledged(answer);
}
bool acknowledgesLeaving(const ApiRequest& request, const ApiResponse& answer) {
  return request.kind == RequestKind::syncWorker && request.report.draining && acknowledged(answer);
}
bool confirmsEnding(const ApiRequest& request, const ApiResponse& answer) {
  return request.kind == RequestKind::syncWorker && !request.report.results.empty() &&
         acknowledged(answer);
}
bool confirmsNamedEnding(const ApiRequest& request, const ApiResponse& answer) {
  return request.kind == RequestKind::syncWorker && !request.report.runResults.empty() &&
         acknowledged(answer);
}
bool acknowledgesPackedLeaving(const ApiRequest& request, const ApiResponse& answer) {
  return request.kind == RequestKind::syncWorker && request.report.wantsPackedResponse &&
         request.report.draining && acknowledged(answer);
}

// By turns: disks are lost, all controllers lose power, the struck controllers lose power.
enum class StrikeWay { losesDisk, powerOffAll, powerOffStruck };

void strikeControllers(FaultInjector& deck, SimulatedCluster& world, V victims, std::size_t first) {
  const auto way = StrikeWay(victims.controller % 3);
  for (const std::size_t place : deck.chooseControllersBeside(first, victims)) {
    if (way == StrikeWay::losesDisk && deck.tryLoseDisk(place, victims.coinFlip))
      continue;
    if (way == StrikeWay::powerOffAll)
      powerOffControllers(world);
    else
      world.killController(place, true);
  }
  world.scheduleAfter(struckForMs, [&world] { powerOnControllers(world); });
}

void aimAtControllers(FaultInjector& deck, SimulatedCluster& world, V victims, Fault& fault,
                      FaultInjector::Matches matches) {
  deck.faultOnAcknowledgement(fault, victims, std::move(matches),
                              [&deck, &world, victims](std::size_t first) {
                                strikeControllers(deck, world, victims, first);
                              });
}

FaultKind struckAfter(const char* name, bool (*matches)(const ApiRequest&, const ApiResponse&)) {
  return {name, [matches](FaultInjector& deck, SimulatedCluster& world, V victims, Fault& fault) {
            aimAtControllers(deck, world, victims, fault, matches);
          }};
}

void strikeAfterConfig(FaultInjector& deck, SimulatedCluster& world, V victims, Fault& fault) {
  aimAtControllers(deck, world, victims, fault, acknowledgesConfig);
  fault.begin = [&deck, arm = fault.begin] {
    arm();
    deck.operatorRace();
    return false;
  };
}

void strikeAfterLeaving(FaultInjector& deck, SimulatedCluster& world, V victims, Fault& fault) {
  aimAtControllers(deck, world, victims, fault, acknowledgesLeaving);
  fault.begin = [&deck, &world, victims, arm = fault.begin] {
    arm();
    if (deck.tryRemoveForGood(victims.worker))
      world.drainWorker(victims.worker, shortDrainMs);
    return false;
  };
}

void strikeOnMemberChange(SimulatedCluster& world, std::size_t place) {
  const char* name = "struck while members change";
  world.recordFault(name, false);
  world.scheduleAfter(memberStrikeDelayMs, [&world, place] { world.killController(place, true); });
  world.scheduleAfter(struckForMs, [&world, place, name] {
    world.restartController(place);
    world.recordFault(name, true);
  });
}

void strikeWhileMembersChange(FaultInjector& deck, SimulatedCluster& world, V victims,
                              Fault& fault) {
  auto took = std::make_shared<bool>(false);
  fault.tookEffect = took;
  fault.begin = [&deck, &world, victims, took] {
    std::vector<std::size_t> lost = deck.chooseControllers(victims);
    std::erase_if(lost,
                  [&](std::size_t place) { return !deck.tryLoseDisk(place, victims.coinFlip); });
    if (lost.empty())
      return false;
    world.scheduleAfter(diskLostForMs, [&world, lost] {
      for (const std::size_t place : lost)
        world.restartController(place);
    });
    deck.faultOnMembershipChange([&world, took](std::size_t place) {
      *took = true;
      strikeOnMemberChange(world, place);
    });
    return false;
  };
}

void aimAtOne(FaultInjector& deck, SimulatedCluster& world, V victims, Fault& fault,
              FaultInjector::Matches matches) {
  deck.faultOnAcknowledgement(fault, victims, std::move(matches), [&world](std::size_t place) {
    world.killController(place, true);
    world.scheduleAfter(struckForMs, [&world, place] { world.restartController(place); });
  });
}

void strikeAfterNamedEnding(FaultInjector& deck, SimulatedCluster& world, V victims, Fault& fault) {
  aimAtOne(deck, world, victims, fault, confirmsNamedEnding);
}

void strikeAfterAgentsLeaving(FaultInjector& deck, SimulatedCluster& world, V victims,
                              Fault& fault) {
  aimAtOne(deck, world, victims, fault, acknowledgesPackedLeaving);
  fault.begin = [&world, victims, arm = fault.begin] {
    arm();
    world.drainCalledWorker(victims.calledWorker, shortDrainMs, downtimeMs);
    return false;
  };
}

}  // namespace

FaultTable acknowledgementFaults() {
  return {
      struckAfter("struck after acknowledging a job", acknowledgesJob),
      struckAfter("struck after acknowledging a cancel", acknowledgesCancel),
      {"struck after acknowledging a config", strikeAfterConfig},
      {"struck after acknowledging a leaving", strikeAfterLeaving},
      struckAfter("struck after confirming an ending", confirmsEnding),
      {"struck while members change", strikeWhileMembersChange},
  };
}

FaultTable calledWorkerAcknowledgementFaults() {
  return {
      {"struck after confirming a named ending", strikeAfterNamedEnding},
      {"struck after an agent's word of a leaving", strikeAfterAgentsLeaving},
  };
}

}  // namespace aniseline
