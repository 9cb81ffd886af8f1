// JSON encoding and decoding of job submissions.
#include "base/json_reader.hpp"
#include "state/request_json.hpp"

namespace aniseline {

namespace {

using Presence = JsonObjectReader::Presence;

// Limits on the steps and tasks that are read. They exceed what JobSubmission::validate accepts, so
// an oversized submission is reported as invalid without allocating memory for all of it.
constexpr std::size_t maxStepsRead = 1000;
constexpr std::size_t maxTasksRead = JobSubmission::maxTasks;

class SubmissionReader {
 public:
  explicit SubmissionReader(std::vector<ErrorDetail>& errorList) : errors(errorList) {}
  JobSubmission read(const picojson::value& root);

 private:
  StepRequest readStep(const picojson::value& value, std::size_t stepIndex);
  StepRequirements readRequirements(JsonObjectReader& step);
  void readTasks(const picojson::value& value, const std::string& path,
                 std::vector<TaskRequest>& tasks);
  Timetable readTimetable(const picojson::value& value);

  std::vector<ErrorDetail>& errors;
  std::size_t tasksRead = 0;  // in all steps
};

JobSubmission SubmissionReader::read(const picojson::value& root) {
  JobSubmission job;
  JsonObjectReader fields(root, "", errors);
  job.id = JobId{fields.text("id", Presence::required)};
  job.queue = QueueName{fields.text("queue", Presence::required)};
  job.payload = fields.text("payload");
  if (const auto* steps = fields.list("steps", Presence::required)) {
    for (std::size_t index = 0; index < std::min(steps->size(), maxStepsRead); ++index)
      job.steps.push_back(readStep((*steps)[index], index));
  }
  if (const auto* timetable = fields.find("timetable"))
    job.timetable = readTimetable(*timetable);
  if (errors.empty())
    errors = job.validate();
  return job;
}

StepRequest SubmissionReader::readStep(const picojson::value& value, std::size_t stepIndex) {
  JsonObjectReader step(value, "/steps/" + std::to_string(stepIndex), errors);
  StepRequest request;
  request.name = step.text("name");
  if (request.name.empty())
    request.name = std::to_string(stepIndex);
  request.gang = step.flag("gang");
  request.requirements = readRequirements(step);
  request.dependencies = step.texts("after", "must contain names of steps");
  if (const auto* tasks = step.list("tasks", Presence::required)) {
    for (std::size_t index = 0; index < tasks->size() && tasksRead <= maxTasksRead; ++index)
      readTasks((*tasks)[index], step.pathOf("tasks") + "/" + std::to_string(index), request.tasks);
  }
  return request;
}

StepRequirements SubmissionReader::readRequirements(JsonObjectReader& step) {
  StepRequirements requirements;
  requirements.requiredLabel = step.text("label");
  requirements.preferredRack = step.text("near");
  requirements.maxPerWorker = step.unsignedInteger32("apart", Presence::optional);
  requirements.sameRack = step.flag("same_rack");
  requirements.redundant = step.flag("redundant");
  requirements.longRunning = step.flag("lasts");
  requirements.checkpointed = step.flag("saves");
  return requirements;
}

// Reads one entry of the task list, which represents as many equal tasks as its count.
void SubmissionReader::readTasks(const picojson::value& value, const std::string& path,
                                 std::vector<TaskRequest>& tasks) {
  JsonObjectReader fields(value, path, errors);
  TaskRequest task;
  task.cores = fields.thousandths("cores", Presence::required);
  task.memory = fields.unsignedInteger("memory_mb", Presence::required, 1);
  task.runtime = fields.duration("runtime_ms", Presence::required, 1);
  task.accelerators = fields.unsignedInteger32("accelerators", Presence::optional);
  task.payload = fields.text("payload");
  const auto count = fields.unsignedInteger("count", Presence::optional, 1);
  if (count < 1 || count > maxTasksRead)
    return fields.addError("count", "must be from 1 to 2000");
  for (std::uint64_t copy = 0; copy < count && tasksRead <= maxTasksRead; ++copy) {
    tasks.push_back(task);
    ++tasksRead;
  }
}

Timetable SubmissionReader::readTimetable(const picojson::value& value) {
  JsonObjectReader fields(value, "/timetable", errors);
  Timetable timetable;
  timetable.firstStart = ClusterTime{fields.duration("first_ms", Presence::required).milliseconds};
  if (timetable.firstStart.milliseconds == 0)
    fields.addError("first_ms", "must be a calendar time above 0");
  timetable.interval = fields.duration("every_ms", Presence::optional);
  timetable.count = fields.unsignedInteger32("count", Presence::optional, 1);
  return timetable;
}

picojson::value renderTask(const TaskRequest& task) {
  picojson::object rendered{{"cores", json(task.cores / 1000.0)},
                            {"memory_mb", json(task.memory)},
                            {"runtime_ms", json(task.runtime.milliseconds)}};
  if (!task.payload.empty())
    rendered["payload"] = json(task.payload);
  if (task.accelerators)
    rendered["accelerators"] = json(task.accelerators);
  return json(rendered);
}

void renderRequirements(const StepRequirements& requirements, picojson::object& step) {
  if (!requirements.requiredLabel.empty())
    step["label"] = json(requirements.requiredLabel);
  if (!requirements.preferredRack.empty())
    step["near"] = json(requirements.preferredRack);
  if (requirements.maxPerWorker)
    step["apart"] = json(requirements.maxPerWorker);
  if (requirements.sameRack)
    step["same_rack"] = json(true);
  if (requirements.redundant)
    step["redundant"] = json(true);
  if (requirements.longRunning)
    step["lasts"] = json(true);
  if (requirements.checkpointed)
    step["saves"] = json(true);
}

picojson::value renderStep(const StepRequest& step) {
  picojson::array dependencies;
  for (const auto& dependency : step.dependencies)
    dependencies.push_back(json(dependency));
  picojson::array tasks;
  for (const auto& task : step.tasks)
    tasks.push_back(renderTask(task));
  picojson::object rendered{{"name", json(step.name)},
                            {"gang", json(step.gang)},
                            {"after", json(dependencies)},
                            {"tasks", json(tasks)}};
  renderRequirements(step.requirements, rendered);
  return json(rendered);
}

}  // namespace

JobSubmission parseJobSubmission(const picojson::value& root, std::vector<ErrorDetail>& errors) {
  return SubmissionReader(errors).read(root);
}

std::string renderJobSubmission(const JobSubmission& job) {
  picojson::array steps;
  for (const auto& step : job.steps)
    steps.push_back(renderStep(step));
  picojson::object rendered{
      {"id", json(job.id.value)}, {"queue", json(job.queue.value)}, {"steps", json(steps)}};
  if (!job.payload.empty())
    rendered["payload"] = json(job.payload);
  if (job.hasTimetable())
    rendered["timetable"] =
        json(picojson::object{{"first_ms", json(job.timetable.firstStart.milliseconds)},
                              {"every_ms", json(job.timetable.interval.milliseconds)},
                              {"count", json(job.timetable.count)}});
  return json(rendered).serialize();
}

}  // namespace aniseline
