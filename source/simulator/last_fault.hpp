// The fault that may end a run. No other fault follows, and the lost processes do not come back, so
// that the rest of the cluster has to keep serving. Called by a campaign after the cluster is
// healed.
// docs/design.md 12.3.
#ifndef ANISELINE_SIMULATOR_LAST_FAULT_HPP
#define ANISELINE_SIMULATOR_LAST_FAULT_HPP
#include "simulator/campaign.hpp"

namespace aniseline {

class LastFault {
 public:
  // The cluster and the options must outlive this object.
  LastFault(SimulatedCluster& cluster, const CampaignOptions& options);

  // Waits until every voter has its disk, since the number of tolerable losses assumes that. Waits
  // at most 40 s of virtual time.
  void awaitIntactReplicas();

  // Makes as many voters as may be lost at once, the leader first, lose power, freeze, lose their
  // disks or become isolated. The seed selects which. All other machines stay up.
  void injectDrawnBySeed();

  // Makes as many voters as may be lost lose their disks, while every other machine loses power at
  // the same moment: controllers (including those that don't vote), gateways, workers and agents.
  // Power returns zone by zone. Depending on the seed, the machines whose disks are lost stay down
  // or come back empty. Returns once all zones have power again.
  //
  // Right before the fault, jobs are submitted and `raceOperators` is called, so that some
  // acknowledgements have just been sent and others are in flight when it occurs.
  void injectEverywhere(const std::function<void()>& raceOperators);

  // Returns how many jobs were acknowledged within the last second before injectEverywhere's fault.
  std::size_t jobsAcknowledgedBefore() const { return acknowledgedJobs; }

 private:
  std::vector<std::size_t> chooseVictims() const;
  void submitWork();
  void loseDisksAndPower(const std::vector<std::size_t>& victims);
  void returnPower(const std::vector<std::size_t>& victims);

  SimulatedCluster& cluster;
  const CampaignOptions& options;
  Random random;  // its own generator, so that the run before it does not change
  std::size_t acknowledgedJobs = 0;
};

}  // namespace aniseline

#endif  // ANISELINE_SIMULATOR_LAST_FAULT_HPP
