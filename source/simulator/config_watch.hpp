// Observes which configuration is in force during a campaign, as gateways answer it and as each
// process acts on it, and records that in the history. docs/design.md 11, 12.3.
#ifndef ANISELINE_SIMULATOR_CONFIG_WATCH_HPP
#define ANISELINE_SIMULATOR_CONFIG_WATCH_HPP
#include "simulator/simulated_cluster.hpp"

namespace aniseline {

class ConfigWatch {
 public:
  // The cluster and the random numbers outlive this.
  ConfigWatch(SimulatedCluster& cluster, Random& random) : cluster(cluster), random(random) {}

  void start();
  // Processes are no longer looked into; gateways are asked until the end of the run.
  void stopObservingProcesses() { stopped = true; }
  // How often a gateway answered which configuration is in force.
  std::uint64_t answers() const { return answerCount; }

 private:
  void askGateway();
  void onAnswer(std::int64_t askedAt, int status, const std::string& body);
  void observeProcesses();

  SimulatedCluster& cluster;
  Random& random;
  std::uint64_t answerCount = 0;
  bool stopped = false;
};

}  // namespace aniseline

#endif  // ANISELINE_SIMULATOR_CONFIG_WATCH_HPP
