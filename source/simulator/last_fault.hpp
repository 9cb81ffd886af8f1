// The fault that may end a run. No other comes after it, and what is lost stays away, so that the
// rest of the cluster has to serve on. Called by a campaign once all has been healed.
// docs/design.md 12.3.
#ifndef ANISELINE_SIMULATOR_LAST_FAULT_HPP
#define ANISELINE_SIMULATOR_LAST_FAULT_HPP
#include "simulator/campaign.hpp"

namespace aniseline {

class LastFault {
 public:
  // The cluster outlives this.
  LastFault(SimulatedCluster& cluster, const CampaignOptions& options);

  // Waits until every voter has its disk, since what may be lost is counted from there; for at most
  // 40 s of virtual time.
  void awaitIntactReplicas();

  // The leader, and as many other voters as may be lost at once, lose power, freeze, lose their
  // disks or are cut off, by the seed. All other machines stay up.
  void injectDrawnBySeed();

  // As many voters as may be lost lose their disks, while every other machine loses power at the
  // same moment: controllers (also those that don't vote), gateways, workers and agents. Power
  // returns zone by zone. The machines whose disks are lost stay away, or come back empty, by the
  // seed. Returns once all zones have power again.
  //
  // Jobs are submitted right before, and `raceOperators` is called, so that the fault comes while
  // acknowledgements have just been given and others are under way.
  void injectEverywhere(const std::function<void()>& raceOperators);

  // Jobs that were acknowledged within the last second before injectEverywhere's fault.
  std::size_t justAcknowledged() const { return acknowledgedRightBefore; }

 private:
  std::vector<std::size_t> chooseVictims() const;
  void submitWork();
  void loseEverything(const std::vector<std::size_t>& victims);
  void returnPower(const std::vector<std::size_t>& victims);

  SimulatedCluster& cluster;
  const CampaignOptions& options;
  Random random;  // of its own, so that it leaves the run before it as it is
  std::size_t acknowledgedRightBefore = 0;
};

}  // namespace aniseline

#endif  // ANISELINE_SIMULATOR_LAST_FAULT_HPP
