// Runs on workers: rules 1, 5 to 7, 9, 10 and 16. docs/design.md 11.
#include "checker/invariant_checker.hpp"

namespace aniseline {

namespace {

constexpr std::int64_t cancelReaches = 3000;   // ms until no start follows a cancel
constexpr std::int64_t leavingReaches = 2000;  // ms until no start follows a leaving

Run runFrom(const HistoryEvent& witness, bool called) {
  Run run;
  run.worker = witness.worker;
  run.attempt = witness.attempt;
  run.startedAt = witness.at;
  run.resume(witness.at);
  run.trial = witness.trial;
  run.cores = witness.cores;
  run.memory = witness.memory;
  run.accelerators = witness.accelerators;
  run.called = called;
  run.late = witness.late;
  return run;
}

}  // namespace

void InvariantChecker::started(const HistoryEvent& witness) {
  auto& job = jobs[witness.job];
  auto& task = job.tasks[witness.task];
  const std::string what = nameOf(witness.job, witness.task);
  const bool called = isCalled(witness.worker);
  if (called)
    startedOnCalled(witness, job, what);
  judgeTwice(witness, task, what);
  if (!called)  // of others it is judged when all is known: judgeEndings
    judgeAgain(witness, task, what);
  if (job.cancelledAt && witness.at > *job.cancelledAt + cancelReaches + options.slack &&
      !(called && (witness.late || disturbedWithin(*job.cancelledAt, witness.at))))
    broken(5, witness.at, what + " starts long after its job was cancelled");
  if (auto left = leavingSince.find(witness.worker);
      left != leavingSince.end() && !called &&
      witness.at > left->second + leavingReaches + options.slack)
    broken(9, witness.at, what + " starts on " + witness.worker + ", which is leaving");
  if (const auto* submission = submissionOf(witness.job)) {
    if (placeOf(*submission, witness.task).first >= submission->steps.size())
      return broken(3, witness.at, what + " is none of the job's tasks");
    judgeOrder(witness, job, *submission, what);
    if (submission->timed())
      judgeTimetable(witness, *submission, what);
    judgeRetries(witness, task, *submission, what);
  }
  task.runs.push_back(runFrom(witness, called));
  room(witness);
}

void InvariantChecker::judgeTwice(const HistoryEvent& witness, const TaskHistory& task,
                                  const std::string& what) {
  const auto* step = stepOf(witness.job, witness.task);
  if (step && step->needs.redundant)
    return;
  const std::string text = what + " runs on " + witness.worker + " and still on ";
  for (const auto& run : task.runs)
    if (!run.endedAt && run.active)
      broken(1, witness.at, text + run.worker);
}

void InvariantChecker::judgeAgain(const HistoryEvent& witness, const TaskHistory& task,
                                  const std::string& what) {
  if (task.confirmedAt)
    broken(1, witness.at, what + " starts again after finishing well");
  else if (task.finishedAt)
    startedUnaware(witness, task, what);
}

void InvariantChecker::judgeOrder(const HistoryEvent& witness, JobHistory& job,
                                  const JobSubmission& submission, const std::string& what) {
  const auto step = placeOf(submission, witness.task).first;
  for (const auto& before : submission.steps[step].after)
    for (std::uint32_t other = 0; other < submission.steps.size(); ++other)
      if (submission.steps[other].name == before)
        judgeStepDone(witness, job, submission, other, what);
}

void InvariantChecker::judgeStepDone(const HistoryEvent& witness, JobHistory& job,
                                     const JobSubmission& submission, std::uint32_t step,
                                     const std::string& what) {
  const std::string text = what + " starts before step " + submission.steps[step].name + " is done";
  const auto first = firstTask(submission, step);
  for (auto task = first; task < first + submission.steps[step].tasks.size(); ++task)
    if (!job.tasks[task].finishedAt)
      broken(6, witness.at, text);
}

void InvariantChecker::judgeTimetable(const HistoryEvent& witness, const JobSubmission& submission,
                                      const std::string& what) {
  const auto mark = witness.job.find('@');
  const auto count =
      mark == std::string::npos ? 0 : std::strtoll(witness.job.c_str() + mark + 1, nullptr, 10);
  const auto due =
      submission.timetable.first.milliseconds + count * submission.timetable.every.milliseconds;
  if (witness.at + options.slack < due)
    broken(6, witness.at, what + " starts " + std::to_string(due - witness.at) + " ms early");
}

void InvariantChecker::judgeRetries(const HistoryEvent& witness, const TaskHistory& task,
                                    const JobSubmission& submission, const std::string& what) {
  const auto allowed = options.retriesOf.find(submission.queue.value);
  if (allowed == options.retriesOf.end())
    return;
  std::size_t counted = 1;
  for (const auto& run : task.runs)
    counted += run.ending != "ran_out";
  if (counted > 1 + allowed->second)
    broken(7, witness.at,
           what + " starts for the " + std::to_string(counted) + "th time with " +
               std::to_string(allowed->second) + " retries allowed");
}

// The work had ended well, but its worker had no chance to tell, or no answer:
// docs/design.md 5.5.
void InvariantChecker::startedUnaware(const HistoryEvent& witness, const TaskHistory& task,
                                      const std::string& what) {
  const auto done = std::find_if(task.runs.begin(), task.runs.end(),
                                 [](const Run& run) { return run.ending == "finished"; });
  if (done == task.runs.end())
    return;
  auto lost = vanishedAt.find(done->worker);
  const std::string text = what + " starts again after an ending that was not yet confirmed: ";
  if (lost != vanishedAt.end() && lost->second >= *task.finishedAt)
    limit(1, witness.at, text + done->worker + " vanished before it was");
  else if (disturbedWithin(*task.finishedAt, witness.at))
    limit(1, witness.at, text + done->worker + " could not tell in time");
  else
    broken(1, witness.at, text + "and nothing was in the way");
}

void InvariantChecker::held(const HistoryEvent& witness) {
  if (auto* run = runOf(witness))
    run->pause(witness.at);
}

void InvariantChecker::resumed(const HistoryEvent& witness) {
  auto* run = runOf(witness);
  if (!run)
    return;
  for (auto& other : jobs[witness.job].tasks[witness.task].runs)
    if (&other != run && !other.endedAt && other.active)
      broken(1, witness.at,
             nameOf(witness.job, witness.task) + " is resumed on " + witness.worker +
                 " while it runs on " + other.worker);
  if (jobs[witness.job].tasks[witness.task].confirmedAt)
    broken(1, witness.at, nameOf(witness.job, witness.task) + " is resumed after finishing well");
  run->resume(witness.at);
  room(witness);
}

void InvariantChecker::ended(const HistoryEvent& witness) {
  auto& job = jobs[witness.job];
  auto& task = job.tasks[witness.task];
  for (auto& run : task.runs)
    if (run.attempt == witness.attempt && run.worker == witness.worker && !run.endedAt)
      endRun(witness, job, run);
  if (witness.detail != "finished")
    return;
  if (!task.finishedAt)
    task.finishedAt = witness.at;
  if (isCalled(witness.worker))
    eachMemberOf(witness.job, job, witness.task, witness.attempt,
                 [&](TaskHistory& member, const Run&) {
                   if (!member.finishedAt)
                     member.finishedAt = witness.at;
                 });
}

void InvariantChecker::endRun(const HistoryEvent& witness, const JobHistory& job, Run& run) {
  const std::string what = nameOf(witness.job, witness.task);
  if (run.active)
    keptRunning(job, what, run, witness.at);
  run.end(witness.at, witness.detail);
  // A gang's member that is alone waits for nothing: the others were not started, or not in time.
  if (run.called && witness.detail == "alone" && !job.cancelledAt &&
      !disturbedWithin(run.startedAt - 1000, witness.at))
    broken(
        16, witness.at,
        what + " waited alone on " + run.worker + " for the rest of its gang, with no fault about");
}

// docs/design.md 5.5: an ending is final once the worker has its confirmation; before that nobody
// else can know of it.
void InvariantChecker::confirmed(const HistoryEvent& witness) {
  auto& task = jobs[witness.job].tasks[witness.task];
  if (witness.detail == "finished" && !task.confirmedAt)
    task.confirmedAt = witness.at;
  for (auto& run : task.runs)
    if (run.attempt == witness.attempt && run.worker == witness.worker && run.endedAt &&
        !run.notedAt)
      run.notedAt = witness.at;
}

void InvariantChecker::vanished(const HistoryEvent& witness) {
  vanishedAt[witness.worker] = witness.at;
  for (auto& [id, job] : jobs)
    for (auto& [place, task] : job.tasks)
      for (auto& run : task.runs)
        if (run.worker == witness.worker && !run.endedAt)
          run.end(witness.at, "vanished");
}

void InvariantChecker::capacityTold(const HistoryEvent& witness) {
  capacities[witness.worker] = witness;
  leavingSince.erase(witness.worker);
}

void InvariantChecker::room(const HistoryEvent& witness) {
  auto capacity = capacities.find(witness.worker);
  if (capacity == capacities.end() || capacity->second.guards)
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
    broken(10, witness.at,
           witness.worker + " was given " + std::to_string(cores) + " cores and " +
               std::to_string(memory) + " MB, more than it holds");
}

}  // namespace aniseline
