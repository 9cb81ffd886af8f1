// Checks runs on workers: rules 1, 5 to 7, 9, 10 and 16. docs/design.md 11.
#include "checker/invariant_checker.hpp"
#include "state/occurrence.hpp"

namespace aniseline {

namespace {

// The time in ms after which no start may follow a cancel.
constexpr std::int64_t cancelPropagationMs = 3000;
// The time in ms after which no start may follow a drain.
constexpr std::int64_t drainPropagationMs = 2000;

ObservedRun makeObservedRun(const HistoryEvent& event, bool onCalledWorker) {
  ObservedRun run;
  run.worker = event.worker;
  run.attempt = event.attempt;
  run.startedAt = event.timestamp;
  run.resume(event.timestamp);
  run.trial = event.trial;
  run.cores = event.cores;
  run.memory = event.memory;
  run.accelerators = event.accelerators;
  run.onCalledWorker = onCalledWorker;
  run.executedLate = event.executedLate;
  return run;
}

}  // namespace

void InvariantChecker::onStarted(const HistoryEvent& event) {
  auto& job = jobs[event.job];
  auto& task = job.tasks[event.task];
  const std::string taskText = describeTask(event.job, event.task);
  const bool onCalledWorker = isCalled(event.worker);
  if (onCalledWorker)
    checkStartOnCalledWorker(event, job, taskText);
  checkNoConcurrentRuns(event, task, taskText);
  if (!onCalledWorker)  // called workers are checked at the end of the history by checkOutcomes
    checkNoRerunAfterSuccess(event, task, taskText);
  if (job.cancelledAt &&
      event.timestamp > *job.cancelledAt + cancelPropagationMs + options.clockSlackMs &&
      !(onCalledWorker &&
        (event.executedLate || hadFaultWithin(*job.cancelledAt, event.timestamp))))
    reportViolation(Invariant::cancelledJobsStop, event.timestamp,
                    taskText + " starts long after its job was cancelled");
  if (auto drain = drainingSince.find(event.worker);
      drain != drainingSince.end() && !onCalledWorker &&
      event.timestamp > drain->second + drainPropagationMs + options.clockSlackMs)
    reportViolation(Invariant::noStartWhileDraining, event.timestamp,
                    taskText + " starts on " + event.worker + ", which is draining");
  if (const auto* submission = findSubmission(event.job)) {
    if (positionOf(*submission, event.task).first >= submission->steps.size())
      return reportViolation(Invariant::rejectedJobsNeverRun, event.timestamp,
                             taskText + " is not a task of the job");
    checkDependencies(event, job, *submission, taskText);
    if (submission->hasTimetable())
      checkTimetable(event, *submission, taskText);
    checkRetryLimit(event, task, *submission, taskText);
  }
  task.runs.push_back(makeObservedRun(event, onCalledWorker));
  checkCapacity(event);
}

void InvariantChecker::checkNoConcurrentRuns(const HistoryEvent& event, const TaskHistory& task,
                                             const std::string& taskText) {
  const auto* step = findStep(event.job, event.task);
  if (step && step->requirements.redundant)
    return;
  const std::string text = taskText + " runs on " + event.worker + " and still on ";
  for (const auto& run : task.runs)
    if (!run.endedAt && run.active)
      reportViolation(Invariant::atMostOneRun, event.timestamp, text + run.worker);
}

void InvariantChecker::checkNoRerunAfterSuccess(const HistoryEvent& event, const TaskHistory& task,
                                                const std::string& taskText) {
  if (task.confirmedAt)
    reportViolation(Invariant::atMostOneRun, event.timestamp,
                    taskText + " starts again after finishing successfully");
  else if (task.succeededAt)
    checkRerunBeforeConfirmation(event, task, taskText);
}

void InvariantChecker::checkDependencies(const HistoryEvent& event, JobHistory& job,
                                         const JobSubmission& submission,
                                         const std::string& taskText) {
  const auto step = positionOf(submission, event.task).first;
  for (const auto& before : submission.steps[step].dependencies)
    for (std::uint32_t other = 0; other < submission.steps.size(); ++other)
      if (submission.steps[other].name == before)
        checkPrecedingStepDone(event, job, submission, other, taskText);
}

void InvariantChecker::checkPrecedingStepDone(const HistoryEvent& event, JobHistory& job,
                                              const JobSubmission& submission, std::uint32_t step,
                                              const std::string& taskText) {
  const std::string text =
      taskText + " starts before step " + submission.steps[step].name + " is done";
  const auto first = firstTaskOfStep(submission, step);
  for (auto task = first; task < first + submission.steps[step].tasks.size(); ++task)
    if (!job.tasks[task].succeededAt)
      reportViolation(Invariant::startOrder, event.timestamp, text);
}

void InvariantChecker::checkTimetable(const HistoryEvent& event, const JobSubmission& submission,
                                      const std::string& taskText) {
  const auto occurrence = OccurrenceId::parse(JobId{event.job});
  const auto count = occurrence ? std::strtoll(occurrence->number.c_str(), nullptr, 10) : 0;
  const auto due = submission.timetable.firstStart.milliseconds +
                   count * submission.timetable.interval.milliseconds;
  if (event.timestamp + options.clockSlackMs < due)
    reportViolation(Invariant::startOrder, event.timestamp,
                    taskText + " starts " + std::to_string(due - event.timestamp) + " ms early");
}

void InvariantChecker::checkRetryLimit(const HistoryEvent& event, const TaskHistory& task,
                                       const JobSubmission& submission,
                                       const std::string& taskText) {
  const auto allowed = options.retriesByQueue.find(submission.queue.value);
  if (allowed == options.retriesByQueue.end())
    return;
  std::size_t starts = 1;
  for (const auto& run : task.runs)
    starts += run.outcome != "ran_out";
  if (starts > 1 + allowed->second)
    reportViolation(Invariant::retryLimit, event.timestamp,
                    taskText + " starts for the " + std::to_string(starts) + "th time with " +
                        std::to_string(allowed->second) + " retries allowed");
}

// Checks a new start after a success that was not confirmed yet. It is unavoidable if the worker
// was lost or if a fault kept the worker from reporting the result: docs/design.md 5.5.
void InvariantChecker::checkRerunBeforeConfirmation(const HistoryEvent& event,
                                                    const TaskHistory& task,
                                                    const std::string& taskText) {
  const auto finishedRun =
      std::find_if(task.runs.begin(), task.runs.end(),
                   [](const ObservedRun& run) { return run.outcome == "finished"; });
  if (finishedRun == task.runs.end())
    return;
  auto workerLost = workersLostAt.find(finishedRun->worker);
  const std::string text = taskText + " starts again after an ending that was not yet confirmed: ";
  if (workerLost != workersLostAt.end() && workerLost->second >= *task.succeededAt)
    reportUnavoidableViolation(Invariant::atMostOneRun, event.timestamp,
                               text + finishedRun->worker + " vanished before it was");
  else if (hadFaultWithin(*task.succeededAt, event.timestamp))
    reportUnavoidableViolation(Invariant::atMostOneRun, event.timestamp,
                               text + finishedRun->worker + " could not tell in time");
  else
    reportViolation(Invariant::atMostOneRun, event.timestamp, text + "there was no fault");
}

void InvariantChecker::onSuspended(const HistoryEvent& event) {
  if (auto* run = findOpenRun(event))
    run->pause(event.timestamp);
}

void InvariantChecker::onResumed(const HistoryEvent& event) {
  auto* run = findOpenRun(event);
  if (!run)
    return;
  for (auto& other : jobs[event.job].tasks[event.task].runs)
    if (&other != run && !other.endedAt && other.active)
      reportViolation(Invariant::atMostOneRun, event.timestamp,
                      describeTask(event.job, event.task) + " is resumed on " + event.worker +
                          " while it runs on " + other.worker);
  if (jobs[event.job].tasks[event.task].confirmedAt)
    reportViolation(
        Invariant::atMostOneRun, event.timestamp,
        describeTask(event.job, event.task) + " is resumed after finishing successfully");
  run->resume(event.timestamp);
  checkCapacity(event);
}

void InvariantChecker::onEnded(const HistoryEvent& event) {
  auto& job = jobs[event.job];
  auto& task = job.tasks[event.task];
  for (auto& run : task.runs)
    if (run.attempt == event.attempt && run.worker == event.worker && !run.endedAt)
      closeRun(event, job, run);
  if (event.detail != "finished")
    return;
  if (!task.succeededAt)
    task.succeededAt = event.timestamp;
  if (isCalled(event.worker))
    forEachGangMember(event.job, job, event.task, event.attempt,
                      [&](TaskHistory& member, const ObservedRun&) {
                        if (!member.succeededAt)
                          member.succeededAt = event.timestamp;
                      });
}

void InvariantChecker::closeRun(const HistoryEvent& event, const JobHistory& job,
                                ObservedRun& run) {
  const std::string taskText = describeTask(event.job, event.task);
  if (run.active)
    checkStoppedAfterCancel(job, taskText, run, event.timestamp);
  run.end(event.timestamp, event.detail);
  // A gang member with the outcome "alone" waited in vain: the other members were not started, or
  // not in time.
  if (run.onCalledWorker && event.detail == "alone" && !job.cancelledAt &&
      !hadFaultWithin(run.startedAt - 1000, event.timestamp))
    reportViolation(Invariant::gangsAssemble, event.timestamp,
                    taskText + " waited alone on " + run.worker +
                        " for the rest of its gang, and there was no fault");
}

// A result is final once the worker has received its confirmation. Before that nobody else may know
// of it. docs/design.md 5.5.
void InvariantChecker::onResultConfirmed(const HistoryEvent& event) {
  auto& task = jobs[event.job].tasks[event.task];
  if (event.detail == "finished" && !task.confirmedAt)
    task.confirmedAt = event.timestamp;
  for (auto& run : task.runs)
    if (run.attempt == event.attempt && run.worker == event.worker && run.endedAt &&
        !run.confirmedAt)
      run.confirmedAt = event.timestamp;
}

void InvariantChecker::onWorkerLost(const HistoryEvent& event) {
  workersLostAt[event.worker] = event.timestamp;
  for (auto& [id, job] : jobs)
    for (auto& [taskIndex, task] : job.tasks)
      for (auto& run : task.runs)
        if (run.worker == event.worker && !run.endedAt)
          run.end(event.timestamp, "vanished");
}

void InvariantChecker::onCapacityReported(const HistoryEvent& event) {
  capacities[event.worker] = event;
  drainingSince.erase(event.worker);
}

void InvariantChecker::checkCapacity(const HistoryEvent& event) {
  auto capacity = capacities.find(event.worker);
  if (capacity == capacities.end() || capacity->second.enforcesCapacity)
    return;
  std::uint64_t cores = 0, memory = 0, accelerators = 0;
  for (const auto& [id, job] : jobs)
    for (const auto& [taskIndex, task] : job.tasks)
      for (const auto& run : task.runs)
        if (run.worker == event.worker && !run.endedAt) {
          memory += run.memory;
          if (run.active)
            cores += run.cores;
          accelerators += run.accelerators;
        }
  if (cores > capacity->second.cores || memory > capacity->second.memory ||
      accelerators > capacity->second.accelerators)
    reportViolation(Invariant::workerCapacity, event.timestamp,
                    event.worker + " was assigned " + std::to_string(cores) + " cores and " +
                        std::to_string(memory) + " MB, more than its capacity");
}

}  // namespace aniseline
