// Settings of one controller's core: leases, time-outs, membership and memory
// limits. Filled in by the daemon from its command line and by the simulator;
// read-only once the controller is built.
#ifndef ANISELINE_CONTROLLER_OPTIONS_HPP
#define ANISELINE_CONTROLLER_OPTIONS_HPP
#include "raft/node.hpp"
#include "state/cluster_config.hpp"
#include "state/policy_switches.hpp"

namespace aniseline {

struct ControllerOptions {
  RaftOptions raft;

  // How long a worker may run tasks after the sync that its lease was granted
  // for.
  Duration leaseDuration{3000};
  // Added to the lease before the leader gives up a worker's tasks, for clocks
  // that run apart.
  Duration leaseMargin{1000};
  // Added to the time until which an agent says that an unresponsive worker may
  // run its tasks.
  Duration unresponsiveMargin{150};
  // A worker heard from within this time is alive: another process may not
  // register under its id.
  Duration workerLivenessTimeout{1500};

  // Work that fits is passed over for the sake of other work for at most this
  // time, if nothing else of its job runs. docs/design.md 7.9.
  Duration maxPassedOverTime{2000};

  // Off only in experiments.
  PolicySwitches policies;

  // Say of each job that ended after its latency target where its time went.
  bool explainLateJobs = false;

  // The longest time for which a sync without news is held back.
  Duration maxPollDuration{1000};
  // A request that can't be answered by then is answered as unknown or not
  // taken.
  Duration responseTimeout{2000};

  // A member unheard for this long counts as dead and is replaced.
  Duration deadMemberTimeout{30'000};
  // Two for each voter that may be lost at the same time, and one.
  // docs/design.md 3.5.
  std::size_t voterCount = 3;

  // A snapshot is taken after so many disk records, or so many bytes of them.
  std::uint64_t maxRecordsBetweenSnapshots = 1000;
  std::uint64_t maxBytesBetweenSnapshots = 8 * 1024 * 1024;

  // Reads configurations that a patch makes out of the one in force.
  ConfigParser parseConfig = ClusterConfig::parse;

  std::size_t maxPendingRequests = 4000;
  // Texts of pending requests and of proposals not committed yet; a single one
  // may be larger.
  std::size_t maxPendingBytes = 16 * 1024 * 1024;
  // Queued to each peer; enforced by the daemon.
  std::size_t maxOutboxBytes = 4 * 1024 * 1024;

  // Lowers the limits in bytes to shares of what the process may use, where
  // these are smaller. 0: there is no limit.
  void applyMemoryLimit(std::uint64_t processBytes);
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_OPTIONS_HPP
