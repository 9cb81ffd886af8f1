// Starts on workers that are called: rules 1, 13, 15 and 17. docs/design.md 11.
#include "checker/invariant_checker.hpp"

namespace aniseline {

// Of a start on a worker that is called: where it is, what it was given, when.
void InvariantChecker::checkStartOnCalledWorker(const HistoryEvent& event, JobHistory& job,
                                                const std::string& what) {
  const std::string startsThere = what + " starts on " + event.worker;
  const auto* submission = findSubmission(event.job);
  if (!submission)
    return reportViolation(Invariant::startsAsRequested, event.timestamp,
                           startsThere + ", yet nobody asked for that job");
  const auto [step, within] = positionOf(*submission, event.task);
  const bool ofOccurrence = event.job != submission->id.value;
  if (step >= submission->steps.size() || ofOccurrence != submission->hasTimetable())
    return reportViolation(Invariant::startsAsRequested, event.timestamp,
                           startsThere + ", yet nobody asked for that task");
  checkPlacement(event, job, *submission, step, what);
  const auto& request = submission->steps[step];
  const auto& own = request.tasks[within].payload;
  if (event.payload != (own.empty() ? submission->payload : own))
    reportViolation(Invariant::startsAsRequested, event.timestamp,
                    what + " starts with another payload");
  checkCheckpoint(event, checkpointOwnerOf(event.job, event.task, request, step), request.gang,
                  what);
  checkStartTime(event, job, what);
}

void InvariantChecker::checkPlacement(const HistoryEvent& event, JobHistory& job,
                                      const JobSubmission& submission, std::uint32_t step,
                                      const std::string& what) {
  const auto& needs = submission.steps[step].requirements;
  const auto& capacity = capacities.at(event.worker);
  auto pools = options.poolsByQueue.find(submission.queue.value);
  if (pools != options.poolsByQueue.end() && !pools->second.count(capacity.pool))
    reportViolation(Invariant::placementConstraints, event.timestamp,
                    what + " starts on " + event.worker + " of pool " + capacity.pool +
                        ", to which no config sends its queue");
  if (!needs.requiredLabel.empty() &&
      !std::count(capacity.labels.begin(), capacity.labels.end(), needs.requiredLabel))
    reportViolation(
        Invariant::placementConstraints, event.timestamp,
        what + " starts on " + event.worker + ", which lacks the label " + needs.requiredLabel);
  if (!needs.maxPerWorker)
    return;
  std::size_t there = 1;
  const auto first = firstTaskOfStep(submission, step);
  for (auto other = first; other < first + submission.steps[step].tasks.size(); ++other)
    if (auto known = job.tasks.find(other); known != job.tasks.end())
      for (const auto& run : known->second.runs)
        there += !run.endedAt && run.worker == event.worker;
  if (there > needs.maxPerWorker)
    reportViolation(Invariant::placementConstraints, event.timestamp,
                    what + " is the " + std::to_string(there) + "th of its step on " +
                        event.worker + ", of at most " + std::to_string(needs.maxPerWorker));
}

void InvariantChecker::checkCheckpoint(const HistoryEvent& event, const std::string& owner,
                                       bool gang, const std::string& what) {
  if (!event.checkpoint.empty()) {
    auto made = checkpointOwners.find(event.checkpoint);
    if (made == checkpointOwners.end() || made->second != owner)
      reportViolation(Invariant::startsAsRequested, event.timestamp,
                      what + " starts from a checkpoint that is not its own");
  }
  if (!gang)
    return;
  auto [brought, isNew] = gangCheckpoints.try_emplace({owner, event.attempt}, event.checkpoint);
  if (!isNew && brought->second != event.checkpoint)
    reportViolation(Invariant::startsAsRequested, event.timestamp,
                    what + " starts from another checkpoint than the rest of its gang");
}

void InvariantChecker::checkStartTime(const HistoryEvent& event, const JobHistory& job,
                                      const std::string& what) {
  if (event.executedLate)
    return;
  if (auto left = drainingSince.find(event.worker);
      left != drainingSince.end() && event.timestamp > left->second + options.clockSlackMs)
    reportViolation(Invariant::noStartAfterDrainAcknowledged, event.timestamp,
                    what + " starts on " + event.worker + " " +
                        std::to_string(event.timestamp - left->second) +
                        " ms after its leaving was acknowledged");
  if (job.finishedShownAt && event.timestamp > *job.finishedShownAt + 1000 + options.clockSlackMs)
    reportViolation(Invariant::atMostOneRun, event.timestamp,
                    what + " starts though its job was shown as finished");
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
