// Places the tasks of a step on empty workers by best fit.
#include "scheduling/feasibility.hpp"
#include "scheduling/resources.hpp"

namespace aniseline {

namespace {

/// The resources of a worker that runs only the gang being checked.
struct EmptyWorker {
  scheduling::Resources free;
  std::uint32_t members = 0;  // parts of the gang placed here

  void place(const TaskRequest& task) {
    free -= scheduling::resourcesOf(task);
    ++members;
  }
};

// Reports whether any worker of a pool has ever registered. Without one, nothing is known of what
// the pool can hold: its first worker may be on its way.
bool isPoolKnown(const ClusterState& clusterState, const QueueName& name) {
  const auto* queue = clusterState.config().findQueue(name);
  const auto& workers = clusterState.workers();
  return queue && std::any_of(workers.begin(), workers.end(), [&](const auto& entry) {
           return entry.second.capacity.pool == queue->pool;
         });
}

std::vector<EmptyWorker> eligibleWorkers(const ClusterState& clusterState, const JobSubmission& job,
                                         const StepRequest& step) {
  std::vector<EmptyWorker> eligible;
  const auto* queue = clusterState.config().findQueue(job.queue);
  if (!queue)
    return eligible;
  for (const auto& [id, worker] : clusterState.workers()) {
    const Capacity& capacity = worker.capacity;
    if (capacity.pool == queue->pool && capacity.hasLabel(step.requirements.requiredLabel))
      eligible.push_back({scheduling::resourcesOf(capacity)});
  }
  return eligible;
}

/// Returns the worker with the fewest free cores that can hold the task, or null if there is none.
EmptyWorker* bestFit(std::vector<EmptyWorker>& workers, const TaskRequest& task,
                     const StepRequest& step) {
  const std::uint32_t maxPerWorker = step.gang ? step.requirements.maxPerWorker : 0;
  EmptyWorker* best = nullptr;
  for (auto& worker : workers) {
    const bool isFull = maxPerWorker && worker.members >= maxPerWorker;
    const bool fits = worker.free.covers(scheduling::resourcesOf(task));
    if (fits && !isFull && (!best || worker.free.cores < best->free.cores))
      best = &worker;
  }
  return best;
}

}  // namespace

std::optional<std::string> infeasibilityReason(const ClusterState& clusterState,
                                               const JobSubmission& job, const StepRequest& step) {
  const Duration settled = clusterState.now() - clusterState.capacityChangedAt();
  if (!isPoolKnown(clusterState, job.queue) ||
      settled < clusterState.config().planner.capacitySettleTime)
    return std::nullopt;
  auto workers = eligibleWorkers(clusterState, job, step);
  // Places the largest tasks first, each on the smallest worker that can hold it.
  auto tasks = step.tasks;
  std::sort(tasks.begin(), tasks.end(), [](const TaskRequest& left, const TaskRequest& right) {
    return std::tie(left.cores, left.memory) > std::tie(right.cores, right.memory);
  });
  for (const auto& task : tasks) {
    EmptyWorker* worker = bestFit(workers, task, step);
    if (!worker)
      return step.gang ? "no set of known workers could ever hold this gang together"
                       : "no known worker could ever hold a task of this step";
    if (step.gang)
      worker->place(task);
  }
  return std::nullopt;
}

}  // namespace aniseline
