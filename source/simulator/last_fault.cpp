// Chooses the lost controllers, and submits jobs right before the fault.
#include "simulator/last_fault.hpp"
#include "simulator/campaign_workload.hpp"
#include "simulator/campaign_configs.hpp"
#include "simulator/fault_kinds.hpp"

namespace aniseline {

namespace {

constexpr const char* faultName = "the last fault";  // as recorded in the history
constexpr std::int64_t intactWithinMs = 40'000;
constexpr std::size_t jobsBeforeTheFault = 24;
constexpr std::int64_t submittedOverMs = 600;
constexpr std::int64_t recentMs = 1000;
// Bounds of the time from the power loss to its return in the first zone, and from one zone to the
// next.
constexpr std::int64_t shortestOutageMs = 300;
constexpr std::int64_t longestOutageMs = 8000;
constexpr std::int64_t longestBetweenZonesMs = 1500;

// The failure of the targeted controllers while all other processes stay up.
enum class Loss : std::uint8_t { power, frozen, disks, cutOff };

}  // namespace

LastFault::LastFault(SimulatedCluster& cluster, const CampaignOptions& options)
    : cluster(cluster), options(options), random(options.seed * 32452843 + 11) {}

void LastFault::awaitIntactReplicas() {
  cluster.runUntilTrue(
      [&] { return cluster.allReplicasIntact() && cluster.voterCount() == options.voters; },
      intactWithinMs);
}

// Returns the leader, then other voters up to the number that may be lost.
std::vector<std::size_t> LastFault::chooseVictims() const {
  std::vector<std::size_t> victims{cluster.leader().value_or(0)};
  for (std::size_t index = 0;
       index < cluster.controllerCount() && victims.size() < cluster.tolerableLosses(); ++index) {
    if (index != victims.front() && cluster.isVoter(index))
      victims.push_back(index);
  }
  return victims;
}

void LastFault::injectDrawnBySeed() {
  const auto victims = chooseVictims();
  const std::size_t leaderZone = victims.front() % simulatedZones;
  cluster.recordFault(faultName, false);
  switch (Loss(options.seed / 4 % 4)) {
    case Loss::power:
      for (const std::size_t index : victims) {
        cluster.killController(index, true);
      }
      break;
    case Loss::frozen:
      for (const std::size_t index : victims) {
        cluster.freezeController(index, true);
      }
      break;
    case Loss::disks:
      if (!cluster.allReplicasIntact())
        break;
      for (const std::size_t index : victims) {
        cluster.loseDisk(index);
      }
      break;
    case Loss::cutOff:
      if (options.voters == 3) {  // each zone has one of the three voters
        cluster.partitionZones(leaderZone, (leaderZone + 1) % simulatedZones, true);
        cluster.partitionZones(leaderZone, (leaderZone + 2) % simulatedZones, true);
        break;
      }
      for (const std::size_t index : victims) {
        cluster.isolateController(index, true);
      }
      break;
  }
  cluster.recordFault(faultName, true);
}

// Submits short and long jobs, gangs and checkpointed jobs; some of them are cancelled right away.
void LastFault::submitWork() {
  for (std::size_t count = 0; count < jobsBeforeTheFault; ++count) {
    const std::string id = "last" + std::to_string(count);
    JobSubmission job;
    switch (count % 4) {
      case 0:
        job = singleStepJob(id, "proofs", {});
        break;
      case 1:
        job = singleStepJob(id, "long",
                            {.tasks = 2,
                             .cores = 4,
                             .memoryMb = 2048,
                             .requestedMs = 6000,
                             .actualMs = random.between(3000, 8000)});
        break;
      case 2:
        job = singleStepJob(id, "plates",
                            {.tasks = 4,
                             .cores = 2,
                             .memoryMb = 1024,
                             .requestedMs = 5000,
                             .actualMs = random.between(1000, 6000),
                             .gang = true});
        break;
      default:
        job =
            singleStepJob(id, options.calledWorkers ? "books" : "dielines",
                          {.tasks = 2, .requestedMs = 4000, .actualMs = random.between(500, 5000)});
        job.steps[0].requirements.checkpointed = options.calledWorkers > 0;
        break;
    }
    const std::int64_t cancelDelay = random.chance(0.2) ? random.between(0, 300) : -1;
    cluster.scheduleAfter(random.between(0, submittedOverMs),
                          [this, job, cancelDelay] { cluster.submit(job, cancelDelay); });
  }
}

void LastFault::loseDisksAndPower(const std::vector<std::size_t>& victims) {
  for (const std::size_t index : victims) {
    cluster.loseDisk(index);
  }
  for (std::size_t zone = 0; zone < simulatedZones; ++zone) {
    powerOffZone(cluster, zone);
  }
}

void LastFault::returnPower(const std::vector<std::size_t>& victims) {
  const bool victimsReturn = random.chance(0.5);
  const auto firstZone = std::size_t(random.next() % simulatedZones);
  for (std::size_t count = 0; count < simulatedZones; ++count) {
    if (count > 0)
      cluster.runUntil(cluster.now + random.between(0, longestBetweenZonesMs));
    powerOnZone(cluster, (firstZone + count) % simulatedZones,
                victimsReturn ? std::vector<std::size_t>() : victims);
  }
}

void LastFault::injectEverywhere(const std::function<void()>& raceOperators) {
  submitWork();
  cluster.scheduleAfter(random.between(0, submittedOverMs), raceOperators);
  cluster.runUntil(cluster.now + random.between(submittedOverMs / 4, submittedOverMs));
  const auto victims = chooseVictims();
  const std::int64_t from = SimulatedCluster::epochMs + cluster.now - recentMs;
  acknowledgedJobs = std::size_t(
      std::count_if(cluster.history.begin(), cluster.history.end(), [&](const HistoryEvent& event) {
        return event.kind == HistoryEvent::Kind::accepted && event.timestamp >= from;
      }));
  cluster.recordFault(faultName, false);
  loseDisksAndPower(victims);
  cluster.runUntil(cluster.now + random.between(shortestOutageMs, longestOutageMs));
  returnPower(victims);
  cluster.recordFault(faultName, true);
}

}  // namespace aniseline
