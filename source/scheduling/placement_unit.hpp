// Placement units: the planner starts work in units of one pending task or one whole gang.
// docs/design.md 7.1.
#ifndef ANISELINE_SCHEDULING_PLACEMENT_UNIT_HPP
#define ANISELINE_SCHEDULING_PLACEMENT_UNIT_HPP
#include "scheduling/job_view.hpp"
#include "scheduling/latency_target.hpp"
#include "scheduling/resources.hpp"
#include <limits>
#include <span>

namespace aniseline::scheduling {

/// Pending tasks of one step that differ only in the worker to avoid, or one whole gang. A result
/// for one unit of a batch also holds for its other units.
struct TaskBatch {
  StepView* step = nullptr;
  bool gang = false;
  std::vector<std::uint32_t> tasks;
  Duration runtime;  // requested; for a gang, the longest of its parts
  ClusterTime readyAt;
  double rank = 0;  // computed by the queue's policy, by default the paper's priority
  LatencyTargetAssessment latencyTarget;
  std::int64_t queuePriority = 0;       // 0 unless the config has strict priority
  std::int64_t coresPerUnit = 0;        // thousandths of a core; for a gang, of all its parts
  Resources unitTotal;                  // requested; for a gang, by all its parts
  Resources smallestPart;               // the smallest request of any part, per resource
  CoreMilliseconds jobWorkToStart = 0;  // for the whole job; set only with a latency target
  // Failures found for one unit of the batch in this plan. They hold for its other units too,
  // because free resources only shrink while a plan is made.
  bool startFailed = false;
  bool localStartFailed = false;
  bool reservationFailed = false;
  bool backfillFailed = false;
  bool doubleFitFailed = false;
};

struct PlacementUnit {
  TaskBatch* batch = nullptr;
  std::span<const std::uint32_t> tasks;  // indices in Job::tasks; for a gang, all its parts

  bool isGang() const { return batch->gang; }
  StepView& step() const { return *batch->step; }
  const StepRequirements& requirements() const { return batch->step->requirements(); }
  const QueueView& queue() const { return *batch->step->parent->queue; }
  const Task& task(std::uint32_t taskIndex) const { return batch->step->job().tasks[taskIndex]; }
  const TaskRequest& request(std::uint32_t taskIndex) const {
    return batch->step->taskRequest(taskIndex);
  }
  /// Returns the shape under which a failed placement is recorded. `memoryLimit` is in MB.
  RequestShape requestShape(std::int64_t memoryLimit, Duration runtime) const {
    if (isGang())
      return {0, 0, runtime};
    const TaskRequest& only = request(tasks[0]);
    return {only.cores, std::min(std::int64_t(only.memory), memoryLimit), runtime};
  }
  /// Returns the tasks in descending order of cores, so that a gang is not blocked by its own small
  /// parts.
  std::vector<std::uint32_t> tasksByDescendingCores() const {
    std::vector<std::uint32_t> sorted(tasks.begin(), tasks.end());
    std::stable_sort(sorted.begin(), sorted.end(), [&](auto left, auto right) {
      return request(left).cores > request(right).cores;
    });
    return sorted;
  }
};

/// Reports whether the unit fits under its tenant's cap.
inline bool fitsTenantCap(const PlacementUnit& unit) {
  const TenantUsage* tenant = unit.step().parent->tenant;
  return !tenant || tenant->admits(unit.batch->unitTotal, unit.batch->smallestPart);
}

/// The smallest request of any part of a gang, per resource. The number of such requests that would
/// fit is an upper bound on the number of parts that fit.
class MinimumRequest {
 public:
  explicit MinimumRequest(const PlacementUnit& unit) : partCount(std::int64_t(unit.tasks.size())) {
    minimum.cores = minimum.memory = minimum.accelerators =
        std::numeric_limits<std::int64_t>::max();
    for (auto part : unit.tasks) {
      const Resources request = resourcesOf(unit.request(part));
      minimum.cores = std::min(minimum.cores, request.cores);
      minimum.memory = std::min(minimum.memory, request.memory);
      minimum.accelerators = std::min(minimum.accelerators, request.accelerators);
    }
  }
  /// Returns an upper bound on the number of parts that fit into the given free resources of the
  /// worker.
  std::int64_t slots(const Resources& free, const StepView& step, std::size_t workerIndex) const {
    return slotsUpTo(partCount, free, step, workerIndex);
  }
  /// Like slots(), but limited to the given number instead of the number of parts.
  std::int64_t slotsUpTo(std::int64_t wanted, const Resources& free, const StepView& step,
                         std::size_t workerIndex) const {
    std::int64_t slots = wanted;
    if (minimum.cores > 0)
      slots = std::min(slots, free.cores / minimum.cores);
    if (minimum.memory > 0)
      slots = std::min(slots, free.memory / minimum.memory);
    if (minimum.accelerators > 0)
      slots = std::min(slots, free.accelerators / minimum.accelerators);
    if (const std::int64_t limit = step.requirements().maxPerWorker)
      slots = std::min(slots, limit - std::int64_t(step.tasksOn(workerIndex)));
    return std::max<std::int64_t>(0, slots);
  }

 private:
  Resources minimum;
  std::int64_t partCount;
};

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_PLACEMENT_UNIT_HPP
