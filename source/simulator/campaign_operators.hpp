// The operators of a campaign. They apply configurations, resend a request until its answer is
// definitive, and send competing requests. They draw from a random generator of their own, so that
// the drawn faults do not depend on them. docs/design.md 12.3.
#ifndef ANISELINE_SIMULATOR_CAMPAIGN_OPERATORS_HPP
#define ANISELINE_SIMULATOR_CAMPAIGN_OPERATORS_HPP
#include "simulator/campaign.hpp"

namespace aniseline {

class CampaignOperators {
 public:
  // The cluster and the options must outlive this object.
  CampaignOperators(SimulatedCluster& cluster, const CampaignOptions& options);

  // Returns the text of the campaign's configuration, with the additional queues; see
  // campaign_configs.
  std::string configText(const std::string& additionalQueues = "") const;
  // Sends the configuration until it gets a definitive answer. Answers may be lost, and a request
  // may be sent once more long after it was answered, when newer ones have been applied.
  void applyUntilAnswered(const std::string& text, std::uint64_t baseVersion);
  // Sends two changes of the same base version at once. Sometimes both are the same change, and
  // some are patches.
  void race();
  // Schedules races until the end of the run; the leader is killed during some of them.
  void scheduleRaces();
  // Stops the loss of answers, the late resending of requests and the killing of leaders.
  void stop() { stopped = true; }

  // Returns the newest version that was acknowledged.
  std::uint64_t appliedVersion() const { return newestApplied; }
  // Returns how many changes were acknowledged again after a newer one had been applied.
  std::uint64_t acknowledgedLateResends() const { return lateResends; }
  std::uint64_t acknowledgedPatches() const { return patchesAcknowledged; }
  std::size_t leadersLost() const { return lostLeaders; }

 private:
  // A whole configuration, or a patch of its base version.
  struct ConfigChange {
    std::string text;
    std::uint64_t baseVersion = 0;
    bool isPatch = false;
  };
  void sendUntilAnswered(const ConfigChange& change);
  void onAnswer(const ConfigChange& change, int status);
  void loseLeaderSoon();
  void loseLeader();

  SimulatedCluster& cluster;
  const CampaignOptions& options;
  Random random;
  std::uint64_t newestApplied = 0;
  std::uint64_t lateResends = 0;
  std::uint64_t patchesAcknowledged = 0;
  std::size_t races = 0;
  std::size_t lostLeaders = 0;
  bool stopped = false;
};

}  // namespace aniseline

#endif  // ANISELINE_SIMULATOR_CAMPAIGN_OPERATORS_HPP
