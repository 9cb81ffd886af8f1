// Admission of jobs: limits, reserves and turning away what would come too late. docs/design.md 10.
#include "controller/controller.hpp"
#include "scheduling/feasibility.hpp"

namespace aniseline {

// docs/design.md 10: the config in force says which queues are urgent.
bool Controller::hasRequestCapacity(const ApiRequest& request) const {
  const auto* queue = committedState.config().findQueue(request.job.queue);
  const bool plain = request.kind == RequestKind::submitJob && !(queue && queue->priority > 0);
  return admitsRequest(request.kind, plain, requests.size(), options.maxPendingRequests);
}

namespace {

// Who comes by an entrance names no queue, so a job that was taken is the same one when it comes
// again after the entrance was given to another queue.
bool isSameSubmission(const ApiRequest& request, const Job& known) {
  if (!request.viaIngress())
    return known.digest == request.job.digest();
  JobSubmission submission = request.job;
  submission.queue = known.submission.queue;
  return known.digest == submission.digest();
}

}  // namespace

namespace {
// Of what the process may use: together well under half, the rest is for the cluster state, its
// copies and answers.
constexpr std::uint64_t keptLogShare = 16;
constexpr std::uint64_t snapshotShare = 32;
constexpr std::uint64_t pendingShare = 16;
constexpr std::uint64_t outboxShare = 64;           // to each peer
constexpr std::uint64_t unacknowledgedShare = 256;  // by each peer
}  // namespace

void ControllerOptions::applyMemoryLimit(std::uint64_t processBytes) {
  if (!processBytes)
    return;
  auto bound = [&](auto& bytes, std::uint64_t share) {
    bytes = std::min<std::uint64_t>(bytes, processBytes / share);
  };
  bound(raft.maxRetainedBytes, keptLogShare);
  bound(maxBytesBetweenSnapshots, snapshotShare);
  bound(maxPendingBytes, pendingShare);
  bound(maxOutboxBytes, outboxShare);
  bound(raft.maxUnacknowledgedBytes, unacknowledgedShare);
}

// Syncs are let in: as many as there are workers, and without them nothing ends.
bool Controller::fitsMemoryLimit(const ApiRequest& request) const {
  const std::size_t held = pendingBytes();
  return request.kind == RequestKind::syncWorker || held == 0 ||
         held + payloadBytes(request) <= options.maxPendingBytes;
}

// A configuration's text is of no use once it was handled: what was taken of it is a proposal.
void Controller::releaseRequestTexts(PendingRequest& record) {
  if (record.request.kind != RequestKind::applyConfig)
    return;
  requestBytes -= std::exchange(record.retainedBytes, 0);
  record.request.text = std::string();
  record.request.packedConfig = std::string();
}

void Controller::handleSubmit(PendingRequest& record) {
  const JobSubmission& job = record.request.job;
  auto accepted = [&] {
    return ApiResponse::of(202, {{"id", json(job.id.value)}, {"accepted", json(true)}});
  };
  auto found = speculative().jobs().find(job.id);
  if (found != speculative().jobs().end()) {
    if (isSameSubmission(record.request, found->second))
      return respondWhenCommitted(record, accepted(), false);
    return respondWhenCommitted(
        record,
        ApiResponse::error(409, "conflict", "job " + job.id.value + " exists with other content"),
        false);
  }
  const auto* queue = speculative().config().findQueue(job.queue);
  if (!queue || queue->closedToSubmissions)
    return respondWhenCommitted(
        record,
        ApiResponse::fromError(CoreError::at(CoreError::Kind::invalid, "/queue",
                                             "the config has no queue " + job.queue.value)),
        false);
  for (std::size_t step = 0; step < job.steps.size() && !record.request.viaIngress(); ++step)
    if (auto never = infeasibilityReason(speculative(), job, job.steps[step]))
      return respondWhenCommitted(
          record,
          ApiResponse::fromError(
              CoreError::at(CoreError::Kind::invalid, "/steps/" + std::to_string(step), *never)),
          false);
  // docs/design.md 10: the whole is bounded, and what is reserved to other queues is not for this
  // one.
  std::uint64_t heldBack = 0;
  for (const auto& [name, options] : speculative().config().queues) {
    if (name == job.queue)
      continue;
    const auto open = speculative().openJobsOf(name);
    heldBack += options.reservedOpenJobs > open ? options.reservedOpenJobs - open : 0;
  }
  const auto limit = speculative().config().planner.maxOpenJobs;
  const bool full = speculative().openJobs().size() + heldBack >= limit ||
                    speculative().openJobsOf(job.queue) >= queue->maxOpenJobs;
  if (full)
    return respondWhenCommitted(
        record,
        ApiResponse::error(429, "overloaded", "queue " + job.queue.value + " is full",
                           Duration{1000}),
        false);
  if (const Duration wait = backlogRetryDelay(job, *queue); wait.milliseconds)
    return respondWhenCommitted(
        record,
        ApiResponse::error(429, "overloaded", "what waits before it would keep it past all use",
                           wait),
        false);
  append(JobAccepted{job});
  if (queue->priority > 0)
    planWithoutDelay = true;
  respondWhenCommitted(record, accepted(), true);
}

// What waits in each pool, in core-milliseconds by urgency, and the cores there are for it.
// docs/design.md 10.
void Controller::refreshBacklog() {
  if (now - backlog.measuredAt < Duration{200})
    return;
  backlog = Backlog{};
  backlog.measuredAt = now;
  for (const auto& [id, worker] : speculative().workers())
    if (worker.isSchedulable())
      backlog.coresByPool[worker.capacity.pool] += worker.capacity.cores;
  for (const auto& id : speculative().openJobs()) {
    const Job& job = speculative().jobs().at(id);
    const auto* queue = speculative().config().findQueue(job.submission.queue);
    if (!queue || job.state != JobState::active)
      continue;
    double& waiting = backlog.workByPoolAndPriority[{queue->pool, queue->priority}];
    for (const auto& task : job.tasks)
      if (task.state == TaskState::pending)
        waiting +=
            double(job.requestOf(task).cores) * double(job.requestOf(task).runtime.milliseconds);
  }
}

// Not 0: a job of this queue would begin so late that it is of no use any more; when to come back.
// Only where aims are known.
Duration Controller::backlogRetryDelay(const JobSubmission& job, const QueueOptions& queue) {
  if (queue.latencyTargetBase.milliseconds <= 0 || job.hasTimetable())
    return Duration{0};
  refreshBacklog();
  const auto cores = backlog.coresByPool.find(queue.pool);
  if (cores == backlog.coresByPool.end())
    return Duration{0};
  double before = 0, own = 0;
  for (const auto& [key, waiting] : backlog.workByPoolAndPriority)
    if (key.first == queue.pool && key.second >= queue.priority)
      before += waiting;
  for (const auto& step : job.steps)
    for (const auto& task : step.tasks)
      own += double(task.cores) * double(task.runtime.milliseconds);
  const double delay = before / cores->second;
  const double aim = queue.latencyTargetFactor * double(job.criticalPath().milliseconds) +
                     double(queue.latencyTargetBase.milliseconds);
  if (delay > 3 * aim)
    return Duration{std::clamp<std::int64_t>(std::int64_t(delay - 2 * aim), 500, 3000)};
  backlog.workByPoolAndPriority[{queue.pool, queue.priority}] += own;
  return Duration{0};
}

}  // namespace aniseline
