// Assesses whether a job can still meet the latency target of its queue. docs/paper.md 5,
// docs/design.md 7.8.
#ifndef ANISELINE_SCHEDULING_LATENCY_TARGET_HPP
#define ANISELINE_SCHEDULING_LATENCY_TARGET_HPP
#include "state/cluster_state.hpp"

namespace aniseline::scheduling {

/// Listed in placement order: work that can be on time goes before work that will be late, and
/// expired work goes last of all.
enum class TargetStatus : std::uint8_t { onTime, late, expired };

struct LatencyTargetAssessment {
  TargetStatus status = TargetStatus::onTime;
  bool lowSlack = true;  // little time is left before the job will be late
};

/// Compares the earliest end of the job, by requested runtimes along its critical path, with its
/// target. Changes nothing. Without a target every job is on time with low slack, so that it
/// neither goes first nor leaves room for others.
LatencyTargetAssessment assessLatencyTarget(const Job& job, const QueueOptions& queue,
                                            ClusterTime now);

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_LATENCY_TARGET_HPP
