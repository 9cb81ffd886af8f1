// Jobs as callers see them: rules 2 to 5. docs/design.md 11.
#include "checker/invariant_checker.hpp"

namespace aniseline {

void InvariantChecker::accepted(const HistoryEvent& witness) {
  if (auto& job = jobs[witness.job]; !job.acceptedAt)
    job.acceptedAt = witness.at;
}

void InvariantChecker::cancelAcknowledged(const HistoryEvent& witness) {
  if (auto& job = jobs[witness.job]; !job.cancelledAt)
    job.cancelledAt = witness.at;
}

void InvariantChecker::shown(const HistoryEvent& witness) {
  auto& job = jobs[witness.job];
  job.over =
      witness.detail == "finished" || witness.detail == "failed" || witness.detail == "cancelled";
  if (witness.detail == "missing") {
    if (job.acceptedAt && witness.at > *job.acceptedAt + 3000)
      broken(2, witness.at, "job " + witness.job + " was accepted and is reported missing");
  } else if (witness.detail == "failed") {
    if (const auto* submission = submissionOf(witness.job))
      judgeFailed(witness, *submission);
  } else if (witness.detail == "finished")
    shownFinished(witness, job);
}

void InvariantChecker::shownFinished(const HistoryEvent& witness, JobHistory& job) {
  if (!job.finishedShownAt)
    job.finishedShownAt = witness.at;
  const auto* submission = submissionOf(witness.job);
  if (!submission)
    return;
  if (!submission->timed())
    return allFinished(witness, witness.job, *submission);
  for (std::uint32_t time = 0; time < submission->timetable.count; ++time)
    allFinished(witness, witness.job + "@" + std::to_string(time), *submission);
}

void InvariantChecker::allFinished(const HistoryEvent& witness, const std::string& id,
                                   const JobSubmission& submission) {
  auto& job = jobs[id];
  std::uint32_t total = firstTask(submission, std::uint32_t(submission.steps.size()));
  for (std::uint32_t task = 0; task < total; ++task) {
    auto known = job.tasks.find(task);
    if (known == job.tasks.end() || !known->second.finishedAt ||
        *known->second.finishedAt > witness.at + options.slack)
      return broken(
          4, witness.at,
          "job " + witness.job + " is shown as finished while " + nameOf(id, task) + " is open");
    for (const auto& run : known->second.runs)
      if (!run.endedAt && run.active &&
          !(run.called && (disturbedWithin(run.startedAt, witness.at) ||
                           submission.steps[placeOf(submission, task).first].needs.redundant)))
        broken(4, witness.at,
               "job " + witness.job + " is shown as finished while " + nameOf(id, task) +
                   " still runs on " + run.worker);
  }
}

void InvariantChecker::keptRunning(const JobHistory& job, const std::string& what, const Run& run,
                                   std::int64_t at) {
  if (!job.cancelledAt || at <= *job.cancelledAt + cancelGrace + options.slack)
    return;
  const std::string text =
      what + " kept running " + std::to_string(at - *job.cancelledAt) + " ms after its cancel";
  // With a fault about, the hold of a worker that is called ends it: docs/design.md 5.8.
  if (run.called && disturbedWithin(*job.cancelledAt, at) &&
      at <= *job.cancelledAt + calledHold + options.slack)
    return;
  // A cut-off worker that honours no leases can't be told and does not hold:
  // docs/operations.md 8.
  if (leaseless(run.worker) && disturbedWithin(*job.cancelledAt, *job.cancelledAt + cancelGrace))
    limit(5, at, text + ", on a worker without leases");
  else
    broken(5, at, text);
}

// What no later line can show of a job: things that never came.
void InvariantChecker::judgeJob(const std::string& id, JobHistory& job, std::int64_t end) {
  if (job.submissions > 0 && job.rejections == job.submissions && !job.tasks.empty() &&
      !job.tasks.begin()->second.runs.empty())
    broken(3, job.tasks.begin()->second.runs.front().startedAt,
           "job " + id + " was rejected on every try, yet ran");
  if (settledAt && job.acceptedAt && !job.over && !job.explained)
    broken(2, *settledAt, "job " + id + " was accepted and is neither over nor explained");
  for (auto& [place, task] : job.tasks)
    for (auto& run : task.runs)
      if (!run.endedAt && run.active)
        keptRunning(job, nameOf(id, place), run, end);
}

}  // namespace aniseline
