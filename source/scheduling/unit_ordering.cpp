// Groups pending tasks into batches, ranks the batches and sorts their units.
#include "scheduling/unit_ordering.hpp"
#include "scheduling/shortest_remaining_work.hpp"
#include "scheduling/worker_eligibility.hpp"

namespace aniseline::scheduling {

namespace {

bool sameRequest(const TaskRequest& left, const TaskRequest& right) {
  return left.cores == right.cores && left.memory == right.memory &&
         left.runtime == right.runtime && left.accelerators == right.accelerators;
}

// Groups the pending tasks of one job into batches. Tasks must be added in the order of the job,
// where the tasks of a step are contiguous.
class BatchCollector {
 public:
  BatchCollector(std::deque<TaskBatch>& batches, ClusterTime now) : batches(batches), now(now) {}

  void add(StepView& step, std::uint32_t taskIndex) {
    const Task& task = step.job().tasks[taskIndex];
    if (task.state == TaskState::succeeded)
      return;
    const bool gang = step.request->gang;
    const bool ready = task.state == TaskState::pending && task.notBefore <= now;
    if (!gang && !ready)
      return;
    if (current && current->step != &step)
      finish();
    if (!continuesCurrent(step, task)) {
      current = &batches.emplace_back();
      current->step = &step;
      current->gang = gang;
      allPartsReady = true;
    }
    allPartsReady = allPartsReady && ready;
    if (!ready)
      return;
    current->tasks.push_back(taskIndex);
    current->runtime = std::max(current->runtime, step.request->tasks[task.indexInStep].runtime);
    current->readyAt = task.readyAt;
  }
  // Completes the current batch, and drops it if it is a gang with a part that is not ready. Must
  // also be called after the last task.
  void finish() {
    if (current && current->gang && !allPartsReady)
      batches.pop_back();
    current = nullptr;
  }

 private:
  bool continuesCurrent(const StepView& step, const Task& task) const {
    if (!current)
      return false;
    if (current->gang)
      return true;
    return current->readyAt == task.readyAt &&
           sameRequest(step.taskRequest(current->tasks[0]), step.request->tasks[task.indexInStep]);
  }

  std::deque<TaskBatch>& batches;
  ClusterTime now;
  TaskBatch* current = nullptr;
  bool allPartsReady = true;  // of the current gang, except succeeded parts
};

// Orders batches by these keys: expired work last regardless of its queue, then queue priority
// where the config has strict priority, then target status, then rank. Ties go to the earlier ready
// time, then to the lower job id. docs/paper.md 2 and 5.
bool goesBefore(const TaskBatch* left, const TaskBatch* right) {
  const TargetStatus leftStatus = left->latencyTarget.status;
  const TargetStatus rightStatus = right->latencyTarget.status;
  if ((leftStatus == TargetStatus::expired) != (rightStatus == TargetStatus::expired))
    return rightStatus == TargetStatus::expired;
  if (left->queuePriority != right->queuePriority)
    return left->queuePriority > right->queuePriority;
  if (leftStatus != rightStatus)
    return leftStatus < rightStatus;
  if (left->rank != right->rank)
    return left->rank > right->rank;
  if (left->readyAt != right->readyAt)
    return left->readyAt < right->readyAt;
  if (left->step->parent != right->step->parent)
    return left->step->jobId() < right->step->jobId();
  return left->step->index < right->step->index;
}

void appendUnits(TaskBatch& batch, std::vector<PlacementUnit>& units) {
  if (batch.gang) {
    units.push_back({&batch, batch.tasks});
    return;
  }
  for (const auto& task : batch.tasks)
    units.push_back({&batch, {&task, 1}});
}

}  // namespace

const std::vector<PlacementUnit>& UnitOrdering::collect() {
  for (const auto& id : context.clusterState().openJobs()) {
    JobView& job = *context.jobView(id);
    if (job.job->state == JobState::active && !job.job->terminating)
      collectBatches(job);
  }
  orderUnits();
  return units;
}

void UnitOrdering::collectBatches(JobView& job) {
  const std::size_t first = batches.size();
  BatchCollector collector(batches, context.now());
  const auto& tasks = job.job->tasks;
  for (std::uint32_t taskIndex = 0; taskIndex < tasks.size(); ++taskIndex)
    collector.add(job.steps[tasks[taskIndex].stepIndex], taskIndex);
  collector.finish();
  if (batches.size() == first)
    return;
  const auto latencyTarget = context.isOn(Policy::latencyOrder)
                                 ? assessLatencyTarget(*job.job, *job.queue->options, context.now())
                                 : LatencyTargetAssessment{};
  const bool ordersByWork = job.queue->options->hasLatencyTarget();
  const CoreMilliseconds workToStart = ordersByWork ? job.job->workToStart() : 0;
  for (std::size_t index = first; index < batches.size(); ++index) {
    batches[index].latencyTarget = latencyTarget;
    batches[index].jobWorkToStart = workToStart;
    rank(batches[index]);
    eligibleWorkers(context, *batches[index].step);
  }
}

// Paper 2.2 and table 3: the rank grows with the wait, so it is computed anew for each plan.
void UnitOrdering::rank(TaskBatch& batch) const {
  const QueueOptions& queue = *batch.step->parent->queue->options;
  const PlannerOptions& options = context.options();
  PolicyProgram::Inputs inputs;
  inputs.wait = std::max(0.0, (context.now() - batch.readyAt).hours());
  inputs.runtime = batch.runtime.hours();
  inputs.expansion = (inputs.wait + inputs.runtime) / inputs.runtime;
  const std::size_t tasksPerUnit = batch.gang ? batch.tasks.size() : 1;
  for (auto task : std::span(batch.tasks).first(tasksPerUnit)) {
    const TaskRequest& request = batch.step->taskRequest(task);
    inputs.cores += request.cores / 1000.0;
    inputs.memory += double(request.memory);
    batch.coresPerUnit += request.cores;
    const Resources part = resourcesOf(request);
    batch.smallestPart = task == batch.tasks.front() ? part : leastOf(batch.smallestPart, part);
    batch.unitTotal += part;
  }
  inputs.priority = double(queue.priority);
  inputs.weightWait = options.weightWait;
  inputs.weightExpansion = options.weightExpansion;
  batch.queuePriority = options.strictPriority ? queue.priority : 0;
  batch.rank = policies.find(queue.policy).rank.evaluate(inputs);
}

void UnitOrdering::orderUnits() {
  std::vector<TaskBatch*> order;
  std::size_t unitCount = 0;
  for (auto& batch : batches) {
    order.push_back(&batch);
    unitCount += batch.gang ? 1 : batch.tasks.size();
  }
  std::sort(order.begin(), order.end(), goesBefore);
  units.reserve(unitCount);
  for (std::size_t index = 0; index < order.size();) {
    // Units of equally ranked batches of one step are sorted by their task indices.
    const std::size_t firstBatch = index;
    const auto firstUnit = std::ptrdiff_t(units.size());
    do {
      appendUnits(*order[index], units);
      ++index;
    } while (index < order.size() && !goesBefore(order[firstBatch], order[index]));
    if (index - firstBatch > 1)
      std::sort(units.begin() + firstUnit, units.end(),
                [](const PlacementUnit& left, const PlacementUnit& right) {
                  return left.tasks[0] < right.tasks[0];
                });
  }
  if (context.isOn(Policy::shortestRemainingWork))
    orderByRemainingWork(units);
}

}  // namespace aniseline::scheduling
