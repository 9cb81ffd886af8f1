// Explains why a job ended after its latency target: for each run in the chain that delayed the
// job's end, reports how long the run waited for its start and how long it took. The data is local
// to the leader, is not written to the replicated log, and is reset at the start of each
// leadership. Owned by Controller; has no cost unless it is enabled. docs/on-call.md,
// docs/design.md 4.8.
#ifndef ANISELINE_CONTROLLER_JOB_LATENCY_TRACKER_HPP
#define ANISELINE_CONTROLLER_JOB_LATENCY_TRACKER_HPP
#include "controller/log_event.hpp"
#include "state/cluster_state.hpp"

namespace aniseline {

class JobLatencyTracker {
 public:
  explicit JobLatencyTracker(const LogEventSignal& events) : events(events) {}

  void clear() { runsByJob.clear(); }
  // Records the runs whose results the event contains. Must be called before the event is applied.
  void recordResults(const ClusterState& before, const Event& event, ClusterTime at);
  // Reports the jobs that the event has ended. Must be called after the event was applied.
  void reportEnded(const ClusterState& after);

 private:
  struct EndedRun {
    std::uint32_t taskIndex = 0;
    std::uint32_t stepIndex = 0;
    AttemptOutcome outcome = AttemptOutcome::succeeded;
    bool remote = false;
    WorkerId worker;
    Duration requested;
    ClusterTime readyAt;
    ClusterTime orderedAt;
    ClusterTime endedAt;
  };
  using Runs = std::vector<EndedRun>;

  void reportIfLate(const Job& job, const QueueOptions& queue, const Runs& runs) const;

  const LogEventSignal& events;
  std::map<JobId, Runs> runsByJob;  // of open jobs
  std::vector<JobId> updatedJobs;   // jobs with results in the event that is being applied
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_JOB_LATENCY_TRACKER_HPP
