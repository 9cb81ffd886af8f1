// Takes the latencies from the events that the leader proposes.
#include "controller/dispatch_latency_tracker.hpp"

namespace aniseline {

namespace {
constexpr Duration reportInterval{1000};
}  // namespace

void DispatchLatencyTracker::clear() {
  waits = commits = overheads = LatencySummary{};
}

void DispatchLatencyTracker::recordEvent(const ClusterState& before, const Event& event,
                                         ClusterTime at) {
  if (const auto* plan = boost::get<PlanMade>(&event)) {
    for (const auto& action : plan->actions) {
      const auto job = before.jobs().find(action.job);
      if (action.kind == ActionKind::start && job != before.jobs().end() &&
          action.taskIndex < job->second.tasks.size())
        waits.record(at - job->second.tasks[action.taskIndex].readyAt);
    }
    return;
  }
  const auto* synced = boost::get<WorkerSynced>(&event);
  if (!synced)
    return;
  for (const auto& result : synced->results) {
    const auto attempt = before.attempts().find(result.attempt);
    if (attempt != before.attempts().end() && result.outcome == AttemptOutcome::succeeded)
      overheads.record(at - attempt->second.orderedAt - attempt->second.runtime);
  }
}

void DispatchLatencyTracker::report(MonotonicTime now) {
  if (now < nextReport)
    return;
  nextReport = now + reportInterval;
  const log_events::DispatchLatency latency{waits.take(), commits.take(), overheads.take()};
  if (latency.wait.count + latency.commit.count + latency.overhead.count > 0)
    events(latency);
}

}  // namespace aniseline
