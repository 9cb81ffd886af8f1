// Collects ended runs and builds the critical chain of late jobs. docs/design.md 4.8.
#include "controller/job_latency_tracker.hpp"

namespace aniseline {

namespace {

// Limit on the number of tracked open jobs. Jobs beyond this limit are not explained.
constexpr std::size_t maxTrackedJobs = 4000;

bool runsRemotely(const StepRequirements& requirements, const Worker& worker) {
  return !requirements.preferredRack.empty() &&
         !worker.capacity.hasLabel(requirements.preferredRack);
}

Duration latencyTargetOf(const Job& job, const QueueOptions& queue) {
  return Duration{std::int64_t(queue.latencyTarget(job.submission.criticalPath()))};
}

}  // namespace

void JobLatencyTracker::recordResults(const ClusterState& before, const Event& event,
                                      ClusterTime at) {
  const auto* synced = boost::get<WorkerSynced>(&event);
  if (!synced)
    return;
  for (const auto& result : synced->results) {
    const auto attempt = before.attempts().find(result.attempt);
    if (attempt == before.attempts().end())
      continue;
    const Attempt& ended = attempt->second;
    const auto job = before.jobs().find(ended.job);
    const auto worker = before.workers().find(ended.worker);
    const bool isTracked = runsByJob.count(ended.job) > 0;
    if (job == before.jobs().end() || job->second.isTerminal() || job->second.tasks.empty() ||
        worker == before.workers().end() || (!isTracked && runsByJob.size() >= maxTrackedJobs))
      continue;
    EndedRun run;
    run.taskIndex = ended.taskIndex;
    run.stepIndex = ended.stepIndex;
    run.outcome = result.outcome;
    run.remote =
        runsRemotely(job->second.submission.steps[ended.stepIndex].requirements, worker->second);
    run.worker = ended.worker;
    run.requested = ended.runtime;
    run.readyAt = job->second.tasks[ended.taskIndex].readyAt;
    run.orderedAt = ended.orderedAt;
    run.endedAt = at;
    Runs& runs = runsByJob[ended.job];
    // The next run of a retried task is ready as soon as its previous run has ended.
    for (const auto& earlier : runs) {
      if (earlier.taskIndex == run.taskIndex)
        run.readyAt = std::max(run.readyAt, earlier.endedAt);
    }
    runs.push_back(std::move(run));
    updatedJobs.push_back(ended.job);
  }
}

void JobLatencyTracker::reportEnded(const ClusterState& after) {
  for (const auto& id : updatedJobs) {
    const auto job = after.jobs().find(id);
    const auto runs = runsByJob.find(id);
    if (runs == runsByJob.end())
      continue;
    if (job != after.jobs().end() && !job->second.isTerminal())
      continue;
    const auto* queue = job == after.jobs().end()
                            ? nullptr
                            : after.config().findQueue(job->second.submission.queue);
    if (queue)
      reportIfLate(job->second, *queue, runs->second);
    runsByJob.erase(runs);
  }
  updatedJobs.clear();
}

// Walks the chain backwards from the last run. Each run waited for the run that ended last before
// it became ready: either a failed run of the same task, or a run of a step that its own step
// depends on.
void JobLatencyTracker::reportIfLate(const Job& job, const QueueOptions& queue,
                                     const Runs& runs) const {
  const Duration target = latencyTargetOf(job, queue);
  const Duration took = job.endedAt - job.admittedAt;
  if (!queue.hasLatencyTarget() || took <= target)
    return;
  log_events::JobLate late;
  late.job = job.submission.id;
  late.queue = queue.name;
  late.target = target;
  late.took = took;
  const auto endsEarlier = [](const EndedRun& left, const EndedRun& right) {
    return left.endedAt < right.endedAt;
  };
  auto last = std::max_element(runs.begin(), runs.end(), endsEarlier);
  while (last != runs.end()) {
    late.chain.push_back({last->stepIndex, last->worker, last->outcome, last->remote,
                          last->orderedAt - last->readyAt, last->endedAt - last->orderedAt,
                          last->requested});
    const ClusterTime readyAt = last->readyAt;
    auto previous = runs.end();
    for (auto run = runs.begin(); run != runs.end(); ++run) {
      const bool precedes = run->endedAt <= readyAt && run->orderedAt < readyAt;
      if (precedes && (previous == runs.end() || endsEarlier(*previous, *run)))
        previous = run;
    }
    last = previous;
  }
  std::reverse(late.chain.begin(), late.chain.end());
  events(late);
}

}  // namespace aniseline
