// The leader's view of worker connectivity: the time of each worker's last contact, the workers
// that their agents report as unresponsive, and the expiry of leases and drains. It determines
// which workers become unreachable or are removed; the controller logs the resulting events. The
// state is local to the leader, uses its monotonic clock, and is reset at the start of each
// leadership. docs/design.md 5.4 to 5.8.
#ifndef ANISELINE_CONTROLLER_LEASE_MANAGER_HPP
#define ANISELINE_CONTROLLER_LEASE_MANAGER_HPP
#include "controller/options.hpp"
#include "scheduling/planner.hpp"
#include "state/sync_report.hpp"

namespace aniseline {

class LeaseManager {
 public:
  // The effect of a report on what is known about its worker.
  struct ReportEffect {
    // A later report of the same agent arrived first, so this one is ignored.
    bool outOfOrder = false;
    bool becameResponsive = false;  // the worker responds to its agent again
  };

  explicit LeaseManager(const ControllerOptions& options) : options(options) {}

  // Resets the state at the start of a leadership, when every worker counts as heard from just now.
  void restart(MonotonicTime now);
  // Called when a worker, its state or its drain deadline has changed. The next expiry times are
  // then recomputed.
  void invalidateDeadlines() { deadlinesStale = true; }

  ReportEffect recordReport(const SyncReport& report, MonotonicTime now);
  // Reports whether the agent on the same host has already reported another instance with a later
  // timestamp. In that case this report was delayed in transit, and its instance has ended.
  // docs/design.md 5.8.
  bool isSupersededByOtherInstance(const SyncReport& report) const;
  MonotonicTime lastContact(const WorkerId& worker) const;
  bool isAlive(const WorkerId& worker, MonotonicTime now) const {
    return now - lastContact(worker) < options.workerLivenessTimeout;
  }
  // Returns, for the planner, the time since the last contact with each worker that has synced
  // during this leadership.
  LastContactAges timesSinceLastContact(MonotonicTime now) const;
  Duration timeLeading(MonotonicTime now) const { return now - leaderSince; }
  // Returns the events to log for leases and drains that have expired by now.
  std::vector<Event> expire(const ClusterState& state, MonotonicTime now, ClusterTime clusterNow);

 private:
  MonotonicTime leaseExpiry(const WorkerId& worker) const;
  void collectExpired(const ClusterState& state, MonotonicTime now, ClusterTime clusterNow);
  bool isUnreachable(const WorkerId& worker, MonotonicTime now) const;
  bool isLost(const Attempt& attempt, const ClusterState& state, MonotonicTime now) const;
  WorkerUnreachable unreachableEvent(const Worker& worker, const ClusterState& state,
                                     MonotonicTime now) const;
  std::optional<Event> eventOfUnreachable(const Worker& worker, const ClusterState& state,
                                          MonotonicTime now) const;

  const ControllerOptions& options;
  MonotonicTime leaderSince;
  std::map<WorkerId, MonotonicTime> lastContacts;
  // The timestamp of the latest report of each worker, by the clock of its agent. Reports can
  // arrive out of order.
  std::map<WorkerId, MonotonicTime> latestReports;
  // The same by host, with the instance that was last reported on that host.
  struct HostReport {
    WorkerId instance;
    MonotonicTime reportedAt;
  };
  std::map<std::string, HostReport> latestReportsByHost;
  // Workers that do not respond to their agents, with the time at which their last task must have
  // stopped.
  std::map<WorkerId, MonotonicTime> unresponsiveUntil;
  // Workers whose leases or drains may have expired. The other workers need not be examined before
  // the times below, or before a change. docs/design.md 5.4.
  std::set<WorkerId> expired;
  bool deadlinesStale = true;
  MonotonicTime nextLeaseExpiry;
  ClusterTime nextDrainDeadline;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_LEASE_MANAGER_HPP
