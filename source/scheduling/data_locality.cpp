// Chooses the racks of steps and estimates runtimes on remote workers.
#include "scheduling/data_locality.hpp"
#include "scheduling/worker_eligibility.hpp"

namespace aniseline::scheduling {

namespace {

std::size_t chooseRack(SchedulingContext& context, StepView& step) {
  if (step.chosenRack)
    return *step.chosenRack;
  std::vector<std::optional<std::int64_t>> freeCores(context.rackNames().size());
  for (auto index : eligibleWorkers(context, step).workerIndices) {
    const WorkerView& worker = context.workers()[index];
    // The choice holds for the whole plan, so it does not depend on whether a limit is lifted.
    if (!worker.isAvailable() || worker.hasReachedTaskLimit())
      continue;
    auto& rackCores = freeCores[worker.rackIndex()];
    rackCores = rackCores.value_or(0) + worker.guaranteedFreeCores();
  }
  std::int64_t most = -1;
  step.chosenRack = context.rackIndexOf("");
  for (std::size_t rack = 0; rack < freeCores.size(); ++rack) {
    if (!freeCores[rack] || *freeCores[rack] <= most)
      continue;
    most = *freeCores[rack];
    step.chosenRack = rack;
  }
  return *step.chosenRack;
}

}  // namespace

bool isRemote(SchedulingContext& context, StepView& step, const WorkerView& worker) {
  const StepRequirements& requirements = step.requirements();
  if (!requirements.preferredRack.empty() &&
      !worker.capacity().hasLabel(requirements.preferredRack))
    return true;
  return requirements.sameRack && worker.rackIndex() != chooseRack(context, step);
}

Duration expectedRuntime(SchedulingContext& context, StepView& step, const WorkerView& worker,
                         const TaskRequest& request) {
  if (!isRemote(context, step, worker))
    return request.runtime;
  return Duration{
      std::int64_t(double(request.runtime.milliseconds) * context.options().remoteSlowdown)};
}

}  // namespace aniseline::scheduling
