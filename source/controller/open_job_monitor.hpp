// Watches the open jobs: fails those that no worker could ever run, with the
// cause, and reports those that have waited for long, so that operators look at
// them. docs/design.md 4.8.
#ifndef ANISELINE_CONTROLLER_OPEN_JOB_MONITOR_HPP
#define ANISELINE_CONTROLLER_OPEN_JOB_MONITOR_HPP
#include "controller/log_event.hpp"
#include "state/cluster_state.hpp"

namespace aniseline {

class OpenJobMonitor {
 public:
  explicit OpenJobMonitor(const LogEventSignal& events) : events(events) {}

  // Looks at the jobs twice a second, and at other times does nothing. Returns
  // the jobs that can never be done.
  std::vector<JobFailed> check(const ClusterState& state, ClusterTime clusterNow,
                               MonotonicTime now);

 private:
  void reportIfDelayed(const Job& job, const ClusterState& state, ClusterTime clusterNow);

  const LogEventSignal& events;
  MonotonicTime nextCheck;
  std::set<JobId> reported;  // jobs whose delay was reported
  std::size_t reportsThisCheck = 0;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_OPEN_JOB_MONITOR_HPP
