// Starts on workers that are called: rules 1, 13, 15 and 17. docs/design.md 11.
#include "checker/invariant_checker.hpp"

namespace aniseline {

// Of a start on a worker that is called: where it is, what it was given, when.
void InvariantChecker::checkStartOnCalledWorker(const HistoryEvent& witness, JobHistory& job,
                                                const std::string& what) {
  const std::string startsThere = what + " starts on " + witness.worker;
  const auto* submission = findSubmission(witness.job);
  if (!submission)
    return reportViolation(15, witness.timestamp, startsThere + ", yet nobody asked for that job");
  const auto [step, within] = positionOf(*submission, witness.task);
  const bool ofOccurrence = witness.job != submission->id.value;
  if (step >= submission->steps.size() || ofOccurrence != submission->hasTimetable())
    return reportViolation(15, witness.timestamp, startsThere + ", yet nobody asked for that task");
  checkPlacement(witness, job, *submission, step, what);
  const auto& request = submission->steps[step];
  const auto& own = request.tasks[within].payload;
  if (witness.payload != (own.empty() ? submission->payload : own))
    reportViolation(15, witness.timestamp, what + " starts with another payload");
  checkCheckpoint(witness, checkpointOwnerOf(witness.job, witness.task, request, step),
                  request.gang, what);
  checkStartTime(witness, job, what);
}

void InvariantChecker::checkPlacement(const HistoryEvent& witness, JobHistory& job,
                                      const JobSubmission& submission, std::uint32_t step,
                                      const std::string& what) {
  const auto& needs = submission.steps[step].requirements;
  const auto& capacity = capacities.at(witness.worker);
  auto pools = options.poolsByQueue.find(submission.queue.value);
  if (pools != options.poolsByQueue.end() && !pools->second.count(capacity.pool))
    reportViolation(13, witness.timestamp,
                    what + " starts on " + witness.worker + " of pool " + capacity.pool +
                        ", to which no config sends its queue");
  if (!needs.requiredLabel.empty() &&
      !std::count(capacity.labels.begin(), capacity.labels.end(), needs.requiredLabel))
    reportViolation(
        13, witness.timestamp,
        what + " starts on " + witness.worker + ", which lacks the label " + needs.requiredLabel);
  if (!needs.maxPerWorker)
    return;
  std::size_t there = 1;
  const auto first = firstTaskOfStep(submission, step);
  for (auto other = first; other < first + submission.steps[step].tasks.size(); ++other)
    if (auto known = job.tasks.find(other); known != job.tasks.end())
      for (const auto& run : known->second.runs)
        there += !run.endedAt && run.worker == witness.worker;
  if (there > needs.maxPerWorker)
    reportViolation(13, witness.timestamp,
                    what + " is the " + std::to_string(there) + "th of its step on " +
                        witness.worker + ", of at most " + std::to_string(needs.maxPerWorker));
}

void InvariantChecker::checkCheckpoint(const HistoryEvent& witness, const std::string& owner,
                                       bool gang, const std::string& what) {
  if (!witness.checkpoint.empty()) {
    auto made = checkpointOwners.find(witness.checkpoint);
    if (made == checkpointOwners.end() || made->second != owner)
      reportViolation(15, witness.timestamp,
                      what + " starts from a checkpoint that is not its own");
  }
  if (!gang)
    return;
  auto [brought, isNew] = gangCheckpoints.try_emplace({owner, witness.attempt}, witness.checkpoint);
  if (!isNew && brought->second != witness.checkpoint)
    reportViolation(15, witness.timestamp,
                    what + " starts from another checkpoint than the rest of its gang");
}

void InvariantChecker::checkStartTime(const HistoryEvent& witness, const JobHistory& job,
                                      const std::string& what) {
  if (witness.executedLate)
    return;
  if (auto left = drainingSince.find(witness.worker);
      left != drainingSince.end() && witness.timestamp > left->second + options.clockSlackMs)
    reportViolation(17, witness.timestamp,
                    what + " starts on " + witness.worker + " " +
                        std::to_string(witness.timestamp - left->second) +
                        " ms after its leaving was acknowledged");
  if (job.finishedShownAt && witness.timestamp > *job.finishedShownAt + 1000 + options.clockSlackMs)
    reportViolation(1, witness.timestamp, what + " starts though its job was shown as finished");
}

std::string InvariantChecker::checkpointOwnerOf(const std::string& job, std::uint32_t task,
                                                const StepRequest& request, std::uint32_t step) {
  return job + (request.gang ? "/gang" + std::to_string(step) : "/" + std::to_string(task));
}

void InvariantChecker::onCheckpointed(const HistoryEvent& witness) {
  if (const auto* step = findStep(witness.job, witness.task))
    checkpointOwners[witness.checkpoint] =
        checkpointOwnerOf(witness.job, witness.task, *step,
                          positionOf(*findSubmission(witness.job), witness.task).first);
}

}  // namespace aniseline
