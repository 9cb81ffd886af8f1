// Runs on workers: rules 1, 5 to 7, 9, 10 and 16. docs/design.md 11.
#include "checker/invariant_checker.hpp"

namespace aniseline {

namespace {

constexpr std::int64_t cancelReaches = 3000;   // ms until no start follows a cancel
constexpr std::int64_t leavingReaches = 2000;  // ms until no start follows a leaving

ObservedRun runFrom(const HistoryEvent& witness, bool called) {
  ObservedRun run;
  run.worker = witness.worker;
  run.attempt = witness.attempt;
  run.startedAt = witness.timestamp;
  run.resume(witness.timestamp);
  run.trial = witness.trial;
  run.cores = witness.cores;
  run.memory = witness.memory;
  run.accelerators = witness.accelerators;
  run.onCalledWorker = called;
  run.executedLate = witness.executedLate;
  return run;
}

}  // namespace

void InvariantChecker::onStarted(const HistoryEvent& witness) {
  auto& job = jobs[witness.job];
  auto& task = job.tasks[witness.task];
  const std::string what = describeTask(witness.job, witness.task);
  const bool called = isCalled(witness.worker);
  if (called)
    checkStartOnCalledWorker(witness, job, what);
  checkNoConcurrentRuns(witness, task, what);
  if (!called)  // of others it is judged when all is known: judgeEndings
    checkNoRerunAfterSuccess(witness, task, what);
  if (job.cancelledAt &&
      witness.timestamp > *job.cancelledAt + cancelReaches + options.clockSlackMs &&
      !(called && (witness.executedLate || hadFaultWithin(*job.cancelledAt, witness.timestamp))))
    reportViolation(5, witness.timestamp, what + " starts long after its job was cancelled");
  if (auto left = drainingSince.find(witness.worker);
      left != drainingSince.end() && !called &&
      witness.timestamp > left->second + leavingReaches + options.clockSlackMs)
    reportViolation(9, witness.timestamp,
                    what + " starts on " + witness.worker + ", which is leaving");
  if (const auto* submission = findSubmission(witness.job)) {
    if (positionOf(*submission, witness.task).first >= submission->steps.size())
      return reportViolation(3, witness.timestamp, what + " is none of the job's tasks");
    checkOrder(witness, job, *submission, what);
    if (submission->hasTimetable())
      checkTimetable(witness, *submission, what);
    checkRetryLimit(witness, task, *submission, what);
  }
  task.runs.push_back(runFrom(witness, called));
  checkCapacity(witness);
}

void InvariantChecker::checkNoConcurrentRuns(const HistoryEvent& witness, const TaskHistory& task,
                                             const std::string& what) {
  const auto* step = findStep(witness.job, witness.task);
  if (step && step->requirements.redundant)
    return;
  const std::string text = what + " runs on " + witness.worker + " and still on ";
  for (const auto& run : task.runs)
    if (!run.endedAt && run.active)
      reportViolation(1, witness.timestamp, text + run.worker);
}

void InvariantChecker::checkNoRerunAfterSuccess(const HistoryEvent& witness,
                                                const TaskHistory& task, const std::string& what) {
  if (task.confirmedAt)
    reportViolation(1, witness.timestamp, what + " starts again after finishing well");
  else if (task.succeededAt)
    checkRerunBeforeConfirmation(witness, task, what);
}

void InvariantChecker::checkOrder(const HistoryEvent& witness, JobHistory& job,
                                  const JobSubmission& submission, const std::string& what) {
  const auto step = positionOf(submission, witness.task).first;
  for (const auto& before : submission.steps[step].dependencies)
    for (std::uint32_t other = 0; other < submission.steps.size(); ++other)
      if (submission.steps[other].name == before)
        checkPrecedingStepDone(witness, job, submission, other, what);
}

void InvariantChecker::checkPrecedingStepDone(const HistoryEvent& witness, JobHistory& job,
                                              const JobSubmission& submission, std::uint32_t step,
                                              const std::string& what) {
  const std::string text = what + " starts before step " + submission.steps[step].name + " is done";
  const auto first = firstTaskOfStep(submission, step);
  for (auto task = first; task < first + submission.steps[step].tasks.size(); ++task)
    if (!job.tasks[task].succeededAt)
      reportViolation(6, witness.timestamp, text);
}

void InvariantChecker::checkTimetable(const HistoryEvent& witness, const JobSubmission& submission,
                                      const std::string& what) {
  const auto mark = witness.job.find('@');
  const auto count =
      mark == std::string::npos ? 0 : std::strtoll(witness.job.c_str() + mark + 1, nullptr, 10);
  const auto due = submission.timetable.firstStart.milliseconds +
                   count * submission.timetable.interval.milliseconds;
  if (witness.timestamp + options.clockSlackMs < due)
    reportViolation(6, witness.timestamp,
                    what + " starts " + std::to_string(due - witness.timestamp) + " ms early");
}

void InvariantChecker::checkRetryLimit(const HistoryEvent& witness, const TaskHistory& task,
                                       const JobSubmission& submission, const std::string& what) {
  const auto allowed = options.retriesByQueue.find(submission.queue.value);
  if (allowed == options.retriesByQueue.end())
    return;
  std::size_t counted = 1;
  for (const auto& run : task.runs)
    counted += run.outcome != "ran_out";
  if (counted > 1 + allowed->second)
    reportViolation(7, witness.timestamp,
                    what + " starts for the " + std::to_string(counted) + "th time with " +
                        std::to_string(allowed->second) + " retries allowed");
}

// The work had ended well, but its worker had no chance to tell, or no answer:
// docs/design.md 5.5.
void InvariantChecker::checkRerunBeforeConfirmation(const HistoryEvent& witness,
                                                    const TaskHistory& task,
                                                    const std::string& what) {
  const auto done = std::find_if(task.runs.begin(), task.runs.end(),
                                 [](const ObservedRun& run) { return run.outcome == "finished"; });
  if (done == task.runs.end())
    return;
  auto lost = workersLostAt.find(done->worker);
  const std::string text = what + " starts again after an ending that was not yet confirmed: ";
  if (lost != workersLostAt.end() && lost->second >= *task.succeededAt)
    reportUnavoidableViolation(1, witness.timestamp,
                               text + done->worker + " vanished before it was");
  else if (hadFaultWithin(*task.succeededAt, witness.timestamp))
    reportUnavoidableViolation(1, witness.timestamp,
                               text + done->worker + " could not tell in time");
  else
    reportViolation(1, witness.timestamp, text + "and nothing was in the way");
}

void InvariantChecker::onSuspended(const HistoryEvent& witness) {
  if (auto* run = findOpenRun(witness))
    run->pause(witness.timestamp);
}

void InvariantChecker::onResumed(const HistoryEvent& witness) {
  auto* run = findOpenRun(witness);
  if (!run)
    return;
  for (auto& other : jobs[witness.job].tasks[witness.task].runs)
    if (&other != run && !other.endedAt && other.active)
      reportViolation(1, witness.timestamp,
                      describeTask(witness.job, witness.task) + " is resumed on " + witness.worker +
                          " while it runs on " + other.worker);
  if (jobs[witness.job].tasks[witness.task].confirmedAt)
    reportViolation(1, witness.timestamp,
                    describeTask(witness.job, witness.task) + " is resumed after finishing well");
  run->resume(witness.timestamp);
  checkCapacity(witness);
}

void InvariantChecker::onEnded(const HistoryEvent& witness) {
  auto& job = jobs[witness.job];
  auto& task = job.tasks[witness.task];
  for (auto& run : task.runs)
    if (run.attempt == witness.attempt && run.worker == witness.worker && !run.endedAt)
      closeRun(witness, job, run);
  if (witness.detail != "finished")
    return;
  if (!task.succeededAt)
    task.succeededAt = witness.timestamp;
  if (isCalled(witness.worker))
    forEachGangMember(witness.job, job, witness.task, witness.attempt,
                      [&](TaskHistory& member, const ObservedRun&) {
                        if (!member.succeededAt)
                          member.succeededAt = witness.timestamp;
                      });
}

void InvariantChecker::closeRun(const HistoryEvent& witness, const JobHistory& job,
                                ObservedRun& run) {
  const std::string what = describeTask(witness.job, witness.task);
  if (run.active)
    checkStoppedAfterCancel(job, what, run, witness.timestamp);
  run.end(witness.timestamp, witness.detail);
  // A gang's member that is alone waits for nothing: the others were not started, or not in time.
  if (run.onCalledWorker && witness.detail == "alone" && !job.cancelledAt &&
      !hadFaultWithin(run.startedAt - 1000, witness.timestamp))
    reportViolation(
        16, witness.timestamp,
        what + " waited alone on " + run.worker + " for the rest of its gang, with no fault about");
}

// docs/design.md 5.5: an ending is final once the worker has its confirmation; before that nobody
// else can know of it.
void InvariantChecker::onResultConfirmed(const HistoryEvent& witness) {
  auto& task = jobs[witness.job].tasks[witness.task];
  if (witness.detail == "finished" && !task.confirmedAt)
    task.confirmedAt = witness.timestamp;
  for (auto& run : task.runs)
    if (run.attempt == witness.attempt && run.worker == witness.worker && run.endedAt &&
        !run.confirmedAt)
      run.confirmedAt = witness.timestamp;
}

void InvariantChecker::onWorkerLost(const HistoryEvent& witness) {
  workersLostAt[witness.worker] = witness.timestamp;
  for (auto& [id, job] : jobs)
    for (auto& [place, task] : job.tasks)
      for (auto& run : task.runs)
        if (run.worker == witness.worker && !run.endedAt)
          run.end(witness.timestamp, "vanished");
}

void InvariantChecker::onCapacityReported(const HistoryEvent& witness) {
  capacities[witness.worker] = witness;
  drainingSince.erase(witness.worker);
}

void InvariantChecker::checkCapacity(const HistoryEvent& witness) {
  auto capacity = capacities.find(witness.worker);
  if (capacity == capacities.end() || capacity->second.enforcesCapacity)
    return;
  std::uint64_t cores = 0, memory = 0, accelerators = 0;
  for (const auto& [id, job] : jobs)
    for (const auto& [place, task] : job.tasks)
      for (const auto& run : task.runs)
        if (run.worker == witness.worker && !run.endedAt) {
          memory += run.memory;
          if (run.active)
            cores += run.cores;
          accelerators += run.accelerators;
        }
  if (cores > capacity->second.cores || memory > capacity->second.memory ||
      accelerators > capacity->second.accelerators)
    reportViolation(10, witness.timestamp,
                    witness.worker + " was given " + std::to_string(cores) + " cores and " +
                        std::to_string(memory) + " MB, more than it holds");
}

}  // namespace aniseline
