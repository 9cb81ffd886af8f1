#include "simulator/fault_kinds.hpp"

namespace aniseline {

FaultKind lasting(const char* name, FaultStep begin, FaultStep end) {
  return {name, [begin, end](FaultDeck&, World& world, const FaultVictims& victims, Fault& fault) {
            fault.begin = [&world, victims, begin] {
              begin(world, victims);
              return true;
            };
            fault.end = [&world, victims, end] {
              end(world, victims);
            };
          }};
}

FaultKind momentary(const char* name, FaultStep begin) {
  return {name, [begin](FaultDeck&, World& world, const FaultVictims& victims, Fault& fault) {
            fault.begin = [&world, victims, begin] {
              begin(world, victims);
              return true;
            };
          }};
}

FaultKind ofControllers(const char* name, ControllerStep begin, ControllerMend end) {
  return {name,
          [begin, end](FaultDeck& deck, World& world, const FaultVictims& victims, Fault& fault) {
            auto chosen = std::make_shared<std::vector<std::size_t>>();
            fault.begin = [&deck, &world, victims, chosen, begin] {
              *chosen = deck.someControllers(victims);
              return std::count_if(chosen->begin(), chosen->end(), [&](std::size_t place) {
                       return begin(deck, world, place, victims);
                     }) > 0;
            };
            fault.end = [&world, chosen, end] {
              for (const std::size_t place : *chosen)
                end(world, place);
            };
          }};
}

FaultTable joined(std::initializer_list<FaultTable> tables) {
  FaultTable all;
  for (const auto& table : tables)
    all.insert(all.end(), table.begin(), table.end());
  return all;
}

void cutPair(World& world, std::size_t from, std::size_t to, bool cut) {
  world.cutZones(from, to, cut);
  world.cutZones(to, from, cut);
}

void powerOff(World& world) {
  for (std::size_t place = 0; place < world.controllerCount(); ++place)
    world.killController(place, true);
}

void powerOn(World& world) {
  for (std::size_t place = 0; place < world.controllerCount(); ++place)
    world.restartController(place);
}

}  // namespace aniseline
