// What waits for a start, and in which order. docs/design.md 7.1, 7.8; docs/paper.md 2 and 5.
#include "scheduling/planner_work.hpp"

namespace aniseline {

using namespace planning;

Planner::Programs& Planner::Work::programsOf(const std::string& policy) {
  auto found = planner.programs.find(policy);
  return found != planner.programs.end() ? found->second : planner.programs.at("default");
}

// Can the job's aim still be met, by requested runtimes? Under a flood the paper's order makes all
// work a little late; what can be in time goes before what can't. docs/paper.md 5.
void Planner::Work::weighAim(JobInPlan& inPlan) const {
  const Job& job = *inPlan.job;
  const QueueOptions& queue = *inPlan.queue->options;
  if (queue.target.milliseconds <= 0)
    return;
  const auto& steps = job.submission.steps;
  std::vector<std::int64_t> whole(steps.size()), left(steps.size());
  std::vector<char> open(steps.size());
  for (const auto& task : job.tasks)
    open[task.step] = open[task.step] || task.state != TaskState::done;
  std::int64_t longest = 0, longestLeft = 0;
  for (std::size_t step = 0; step < steps.size(); ++step) {
    std::int64_t before = 0, beforeLeft = 0, own = 0;
    for (const auto& name : steps[step].after)
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
  const double aim = queue.extend * double(longest) + double(queue.target.milliseconds);
  const double done = double((now - job.allowedAt).milliseconds + longestLeft);
  inPlan.standing = done <= aim ? 0 : done <= 3 * aim ? 1 : 2;
  inPlan.pressed = aim - done < std::max(1500.0, 0.4 * (aim - double(longest)));
}

void Planner::Work::collectBatches(JobInPlan& inPlan) {
  const Job& job = *inPlan.job;
  const std::size_t known = batches.size();
  Batch* last = nullptr;
  bool lastReady = true;  // of a gang: are all of its tasks that are not done?
  auto dropUnready = [&] {
    if (last && last->gang && !lastReady)
      batches.pop_back();
    last = nullptr;
  };
  // The tasks of a step stand together.
  for (std::uint32_t place = 0; place < job.tasks.size(); ++place) {
    const Task& task = job.tasks[place];
    if (task.state == TaskState::done)
      continue;
    StepInPlan& step = inPlan.steps[task.step];
    const bool gang = step.request->gang;
    const bool ready = task.state == TaskState::waiting && task.notBefore <= now;
    if (!gang && !ready)
      continue;
    const TaskRequest& request = step.request->tasks[task.within];
    if (last && last->step != &step)
      dropUnready();
    const bool alike = last && (gang || (last->readyAt == task.readyAt && [&] {
                                  const TaskRequest& other = step.requestOf(last->tasks[0]);
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
  weighAim(inPlan);
  for (auto place = known; place < batches.size(); ++place)
    rank(batches[place]);
}

// Paper 2.2 and table 3: priority is computed anew as units wait.
void Planner::Work::rank(Batch& batch) {
  const QueueOptions& queue = *batch.step->of->queue->options;
  PolicyProgram::Inputs inputs;
  inputs.wait = std::max(0.0, (now - batch.readyAt).hours());
  inputs.runtime = batch.runtime.hours();
  inputs.expansion = (inputs.wait + inputs.runtime) / inputs.runtime;
  for (auto task : std::span(batch.tasks).first(batch.gang ? batch.tasks.size() : 1)) {
    const TaskRequest& request = batch.step->requestOf(task);
    inputs.cores += request.cores / 1000.0;
    inputs.memory += double(request.memory);
    batch.cores += request.cores;
  }
  inputs.urgency = double(queue.urgency);
  inputs.weightWait = clusterState.config.planner.weightWait;
  inputs.weightExpansion = clusterState.config.planner.weightExpansion;
  batch.standing = batch.step->of->standing;
  batch.pressed = batch.step->of->pressed;
  batch.urgency = clusterState.config.planner.urgencyFirst ? queue.urgency : 0;
  batch.priority = programsOf(queue.policy).rank.evaluate(inputs);
  suitingOf(*batch.step);
}

namespace {

bool goesBefore(const Batch* left, const Batch* right) {
  if ((left->standing == 2) != (right->standing == 2))
    return right->standing == 2;
  if (left->urgency != right->urgency)
    return left->urgency > right->urgency;
  if (left->standing != right->standing)
    return left->standing < right->standing;
  if (left->priority != right->priority)
    return left->priority > right->priority;
  if (left->readyAt != right->readyAt)
    return left->readyAt < right->readyAt;
  if (left->step->of != right->step->of)
    return left->step->id() < right->step->id();
  return left->step->number < right->step->number;
}

}  // namespace

void Planner::Work::collectUnits() {
  for (const auto& id : clusterState.open)
    if (JobInPlan& job = *jobInPlan(id); job.job->state == JobState::open && !job.job->ending)
      collectBatches(job);
  std::vector<Batch*> order;
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
      Batch& batch = *order[place];
      if (batch.gang)
        units.push_back({&batch, batch.tasks});
      else
        for (const auto& task : batch.tasks)
          units.push_back({&batch, {&task, 1}});
    } while (++place < order.size() && !goesBefore(order[begun], order[place]));
    if (place - begun > 1)
      std::sort(units.begin() + std::ptrdiff_t(first), units.end(),
                [](const Unit& left, const Unit& right) { return left.tasks[0] < right.tasks[0]; });
  }
}

void Planner::Work::weighPools() {
  for (const auto& room : rooms)
    if (room.usable) {
      room.pool->weighed = true;
      room.pool->cores += room.cores;
      room.pool->free += std::max<std::int64_t>(0, room.safeCores());
    }
  for (const auto& unit : units)
    if (unit.batch->urgency == mostUrgent && unit.batch->standing < 2) {
      unit.queue().pool->weighed = true;
      unit.queue().pool->urgentWanted += unit.batch->cores;
    }
  for (const auto& [name, pool] : pools)
    if (pool.weighed)
      plan.urgentDemand[name] = pool.urgentUsed + pool.urgentWanted;
}

bool Planner::Work::leavesUrgentRoom(const Unit& unit) const {
  const Batch& batch = *unit.batch;
  if (!clusterState.config.planner.urgencyFirst || batch.urgency == mostUrgent ||
      (batch.pressed && batch.standing < 2))
    return true;
  const PoolInPlan& pool = *unit.queue().pool;
  // Never so that work stands while half of the pool is idle.
  if (!pool.demand || 5 * pool.free > 2 * pool.cores)
    return true;
  return pool.free - batch.cores >= *pool.demand - pool.urgentUsed;
}

}  // namespace aniseline
