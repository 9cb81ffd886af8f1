// Applying log records to the cluster state, and lookups in it.
#include "state/cluster_state.hpp"
#include "state/event_appliers.hpp"

namespace aniseline {

void ClusterState::apply(const LogRecord& record) {
  tables.advanceTo(record.time);
  boost::apply_visitor([this](const auto& event) { applyEvent(tables, event); }, record.event);
}

std::uint64_t ClusterState::openJobsOf(const QueueName& queue) const {
  auto found = tables.openJobsByQueue.find(queue);
  return found == tables.openJobsByQueue.end() ? 0 : found->second;
}

std::vector<AttemptNumber> ClusterState::attemptsOf(const JobId& job, AttemptScope scope) const {
  std::vector<AttemptNumber> found;
  for (auto number : tables.attemptIndex.ofJob(job)) {
    if (scope == AttemptScope::all || !tables.attempts.at(number).abandoned)
      found.push_back(number);
  }
  return found;
}

bool ClusterState::hasAttemptOf(const JobId& job, AttemptScope scope) const {
  const auto& numbers = tables.attemptIndex.ofJob(job);
  return std::any_of(numbers.begin(), numbers.end(), [&](AttemptNumber number) {
    return scope == AttemptScope::all || !tables.attempts.at(number).abandoned;
  });
}

std::vector<AttemptNumber> ClusterState::attemptsOn(const WorkerId& worker) const {
  const auto& numbers = tables.attemptIndex.onWorker(worker);
  return std::vector<AttemptNumber>(numbers.begin(), numbers.end());
}

AttemptNumber ClusterState::findAttempt(const WorkerId& worker, const TaskRunId& run) const {
  auto job = tables.jobs.find(run.job);
  if (job != tables.jobs.end() && job->second.submission.hasTimetable())
    job = tables.jobs.find(OccurrenceId::make(run.job, run.occurrence));
  if (job == tables.jobs.end())
    return AttemptNumber{};
  const std::size_t taskIndex = job->second.taskIndexOf(run.stepIndex, run.indexInStep);
  if (taskIndex >= job->second.tasks.size())
    return AttemptNumber{};
  auto isOfRun = [&](const Attempt& attempt) {
    return attempt.runNumber == run.runNumber && attempt.taskIndex == taskIndex &&
           attempt.worker == worker && attempt.job == job->first;
  };
  const AttemptNumber currentNumber = job->second.tasks[taskIndex].currentAttempt;
  if (auto current = tables.attempts.find(currentNumber);
      current != tables.attempts.end() && isOfRun(current->second))
    return currentNumber;
  // The run is not the task's current attempt: it is abandoned, or belongs to a gang that has
  // completed.
  const auto& ofJob = tables.attemptIndex.ofJob(job->first);
  const auto& onWorker = tables.attemptIndex.onWorker(worker);
  for (auto number : ofJob.size() < onWorker.size() ? ofJob : onWorker) {
    if (isOfRun(tables.attempts.at(number)))
      return number;
  }
  return AttemptNumber{};
}

}  // namespace aniseline
