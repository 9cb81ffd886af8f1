// Chooses workers for immediate starts and adds the start actions to the plan.
#include "scheduling/immediate_starts.hpp"
#include "scheduling/data_locality.hpp"
#include "scheduling/worker_eligibility.hpp"

namespace aniseline::scheduling {

namespace {

// Rack criteria that break ties of the paper's best fit; larger values are less preferred.
// docs/paper.md 2.
enum class RackPreference {
  neutral,
  newToGang,      // a gang uses few racks, so that a rack failure affects fewer gangs
  failedOnBefore  // a retry avoids the rack on which the task failed
};

// Sort key of a candidate worker: the smallest key is chosen, and of equal ones the first.
struct FitKey {
  int penalty = 0;
  bool remote = false;
  std::int64_t rackLoad = 0;
  std::int64_t freeCores = 0;
  RackPreference rackPreference = RackPreference::neutral;
  auto operator<=>(const FitKey&) const = default;
};

// The worker and rack where a task failed last; noIndex if it has not failed.
struct AvoidedLocation {
  std::size_t workerIndex = noIndex;
  std::size_t rackIndex = noIndex;

  AvoidedLocation(const SchedulingContext& context, const WorkerId& avoided) {
    if (avoided.value.empty())
      return;
    workerIndex = context.workerIndexOf(avoided);
    rackIndex = context.rackOfWorker(avoided);
  }
};

// Rack loads are measured in this many parts of the rack's cores.
constexpr std::int64_t rackLoadScale = 100;

// The load of each rack. It is computed only if remote data or tasks on several racks slow steps
// down, and only for work that may run on any rack. Such work is spread over the racks, which
// leaves room near the data of other work.
class RackLoads {
 public:
  RackLoads(const SchedulingContext& context, const PlacementUnit& unit) {
    const StepRequirements& requirements = unit.requirements();
    if (!context.isOn(Policy::rackBalance) || context.options().remoteSlowdown <= 1 ||
        unit.isGang() || requirements.sameRack || !requirements.preferredRack.empty())
      return;
    coresByRack.resize(context.rackNames().size());
    for (auto index : unit.step().eligible->workerIndices) {
      const WorkerView& worker = context.workers()[index];
      if (!worker.isSchedulable())
        continue;
      Cores& cores = coresByRack[worker.rackIndex()];
      cores.total += worker.totalResources().cores;
      cores.used += worker.usedCores();
    }
  }
  std::int64_t of(const WorkerView& worker) const {
    if (coresByRack.empty())
      return 0;
    const Cores& cores = coresByRack[worker.rackIndex()];
    return cores.total > 0 ? rackLoadScale * cores.used / cores.total : 0;
  }

 private:
  struct Cores {
    std::int64_t total = 0;
    std::int64_t used = 0;
  };
  std::vector<Cores> coresByRack;  // thousandths; empty if the load does not matter
};

bool contains(const std::vector<std::size_t>& racks, std::size_t rack) {
  return std::find(racks.begin(), racks.end(), rack) != racks.end();
}

}  // namespace

bool ImmediateStarts::tryStart(const PlacementUnit& unit, Locality locality) {
  if (!fitsTenantCap(unit) || (unit.isGang() && !enoughSlots(unit)))
    return false;
  UnitPlacement placement(context, unit.step());
  std::vector<Assignment> assignments;
  std::vector<std::size_t> racksUsed;  // filled for a gang only
  for (auto taskIndex : unit.tasksByDescendingCores()) {
    const std::size_t workerIndex = bestWorkerFor(unit, taskIndex, racksUsed, locality);
    if (workerIndex == noIndex) {
      placement.rollBack();
      return false;
    }
    assignments.push_back({taskIndex, workerIndex});
    placement.place(workerIndex, allocationFor(unit, assignments.back()));
    const std::size_t rack = context.workers()[workerIndex].rackIndex();
    if (unit.isGang() && !contains(racksUsed, rack))
      racksUsed.push_back(rack);
  }
  addActions(unit, assignments);
  return true;
}

// Reports whether there are as many slots as the gang has parts, if all were as small as the
// smallest. If not, the gang need not be tried.
bool ImmediateStarts::enoughSlots(const PlacementUnit& unit) const {
  const MinimumRequest minimum(unit);
  std::int64_t slots = 0;
  for (auto index : unit.step().eligible->workerIndices) {
    const WorkerView& worker = context.workers()[index];
    if (worker.isSchedulable())
      slots += minimum.slots(worker.guaranteedFree(), unit.step(), index);
  }
  return slots >= std::int64_t(unit.tasks.size());
}

std::size_t ImmediateStarts::bestWorkerFor(const PlacementUnit& unit, std::uint32_t taskIndex,
                                           const std::vector<std::size_t>& racksUsed,
                                           Locality locality) {
  StepView& step = unit.step();
  const TaskRequest& taskRequest = unit.request(taskIndex);
  const Resources request = resourcesOf(taskRequest);
  const AvoidedLocation avoided(context, unit.task(taskIndex).avoidedWorker);
  const RackLoads rackLoads(context, unit);
  std::size_t best = noIndex;
  FitKey bestKey;
  for (auto index : step.eligible->workerIndices) {
    const WorkerView& worker = context.workers()[index];
    if (!worker.isSchedulable() || !admits(context, step, index, worker.guaranteedFree(), request))
      continue;
    const bool remote = isRemote(context, step, worker);
    if (remote && locality == Locality::local)
      continue;
    const ClusterTime end = context.now() + expectedRuntime(context, step, worker, taskRequest);
    if (backfill.delaysReservedStart(worker, request, end))
      continue;
    const std::size_t rack = worker.rackIndex();
    FitKey key;
    key.penalty = worker.penalty() + (index == avoided.workerIndex ? 1 : 0);
    key.remote = remote;
    key.rackLoad = rackLoads.of(worker);
    key.freeCores = worker.freeCores();
    if (rack == avoided.rackIndex && !context.rackNames()[rack].empty())
      key.rackPreference = RackPreference::failedOnBefore;
    else if (!racksUsed.empty() && !contains(racksUsed, rack))
      key.rackPreference = RackPreference::newToGang;
    if (best == noIndex || key < bestKey) {
      best = index;
      bestKey = key;
    }
  }
  return best;
}

Allocation ImmediateStarts::allocationFor(const PlacementUnit& unit, const Assignment& assignment) {
  const WorkerView& worker = context.workers()[assignment.workerIndex];
  const TaskRequest& request = unit.request(assignment.taskIndex);
  const Duration runtime = expectedRuntime(context, unit.step(), worker, request);
  return {nullptr, resourcesOf(request), context.now() + runtime, false, false};
}

void ImmediateStarts::addActions(const PlacementUnit& unit,
                                 const std::vector<Assignment>& assignments) {
  // Self-assembling parts find each other at the workers, so they are started directly under one
  // run number; other gangs are staged first. docs/design.md 7.3.
  const bool selfAssembling =
      std::all_of(assignments.begin(), assignments.end(), [&](const Assignment& assignment) {
        return context.workers()[assignment.workerIndex].capacity().selfAssemblingGangs;
      });
  const ActionKind kind = unit.isGang() && !selfAssembling ? ActionKind::stage : ActionKind::start;
  std::uint32_t runNumber = 0;
  if (unit.isGang()) {
    for (auto part : unit.tasks)
      runNumber = std::max(runNumber, unit.task(part).runNumber + 1);
  }
  for (const auto& [taskIndex, workerIndex] : assignments) {
    WorkerView& worker = context.workers()[workerIndex];
    Action action = startAction(kind, draft.takeAttemptNumber(), unit.step().jobId(), taskIndex,
                                worker.id(), unit.request(taskIndex).memory);
    action.runNumber = runNumber;
    if (worker.penalty() > 0)
      worker.reachTaskLimit();
    draft.add(std::move(action));
  }
}

}  // namespace aniseline::scheduling
