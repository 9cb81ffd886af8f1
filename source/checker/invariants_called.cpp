// Starts on workers that are called: rules 1, 13, 15 and 17. docs/design.md 11.
#include "checker/invariant_checker.hpp"

namespace aniseline {

// Of a start on a worker that is called: where it is, what it was given, when.
void InvariantChecker::startedOnCalled(const HistoryEvent& witness, JobHistory& job,
                                       const std::string& what) {
  const std::string startsThere = what + " starts on " + witness.worker;
  const auto* submission = submissionOf(witness.job);
  if (!submission)
    return broken(15, witness.at, startsThere + ", yet nobody asked for that job");
  const auto [step, within] = placeOf(*submission, witness.task);
  const bool ofOccurrence = witness.job != submission->id.value;
  if (step >= submission->steps.size() || ofOccurrence != submission->timed())
    return broken(15, witness.at, startsThere + ", yet nobody asked for that task");
  judgePlacement(witness, job, *submission, step, what);
  const auto& request = submission->steps[step];
  const auto& own = request.tasks[within].payload;
  if (witness.payload != (own.empty() ? submission->payload : own))
    broken(15, witness.at, what + " starts with another payload");
  judgeCheckpoint(witness, ownerOf(witness.job, witness.task, request, step), request.gang, what);
  judgeLateness(witness, job, what);
}

void InvariantChecker::judgePlacement(const HistoryEvent& witness, JobHistory& job,
                                      const JobSubmission& submission, std::uint32_t step,
                                      const std::string& what) {
  const auto& needs = submission.steps[step].needs;
  const auto& capacity = capacities.at(witness.worker);
  auto pools = options.poolsOf.find(submission.queue.value);
  if (pools != options.poolsOf.end() && !pools->second.count(capacity.pool))
    broken(13, witness.at,
           what + " starts on " + witness.worker + " of pool " + capacity.pool +
               ", to which no config sends its queue");
  if (!needs.label.empty() &&
      !std::count(capacity.labels.begin(), capacity.labels.end(), needs.label))
    broken(13, witness.at,
           what + " starts on " + witness.worker + ", which lacks the label " + needs.label);
  if (!needs.apart)
    return;
  std::size_t there = 1;
  const auto first = firstTask(submission, step);
  for (auto other = first; other < first + submission.steps[step].tasks.size(); ++other)
    if (auto known = job.tasks.find(other); known != job.tasks.end())
      for (const auto& run : known->second.runs)
        there += !run.endedAt && run.worker == witness.worker;
  if (there > needs.apart)
    broken(13, witness.at,
           what + " is the " + std::to_string(there) + "th of its step on " + witness.worker +
               ", of at most " + std::to_string(needs.apart));
}

void InvariantChecker::judgeCheckpoint(const HistoryEvent& witness, const std::string& owner,
                                       bool gang, const std::string& what) {
  if (!witness.saved.empty()) {
    auto made = savedBy.find(witness.saved);
    if (made == savedBy.end() || made->second != owner)
      broken(15, witness.at, what + " starts from a checkpoint that is not its own");
  }
  if (!gang)
    return;
  auto [brought, isNew] = broughtBy.try_emplace({owner, witness.attempt}, witness.saved);
  if (!isNew && brought->second != witness.saved)
    broken(15, witness.at, what + " starts from another checkpoint than the rest of its gang");
}

void InvariantChecker::judgeLateness(const HistoryEvent& witness, const JobHistory& job,
                                     const std::string& what) {
  if (witness.late)
    return;
  if (auto left = leavingSince.find(witness.worker);
      left != leavingSince.end() && witness.at > left->second + options.slack)
    broken(17, witness.at,
           what + " starts on " + witness.worker + " " + std::to_string(witness.at - left->second) +
               " ms after its leaving was acknowledged");
  if (job.finishedShownAt && witness.at > *job.finishedShownAt + 1000 + options.slack)
    broken(1, witness.at, what + " starts though its job was shown as finished");
}

std::string InvariantChecker::ownerOf(const std::string& job, std::uint32_t task,
                                      const StepRequest& request, std::uint32_t step) {
  return job + (request.gang ? "/gang" + std::to_string(step) : "/" + std::to_string(task));
}

void InvariantChecker::saved(const HistoryEvent& witness) {
  if (const auto* step = stepOf(witness.job, witness.task))
    savedBy[witness.saved] = ownerOf(witness.job, witness.task, *step,
                                     placeOf(*submissionOf(witness.job), witness.task).first);
}

}  // namespace aniseline
