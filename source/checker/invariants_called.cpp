// Checks starts on called workers: rules 1, 13, 15 and 17. docs/design.md 11.
#include "checker/invariant_checker.hpp"

namespace aniseline {

// Checks the placement, the payload, the checkpoint and the time of a start on a called worker.
void InvariantChecker::checkStartOnCalledWorker(const HistoryEvent& event, JobHistory& job,
                                                const std::string& taskText) {
  const std::string startText = taskText + " starts on " + event.worker;
  const auto* submission = findSubmission(event.job);
  if (!submission)
    return reportViolation(Invariant::startsAsRequested, event.timestamp,
                           startText + ", but no client submitted that job");
  const auto [step, within] = positionOf(*submission, event.task);
  const bool isOccurrence = event.job != submission->id.value;
  if (step >= submission->steps.size() || isOccurrence != submission->hasTimetable())
    return reportViolation(Invariant::startsAsRequested, event.timestamp,
                           startText + ", but no client submitted that task");
  checkPlacement(event, job, *submission, step, taskText);
  const auto& request = submission->steps[step];
  const auto& taskPayload = request.tasks[within].payload;
  if (event.payload != (taskPayload.empty() ? submission->payload : taskPayload))
    reportViolation(Invariant::startsAsRequested, event.timestamp,
                    taskText + " starts with another payload");
  checkCheckpoint(event, checkpointOwnerOf(event.job, event.task, request, step), request.gang,
                  taskText);
  checkStartTime(event, job, taskText);
}

void InvariantChecker::checkPlacement(const HistoryEvent& event, JobHistory& job,
                                      const JobSubmission& submission, std::uint32_t step,
                                      const std::string& taskText) {
  const auto& needs = submission.steps[step].requirements;
  const auto& capacity = capacities.at(event.worker);
  auto pools = options.poolsByQueue.find(submission.queue.value);
  if (pools != options.poolsByQueue.end() && !pools->second.count(capacity.pool))
    reportViolation(Invariant::placementConstraints, event.timestamp,
                    taskText + " starts on " + event.worker + " of pool " + capacity.pool +
                        ", which no configuration assigns to its queue");
  if (!needs.requiredLabel.empty() &&
      !std::count(capacity.labels.begin(), capacity.labels.end(), needs.requiredLabel))
    reportViolation(
        Invariant::placementConstraints, event.timestamp,
        taskText + " starts on " + event.worker + ", which lacks the label " + needs.requiredLabel);
  if (!needs.maxPerWorker)
    return;
  std::size_t tasksOnWorker = 1;
  const auto first = firstTaskOfStep(submission, step);
  for (auto other = first; other < first + submission.steps[step].tasks.size(); ++other)
    if (auto known = job.tasks.find(other); known != job.tasks.end())
      for (const auto& run : known->second.runs)
        tasksOnWorker += !run.endedAt && run.worker == event.worker;
  if (tasksOnWorker > needs.maxPerWorker)
    reportViolation(Invariant::placementConstraints, event.timestamp,
                    taskText + " is the " + std::to_string(tasksOnWorker) +
                        "th task of its step on " + event.worker + ", which allows at most " +
                        std::to_string(needs.maxPerWorker));
}

void InvariantChecker::checkCheckpoint(const HistoryEvent& event, const std::string& owner,
                                       bool gang, const std::string& taskText) {
  if (!event.checkpoint.empty()) {
    auto checkpoint = checkpointOwners.find(event.checkpoint);
    if (checkpoint == checkpointOwners.end() || checkpoint->second != owner)
      reportViolation(Invariant::startsAsRequested, event.timestamp,
                      taskText + " starts from a checkpoint that is not its own");
  }
  if (!gang)
    return;
  auto [gangCheckpoint, isNew] =
      gangCheckpoints.try_emplace({owner, event.attempt}, event.checkpoint);
  if (!isNew && gangCheckpoint->second != event.checkpoint)
    reportViolation(Invariant::startsAsRequested, event.timestamp,
                    taskText + " starts from another checkpoint than the rest of its gang");
}

void InvariantChecker::checkStartTime(const HistoryEvent& event, const JobHistory& job,
                                      const std::string& taskText) {
  if (event.executedLate)
    return;
  if (auto drain = drainingSince.find(event.worker);
      drain != drainingSince.end() && event.timestamp > drain->second + options.clockSlackMs)
    reportViolation(Invariant::noStartAfterDrainAcknowledged, event.timestamp,
                    taskText + " starts on " + event.worker + " " +
                        std::to_string(event.timestamp - drain->second) +
                        " ms after its drain was acknowledged");
  if (job.finishedShownAt && event.timestamp > *job.finishedShownAt + 1000 + options.clockSlackMs)
    reportViolation(Invariant::atMostOneRun, event.timestamp,
                    taskText + " starts although its job was shown as finished");
}

std::string InvariantChecker::checkpointOwnerOf(const std::string& job, std::uint32_t task,
                                                const StepRequest& request, std::uint32_t step) {
  return job + (request.gang ? "/gang" + std::to_string(step) : "/" + std::to_string(task));
}

void InvariantChecker::onCheckpointed(const HistoryEvent& event) {
  if (const auto* step = findStep(event.job, event.task))
    checkpointOwners[event.checkpoint] = checkpointOwnerOf(
        event.job, event.task, *step, positionOf(*findSubmission(event.job), event.task).first);
}

}  // namespace aniseline
