// Faults of single workers and of racks. docs/design.md 12.3.
#include "simulator/fault_kinds.hpp"

namespace aniseline {

namespace {

// Minimum duration, so that the drain deadline passes during the fault.
constexpr std::int64_t minDrainFaultMs = 5000;
constexpr double slowFactor = 6;          // multiplies the runtime of the worker's tasks
constexpr double quietFailureRate = 0.5;  // share of the worker's tasks that fail

// Calls `use` with every worker in the rack of `worker`.
template <class Action>
void forEachInRack(std::size_t worker, Action action) {
  const std::size_t first = worker / workersPerRack * workersPerRack;
  for (std::size_t index = first; index < std::min(first + workersPerRack, simulatedWorkers);
       ++index)
    action(index);
}

void cutRack(SimulatedCluster& cluster, std::size_t worker, bool cut) {
  forEachInRack(worker, [&](auto index) { cluster.isolateWorker(index, cut); });
}

void removeForGood(FaultInjector& injector, SimulatedCluster& cluster, const FaultTargets& targets,
                   Fault& fault) {
  fault.begin = [&injector, &cluster, targets] {
    if (!injector.tryRemoveForGood(targets.worker))
      return false;
    cluster.killWorker(targets.worker, true);
    return true;
  };
}

void drainAtShortNotice(FaultInjector& injector, SimulatedCluster& cluster,
                        const FaultTargets& targets, Fault& fault) {
  fault.duration = std::max(fault.duration, minDrainFaultMs);
  fault.begin = [&injector, &cluster, targets] {
    if (!injector.tryRemoveForGood(targets.worker))
      return false;
    cluster.drainWorker(targets.worker, shortDrainMs);
    return true;
  };
}

FaultTable oneWorkerFaults() {
  return {
      lastingFault(
          "kill a worker",
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cluster.killWorker(targets.worker, false);
          },
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cluster.restartWorker(targets.worker);
          }),
      {"a worker vanishes", removeForGood},
      lastingFault(
          "freeze a worker",
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cluster.freezeWorker(targets.worker, true);
          },
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cluster.freezeWorker(targets.worker, false);
          }),
      lastingFault(
          "cut a worker, its tasks run on",
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cluster.isolateWorker(targets.worker, true);
          },
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cluster.isolateWorker(targets.worker, false);
          }),
      lastingFault(
          "a slow worker",
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cluster.setWorkerBehaviour(targets.worker, slowFactor, 0);
          },
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cluster.setWorkerBehaviour(targets.worker, 1, 0);
          }),
      lastingFault(
          "a worker fails its work quietly",
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cluster.setWorkerBehaviour(targets.worker, 1, quietFailureRate);
          },
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cluster.setWorkerBehaviour(targets.worker, 1, 0);
          }),
      {"a worker emptied at short notice", drainAtShortNotice},
  };
}

FaultTable rackFaults() {
  return {
      lastingFault(
          "a rack cut off",
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cutRack(cluster, targets.worker, true);
          },
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cutRack(cluster, targets.worker, false);
          }),
      lastingFault(
          "a rack out",
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            forEachInRack(targets.worker, [&](auto index) { cluster.killWorker(index, false); });
          },
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            forEachInRack(targets.worker, [&](auto index) { cluster.restartWorker(index); });
          }),
  };
}

}  // namespace

FaultTable workerFaults() {
  return concatenate({oneWorkerFaults(), rackFaults()});
}

}  // namespace aniseline
