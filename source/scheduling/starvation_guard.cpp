// Finds units that are passed over although they fit, and starts the overdue ones.
#include "scheduling/starvation_guard.hpp"

namespace aniseline::scheduling {

namespace {

// A unit must fit this many times, because room for just one may be taken by work that is already
// on its way.
constexpr std::int64_t requiredCopies = 2;
// A pool has room while less than this part of its cores is in use: one half.
constexpr std::int64_t roomyPoolDenominator = 2;

bool isLongRunning(const PlacementUnit& unit) {
  return unit.requirements().longRunning && !unit.isGang();
}

PassedOverUnit passedOverUnitOf(const PlacementUnit& unit) {
  if (isLongRunning(unit))
    return {unit.step().jobId(), unit.tasks.front()};
  return {unit.step().jobId(), std::nullopt};
}

}  // namespace

StarvationGuard::TaskLimitLift::TaskLimitLift(SchedulingContext& context) : context(context) {
  struct Cores {
    std::int64_t used = 0;
    std::int64_t total = 0;
  };
  std::map<const PoolView*, Cores> coresByPool;
  for (const auto& worker : context.workers()) {
    if (!worker.isAvailable())
      continue;
    Cores& cores = coresByPool[&worker.pool()];
    cores.used += worker.usedCores();
    cores.total += worker.totalResources().cores;
  }
  for (auto& worker : context.workers()) {
    const Cores& cores = coresByPool[&worker.pool()];
    worker.setTaskLimitLifted(cores.used * roomyPoolDenominator < cores.total);
  }
}

StarvationGuard::TaskLimitLift::~TaskLimitLift() {
  for (auto& worker : context.workers())
    worker.setTaskLimitLifted(false);
}

std::set<const PlacementUnit*> StarvationGuard::startOverdue(
    const std::vector<const PlacementUnit*>& waiting) {
  std::set<const PlacementUnit*> started;
  if (hints.maxPassedOverTime.milliseconds <= 0 || !context.isOn(Policy::boundedWaiting))
    return started;
  const TaskLimitLift lift(context);
  std::set<PassedOverUnit> passedOver;
  for (const PlacementUnit* unit : waiting) {
    const PassedOverUnit key = passedOverUnitOf(*unit);
    if (!fitsTenantCap(*unit) || unit->batch->doubleFitFailed || passedOver.count(key) ||
        !mayStarve(*unit) || !fitsTwice(*unit))
      continue;
    if (isOverdue(key) && starts.tryStart(*unit)) {
      recordStart(*unit);
      started.insert(unit);
      draft.explain(*unit, "starts after it was passed over for too long");
      continue;
    }
    passedOver.insert(key);
  }
  draft.plan().passedOver.assign(passedOver.begin(), passedOver.end());
  return started;
}

// Reports whether the unit may starve. A job with an attempt, or with a start in this plan, makes
// progress; a long-running task may starve all the same.
bool StarvationGuard::mayStarve(const PlacementUnit& unit) const {
  if (isLongRunning(unit))
    return true;
  const JobId& job = unit.step().jobId();
  return !startedJobs.count(job) &&
         !context.clusterState().hasAttemptOf(job, AttemptScope::withoutAbandoned);
}

bool StarvationGuard::fitsTwice(const PlacementUnit& unit) const {
  bool& lacksRoom = unit.batch->doubleFitFailed;
  lacksRoom = lacksRoom || !computeFitsTwice(unit);
  return !lacksRoom;
}

bool StarvationGuard::computeFitsTwice(const PlacementUnit& unit) const {
  const MinimumRequest minimum(unit);
  const std::int64_t needed = requiredCopies * std::int64_t(unit.tasks.size());
  std::int64_t slots = 0;
  for (auto index : unit.step().eligible->workerIndices) {
    const WorkerView& worker = context.workers()[index];
    if (worker.isSchedulable())
      slots += minimum.slotsUpTo(needed, worker.guaranteedFree(), unit.step(), index);
    if (slots >= needed)
      return true;
  }
  return false;
}

bool StarvationGuard::isOverdue(const PassedOverUnit& unit) const {
  const auto found = hints.passedOverFor.find(unit);
  return found != hints.passedOverFor.end() && found->second >= hints.maxPassedOverTime;
}

}  // namespace aniseline::scheduling
