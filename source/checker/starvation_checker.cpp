// Tracks the usage of each worker and how long each job could have started.
#include "checker/starvation_checker.hpp"
#include "checker/worker_eligibility.hpp"
#include "state/occurrence.hpp"

namespace aniseline {

namespace {

// A job starves if it waits for this time in ms with continuous room.
constexpr std::int64_t starvedAfterMs = 3000;
// The time in ms before the start of the wait in which no fault may be active.
constexpr std::int64_t faultFreeBeforeMs = 4000;
// The time in ms that a long-running task may wait after its last run.
constexpr std::int64_t restartAllowanceMs = 6000;
// The number of copies of a task for which there must be room.
constexpr std::int64_t requiredCopies = 2;
// A worker with this number of failures within this time is not counted as room:
// docs/design.md 5.6.
constexpr std::size_t repeatedFailures = 2;
constexpr std::int64_t repeatedFailureWindowMs = 60'000;

std::size_t taskCountOf(const JobSubmission& submission) {
  std::size_t count = 0;
  for (const auto& step : submission.steps)
    count += step.tasks.size();
  return count;
}

// Calls `use` with each step and the index of its first task.
template <class Use>
void forEachStep(const JobSubmission& submission, Use use) {
  std::size_t first = 0;
  for (const auto& step : submission.steps) {
    use(step, first);
    first += step.tasks.size();
  }
}

// Reports whether `id` is the submitted job itself or an occurrence of it.
bool isPartOf(const std::string& id, const std::string& submittedId) {
  return id == submittedId || id.starts_with(submittedId + OccurrenceId::separator);
}

bool failsRepeatedly(const std::vector<std::int64_t>& failuresAt, std::int64_t at) {
  return failuresAt.size() >= repeatedFailures &&
         failuresAt[failuresAt.size() - repeatedFailures] > at - repeatedFailureWindowMs;
}

// Returns how many of these requests fit into the free resources.
std::int64_t slotsIn(std::int64_t free, std::int64_t requested) {
  return requested > 0 ? std::max<std::int64_t>(0, free) / requested
                       : std::numeric_limits<std::int64_t>::max();
}

}  // namespace

std::vector<InvariantViolation> StarvationChecker::observe(const HistoryEvent& event) {
  std::vector<InvariantViolation> violations;
  for (auto& [id, job] : openJobs)
    check(id, job, event.timestamp, violations);
  apply(event);
  for (auto& [id, job] : openJobs)
    updateStarvation(job, event.timestamp);
  return violations;
}

void StarvationChecker::apply(const HistoryEvent& event) {
  using Kind = HistoryEvent::Kind;
  switch (event.kind) {
    case Kind::submitted:
      return onSubmitted(event);
    case Kind::accepted:
      return onAccepted(event);
    case Kind::started:
      return onStarted(event);
    case Kind::ended:
      return onEnded(event);
    case Kind::workerLost:
      return onWorkerLost(event);
    case Kind::capacityReported:
      if (event.detail == "called")
        workers[event.worker].capacity = event;
      return;
    case Kind::draining:
      if (auto known = workers.find(event.worker); known != workers.end())
        known->second.draining = true;
      return;
    case Kind::cancelSubmitted:
    case Kind::cancelAcknowledged:
      return removeJob(event.job);
    case Kind::stateObserved:
      if (event.detail == "finished" || event.detail == "failed" || event.detail == "cancelled")
        removeJob(event.job);
      return;
    default:
      return;
  }
}

void StarvationChecker::onSubmitted(const HistoryEvent& event) {
  const auto found = submissions.find(event.job);
  if (found == submissions.end() || closedJobs.count(event.job))
    return;
  const JobSubmission& submission = found->second;
  if (!submission.hasTimetable())
    return addJob(event.job, submission, 0);
  for (std::uint32_t number = 0; number < submission.timetable.count; ++number) {
    const std::int64_t dueAt = submission.timetable.firstStart.milliseconds +
                               number * submission.timetable.interval.milliseconds;
    addJob(OccurrenceId::make(JobId{event.job}, number).value, submission, dueAt);
  }
}

void StarvationChecker::onAccepted(const HistoryEvent& event) {
  for (auto& [id, job] : openJobs) {
    if (isPartOf(id, event.job) && !job.acceptedAt)
      job.acceptedAt = event.timestamp;
  }
}

void StarvationChecker::addJob(const std::string& id, const JobSubmission& submission,
                               std::int64_t dueAt) {
  if (!options.poolsByQueue.count(submission.queue.value))
    return;
  JobProgress& job = openJobs[id];
  if (job.submission)
    return;
  job.submission = &submission;
  job.dueAt = dueAt;
  job.tasks.resize(taskCountOf(submission));
}

StarvationChecker::TaskProgress* StarvationChecker::findTask(const std::string& job,
                                                             std::uint32_t taskIndex) {
  const auto found = openJobs.find(job);
  if (found == openJobs.end() || taskIndex >= found->second.tasks.size())
    return nullptr;
  return &found->second.tasks[taskIndex];
}

// Clients treat a job with a timetable as one job: a cancel or an end applies to all its
// occurrences.
void StarvationChecker::removeJob(const std::string& submittedId) {
  closedJobs.insert(submittedId);
  std::erase_if(openJobs, [&](const auto& entry) { return isPartOf(entry.first, submittedId); });
}

void StarvationChecker::addUsage(const std::string& worker, const TaskRequest& request,
                                 std::int64_t sign) {
  const auto known = workers.find(worker);
  if (known == workers.end())
    return;
  known->second.cores += sign * std::int64_t(request.cores);
  known->second.memory += sign * std::int64_t(request.memory);
  known->second.accelerators += sign * std::int64_t(request.accelerators);
}

void StarvationChecker::onStarted(const HistoryEvent& event) {
  TaskRequest request;
  request.cores = event.cores;
  request.memory = event.memory;
  request.accelerators = event.accelerators;
  if (!openRuns.emplace(RunKey{event.worker, event.job, event.task, event.attempt}, request).second)
    return;
  addUsage(event.worker, request, 1);
  if (TaskProgress* task = findTask(event.job, event.task)) {
    ++task->starts;
    ++task->openRuns;
  }
}

StarvationChecker::OpenRuns::iterator StarvationChecker::closeRun(OpenRuns::iterator run,
                                                                  std::int64_t at) {
  const auto& [key, request] = *run;
  addUsage(key.worker, request, -1);
  if (TaskProgress* task = findTask(key.job, key.task); task && task->openRuns > 0) {
    --task->openRuns;
    task->eligibleSince = at + restartAllowanceMs;
  }
  return openRuns.erase(run);
}

void StarvationChecker::onEnded(const HistoryEvent& event) {
  const auto run = openRuns.find({event.worker, event.job, event.task, event.attempt});
  if (run != openRuns.end())
    closeRun(run, event.timestamp);
  TaskProgress* task = findTask(event.job, event.task);
  if (task && event.detail == "failed")
    ++task->failures;
  if (const auto worker = workers.find(event.worker);
      worker != workers.end() && event.detail == "failed")
    worker->second.failuresAt.push_back(event.timestamp);
  if (task && event.detail == "finished")
    recordSuccess(event);
}

// The success of one member counts for the whole gang.
void StarvationChecker::recordSuccess(const HistoryEvent& event) {
  JobProgress& job = openJobs.at(event.job);
  forEachStep(*job.submission, [&](const StepRequest& step, std::size_t first) {
    const std::size_t endOfStep = first + step.tasks.size();
    if (event.task < first || event.task >= endOfStep)
      return;
    const std::size_t firstMember = step.gang ? first : event.task;
    const std::size_t endOfMembers = step.gang ? endOfStep : event.task + 1;
    for (std::size_t member = firstMember; member < endOfMembers; ++member)
      job.tasks[member].succeeded = true;
  });
}

void StarvationChecker::onWorkerLost(const HistoryEvent& event) {
  for (auto run = openRuns.begin(); run != openRuns.end();)
    run = run->first.worker == event.worker ? closeRun(run, event.timestamp) : std::next(run);
  workers.erase(event.worker);
}

void StarvationChecker::check(const std::string& id, JobProgress& job, std::int64_t at,
                              std::vector<InvariantViolation>& violations) const {
  if (job.reported)
    return;
  const auto isStarved = [&](std::int64_t since) {
    return at - since >= starvedAfterMs + options.clockSlackMs &&
           isFaultFree(since - faultFreeBeforeMs, since + starvedAfterMs);
  };
  const auto report = [&](const std::string& subject, std::int64_t since) {
    job.reported = true;
    violations.push_back({Invariant::noStarvation, at,
                          subject + " of " + id + " has waited since " + std::to_string(since) +
                              " although there is room for it twice"});
  };
  if (job.starvedSince && isStarved(*job.starvedSince))
    return report("every task", *job.starvedSince);
  for (const auto& [taskIndex, since] : job.starvedTasksSince) {
    if (isStarved(since))
      return report("long-running task " + std::to_string(taskIndex), since);
  }
}

void StarvationChecker::updateStarvation(JobProgress& job, std::int64_t at) const {
  if (!isStartDue(job, at))
    job.starvedSince.reset();
  else if (!job.starvedSince)
    job.starvedSince = at;
  updateLongRunningStarvation(job, at);
}

// Reports whether a start is due while no task of the job runs.
bool StarvationChecker::isStartDue(const JobProgress& job, std::int64_t at) const {
  if (!job.acceptedAt || at < job.dueAt || !tenantHasRoom(job))
    return false;
  for (const auto& task : job.tasks) {
    if (task.openRuns > 0)
      return false;
  }
  bool isDue = false;
  forEachStep(*job.submission, [&](const StepRequest& step, std::size_t first) {
    if (isDue || !dependenciesSucceeded(job, step))
      return;
    for (std::size_t index = 0; index < step.tasks.size() && !isDue; ++index) {
      const TaskProgress& task = job.tasks[first + index];
      isDue = !task.succeeded && mayStillStart(job, task) &&
              hasRoomForTwoCopies(job, step, step.tasks[index], at);
    }
  });
  return isDue;
}

void StarvationChecker::updateLongRunningStarvation(JobProgress& job, std::int64_t at) const {
  forEachStep(*job.submission, [&](const StepRequest& step, std::size_t first) {
    if (!step.requirements.longRunning || step.gang || !dependenciesSucceeded(job, step))
      return;
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
      const auto taskIndex = std::uint32_t(first + index);
      const TaskProgress& task = job.tasks[taskIndex];
      const bool isDue = job.acceptedAt && task.openRuns == 0 && tenantHasRoom(job) &&
                         at >= std::max(job.dueAt, task.eligibleSince) &&
                         hasRoomForTwoCopies(job, step, step.tasks[index], at);
      if (isDue)
        job.starvedTasksSince.emplace(taskIndex, at);
      else
        job.starvedTasksSince.erase(taskIndex);
    }
  });
}

bool StarvationChecker::tenantHasRoom(const JobProgress& job) const {
  const auto tenant = options.tenantByJob.find(job.submission->id.value);
  if (tenant == options.tenantByJob.end())
    return true;
  const auto cap = options.lowestCaps.find(tenant->second);
  if (cap == options.lowestCaps.end())
    return true;
  std::uint64_t cores = 0;
  std::uint64_t memory = 0;
  std::uint64_t accelerators = 0;
  for (const auto& [key, request] : openRuns) {
    const std::string submitted = key.job.substr(0, key.job.find(OccurrenceId::separator));
    const auto owner = options.tenantByJob.find(submitted);
    if (owner == options.tenantByJob.end() || owner->second != tenant->second)
      continue;
    cores += request.cores;
    memory += request.memory;
    accelerators += request.accelerators;
  }
  const auto isBelowHalf = [](std::uint64_t used, std::uint64_t limit) {
    return limit == 0 || 2 * used < limit;
  };
  return isBelowHalf(cores, cap->second.cores) && isBelowHalf(memory, cap->second.memory) &&
         isBelowHalf(accelerators, cap->second.accelerators);
}

bool StarvationChecker::dependenciesSucceeded(const JobProgress& job,
                                              const StepRequest& step) const {
  bool succeeded = true;
  forEachStep(*job.submission, [&](const StepRequest& other, std::size_t first) {
    if (!std::count(step.dependencies.begin(), step.dependencies.end(), other.name))
      return;
    for (std::size_t index = 0; index < other.tasks.size(); ++index)
      succeeded = succeeded && job.tasks[first + index].succeeded;
  });
  return succeeded;
}

// Reports whether the limits of its queue allow another start. A task that reached the limit will
// be shown as failed.
bool StarvationChecker::mayStillStart(const JobProgress& job, const TaskProgress& task) const {
  const std::string& queue = job.submission->queue.value;
  if (const auto limit = options.maxAttemptsByQueue.find(queue);
      limit != options.maxAttemptsByQueue.end())
    return task.failures < limit->second;
  const auto retries = options.retriesByQueue.find(queue);
  return retries == options.retriesByQueue.end() || task.starts < 1 + retries->second;
}

// For a gang, all members must fit twice, assuming that each is as large as this one.
bool StarvationChecker::hasRoomForTwoCopies(const JobProgress& job, const StepRequest& step,
                                            const TaskRequest& request, std::int64_t at) const {
  const std::int64_t limit = step.requirements.maxPerWorker;
  const std::int64_t needed = requiredCopies * (step.gang ? std::int64_t(step.tasks.size()) : 1);
  std::int64_t slots = 0;
  for (const auto& [id, worker] : workers) {
    if (worker.draining || failsRepeatedly(worker.failuresAt, at) ||
        !isEligible(options, *job.submission, step, worker.capacity))
      continue;
    std::int64_t slotsHere = needed;
    slotsHere = std::min(slotsHere, slotsIn(worker.capacity.cores - worker.cores, request.cores));
    slotsHere = std::min(slotsHere, slotsIn(std::int64_t(worker.capacity.memory) -
                                                options.reservedTrialMemory - worker.memory,
                                            std::int64_t(request.memory)));
    slotsHere = std::min(slotsHere, slotsIn(worker.capacity.accelerators - worker.accelerators,
                                            request.accelerators));
    if (limit > 0)
      slotsHere = std::min(slotsHere, limit);
    slots += slotsHere;
    if (slots >= needed)
      return true;
  }
  return false;
}

}  // namespace aniseline
