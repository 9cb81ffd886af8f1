// Faults of controllers: processes, disks and clocks. docs/design.md 12.3.
#include "simulator/fault_kinds.hpp"

namespace aniseline {

namespace {

constexpr std::int64_t slowDiskMs = 80;     // of each sync: more than a round of heartbeats
constexpr std::int64_t moveRestMs = 5000;   // until all know the addresses of those that moved
constexpr std::int64_t clockRestMs = 1000;  // until the next clock may lie

void restartController(World& world, std::size_t place) {
  world.restartController(place);
}

// No more than may be lost, as two that move while both are down know only each other's old
// address. docs/design.md 3.5.
void moveWithDisks(FaultDeck& deck, World& world, const FaultVictims& victims, Fault& fault) {
  auto moved = std::make_shared<std::vector<std::size_t>>();
  fault.begin = [&deck, &world, victims, moved] {
    *moved = deck.someControllers(victims);
    if (world.now < deck.moveFreeAt || world.voterCount() != world.votersWanted())
      return false;
    deck.moveFreeAt = world.now + victims.length + moveRestMs;
    deck.moving = moved->size();
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
void jumpClock(FaultDeck& deck, World& world, const FaultVictims& victims, Fault& fault) {
  auto chosen = std::make_shared<std::vector<std::size_t>>();
  auto lying = std::make_shared<bool>(false);
  fault.begin = [&deck, &world, victims, chosen, lying] {
    *chosen = deck.someControllers(victims);
    for (const std::size_t place : *chosen) {
      if (world.now < deck.clockFreeAt)
        continue;
      deck.clockFreeAt = world.now + victims.length + clockRestMs;
      world.setClock(place, victims.jump);
      *lying = true;
    }
    return *lying;
  };
  fault.end = [&world, chosen, lying] {
    for (const std::size_t place : *chosen)
      if (*lying)
        world.setClock(place, 0);
  };
}

void stallDisks(FaultDeck& deck, World& world, const FaultVictims& victims, Fault& fault) {
  fault.begin = [&deck, &world, victims] {
    for (const std::size_t place : deck.someControllers(victims))
      world.stallDisk(place, victims.length);
    return true;
  };
}

void stallDisksOfTwoZones(World& world, const FaultVictims& victims) {
  for (const std::size_t zone : {victims.from, victims.to})
    eachOfZone(world.controllerCount(), zone,
               [&](auto place) { world.stallDisk(place, victims.length); });
}

void freeDisk(World& world, std::size_t place) {
  world.fillDisk(place, false);
  world.restartController(place);
}

// `begin` of a kind that takes effect on every controller it is tried on.
template <class Step>
ControllerStep onAny(Step) {
  return [](FaultDeck&, World& world, std::size_t place, const FaultVictims&) {
    Step{}(world, place);
    return true;
  };
}

template <bool moves>
bool loseDisk(FaultDeck& deck, World&, std::size_t place, const FaultVictims&) {
  return deck.loseDisk(place, moves);
}

}  // namespace

FaultTable controllerFaults() {
  return {
      ofControllers("kill a controller", onAny([](World& world, std::size_t place) {
                      world.killController(place, false);
                    }),
                    restartController),
      ofControllers("power loss of a controller", onAny([](World& world, std::size_t place) {
                      world.killController(place, true);
                    }),
                    restartController),
      lasting(
          "power loss of all controllers",
          [](World& world, const FaultVictims&) { powerOff(world); },
          [](World& world, const FaultVictims&) { powerOn(world); }),
      ofControllers("disk lost", loseDisk<false>, restartController),
      ofControllers("controller replaced at a new address", loseDisk<true>, restartController),
      {"controller moved with its disk", moveWithDisks},
      ofControllers("freeze a controller", onAny([](World& world, std::size_t place) {
                      world.freezeController(place, true);
                    }),
                    [](World& world, std::size_t place) { world.freezeController(place, false); }),
  };
}

FaultTable machineFaults() {
  return {
      {"stall a disk", stallDisks},
      momentary("stall two disks", stallDisksOfTwoZones),
      ofControllers("slow a disk", onAny([](World& world, std::size_t place) {
                      world.slowDisk(place, slowDiskMs);
                    }),
                    [](World& world, std::size_t place) { world.slowDisk(place, 0); }),
      ofControllers("disk full",
                    onAny([](World& world, std::size_t place) { world.fillDisk(place, true); }),
                    freeDisk),
      {"jump a clock", jumpClock},
  };
}

FaultTable severalControllerFaults() {
  return {
      ofControllers("controllers cut off", onAny([](World& world, std::size_t place) {
                      world.cutController(place, true);
                    }),
                    [](World& world, std::size_t place) { world.cutController(place, false); }),
  };
}

}  // namespace aniseline
