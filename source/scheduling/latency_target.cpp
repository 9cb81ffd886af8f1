// Computes the critical path of a job and compares its latency with the target.
#include "scheduling/latency_target.hpp"

namespace aniseline::scheduling {

namespace {

// Past this multiple of its target a job is expired: its result is assumed to be no more useful
// than any other.
constexpr double expiryFactor = 3.0;
// Slack is low below this many milliseconds, or below this share of the slack at the submission.
constexpr double lowSlackMilliseconds = 1500.0;
constexpr double lowSlackShare = 0.4;

// Requested runtime along the longest chain of steps, in milliseconds.
struct CriticalPath {
  std::int64_t total = 0;
  std::int64_t remaining = 0;  // counts only steps that have not succeeded
};

// Computes the critical path of a job. Its steps are listed after the steps that they depend on.
CriticalPath criticalPathOf(const Job& job) {
  const auto& steps = job.submission.steps;
  std::vector<char> unfinished(steps.size());
  for (const auto& task : job.tasks)
    unfinished[task.stepIndex] = unfinished[task.stepIndex] || task.state != TaskState::succeeded;
  std::vector<CriticalPath> paths(steps.size());
  CriticalPath longest;
  for (std::size_t index = 0; index < steps.size(); ++index) {
    CriticalPath before;
    for (const auto& name : steps[index].dependencies) {
      for (std::size_t other = 0; other < index; ++other) {
        if (steps[other].name != name)
          continue;
        before.total = std::max(before.total, paths[other].total);
        before.remaining = std::max(before.remaining, paths[other].remaining);
      }
    }
    std::int64_t runtime = 0;
    for (const auto& task : steps[index].tasks)
      runtime = std::max(runtime, task.runtime.milliseconds);
    paths[index].total = before.total + runtime;
    paths[index].remaining = unfinished[index] ? before.remaining + runtime : 0;
    longest.total = std::max(longest.total, paths[index].total);
    longest.remaining = std::max(longest.remaining, paths[index].remaining);
  }
  return longest;
}

}  // namespace

LatencyTargetAssessment assessLatencyTarget(const Job& job, const QueueOptions& queue,
                                            ClusterTime now) {
  if (!queue.hasLatencyTarget())
    return {};
  const CriticalPath path = criticalPathOf(job);
  const double target = queue.latencyTarget(Duration{path.total});
  const double latency = double((now - job.admittedAt).milliseconds + path.remaining);
  LatencyTargetAssessment assessment;
  if (latency <= target)
    assessment.status = TargetStatus::onTime;
  else if (latency <= expiryFactor * target)
    assessment.status = TargetStatus::late;
  else
    assessment.status = TargetStatus::expired;
  const double initialSlack = target - double(path.total);
  assessment.lowSlack =
      target - latency < std::max(lowSlackMilliseconds, lowSlackShare * initialSlack);
  return assessment;
}

}  // namespace aniseline::scheduling
