// Decides by pool and label which workers a step may run on. Shared by the checks of placement and
// starvation. docs/design.md 11.
#ifndef ANISELINE_CHECKER_WORKER_ELIGIBILITY_HPP
#define ANISELINE_CHECKER_WORKER_ELIGIBILITY_HPP
#include "checker/invariants.hpp"

namespace aniseline {

/// Reports whether the worker with this capacity is in a pool to which some configuration assigned
/// the queue, and whether it has the label that the step requires. A queue without known pools may
/// run on any worker.
inline bool isEligible(const InvariantOptions& options, const JobSubmission& submission,
                       const StepRequest& step, const HistoryEvent& capacity) {
  const auto pools = options.poolsByQueue.find(submission.queue.value);
  if (pools != options.poolsByQueue.end() && !pools->second.count(capacity.pool))
    return false;
  const std::string& label = step.requirements.requiredLabel;
  return label.empty() || std::count(capacity.labels.begin(), capacity.labels.end(), label) > 0;
}

}  // namespace aniseline

#endif  // ANISELINE_CHECKER_WORKER_ELIGIBILITY_HPP
