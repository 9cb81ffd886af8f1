#include "state/cluster_state.hpp"

namespace aniseline {

std::vector<AttemptNumber> ClusterState::attemptsOf(const JobId& job, bool withLost) const {
  std::vector<AttemptNumber> found;
  for (auto number : attemptNumbersOf(job))
    if (withLost || !attemptsByNumber.at(number).abandoned)
      found.push_back(number);
  return found;
}

std::vector<AttemptNumber> ClusterState::attemptsOn(const WorkerId& worker) const {
  auto found = attemptsByWorker.find(worker);
  return found == attemptsByWorker.end()
             ? std::vector<AttemptNumber>{}
             : std::vector<AttemptNumber>(found->second.begin(), found->second.end());
}

const std::set<AttemptNumber>& ClusterState::attemptNumbersOf(const JobId& job) const {
  static const std::set<AttemptNumber> none;
  auto found = attemptsByJob.find(job);
  return found == attemptsByJob.end() ? none : found->second;
}

void ClusterState::rebuildIndexes() {
  for (const auto& [id, job] : jobsById)
    if (job.isTerminal())
      endedJobs.emplace(job.endedAt, id);
  for (const auto& [number, attempt] : attemptsByNumber)
    indexAttempt(attempt);
}

void ClusterState::indexAttempt(const Attempt& attempt) {
  attemptsByJob[attempt.job].insert(attempt.number);
  attemptsByWorker[attempt.worker].insert(attempt.number);
  if (attempt.state == AttemptState::suspended)
    everSuspended.insert(attempt.number);
}

void ClusterState::unindexAttempt(const Attempt& attempt) {
  auto erase = [&](auto& numbers, const auto& key) {
    auto found = numbers.find(key);
    found->second.erase(attempt.number);
    if (found->second.empty())
      numbers.erase(found);
  };
  erase(attemptsByJob, attempt.job);
  erase(attemptsByWorker, attempt.worker);
  everSuspended.erase(attempt.number);
}

void ClusterState::addAttempt(const Attempt& attempt) {
  auto [place, added] = attemptsByNumber.try_emplace(attempt.number, attempt);
  if (!added) {
    unindexAttempt(place->second);
    place->second = attempt;
  }
  indexAttempt(attempt);
}

AttemptNumber ClusterState::findAttempt(const WorkerId& worker, const TaskRunId& name) const {
  auto job = jobsById.find(name.job);
  if (job != jobsById.end() && job->second.submission.hasTimetable())
    job = jobsById.find(JobId{name.job.value + "@" + std::to_string(name.occurrence)});
  if (job == jobsById.end())
    return AttemptNumber{};
  const std::size_t place = job->second.taskIndexOf(name.stepIndex, name.indexInStep);
  if (place >= job->second.tasks.size())
    return AttemptNumber{};
  const Task& task = job->second.tasks[place];
  auto fits = [&](const Attempt& attempt) {
    return attempt.runNumber == name.runNumber && attempt.taskIndex == place &&
           attempt.worker == worker && attempt.job == job->first;
  };
  if (auto current = attemptsByNumber.find(task.currentAttempt);
      current != attemptsByNumber.end() && fits(current->second))
    return task.currentAttempt;
  for (auto number : attemptNumbersOf(job->first))  // given up, or of a gang that is done
    if (fits(attemptsByNumber.at(number)))
      return number;
  return AttemptNumber{};
}

std::optional<std::string> ClusterState::infeasibilityReason(const JobSubmission& job,
                                                             const StepRequest& step) const {
  struct Room {
    std::uint32_t cores;
    std::uint64_t memory;
    std::uint32_t accelerators, placed = 0;
  };
  std::vector<Room> rooms;
  if (workersById.empty() ||
      latestTime - lastCapacityChange < activeConfig.planner.capacitySettleTime)
    return std::nullopt;
  const auto* queue = activeConfig.findQueue(job.queue);
  for (const auto& [id, worker] : workersById)
    if (queue && worker.capacity.pool == queue->pool &&
        worker.capacity.hasLabel(step.requirements.requiredLabel))
      rooms.push_back(
          {worker.capacity.cores, worker.capacity.memory, worker.capacity.accelerators});
  auto tasks = step.tasks;
  std::sort(tasks.begin(), tasks.end(), [](auto& left, auto& right) {
    return std::tie(left.cores, left.memory) > std::tie(right.cores, right.memory);
  });
  for (const auto& task : tasks) {
    auto best = rooms.end();
    for (auto room = rooms.begin(); room != rooms.end(); ++room)
      if (room->cores >= task.cores && room->memory >= task.memory &&
          room->accelerators >= task.accelerators &&
          !(step.gang && step.requirements.maxPerWorker &&
            room->placed >= step.requirements.maxPerWorker) &&
          (best == rooms.end() || room->cores < best->cores))
        best = room;
    if (best == rooms.end())
      return step.gang ? "no set of known workers could ever hold this gang together"
                       : "no known worker could ever hold a task of this step";
    if (step.gang) {
      best->cores -= task.cores;
      best->memory -= task.memory;
      best->accelerators -= task.accelerators;
      ++best->placed;
    }
  }
  return std::nullopt;
}

void ClusterState::admitJob(const JobSubmission& submission) {
  if (jobsById.count(submission.id))
    return;
  Job job;
  job.submission = submission;
  job.digest = submission.digest();
  job.admittedAt = latestTime;
  job.state = submission.hasTimetable() ? JobState::scheduled : JobState::active;
  if (!submission.hasTimetable())
    for (std::uint32_t step = 0; step < submission.steps.size(); ++step)
      for (std::uint32_t within = 0; within < submission.steps[step].tasks.size(); ++within) {
        Task task;
        task.stepIndex = step;
        task.indexInStep = within;
        job.tasks.push_back(task);
      }
  job.releaseReadyTasks(latestTime);
  openJobIds.insert(submission.id);
  ++openJobCounts[submission.queue];
  ++totals.admitted;
  jobsById.emplace(submission.id, std::move(job));
}

Order& ClusterState::issueOrder(OrderKind kind, const Attempt& attempt) {
  updatedWorkers.insert(attempt.worker);
  return workersById[attempt.worker].issueOrder(kind, attempt);
}

void ClusterState::forceStop(Attempt& attempt, bool tryless) {
  if (attempt.state == AttemptState::stopping)
    return;
  attempt.accumulatedRuntime = attempt.runtimeAt(latestTime);
  attempt.state = AttemptState::stopping;
  attempt.suspendedForTrial = AttemptNumber{};
  attempt.exemptFromRetryLimit = tryless;
  // docs/design.md 5.3: what was ordered but may not have reached the worker must not begin when it
  // at last does.
  for (auto& order : workersById[attempt.worker].unappliedOrders)
    if (order.attempt == attempt.number)
      order.kind = OrderKind::stop;
  issueOrder(OrderKind::stop, attempt);
}

void ClusterState::resumeSuspendedFor(AttemptNumber trial) {
  for (auto number : everSuspended) {
    Attempt& attempt = attemptsByNumber.at(number);
    if (attempt.suspendedForTrial != trial || attempt.state != AttemptState::suspended)
      continue;
    attempt.state = AttemptState::running;
    attempt.runningSince = latestTime;
    attempt.suspendedForTrial = AttemptNumber{};
    issueOrder(OrderKind::resume, attempt);
  }
}

void ClusterState::removeAttempt(AttemptNumber number) {
  auto found = attemptsByNumber.find(number);
  if (found == attemptsByNumber.end())
    return;
  const bool trial = found->second.isTrial();
  // docs/design.md 5.3: what ended is not begun when its order is given again.
  if (auto worker = workersById.find(found->second.worker); worker != workersById.end())
    for (auto& order : worker->second.unappliedOrders)
      if (order.attempt == number)
        order.kind = OrderKind::stop;
  unindexAttempt(found->second);
  attemptsByNumber.erase(found);
  if (trial)
    resumeSuspendedFor(number);
}

void ClusterState::stopOtherCopies(const Task& task, AttemptNumber except) {
  for (auto number : {task.currentAttempt, task.redundantAttempt})
    if (auto found = attemptsByNumber.find(number);
        number != except && found != attemptsByNumber.end())
      forceStop(found->second, true);
}

void ClusterState::completeTask(Job& job, Task& task) {
  task.state = TaskState::succeeded;
  task.currentAttempt = task.redundantAttempt = AttemptNumber{};
  job.releaseReadyTasks(latestTime);
}

// A task whose attempt came to nothing: it waits again, or its allowance is used up.
// docs/design.md 4.4.
void ClusterState::requeueTask(Job& job, Task& task, const WorkerId& avoid, Duration pause) {
  task.currentAttempt = AttemptNumber{};
  if (task.succeededEarlier)
    return completeTask(job, task);
  if (job.terminating || job.isTerminal()) {
    task.state = TaskState::stopped;
    return;
  }
  if (retriesExhausted(job, task)) {
    task.state = TaskState::failed;
    failJob(job, "task " + std::to_string(&task - job.tasks.data()) + " used up its retries");
    return;
  }
  task.state = TaskState::pending;
  task.avoidedWorker = avoid;
  task.notBefore = latestTime + pause;
}

// docs/design.md 4.4: a queue with `tries` counts what ended as failed, any other counts starts;
// what lasts counts nothing.
bool ClusterState::retriesExhausted(const Job& job, const Task& task) const {
  const auto& step = job.stepOf(task);
  if (step.requirements.longRunning)
    return false;
  const auto* queue = activeConfig.findQueue(job.submission.queue);
  if (queue && queue->maxFailures)
    return job.tasks[step.gang ? job.taskIndexOf(task.stepIndex, 0)
                               : job.taskIndexOf(task.stepIndex, task.indexInStep)]
               .failureCount >= queue->maxFailures;
  return task.countedStarts >= 1 + (queue ? queue->maxRetries : 0);
}
void ClusterState::countFailure(Job& job, const Attempt& attempt) {
  Task& task = job.tasks[attempt.gang ? job.taskIndexOf(attempt.stepIndex, 0) : attempt.taskIndex];
  if (attempt.gang && attempt.runNumber && task.lastFailedRun >= attempt.runNumber)
    return;  // of a gang's run one failure is counted
  task.lastFailedRun = attempt.runNumber;
  ++task.failureCount;
}
// A checkpoint belongs to its task, or to the whole gang; that of an earlier run never replaces a
// later one's.
void ClusterState::recordCheckpoint(const Attempt& attempt, const std::string& saved) {
  auto found = jobsById.find(attempt.job);
  if (saved.empty() || found == jobsById.end() || found->second.tasks.empty())
    return;
  Task& task = found->second.tasks[attempt.gang ? found->second.taskIndexOf(attempt.stepIndex, 0)
                                                : attempt.taskIndex];
  if (attempt.runNumber < task.checkpointRun)
    return;
  task.checkpoint = saved;
  task.checkpointRun = attempt.runNumber;
}
// The parts of a gang that assembles itself end well together: one such ending counts for all, also
// where another's own was void, and whatever took its place is stopped.
void ClusterState::completeGang(Job& job, const Attempt& attempt) {
  for (auto& task : job.tasks) {
    if (task.stepIndex != attempt.stepIndex || task.state == TaskState::succeeded)
      continue;
    auto part = attemptsByNumber.find(task.currentAttempt);
    if (part != attemptsByNumber.end() && part->second.runNumber != attempt.runNumber) {
      task.succeededEarlier = true;
      forceStop(part->second, true);
    } else if (part != attemptsByNumber.end() || task.state == TaskState::pending)
      completeTask(job, task);
  }
}

void ClusterState::abortGang(Job& job, std::uint32_t step, AttemptNumber except) {
  for (auto number : attemptNumbersOf(job.submission.id)) {
    Attempt& attempt = attemptsByNumber.at(number);
    if (attempt.stepIndex == step && number != except && !attempt.abandoned)
      forceStop(attempt, false);
  }
}

void ClusterState::failJob(Job& job, const std::string& reason) {
  if (job.terminating || job.isTerminal())
    return;
  job.terminating = true;
  job.reason = reason;
  for (auto& task : job.tasks)
    if (task.state == TaskState::pending || task.state == TaskState::blocked)
      task.state = TaskState::stopped;
  for (auto number : attemptNumbersOf(job.submission.id))
    if (Attempt& attempt = attemptsByNumber.at(number); !attempt.abandoned)
      forceStop(attempt, false);
}

// docs/design.md 4.2: a job is over only when no task of it is open anywhere.
void ClusterState::updateJobPhase(Job& job) {
  if (job.isTerminal() || job.state == JobState::scheduled)
    return;
  const bool allDone = std::all_of(job.tasks.begin(), job.tasks.end(), [](const Task& task) {
    return task.state == TaskState::succeeded;
  });
  if (!job.terminating && !allDone)
    return;
  for (auto number : attemptNumbersOf(job.submission.id)) {
    // A copy that is being stopped after another ended well keeps its room, not its job.
    const Attempt& attempt = attemptsByNumber.at(number);
    if (!attempt.abandoned && !(allDone && attempt.state == AttemptState::stopping &&
                                job.submission.steps[attempt.stepIndex].requirements.redundant))
      return;
  }
  completeJob(job, job.state == JobState::cancelling ? JobState::cancelled
                   : allDone                         ? JobState::succeeded
                                                     : JobState::failed);
}

// docs/design.md 4.1: a timetable is over when all its occurrences are, and fails with the first
// that fails.
void ClusterState::onOccurrenceCompleted(const Job& job) {
  const auto mark = job.submission.id.value.rfind('@');
  if (mark == std::string::npos)
    return;
  auto found = jobsById.find(JobId{job.submission.id.value.substr(0, mark)});
  if (found == jobsById.end())
    return;
  Job& whole = found->second;
  if (whole.openOccurrences > 0)
    --whole.openOccurrences;
  if (whole.state != JobState::scheduled)
    return;
  if (job.state == JobState::failed) {
    whole.reason = "occurrence " + job.submission.id.value.substr(mark + 1) + ": " + job.reason;
    completeJob(whole, JobState::failed);
    cancelOccurrences(whole, "another occurrence failed");
  } else if (whole.firedOccurrences >= whole.submission.timetable.count &&
             whole.openOccurrences == 0)
    completeJob(whole, JobState::succeeded);
}

void ClusterState::cancelOccurrences(const Job& whole, const std::string& reason) {
  for (std::uint32_t count = 0; count < whole.firedOccurrences; ++count) {
    auto occurrence = jobsById.find(JobId{whole.submission.id.value + "@" + std::to_string(count)});
    if (occurrence != jobsById.end())
      cancelJob(occurrence->second, reason);
  }
}

void ClusterState::cancelJob(Job& job, const std::string& reason) {
  if (job.isTerminal())
    return;
  if (job.state == JobState::scheduled) {
    completeJob(job, JobState::cancelled);
    return cancelOccurrences(job, reason);
  }
  job.state = JobState::cancelling;
  if (!job.terminating)
    failJob(job, reason);
  updateJobPhase(job);
}

void ClusterState::completeJob(Job& job, JobState state) {
  job.state = state;
  ++(state == JobState::cancelled   ? totals.cancelled
     : state == JobState::succeeded ? totals.succeeded
                                    : totals.failed);
  job.endedAt = latestTime;
  openJobIds.erase(job.submission.id);
  --openJobCounts[job.submission.queue];
  endedJobs.emplace(latestTime, job.submission.id);
  onOccurrenceCompleted(job);
}

void ClusterState::endAttempt(AttemptNumber number, AttemptOutcome kind) {
  auto found = attemptsByNumber.find(number);
  if (found == attemptsByNumber.end())
    return;  // told before; endings are sent until confirmed
  const Attempt attempt = found->second;
  auto foundJob = jobsById.find(attempt.job);
  // docs/design.md 5.5: what a worker that lapses ended before it lapsed is void once its work was
  // given up.
  if (attempt.abandoned && workersById[attempt.worker].capacity.killsOnLeaseExpiry &&
      kind != AttemptOutcome::neverStarted && kind != AttemptOutcome::rejected)
    kind = AttemptOutcome::stopped;
  const bool lasts = foundJob != jobsById.end() && !foundJob->second.tasks.empty() &&
                     foundJob->second.submission.steps[attempt.stepIndex].requirements.longRunning;
  if (lasts && kind == AttemptOutcome::succeeded)
    kind = AttemptOutcome::stopped;
  // docs/design.md 5.5: a clean ending told late wins over whatever took the task's place. That is
  // stopped first, and the ending stays unconfirmed until it has: nothing of the task starts or
  // resumes after the confirmation.
  const bool redundant =
      foundJob != jobsById.end() && !foundJob->second.tasks.empty() &&
      foundJob->second.submission.steps[attempt.stepIndex].requirements.redundant;
  if (kind == AttemptOutcome::succeeded && foundJob != jobsById.end() && !redundant) {
    Task& task = foundJob->second.tasks[attempt.taskIndex];
    auto replacement = attemptsByNumber.find(task.currentAttempt);
    if (task.currentAttempt != number && replacement != attemptsByNumber.end()) {
      task.succeededEarlier = true;
      forceStop(replacement->second, true);
      if (attempt.selfAssembling)
        completeGang(foundJob->second, attempt);
      return;
    }
  }
  removeAttempt(number);
  if (foundJob == jobsById.end())
    return;
  Job& job = foundJob->second;
  Task& task = job.tasks[attempt.taskIndex];
  Worker& worker = workersById[attempt.worker];
  const std::int64_t failureScore = worker.failureScoreAt(latestTime);
  if (kind == AttemptOutcome::failed) {
    // A task that failed before, here or elsewhere, says little of the worker.
    worker.failureScore =
        std::min<std::int64_t>(failureScore + (task.failureCount ? 50 : 250), 1000);
    worker.failureScoredAt = latestTime;
    countFailure(job, attempt);
  } else if (kind == AttemptOutcome::succeeded && !attempt.isTrial() &&
             attempt.runtimeAt(latestTime).milliseconds > 2 * attempt.runtime.milliseconds + 1000) {
    // Far over what was requested: once may be the caller's mistake, again and again it is a slow
    // worker.
    worker.failureScore = std::min<std::int64_t>(failureScore + 125, 1000);
    worker.failureScoredAt = latestTime;
  } else if (kind == AttemptOutcome::succeeded) {
    worker.failureScore = failureScore * 7 / 8;
    worker.failureScoredAt = latestTime;
  }
  const bool refused = kind == AttemptOutcome::rejected;
  if (refused) {  // it has no room that we thought it had, or is sick
    worker.failureScore = std::min<std::int64_t>(failureScore + 100, 1000);
    worker.failureScoredAt = latestTime;
    kind = AttemptOutcome::neverStarted;
  }
  if (kind == AttemptOutcome::neverStarted && attempt.countsAsStart && task.countedStarts > 0)
    --task.countedStarts;
  // Of two copies the first clean ending counts; one that ends otherwise leaves the task to the
  // other.
  if (redundant && kind == AttemptOutcome::succeeded)
    stopOtherCopies(task, number);
  else if (redundant && kind == AttemptOutcome::failed && retriesExhausted(job, task) &&
           (task.redundantAttempt == number || task.currentAttempt == number)) {
    // The allowance is the task's, however many copies use it: the other one is stopped with the
    // job.
    task.redundantAttempt = AttemptNumber{};
    task.state = TaskState::failed;
    failJob(job, "task " + std::to_string(&task - job.tasks.data()) + " used up its retries");
    return updateJobPhase(job);
  } else if (task.redundantAttempt == number)
    task.redundantAttempt = AttemptNumber{};
  else if (task.currentAttempt == number && attemptsByNumber.count(task.redundantAttempt)) {
    task.currentAttempt = std::exchange(task.redundantAttempt, AttemptNumber{});
    return updateJobPhase(job);
  }
  const bool current = task.currentAttempt == number;
  if (kind == AttemptOutcome::succeeded) {
    if (attempt.isTrial() && current)
      ++totals.trialsSucceeded;
    if (current || task.state == TaskState::pending ||
        (redundant && task.state == TaskState::placed))
      completeTask(job, task);
    if (attempt.selfAssembling)
      completeGang(job, attempt);
  } else if (current) {
    if (kind == AttemptOutcome::quantumExpired) {
      ++totals.trialsExpired;
      if (task.countedStarts > 0)
        --task.countedStarts;
      task.trialExpired = true;
      requeueTask(job, task, WorkerId{}, Duration{0});
    } else {
      const bool free = attempt.exemptFromRetryLimit || kind == AttemptOutcome::neverStarted;
      const bool failed = kind == AttemptOutcome::failed;
      if ((failed && attempt.gang) ||
          (attempt.selfAssembling && attempt.state != AttemptState::stopping))
        abortGang(job, attempt.stepIndex, number);
      // Where failures are counted there is nothing to wait for: the next try goes elsewhere, and
      // there are only so many.
      const auto* queue = activeConfig.findQueue(job.submission.queue);
      const auto pause =
          failed && !(queue && queue->maxFailures)
              ? std::min<std::int64_t>(2000, 100ll << std::min<std::uint32_t>(
                                                 std::max<std::uint32_t>(task.failureCount, 1), 6))
              : 0;
      requeueTask(job, task, failed || refused ? attempt.worker : WorkerId{},
                  Duration{free ? 0 : pause});
    }
  }
  updateJobPhase(job);
}

// The worker is taken to have lost this attempt, or to hold it in place for good.
// docs/design.md 5.5.
void ClusterState::abandonAttempt(AttemptNumber number) {
  Attempt& attempt = attemptsByNumber.at(number);
  if (attempt.abandoned)
    return;
  attempt.abandoned = true;
  ++totals.abandoned;
  auto foundJob = jobsById.find(attempt.job);
  if (foundJob == jobsById.end())
    return;
  Job& job = foundJob->second;
  Task& task = job.tasks[attempt.taskIndex];
  if (task.redundantAttempt == number)
    task.redundantAttempt = AttemptNumber{};
  else if (task.currentAttempt == number && attemptsByNumber.count(task.redundantAttempt))
    task.currentAttempt = std::exchange(task.redundantAttempt, AttemptNumber{});
  else if (task.currentAttempt == number) {
    if (attempt.gang)
      abortGang(job, attempt.stepIndex, number);
    requeueTask(job, task, attempt.worker, Duration{0});
  }
  updateJobPhase(job);
}

struct ClusterState::Applier : boost::static_visitor<void> {
  ClusterState& clusterState;
  explicit Applier(ClusterState& given) : clusterState(given) {}

  void operator()(const LeaderStarted&) {}
  void operator()(const ConfigCommitted& event) {
    auto before = std::move(clusterState.activeConfig);
    clusterState.activeConfig = event.config;
    clusterState.configUpdates.record({event.config.version, before.version, event.digest});
    // docs/design.md 6.4: a queue that is no longer named but has open jobs runs them out and takes
    // nothing new.
    for (auto& [name, options] : before.queues)
      if (!clusterState.activeConfig.queues.count(name) && clusterState.openJobCounts[name] > 0) {
        auto closed = options;
        closed.closedToSubmissions = true;
        closed.policy = "default";
        clusterState.activeConfig.queues[name] = closed;
      }
  }
  void operator()(const JobAccepted& event) { clusterState.admitJob(event.submission); }
  void operator()(const JobCancelled& event) {
    auto found = clusterState.jobsById.find(event.job);
    if (found == clusterState.jobsById.end() || found->second.isTerminal())
      return;
    Job& job = found->second;
    clusterState.cancelJob(job, "cancelled");
  }
  void operator()(const JobFailed& event) {
    auto found = clusterState.jobsById.find(event.job);
    if (found == clusterState.jobsById.end() || found->second.isTerminal() ||
        found->second.state == JobState::scheduled)
      return;
    clusterState.failJob(found->second, event.reason);
    clusterState.updateJobPhase(found->second);
  }
  void operator()(const OccurrenceFired& event) {
    auto found = clusterState.jobsById.find(event.job);
    if (found == clusterState.jobsById.end() || found->second.state != JobState::scheduled)
      return;
    JobSubmission occurrence = found->second.submission;
    occurrence.id = JobId{event.job.value + "@" + std::to_string(found->second.firedOccurrences)};
    occurrence.timetable = Timetable{};
    ++found->second.firedOccurrences;
    ++found->second.openOccurrences;
    clusterState.admitJob(occurrence);
  }
  void operator()(const JobsExpired& event) {
    for (const auto& id : event.jobs) {
      auto found = clusterState.jobsById.find(id);
      if (found == clusterState.jobsById.end() || !found->second.isTerminal())
        continue;
      clusterState.endedJobs.erase({found->second.endedAt, id});
      clusterState.jobsById.erase(found);
    }
    for (const auto& id : event.compacted) {
      auto found = clusterState.jobsById.find(id);
      if (found == clusterState.jobsById.end() || !found->second.isTerminal() ||
          !clusterState.attemptNumbersOf(id).empty())
        continue;
      Job& job = found->second;
      job.compactedTaskCount = std::max<std::uint32_t>(1, std::uint32_t(job.tasks.size()));
      std::vector<StepRequest>().swap(job.submission.steps);
      std::vector<Task>().swap(job.tasks);
    }
    for (const auto& id : event.workers) {
      auto found = clusterState.workersById.find(id);
      if (found == clusterState.workersById.end() || found->second.state != WorkerState::removed)
        continue;
      clusterState.updatedWorkers.erase(id);
      clusterState.workersById.erase(found);
    }
  }
  void operator()(const WorkerRegistered& event) {
    // One worker a host: another that stood there is gone. docs/design.md 5.8.
    if (!event.capacity.host.empty())
      for (auto& [id, other] : clusterState.workersById)
        if (id != event.worker && other.capacity.host == event.capacity.host &&
            other.state != WorkerState::removed)
          (*this)(WorkerRemoved{id, "another stands on its host"});
    const bool alike = std::any_of(
        clusterState.workersById.begin(), clusterState.workersById.end(), [&](const auto& other) {
          const Capacity& known = other.second.capacity;
          return known.cores >= event.capacity.cores && known.memory >= event.capacity.memory &&
                 known.accelerators >= event.capacity.accelerators &&
                 known.pool == event.capacity.pool &&
                 std::all_of(event.capacity.labels.begin(), event.capacity.labels.end(),
                             [&](const auto& label) { return known.hasLabel(label); });
        });
    clusterState.updatedWorkers.insert(event.worker);
    Worker& worker = clusterState.workersById[event.worker];
    worker.id = event.worker;
    worker.lastSeenAt = clusterState.latestTime;
    if (worker.incarnation != event.incarnation) {
      for (auto number : clusterState.attemptsOn(event.worker)) {
        clusterState.abandonAttempt(number);
        clusterState.removeAttempt(number);
      }
      if (worker.incarnation.value)
        worker.retiredIncarnations.push_back(worker.incarnation);
      if (worker.retiredIncarnations.size() > 16)
        worker.retiredIncarnations.erase(worker.retiredIncarnations.begin());
      worker.incarnation = event.incarnation;
      worker.unappliedOrders.clear();
      worker.lastAppliedOrder = worker.lastIssuedOrder =
          OrderNumber{};  // orders are numbered within an incarnation
      if (worker.state != WorkerState::drained)
        worker.state = WorkerState::available;
      worker.drainDeadline = ClusterTime{};
      worker.drainDeadlinePassed = false;
    }
    if (!alike)
      clusterState.lastCapacityChange = clusterState.latestTime;
    worker.capacity = event.capacity;
  }
  void operator()(const ControllerReplacementRequested& event) {
    if (event.completed) {
      clusterState.pendingReplacements.erase(event.controller);
      clusterState.completedReplacements.push_back(event.controller);
      if (clusterState.completedReplacements.size() > ClusterState::maxReplacedControllers)
        clusterState.completedReplacements.pop_front();
    } else
      clusterState.pendingReplacements.insert(event.controller);
  }
  void operator()(const WorkerSynced& event) {
    auto found = clusterState.workersById.find(event.worker);
    if (found == clusterState.workersById.end())
      return;
    Worker& worker = found->second;
    if (event.lastAppliedOrder > worker.lastAppliedOrder &&
        event.lastAppliedOrder <= worker.lastIssuedOrder) {
      worker.lastAppliedOrder = event.lastAppliedOrder;
      while (!worker.unappliedOrders.empty() &&
             worker.unappliedOrders.front().number <= event.lastAppliedOrder) {
        const Order order = worker.unappliedOrders.front();
        worker.unappliedOrders.pop_front();
        auto place = clusterState.attemptsByNumber.find(order.attempt);
        if (place == clusterState.attemptsByNumber.end())
          continue;
        Attempt& attempt = place->second;
        if (order.kind == OrderKind::stage && attempt.state == AttemptState::ordered)
          attempt.state = AttemptState::staged;
        if ((order.kind == OrderKind::start && attempt.state == AttemptState::ordered) ||
            (order.kind == OrderKind::launch && attempt.state == AttemptState::launching)) {
          attempt.state = AttemptState::running;
          attempt.runningSince = clusterState.latestTime;
        }
      }
    }
    for (const auto& [number, saved] : event.checkpoints)
      if (auto attempt = clusterState.attemptsByNumber.find(number);
          attempt != clusterState.attemptsByNumber.end())
        clusterState.recordCheckpoint(attempt->second, saved);
    for (const auto& ending : event.results) {
      if (auto attempt = clusterState.attemptsByNumber.find(ending.attempt);
          attempt != clusterState.attemptsByNumber.end())
        clusterState.recordCheckpoint(attempt->second, ending.checkpoint);
      clusterState.endAttempt(ending.attempt, ending.outcome);
    }
  }
  void operator()(const WorkerDrainStarted& event) {
    auto found = clusterState.workersById.find(event.worker);
    if (found == clusterState.workersById.end() || found->second.state == WorkerState::removed)
      return;
    Worker& worker = found->second;
    if (worker.state != WorkerState::unreachable || event.byOperator)
      worker.state = event.byOperator ? WorkerState::drained : WorkerState::draining;
    worker.drainDeadline = clusterState.latestTime + event.timeout;
    worker.drainDeadlinePassed = false;
    // docs/design.md 5.7: what it has not yet said it started is taken back at once.
    for (auto number : clusterState.attemptsOn(event.worker)) {
      Attempt& attempt = clusterState.attemptsByNumber.at(number);
      if (attempt.state == AttemptState::ordered || attempt.state == AttemptState::staged ||
          attempt.state == AttemptState::launching) {
        if (attempt.gang)
          clusterState.abortGang(clusterState.jobsById[attempt.job], attempt.stepIndex, number);
        clusterState.forceStop(attempt, true);
      }
    }
  }
  void operator()(const WorkerDrainDeadlinePassed& event) {
    auto found = clusterState.workersById.find(event.worker);
    if (found == clusterState.workersById.end())
      return;
    found->second.drainDeadlinePassed = true;
    for (auto number : clusterState.attemptsOn(event.worker)) {
      Attempt& attempt = clusterState.attemptsByNumber.at(number);
      if (attempt.abandoned)
        continue;
      if (attempt.gang)
        clusterState.abortGang(clusterState.jobsById[attempt.job], attempt.stepIndex, number);
      clusterState.forceStop(attempt, false);
    }
  }
  void operator()(const WorkerReconnected& event) {
    auto found = clusterState.workersById.find(event.worker);
    if (found == clusterState.workersById.end() || found->second.state == WorkerState::removed)
      return;
    Worker& worker = found->second;
    worker.lastSeenAt = clusterState.latestTime;
    // One that was silent while it leaves is leaving still. docs/design.md 5.7.
    if (worker.state == WorkerState::unreachable && worker.drainDeadline != ClusterTime{}) {
      worker.state = WorkerState::draining;
      return;
    }
    worker.state = WorkerState::available;
    worker.drainDeadline = ClusterTime{};
    worker.drainDeadlinePassed = false;
  }
  void operator()(const WorkerUnreachable& event) {
    auto found = clusterState.workersById.find(event.worker);
    if (found == clusterState.workersById.end() || found->second.state == WorkerState::removed)
      return;
    if (found->second.state != WorkerState::drained)
      found->second.state = WorkerState::unreachable;
    if (!found->second.capacity.honoursLeases)
      return;
    for (auto number : event.abandoned) {
      auto attempt = clusterState.attemptsByNumber.find(number);
      if (attempt == clusterState.attemptsByNumber.end() || attempt->second.worker != event.worker)
        continue;
      clusterState.abandonAttempt(number);
      clusterState.forceStop(attempt->second, false);
    }
  }
  void operator()(const WorkerRemoved& event) {
    auto found = clusterState.workersById.find(event.worker);
    if (found == clusterState.workersById.end())
      return;
    found->second.state = WorkerState::removed;
    found->second.lastSeenAt = clusterState.latestTime;
    for (auto number : clusterState.attemptsOn(event.worker)) {
      clusterState.abandonAttempt(number);
      clusterState.removeAttempt(number);
    }
    found->second.unappliedOrders.clear();
    found->second.lastAppliedOrder = found->second.lastIssuedOrder;
  }
  void operator()(const PlanMade& event) {
    ++clusterState.totals.plans;
    clusterState.lastPlanNumber = event.number;
    if (event.reservation.timesMoved > clusterState.currentReservation.timesMoved)
      ++clusterState.totals.reservationsMoved;
    clusterState.currentReservation = event.reservation;
    for (const auto& action : event.actions)
      apply(action);
  }
  void apply(const Action& action) {
    if (action.kind == ActionKind::start || action.kind == ActionKind::stage) {
      Job& job = clusterState.jobsById[action.job];
      Task& task = job.tasks[action.taskIndex];
      const TaskRequest& request = job.requestOf(task);
      Attempt attempt;
      attempt.number = action.attempt;
      attempt.job = action.job;
      attempt.taskIndex = action.taskIndex;
      attempt.stepIndex = task.stepIndex;
      attempt.indexInStep = task.indexInStep;
      attempt.worker = action.worker;
      attempt.cores = request.cores;
      attempt.accelerators = request.accelerators;
      attempt.runNumber = task.runNumber = std::max(task.runNumber + 1, action.runNumber);
      attempt.memory = action.memory;
      attempt.runtime = request.runtime;
      attempt.quantum = action.trial ? action.quantum : Duration{0};
      attempt.gang = job.stepOf(task).gang;
      attempt.selfAssembling = attempt.gang && action.kind == ActionKind::start;
      attempt.countsAsStart = action.kind == ActionKind::start;
      attempt.orderedAt = attempt.runningSince = clusterState.latestTime;
      Order& order = clusterState.issueOrder(
          action.kind == ActionKind::start ? OrderKind::start : OrderKind::stage, attempt);
      order.payload = job.payloadOf(task);
      order.checkpoint =
          job.tasks[attempt.gang ? job.taskIndexOf(task.stepIndex, 0) : action.taskIndex]
              .checkpoint;
      attempt.orderNumber = order.number;
      clusterState.lastAttemptNumber = std::max(clusterState.lastAttemptNumber, action.attempt);
      clusterState.addAttempt(attempt);
      task.state = TaskState::placed;
      (action.redundantCopy ? task.redundantAttempt : task.currentAttempt) = action.attempt;
      if (action.trial) {
        task.trialStarted = true;
        ++counters().trials;
      }
      if (attempt.countsAsStart)
        countStart(task);
      return;
    }
    auto found = clusterState.attemptsByNumber.find(action.attempt);
    if (found == clusterState.attemptsByNumber.end())
      return;
    Attempt& attempt = found->second;
    if (action.kind == ActionKind::launch && attempt.state == AttemptState::staged) {
      attempt.state = AttemptState::launching;
      attempt.countsAsStart = true;
      attempt.runningSince = clusterState.latestTime;
      countStart(clusterState.jobsById[attempt.job].tasks[attempt.taskIndex]);
      attempt.orderNumber = clusterState.issueOrder(OrderKind::launch, attempt).number;
    } else if (action.kind == ActionKind::suspend && attempt.state == AttemptState::running) {
      attempt.accumulatedRuntime = attempt.runtimeAt(clusterState.latestTime);
      attempt.state = AttemptState::suspended;
      attempt.suspendedForTrial = action.suspendedForTrial;
      clusterState.everSuspended.insert(attempt.number);
      clusterState.issueOrder(OrderKind::suspend, attempt);
      ++counters().suspends;
    } else if (action.kind == ActionKind::stop) {
      clusterState.forceStop(attempt, action.reason == "staging");
    }
  }
  void countStart(Task& task) {
    if (task.countedStarts++ > 0)
      ++counters().retries;
    ++counters().starts;
  }
  Counters& counters() { return clusterState.totals; }
};

void ClusterState::apply(const LogRecord& record) {
  latestTime = std::max(latestTime, record.time);
  Applier folder(*this);
  boost::apply_visitor(folder, record.event);
}

}  // namespace aniseline
