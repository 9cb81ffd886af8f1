// The controller as a daemon: sockets, disk and threads round the core. docs/design.md 9.
#ifndef ANISELINE_DAEMONS_CONTROLLER_DAEMON_HPP
#define ANISELINE_DAEMONS_CONTROLLER_DAEMON_HPP
#include "net/leader_forwarder.hpp"

namespace aniseline {

struct ControllerSettings {
  Address peerAddress, httpAddress, advertisedAddress;
  std::string zone, dataFolder;  // without a data folder it stores nothing and never votes: it
                                 // leads the way only. docs/design.md 9.7
  std::vector<Address> seeds;
  bool bootstrap = false, quiet = false;
  std::int64_t heartbeatMilliseconds = 100, electionLowMilliseconds = 500,
               electionHighMilliseconds = 1000, replaceAfterMilliseconds = 30'000,
               snapshotVersions = 1000, voters = 3;
  // How long a stop waits for another leader and for other full copies, in milliseconds. As long as
  // two elections and a lost message take.
  static constexpr std::int64_t defaultStopTimeoutMilliseconds = 3000;
  std::int64_t stopTimeoutMilliseconds = defaultStopTimeoutMilliseconds;
  // What the process may take of memory; its queues, log tail and snapshots are shares of it. 0:
  // the defaults.
  std::uint64_t memoryBytes = 0;
  std::int64_t leaseMilliseconds = 3000,
               leaseMarginMilliseconds = 1000;  // of workers' leases, in milliseconds
  ExternalInterface externalInterface;
  SeedSource seedSource;
};

// Serves until it is told to stop; the process' exit status.
int runController(ControllerSettings settings);

}  // namespace aniseline

#endif  // ANISELINE_DAEMONS_CONTROLLER_DAEMON_HPP
