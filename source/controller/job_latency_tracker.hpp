// Says of each job that ended after its latency target where its time went: along the chain of runs
// that its end had to wait for, how long each waited for a start and how long it ran. The leader's
// own knowledge, not logged in the replicated log: it begins anew with each leadership. Owned by
// Controller; costs nothing unless it is switched on. docs/on-call.md, docs/design.md 4.8.
#ifndef ANISELINE_CONTROLLER_JOB_LATENCY_TRACKER_HPP
#define ANISELINE_CONTROLLER_JOB_LATENCY_TRACKER_HPP
#include "controller/log_event.hpp"
#include "state/cluster_state.hpp"

namespace aniseline {

class JobLatencyTracker {
 public:
  explicit JobLatencyTracker(const LogEventSignal& events) : events(events) {}

  void clear() { runsByJob.clear(); }
  /// To be called before the event is applied: notes the runs whose results it brings.
  void recordResults(const ClusterState& before, const Event& event, ClusterTime at);
  /// To be called after it was applied: reports the jobs that ended by it.
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
  std::vector<JobId> touched;       // by the event that is being applied
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_JOB_LATENCY_TRACKER_HPP
