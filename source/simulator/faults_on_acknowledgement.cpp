// Faults right after an acknowledgement: the answer is sent, and then its sender fails.
// docs/design.md 12.3.
#include "simulator/fault_kinds.hpp"

namespace aniseline {

namespace {

constexpr std::int64_t outageMs = 1500;         // until the failed controllers restart
constexpr std::int64_t diskLossOutageMs = 500;  // until the controllers without their disk restart
// The delay lets the messages of the membership change be sent.
constexpr std::int64_t membershipFaultDelayMs = 2;

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
  return changesConfig(request.kind) && acknowledged(answer);
}
bool acknowledgesDrain(const ApiRequest& request, const ApiResponse& answer) {
  return request.kind == RequestKind::syncWorker && request.report.draining && acknowledged(answer);
}
bool confirmsResult(const ApiRequest& request, const ApiResponse& answer) {
  return request.kind == RequestKind::syncWorker && !request.report.results.empty() &&
         acknowledged(answer);
}
bool confirmsRunResult(const ApiRequest& request, const ApiResponse& answer) {
  return request.kind == RequestKind::syncWorker && !request.report.runResults.empty() &&
         acknowledged(answer);
}
bool acknowledgesAgentsDrain(const ApiRequest& request, const ApiResponse& answer) {
  return request.kind == RequestKind::syncWorker && request.report.wantsPackedResponse &&
         request.report.draining && acknowledged(answer);
}

// How the controllers fail: the targets lose their disks, all controllers lose power, or the
// targets lose power.
enum class FailureMode { diskLoss, powerOffAll, powerOffTargets };

void failControllers(FaultInjector& injector, SimulatedCluster& cluster,
                     const FaultTargets& targets, std::size_t first) {
  const auto mode = FailureMode(targets.controller % 3);
  for (const std::size_t index : injector.chooseControllersBeside(first, targets)) {
    if (mode == FailureMode::diskLoss && injector.tryLoseDisk(index, targets.coinFlip))
      continue;
    if (mode == FailureMode::powerOffAll)
      powerOffControllers(cluster);
    else
      cluster.killController(index, true);
  }
  cluster.scheduleAfter(outageMs, [&cluster] { powerOnControllers(cluster); });
}

void armForControllers(FaultInjector& injector, SimulatedCluster& cluster,
                       const FaultTargets& targets, Fault& fault, FaultInjector::Matches matches) {
  injector.faultOnAcknowledgement(fault, targets, std::move(matches),
                                  [&injector, &cluster, targets](std::size_t first) {
                                    failControllers(injector, cluster, targets, first);
                                  });
}

FaultKind faultAfter(const char* name, bool (*matches)(const ApiRequest&, const ApiResponse&)) {
  return {name, [matches](FaultInjector& injector, SimulatedCluster& cluster,
                          const FaultTargets& targets, Fault& fault) {
            armForControllers(injector, cluster, targets, fault, matches);
          }};
}

void failAfterConfig(FaultInjector& injector, SimulatedCluster& cluster,
                     const FaultTargets& targets, Fault& fault) {
  armForControllers(injector, cluster, targets, fault, acknowledgesConfig);
  fault.begin = [&injector, arm = fault.begin] {
    arm();
    injector.startOperatorRace();
    return false;
  };
}

void failAfterDrain(FaultInjector& injector, SimulatedCluster& cluster, const FaultTargets& targets,
                    Fault& fault) {
  armForControllers(injector, cluster, targets, fault, acknowledgesDrain);
  fault.begin = [&injector, &cluster, targets, arm = fault.begin] {
    arm();
    if (injector.tryRemoveForGood(targets.worker))
      cluster.drainWorker(targets.worker, shortDrainMs);
    return false;
  };
}

void failOnMembershipChange(SimulatedCluster& cluster, std::size_t index) {
  const char* name = "struck while members change";
  cluster.recordFault(name, false);
  cluster.scheduleAfter(membershipFaultDelayMs,
                        [&cluster, index] { cluster.killController(index, true); });
  cluster.scheduleAfter(outageMs, [&cluster, index, name] {
    cluster.restartController(index);
    cluster.recordFault(name, true);
  });
}

void failWhileMembersChange(FaultInjector& injector, SimulatedCluster& cluster,
                            const FaultTargets& targets, Fault& fault) {
  auto tookEffect = std::make_shared<bool>(false);
  fault.tookEffect = tookEffect;
  fault.begin = [&injector, &cluster, targets, tookEffect] {
    std::vector<std::size_t> lost = injector.chooseControllers(targets);
    std::erase_if(
        lost, [&](std::size_t index) { return !injector.tryLoseDisk(index, targets.coinFlip); });
    if (lost.empty())
      return false;
    cluster.scheduleAfter(diskLossOutageMs, [&cluster, lost] {
      for (const std::size_t index : lost)
        cluster.restartController(index);
    });
    injector.faultOnMembershipChange([&cluster, tookEffect](std::size_t index) {
      *tookEffect = true;
      failOnMembershipChange(cluster, index);
    });
    return false;
  };
}

void armForOne(FaultInjector& injector, SimulatedCluster& cluster, const FaultTargets& targets,
               Fault& fault, FaultInjector::Matches matches) {
  injector.faultOnAcknowledgement(
      fault, targets, std::move(matches), [&cluster](std::size_t index) {
        cluster.killController(index, true);
        cluster.scheduleAfter(outageMs, [&cluster, index] { cluster.restartController(index); });
      });
}

void failAfterRunResult(FaultInjector& injector, SimulatedCluster& cluster,
                        const FaultTargets& targets, Fault& fault) {
  armForOne(injector, cluster, targets, fault, confirmsRunResult);
}

void failAfterAgentsDrain(FaultInjector& injector, SimulatedCluster& cluster,
                          const FaultTargets& targets, Fault& fault) {
  armForOne(injector, cluster, targets, fault, acknowledgesAgentsDrain);
  fault.begin = [&cluster, targets, arm = fault.begin] {
    arm();
    cluster.drainCalledWorker(targets.calledWorker, shortDrainMs, downtimeMs);
    return false;
  };
}

}  // namespace

FaultTable acknowledgementFaults() {
  return {
      faultAfter("struck after acknowledging a job", acknowledgesJob),
      faultAfter("struck after acknowledging a cancel", acknowledgesCancel),
      {"struck after acknowledging a config", failAfterConfig},
      {"struck after acknowledging a leaving", failAfterDrain},
      faultAfter("struck after confirming an ending", confirmsResult),
      {"struck while members change", failWhileMembersChange},
  };
}

FaultTable calledWorkerAcknowledgementFaults() {
  return {
      {"struck after confirming a named ending", failAfterRunResult},
      {"struck after an agent's word of a leaving", failAfterAgentsDrain},
  };
}

}  // namespace aniseline
