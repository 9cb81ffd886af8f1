// Effects of attempt results on tasks, jobs and the failure scores of workers.
#include "state/attempt_results.hpp"

namespace aniseline {

namespace {

// Penalties added to the failure score of a worker, which ranks it among the workers that could run
// a task. docs/design.md 5.6.
constexpr std::int64_t maxFailureScore = 1000;
constexpr std::int64_t firstFailurePenalty = 250;
// Penalty for a failure that says little about the worker.
constexpr std::int64_t minorFailurePenalty = 50;
// Penalty for a run far longer than requested: a single one may be the submitter's mistake,
// repeated ones indicate a slow worker.
constexpr std::int64_t overrunPenalty = 125;
// Penalty for a rejected start: the worker lacks capacity that it was assumed to have, or is
// unhealthy.
constexpr std::int64_t rejectionPenalty = 100;

// An attempt has overrun if it took more than twice its requested run time plus this tolerance.
constexpr std::int64_t overrunTolerance = 1000;  // milliseconds

// A failed task is retried after a pause that doubles with each failure.
constexpr std::int64_t firstRetryPause = 100;  // milliseconds
constexpr std::int64_t maxRetryPause = 2000;   // milliseconds
constexpr std::uint32_t maxDoublings = 6;      // enough doublings to exceed the maximum pause

bool hasOverrun(const Attempt& attempt, ClusterTime now) {
  return attempt.runtimeAt(now).milliseconds > 2 * attempt.runtime.milliseconds + overrunTolerance;
}

// Reports whether the failure of this attempt indicates a problem of its worker. The failure of a
// task that has failed before says little. So does that of a long-running task that ran past its
// requested run time: such a task ends by failing on any worker.
bool indicatesWorkerProblem(const Task& task, const Attempt& attempt,
                            const StepRequirements* requirements, ClusterTime now) {
  const bool ranPastRequest = attempt.runtimeAt(now) > attempt.runtime;
  const bool longRunning = requirements && requirements->longRunning;
  return task.failureCount == 0 && !(longRunning && ranPastRequest);
}

bool hasNotStarted(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::neverStarted || outcome == AttemptOutcome::rejected;
}

// Reports whether the start of an attempt with this outcome counts against the retry limit of its
// task.
bool countsAgainstRetryLimit(const Attempt& attempt, AttemptOutcome outcome) {
  const bool exemptStop = attempt.exemptFromRetryLimit && outcome == AttemptOutcome::stopped;
  return !hasNotStarted(outcome) && !exemptStop;
}

}  // namespace

void AttemptResults::close(AttemptNumber number, AttemptOutcome outcome) {
  auto found = tables.attempts.find(number);
  if (found == tables.attempts.end())
    return;
  const Attempt attempt = found->second;
  outcome = effectiveOutcome(attempt, outcome);
  if (outcome == AttemptOutcome::succeeded && stopReplacement(attempt))
    return;
  attempts.remove(number);
  auto foundJob = tables.jobs.find(attempt.job);
  if (foundJob == tables.jobs.end())
    return;
  Job& job = foundJob->second;
  Task& task = job.tasks[attempt.taskIndex];
  updateFailureScore(task, attempt, outcome);
  if (outcome == AttemptOutcome::failed)
    jobs.countFailure(job, attempt);
  if (!countsAgainstRetryLimit(attempt, outcome) && attempt.countsAsStart && task.countedStarts > 0)
    --task.countedStarts;
  if (continueWithOtherCopy(job, task, attempt, outcome))
    return jobs.completeIfFinished(job);
  if (outcome == AttemptOutcome::succeeded)
    onSucceeded(job, task, attempt);
  else if (task.currentAttempt == number && outcome == AttemptOutcome::quantumExpired)
    onQuantumExpired(job, task);
  else if (task.currentAttempt == number)
    onUnsuccessful(job, task, attempt, outcome);
  jobs.completeIfFinished(job);
}

const StepRequirements* AttemptResults::requirementsOf(const Attempt& attempt) const {
  auto found = tables.jobs.find(attempt.job);
  if (found == tables.jobs.end() || found->second.tasks.empty())
    return nullptr;
  return &found->second.submission.steps[attempt.stepIndex].requirements;
}

AttemptOutcome AttemptResults::effectiveOutcome(const Attempt& attempt,
                                                AttemptOutcome outcome) const {
  // docs/design.md 5.5: if a worker kills its attempts on lease expiry, results that it reports for
  // an abandoned attempt are void.
  if (attempt.abandoned && !hasNotStarted(outcome) &&
      tables.workers[attempt.worker].capacity.killsOnLeaseExpiry)
    return AttemptOutcome::stopped;
  // A long-running task is restarted whatever its outcome.
  const auto* requirements = requirementsOf(attempt);
  if (outcome == AttemptOutcome::succeeded && requirements && requirements->longRunning)
    return AttemptOutcome::stopped;
  return outcome;
}

// docs/design.md 5.5: a success that is reported late takes precedence over the attempt that
// replaced it. The replacement is stopped first, and the success stays unconfirmed until it has
// stopped, so that no attempt of the task starts or resumes after the confirmation. Returns whether
// a replacement had to be stopped.
bool AttemptResults::stopReplacement(const Attempt& attempt) {
  auto foundJob = tables.jobs.find(attempt.job);
  const auto* requirements = requirementsOf(attempt);
  if (foundJob == tables.jobs.end() || (requirements && requirements->redundant))
    return false;
  Job& job = foundJob->second;
  Task& task = job.tasks[attempt.taskIndex];
  auto replacement = tables.attempts.find(task.currentAttempt);
  if (task.currentAttempt == attempt.number || replacement == tables.attempts.end())
    return false;
  task.succeededEarlier = true;
  attempts.forceStop(replacement->second, RetryAccounting::exempt);
  if (attempt.selfAssembling)
    jobs.completeGang(job, attempt);
  return true;
}

void AttemptResults::updateFailureScore(const Task& task, const Attempt& attempt,
                                        AttemptOutcome outcome) {
  Worker& worker = tables.workers[attempt.worker];
  std::int64_t score = worker.failureScoreAt(tables.now);
  if (outcome == AttemptOutcome::failed)
    reducePenaltyOfEarlierWorker(task, attempt);
  if (outcome == AttemptOutcome::failed)
    score += indicatesWorkerProblem(task, attempt, requirementsOf(attempt), tables.now)
                 ? firstFailurePenalty
                 : minorFailurePenalty;
  else if (outcome == AttemptOutcome::rejected)
    score += rejectionPenalty;
  else if (outcome != AttemptOutcome::succeeded)
    return;
  else if (!attempt.isTrial() && hasOverrun(attempt, tables.now))
    score += overrunPenalty;
  else
    score = score * 7 / 8;
  worker.failureScore = std::min(score, maxFailureScore);
  worker.failureScoredAt = tables.now;
}

// A task that fails a second time, on another worker, is itself at fault: the penalty of the worker
// on which it failed first is reduced to the minor penalty.
void AttemptResults::reducePenaltyOfEarlierWorker(const Task& task, const Attempt& attempt) {
  const auto earlierWorker = tables.workers.find(task.avoidedWorker);
  if (task.failureCount != 1 || earlierWorker == tables.workers.end() ||
      task.avoidedWorker == attempt.worker)
    return;
  Worker& worker = earlierWorker->second;
  const std::int64_t score = worker.failureScoreAt(tables.now);
  worker.failureScore =
      std::max<std::int64_t>(0, score - firstFailurePenalty + minorFailurePenalty);
  worker.failureScoredAt = tables.now;
}

// Handles the result of a redundant copy: the first success counts, and any other outcome leaves
// the task to the other copy. Returns whether the result has no further effect on the task.
bool AttemptResults::continueWithOtherCopy(Job& job, Task& task, const Attempt& attempt,
                                           AttemptOutcome outcome) {
  const bool redundant = job.stepOf(task).requirements.redundant;
  const bool isCurrent = task.currentAttempt == attempt.number;
  const bool isOtherCopy = task.redundantAttempt == attempt.number;
  if (redundant && outcome == AttemptOutcome::succeeded) {
    attempts.stopOtherCopies(task, attempt.number);
    return false;
  }
  // The retry limit applies to the task, not to each copy: the other copy is stopped with the job.
  if (redundant && outcome == AttemptOutcome::failed && jobs.retriesExhausted(job, task) &&
      (isCurrent || isOtherCopy)) {
    task.redundantAttempt = AttemptNumber{};
    jobs.failTask(job, task);
    return true;
  }
  if (isOtherCopy) {
    task.redundantAttempt = AttemptNumber{};
    return false;
  }
  if (isCurrent && tables.attempts.count(task.redundantAttempt)) {
    task.currentAttempt = std::exchange(task.redundantAttempt, AttemptNumber{});
    return true;
  }
  return false;
}

void AttemptResults::onSucceeded(Job& job, Task& task, const Attempt& attempt) {
  const bool isCurrent = task.currentAttempt == attempt.number;
  const bool redundant = job.stepOf(task).requirements.redundant;
  if (attempt.isTrial() && isCurrent)
    ++tables.counters.trialsSucceeded;
  if (isCurrent || task.state == TaskState::pending ||
      (redundant && task.state == TaskState::placed))
    jobs.completeTask(job, task);
  if (attempt.selfAssembling)
    jobs.completeGang(job, attempt);
}

void AttemptResults::onQuantumExpired(Job& job, Task& task) {
  ++tables.counters.trialsExpired;
  if (task.countedStarts > 0)
    --task.countedStarts;
  task.trialExpired = true;
  jobs.requeueTask(job, task, WorkerId{}, Duration{0});
}

void AttemptResults::onUnsuccessful(Job& job, Task& task, const Attempt& attempt,
                                    AttemptOutcome outcome) {
  const bool failed = outcome == AttemptOutcome::failed;
  const bool endedWithoutStopOrder =
      attempt.selfAssembling && attempt.state != AttemptState::stopping;
  if ((failed && attempt.gang) || endedWithoutStopOrder)
    attempts.abortGang(job.submission.id, attempt.stepIndex, attempt.number);
  const bool avoidWorker = failed || outcome == AttemptOutcome::rejected;
  const Duration pause =
      failed && !attempt.exemptFromRetryLimit ? retryPause(job, task) : Duration{0};
  jobs.requeueTask(job, task, avoidWorker ? attempt.worker : WorkerId{}, pause);
}

Duration AttemptResults::retryPause(const Job& job, const Task& task) const {
  // Queues that limit failures retry without a pause: the retry goes to another worker, and the
  // number of retries is small.
  const auto* queue = tables.config.findQueue(job.submission.queue);
  if (queue && queue->maxFailures)
    return Duration{0};
  const auto doublings = std::clamp<std::uint32_t>(task.failureCount, 1, maxDoublings);
  return Duration{std::min(maxRetryPause, firstRetryPause << doublings)};
}

void AttemptResults::abandon(AttemptNumber number) {
  Attempt& attempt = tables.attempts.at(number);
  if (attempt.abandoned)
    return;
  attempt.abandoned = true;
  ++tables.counters.abandoned;
  auto foundJob = tables.jobs.find(attempt.job);
  if (foundJob == tables.jobs.end())
    return;
  Job& job = foundJob->second;
  Task& task = job.tasks[attempt.taskIndex];
  if (task.redundantAttempt == number) {
    task.redundantAttempt = AttemptNumber{};
  } else if (task.currentAttempt == number && tables.attempts.count(task.redundantAttempt)) {
    task.currentAttempt = std::exchange(task.redundantAttempt, AttemptNumber{});
  } else if (task.currentAttempt == number) {
    if (attempt.gang)
      attempts.abortGang(job.submission.id, attempt.stepIndex, number);
    jobs.requeueTask(job, task, attempt.worker, Duration{0});
  }
  jobs.completeIfFinished(job);
}

}  // namespace aniseline
