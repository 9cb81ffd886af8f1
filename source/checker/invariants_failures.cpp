// Endings on workers that are called, and tries: rules 1, 14 and 18. docs/design.md 11.
#include "checker/invariant_checker.hpp"

namespace aniseline {

namespace {

constexpr std::int64_t noticeReaches = 1000;  // ms until an ending that was noted stops new starts

}  // namespace

// What only later lines decide: whether an ending was ever taken note of.
void InvariantChecker::judgeEndings(const std::string& id, JobHistory& job) {
  for (auto& [place, task] : job.tasks) {
    const auto* step = stepOf(id, place);
    if (!step || step->needs.lasts)
      continue;
    judgeSuccess(id, job, place, *step);
    judgeTries(id, job, place, *step);
  }
}

void InvariantChecker::judgeSuccess(const std::string& id, JobHistory& job, std::uint32_t place,
                                    const StepRequest& step) {
  const TaskHistory& task = job.tasks.at(place);
  for (const auto& done : task.runs) {
    if (!done.called || done.ending != "finished")
      continue;
    std::optional<std::int64_t> noted;
    eachMemberOf(id, job, place, done.attempt, [&](TaskHistory&, const Run& member) {
      if (member.ending == "finished" && member.notedAt)
        noted = std::min(noted.value_or(*member.notedAt), *member.notedAt);
    });
    if (noted)
      judgeRunsAfter(nameOf(id, place), task, done, *noted, step.needs.redundant);
  }
}

void InvariantChecker::judgeRunsAfter(const std::string& what, const TaskHistory& task,
                                      const Run& done, std::int64_t noted, bool redundant) {
  for (const auto& run : task.runs) {
    if (&run == &done || run.startedAt < *done.endedAt)
      continue;
    const std::string text = what + " starts on " + run.worker + " though its run " + done.attempt +
                             " had ended well on " + done.worker;
    if (!redundant)
      broken(1, run.startedAt, text);
    else if (!run.late && run.startedAt > noted + noticeReaches + options.slack &&
             !disturbedWithin(noted, run.startedAt))
      broken(1, run.startedAt, text + ", which was long known");
  }
}

void InvariantChecker::judgeTries(const std::string& id, const JobHistory& job, std::uint32_t place,
                                  const StepRequest& step) {
  const auto* submission = submissionOf(id);
  const auto tries = options.triesOf.find(submission->queue.value);
  if (tries == options.triesOf.end())
    return;
  const auto [first, after] = membersOf(*submission, place);
  for (const auto& run : job.tasks.at(place).runs) {
    const std::size_t failed = failuresBefore(job, first, after, run, step.needs.redundant);
    if (failed >= tries->second)
      broken(14, run.startedAt,
             nameOf(id, place) + " starts after " + std::to_string(failed) +
                 " runs that failed, with " + std::to_string(tries->second) + " tries");
  }
}

// Attempts whose failure the leader knew of when a run was started.
std::size_t InvariantChecker::failuresBefore(const JobHistory& job, std::uint32_t first,
                                             std::uint32_t after, const Run& run,
                                             bool redundant) const {
  std::set<std::string> failed;
  for (auto member = first; member < after; ++member) {
    const auto known = job.tasks.find(member);
    if (known == job.tasks.end())
      continue;
    for (const auto& before : known->second.runs) {
      if (before.ending != "failed" || !before.notedAt || *before.endedAt > run.startedAt)
        continue;
      const bool longKnown = *before.notedAt + noticeReaches + options.slack < run.startedAt;
      if (!redundant || (!run.late && longKnown))
        failed.insert(before.attempt);
    }
  }
  return failed.size();
}

// A job with tries fails by these, or because no worker that was ever there could hold it.
void InvariantChecker::judgeFailed(const HistoryEvent& witness, const JobSubmission& submission) {
  const auto tries = options.triesOf.find(submission.queue.value);
  if (tries == options.triesOf.end())
    return;
  for (const auto& [id, job] : jobs)
    if (id == witness.job || id.starts_with(witness.job + "@"))
      if (const std::size_t most = mostFailures(job, submission); most && most >= tries->second)
        return;
  for (const auto& step : submission.steps)
    if (!fitsKnownWorkers(submission, step))
      return;
  broken(18, witness.at, "job " + witness.job + " is shown as failed with no cause");
}

// The failed attempts of the gang or task that has most of them.
std::size_t InvariantChecker::mostFailures(const JobHistory& job, const JobSubmission& submission) {
  std::map<std::pair<std::uint32_t, bool>, std::set<std::string>>
      failed;  // by step of a gang, else by task
  for (const auto& [place, task] : job.tasks) {
    const auto step = placeOf(submission, place).first;
    if (step >= submission.steps.size())
      continue;
    const bool gang = submission.steps[step].gang;
    for (const auto& run : task.runs)
      if (run.ending == "failed")
        failed[{gang ? step : place, gang}].insert(run.attempt);
  }
  std::size_t most = 0;
  for (const auto& [key, attempts] : failed)
    most = std::max(most, attempts.size());
  return most;
}

bool InvariantChecker::fitsKnownWorkers(const JobSubmission& submission,
                                        const StepRequest& step) const {
  if (step.gang) {  // together they may not fit though one by one they do
    std::uint64_t wanted = 0, known = 0;
    for (const auto& task : step.tasks)
      wanted += task.cores;
    for (const auto& [worker, capacity] : capacities)
      if (holds(submission, step, capacity))
        known += capacity.cores;
    if (wanted > known)
      return false;
  }
  return std::all_of(step.tasks.begin(), step.tasks.end(), [&](const TaskRequest& task) {
    return std::any_of(capacities.begin(), capacities.end(), [&](const auto& known) {
      return holds(submission, step, known.second) && known.second.cores >= task.cores &&
             known.second.memory >= task.memory && known.second.accelerators >= task.accelerators;
    });
  });
}

bool InvariantChecker::holds(const JobSubmission& submission, const StepRequest& step,
                             const HistoryEvent& capacity) const {
  auto pools = options.poolsOf.find(submission.queue.value);
  if (pools != options.poolsOf.end() && !pools->second.count(capacity.pool))
    return false;
  return step.needs.label.empty() ||
         std::count(capacity.labels.begin(), capacity.labels.end(), step.needs.label);
}

}  // namespace aniseline
