// Validation rules for submissions that need no cluster state: format, sizes, dependencies.
// docs/api.md 2.
#include "state/job.hpp"

namespace aniseline {

namespace {

constexpr std::size_t maxIdLength = 128;
constexpr std::size_t maxStepNameLength = 64;
constexpr std::uint32_t maxCores = 65'536'000;                   // thousandths of a core
constexpr std::uint64_t maxMemory = 1'000'000'000;               // MB
constexpr std::size_t maxPayload = 4096;                         // bytes
constexpr std::int64_t maxSpan = 366ll * 86'400'000;             // milliseconds: 366 days
constexpr std::int64_t maxCalendarTime = 253'402'300'799'000ll;  // milliseconds: the year 9999
constexpr std::uint32_t maxOccurrences = 10'000;
constexpr std::int64_t minInterval = 100;  // milliseconds

bool hasValidIdLength(const std::string& id) {
  return !id.empty() && id.size() <= maxIdLength;
}

bool hasValidIdCharacters(const std::string& id) {
  return std::all_of(id.begin(), id.end(), [](char character) {
    return std::isalnum((unsigned char)character) || std::strchr("-_.:", character);
  });
}

class SubmissionValidator {
 public:
  explicit SubmissionValidator(const JobSubmission& submission) : job(submission) {}
  std::vector<ErrorDetail> run() {
    checkIdentity();
    checkSteps();
    checkDependencies();
    if (job.hasTimetable())
      checkTimetable();
    return std::move(errors);
  }

 private:
  void addError(std::string path, std::string text) {
    errors.push_back({std::move(path), std::move(text)});
  }
  static std::string pathOfStep(std::size_t stepIndex) {
    return "/steps/" + std::to_string(stepIndex);
  }
  void checkIdentity();
  void checkSteps();
  void checkTask(const TaskRequest& task, const std::string& path);
  void checkDependencies();
  void checkCycles(std::vector<std::set<std::size_t>> dependencies);
  void checkTimetable();

  const JobSubmission& job;
  std::vector<ErrorDetail> errors;
  std::map<std::string, std::size_t> stepIndexes;  // by name
};

void SubmissionValidator::checkIdentity() {
  const std::string& id = job.id.value;
  if (!hasValidIdLength(id))
    addError("/id", "must have 1 to 128 characters");
  if (!hasValidIdCharacters(id))
    addError("/id", "may contain only letters, digits and -_.:");
  if (job.queue.value.empty())
    addError("/queue", "is missing");
}

void SubmissionValidator::checkSteps() {
  if (job.steps.empty() || job.steps.size() > JobSubmission::maxSteps)
    addError("/steps", "must contain 1 to 64 steps");
  std::size_t total = 0;
  for (std::size_t stepIndex = 0; stepIndex < job.steps.size(); ++stepIndex) {
    const auto& step = job.steps[stepIndex];
    const std::string path = pathOfStep(stepIndex);
    if (step.name.empty() || step.name.size() > maxStepNameLength)
      addError(path + "/name", "must have 1 to 64 characters");
    if (!stepIndexes.emplace(step.name, stepIndex).second)
      addError(path + "/name", "is the name of another step");
    if (step.tasks.empty())
      addError(path + "/tasks", "must contain at least one task");
    total += step.tasks.size();
    for (std::size_t index = 0; index < step.tasks.size(); ++index)
      checkTask(step.tasks[index], path + "/tasks/" + std::to_string(index));
  }
  if (total > JobSubmission::maxTasks)
    addError("/steps", "must not contain more than 2000 tasks in total");
}

void SubmissionValidator::checkTask(const TaskRequest& task, const std::string& path) {
  if (task.cores < 1 || task.cores > maxCores)
    addError(path + "/cores", "must be from 0.001 to 65536");
  if (task.memory < 1 || task.memory > maxMemory)
    addError(path + "/memory_mb", "must be from 1 to 1000000000");
  if (task.runtime.milliseconds < 1 || task.runtime.milliseconds > maxSpan)
    addError(path + "/runtime_ms", "must be from 1 ms to 366 days");
  if (task.payload.size() > maxPayload)
    addError(path + "/payload", "must have at most 4096 bytes");
}

void SubmissionValidator::checkDependencies() {
  std::vector<std::set<std::size_t>> dependencies(job.steps.size());
  for (std::size_t stepIndex = 0; stepIndex < job.steps.size(); ++stepIndex) {
    if (job.steps[stepIndex].dependencies.size() > JobSubmission::maxSteps)
      addError(pathOfStep(stepIndex) + "/after", "must not name more than 64 steps");
    for (const auto& name : job.steps[stepIndex].dependencies) {
      auto found = stepIndexes.find(name);
      if (found == stepIndexes.end())
        addError(pathOfStep(stepIndex) + "/after", "names the unknown step " + name);
      else
        dependencies[stepIndex].insert(found->second);
    }
  }
  checkCycles(std::move(dependencies));
}

// Repeatedly removes steps whose dependencies have all been removed. Steps that cannot be removed
// are part of a cycle or depend on one.
void SubmissionValidator::checkCycles(std::vector<std::set<std::size_t>> dependencies) {
  std::set<std::size_t> remaining;
  for (std::size_t stepIndex = 0; stepIndex < dependencies.size(); ++stepIndex)
    remaining.insert(stepIndex);
  for (bool progress = true; progress;) {
    const auto removed = std::erase_if(remaining, [&](std::size_t stepIndex) {
      return std::none_of(dependencies[stepIndex].begin(), dependencies[stepIndex].end(),
                          [&](std::size_t other) { return remaining.count(other) > 0; });
    });
    progress = removed > 0;
  }
  if (!remaining.empty())
    addError(pathOfStep(*remaining.begin()) + "/after", "steps depend on each other in a cycle");
}

void SubmissionValidator::checkTimetable() {
  const Timetable& timetable = job.timetable;
  if (timetable.firstStart.milliseconds > maxCalendarTime)
    addError("/timetable/first_ms", "must not be after the year 9999");
  if (timetable.count < 1 || timetable.count > maxOccurrences)
    addError("/timetable/count", "must be from 1 to 10000");
  if (timetable.count > 1 && timetable.interval.milliseconds < minInterval)
    addError("/timetable/every_ms", "must be at least 100");
  if (timetable.interval.milliseconds > maxSpan)
    addError("/timetable/every_ms", "must be at most 366 days");
}

}  // namespace

bool JobSubmission::isValidId(const JobId& id) {
  return hasValidIdLength(id.value) && hasValidIdCharacters(id.value);
}

std::vector<ErrorDetail> JobSubmission::validate() const {
  return SubmissionValidator(*this).run();
}

}  // namespace aniseline
