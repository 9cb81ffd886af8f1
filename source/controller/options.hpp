// Settings of a controller: leases, time-outs, membership and memory limits. Set by the daemon from
// its command line, and by the simulator; read-only after the controller is constructed.
#ifndef ANISELINE_CONTROLLER_OPTIONS_HPP
#define ANISELINE_CONTROLLER_OPTIONS_HPP
#include "raft/node.hpp"
#include "state/cluster_config.hpp"
#include "state/policy_switches.hpp"

namespace aniseline {

struct ControllerOptions {
  RaftOptions raft;

  // How long a worker may run tasks after the sync for which its lease was granted.
  Duration leaseDuration{3000};
  // Added to the lease before the leader abandons the tasks of a worker, to allow for clocks that
  // drift apart.
  Duration leaseMargin{1000};
  // Added to the time until which an unresponsive worker may run its tasks according to its agent.
  Duration unresponsiveMargin{150};
  // A worker heard from within this time counts as alive: no other process may register under its
  // identifier.
  Duration workerLivenessTimeout{1500};

  // The longest time for which plans may pass over work that fits, for the sake of other work, if
  // nothing else of its job is running. docs/design.md 7.9.
  Duration maxPassedOverTime{2000};

  // Policies are switched off only in experiments.
  PolicySwitches policies;

  // Reports where the time went for each job that ended after its latency target.
  bool explainLateJobs = false;

  // The longest time for which a sync without news is held open.
  Duration maxPollDuration{1000};
  // A request that could not be answered within this time gets the response that it was not applied
  // or that its outcome is unknown.
  Duration responseTimeout{2000};

  // A member that was not heard from for this long counts as dead and is replaced.
  Duration deadMemberTimeout{30'000};
  // Two for each voter that may fail at the same time, plus one. docs/design.md 3.5.
  std::size_t voterCount = 3;

  // A snapshot is taken after this number of disk records, or this number of bytes of them.
  std::uint64_t maxRecordsBetweenSnapshots = 1000;
  std::uint64_t maxBytesBetweenSnapshots = 8 * 1024 * 1024;

  // Parses the configuration that results from patching the current one.
  ConfigParser parseConfig = ClusterConfig::parse;

  std::size_t maxPendingRequests = 4000;
  // Limit on the texts of pending requests and of uncommitted proposals. A single text may exceed
  // it.
  std::size_t maxPendingBytes = 16 * 1024 * 1024;
  // Limit on the estimated size of all jobs in one copy of the cluster state. docs/design.md 10.1.
  std::uint64_t maxJobBytes = 2ull * 1024 * 1024 * 1024;
  // Limit on the bytes queued to each peer; enforced by the daemon.
  std::size_t maxOutboxBytes = 4 * 1024 * 1024;

  // Lowers the limits in bytes to fixed shares of the memory that the process may use, if these are
  // smaller. 0 means no limit.
  void applyMemoryLimit(std::uint64_t processBytes);
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_OPTIONS_HPP
