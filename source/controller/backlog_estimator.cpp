// The waiting work of each pool against its cores. docs/design.md 10.
#include "controller/backlog_estimator.hpp"

namespace aniseline {

namespace {
// Counting all that waits costs time, so it is done this often; what is
// admitted between is added.
constexpr Duration refreshInterval{200};
// A job that would wait more than this multiple of its target is rejected, and
// is asked to come back when it would wait for the second.
constexpr double rejectAtTargets = 3;
constexpr double comeBackAtTargets = 2;
constexpr std::int64_t minRetryDelayMs = 500;
constexpr std::int64_t maxRetryDelayMs = 3000;

double coreMilliseconds(const TaskRequest& task) {
  return double(task.cores) * double(task.runtime.milliseconds);
}

double coreMilliseconds(const JobSubmission& job) {
  double total = 0;
  for (const auto& step : job.steps)
    for (const auto& task : step.tasks)
      total += coreMilliseconds(task);
  return total;
}
}  // namespace

void BacklogEstimator::refresh(const ClusterState& state, MonotonicTime now) {
  if (now - measuredAt < refreshInterval)
    return;
  clear();
  measuredAt = now;
  for (const auto& [id, worker] : state.workers())
    if (worker.isSchedulable())
      coresByPool[worker.capacity.pool] += worker.capacity.cores;
  for (const auto& id : state.openJobs()) {
    const Job& job = state.jobs().at(id);
    const auto* queue = state.config().findQueue(job.submission.queue);
    if (!queue || job.state != JobState::active)
      continue;
    double& waiting = waitingWork[{queue->pool, queue->priority}];
    for (const auto& task : job.tasks)
      if (task.state == TaskState::pending)
        waiting += coreMilliseconds(job.requestOf(task));
  }
}

// The work that is planned before a job of this queue: its own pool's, of its
// priority or a higher one.
double BacklogEstimator::workBefore(const QueueOptions& queue) const {
  double work = 0;
  for (const auto& [key, waiting] : waitingWork) {
    const auto& [pool, priority] = key;
    if (pool == queue.pool && priority >= queue.priority)
      work += waiting;
  }
  return work;
}

std::optional<Duration> BacklogEstimator::retryDelay(const JobSubmission& job,
                                                     const QueueOptions& queue,
                                                     const ClusterState& state, MonotonicTime now) {
  if (queue.latencyTargetBase.milliseconds <= 0 || job.hasTimetable())
    return std::nullopt;
  refresh(state, now);
  const auto cores = coresByPool.find(queue.pool);
  if (cores == coresByPool.end())
    return std::nullopt;
  const double delay = workBefore(queue) / cores->second;
  const double target = queue.latencyTargetFactor * double(job.criticalPath().milliseconds) +
                        double(queue.latencyTargetBase.milliseconds);
  if (delay > rejectAtTargets * target) {
    const auto wait = std::int64_t(delay - comeBackAtTargets * target);
    return Duration{std::clamp(wait, minRetryDelayMs, maxRetryDelayMs)};
  }
  waitingWork[{queue.pool, queue.priority}] += coreMilliseconds(job);
  return std::nullopt;
}

}  // namespace aniseline
