// A view of a worker for one plan: its capacity, its allocations, and when these are expected to
// end. SchedulingContext builds one for each worker; policies allocate on it.
#ifndef ANISELINE_SCHEDULING_WORKER_VIEW_HPP
#define ANISELINE_SCHEDULING_WORKER_VIEW_HPP
#include "scheduling/pool_view.hpp"
#include "scheduling/resources.hpp"
#include "scheduling/scheduling_limits.hpp"
#include "state/cluster_state.hpp"
#include <set>

namespace aniseline::scheduling {

/// The resources that one attempt takes on a worker, and its expected end.
struct Allocation {
  const Attempt* attempt = nullptr;  // null if started by this plan
  Resources resources;
  ClusterTime expectedEnd;
  bool suspended = false;           // keeps its memory and accelerators, but uses no cores
  bool isTrialWithVictims = false;  // its victims resume when it ends
};

class WorkerView {
 public:
  /// `emptyAllocations` is an empty list whose memory is reused.
  WorkerView(const Worker& worker, PoolView& pool, std::vector<Allocation> emptyAllocations)
      : record(&worker),
        workerPool(&pool),
        total(resourcesOf(worker.capacity)),
        allocationList(std::move(emptyAllocations)) {}

  const Worker& worker() const { return *record; }
  const WorkerId& id() const { return record->id; }
  const Capacity& capacity() const { return record->capacity; }
  PoolView& pool() const { return *workerPool; }
  const Resources& totalResources() const { return total; }

  /// Returns the index of the worker's rack in SchedulingContext::rackNames().
  std::size_t rackIndex() const { return rack; }
  void setRackIndex(std::size_t index) { rack = index; }

  /// Reports whether this plan may give the worker new work.
  bool isSchedulable() const { return isAvailable() && (!taskLimitReached || taskLimitLifted); }
  /// Reports the same for a worker that may have a penalty and its one task already.
  bool isAvailable() const { return available; }
  void excludeFromNewWork() { available = false; }
  /// Records that a worker with a penalty has the one task that it gets at a time.
  void reachTaskLimit() { taskLimitReached = true; }
  bool hasReachedTaskLimit() const { return taskLimitReached; }
  void setTaskLimitLifted(bool lifted) { taskLimitLifted = lifted; }
  /// Returns the penalty. Workers with a lower one are preferred; a worker gets one task at a time
  /// from failingWorkerPenalty on.
  int penalty() const { return penaltyLevel; }
  void raisePenalty(int level) { penaltyLevel = std::max(penaltyLevel, level); }

  /// Returns the number of jobs whose attempts here take far longer than requested. Jobs are
  /// counted instead of attempts, because one job's estimate may be wrong for all its attempts.
  std::size_t overdueJobCount() const { return overdueJobs.size(); }
  void addOverdueJob(const Job& job) {
    if (std::find(overdueJobs.begin(), overdueJobs.end(), &job) == overdueJobs.end())
      overdueJobs.push_back(&job);
  }

  const std::vector<Allocation>& allocations() const { return allocationList; }
  void allocate(const Allocation& allocation) {
    updateTotals(allocation, 1);
    allocationList.push_back(allocation);
  }
  /// Releases the allocation that was made last.
  void releaseLast() {
    updateTotals(allocationList.back(), -1);
    allocationList.pop_back();
  }
  /// Suspends a running attempt for a trial of the given quantum, which delays its expected end by
  /// that time.
  void suspendForTrial(const Attempt& victim, Duration quantum);
  /// Delays the expected ends of these attempts by the quantum, as a trial that suspends them
  /// would.
  void postpone(const std::vector<const Attempt*>& victims, Duration quantum);
  void markTrialsWithVictims(const std::set<AttemptNumber>& trials);
  /// Empties the list of allocations and returns it, for reuse by a later plan.
  std::vector<Allocation> takeEmptyAllocations() {
    allocationList.clear();
    return std::move(allocationList);
  }

  Resources freeResources() const { return total - used; }
  std::int64_t freeCores() const { return total.cores - used.cores; }
  std::int64_t usedCores() const { return used.cores; }
  /// Returns the cores that stay free when every suspended attempt has resumed, whether or not
  /// anything ends as expected. docs/design.md 7.4.
  std::int64_t guaranteedFreeCores() const {
    return std::min(freeCores(), freeCores() + victimTrialCores - suspendedCores);
  }
  /// Returns the free resources, with only the cores that guaranteedFreeCores() returns.
  Resources guaranteedFree() const {
    Resources free = freeResources();
    free.cores = guaranteedFreeCores();
    return free;
  }
  /// Returns the resources that are free from the given time on if all allocations end as expected;
  /// suspended attempts count as resumed.
  Resources expectedFreeAt(ClusterTime time) const {
    Resources free = total;
    for (const auto& allocation : allocationList) {
      if (allocation.expectedEnd > time)
        free -= allocation.resources;
    }
    return free;
  }

  /// Reports whether the memory suffices for a full allocation. `trialMemory` MB of each worker are
  /// left to trials, unless the request could never be met that way.
  bool memorySuffices(std::int64_t freeMemory, std::int64_t requested,
                      std::int64_t trialMemory) const {
    if (requested <= freeMemory - trialMemory)
      return true;
    return requested > total.memory - trialMemory && requested <= freeMemory;
  }
  /// Reports whether a request fits into the given free resources, now or at some later time.
  bool fitsInto(const Resources& free, const Resources& request, std::int64_t trialMemory) const {
    return free.cores >= request.cores && free.accelerators >= request.accelerators &&
           memorySuffices(free.memory, request.memory, trialMemory);
  }

  /// Returns the resources that the reserved start takes here from its time on. Accelerators are
  /// not held free for it.
  const Resources& reservedResources() const { return reserved; }
  bool hasReservation() const { return reserved.cores != 0; }
  void reserve(const Resources& request) { reserved += request; }

 private:
  void updateTotals(const Allocation& allocation, std::int64_t sign) {
    const Resources& resources = allocation.resources;
    if (allocation.suspended)
      suspendedCores += sign * resources.cores;
    else
      used.cores += sign * resources.cores;
    used.memory += sign * resources.memory;
    used.accelerators += sign * resources.accelerators;
    if (allocation.isTrialWithVictims)
      victimTrialCores += sign * resources.cores;
  }

  const Worker* record;
  PoolView* workerPool;
  Resources total;
  // Sums over the allocations, updated with each change of the allocations.
  Resources used;  // cores without those of suspended attempts
  std::int64_t suspendedCores = 0;
  std::int64_t victimTrialCores = 0;  // of trials that have victims
  Resources reserved;
  std::size_t rack = 0;
  int penaltyLevel = 0;
  bool available = true;
  bool taskLimitReached = false;
  bool taskLimitLifted = false;
  std::vector<Allocation> allocationList;
  std::vector<const Job*> overdueJobs;
};

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_WORKER_VIEW_HPP
