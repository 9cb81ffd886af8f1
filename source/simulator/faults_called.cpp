// Faults of workers that are called, and of their agents. docs/design.md 12.3.
#include "simulator/fault_kinds.hpp"

namespace aniseline {

namespace {

using V = const FaultVictims&;

constexpr std::int64_t backAtOnceMs = 60;      // a restart faster than any lease
constexpr std::int64_t leavingLastsMs = 5000;  // at least, so that the notice runs out within it
constexpr std::int64_t hastyNoticeMs = 600;
constexpr std::int64_t lateOrdersMs = 12'000;  // until the last order held back has arrived

void comeBackAtOnce(World& world, V victims) {
  world.killCalled(victims.called);
  world.after(backAtOnceMs, [&world, victims] { world.restartCalled(victims.called); });
}

void leave(FaultDeck&, World& world, V victims, Fault& fault) {
  fault.length = std::max(fault.length, leavingLastsMs);
  fault.begin = [&world, victims] {
    world.leaveCalled(victims.called, victims.coin ? shortNoticeMs : hastyNoticeMs, awayForMs);
    return true;
  };
}

void killAgent(FaultDeck&, World& world, V victims, Fault& fault) {
  if (victims.coin)
    fault.length = 100 + fault.length % 900;  // most are started again at once
  fault.begin = [&world, victims] {
    world.killAgent(victims.called);
    return true;
  };
  fault.end = [&world, victims] {
    world.restartAgent(victims.called);
  };
}

void killMachine(World& world, V victims) {
  world.killAgent(victims.called);
  world.killCalled(victims.called);
}
void restartMachine(World& world, V victims) {
  world.restartAgent(victims.called);
  world.restartCalled(victims.called);
}

void killAllAgents(World& world, V) {
  for (std::size_t place = 0; place < world.calledCount(); ++place)
    world.killAgent(place);
}
void restartAllAgents(World& world, V) {
  for (std::size_t place = 0; place < world.calledCount(); ++place)
    world.restartAgent(place);
}

void deliverLateOrders(World& world, V victims) {
  world.delayOrders(victims.called, false);
  // What is still on its way is trouble too.
  const std::string still = "orders on their way " + std::to_string(world.now);
  world.disturb(still, false);
  world.after(lateOrdersMs, [&world, still] { world.disturb(still, true); });
}

template <World::Sickness sickness>
FaultKind sick(const char* name) {
  return lasting(
      name, [](World& world, V victims) { world.sickenCalled(victims.called, sickness); },
      [](World& world, V victims) { world.sickenCalled(victims.called, World::Sickness::none); });
}

FaultTable processFaults() {
  return {
      lasting(
          "kill a called worker", [](World& world, V victims) { world.killCalled(victims.called); },
          [](World& world, V victims) { world.restartCalled(victims.called); }),
      momentary("a called worker comes back at once", comeBackAtOnce),
      {"a called worker leaves", leave},
      {"kill an agent", killAgent},
      lasting(
          "freeze an agent",
          [](World& world, V victims) { world.freezeAgent(victims.called, true); },
          [](World& world, V victims) { world.freezeAgent(victims.called, false); }),
      lasting(
          "cut off an agent", [](World& world, V victims) { world.cutAgent(victims.called, true); },
          [](World& world, V victims) { world.cutAgent(victims.called, false); }),
      lasting("a called worker's machine out", killMachine, restartMachine),
      lasting("all agents killed", killAllAgents, restartAllAgents),
  };
}

FaultTable sicknesses() {
  return {
      sick<World::Sickness::stalled>("a called worker stalls"),
      sick<World::Sickness::refusing>("a called worker turns starts away"),
      sick<World::Sickness::mute>("a called worker is mute"),
      sick<World::Sickness::failing>("a called worker fails all"),
      lasting(
          "orders carried out late",
          [](World& world, V victims) { world.delayOrders(victims.called, true); },
          deliverLateOrders),
  };
}

}  // namespace

FaultTable calledWorkerFaults() {
  return joined({processFaults(), sicknesses(), calledWorkerStrikes()});
}

}  // namespace aniseline
