// Gangs, whose parts run together: rule 8. docs/design.md 11.
#include "checker/invariant_checker.hpp"

namespace aniseline {

namespace {

// Without a fault a gang's parts begin within little more than a round of syncs, with one within
// lease, margin and a round trip; ms.
constexpr std::int64_t calmGang = 700, disturbedGang = 5000;

}  // namespace

void InvariantChecker::judgeGangs(const std::string& id, JobHistory& job, std::int64_t end) {
  const auto* submission = submissionOf(id);
  if (!submission)
    return;
  for (std::uint32_t step = 0; step < submission->steps.size(); ++step)
    if (submission->steps[step].gang)
      gangAlone(id, job, *submission, step, end);
}

// A part that ran on while another of its gang neither ran nor was done.
void InvariantChecker::gangAlone(const std::string& id, JobHistory& job,
                                 const JobSubmission& submission, std::uint32_t step,
                                 std::int64_t end) {
  const auto first = firstTask(submission, step);
  const auto after = std::uint32_t(first + submission.steps[step].tasks.size());
  for (auto part = first; part < after; ++part)
    for (const auto& run : job.tasks[part].runs)
      for (auto other = run.called ? after : first; other < after; ++other) {
        const auto& beside = job.tasks[other];
        if (other == part || (beside.finishedAt && *beside.finishedAt <= run.startedAt))
          continue;
        std::int64_t until = run.endedAt.value_or(end);
        for (const auto& with : beside.runs)
          if (!with.endedAt || *with.endedAt >= run.startedAt)
            until = std::min(until, std::max(with.startedAt, run.startedAt));
        const bool calm = !disturbedWithin(run.startedAt - disturbedGang, until);
        const std::int64_t alone = run.activeBy(until);
        if (alone <= (calm ? calmGang : disturbedGang) + options.slack)
          continue;
        broken(8, run.startedAt,
               nameOf(id, part) + " ran for " + std::to_string(alone) + " ms while " +
                   nameOf(id, other) + " did not begin" + (calm ? ", with no fault about" : ""));
        break;
      }
}

}  // namespace aniseline
