#include "simulator/fault_kinds.hpp"

namespace aniseline {

FaultKind lastingFault(const char* name, FaultStep begin, FaultStep end) {
  return {name, [begin, end](FaultInjector&, SimulatedCluster& world, const FaultTargets& victims,
                             Fault& fault) {
            fault.begin = [&world, victims, begin] {
              begin(world, victims);
              return true;
            };
            fault.end = [&world, victims, end] {
              end(world, victims);
            };
          }};
}

FaultKind momentaryFault(const char* name, FaultStep begin) {
  return {name, [begin](FaultInjector&, SimulatedCluster& world, const FaultTargets& victims,
                        Fault& fault) {
            fault.begin = [&world, victims, begin] {
              begin(world, victims);
              return true;
            };
          }};
}

FaultKind faultOfControllers(const char* name, ControllerStep begin, ControllerRepair end) {
  return {name, [begin, end](FaultInjector& deck, SimulatedCluster& world,
                             const FaultTargets& victims, Fault& fault) {
            auto chosen = std::make_shared<std::vector<std::size_t>>();
            fault.begin = [&deck, &world, victims, chosen, begin] {
              *chosen = deck.chooseControllers(victims);
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

FaultTable concatenate(std::initializer_list<FaultTable> tables) {
  FaultTable all;
  for (const auto& table : tables)
    all.insert(all.end(), table.begin(), table.end());
  return all;
}

void partitionPair(SimulatedCluster& world, std::size_t from, std::size_t to, bool cut) {
  world.partitionZones(from, to, cut);
  world.partitionZones(to, from, cut);
}

void powerOffControllers(SimulatedCluster& world) {
  for (std::size_t place = 0; place < world.controllerCount(); ++place)
    world.killController(place, true);
}

void powerOnControllers(SimulatedCluster& world) {
  for (std::size_t place = 0; place < world.controllerCount(); ++place)
    world.restartController(place);
}

}  // namespace aniseline
