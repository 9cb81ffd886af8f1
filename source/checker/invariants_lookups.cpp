// Looks up what the invariant checker knows about jobs, steps and workers. docs/design.md 11.
#include "checker/invariant_checker.hpp"
#include "state/occurrence.hpp"

namespace aniseline {

bool InvariantChecker::hadFaultWithin(std::int64_t from, std::int64_t to) const {
  return std::any_of(faultIntervals.begin(), faultIntervals.end(), [&](const auto& interval) {
    return interval.first <= to && from <= interval.second;
  });
}

bool InvariantChecker::ignoresLeases(const std::string& worker) const {
  auto known = capacities.find(worker);
  return known != capacities.end() && known->second.detail == "leaseless";
}

bool InvariantChecker::isCalled(const std::string& worker) const {
  auto known = capacities.find(worker);
  return known != capacities.end() && known->second.detail == "called";
}

const JobSubmission* InvariantChecker::findSubmission(const std::string& id) const {
  auto exact = submissions.find(id);
  if (exact == submissions.end())
    exact = submissions.find(OccurrenceId::submittedIdOf(JobId{id}).value);
  return exact == submissions.end() ? nullptr : &exact->second;
}

const StepRequest* InvariantChecker::findStep(const std::string& id, std::uint32_t task) const {
  const auto* submission = findSubmission(id);
  if (!submission)
    return nullptr;
  const auto step = positionOf(*submission, task).first;
  return step < submission->steps.size() ? &submission->steps[step] : nullptr;
}

ObservedRun* InvariantChecker::findOpenRun(const HistoryEvent& event) {
  for (auto& run : jobs[event.job].tasks[event.task].runs)
    if (run.attempt == event.attempt && run.worker == event.worker && !run.endedAt)
      return &run;
  return nullptr;
}

std::string InvariantChecker::describeTask(const std::string& job, std::uint32_t task) {
  return "task " + std::to_string(task) + " of " + job;
}

InvariantChecker::TaskPosition InvariantChecker::positionOf(const JobSubmission& job,
                                                            std::uint32_t task) {
  std::uint32_t step = 0;
  while (step < job.steps.size() && task >= job.steps[step].tasks.size())
    task -= std::uint32_t(job.steps[step++].tasks.size());
  return {step, task};
}

std::uint32_t InvariantChecker::firstTaskOfStep(const JobSubmission& job, std::uint32_t step) {
  std::uint32_t first = 0;
  for (std::uint32_t at = 0; at < step; ++at)
    first += std::uint32_t(job.steps[at].tasks.size());
  return first;
}

std::pair<std::uint32_t, std::uint32_t> InvariantChecker::gangRangeOf(
    const JobSubmission& submission, std::uint32_t task) {
  const auto step = positionOf(submission, task).first;
  if (!submission.steps[step].gang)
    return {task, task + 1};
  const auto first = firstTaskOfStep(submission, step);
  return {first, first + std::uint32_t(submission.steps[step].tasks.size())};
}

void InvariantChecker::forEachGangMember(
    const std::string& id, JobHistory& job, std::uint32_t task, const std::string& attempt,
    const std::function<void(TaskHistory&, ObservedRun&)>& use) {
  if (!findStep(id, task))
    return;
  const auto [first, after] = gangRangeOf(*findSubmission(id), task);
  for (auto member = first; member < after; ++member)
    if (auto known = job.tasks.find(member); known != job.tasks.end())
      for (auto& run : known->second.runs)
        if (run.attempt == attempt)
          use(known->second, run);
}

}  // namespace aniseline
