// Compares the waiting work of each pool with its cores. docs/design.md 10.
#include "controller/backlog_estimator.hpp"
#include <cmath>
#include <numeric>

namespace aniseline {

namespace {
// Counting all waiting work is expensive, so it is repeated only at this interval. Work admitted in
// between is added to the last count.
constexpr Duration refreshInterval{200};
// A job is rejected if it would wait longer than the first multiple of its latency target, and is
// asked to retry when its wait would have dropped to the second. Its end is later than its start by
// its own run time and by newer work that is planned before it; after three times its target the
// result would be of no use.
constexpr double rejectTargetMultiple = 1.5;
constexpr double retryTargetMultiple = 0.75;
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
    add(*queue, job.submission.tenant, job.workToStart());
  }
}

std::size_t BacklogEstimator::sizeClassOf(CoreMilliseconds jobWork) {
  if (jobWork < 1)
    return 0;
  return std::min(std::size_t(std::ilogb(jobWork)), sizeClasses - 1);
}

void BacklogEstimator::add(const QueueOptions& queue, const TenantName& tenant,
                           CoreMilliseconds work) {
  waitingWork[{queue.pool, tenant}][queue.priority][sizeClassOf(work)] += work;
}

// Work counts if its priority is higher, or if it has the same priority and belongs to a job that
// is not larger.
CoreMilliseconds BacklogEstimator::workAheadOf(const WorkByPriority& waiting,
                                               const QueueOptions& queue,
                                               CoreMilliseconds jobWork) {
  CoreMilliseconds work = 0;
  for (auto level = waiting.lower_bound(queue.priority); level != waiting.end(); ++level) {
    const auto& [priority, bySize] = *level;
    const std::size_t classes =
        priority > queue.priority ? bySize.size() : sizeClassOf(jobWork) + 1;
    work += std::accumulate(bySize.begin(), bySize.begin() + std::ptrdiff_t(classes),
                            CoreMilliseconds{0});
  }
  return work;
}

// Work held back by a tenant's cap delays only that tenant. Of every other tenant, the estimate
// therefore counts no more work than its cap lets run within the horizon.
double BacklogEstimator::estimateDelay(const JobSubmission& job, const QueueOptions& queue,
                                       const ClusterState& state, double horizon) const {
  CoreMilliseconds workAhead = 0;
  double ownDelay = 0;
  for (auto entry = waitingWork.lower_bound({queue.pool, TenantName{}});
       entry != waitingWork.end() && entry->first.first == queue.pool; ++entry) {
    const TenantName& name = entry->first.second;
    CoreMilliseconds work = workAheadOf(entry->second, queue, workOf(job));
    const TenantOptions* tenant = state.config().tenants.find(name);
    if (tenant && tenant->cap.cores) {
      const auto cap = double(tenant->cap.cores);
      if (name == job.tenant)
        ownDelay = work / cap;
      work = std::min(work, cap * horizon);
    }
    workAhead += work;
  }
  return std::max(ownDelay, workAhead / double(coresByPool.at(queue.pool)));
}

std::optional<Duration> BacklogEstimator::retryDelay(const JobSubmission& job,
                                                     const QueueOptions& queue,
                                                     const ClusterState& state, MonotonicTime now) {
  if (!queue.hasLatencyTarget() || job.hasTimetable())
    return std::nullopt;
  refresh(state, now);
  if (!coresByPool.count(queue.pool))
    return std::nullopt;
  const double target = queue.latencyTarget(job.criticalPath());
  const double maxDelay = rejectTargetMultiple * target;
  const double delay = estimateDelay(job, queue, state, maxDelay);
  if (delay > maxDelay) {
    const auto wait = std::int64_t(delay - retryTargetMultiple * target);
    return Duration{std::clamp(wait, minRetryDelayMs, maxRetryDelayMs)};
  }
  add(queue, job.tenant, workOf(job));
  return std::nullopt;
}

}  // namespace aniseline
