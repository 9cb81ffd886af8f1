// Names of job and task states, and operations on the tasks of a job.
#include "state/job.hpp"

namespace aniseline {

const char* name(TaskState state) {
  static constexpr const char* names[] = {"blocked", "waiting", "placed",
                                          "done",    "failed",  "stopped"};
  return names[std::size_t(state)];
}

const char* name(JobState state) {
  static constexpr const char* names[] = {"timed",    "open",   "cancelling",
                                          "finished", "failed", "cancelled"};
  return names[std::size_t(state)];
}

std::vector<std::pair<std::uint32_t, TaskRequest>> StepRequest::runsOfEqualTasks() const {
  std::vector<std::pair<std::uint32_t, TaskRequest>> runs;
  for (const auto& task : tasks) {
    if (!runs.empty() && runs.back().second == task)
      ++runs.back().first;
    else
      runs.emplace_back(1, task);
  }
  return runs;
}

std::uint32_t JobSubmission::taskCount() const {
  std::size_t count = 0;
  for (const auto& step : steps)
    count += step.tasks.size();
  return std::uint32_t(count);
}

Duration JobSubmission::criticalPath() const {
  // Milliseconds from the start of the job to the end of each step.
  std::vector<std::int64_t> paths(steps.size());
  std::int64_t longest = 0;
  for (std::size_t stepIndex = 0; stepIndex < steps.size(); ++stepIndex) {
    std::int64_t dependenciesEnd = 0;
    for (const auto& dependency : steps[stepIndex].dependencies) {
      for (std::size_t earlier = 0; earlier < stepIndex; ++earlier) {
        if (steps[earlier].name == dependency)
          dependenciesEnd = std::max(dependenciesEnd, paths[earlier]);
      }
    }
    std::int64_t own = 0;
    for (const auto& task : steps[stepIndex].tasks)
      own = std::max(own, task.runtime.milliseconds);
    paths[stepIndex] = dependenciesEnd + own;
    longest = std::max(longest, paths[stepIndex]);
  }
  return Duration{longest};
}

CoreMilliseconds Job::workToStart() const {
  CoreMilliseconds work = 0;
  for (const auto& task : tasks)
    if (task.state == TaskState::blocked || task.state == TaskState::pending)
      work += requestOf(task).work();
  return work;
}

std::size_t Job::taskIndexOf(std::uint32_t stepIndex, std::uint32_t indexInStep) const {
  if (stepIndex >= submission.steps.size() ||
      indexInStep >= submission.steps[stepIndex].tasks.size())
    return tasks.size();
  std::size_t first = 0;
  for (std::uint32_t earlier = 0; earlier < stepIndex; ++earlier)
    first += submission.steps[earlier].tasks.size();
  return first + indexInStep;
}

bool Job::isStepComplete(std::uint32_t stepIndex) const {
  return std::all_of(tasks.begin(), tasks.end(), [&](const Task& task) {
    return task.stepIndex != stepIndex || task.state == TaskState::succeeded;
  });
}

void Job::addTasks() {
  for (std::uint32_t stepIndex = 0; stepIndex < submission.steps.size(); ++stepIndex) {
    const auto count = std::uint32_t(submission.steps[stepIndex].tasks.size());
    for (std::uint32_t indexInStep = 0; indexInStep < count; ++indexInStep) {
      Task task;
      task.stepIndex = stepIndex;
      task.indexInStep = indexInStep;
      tasks.push_back(std::move(task));
    }
  }
}

void Job::releaseReadyTasks(ClusterTime now) {
  if (state != JobState::active || terminating)
    return;
  std::map<std::string_view, bool> complete;  // by step name
  for (std::uint32_t stepIndex = 0; stepIndex < submission.steps.size(); ++stepIndex)
    complete.emplace(submission.steps[stepIndex].name, isStepComplete(stepIndex));
  for (auto& task : tasks) {
    if (task.state != TaskState::blocked)
      continue;
    const auto& dependencies = stepOf(task).dependencies;
    const bool ready =
        std::all_of(dependencies.begin(), dependencies.end(), [&](const std::string& name) {
          auto found = complete.find(name);
          return found != complete.end() && found->second;
        });
    if (!ready)
      continue;
    task.state = TaskState::pending;
    task.readyAt = now;
  }
}

}  // namespace aniseline
