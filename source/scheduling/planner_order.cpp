// What waits for a start, and in which order. docs/design.md 7.1, 7.8; docs/paper.md 2 and 5.
#include "scheduling/planner_work.hpp"

namespace aniseline {

using namespace planning;

Planner::CompiledPolicy& Planner::PlanBuilder::compiledPolicyOf(const std::string& policy) {
  auto found = planner.compiledPolicies.find(policy);
  return found != planner.compiledPolicies.end() ? found->second
                                                 : planner.compiledPolicies.at("default");
}

// Can the job's aim still be met, by requested runtimes? Under a flood the paper's order makes all
// work a little late; what can be in time goes before what can't. docs/paper.md 5.
void Planner::PlanBuilder::evaluateLatencyTarget(JobView& inPlan) const {
  const Job& job = *inPlan.job;
  const QueueOptions& queue = *inPlan.queue->options;
  if (queue.latencyTargetBase.milliseconds <= 0)
    return;
  const auto& steps = job.submission.steps;
  std::vector<std::int64_t> whole(steps.size()), left(steps.size());
  std::vector<char> open(steps.size());
  for (const auto& task : job.tasks)
    open[task.stepIndex] = open[task.stepIndex] || task.state != TaskState::succeeded;
  std::int64_t longest = 0, longestLeft = 0;
  for (std::size_t step = 0; step < steps.size(); ++step) {
    std::int64_t before = 0, beforeLeft = 0, own = 0;
    for (const auto& name : steps[step].dependencies)
      for (std::size_t other = 0; other < step; ++other)
        if (steps[other].name == name)
          before = std::max(before, whole[other]), beforeLeft = std::max(beforeLeft, left[other]);
    for (const auto& task : steps[step].tasks)
      own = std::max(own, task.runtime.milliseconds);
    whole[step] = before + own;
    left[step] = open[step] ? beforeLeft + own : 0;
    longest = std::max(longest, whole[step]);
    longestLeft = std::max(longestLeft, left[step]);
  }
  const double aim =
      queue.latencyTargetFactor * double(longest) + double(queue.latencyTargetBase.milliseconds);
  const double done = double((now - job.admittedAt).milliseconds + longestLeft);
  inPlan.targetStatus = done <= aim ? 0 : done <= 3 * aim ? 1 : 2;
  inPlan.lowSlack = aim - done < std::max(1500.0, 0.4 * (aim - double(longest)));
}

void Planner::PlanBuilder::collectBatches(JobView& inPlan) {
  const Job& job = *inPlan.job;
  const std::size_t known = batches.size();
  TaskBatch* last = nullptr;
  bool lastReady = true;  // of a gang: are all of its tasks that are not done?
  auto dropUnready = [&] {
    if (last && last->gang && !lastReady)
      batches.pop_back();
    last = nullptr;
  };
  // The tasks of a step stand together.
  for (std::uint32_t place = 0; place < job.tasks.size(); ++place) {
    const Task& task = job.tasks[place];
    if (task.state == TaskState::succeeded)
      continue;
    StepView& step = inPlan.steps[task.stepIndex];
    const bool gang = step.request->gang;
    const bool ready = task.state == TaskState::pending && task.notBefore <= now;
    if (!gang && !ready)
      continue;
    const TaskRequest& request = step.request->tasks[task.indexInStep];
    if (last && last->step != &step)
      dropUnready();
    const bool alike = last && (gang || (last->readyAt == task.readyAt && [&] {
                                  const TaskRequest& other = step.taskRequest(last->tasks[0]);
                                  return other.cores == request.cores &&
                                         other.memory == request.memory &&
                                         other.runtime == request.runtime &&
                                         other.accelerators == request.accelerators;
                                }()));
    if (!alike) {
      last = &batches.emplace_back();
      last->step = &step;
      last->gang = gang;
      lastReady = true;
    }
    lastReady = lastReady && ready;
    if (!ready)
      continue;
    last->tasks.push_back(place);
    last->runtime = std::max(last->runtime, request.runtime);
    last->readyAt = task.readyAt;
  }
  dropUnready();
  if (batches.size() == known)
    return;
  evaluateLatencyTarget(inPlan);
  for (auto place = known; place < batches.size(); ++place)
    computeRank(batches[place]);
}

// Paper 2.2 and table 3: priority is computed anew as units wait.
void Planner::PlanBuilder::computeRank(TaskBatch& batch) {
  const QueueOptions& queue = *batch.step->parent->queue->options;
  PolicyProgram::Inputs inputs;
  inputs.wait = std::max(0.0, (now - batch.readyAt).hours());
  inputs.runtime = batch.runtime.hours();
  inputs.expansion = (inputs.wait + inputs.runtime) / inputs.runtime;
  for (auto task : std::span(batch.tasks).first(batch.gang ? batch.tasks.size() : 1)) {
    const TaskRequest& request = batch.step->taskRequest(task);
    inputs.cores += request.cores / 1000.0;
    inputs.memory += double(request.memory);
    batch.coresPerUnit += request.cores;
  }
  inputs.priority = double(queue.priority);
  inputs.weightWait = clusterState.config().planner.weightWait;
  inputs.weightExpansion = clusterState.config().planner.weightExpansion;
  batch.targetStatus = batch.step->parent->targetStatus;
  batch.lowSlack = batch.step->parent->lowSlack;
  batch.queuePriority = clusterState.config().planner.strictPriority ? queue.priority : 0;
  batch.rank = compiledPolicyOf(queue.policy).rank.evaluate(inputs);
  eligibleWorkers(*batch.step);
}

namespace {

bool goesBefore(const TaskBatch* left, const TaskBatch* right) {
  if ((left->targetStatus == 2) != (right->targetStatus == 2))
    return right->targetStatus == 2;
  if (left->queuePriority != right->queuePriority)
    return left->queuePriority > right->queuePriority;
  if (left->targetStatus != right->targetStatus)
    return left->targetStatus < right->targetStatus;
  if (left->rank != right->rank)
    return left->rank > right->rank;
  if (left->readyAt != right->readyAt)
    return left->readyAt < right->readyAt;
  if (left->step->parent != right->step->parent)
    return left->step->jobId() < right->step->jobId();
  return left->step->index < right->step->index;
}

}  // namespace

void Planner::PlanBuilder::collectUnits() {
  for (const auto& id : clusterState.openJobs())
    if (JobView& job = *jobView(id); job.job->state == JobState::active && !job.job->terminating)
      collectBatches(job);
  std::vector<TaskBatch*> order;
  std::size_t count = 0;
  for (auto& batch : batches) {
    order.push_back(&batch);
    count += batch.gang ? 1 : batch.tasks.size();
  }
  std::sort(order.begin(), order.end(), goesBefore);
  units.reserve(count);
  for (std::size_t place = 0; place < order.size();) {
    // Batches of one step that rank alike take turns by their tasks' places.
    const std::size_t first = units.size(), begun = place;
    do {
      TaskBatch& batch = *order[place];
      if (batch.gang)
        units.push_back({&batch, batch.tasks});
      else
        for (const auto& task : batch.tasks)
          units.push_back({&batch, {&task, 1}});
    } while (++place < order.size() && !goesBefore(order[begun], order[place]));
    if (place - begun > 1)
      std::sort(units.begin() + std::ptrdiff_t(first), units.end(),
                [](const PlacementUnit& left, const PlacementUnit& right) {
                  return left.tasks[0] < right.tasks[0];
                });
  }
}

void Planner::PlanBuilder::measureUrgentDemand() {
  for (const auto& room : workers)
    if (room.schedulable) {
      room.pool->reportsUrgentDemand = true;
      room.pool->schedulableCores += room.cores;
      room.pool->freeCores += std::max<std::int64_t>(0, room.guaranteedFreeCores());
    }
  for (const auto& unit : units)
    if (unit.batch->queuePriority == highestPriority && unit.batch->targetStatus < 2) {
      unit.queue().pool->reportsUrgentDemand = true;
      unit.queue().pool->urgentCoresPending += unit.batch->coresPerUnit;
    }
  for (const auto& [name, pool] : pools)
    if (pool.reportsUrgentDemand)
      plan.urgentDemand[name] = pool.urgentCoresInUse + pool.urgentCoresPending;
}

bool Planner::PlanBuilder::leavesUrgentHeadroom(const PlacementUnit& unit) const {
  const TaskBatch& batch = *unit.batch;
  if (!clusterState.config().planner.strictPriority || batch.queuePriority == highestPriority ||
      (batch.lowSlack && batch.targetStatus < 2))
    return true;
  const PoolView& pool = *unit.queue().pool;
  // Never so that work stands while half of the pool is idle.
  if (!pool.recentUrgentDemand || 5 * pool.freeCores > 2 * pool.schedulableCores)
    return true;
  return pool.freeCores - batch.coresPerUnit >= *pool.recentUrgentDemand - pool.urgentCoresInUse;
}

}  // namespace aniseline
