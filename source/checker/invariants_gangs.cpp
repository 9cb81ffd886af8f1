// Checks that the members of a gang run together: rule 8. docs/design.md 11.
#include "checker/invariant_checker.hpp"

namespace aniseline {

namespace {

// The time in ms within which all members of a gang start: without a fault a little more than one
// sync round; with a fault a lease, a margin and a round trip.
constexpr std::int64_t gangStartMs = 700, gangStartDuringFaultMs = 5000;

}  // namespace

void InvariantChecker::checkGangs(const std::string& id, JobHistory& job, std::int64_t end) {
  const auto* submission = findSubmission(id);
  if (!submission)
    return;
  for (std::uint32_t step = 0; step < submission->steps.size(); ++step)
    if (submission->steps[step].gang)
      checkGangRunsTogether(id, job, *submission, step, end);
}

// Reports a member that kept running while another member of its gang neither ran nor had
// succeeded.
void InvariantChecker::checkGangRunsTogether(const std::string& id, JobHistory& job,
                                             const JobSubmission& submission, std::uint32_t step,
                                             std::int64_t end) {
  const auto first = firstTaskOfStep(submission, step);
  const auto after = std::uint32_t(first + submission.steps[step].tasks.size());
  for (auto member = first; member < after; ++member)
    for (const auto& run : job.tasks[member].runs)
      for (auto other = run.onCalledWorker ? after : first; other < after; ++other) {
        const auto& otherTask = job.tasks[other];
        if (other == member || (otherTask.succeededAt && *otherTask.succeededAt <= run.startedAt))
          continue;
        std::int64_t until = run.endedAt.value_or(end);
        for (const auto& otherRun : otherTask.runs)
          if (!otherRun.endedAt || *otherRun.endedAt >= run.startedAt)
            until = std::min(until, std::max(otherRun.startedAt, run.startedAt));
        const bool noFault = !hadFaultWithin(run.startedAt - gangStartDuringFaultMs, until);
        const std::int64_t aloneMs = run.activeTimeUntil(until);
        if (aloneMs <= (noFault ? gangStartMs : gangStartDuringFaultMs) + options.clockSlackMs)
          continue;
        reportViolation(Invariant::gangsRunTogether, run.startedAt,
                        describeTask(id, member) + " ran for " + std::to_string(aloneMs) +
                            " ms while " + describeTask(id, other) + " did not start" +
                            (noFault ? ", and there was no fault" : ""));
        break;
      }
}

}  // namespace aniseline
