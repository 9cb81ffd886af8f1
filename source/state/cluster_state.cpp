#include "state/cluster_state.hpp"

namespace aniseline {

std::vector<AttemptNumber> ClusterState::attemptsOf(const JobId& job, bool withLost) const {
  std::vector<AttemptNumber> found;
  for (auto number : numbersOf(job))
    if (withLost || !attempts.at(number).lost)
      found.push_back(number);
  return found;
}

std::vector<AttemptNumber> ClusterState::attemptsOn(const WorkerId& worker) const {
  auto found = byWorker.find(worker);
  return found == byWorker.end()
             ? std::vector<AttemptNumber>{}
             : std::vector<AttemptNumber>(found->second.begin(), found->second.end());
}

const std::set<AttemptNumber>& ClusterState::numbersOf(const JobId& job) const {
  static const std::set<AttemptNumber> none;
  auto found = byJob.find(job);
  return found == byJob.end() ? none : found->second;
}

void ClusterState::derive() {
  for (const auto& [id, job] : jobs)
    if (job.over())
      ended.emplace(job.endedAt, id);
  for (const auto& [number, attempt] : attempts)
    index(attempt);
}

void ClusterState::index(const Attempt& attempt) {
  byJob[attempt.job].insert(attempt.number);
  byWorker[attempt.worker].insert(attempt.number);
  if (attempt.state == AttemptState::held)
    onceHeld.insert(attempt.number);
}

void ClusterState::unindex(const Attempt& attempt) {
  auto erase = [&](auto& numbers, const auto& key) {
    auto found = numbers.find(key);
    found->second.erase(attempt.number);
    if (found->second.empty())
      numbers.erase(found);
  };
  erase(byJob, attempt.job);
  erase(byWorker, attempt.worker);
  onceHeld.erase(attempt.number);
}

void ClusterState::addAttempt(const Attempt& attempt) {
  auto [place, added] = attempts.try_emplace(attempt.number, attempt);
  if (!added) {
    unindex(place->second);
    place->second = attempt;
  }
  index(attempt);
}

AttemptNumber ClusterState::attemptNamed(const WorkerId& worker, const RunName& name) const {
  auto job = jobs.find(name.job);
  if (job != jobs.end() && job->second.submission.timed())
    job = jobs.find(JobId{name.job.value + "@" + std::to_string(name.occurrence)});
  if (job == jobs.end())
    return AttemptNumber{};
  const std::size_t place = job->second.place(name.step, name.within);
  if (place >= job->second.tasks.size())
    return AttemptNumber{};
  const Task& task = job->second.tasks[place];
  auto fits = [&](const Attempt& attempt) {
    return attempt.run == name.run && attempt.task == place && attempt.worker == worker &&
           attempt.job == job->first;
  };
  if (auto current = attempts.find(task.attempt);
      current != attempts.end() && fits(current->second))
    return task.attempt;
  for (auto number : numbersOf(job->first))  // given up, or of a gang that is done
    if (fits(attempts.at(number)))
      return number;
  return AttemptNumber{};
}

std::optional<std::string> ClusterState::neverFits(const JobSubmission& job,
                                                   const StepRequest& step) const {
  struct Room {
    std::uint32_t cores;
    std::uint64_t memory;
    std::uint32_t accelerators, placed = 0;
  };
  std::vector<Room> rooms;
  if (workers.empty() || now - capacityChangedAt < config.planner.knownAfter)
    return std::nullopt;
  const auto* queue = config.queue(job.queue);
  for (const auto& [id, worker] : workers)
    if (queue && worker.capacity.pool == queue->pool && worker.capacity.has(step.needs.label))
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
          !(step.gang && step.needs.apart && room->placed >= step.needs.apart) &&
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

void ClusterState::allow(const JobSubmission& submission) {
  if (jobs.count(submission.id))
    return;
  Job job;
  job.submission = submission;
  job.digest = submission.digest();
  job.allowedAt = now;
  job.state = submission.timed() ? JobState::timed : JobState::open;
  if (!submission.timed())
    for (std::uint32_t step = 0; step < submission.steps.size(); ++step)
      for (std::uint32_t within = 0; within < submission.steps[step].tasks.size(); ++within) {
        Task task;
        task.step = step;
        task.within = within;
        job.tasks.push_back(task);
      }
  job.unblock(now);
  open.insert(submission.id);
  ++openByQueue[submission.queue];
  ++counters.allowed;
  jobs.emplace(submission.id, std::move(job));
}

Order& ClusterState::give(OrderKind kind, const Attempt& attempt) {
  addressed.insert(attempt.worker);
  return workers[attempt.worker].give(kind, attempt);
}

void ClusterState::forceStop(Attempt& attempt, bool tryless) {
  if (attempt.state == AttemptState::stopping)
    return;
  attempt.runBefore = attempt.ranBy(now);
  attempt.state = AttemptState::stopping;
  attempt.heldFor = AttemptNumber{};
  attempt.tryless = tryless;
  // docs/design.md 5.3: what was ordered but may not have reached the worker must not begin when it
  // at last does.
  for (auto& order : workers[attempt.worker].orders)
    if (order.attempt == attempt.number)
      order.kind = OrderKind::stop;
  give(OrderKind::stop, attempt);
}

void ClusterState::resumeVictimsOf(AttemptNumber trial) {
  for (auto number : onceHeld) {
    Attempt& attempt = attempts.at(number);
    if (attempt.heldFor != trial || attempt.state != AttemptState::held)
      continue;
    attempt.state = AttemptState::running;
    attempt.runningSince = now;
    attempt.heldFor = AttemptNumber{};
    give(OrderKind::resume, attempt);
  }
}

void ClusterState::removeAttempt(AttemptNumber number) {
  auto found = attempts.find(number);
  if (found == attempts.end())
    return;
  const bool trial = found->second.trial();
  // docs/design.md 5.3: what ended is not begun when its order is given again.
  if (auto worker = workers.find(found->second.worker); worker != workers.end())
    for (auto& order : worker->second.orders)
      if (order.attempt == number)
        order.kind = OrderKind::stop;
  unindex(found->second);
  attempts.erase(found);
  if (trial)
    resumeVictimsOf(number);
}

void ClusterState::stopCopies(const Task& task, AttemptNumber except) {
  for (auto number : {task.attempt, task.twin})
    if (auto found = attempts.find(number); number != except && found != attempts.end())
      forceStop(found->second, true);
}

void ClusterState::taskDone(Job& job, Task& task) {
  task.state = TaskState::done;
  task.attempt = task.twin = AttemptNumber{};
  job.unblock(now);
}

// A task whose attempt came to nothing: it waits again, or its allowance is used up.
// docs/design.md 4.4.
void ClusterState::taskBack(Job& job, Task& task, const WorkerId& avoid, Duration pause) {
  task.attempt = AttemptNumber{};
  if (task.finishedBefore)
    return taskDone(job, task);
  if (job.ending || job.over()) {
    task.state = TaskState::stopped;
    return;
  }
  if (spent(job, task)) {
    task.state = TaskState::failed;
    failJob(job, "task " + std::to_string(&task - job.tasks.data()) + " used up its retries");
    return;
  }
  task.state = TaskState::waiting;
  task.avoid = avoid;
  task.notBefore = now + pause;
}

// docs/design.md 4.4: a queue with `tries` counts what ended as failed, any other counts starts;
// what lasts counts nothing.
bool ClusterState::spent(const Job& job, const Task& task) const {
  const auto& step = job.step(task);
  if (step.needs.lasts)
    return false;
  const auto* queue = config.queue(job.submission.queue);
  if (queue && queue->tries)
    return job.tasks[step.gang ? job.place(task.step, 0) : job.place(task.step, task.within)]
               .failures >= queue->tries;
  return task.starts >= 1 + (queue ? queue->retries : 0);
}
void ClusterState::countFailure(Job& job, const Attempt& attempt) {
  Task& task = job.tasks[attempt.gang ? job.place(attempt.step, 0) : attempt.task];
  if (attempt.gang && attempt.run && task.failedRun >= attempt.run)
    return;  // of a gang's run one failure is counted
  task.failedRun = attempt.run;
  ++task.failures;
}
// A checkpoint belongs to its task, or to the whole gang; that of an earlier run never replaces a
// later one's.
void ClusterState::keepSaved(const Attempt& attempt, const std::string& saved) {
  auto found = jobs.find(attempt.job);
  if (saved.empty() || found == jobs.end() || found->second.tasks.empty())
    return;
  Task& task =
      found->second.tasks[attempt.gang ? found->second.place(attempt.step, 0) : attempt.task];
  if (attempt.run < task.savedRun)
    return;
  task.saved = saved;
  task.savedRun = attempt.run;
}
// The parts of a gang that assembles itself end well together: one such ending counts for all, also
// where another's own was void, and whatever took its place is stopped.
void ClusterState::gangDone(Job& job, const Attempt& attempt) {
  for (auto& task : job.tasks) {
    if (task.step != attempt.step || task.state == TaskState::done)
      continue;
    auto part = attempts.find(task.attempt);
    if (part != attempts.end() && part->second.run != attempt.run) {
      task.finishedBefore = true;
      forceStop(part->second, true);
    } else if (part != attempts.end() || task.state == TaskState::waiting)
      taskDone(job, task);
  }
}

void ClusterState::abortGang(Job& job, std::uint32_t step, AttemptNumber except) {
  for (auto number : numbersOf(job.submission.id)) {
    Attempt& attempt = attempts.at(number);
    if (attempt.step == step && number != except && !attempt.lost)
      forceStop(attempt, false);
  }
}

void ClusterState::failJob(Job& job, const std::string& reason) {
  if (job.ending || job.over())
    return;
  job.ending = true;
  job.reason = reason;
  for (auto& task : job.tasks)
    if (task.state == TaskState::waiting || task.state == TaskState::blocked)
      task.state = TaskState::stopped;
  for (auto number : numbersOf(job.submission.id))
    if (Attempt& attempt = attempts.at(number); !attempt.lost)
      forceStop(attempt, false);
}

// docs/design.md 4.2: a job is over only when no task of it is open anywhere.
void ClusterState::settle(Job& job) {
  if (job.over() || job.state == JobState::timed)
    return;
  const bool allDone = std::all_of(job.tasks.begin(), job.tasks.end(),
                                   [](const Task& task) { return task.state == TaskState::done; });
  if (!job.ending && !allDone)
    return;
  for (auto number : numbersOf(job.submission.id)) {
    // A copy that is being stopped after another ended well keeps its room, not its job.
    const Attempt& attempt = attempts.at(number);
    if (!attempt.lost && !(allDone && attempt.state == AttemptState::stopping &&
                           job.submission.steps[attempt.step].needs.redundant))
      return;
  }
  over(job, job.state == JobState::cancelling ? JobState::cancelled
            : allDone                         ? JobState::finished
                                              : JobState::failed);
}

// docs/design.md 4.1: a timetable is over when all its occurrences are, and fails with the first
// that fails.
void ClusterState::occurrenceOver(const Job& job) {
  const auto mark = job.submission.id.value.rfind('@');
  if (mark == std::string::npos)
    return;
  auto found = jobs.find(JobId{job.submission.id.value.substr(0, mark)});
  if (found == jobs.end())
    return;
  Job& whole = found->second;
  if (whole.occurrencesOpen > 0)
    --whole.occurrencesOpen;
  if (whole.state != JobState::timed)
    return;
  if (job.state == JobState::failed) {
    whole.reason = "occurrence " + job.submission.id.value.substr(mark + 1) + ": " + job.reason;
    over(whole, JobState::failed);
    cancelOccurrences(whole, "another occurrence failed");
  } else if (whole.fired >= whole.submission.timetable.count && whole.occurrencesOpen == 0)
    over(whole, JobState::finished);
}

void ClusterState::cancelOccurrences(const Job& whole, const std::string& reason) {
  for (std::uint32_t count = 0; count < whole.fired; ++count) {
    auto occurrence = jobs.find(JobId{whole.submission.id.value + "@" + std::to_string(count)});
    if (occurrence != jobs.end())
      cancel(occurrence->second, reason);
  }
}

void ClusterState::cancel(Job& job, const std::string& reason) {
  if (job.over())
    return;
  if (job.state == JobState::timed) {
    over(job, JobState::cancelled);
    return cancelOccurrences(job, reason);
  }
  job.state = JobState::cancelling;
  if (!job.ending)
    failJob(job, reason);
  settle(job);
}

void ClusterState::over(Job& job, JobState state) {
  job.state = state;
  ++(state == JobState::cancelled  ? counters.cancelled
     : state == JobState::finished ? counters.finished
                                   : counters.failed);
  job.endedAt = now;
  open.erase(job.submission.id);
  --openByQueue[job.submission.queue];
  ended.emplace(now, job.submission.id);
  occurrenceOver(job);
}

void ClusterState::endAttempt(AttemptNumber number, EndingKind kind) {
  auto found = attempts.find(number);
  if (found == attempts.end())
    return;  // told before; endings are sent until confirmed
  const Attempt attempt = found->second;
  auto foundJob = jobs.find(attempt.job);
  // docs/design.md 5.5: what a worker that lapses ended before it lapsed is void once its work was
  // given up.
  if (attempt.lost && workers[attempt.worker].capacity.lapses && kind != EndingKind::unstarted &&
      kind != EndingKind::refused)
    kind = EndingKind::stopped;
  const bool lasts = foundJob != jobs.end() && !foundJob->second.tasks.empty() &&
                     foundJob->second.submission.steps[attempt.step].needs.lasts;
  if (lasts && kind == EndingKind::finished)
    kind = EndingKind::stopped;
  // docs/design.md 5.5: a clean ending told late wins over whatever took the task's place. That is
  // stopped first, and the ending stays unconfirmed until it has: nothing of the task starts or
  // resumes after the confirmation.
  const bool redundant = foundJob != jobs.end() && !foundJob->second.tasks.empty() &&
                         foundJob->second.submission.steps[attempt.step].needs.redundant;
  if (kind == EndingKind::finished && foundJob != jobs.end() && !redundant) {
    Task& task = foundJob->second.tasks[attempt.task];
    auto replacement = attempts.find(task.attempt);
    if (task.attempt != number && replacement != attempts.end()) {
      task.finishedBefore = true;
      forceStop(replacement->second, true);
      if (attempt.assembles)
        gangDone(foundJob->second, attempt);
      return;
    }
  }
  removeAttempt(number);
  if (foundJob == jobs.end())
    return;
  Job& job = foundJob->second;
  Task& task = job.tasks[attempt.task];
  Worker& worker = workers[attempt.worker];
  const std::int64_t failureScore = worker.failureScoreAt(now);
  if (kind == EndingKind::failed) {
    // A task that failed before, here or elsewhere, says little of the worker.
    worker.failureScore = std::min<std::int64_t>(failureScore + (task.failures ? 50 : 250), 1000);
    worker.failureScoredAt = now;
    countFailure(job, attempt);
  } else if (kind == EndingKind::finished && !attempt.trial() &&
             attempt.ranBy(now).milliseconds > 2 * attempt.runtime.milliseconds + 1000) {
    // Far over what was requested: once may be the caller's mistake, again and again it is a slow
    // worker.
    worker.failureScore = std::min<std::int64_t>(failureScore + 125, 1000);
    worker.failureScoredAt = now;
  } else if (kind == EndingKind::finished) {
    worker.failureScore = failureScore * 7 / 8;
    worker.failureScoredAt = now;
  }
  const bool refused = kind == EndingKind::refused;
  if (refused) {  // it has no room that we thought it had, or is sick
    worker.failureScore = std::min<std::int64_t>(failureScore + 100, 1000);
    worker.failureScoredAt = now;
    kind = EndingKind::unstarted;
  }
  if (kind == EndingKind::unstarted && attempt.counted && task.starts > 0)
    --task.starts;
  // Of two copies the first clean ending counts; one that ends otherwise leaves the task to the
  // other.
  if (redundant && kind == EndingKind::finished)
    stopCopies(task, number);
  else if (redundant && kind == EndingKind::failed && spent(job, task) &&
           (task.twin == number || task.attempt == number)) {
    // The allowance is the task's, however many copies use it: the other one is stopped with the
    // job.
    task.twin = AttemptNumber{};
    task.state = TaskState::failed;
    failJob(job, "task " + std::to_string(&task - job.tasks.data()) + " used up its retries");
    return settle(job);
  } else if (task.twin == number)
    task.twin = AttemptNumber{};
  else if (task.attempt == number && attempts.count(task.twin)) {
    task.attempt = std::exchange(task.twin, AttemptNumber{});
    return settle(job);
  }
  const bool current = task.attempt == number;
  if (kind == EndingKind::finished) {
    if (attempt.trial() && current)
      ++counters.trialsFinished;
    if (current || task.state == TaskState::waiting ||
        (redundant && task.state == TaskState::placed))
      taskDone(job, task);
    if (attempt.assembles)
      gangDone(job, attempt);
  } else if (current) {
    if (kind == EndingKind::ranOut) {
      ++counters.trialsRanOut;
      if (task.starts > 0)
        --task.starts;
      task.tried = true;
      taskBack(job, task, WorkerId{}, Duration{0});
    } else {
      const bool free = attempt.tryless || kind == EndingKind::unstarted;
      const bool failed = kind == EndingKind::failed;
      if ((failed && attempt.gang) ||
          (attempt.assembles && attempt.state != AttemptState::stopping))
        abortGang(job, attempt.step, number);
      // Where failures are counted there is nothing to wait for: the next try goes elsewhere, and
      // there are only so many.
      const auto* queue = config.queue(job.submission.queue);
      const auto pause =
          failed && !(queue && queue->tries)
              ? std::min<std::int64_t>(2000, 100ll << std::min<std::uint32_t>(
                                                 std::max<std::uint32_t>(task.failures, 1), 6))
              : 0;
      taskBack(job, task, failed || refused ? attempt.worker : WorkerId{},
               Duration{free ? 0 : pause});
    }
  }
  settle(job);
}

// The worker is taken to have lost this attempt, or to hold it in place for good.
// docs/design.md 5.5.
void ClusterState::giveUpAttempt(AttemptNumber number) {
  Attempt& attempt = attempts.at(number);
  if (attempt.lost)
    return;
  attempt.lost = true;
  ++counters.lost;
  auto foundJob = jobs.find(attempt.job);
  if (foundJob == jobs.end())
    return;
  Job& job = foundJob->second;
  Task& task = job.tasks[attempt.task];
  if (task.twin == number)
    task.twin = AttemptNumber{};
  else if (task.attempt == number && attempts.count(task.twin))
    task.attempt = std::exchange(task.twin, AttemptNumber{});
  else if (task.attempt == number) {
    if (attempt.gang)
      abortGang(job, attempt.step, number);
    taskBack(job, task, attempt.worker, Duration{0});
  }
  settle(job);
}

struct ClusterState::Applier : boost::static_visitor<void> {
  ClusterState& clusterState;
  explicit Applier(ClusterState& given) : clusterState(given) {}

  void operator()(const LeaderStarted&) {}
  void operator()(const ConfigCommitted& event) {
    auto before = std::move(clusterState.config);
    clusterState.config = event.config;
    // docs/design.md 6.4: a queue that is no longer named but has open jobs runs them out and takes
    // nothing new.
    for (auto& [name, options] : before.queues)
      if (!clusterState.config.queues.count(name) && clusterState.openByQueue[name] > 0) {
        auto closed = options;
        closed.closed = true;
        closed.policy = "default";
        clusterState.config.queues[name] = closed;
      }
  }
  void operator()(const JobAccepted& event) { clusterState.allow(event.submission); }
  void operator()(const JobCancelled& event) {
    auto found = clusterState.jobs.find(event.job);
    if (found == clusterState.jobs.end() || found->second.over())
      return;
    Job& job = found->second;
    clusterState.cancel(job, "cancelled");
  }
  void operator()(const JobFailed& event) {
    auto found = clusterState.jobs.find(event.job);
    if (found == clusterState.jobs.end() || found->second.over() ||
        found->second.state == JobState::timed)
      return;
    clusterState.failJob(found->second, event.reason);
    clusterState.settle(found->second);
  }
  void operator()(const OccurrenceFired& event) {
    auto found = clusterState.jobs.find(event.job);
    if (found == clusterState.jobs.end() || found->second.state != JobState::timed)
      return;
    JobSubmission occurrence = found->second.submission;
    occurrence.id = JobId{event.job.value + "@" + std::to_string(found->second.fired)};
    occurrence.timetable = Timetable{};
    ++found->second.fired;
    ++found->second.occurrencesOpen;
    clusterState.allow(occurrence);
  }
  void operator()(const JobsExpired& event) {
    for (const auto& id : event.jobs) {
      auto found = clusterState.jobs.find(id);
      if (found == clusterState.jobs.end() || !found->second.over())
        continue;
      clusterState.ended.erase({found->second.endedAt, id});
      clusterState.jobs.erase(found);
    }
    for (const auto& id : event.shortened) {
      auto found = clusterState.jobs.find(id);
      if (found == clusterState.jobs.end() || !found->second.over() ||
          !clusterState.numbersOf(id).empty())
        continue;
      Job& job = found->second;
      job.shortenedTasks = std::max<std::uint32_t>(1, std::uint32_t(job.tasks.size()));
      std::vector<StepRequest>().swap(job.submission.steps);
      std::vector<Task>().swap(job.tasks);
    }
    for (const auto& id : event.workers) {
      auto found = clusterState.workers.find(id);
      if (found == clusterState.workers.end() || found->second.state != WorkerState::gone)
        continue;
      clusterState.addressed.erase(id);
      clusterState.workers.erase(found);
    }
  }
  void operator()(const WorkerRegistered& event) {
    // One worker a host: another that stood there is gone. docs/design.md 5.8.
    if (!event.capacity.host.empty())
      for (auto& [id, other] : clusterState.workers)
        if (id != event.worker && other.capacity.host == event.capacity.host &&
            other.state != WorkerState::gone)
          (*this)(WorkerGone{id, "another stands on its host"});
    const bool alike = std::any_of(
        clusterState.workers.begin(), clusterState.workers.end(), [&](const auto& other) {
          const Capacity& known = other.second.capacity;
          return known.cores >= event.capacity.cores && known.memory >= event.capacity.memory &&
                 known.accelerators >= event.capacity.accelerators &&
                 known.pool == event.capacity.pool &&
                 std::all_of(event.capacity.labels.begin(), event.capacity.labels.end(),
                             [&](const auto& label) { return known.has(label); });
        });
    clusterState.addressed.insert(event.worker);
    Worker& worker = clusterState.workers[event.worker];
    worker.id = event.worker;
    worker.seenAt = clusterState.now;
    if (worker.incarnation != event.incarnation) {
      for (auto number : clusterState.attemptsOn(event.worker)) {
        clusterState.giveUpAttempt(number);
        clusterState.removeAttempt(number);
      }
      if (worker.incarnation.value)
        worker.retired.push_back(worker.incarnation);
      if (worker.retired.size() > 16)
        worker.retired.erase(worker.retired.begin());
      worker.incarnation = event.incarnation;
      worker.orders.clear();
      worker.applied = worker.lastOrder =
          OrderNumber{};  // orders are numbered within an incarnation
      if (worker.state != WorkerState::drained)
        worker.state = WorkerState::present;
      worker.leaveBy = ClusterTime{};
      worker.leaveStopped = false;
    }
    if (!alike)
      clusterState.capacityChangedAt = clusterState.now;
    worker.capacity = event.capacity;
  }
  void operator()(const ControllerReplacementRequested& event) {
    if (event.over)
      clusterState.toReplace.erase(event.controller);
    else
      clusterState.toReplace.insert(event.controller);
  }
  void operator()(const WorkerSynced& event) {
    auto found = clusterState.workers.find(event.worker);
    if (found == clusterState.workers.end())
      return;
    Worker& worker = found->second;
    if (event.applied > worker.applied && event.applied <= worker.lastOrder) {
      worker.applied = event.applied;
      while (!worker.orders.empty() && worker.orders.front().number <= event.applied) {
        const Order order = worker.orders.front();
        worker.orders.pop_front();
        auto place = clusterState.attempts.find(order.attempt);
        if (place == clusterState.attempts.end())
          continue;
        Attempt& attempt = place->second;
        if (order.kind == OrderKind::stage && attempt.state == AttemptState::ordered)
          attempt.state = AttemptState::staged;
        if ((order.kind == OrderKind::start && attempt.state == AttemptState::ordered) ||
            (order.kind == OrderKind::go && attempt.state == AttemptState::going)) {
          attempt.state = AttemptState::running;
          attempt.runningSince = clusterState.now;
        }
      }
    }
    for (const auto& [number, saved] : event.saves)
      if (auto attempt = clusterState.attempts.find(number); attempt != clusterState.attempts.end())
        clusterState.keepSaved(attempt->second, saved);
    for (const auto& ending : event.endings) {
      if (auto attempt = clusterState.attempts.find(ending.attempt);
          attempt != clusterState.attempts.end())
        clusterState.keepSaved(attempt->second, ending.saved);
      clusterState.endAttempt(ending.attempt, ending.kind);
    }
  }
  void operator()(const WorkerLeaves& event) {
    auto found = clusterState.workers.find(event.worker);
    if (found == clusterState.workers.end() || found->second.state == WorkerState::gone)
      return;
    Worker& worker = found->second;
    if (worker.state != WorkerState::silent || event.byOperator)
      worker.state = event.byOperator ? WorkerState::drained : WorkerState::leaving;
    worker.leaveBy = clusterState.now + event.within;
    worker.leaveStopped = false;
    // docs/design.md 5.7: what it has not yet said it started is taken back at once.
    for (auto number : clusterState.attemptsOn(event.worker)) {
      Attempt& attempt = clusterState.attempts.at(number);
      if (attempt.state == AttemptState::ordered || attempt.state == AttemptState::staged ||
          attempt.state == AttemptState::going) {
        if (attempt.gang)
          clusterState.abortGang(clusterState.jobs[attempt.job], attempt.step, number);
        clusterState.forceStop(attempt, true);
      }
    }
  }
  void operator()(const WorkerLeaveOver& event) {
    auto found = clusterState.workers.find(event.worker);
    if (found == clusterState.workers.end())
      return;
    found->second.leaveStopped = true;
    for (auto number : clusterState.attemptsOn(event.worker)) {
      Attempt& attempt = clusterState.attempts.at(number);
      if (attempt.lost)
        continue;
      if (attempt.gang)
        clusterState.abortGang(clusterState.jobs[attempt.job], attempt.step, number);
      clusterState.forceStop(attempt, false);
    }
  }
  void operator()(const WorkerReturned& event) {
    auto found = clusterState.workers.find(event.worker);
    if (found == clusterState.workers.end() || found->second.state == WorkerState::gone)
      return;
    Worker& worker = found->second;
    worker.seenAt = clusterState.now;
    // One that was silent while it leaves is leaving still. docs/design.md 5.7.
    if (worker.state == WorkerState::silent && worker.leaveBy != ClusterTime{}) {
      worker.state = WorkerState::leaving;
      return;
    }
    worker.state = WorkerState::present;
    worker.leaveBy = ClusterTime{};
    worker.leaveStopped = false;
  }
  void operator()(const WorkerSilent& event) {
    auto found = clusterState.workers.find(event.worker);
    if (found == clusterState.workers.end() || found->second.state == WorkerState::gone)
      return;
    if (found->second.state != WorkerState::drained)
      found->second.state = WorkerState::silent;
    if (!found->second.capacity.honoursLeases)
      return;
    for (auto number : event.givenUp) {
      auto attempt = clusterState.attempts.find(number);
      if (attempt == clusterState.attempts.end() || attempt->second.worker != event.worker)
        continue;
      clusterState.giveUpAttempt(number);
      clusterState.forceStop(attempt->second, false);
    }
  }
  void operator()(const WorkerGone& event) {
    auto found = clusterState.workers.find(event.worker);
    if (found == clusterState.workers.end())
      return;
    found->second.state = WorkerState::gone;
    found->second.seenAt = clusterState.now;
    for (auto number : clusterState.attemptsOn(event.worker)) {
      clusterState.giveUpAttempt(number);
      clusterState.removeAttempt(number);
    }
    found->second.orders.clear();
    found->second.applied = found->second.lastOrder;
  }
  void operator()(const PlanMade& event) {
    ++clusterState.counters.plans;
    clusterState.plan = event.number;
    if (event.reservation.moved > clusterState.reservation.moved)
      ++clusterState.counters.reservationsMoved;
    clusterState.reservation = event.reservation;
    for (const auto& action : event.actions)
      apply(action);
  }
  void apply(const Action& action) {
    if (action.kind == ActionKind::start || action.kind == ActionKind::stage) {
      Job& job = clusterState.jobs[action.job];
      Task& task = job.tasks[action.task];
      const TaskRequest& request = job.request(task);
      Attempt attempt;
      attempt.number = action.attempt;
      attempt.job = action.job;
      attempt.task = action.task;
      attempt.step = task.step;
      attempt.within = task.within;
      attempt.worker = action.worker;
      attempt.cores = request.cores;
      attempt.accelerators = request.accelerators;
      attempt.run = task.run = std::max(task.run + 1, action.run);
      attempt.memory = action.memory;
      attempt.runtime = request.runtime;
      attempt.quantum = action.trial ? action.quantum : Duration{0};
      attempt.gang = job.step(task).gang;
      attempt.assembles = attempt.gang && action.kind == ActionKind::start;
      attempt.counted = action.kind == ActionKind::start;
      attempt.orderedAt = attempt.runningSince = clusterState.now;
      Order& order = clusterState.give(
          action.kind == ActionKind::start ? OrderKind::start : OrderKind::stage, attempt);
      order.payload = job.payload(task);
      order.saved = job.tasks[attempt.gang ? job.place(task.step, 0) : action.task].saved;
      attempt.order = order.number;
      clusterState.lastAttempt = std::max(clusterState.lastAttempt, action.attempt);
      clusterState.addAttempt(attempt);
      task.state = TaskState::placed;
      (action.twin ? task.twin : task.attempt) = action.attempt;
      if (action.trial) {
        task.trialled = true;
        ++counters().trials;
      }
      if (attempt.counted)
        countStart(task);
      return;
    }
    auto found = clusterState.attempts.find(action.attempt);
    if (found == clusterState.attempts.end())
      return;
    Attempt& attempt = found->second;
    if (action.kind == ActionKind::go && attempt.state == AttemptState::staged) {
      attempt.state = AttemptState::going;
      attempt.counted = true;
      attempt.runningSince = clusterState.now;
      countStart(clusterState.jobs[attempt.job].tasks[attempt.task]);
      attempt.order = clusterState.give(OrderKind::go, attempt).number;
    } else if (action.kind == ActionKind::hold && attempt.state == AttemptState::running) {
      attempt.runBefore = attempt.ranBy(clusterState.now);
      attempt.state = AttemptState::held;
      attempt.heldFor = action.heldFor;
      clusterState.onceHeld.insert(attempt.number);
      clusterState.give(OrderKind::hold, attempt);
      ++counters().holds;
    } else if (action.kind == ActionKind::stop) {
      clusterState.forceStop(attempt, action.reason == "staging");
    }
  }
  void countStart(Task& task) {
    if (task.starts++ > 0)
      ++counters().retries;
    ++counters().starts;
  }
  Counters& counters() { return clusterState.counters; }
};

void ClusterState::apply(const LogRecord& record) {
  now = std::max(now, record.at);
  Applier folder(*this);
  boost::apply_visitor(folder, record.event);
}

}  // namespace aniseline
