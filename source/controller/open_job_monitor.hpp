// Monitors the open jobs: fails jobs that no worker could ever run, stating the cause, and reports
// jobs that have been waiting for a long time, so that operators can investigate. docs/design.md
// 4.8.
#ifndef ANISELINE_CONTROLLER_OPEN_JOB_MONITOR_HPP
#define ANISELINE_CONTROLLER_OPEN_JOB_MONITOR_HPP
#include "controller/log_event.hpp"
#include "state/cluster_state.hpp"

namespace aniseline {

class OpenJobMonitor {
 public:
  explicit OpenJobMonitor(const LogEventSignal& events) : events(events) {}

  // Checks the jobs twice a second; calls in between do nothing. Returns the jobs that can never
  // complete.
  std::vector<JobFailed> check(const ClusterState& state, ClusterTime clusterNow,
                               MonotonicTime now);

 private:
  void reportIfDelayed(const Job& job, const ClusterState& state, ClusterTime clusterNow);

  const LogEventSignal& events;
  MonotonicTime nextCheck;
  std::set<JobId> reported;  // jobs whose delay has been reported
  std::size_t reportsThisCheck = 0;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_OPEN_JOB_MONITOR_HPP
