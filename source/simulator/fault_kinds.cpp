// The helpers that make kinds of fault and switch whole zones off and on.
#include "simulator/fault_kinds.hpp"

namespace aniseline {

FaultKind lastingFault(const char* name, FaultStep begin, FaultStep end) {
  return {name, [begin, end](FaultInjector&, SimulatedCluster& cluster, const FaultTargets& targets,
                             Fault& fault) {
            fault.begin = [&cluster, targets, begin] {
              begin(cluster, targets);
              return true;
            };
            fault.end = [&cluster, targets, end] {
              end(cluster, targets);
            };
          }};
}

FaultKind momentaryFault(const char* name, FaultStep begin) {
  return {name, [begin](FaultInjector&, SimulatedCluster& cluster, const FaultTargets& targets,
                        Fault& fault) {
            fault.begin = [&cluster, targets, begin] {
              begin(cluster, targets);
              return true;
            };
          }};
}

FaultKind faultOfControllers(const char* name, ControllerStep begin, ControllerRepair end) {
  return {name, [begin, end](FaultInjector& injector, SimulatedCluster& cluster,
                             const FaultTargets& targets, Fault& fault) {
            auto chosen = std::make_shared<std::vector<std::size_t>>();
            fault.begin = [&injector, &cluster, targets, chosen, begin] {
              *chosen = injector.chooseControllers(targets);
              return std::count_if(chosen->begin(), chosen->end(), [&](std::size_t index) {
                       return begin(injector, cluster, index, targets);
                     }) > 0;
            };
            fault.end = [&cluster, chosen, end] {
              for (const std::size_t index : *chosen)
                end(cluster, index);
            };
          }};
}

FaultTable concatenate(std::initializer_list<FaultTable> tables) {
  FaultTable all;
  for (const auto& table : tables)
    all.insert(all.end(), table.begin(), table.end());
  return all;
}

void partitionPair(SimulatedCluster& cluster, std::size_t from, std::size_t to, bool cut) {
  cluster.partitionZones(from, to, cut);
  cluster.partitionZones(to, from, cut);
}

void powerOffControllers(SimulatedCluster& cluster) {
  for (std::size_t index = 0; index < cluster.controllerCount(); ++index)
    cluster.killController(index, true);
}

void powerOnControllers(SimulatedCluster& cluster) {
  for (std::size_t index = 0; index < cluster.controllerCount(); ++index)
    cluster.restartController(index);
}

void powerOffZone(SimulatedCluster& cluster, std::size_t zone) {
  forEachInZone(cluster.controllerCount(), zone,
                [&](std::size_t index) { cluster.killController(index, true); });
  forEachInZone(simulatedGateways, zone, [&](std::size_t index) { cluster.killGateway(index); });
  forEachInZone(simulatedWorkers, zone,
                [&](std::size_t index) { cluster.killWorker(index, false); });
  forEachInZone(cluster.calledWorkerCount(), zone, [&](std::size_t index) {
    cluster.killAgent(index);
    cluster.killCalledWorker(index);
  });
}

void powerOnZone(SimulatedCluster& cluster, std::size_t zone,
                 const std::vector<std::size_t>& controllersAway) {
  forEachInZone(cluster.controllerCount(), zone, [&](std::size_t index) {
    if (!std::count(controllersAway.begin(), controllersAway.end(), index))
      cluster.restartController(index);
  });
  forEachInZone(simulatedGateways, zone, [&](std::size_t index) { cluster.restartGateway(index); });
  forEachInZone(simulatedWorkers, zone, [&](std::size_t index) { cluster.restartWorker(index); });
  forEachInZone(cluster.calledWorkerCount(), zone, [&](std::size_t index) {
    cluster.restartAgent(index);
    cluster.restartCalledWorker(index);
  });
}

}  // namespace aniseline
