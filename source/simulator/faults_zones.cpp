// Faults of all that stands in one zone. docs/design.md 12.3.
#include "simulator/fault_kinds.hpp"

namespace aniseline {

namespace {

constexpr std::int64_t zoneNoticeMs = 2000;      // given to the workers of a zone that is emptied
constexpr std::int64_t zoneEmptyAfterMs = 4500;  // until its controllers and gateways go too
constexpr std::int64_t zoneEmptyLastsMs =
    7000;  // at least, so that all of them are away for a time

void killZone(World& world, std::size_t zone) {
  eachOfZone(world.controllerCount(), zone, [&](auto place) { world.killController(place, true); });
  eachOfZone(faultGateways, zone, [&](auto place) { world.killGateway(place); });
  eachOfZone(faultWorkers, zone, [&](auto place) { world.killWorker(place, false); });
  eachOfZone(world.calledCount(), zone, [&](auto place) {
    world.killAgent(place);
    world.killCalled(place);
  });
}

void restartZone(World& world, std::size_t zone) {
  eachOfZone(world.controllerCount(), zone, [&](auto place) { world.restartController(place); });
  eachOfZone(faultGateways, zone, [&](auto place) { world.restartGateway(place); });
  eachOfZone(faultWorkers, zone, [&](auto place) { world.restartWorker(place); });
  eachOfZone(world.calledCount(), zone, [&](auto place) {
    world.restartAgent(place);
    world.restartCalled(place);
  });
}

void freezeZone(World& world, std::size_t zone, bool frozen) {
  eachOfZone(world.controllerCount(), zone,
             [&](auto place) { world.freezeController(place, frozen); });
  eachOfZone(faultGateways, zone, [&](auto place) { world.freezeGateway(place, frozen); });
  eachOfZone(faultWorkers, zone, [&](auto place) { world.freezeWorker(place, frozen); });
  eachOfZone(world.calledCount(), zone, [&](auto place) { world.freezeAgent(place, frozen); });
}

void killServersOf(World& world, std::size_t zone) {
  eachOfZone(world.controllerCount(), zone, [&](auto place) { world.killController(place, true); });
  eachOfZone(faultGateways, zone, [&](auto place) { world.killGateway(place); });
}

void emptyZone(FaultDeck& deck, World& world, const FaultVictims& victims, Fault& fault) {
  fault.length = std::max(fault.length, zoneEmptyLastsMs);
  fault.begin = [&world, victims] {
    eachOfZone(faultWorkers, victims.from,
               [&](auto place) { world.leaveWorker(place, zoneNoticeMs); });
    world.after(zoneEmptyAfterMs, [&world, victims] { killServersOf(world, victims.from); });
    return true;
  };
  fault.end = [&deck, &world, victims] {
    restartZone(world, victims.from);
    eachOfZone(faultWorkers, victims.from, [&](auto place) {
      world.returnWorker(place);
      deck.forgetGone(place);
    });
  };
}

}  // namespace

FaultTable zoneFaults() {
  using V = const FaultVictims&;
  return {
      lasting(
          "a zone out", [](World& world, V victims) { killZone(world, victims.from); },
          [](World& world, V victims) { restartZone(world, victims.from); }),
      lasting(
          "a zone frozen", [](World& world, V victims) { freezeZone(world, victims.from, true); },
          [](World& world, V victims) { freezeZone(world, victims.from, false); }),
      {"a zone emptied at short notice", emptyZone},
  };
}

}  // namespace aniseline
