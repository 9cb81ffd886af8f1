// Draws the operators' requests and decides on each answer whether to resend.
#include "simulator/campaign_operators.hpp"
#include "simulator/campaign_configs.hpp"
#include "simulator/fault_kinds.hpp"

namespace aniseline {

namespace {

constexpr std::int64_t resendAfterMs = 300;
constexpr double lostAnswers = 0.3;    // share of the answers that are lost
constexpr double resentOrders = 0.4;   // share of the answered requests that are sent again
constexpr double racesWithLoss = 0.3;  // share of the races during which the leader is killed
constexpr double identicalRaces =
    0.2;  // share of the races in which both operators send the same change
constexpr double patchedOrders =
    0.5;  // share of the changes sent as a patch of the current configuration
constexpr std::int64_t leaderAwayMs = 500;
constexpr const char* leaderLoss = "the operators' leader";  // the fault's name in the history

bool isClear(int status) {
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

void CampaignOperators::sendUntilAnswered(const Order& order) {
  const std::size_t gateway = random.next() % simulatedGateways;
  const auto answered = [this, order](int status, const std::string& body) {
    if (cluster.trace)
      cluster.trace((order.isPatch ? "patch of config " : "config based on ") +
                    std::to_string(order.baseVersion) + ": " + std::to_string(status) + " " + body);
    onAnswer(order, status);
  };
  if (order.isPatch)
    cluster.patchConfig(order.text, order.baseVersion, answered, gateway);
  else
    cluster.applyConfig(order.text, order.baseVersion, answered, gateway);
}

void CampaignOperators::onAnswer(const Order& order, int status) {
  if (status == 200) {
    acknowledgedLater += newestApplied > order.baseVersion + 1;
    newestApplied = std::max(newestApplied, order.baseVersion + 1);
    patchesAcknowledged += order.isPatch;
  }
  const bool lost = !stopped && random.chance(lostAnswers);
  if (!isClear(status) || lost)
    return cluster.scheduleAfter(resendAfterMs, [this, order] { sendUntilAnswered(order); });
  if (stopped || !random.chance(resentOrders))
    return;
  cluster.scheduleAfter(random.between(500, 8000), [this, order] {
    if (!stopped)
      sendUntilAnswered(order);
  });
}

void CampaignOperators::race() {
  const std::uint64_t base = newestApplied;
  const bool identical = random.chance(identicalRaces);
  ++races;
  for (int operatorNumber = 0; operatorNumber < 2; ++operatorNumber) {
    const std::string name =
        "extra" + std::to_string(races) + "x" + std::to_string(identical ? 0 : operatorNumber);
    const std::string queue = "\"" + name + "\":{\"retries\":1}";
    if (base > 0 && random.chance(patchedOrders))
      sendUntilAnswered({"{\"upsert\":{\"queues\":{" + queue + "}}}", base, true});
    else
      sendUntilAnswered({configText("," + queue), base, false});
  }
}

void CampaignOperators::scheduleRaces() {
  for (std::int64_t time = 500; time < options.duration; time += random.between(1500, 6000)) {
    cluster.scheduleAfter(time, [this] {
      if (random.chance(racesWithLoss))
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
  cluster.recordFault(leaderLoss, false);
  cluster.killController(*leader, false);
  ++lostLeaders;
  cluster.scheduleAfter(leaderAwayMs, [this, lost = *leader] {
    cluster.restartController(lost);
    cluster.recordFault(leaderLoss, true);
  });
}

}  // namespace aniseline
