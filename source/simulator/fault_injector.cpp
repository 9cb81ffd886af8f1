// The draws of kinds and targets, and the limits on simultaneous losses.
#include "simulator/fault_injector.hpp"
#include "simulator/fault_kinds.hpp"

namespace aniseline {

namespace {

// Removed workers at most; the others must be able to run all remaining tasks.
constexpr std::size_t maxRemovedWorkers = 4;
// The time until the consequences of a fault on an acknowledgement have passed.
constexpr std::int64_t acknowledgementFaultMs = 6000;
// The number of possible delays: the fault takes effect 0 to 3 ms after the answer.
constexpr std::int64_t acknowledgementFaultDelayCount = 4;

std::string workerName(std::size_t index) {
  return "m" + std::to_string(index + 1);
}

// The draws of a seed depend on the order of the kinds, so a new kind is added at the end of its
// table.
const FaultTable& everyClusterTable() {
  static const FaultTable kinds =
      concatenate({controllerFaults(), networkFaults(), machineFaults(), workerFaults(),
                   zoneFaults(), gatewayFaults(), callerFaults(), acknowledgementFaults()});
  return kinds;
}
const FaultTable& severalVotersTable() {
  static const FaultTable kinds = concatenate({everyClusterTable(), severalControllerFaults()});
  return kinds;
}
const FaultTable& calledTable() {
  static const FaultTable kinds = calledWorkerFaults();
  return kinds;
}

}  // namespace

FaultInjector::FaultInjector(SimulatedCluster& cluster, Random& generator)
    : cluster(cluster), random(generator) {
  cluster.onResponse = [this](std::size_t index, const ApiRequest& request,
                              const ApiResponse& answer) {
    for (std::size_t armed = 0; armed < armedFaults.size(); ++armed)
      if (armedFaults[armed].matches(request, answer)) {
        auto action = std::move(armedFaults[armed].action);
        armedFaults.erase(armedFaults.begin() + std::ptrdiff_t(armed));
        return action(index);
      }
  };
  cluster.onLogEvent = [this](std::size_t index, const LogEvent& event) {
    if (!std::holds_alternative<log_events::MembershipChanged>(event) ||
        armedMembershipFaults.empty())
      return;
    auto action = std::move(armedMembershipFaults.back());
    armedMembershipFaults.pop_back();
    action(index);
  };
}

// Prefers the leader for half of the faults.
std::vector<std::size_t> FaultInjector::chooseControllers(const FaultTargets& targets) const {
  return chooseControllersBeside(
      targets.prefersLeader ? cluster.leader().value_or(targets.controller) : targets.controller,
      targets);
}
// Chooses voters in addition to the first while there are any, since only they hold data that can
// be lost.
std::vector<std::size_t> FaultInjector::chooseControllersBeside(std::size_t first,
                                                                const FaultTargets& targets) const {
  std::vector<std::size_t> chosen{first};
  for (const bool voters : {true, false})
    for (std::size_t count = 0;
         count < cluster.controllerCount() && chosen.size() < targets.controllerCount; ++count) {
      const std::size_t index = (targets.nextController + count) % cluster.controllerCount();
      if (!std::count(chosen.begin(), chosen.end(), index) && cluster.isVoter(index) == voters)
        chosen.push_back(index);
    }
  return chosen;
}

// Two of three replicas, or three of five, must not be lost before the first ones are replaced, as
// Raft does not tolerate that. Two controllers that moved know only each other's old address, so
// without the others they count as lost.
bool FaultInjector::tryLoseDisk(std::size_t index, bool moves) {
  const auto lost = cluster.votersWithoutDisk();
  const std::size_t unreachableControllers =
      movingControllers > 1 && cluster.now < nextMoveAt ? movingControllers : 0;
  if (!lost || *lost + unreachableControllers >= cluster.tolerableLosses())
    return false;
  cluster.loseDisk(index);
  if (moves)
    cluster.moveController(index);
  return true;
}

bool FaultInjector::tryRemoveForGood(std::size_t worker) {
  const std::string id = workerName(worker);
  if (removed.size() >= maxRemovedWorkers || removed.count(id))
    return false;
  removed.insert(id);
  return true;
}

void FaultInjector::reinstate(std::size_t worker) {
  removed.erase(workerName(worker));
}

// Waits for the next matching answer: the acknowledgement is sent, and right after it the machine
// fails.
void FaultInjector::faultOnAcknowledgement(Fault& fault, const FaultTargets& targets,
                                           Matches matches, ControllerAction action) {
  auto tookEffect = std::make_shared<bool>(false);
  fault.tookEffect = tookEffect;
  const std::int64_t delay = std::abs(targets.clockJump % acknowledgementFaultDelayCount);
  auto atAnswer = [this, action = std::move(action), tookEffect, delay](std::size_t index) {
    *tookEffect = true;
    cluster.recordFault("aimed strike", false);
    cluster.scheduleAfter(delay, [action, index] { action(index); });
    cluster.scheduleAfter(acknowledgementFaultMs,
                          [this] { cluster.recordFault("aimed strike", true); });
  };
  fault.begin = [this, matches = std::move(matches), atAnswer = std::move(atAnswer)] {
    armedFaults.push_back({matches, atAnswer});
    return false;
  };
}

std::vector<std::string> FaultInjector::kindNames(bool withCalledWorkers, bool withManyVoters) {
  std::vector<std::string> names;
  for (const auto& kind : withManyVoters ? severalVotersTable() : everyClusterTable())
    names.emplace_back(kind.name);
  if (withCalledWorkers)
    for (const auto& kind : calledTable())
      names.emplace_back(kind.name);
  return names;
}

// In clusters with called workers, half of the faults are drawn from their table.
const std::vector<FaultKind>& FaultInjector::drawTable() {
  if (cluster.calledWorkerCount() > 0 && random.chance(0.5))
    return calledTable();
  return cluster.tolerableLosses() > 1 ? severalVotersTable() : everyClusterTable();
}

FaultTargets FaultInjector::drawTargets(std::int64_t duration) {
  FaultTargets targets;
  targets.controller = random.next() % cluster.controllerCount();
  targets.gateway = random.next() % simulatedGateways;
  targets.worker = random.next() % simulatedWorkers;
  targets.fromZone = random.next() % simulatedZones;
  targets.toZone = (targets.fromZone + 1 + random.next() % 2) % simulatedZones;
  targets.prefersLeader = random.chance(0.5);
  targets.coinFlip = random.chance(0.5);
  targets.clockJump = random.between(-600'000, 600'000);
  targets.duration = duration;
  if (cluster.calledWorkerCount() > 0)
    targets.calledWorker = random.next() % cluster.calledWorkerCount();
  if (cluster.tolerableLosses() > 1) {
    targets.controllerCount = 1 + random.next() % cluster.tolerableLosses();
    targets.nextController = random.next() % cluster.controllerCount();
  }
  return targets;
}

Fault FaultInjector::drawFault(std::int64_t startsAt) {
  const auto& kinds = drawTable();
  const auto& kind = kinds[random.next() % kinds.size()];
  Fault fault;
  fault.startsAt = startsAt;
  fault.duration = random.between(300, 9000);
  fault.name = kind.name;
  kind.plan(*this, cluster, drawTargets(fault.duration), fault);
  return fault;
}

}  // namespace aniseline
