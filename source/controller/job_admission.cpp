// The checks applied to a submitted job, in order. docs/design.md 10.
#include "controller/job_admission.hpp"
#include "scheduling/feasibility.hpp"

namespace aniseline {

namespace {

constexpr Duration fullQueueRetryDelay{1000};
constexpr Duration memoryRetryDelay{1000};

ApiResponse acceptedResponse(const JobId& id) {
  return ApiResponse::of(202, {{"id", json(id.value)}, {"accepted", json(true)}});
}

ApiResponse invalidResponse(std::string path, std::string text) {
  return ApiResponse::fromError(
      CoreError::at(CoreError::Kind::invalid, std::move(path), std::move(text)));
}

// A request from an ingress route names no queue. A repeated submission therefore counts as the
// same job even if the route was assigned to another queue in the meantime.
bool isSameSubmission(const ApiRequest& request, const Job& known) {
  if (!request.viaIngress())
    return known.digest == request.job.digest();
  JobSubmission submission = request.job;
  submission.queue = known.submission.queue;
  return known.digest == submission.digest();
}

ApiResponse responseToKnownJob(const ApiRequest& request, const Job& known) {
  const JobId& id = request.job.id;
  if (isSameSubmission(request, known))
    return acceptedResponse(id);
  return ApiResponse::error(409, "conflict", "job " + id.value + " exists with other content");
}

// Returns the part of the limit on open jobs that is reserved for queues other than this one.
std::uint64_t reservedForOthers(const ClusterState& state, const QueueName& queue) {
  std::uint64_t reserved = 0;
  for (const auto& [name, options] : state.config().queues) {
    if (name == queue)
      continue;
    const auto open = state.openJobsOf(name);
    reserved += options.reservedOpenJobs > open ? options.reservedOpenJobs - open : 0;
  }
  return reserved;
}

bool isFull(const ClusterState& state, const QueueName& name, const QueueOptions& queue) {
  return state.openJobs().size() + reservedForOthers(state, name) >=
             state.config().planner.maxOpenJobs ||
         state.openJobsOf(name) >= queue.maxOpenJobs;
}

// A job that can never run is rejected if the request names its queue. If it came through an
// ingress route, it is accepted and fails later with the same cause.
std::optional<ApiResponse> infeasibleJobResponse(const ApiRequest& request,
                                                 const ClusterState& state) {
  if (request.viaIngress())
    return std::nullopt;
  const JobSubmission& job = request.job;
  for (std::size_t step = 0; step < job.steps.size(); ++step)
    if (auto reason = infeasibilityReason(state, job, job.steps[step]))
      return invalidResponse("/steps/" + std::to_string(step), *reason);
  return std::nullopt;
}

}  // namespace

RequestDecision JobAdmission::decide(const ApiRequest& request, const ClusterState& state,
                                     MonotonicTime now) {
  const JobSubmission& job = request.job;
  if (auto known = state.jobs().find(job.id); known != state.jobs().end())
    return {responseToKnownJob(request, known->second), std::nullopt};
  const auto* queue = state.config().findQueue(job.queue);
  if (!queue || queue->closedToSubmissions)
    return {invalidResponse("/queue", "the config has no queue " + job.queue.value), std::nullopt};
  if (auto rejection = infeasibleJobResponse(request, state))
    return {std::move(*rejection), std::nullopt};
  // A job that was cancelled before it arrived never runs, so it needs no place in its queue.
  const bool isCancelled = state.tombstones().cover(job.id, job.tenant);
  if (!isCancelled && isFull(state, job.queue, *queue))
    return {ApiResponse::error(429, "overloaded", "queue " + job.queue.value + " is full",
                               fullQueueRetryDelay),
            std::nullopt};
  if (!memory.admits(job, queue->priority > 0, state))
    return {ApiResponse::error(429, "overloaded", "the cluster has no memory for more jobs",
                               memoryRetryDelay),
            std::nullopt};
  if (isCancelled || !policies.isOn(Policy::backlogAdmission))
    return {acceptedResponse(job.id), JobAccepted{job}};
  if (const auto delay = backlog.retryDelay(job, *queue, state, now))
    return {ApiResponse::error(
                429, "overloaded",
                "the work queued ahead of this job would delay it until its result is of no use",
                *delay),
            std::nullopt};
  return {acceptedResponse(job.id), JobAccepted{job}};
}

}  // namespace aniseline
