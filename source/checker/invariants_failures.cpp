// Checks the results of runs on called workers, and failed attempts: rules 1, 14 and 18.
// docs/design.md 11.
#include "checker/invariant_checker.hpp"
#include "checker/worker_eligibility.hpp"
#include "state/occurrence.hpp"

namespace aniseline {

namespace {

// The time in ms until a recorded result prevents new starts.
constexpr std::int64_t resultPropagationMs = 1000;

}  // namespace

// Runs at the end of the history, because only later events show whether a result was recorded.
void InvariantChecker::checkOutcomes(const std::string& id, JobHistory& job) {
  for (auto& [taskIndex, task] : job.tasks) {
    const auto* step = findStep(id, taskIndex);
    if (!step || step->requirements.longRunning)
      continue;
    checkSuccesses(id, job, taskIndex, *step);
    checkAttemptLimit(id, job, taskIndex, *step);
  }
}

void InvariantChecker::checkSuccesses(const std::string& id, JobHistory& job, std::uint32_t index,
                                      const StepRequest& step) {
  const TaskHistory& task = job.tasks.at(index);
  for (const auto& finishedRun : task.runs) {
    if (!finishedRun.onCalledWorker || finishedRun.outcome != "finished")
      continue;
    std::optional<std::int64_t> recordedAt;
    forEachGangMember(
        id, job, index, finishedRun.attempt, [&](TaskHistory&, const ObservedRun& member) {
          if (member.outcome == "finished" && member.confirmedAt)
            recordedAt = std::min(recordedAt.value_or(*member.confirmedAt), *member.confirmedAt);
        });
    if (recordedAt)
      checkNoRunAfterSuccess(describeTask(id, index), task, finishedRun, *recordedAt,
                             step.requirements.redundant);
  }
}

void InvariantChecker::checkNoRunAfterSuccess(const std::string& taskText, const TaskHistory& task,
                                              const ObservedRun& finishedRun,
                                              std::int64_t recordedAt, bool redundant) {
  for (const auto& run : task.runs) {
    if (&run == &finishedRun || run.startedAt < *finishedRun.endedAt)
      continue;
    const std::string text = taskText + " starts on " + run.worker + " although its run " +
                             finishedRun.attempt + " had finished successfully on " +
                             finishedRun.worker;
    if (!redundant)
      reportViolation(Invariant::atMostOneRun, run.startedAt, text);
    else if (!run.executedLate &&
             run.startedAt > recordedAt + resultPropagationMs + options.clockSlackMs &&
             !hadFaultWithin(recordedAt, run.startedAt))
      reportViolation(Invariant::atMostOneRun, run.startedAt,
                      text + ", which the leader already knew");
  }
}

void InvariantChecker::checkAttemptLimit(const std::string& id, const JobHistory& job,
                                         std::uint32_t index, const StepRequest& step) {
  const auto* submission = findSubmission(id);
  const auto maxAttempts = options.maxAttemptsByQueue.find(submission->queue.value);
  if (maxAttempts == options.maxAttemptsByQueue.end())
    return;
  const auto [first, after] = gangRangeOf(*submission, index);
  for (const auto& run : job.tasks.at(index).runs) {
    const std::size_t failed =
        countFailuresBefore(job, first, after, run, step.requirements.redundant);
    if (failed >= maxAttempts->second)
      reportViolation(Invariant::attemptLimit, run.startedAt,
                      describeTask(id, index) + " starts after " + std::to_string(failed) +
                          " failed attempts, with a limit of " +
                          std::to_string(maxAttempts->second) + " attempts");
  }
}

// Counts the attempts whose failure the leader knew of when the run was started.
std::size_t InvariantChecker::countFailuresBefore(const JobHistory& job, std::uint32_t first,
                                                  std::uint32_t after, const ObservedRun& run,
                                                  bool redundant) const {
  std::set<std::string> failed;
  for (auto member = first; member < after; ++member) {
    const auto known = job.tasks.find(member);
    if (known == job.tasks.end())
      continue;
    for (const auto& earlierRun : known->second.runs) {
      if (earlierRun.outcome != "failed" || !earlierRun.confirmedAt ||
          *earlierRun.endedAt > run.startedAt)
        continue;
      const bool knownToLeader =
          *earlierRun.confirmedAt + resultPropagationMs + options.clockSlackMs < run.startedAt;
      if (!redundant || (!run.executedLate && knownToLeader))
        failed.insert(earlierRun.attempt);
    }
  }
  return failed.size();
}

// A job in a queue with an attempt limit may fail because it reached the limit, or because no
// worker that ever existed could fit it.
void InvariantChecker::checkShownFailed(const HistoryEvent& event,
                                        const JobSubmission& submission) {
  const auto maxAttempts = options.maxAttemptsByQueue.find(submission.queue.value);
  if (maxAttempts == options.maxAttemptsByQueue.end())
    return;
  for (const auto& [id, job] : jobs)
    if (id == event.job || id.starts_with(event.job + OccurrenceId::separator))
      if (const std::size_t failedAttempts = maxFailures(job, submission);
          failedAttempts && failedAttempts >= maxAttempts->second)
        return;
  for (const auto& step : submission.steps)
    if (!fitsKnownWorkers(submission, step))
      return;
  reportViolation(Invariant::failuresHaveCause, event.timestamp,
                  "job " + event.job + " is shown as failed with no cause");
}

// Returns the highest number of failed attempts of any gang or task of the job.
std::size_t InvariantChecker::maxFailures(const JobHistory& job, const JobSubmission& submission) {
  // By step for a gang, otherwise by task.
  std::map<std::pair<std::uint32_t, bool>, std::set<std::string>> failed;
  for (const auto& [taskIndex, task] : job.tasks) {
    const auto step = positionOf(submission, taskIndex).first;
    if (step >= submission.steps.size())
      continue;
    const bool gang = submission.steps[step].gang;
    for (const auto& run : task.runs)
      if (run.outcome == "failed")
        failed[{gang ? step : taskIndex, gang}].insert(run.attempt);
  }
  std::size_t failedAttempts = 0;
  for (const auto& [key, attempts] : failed)
    failedAttempts = std::max(failedAttempts, attempts.size());
  return failedAttempts;
}

bool InvariantChecker::fitsKnownWorkers(const JobSubmission& submission,
                                        const StepRequest& step) const {
  if (step.gang) {  // the members may not fit together even if each one fits alone
    std::uint64_t requestedCores = 0, known = 0;
    for (const auto& task : step.tasks)
      requestedCores += task.cores;
    for (const auto& [worker, capacity] : capacities)
      if (isEligible(options, submission, step, capacity))
        known += capacity.cores;
    if (requestedCores > known)
      return false;
  }
  return std::all_of(step.tasks.begin(), step.tasks.end(), [&](const TaskRequest& task) {
    return std::any_of(capacities.begin(), capacities.end(), [&](const auto& known) {
      return isEligible(options, submission, step, known.second) &&
             known.second.cores >= task.cores && known.second.memory >= task.memory &&
             known.second.accelerators >= task.accelerators;
    });
  });
}

}  // namespace aniseline
