#include "state/job.hpp"

namespace aniseline {

const char* name(TaskState state) {
  static const char* const names[] = {"blocked", "waiting", "placed", "done", "failed", "stopped"};
  return names[std::size_t(state)];
}
const char* name(JobState state) {
  static const char* const names[] = {"timed",    "open",   "cancelling",
                                      "finished", "failed", "cancelled"};
  return names[std::size_t(state)];
}

Duration JobSubmission::criticalPath() const {
  std::vector<std::int64_t> chains(steps.size());
  std::int64_t longest = 0;
  for (std::size_t step = 0; step < steps.size(); ++step) {
    std::int64_t before = 0, own = 0;
    for (const auto& name : steps[step].dependencies)
      for (std::size_t other = 0; other < step; ++other)
        if (steps[other].name == name)
          before = std::max(before, chains[other]);
    for (const auto& task : steps[step].tasks)
      own = std::max(own, task.runtime.milliseconds);
    chains[step] = before + own;
    longest = std::max(longest, chains[step]);
  }
  return Duration{longest};
}

std::vector<ErrorDetail> JobSubmission::validate() const {
  std::vector<ErrorDetail> faults;
  auto fault = [&](std::string path, std::string text) {
    faults.push_back({std::move(path), std::move(text)});
  };
  if (id.value.empty() || id.value.size() > 128)
    fault("/id", "holds 1 to 128 characters");
  for (char letter : id.value)
    if (!(std::isalnum((unsigned char)letter) || std::strchr("-_.:", letter))) {
      fault("/id", "may hold letters, digits and -_.: only");
      break;
    }
  if (queue.value.empty())
    fault("/queue", "is missing");
  if (steps.empty() || steps.size() > 64)
    fault("/steps", "must hold 1 to 64 steps");
  std::map<std::string, std::size_t> places;
  std::size_t total = 0;
  for (std::size_t place = 0; place < steps.size(); ++place) {
    const auto& step = steps[place];
    const std::string path = "/steps/" + std::to_string(place);
    if (step.name.empty() || step.name.size() > 64)
      fault(path + "/name", "holds 1 to 64 characters");
    if (!places.emplace(step.name, place).second)
      fault(path + "/name", "stands twice");
    if (step.tasks.empty())
      fault(path + "/tasks", "must hold at least one task");
    total += step.tasks.size();
    for (std::size_t within = 0; within < step.tasks.size(); ++within) {
      const auto& task = step.tasks[within];
      const std::string taskPath = path + "/tasks/" + std::to_string(within);
      if (task.cores < 1 || task.cores > 65'536'000)
        fault(taskPath + "/cores", "must be from 0.001 to 65536");
      if (task.memory < 1 || task.memory > 1'000'000'000)
        fault(taskPath + "/memory_mb", "must be from 1 to 1000000000");
      if (task.runtime.milliseconds < 1 || task.runtime.milliseconds > 366ll * 86'400'000)
        fault(taskPath + "/runtime_ms", "must be from 1 ms to 366 days");
      if (task.payload.size() > 4096)
        fault(taskPath + "/payload", "holds at most 4096 bytes");
    }
  }
  if (total > 2000)
    fault("/steps", "hold more than 2000 tasks together");
  // Cycles: take away steps whose predecessors are all gone until none is left or none can go.
  std::vector<std::set<std::size_t>> before(steps.size());
  for (std::size_t place = 0; place < steps.size(); ++place)
    for (const auto& name : steps[place].dependencies) {
      auto found = places.find(name);
      if (found == places.end())
        fault("/steps/" + std::to_string(place) + "/after", "names the unknown step " + name);
      else
        before[place].insert(found->second);
    }
  std::set<std::size_t> left;
  for (std::size_t place = 0; place < steps.size(); ++place)
    left.insert(place);
  for (bool moved = true; moved;) {
    moved = false;
    for (auto place = left.begin(); place != left.end();) {
      const bool free = std::none_of(before[*place].begin(), before[*place].end(),
                                     [&](auto other) { return left.count(other); });
      if (free)
        moved = true;
      place = free ? left.erase(place) : std::next(place);
    }
  }
  if (!left.empty())
    fault("/steps/" + std::to_string(*left.begin()) + "/after",
          "steps wait on each other in a circle");
  if (hasTimetable()) {
    if (timetable.firstStart.milliseconds > 253402300799000ll)
      fault("/timetable/first_ms", "is beyond the calendar");
    if (timetable.count < 1 || timetable.count > 10'000)
      fault("/timetable/count", "must be from 1 to 10000");
    if (timetable.count > 1 && timetable.interval.milliseconds < 100)
      fault("/timetable/every_ms", "must be at least 100");
    if (timetable.interval.milliseconds > 366ll * 86'400'000)
      fault("/timetable/every_ms", "must be at most 366 days");
  }
  return faults;
}

std::size_t Job::taskIndexOf(std::uint32_t step, std::uint32_t within) const {
  if (step >= submission.steps.size() || within >= submission.steps[step].tasks.size())
    return tasks.size();
  std::size_t first = 0;
  for (std::uint32_t before = 0; before < step; ++before)
    first += submission.steps[before].tasks.size();
  return first + within;
}

bool Job::isStepComplete(std::uint32_t step) const {
  return std::all_of(tasks.begin(), tasks.end(), [&](const Task& task) {
    return task.stepIndex != step || task.state == TaskState::succeeded;
  });
}

void Job::releaseReadyTasks(ClusterTime now) {
  if (state != JobState::active || terminating)
    return;
  std::vector<char> done(submission.steps.size());
  for (std::size_t step = 0; step < done.size(); ++step)
    done[step] = isStepComplete(std::uint32_t(step));
  for (auto& task : tasks) {
    if (task.state != TaskState::blocked)
      continue;
    const auto& after = submission.steps[task.stepIndex].dependencies;
    const bool ready = std::all_of(after.begin(), after.end(), [&](const std::string& name) {
      for (std::size_t step = 0; step < done.size(); ++step)
        if (submission.steps[step].name == name)
          return bool(done[step]);
      return false;
    });
    if (ready) {
      task.state = TaskState::pending;
      task.readyAt = now;
    }
  }
}

}  // namespace aniseline
