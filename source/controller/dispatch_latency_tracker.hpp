// Measures how long the cluster takes to start tasks, to commit log records and to learn of ends,
// and reports it once a second. A worker's resources stay allocated from the order to the reported
// end, so all time beside the run itself is lost capacity. Local to the leader; owned by
// Controller. docs/on-call.md.
#ifndef ANISELINE_CONTROLLER_DISPATCH_LATENCY_TRACKER_HPP
#define ANISELINE_CONTROLLER_DISPATCH_LATENCY_TRACKER_HPP
#include "controller/log_event.hpp"
#include "state/cluster_state.hpp"

namespace aniseline {

class DispatchLatencyTracker {
 public:
  explicit DispatchLatencyTracker(const LogEventSignal& events) : events(events) {}

  void clear();
  // Records the starts and the results in an event. Must be called before the event is applied.
  void recordEvent(const ClusterState& before, const Event& event, ClusterTime at);
  // Records the time from the proposal of a record to its commit.
  void recordCommit(Duration latency) { commits.record(latency); }
  // Reports the latencies since the last report if a report is due and there are any.
  void report(MonotonicTime now);

 private:
  const LogEventSignal& events;
  MonotonicTime nextReport;
  LatencySummary waits;
  LatencySummary commits;
  LatencySummary overheads;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_DISPATCH_LATENCY_TRACKER_HPP
