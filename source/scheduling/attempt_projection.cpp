// Allocates attempts on their workers and estimates when they end.
#include "scheduling/attempt_projection.hpp"

namespace aniseline::scheduling {

namespace {

// An attempt is overdue if it exceeds this multiple of its requested runtime plus this margin. The
// margin covers its start and the report of its end.
constexpr double overdueFactor = 2.2;
constexpr double overdueMarginMilliseconds = 300;

// Returns when the attempt is expected to end. A suspended attempt resumes when the trial that
// displaced it ends.
ClusterTime expectedEnd(const Attempt& attempt, const SchedulingContext& context) {
  const ClusterTime now = context.now();
  if (attempt.state == AttemptState::stopping)
    return now + expectedStopTime;
  if (attempt.state != AttemptState::suspended)
    return now + remainingRuntime(attempt, now);
  const auto& attempts = context.clusterState().attempts();
  auto trial = attempts.find(attempt.suspendedForTrial);
  const bool trialRuns = trial != attempts.end() && trial->second.isTrial();
  const ClusterTime resumesAt = trialRuns ? now + remainingRuntime(trial->second, now) : now;
  return resumesAt + remainingRuntime(attempt, now);
}

// Projects all attempts in one pass. Consecutive attempts often belong to one job or worker, so the
// views found last are tried first.
class AttemptProjector {
 public:
  explicit AttemptProjector(SchedulingContext& context) : context(context) {}

  AttemptSurvey run() {
    for (const auto& [number, attempt] : context.clusterState().attempts())
      project(attempt);
    if (anySuspended)
      markTrialsWithVictims();
    return std::move(survey);
  }

 private:
  void project(const Attempt& attempt) {
    if (!job || job->job->submission.id != attempt.job)
      job = context.jobView(attempt.job);
    if (workerIndex == noIndex || context.workers()[workerIndex].id() != attempt.worker)
      workerIndex = context.workerIndexOf(attempt.worker);
    StepView* step =
        job && attempt.stepIndex < job->steps.size() ? &job->steps[attempt.stepIndex] : nullptr;
    if (job && !attempt.abandoned)
      surveyAttempt(attempt, step);
    if (job && job->tenant && !attempt.abandoned)
      addToTenant(*job->tenant, attempt);
    if (workerIndex != noIndex)
      allocate(attempt, step);
  }

  // Counts an attempt that is being stopped as ordered, since it may not have begun to run.
  static void addToTenant(TenantUsage& tenant, const Attempt& attempt) {
    const Resources resources = resourcesOf(attempt);
    if (attempt.state == AttemptState::running || attempt.state == AttemptState::suspended)
      tenant.addRunning(resources);
    else
      tenant.addOrdered(resources, resources);
  }

  void surveyAttempt(const Attempt& attempt, StepView* step) {
    const QueueView& queue = *job->queue;
    if (const char* reason = exceededTimeLimit(attempt, *queue.options, context.now()))
      survey.overTimeLimit.push_back({&attempt, reason});
    if (context.isUrgent(queue)) {
      queue.pool->urgentDemand.coresInUse += attempt.cores;
      queue.pool->urgentDemand.reported = true;
    }
    if (!step)
      return;
    if (attempt.gang)
      survey.gangParts.push_back({step, &attempt});
    else if (step->requirements().redundant && attempt.state != AttemptState::stopping)
      survey.redundant.push_back({step, &attempt});
    if (isPreemptible(attempt, *step))
      survey.checkpointed.push_back({step, &attempt});
    if (step->requirements().sameRack && !step->chosenRack)
      step->chosenRack = context.rackOfWorker(attempt.worker);
  }

  bool isPreemptible(const Attempt& attempt, const StepView& step) const {
    const StepRequirements& requirements = step.requirements();
    return requirements.checkpointed && !requirements.longRunning && !requirements.redundant &&
           !attempt.gang && !attempt.isTrial() && workerIndex != noIndex &&
           !context.workers()[workerIndex].capacity().supportsSuspend;
  }

  void allocate(const Attempt& attempt, StepView* step) {
    WorkerView& worker = context.workers()[workerIndex];
    const bool suspended = attempt.state == AttemptState::suspended;
    anySuspended = anySuspended || suspended;
    worker.allocate(
        {&attempt, resourcesOf(attempt), expectedEnd(attempt, context), suspended, false});
    if (step)
      step->addTaskOn(workerIndex, context.workers().size());
    // An agent that calls the worker reports a worker that does not answer, and one late order
    // delays the agent's report of the others. For such workers a late order is no sign of a slow
    // worker.
    const bool orderedLongAgo = attempt.state == AttemptState::ordered &&
                                context.now() - attempt.orderedAt > orderApplyTimeout;
    if (orderedLongAgo && !worker.capacity().killsOnLeaseExpiry)
      worker.excludeFromNewWork();
    // A worker with recent failures gets one task at a time. docs/design.md 5.6.
    if (worker.penalty() > 0)
      worker.reachTaskLimit();
    if (!worker.capacity().supportsSuspend &&
        isOverdue(attempt, step ? &step->requirements() : nullptr, context))
      worker.addOverdueJob(*job->job);
  }

  void markTrialsWithVictims() {
    std::set<AttemptNumber> trials;
    for (const auto& [number, attempt] : context.clusterState().attempts()) {
      if (attempt.state == AttemptState::suspended)
        trials.insert(attempt.suspendedForTrial);
    }
    for (auto& worker : context.workers())
      worker.markTrialsWithVictims(trials);
  }

  SchedulingContext& context;
  AttemptSurvey survey;
  JobView* job = nullptr;
  std::size_t workerIndex = noIndex;
  bool anySuspended = false;
};

}  // namespace

AttemptSurvey projectAttempts(SchedulingContext& context) {
  return AttemptProjector(context).run();
}

Duration remainingRuntime(const Attempt& attempt, ClusterTime now) {
  const Duration used = attempt.runtimeAt(now);
  const Duration wanted = attempt.isTrial() ? attempt.quantum : attempt.runtime;
  if (wanted > used)
    return wanted - used;
  if (attempt.isTrial())
    return minimumRemainingRuntime;
  return std::max(minimumRemainingRuntime, Duration{used.milliseconds / 2});
}

bool isOverdue(const Attempt& attempt, const StepRequirements* requirements,
               const SchedulingContext& context) {
  if (attempt.isTrial() || attempt.state == AttemptState::stopping ||
      attempt.state == AttemptState::suspended)
    return false;
  if (!requirements || requirements->longRunning)
    return false;
  const bool mayBeRemote = !requirements->preferredRack.empty() || requirements->sameRack;
  const double slowdown = mayBeRemote ? context.options().remoteSlowdown : 1.0;
  const double elapsed = double((context.now() - attempt.orderedAt).milliseconds);
  return elapsed > overdueFactor * double(attempt.runtime.milliseconds) * slowdown +
                       overdueMarginMilliseconds;
}

}  // namespace aniseline::scheduling
