// Draws the operators' requests and decides on each answer whether to resend.
#include "simulator/campaign_operators.hpp"
#include "simulator/campaign_configs.hpp"
#include "simulator/fault_kinds.hpp"

namespace aniseline {

namespace {

constexpr std::int64_t resendAfterMs = 300;
constexpr double lostAnswerShare = 0.3;  // share of the answers that are lost
constexpr double resendShare = 0.4;      // share of the answered requests that are sent again
constexpr double leaderLossShare = 0.3;  // share of the races during which the leader is killed
// Share of the races in which both operators send the same change.
constexpr double identicalRaceShare = 0.2;
// Share of the changes sent as a patch of the current configuration.
constexpr double patchShare = 0.5;
constexpr std::int64_t leaderOutageMs = 500;
constexpr const char* leaderLossFault = "the operators' leader";  // the fault's name in the history

bool isDefinitive(int status) {
  return status == 200 || status == 409 || status == 400;
}

}  // namespace

CampaignOperators::CampaignOperators(SimulatedCluster& cluster, const CampaignOptions& options)
    : cluster(cluster), options(options), random(options.seed * 15485863 + 7) {}

std::string CampaignOperators::configText(const std::string& additionalQueues) const {
  return options.calledWorkers ? calledConfig(additionalQueues) : standardConfig(additionalQueues);
}

void CampaignOperators::applyUntilAnswered(const std::string& text, std::uint64_t baseVersion) {
  sendUntilAnswered({text, baseVersion, false});
}

void CampaignOperators::sendUntilAnswered(const ConfigChange& change) {
  const std::size_t gateway = random.next() % simulatedGateways;
  const auto answered = [this, change](int status, const std::string& body) {
    if (cluster.trace)
      cluster.trace((change.isPatch ? "patch of config " : "config based on ") +
                    std::to_string(change.baseVersion) + ": " + std::to_string(status) + " " +
                    body);
    onAnswer(change, status);
  };
  if (change.isPatch)
    cluster.patchConfig(change.text, change.baseVersion, answered, gateway);
  else
    cluster.applyConfig(change.text, change.baseVersion, answered, gateway);
}

void CampaignOperators::onAnswer(const ConfigChange& change, int status) {
  if (status == 200) {
    lateResends += newestApplied > change.baseVersion + 1;
    newestApplied = std::max(newestApplied, change.baseVersion + 1);
    patchesAcknowledged += change.isPatch;
  }
  const bool lost = !stopped && random.chance(lostAnswerShare);
  if (!isDefinitive(status) || lost)
    return cluster.scheduleAfter(resendAfterMs, [this, change] { sendUntilAnswered(change); });
  if (stopped || !random.chance(resendShare))
    return;
  cluster.scheduleAfter(random.between(500, 8000), [this, change] {
    if (!stopped)
      sendUntilAnswered(change);
  });
}

void CampaignOperators::race() {
  const std::uint64_t base = newestApplied;
  const bool identical = random.chance(identicalRaceShare);
  ++races;
  for (int operatorNumber = 0; operatorNumber < 2; ++operatorNumber) {
    const std::string name =
        "extra" + std::to_string(races) + "x" + std::to_string(identical ? 0 : operatorNumber);
    const std::string queue = "\"" + name + "\":{\"retries\":1}";
    if (base > 0 && random.chance(patchShare))
      sendUntilAnswered({"{\"upsert\":{\"queues\":{" + queue + "}}}", base, true});
    else
      sendUntilAnswered({configText("," + queue), base, false});
  }
}

void CampaignOperators::scheduleRaces() {
  for (std::int64_t time = 500; time < options.duration; time += random.between(1500, 6000)) {
    cluster.scheduleAfter(time, [this] {
      if (random.chance(leaderLossShare))
        loseLeaderSoon();
      race();
    });
  }
}

// Kills the leader while the operators' requests are in flight.
void CampaignOperators::loseLeaderSoon() {
  cluster.scheduleAfter(random.between(0, 40), [this] { loseLeader(); });
}

void CampaignOperators::loseLeader() {
  const auto leader = cluster.leader();
  if (!leader || stopped || !cluster.allReplicasIntact())
    return;
  cluster.recordFault(leaderLossFault, false);
  cluster.killController(*leader, false);
  ++lostLeaders;
  cluster.scheduleAfter(leaderOutageMs, [this, lost = *leader] {
    cluster.restartController(lost);
    cluster.recordFault(leaderLossFault, true);
  });
}

}  // namespace aniseline
