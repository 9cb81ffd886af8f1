// Faults of gateways, and load peaks and conflicts caused by callers and operators.
// docs/design.md 12.3.
#include "simulator/campaign_workload.hpp"
#include "simulator/fault_kinds.hpp"

namespace aniseline {

namespace {

constexpr std::size_t swappedGateways = 4;  // the three first contacts and one more gateway
constexpr std::int64_t swapEveryMs = 600, swapDownMs = 300;

// Replaces all first-contact gateways and one more, one by one. A process that was down meanwhile
// still knows the other gateways. docs/operations.md 4.
void swapFirstContacts(SimulatedCluster& cluster, const FaultTargets&) {
  for (std::size_t index = 0; index < swappedGateways; ++index)
    cluster.scheduleAfter(std::int64_t(index) * swapEveryMs, [&cluster, index] {
      cluster.killGateway(index);
      cluster.moveGateway(index);
      cluster.scheduleAfter(swapDownMs, [&cluster, index] { cluster.restartGateway(index); });
    });
}

// A job whose caller gives up after a third of the fault. It runs long enough to be noticed.
void submitAndGiveUpThrough(SimulatedCluster& cluster, const FaultTargets& targets) {
  const std::string id =
      "late" + std::to_string(cluster.now) + "-" + std::to_string(targets.gateway);
  cluster.submitAndGiveUp(singleStepJob(id, "proofs", {.tasks = 2, .actualMs = 500}),
                          targets.gateway, targets.duration / 3);
}

// The submission stays in the gateway's socket until the gateway resumes, long after its caller has
// cancelled the job through another gateway.
void delaySubmissionInGateway(SimulatedCluster& cluster, const FaultTargets& targets) {
  cluster.freezeGateway(targets.gateway, true);
  submitAndGiveUpThrough(cluster, targets);
}

// The same with a submission that its gateway has forwarded to a leader that was suspended.
void delaySubmissionInLeader(FaultInjector&, SimulatedCluster& cluster, const FaultTargets& targets,
                             Fault& fault) {
  auto leader = std::make_shared<std::size_t>();
  fault.begin = [&cluster, targets, leader] {
    *leader = cluster.leader().value_or(targets.controller);
    cluster.freezeController(*leader, true);
    submitAndGiveUpThrough(cluster, targets);
    return true;
  };
  fault.end = [&cluster, leader] {
    cluster.freezeController(*leader, false);
  };
}

void flood(FaultInjector& injector, SimulatedCluster&, const FaultTargets&, Fault& fault) {
  fault.begin = [&injector] {
    injector.submitJobFlood();
    return true;
  };
}

void raceOperators(FaultInjector& injector, SimulatedCluster&, const FaultTargets&, Fault& fault) {
  fault.begin = [&injector] {
    injector.startOperatorRace();
    return true;
  };
}

}  // namespace

FaultTable gatewayFaults() {
  return {
      lastingFault(
          "kill a gateway",
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cluster.killGateway(targets.gateway);
          },
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cluster.restartGateway(targets.gateway);
          }),
      lastingFault(
          "freeze a gateway",
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cluster.freezeGateway(targets.gateway, true);
          },
          [](SimulatedCluster& cluster, const FaultTargets& targets) {
            cluster.freezeGateway(targets.gateway, false);
          }),
      momentaryFault("first contacts swapped one by one", swapFirstContacts),
  };
}

FaultTable callerFaults() {
  return {
      {"a flood", flood},
      {"two operators at once", raceOperators},
      lastingFault("a cancelled submission in a frozen gateway", delaySubmissionInGateway,
                   [](SimulatedCluster& cluster, const FaultTargets& targets) {
                     cluster.freezeGateway(targets.gateway, false);
                   }),
      {"a cancelled submission in a frozen leader", delaySubmissionInLeader},
  };
}

}  // namespace aniseline
