// The controller as a daemon: sockets, disk and threads round the core. docs/design.md 9.
#ifndef ANISELINE_DAEMONS_CONTROLLER_DAEMON_HPP
#define ANISELINE_DAEMONS_CONTROLLER_DAEMON_HPP
#include "net/leader_forwarder.hpp"
#include "state/policy_switches.hpp"

namespace aniseline {

struct ControllerSettings {
  Address peerAddress;        // the inner interface, for other processes of the system
  Address httpAddress;        // health and readiness; empty: none
  Address advertisedAddress;  // where others reach `peerAddress`
  std::string zone;
  // Without a data folder the controller stores nothing and never votes: it only leads the way.
  // docs/design.md 9.7
  std::string dataFolder;
  std::vector<Address> seeds;  // for first contact
  bool bootstrap = false;      // it may bootstrap a cluster once every seed is there and blank
  bool quiet = false;          // no logs
  std::int64_t heartbeatMilliseconds = 100;
  std::int64_t electionLowMilliseconds = 500;
  std::int64_t electionHighMilliseconds = 1000;
  std::int64_t replaceAfterMilliseconds = 30'000;  // a silent voter, where a learner is there
  std::int64_t snapshotVersions = 1000;            // records on disk between snapshots
  std::int64_t voters = 3;
  // How long a stop waits for another leader and for other full copies. As long as two elections
  // and a lost message take.
  static constexpr std::int64_t defaultStopTimeoutMilliseconds = 3000;
  std::int64_t stopTimeoutMilliseconds = defaultStopTimeoutMilliseconds;
  // What the process may take of memory; its queues, log tail and snapshots are shares of it. 0:
  // the defaults.
  std::uint64_t memoryBytes = 0;
  std::int64_t leaseMilliseconds = 3000;        // of a worker
  std::int64_t leaseMarginMilliseconds = 1000;  // beyond it, for clocks that differ
  // Work that fits is passed over for at most that long; docs/design.md 7.9.
  std::int64_t maxPassedOverMilliseconds = 2000;
  PolicySwitches policies;       // off only in experiments
  bool explainLateJobs = false;  // in the log: where the time of a late job went
  // Of the operators' configurations, where they come by an adapter in a form of its own.
  ConfigParser parseConfig = ClusterConfig::parse;
  ExternalInterface externalInterface;  // an adapter's, beside the product's own
  SeedSource seedSource;                // where the seeds can change while the process runs
};

// Serves until it is told to stop; the process' exit status.
int runController(ControllerSettings settings);

}  // namespace aniseline

#endif  // ANISELINE_DAEMONS_CONTROLLER_DAEMON_HPP
