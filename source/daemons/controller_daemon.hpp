// Declares the controller daemon, which adds sockets, disk and threads to the controller core.
// docs/design.md 9.
#ifndef ANISELINE_DAEMONS_CONTROLLER_DAEMON_HPP
#define ANISELINE_DAEMONS_CONTROLLER_DAEMON_HPP
#include "net/leader_forwarder.hpp"
#include "state/policy_switches.hpp"

namespace aniseline {

struct ControllerSettings {
  Address peerAddress;        // the internal interface, for other processes of the system
  Address httpAddress;        // serves health and readiness probes; none if empty
  Address advertisedAddress;  // the address by which other processes reach `peerAddress`
  std::string zone;
  // Without a data folder the controller stores nothing and never votes. It only serves the route
  // to the leader. docs/design.md 9.7
  std::string dataFolder;
  std::vector<Address> seeds;  // controllers or gateways to contact first
  bool bootstrap = false;      // may bootstrap a cluster once every seed is reachable and blank
  bool quiet = false;          // disables logging
  std::int64_t heartbeatMilliseconds = 100;
  std::int64_t electionLowMilliseconds = 500;
  std::int64_t electionHighMilliseconds = 1000;
  // A voter that has been silent this long is replaced if a learner is available.
  std::int64_t replaceAfterMilliseconds = 30'000;
  std::int64_t snapshotVersions = 1000;  // the number of records on disk between two snapshots
  std::int64_t voters = 3;
  // How long a shutdown waits for another leader, and for other controllers that hold a complete
  // copy of the state. The default covers two elections and a lost message.
  static constexpr std::int64_t defaultStopTimeoutMilliseconds = 3000;
  std::int64_t stopTimeoutMilliseconds = defaultStopTimeoutMilliseconds;
  // The memory that the process may use, from which the limits of its queues, log tail and
  // snapshots are derived. 0 selects the default limits.
  std::uint64_t memoryBytes = 0;
  std::int64_t leaseMilliseconds = 3000;        // the duration of a worker's lease
  std::int64_t leaseMarginMilliseconds = 1000;  // added to the lease to allow for clock drift
  // The longest time for which the planner may prefer other work to a task that fits;
  // docs/design.md 7.9.
  std::int64_t maxPassedOverMilliseconds = 2000;
  PolicySwitches policies;       // policies are switched off only in experiments
  bool explainLateJobs = false;  // logs how a late job spent its time
  // Parses the operators' configurations. An adapter replaces it if it has its own format.
  ConfigParser parseConfig = ClusterConfig::parse;
  ExternalInterface externalInterface;  // an adapter's interface, served beside the standard one
  SeedSource seedSource;  // re-read while the process runs; empty if the seeds never change
};

// Serves until the process is told to stop, and then ends it. Returns only after an error, with the
// exit status.
int runController(ControllerSettings settings);

}  // namespace aniseline

#endif  // ANISELINE_DAEMONS_CONTROLLER_DAEMON_HPP
