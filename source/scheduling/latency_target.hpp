// Whether a job can still meet the latency target of its queue. docs/paper.md 5, docs/design.md
// 7.8.
#ifndef ANISELINE_SCHEDULING_LATENCY_TARGET_HPP
#define ANISELINE_SCHEDULING_LATENCY_TARGET_HPP
#include "state/cluster_state.hpp"

namespace aniseline::scheduling {

/// In the order in which work is placed: work that can be in time goes before work that will be
/// late, and what is past use goes last of all.
enum class TargetStatus : std::uint8_t { onTime, late, expired };

struct LatencyTargetAssessment {
  TargetStatus status = TargetStatus::onTime;
  bool lowSlack = true;  // little time is left until the job can no longer be in time
};

/// Compares the earliest end of the job, by requested runtimes along its critical path, with its
/// target. Reads nothing else and changes nothing. Without a target all is on time and with low
/// slack, so that it neither goes first nor leaves room to others.
LatencyTargetAssessment assessLatencyTarget(const Job& job, const QueueOptions& queue,
                                            ClusterTime now);

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_LATENCY_TARGET_HPP
