// The waiting work of each pool against its cores. docs/design.md 10.
#include "controller/backlog_estimator.hpp"
#include <cmath>
#include <numeric>

namespace aniseline {

namespace {
// Counting all that waits costs time, so it is done this often; what is
// admitted between is added.
constexpr Duration refreshInterval{200};
// A job that would wait more than this multiple of its target is rejected, and
// is asked to come back when it would wait for the second. It would end later
// still, by its own run and by what comes after it and goes before it; past
// three times its target it would be of no use.
constexpr double rejectAtTargets = 1.5;
constexpr double comeBackAtTargets = 0.75;
constexpr std::int64_t minRetryDelayMs = 500;
constexpr std::int64_t maxRetryDelayMs = 3000;

CoreMilliseconds workOf(const JobSubmission& job) {
  CoreMilliseconds work = 0;
  for (const auto& step : job.steps)
    for (const auto& task : step.tasks)
      work += task.work();
  return work;
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
    add(*queue, job.workToStart());
  }
}

std::size_t BacklogEstimator::sizeClassOf(CoreMilliseconds jobWork) {
  if (jobWork < 1)
    return 0;
  return std::min(std::size_t(std::ilogb(jobWork)), sizeClasses - 1);
}

void BacklogEstimator::add(const QueueOptions& queue, CoreMilliseconds work) {
  waitingWork[{queue.pool, queue.priority}][sizeClassOf(work)] += work;
}

// The work that is planned before a job of this queue: its own pool's, of a higher priority, or of
// its own and of jobs that are no larger.
CoreMilliseconds BacklogEstimator::workBefore(const QueueOptions& queue,
                                              CoreMilliseconds jobWork) const {
  CoreMilliseconds work = 0;
  for (const auto& [key, waiting] : waitingWork) {
    const auto& [pool, priority] = key;
    if (pool != queue.pool || priority < queue.priority)
      continue;
    const std::size_t classes =
        priority > queue.priority ? waiting.size() : sizeClassOf(jobWork) + 1;
    work += std::accumulate(waiting.begin(), waiting.begin() + std::ptrdiff_t(classes),
                            CoreMilliseconds{0});
  }
  return work;
}

std::optional<Duration> BacklogEstimator::retryDelay(const JobSubmission& job,
                                                     const QueueOptions& queue,
                                                     const ClusterState& state, MonotonicTime now) {
  if (!queue.hasLatencyTarget() || job.hasTimetable())
    return std::nullopt;
  refresh(state, now);
  const auto cores = coresByPool.find(queue.pool);
  if (cores == coresByPool.end())
    return std::nullopt;
  const CoreMilliseconds jobWork = workOf(job);
  const double delay = workBefore(queue, jobWork) / double(cores->second);
  const double target = queue.latencyTarget(job.criticalPath());
  if (delay > rejectAtTargets * target) {
    const auto wait = std::int64_t(delay - comeBackAtTargets * target);
    return Duration{std::clamp(wait, minRetryDelayMs, maxRetryDelayMs)};
  }
  add(queue, jobWork);
  return std::nullopt;
}

}  // namespace aniseline
