// Observes the current configuration during a campaign, as returned by gateways and as used by each
// process, and records it in the history. docs/design.md 11, 12.3.
#ifndef ANISELINE_SIMULATOR_CONFIG_WATCH_HPP
#define ANISELINE_SIMULATOR_CONFIG_WATCH_HPP
#include "simulator/simulated_cluster.hpp"

namespace aniseline {

class ConfigWatch {
 public:
  // The cluster and the generator must outlive this object.
  ConfigWatch(SimulatedCluster& cluster, Random& random) : cluster(cluster), random(random) {}

  void start();
  // Stops observing the processes; gateways are queried until the end of the run.
  void stopObservingProcesses() { stopped = true; }
  // Returns how often a gateway answered with the current configuration.
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
