// Faults aimed at the moment after an acknowledgement: it leaves, and the machine with it.
// docs/design.md 12.3.
#include "simulator/fault_kinds.hpp"

namespace aniseline {

namespace {

using V = const FaultVictims&;

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
  return request.kind == RequestKind::sync && request.report.leaving && acknowledged(answer);
}
bool confirmsEnding(const ApiRequest& request, const ApiResponse& answer) {
  return request.kind == RequestKind::sync && !request.report.endings.empty() &&
         acknowledged(answer);
}
bool confirmsNamedEnding(const ApiRequest& request, const ApiResponse& answer) {
  return request.kind == RequestKind::sync && !request.report.namedEndings.empty() &&
         acknowledged(answer);
}
bool acknowledgesPackedLeaving(const ApiRequest& request, const ApiResponse& answer) {
  return request.kind == RequestKind::sync && request.report.packed && request.report.leaving &&
         acknowledged(answer);
}

// By turns: disks are lost, all controllers lose power, the struck controllers lose power.
enum class StrikeWay { losesDisk, powerOffAll, powerOffStruck };

void strikeControllers(FaultDeck& deck, World& world, V victims, std::size_t first) {
  const auto way = StrikeWay(victims.controller % 3);
  for (const std::size_t place : deck.withOthers(first, victims)) {
    if (way == StrikeWay::losesDisk && deck.loseDisk(place, victims.coin))
      continue;
    if (way == StrikeWay::powerOffAll)
      powerOff(world);
    else
      world.killController(place, true);
  }
  world.after(struckForMs, [&world] { powerOn(world); });
}

void aimAtControllers(FaultDeck& deck, World& world, V victims, Fault& fault,
                      FaultDeck::Matches matches) {
  deck.aim(fault, victims, std::move(matches), [&deck, &world, victims](std::size_t first) {
    strikeControllers(deck, world, victims, first);
  });
}

FaultKind struckAfter(const char* name, bool (*matches)(const ApiRequest&, const ApiResponse&)) {
  return {name, [matches](FaultDeck& deck, World& world, V victims, Fault& fault) {
            aimAtControllers(deck, world, victims, fault, matches);
          }};
}

void strikeAfterConfig(FaultDeck& deck, World& world, V victims, Fault& fault) {
  aimAtControllers(deck, world, victims, fault, acknowledgesConfig);
  fault.begin = [&deck, arm = fault.begin] {
    arm();
    deck.operatorRace();
    return false;
  };
}

void strikeAfterLeaving(FaultDeck& deck, World& world, V victims, Fault& fault) {
  aimAtControllers(deck, world, victims, fault, acknowledgesLeaving);
  fault.begin = [&deck, &world, victims, arm = fault.begin] {
    arm();
    if (deck.killForGood(victims.worker))
      world.leaveWorker(victims.worker, shortNoticeMs);
    return false;
  };
}

void strikeOnMemberChange(World& world, std::size_t place) {
  const char* name = "struck while members change";
  world.disturb(name, false);
  world.after(memberStrikeDelayMs, [&world, place] { world.killController(place, true); });
  world.after(struckForMs, [&world, place, name] {
    world.restartController(place);
    world.disturb(name, true);
  });
}

void strikeWhileMembersChange(FaultDeck& deck, World& world, V victims, Fault& fault) {
  auto took = std::make_shared<bool>(false);
  fault.took = took;
  fault.begin = [&deck, &world, victims, took] {
    std::vector<std::size_t> lost = deck.someControllers(victims);
    std::erase_if(lost, [&](std::size_t place) { return !deck.loseDisk(place, victims.coin); });
    if (lost.empty())
      return false;
    world.after(diskLostForMs, [&world, lost] {
      for (const std::size_t place : lost)
        world.restartController(place);
    });
    deck.aimAtMemberChange([&world, took](std::size_t place) {
      *took = true;
      strikeOnMemberChange(world, place);
    });
    return false;
  };
}

void aimAtOne(FaultDeck& deck, World& world, V victims, Fault& fault, FaultDeck::Matches matches) {
  deck.aim(fault, victims, std::move(matches), [&world](std::size_t place) {
    world.killController(place, true);
    world.after(struckForMs, [&world, place] { world.restartController(place); });
  });
}

void strikeAfterNamedEnding(FaultDeck& deck, World& world, V victims, Fault& fault) {
  aimAtOne(deck, world, victims, fault, confirmsNamedEnding);
}

void strikeAfterAgentsLeaving(FaultDeck& deck, World& world, V victims, Fault& fault) {
  aimAtOne(deck, world, victims, fault, acknowledgesPackedLeaving);
  fault.begin = [&world, victims, arm = fault.begin] {
    arm();
    world.leaveCalled(victims.called, shortNoticeMs, awayForMs);
    return false;
  };
}

}  // namespace

FaultTable strikes() {
  return {
      struckAfter("struck after acknowledging a job", acknowledgesJob),
      struckAfter("struck after acknowledging a cancel", acknowledgesCancel),
      {"struck after acknowledging a config", strikeAfterConfig},
      {"struck after acknowledging a leaving", strikeAfterLeaving},
      struckAfter("struck after confirming an ending", confirmsEnding),
      {"struck while members change", strikeWhileMembersChange},
  };
}

FaultTable calledWorkerStrikes() {
  return {
      {"struck after confirming a named ending", strikeAfterNamedEnding},
      {"struck after an agent's word of a leaving", strikeAfterAgentsLeaving},
  };
}

}  // namespace aniseline
