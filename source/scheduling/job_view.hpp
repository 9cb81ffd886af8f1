// Views of jobs, their steps and their queues for one plan. SchedulingContext builds a view of each
// job that has attempts or pending tasks.
#ifndef ANISELINE_SCHEDULING_JOB_VIEW_HPP
#define ANISELINE_SCHEDULING_JOB_VIEW_HPP
#include "scheduling/pool_view.hpp"
#include "scheduling/tenant_usage.hpp"
#include "state/cluster_state.hpp"

namespace aniseline::scheduling {

/// The index that stands for no worker or no rack.
inline constexpr std::size_t noIndex = std::size_t(-1);

struct QueueView {
  const QueueOptions* options = nullptr;
  PoolView* pool = nullptr;
};

struct JobView;

struct StepView {
  JobView* parent = nullptr;
  std::uint32_t index = 0;
  const StepRequest* request = nullptr;
  EligibleWorkers* eligible = nullptr;       // set by eligibleWorkers()
  std::vector<std::uint32_t> tasksByWorker;  // only for steps with maxPerWorker; may be empty
  std::optional<std::size_t> chosenRack;     // for a step with sameRack: its rack index, or noIndex

  const StepRequirements& requirements() const { return request->requirements; }
  const Job& job() const;
  const JobId& jobId() const { return job().submission.id; }
  const TaskRequest& taskRequest(std::uint32_t taskIndex) const {
    return request->tasks[job().tasks[taskIndex].indexInStep];
  }

  std::uint32_t tasksOn(std::size_t workerIndex) const {
    return tasksByWorker.empty() ? 0 : tasksByWorker[workerIndex];
  }
  /// Reports whether maxPerWorker admits another task of the step on that worker.
  bool admitsTaskOn(std::size_t workerIndex) const {
    const std::uint32_t limit = requirements().maxPerWorker;
    return limit == 0 || tasksOn(workerIndex) < limit;
  }
  void addTaskOn(std::size_t workerIndex, std::size_t workerCount) {
    if (!requirements().maxPerWorker)
      return;
    tasksByWorker.resize(workerCount);
    ++tasksByWorker[workerIndex];
  }
  void removeTaskFrom(std::size_t workerIndex) {
    if (requirements().maxPerWorker)
      --tasksByWorker[workerIndex];
  }
};

struct JobView {
  const Job* job = nullptr;
  QueueView* queue = nullptr;
  TenantUsage* tenant = nullptr;  // null if no tenant cap applies
  std::vector<StepView> steps;
};

inline const Job& StepView::job() const {
  return *parent->job;
}

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_JOB_VIEW_HPP
