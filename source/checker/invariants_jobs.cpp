// Checks jobs as clients see them: rules 2 to 5 and 21. docs/design.md 11.
#include "checker/invariant_checker.hpp"
#include "state/occurrence.hpp"

namespace aniseline {

void InvariantChecker::onAccepted(const HistoryEvent& event) {
  if (auto& job = jobs[event.job]; !job.acceptedAt)
    job.acceptedAt = event.timestamp;
}

void InvariantChecker::onCancelSubmitted(const HistoryEvent& event) {
  const JobHistory& job = jobs[event.job];
  if (job.acceptedAt && !job.cancelledAt)
    unansweredCancels.emplace(event.job, event.timestamp);
}

// Reports cancels that were not answered in time. Clients resend a cancel to the next gateway after
// a timeout or an error.
void InvariantChecker::checkCancelsAnsweredBy(std::int64_t at) {
  std::erase_if(unansweredCancels, [&](const auto& entry) {
    const auto& [job, submittedAt] = entry;
    if (at < submittedAt + cancelAnswerMs + options.clockSlackMs)
      return false;
    if (!hadFaultWithin(submittedAt, at))
      reportViolation(Invariant::cancelsAcknowledged, at,
                      "the cancel of job " + job + " has no answer after " +
                          std::to_string(at - submittedAt) + " ms");
    return true;
  });
}

void InvariantChecker::onCancelAcknowledged(const HistoryEvent& event) {
  unansweredCancels.erase(event.job);
  if (auto& job = jobs[event.job]; !job.cancelledAt)
    job.cancelledAt = event.timestamp;
}

void InvariantChecker::onStateObserved(const HistoryEvent& event) {
  auto& job = jobs[event.job];
  job.ended = event.detail == "finished" || event.detail == "failed" || event.detail == "cancelled";
  if (event.detail == "missing") {
    if (job.acceptedAt && event.timestamp > *job.acceptedAt + 3000)
      reportViolation(Invariant::acceptedJobsKept, event.timestamp,
                      "job " + event.job + " was accepted and is reported missing");
  } else if (event.detail == "failed") {
    if (const auto* submission = findSubmission(event.job))
      checkShownFailed(event, *submission);
  } else if (event.detail == "finished")
    checkShownFinished(event, job);
}

void InvariantChecker::checkShownFinished(const HistoryEvent& event, JobHistory& job) {
  if (!job.finishedShownAt)
    job.finishedShownAt = event.timestamp;
  const auto* submission = findSubmission(event.job);
  if (!submission)
    return;
  if (!submission->hasTimetable())
    return checkAllTasksSucceeded(event, event.job, *submission);
  for (std::uint32_t number = 0; number < submission->timetable.count; ++number)
    checkAllTasksSucceeded(event, OccurrenceId::make(JobId{event.job}, number).value, *submission);
}

void InvariantChecker::checkAllTasksSucceeded(const HistoryEvent& event, const std::string& id,
                                              const JobSubmission& submission) {
  auto& job = jobs[id];
  std::uint32_t total = firstTaskOfStep(submission, std::uint32_t(submission.steps.size()));
  for (std::uint32_t task = 0; task < total; ++task) {
    auto known = job.tasks.find(task);
    if (known == job.tasks.end() || !known->second.succeededAt ||
        *known->second.succeededAt > event.timestamp + options.clockSlackMs)
      return reportViolation(Invariant::finishedOnlyWhenDone, event.timestamp,
                             "job " + event.job + " is shown as finished while " +
                                 describeTask(id, task) + " is unfinished");
    for (const auto& run : known->second.runs)
      if (!run.endedAt && run.active &&
          !(run.onCalledWorker &&
            (hadFaultWithin(run.startedAt, event.timestamp) ||
             submission.steps[positionOf(submission, task).first].requirements.redundant)))
        reportViolation(Invariant::finishedOnlyWhenDone, event.timestamp,
                        "job " + event.job + " is shown as finished while " +
                            describeTask(id, task) + " still runs on " + run.worker);
  }
}

void InvariantChecker::checkStoppedAfterCancel(const JobHistory& job, const std::string& taskText,
                                               const ObservedRun& run, std::int64_t at) {
  if (!job.cancelledAt || at <= *job.cancelledAt + cancelGraceMs + options.clockSlackMs)
    return;
  const std::string text =
      taskText + " kept running " + std::to_string(at - *job.cancelledAt) + " ms after its cancel";
  // During a fault, the expiry of its lease stops a task on a called worker: docs/design.md 5.8.
  if (run.onCalledWorker && hadFaultWithin(*job.cancelledAt, at) &&
      at <= *job.cancelledAt + longestLeaseMs + options.clockSlackMs)
    return;
  // A disconnected worker that does not honour leases cannot be told of the cancel and does not
  // suspend the task: docs/operations.md 8.
  if (ignoresLeases(run.worker) &&
      hadFaultWithin(*job.cancelledAt, *job.cancelledAt + cancelGraceMs))
    reportUnavoidableViolation(Invariant::cancelledJobsStop, at,
                               text + ", on a worker without leases");
  else
    reportViolation(Invariant::cancelledJobsStop, at, text);
}

// Checks for events of a job that are missing at the end of the history.
void InvariantChecker::checkJobAtEnd(const std::string& id, JobHistory& job, std::int64_t end) {
  if (job.submissions > 0 && job.rejections == job.submissions && !job.tasks.empty() &&
      !job.tasks.begin()->second.runs.empty())
    reportViolation(Invariant::rejectedJobsNeverRun,
                    job.tasks.begin()->second.runs.front().startedAt,
                    "job " + id + " was rejected on every submission but ran");
  if (quiescentAt && job.acceptedAt && !job.ended && !job.waitExplained)
    reportViolation(
        Invariant::acceptedJobsKept, *quiescentAt,
        "job " + id + " was accepted, and it has neither ended nor had its wait explained");
  for (auto& [taskIndex, task] : job.tasks)
    for (auto& run : task.runs)
      if (!run.endedAt && run.active)
        checkStoppedAfterCancel(job, describeTask(id, taskIndex), run, end);
}

}  // namespace aniseline
