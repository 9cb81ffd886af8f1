// State transitions of jobs, tasks and timetables.
#include "state/job_lifecycle.hpp"
#include "state/occurrence.hpp"

namespace aniseline {

void JobLifecycle::admit(const JobSubmission& submission) {
  if (tables.jobs.count(submission.id))
    return;
  if (tables.tombstones.cover(submission.id, submission.tenant))
    return addCancelled(submission);
  Job job;
  job.submission = submission;
  job.digest = submission.digest();
  job.admittedAt = tables.now;
  job.state = submission.hasTimetable() ? JobState::scheduled : JobState::active;
  if (!submission.hasTimetable())
    job.addTasks();
  job.releaseReadyTasks(tables.now);
  tables.openJobs.insert(submission.id);
  ++tables.openJobsByQueue[submission.queue];
  ++tables.counters.admitted;
  tables.addJob(std::move(job));
}

// Stores only the data that answers repeated submissions and queries, like compactJob(). The job
// takes over the role of the tombstone.
void JobLifecycle::addCancelled(const JobSubmission& submission) {
  Job job;
  job.submission.id = submission.id;
  job.submission.queue = submission.queue;
  job.submission.timetable = submission.timetable;
  job.submission.tenant = submission.tenant;
  job.digest = submission.digest();
  job.state = JobState::cancelled;
  job.reason = "cancelled before its submission arrived";
  job.admittedAt = tables.now;
  job.endedAt = tables.now;
  job.compactedTaskCount = std::max<std::uint32_t>(1, submission.taskCount());
  ++tables.counters.admitted;
  ++tables.counters.cancelled;
  tables.jobsByEndTime.emplace(tables.now, submission.id);
  tables.addJob(std::move(job));
  tables.tombstones.erase(submission.id, submission.tenant);
}

void JobLifecycle::completeTask(Job& job, Task& task) {
  task.state = TaskState::succeeded;
  task.currentAttempt = AttemptNumber{};
  task.redundantAttempt = AttemptNumber{};
  job.releaseReadyTasks(tables.now);
}

void JobLifecycle::requeueTask(Job& job, Task& task, const WorkerId& avoidedWorker,
                               Duration pause) {
  task.currentAttempt = AttemptNumber{};
  if (task.succeededEarlier)
    return completeTask(job, task);
  if (job.terminating || job.isTerminal()) {
    task.state = TaskState::stopped;
    return;
  }
  if (retriesExhausted(job, task))
    return failTask(job, task);
  task.state = TaskState::pending;
  task.avoidedWorker = avoidedWorker;
  task.notBefore = tables.now + pause;
}

void JobLifecycle::failTask(Job& job, Task& task) {
  task.state = TaskState::failed;
  const auto taskIndex = &task - job.tasks.data();
  fail(job, "task " + std::to_string(taskIndex) + " used up its retries");
}

// docs/design.md 4.4: queues with `maxFailures` limit the failures of a task, other queues its
// starts. A long-running step has no limit.
bool JobLifecycle::retriesExhausted(const Job& job, const Task& task) const {
  const auto& step = job.stepOf(task);
  if (step.requirements.longRunning)
    return false;
  const auto* queue = tables.config.findQueue(job.submission.queue);
  if (queue && queue->maxFailures) {
    const auto counted = job.taskIndexOf(task.stepIndex, step.gang ? 0 : task.indexInStep);
    return job.tasks[counted].failureCount >= queue->maxFailures;
  }
  return task.countedStarts >= 1 + (queue ? queue->maxRetries : 0);
}

Task& JobLifecycle::accountedTask(Job& job, const Attempt& attempt) const {
  return job.tasks[attempt.gang ? job.taskIndexOf(attempt.stepIndex, 0) : attempt.taskIndex];
}

void JobLifecycle::countFailure(Job& job, const Attempt& attempt) {
  Task& task = accountedTask(job, attempt);
  if (attempt.gang && attempt.runNumber && task.lastFailedRun >= attempt.runNumber)
    return;  // each run of a gang counts as one failure at most
  task.lastFailedRun = attempt.runNumber;
  ++task.failureCount;
}

void JobLifecycle::recordCheckpoint(const Attempt& attempt, const std::string& checkpoint) {
  auto found = tables.jobs.find(attempt.job);
  if (checkpoint.empty() || found == tables.jobs.end() || found->second.tasks.empty())
    return;
  Task& task = accountedTask(found->second, attempt);
  if (attempt.runNumber < task.checkpointRun)
    return;
  task.checkpoint = checkpoint;
  task.checkpointRun = attempt.runNumber;
}

void JobLifecycle::completeGang(Job& job, const Attempt& attempt) {
  for (auto& task : job.tasks) {
    if (task.stepIndex != attempt.stepIndex || task.state == TaskState::succeeded)
      continue;
    auto member = tables.attempts.find(task.currentAttempt);
    const bool hasMember = member != tables.attempts.end();
    if (hasMember && member->second.runNumber != attempt.runNumber) {
      task.succeededEarlier = true;
      attempts.forceStop(member->second, RetryAccounting::exempt);
    } else if (hasMember || task.state == TaskState::pending) {
      completeTask(job, task);
    }
  }
}

void JobLifecycle::fail(Job& job, const std::string& reason) {
  if (job.terminating || job.isTerminal())
    return;
  job.terminating = true;
  job.reason = reason;
  for (auto& task : job.tasks) {
    if (task.state == TaskState::pending || task.state == TaskState::blocked)
      task.state = TaskState::stopped;
  }
  for (auto number : tables.attemptIndex.ofJob(job.submission.id)) {
    Attempt& attempt = tables.attempts.at(number);
    if (!attempt.abandoned)
      attempts.forceStop(attempt, RetryAccounting::counted);
  }
}

// A redundant copy that is being stopped after another copy succeeded keeps its worker's resources
// but does not keep its job open.
bool JobLifecycle::allAttemptsClosed(const Job& job, bool allSucceeded) const {
  const auto& numbers = tables.attemptIndex.ofJob(job.submission.id);
  return std::all_of(numbers.begin(), numbers.end(), [&](AttemptNumber number) {
    const Attempt& attempt = tables.attempts.at(number);
    return attempt.abandoned || (allSucceeded && attempt.state == AttemptState::stopping &&
                                 job.submission.steps[attempt.stepIndex].requirements.redundant);
  });
}

void JobLifecycle::completeIfFinished(Job& job) {
  if (job.isTerminal() || job.state == JobState::scheduled)
    return;
  const bool allSucceeded = std::all_of(job.tasks.begin(), job.tasks.end(), [](const Task& task) {
    return task.state == TaskState::succeeded;
  });
  if (!job.terminating && !allSucceeded)
    return;
  if (!allAttemptsClosed(job, allSucceeded))
    return;
  if (job.state == JobState::cancelling)
    complete(job, JobState::cancelled);
  else
    complete(job, allSucceeded ? JobState::succeeded : JobState::failed);
}

void JobLifecycle::complete(Job& job, JobState state) {
  job.state = state;
  if (state == JobState::cancelled)
    ++tables.counters.cancelled;
  else if (state == JobState::succeeded)
    ++tables.counters.succeeded;
  else
    ++tables.counters.failed;
  job.endedAt = tables.now;
  tables.updateEstimatedBytes(job);
  tables.openJobs.erase(job.submission.id);
  --tables.openJobsByQueue[job.submission.queue];
  tables.jobsByEndTime.emplace(tables.now, job.submission.id);
  onOccurrenceCompleted(job);
}

// docs/design.md 4.1: a timetable ends when all its occurrences have ended, and fails with the
// first occurrence that fails.
void JobLifecycle::onOccurrenceCompleted(const Job& occurrence) {
  const auto id = OccurrenceId::parse(occurrence.submission.id);
  if (!id)
    return;
  auto found = tables.jobs.find(id->timetable);
  if (found == tables.jobs.end())
    return;
  Job& timetable = found->second;
  if (timetable.openOccurrences > 0)
    --timetable.openOccurrences;
  tables.updateEstimatedBytes(timetable);
  if (timetable.state != JobState::scheduled)
    return;
  if (occurrence.state == JobState::failed) {
    timetable.reason = "occurrence " + id->number + ": " + occurrence.reason;
    complete(timetable, JobState::failed);
    cancelOccurrences(timetable, "another occurrence failed");
  } else if (timetable.firedOccurrences >= timetable.submission.timetable.count &&
             timetable.openOccurrences == 0) {
    complete(timetable, JobState::succeeded);
  }
}

void JobLifecycle::cancelOccurrences(const Job& timetable, const std::string& reason) {
  for (std::uint32_t number = 0; number < timetable.firedOccurrences; ++number) {
    auto occurrence = tables.jobs.find(OccurrenceId::make(timetable.submission.id, number));
    if (occurrence != tables.jobs.end())
      cancel(occurrence->second, reason);
  }
}

void JobLifecycle::cancel(Job& job, const std::string& reason) {
  if (job.isTerminal())
    return;
  if (job.state == JobState::scheduled) {
    complete(job, JobState::cancelled);
    return cancelOccurrences(job, reason);
  }
  job.state = JobState::cancelling;
  if (!job.terminating)
    fail(job, reason);
  completeIfFinished(job);
}

}  // namespace aniseline
