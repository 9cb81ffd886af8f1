// Jobs as callers see them: rules 2 to 5. docs/design.md 11.
#include "checker/invariant_checker.hpp"

namespace aniseline {

void InvariantChecker::onAccepted(const HistoryEvent& witness) {
  if (auto& job = jobs[witness.job]; !job.acceptedAt)
    job.acceptedAt = witness.timestamp;
}

void InvariantChecker::onCancelAcknowledged(const HistoryEvent& witness) {
  if (auto& job = jobs[witness.job]; !job.cancelledAt)
    job.cancelledAt = witness.timestamp;
}

void InvariantChecker::onStateObserved(const HistoryEvent& witness) {
  auto& job = jobs[witness.job];
  job.ended =
      witness.detail == "finished" || witness.detail == "failed" || witness.detail == "cancelled";
  if (witness.detail == "missing") {
    if (job.acceptedAt && witness.timestamp > *job.acceptedAt + 3000)
      reportViolation(2, witness.timestamp,
                      "job " + witness.job + " was accepted and is reported missing");
  } else if (witness.detail == "failed") {
    if (const auto* submission = findSubmission(witness.job))
      checkShownFailed(witness, *submission);
  } else if (witness.detail == "finished")
    checkShownFinished(witness, job);
}

void InvariantChecker::checkShownFinished(const HistoryEvent& witness, JobHistory& job) {
  if (!job.finishedShownAt)
    job.finishedShownAt = witness.timestamp;
  const auto* submission = findSubmission(witness.job);
  if (!submission)
    return;
  if (!submission->hasTimetable())
    return checkAllTasksSucceeded(witness, witness.job, *submission);
  for (std::uint32_t time = 0; time < submission->timetable.count; ++time)
    checkAllTasksSucceeded(witness, witness.job + "@" + std::to_string(time), *submission);
}

void InvariantChecker::checkAllTasksSucceeded(const HistoryEvent& witness, const std::string& id,
                                              const JobSubmission& submission) {
  auto& job = jobs[id];
  std::uint32_t total = firstTaskOfStep(submission, std::uint32_t(submission.steps.size()));
  for (std::uint32_t task = 0; task < total; ++task) {
    auto known = job.tasks.find(task);
    if (known == job.tasks.end() || !known->second.succeededAt ||
        *known->second.succeededAt > witness.timestamp + options.clockSlackMs)
      return reportViolation(4, witness.timestamp,
                             "job " + witness.job + " is shown as finished while " +
                                 describeTask(id, task) + " is open");
    for (const auto& run : known->second.runs)
      if (!run.endedAt && run.active &&
          !(run.onCalledWorker &&
            (hadFaultWithin(run.startedAt, witness.timestamp) ||
             submission.steps[positionOf(submission, task).first].requirements.redundant)))
        reportViolation(4, witness.timestamp,
                        "job " + witness.job + " is shown as finished while " +
                            describeTask(id, task) + " still runs on " + run.worker);
  }
}

void InvariantChecker::checkStoppedAfterCancel(const JobHistory& job, const std::string& what,
                                               const ObservedRun& run, std::int64_t at) {
  if (!job.cancelledAt || at <= *job.cancelledAt + cancelGraceMs + options.clockSlackMs)
    return;
  const std::string text =
      what + " kept running " + std::to_string(at - *job.cancelledAt) + " ms after its cancel";
  // With a fault about, the hold of a worker that is called ends it: docs/design.md 5.8.
  if (run.onCalledWorker && hadFaultWithin(*job.cancelledAt, at) &&
      at <= *job.cancelledAt + longestLeaseMs + options.clockSlackMs)
    return;
  // A cut-off worker that honours no leases can't be told and does not hold:
  // docs/operations.md 8.
  if (ignoresLeases(run.worker) &&
      hadFaultWithin(*job.cancelledAt, *job.cancelledAt + cancelGraceMs))
    reportUnavoidableViolation(5, at, text + ", on a worker without leases");
  else
    reportViolation(5, at, text);
}

// What no later line can show of a job: things that never came.
void InvariantChecker::checkJobAtEnd(const std::string& id, JobHistory& job, std::int64_t end) {
  if (job.submissions > 0 && job.rejections == job.submissions && !job.tasks.empty() &&
      !job.tasks.begin()->second.runs.empty())
    reportViolation(3, job.tasks.begin()->second.runs.front().startedAt,
                    "job " + id + " was rejected on every try, yet ran");
  if (quiescentAt && job.acceptedAt && !job.ended && !job.waitExplained)
    reportViolation(2, *quiescentAt,
                    "job " + id + " was accepted and is neither over nor explained");
  for (auto& [place, task] : job.tasks)
    for (auto& run : task.runs)
      if (!run.endedAt && run.active)
        checkStoppedAfterCancel(job, describeTask(id, place), run, end);
}

}  // namespace aniseline
