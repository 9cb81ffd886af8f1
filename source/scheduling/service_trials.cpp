// Places trials, selects their victims and protects the reserved start.
#include "scheduling/service_trials.hpp"

namespace aniseline::scheduling {

namespace {

// Trials with a shorter quantum are not recorded as failed: they end so soon that the failure of
// one says nothing about the next.
constexpr Duration minimumRecordedQuantum{1000};

bool hadTrial(const PlacementUnit& unit) {
  const Task& first = unit.task(unit.tasks[0]);
  return first.trialStarted || first.trialExpired || first.countedStarts > 0;
}

}  // namespace

void ServiceTrials::start(const std::vector<const PlacementUnit*>& notStarted) {
  for (const auto* unit : notStarted) {
    const QueueOptions& queue = *unit->queue().options;
    const bool unrestricted =
        !unit->isGang() && unit->requirements().requiredLabel.empty() && queue.pool.empty();
    if ((!unit->isGang() && !unrestricted) || hadTrial(*unit) || !fitsTenantCap(*unit))
      continue;
    const RequestShape shape =
        unit->requestShape(std::int64_t(queue.trial.memory), queue.trial.minimumRuntime);
    if (unrestricted && failedTrials.covers(shape))
      continue;
    if (tryTrial(*unit))
      draft.explain(*unit, "gets its trial in this plan");
    else if (unrestricted && queue.trial.quantum >= minimumRecordedQuantum)
      failedTrials.add(shape);
  }
}

// Starts trials for all parts of a gang, or for none.
bool ServiceTrials::tryTrial(const PlacementUnit& unit) {
  if (!unit.step().eligible->anySupportsSuspend)
    return false;
  std::optional<std::vector<WorkerView>> workersBefore;
  UnitPlacement placed(context, unit.step());
  const PlanDraft::Checkpoint before = draft.checkpoint();
  for (auto part : unit.tasksByDescendingCores()) {
    const TrialRequest request = requestFor(unit, part);
    auto placement = findPlacement(request, Victims::none);
    if (!placement)
      placement = findPlacement(request, Victims::allowed);
    if (!placement) {
      placed.rollBack();
      if (workersBefore)  // undoes the suspensions too
        context.workers() = std::move(*workersBefore);
      draft.rollBack(before);
      return false;
    }
    if (unit.isGang() && !workersBefore)
      workersBefore = context.workers();
    startTrial(request, *placement, placed);
  }
  return true;
}

ServiceTrials::TrialRequest ServiceTrials::requestFor(const PlacementUnit& unit,
                                                      std::uint32_t taskIndex) const {
  Resources resources = resourcesOf(unit.request(taskIndex));
  const std::uint64_t memoryLimit = unit.queue().options->trial.memory;
  resources.memory =
      std::int64_t(std::min<std::uint64_t>(unit.request(taskIndex).memory, memoryLimit));
  const WorkerId& avoided = unit.task(taskIndex).avoidedWorker;
  return {unit, taskIndex, resources,
          avoided.value.empty() ? noIndex : context.workerIndexOf(avoided),
          reservedStart.isHeldBy(unit)};
}

// Paper 2.4: chooses the worker that is left with the fewest idle cores.
std::optional<ServiceTrials::TrialPlacement> ServiceTrials::findPlacement(
    const TrialRequest& request, Victims victims) {
  const std::int64_t cores = request.resources.cores;
  const Duration minimumRuntime = request.unit.queue().options->trial.minimumRuntime;
  std::optional<TrialPlacement> best;
  for (auto index : request.unit.step().eligible->workerIndices) {
    if (!mayHost(request, index))
      continue;
    const WorkerView& worker = context.workers()[index];
    TrialPlacement candidate;
    candidate.workerIndex = index;
    std::int64_t free = worker.guaranteedFreeCores();
    if (free < cores) {
      if (victims == Victims::none)
        continue;
      auto selected = selectVictims(worker, cores - free, minimumRuntime);
      if (!selected)
        continue;
      candidate.victims = std::move(*selected);
      for (const auto* victim : candidate.victims)
        free += victim->cores;
    }
    candidate.idleCoresAfter = free - cores;
    if (!request.holdsReservedStart && !keepsReservedStart(request, candidate))
      continue;
    if (!best || candidate.idleCoresAfter < best->idleCoresAfter)
      best = std::move(candidate);
  }
  return best;
}

// Paper 2.4: a trial runs only on a worker with enough unallocated memory.
bool ServiceTrials::mayHost(const TrialRequest& request, std::size_t workerIndex) const {
  const WorkerView& worker = context.workers()[workerIndex];
  if (!worker.isSchedulable() || worker.penalty() > 0 || workerIndex == request.avoidedWorker ||
      !worker.capacity().supportsSuspend)
    return false;
  const Resources free = worker.freeResources();
  return worker.totalResources().cores >= request.resources.cores &&
         free.memory >= request.resources.memory &&
         free.accelerators >= request.resources.accelerators &&
         request.unit.step().admitsTaskOn(workerIndex);
}

// Paper 2.4: selects victims by least slowdown among the attempts that have run uninterrupted for
// long enough, until the freed cores suffice.
std::optional<std::vector<const Attempt*>> ServiceTrials::selectVictims(const WorkerView& worker,
                                                                        std::int64_t missingCores,
                                                                        Duration minimumRuntime) {
  std::vector<std::pair<double, const Attempt*>> eligible;
  for (const auto& allocation : worker.allocations()) {
    if (!allocation.attempt || allocation.suspended)
      continue;
    const Attempt& attempt = *allocation.attempt;
    // Gang parts are never suspended, because the other parts would run on alone. docs/paper.md 5.
    if (attempt.state != AttemptState::running || attempt.isTrial() || attempt.gang ||
        attempt.abandoned)
      continue;
    if (context.now() - attempt.runningSince < minimumRuntime || !maySuspend(attempt))
      continue;
    eligible.emplace_back(slowdown(attempt), &attempt);
  }
  std::sort(eligible.begin(), eligible.end(), [](const auto& left, const auto& right) {
    return std::tie(left.first, left.second->number) < std::tie(right.first, right.second->number);
  });
  std::vector<const Attempt*> victims;
  for (const auto& [slowdown, victim] : eligible) {
    if (missingCores <= 0)
      break;
    missingCores -= victim->cores;
    victims.push_back(victim);
  }
  return missingCores > 0 ? std::nullopt : std::optional(std::move(victims));
}

// Victims end later by the quantum, so even a trial that ends before the reserved start may delay
// it.
bool ServiceTrials::keepsReservedStart(const TrialRequest& request,
                                       const TrialPlacement& placement) const {
  const WorkerView& worker = context.workers()[placement.workerIndex];
  const Duration quantum = request.unit.queue().options->trial.quantum;
  const ClusterTime end = context.now() + quantum;
  if (placement.victims.empty())
    return !backfill.delaysReservedStart(worker, request.resources, end);
  WorkerView changed = worker;
  changed.postpone(placement.victims, quantum);
  const bool overlaps = end > reservedStart.start();
  return backfill.reservedStartFits(changed, overlaps ? request.resources : Resources{});
}

void ServiceTrials::startTrial(const TrialRequest& request, const TrialPlacement& placement,
                               UnitPlacement& placed) {
  const PlacementUnit& unit = request.unit;
  const Duration quantum = unit.queue().options->trial.quantum;
  WorkerView& worker = context.workers()[placement.workerIndex];
  const AttemptNumber trial = draft.takeAttemptNumber();
  for (const auto* victim : placement.victims) {
    Action suspend;
    suspend.kind = ActionKind::suspend;
    suspend.attempt = victim->number;
    suspend.worker = worker.id();
    suspend.suspendedForTrial = trial;
    draft.add(std::move(suspend));
    worker.suspendForTrial(*victim, quantum);
  }
  Action action =
      startAction(unit.isGang() ? ActionKind::stage : ActionKind::start, trial, unit.step().jobId(),
                  request.taskIndex, worker.id(), std::uint64_t(request.resources.memory));
  action.trial = true;
  action.quantum = quantum;
  placed.place(placement.workerIndex, {nullptr, request.resources, context.now() + quantum, false,
                                       !placement.victims.empty()});
  draft.add(std::move(action));
}

// Returns the time since the task became ready, as a multiple of the time for which the attempt has
// run.
double ServiceTrials::slowdown(const Attempt& attempt) const {
  const ClusterTime now = context.now();
  const Task& task = context.clusterState().jobs().at(attempt.job).tasks[attempt.taskIndex];
  const double ran = std::max(1.0, double(attempt.runtimeAt(now).milliseconds));
  return double((now - task.readyAt).milliseconds) / ran;
}

bool ServiceTrials::maySuspend(const Attempt& attempt) {
  auto [known, isNew] = suspendable.try_emplace(attempt.number);
  if (!isNew)
    return known->second;
  const QueueOptions& queue = *context.jobView(attempt.job)->queue->options;
  PolicyProgram::Inputs inputs;
  inputs.runtime = attempt.runtime.hours();
  inputs.running = (context.now() - attempt.runningSince).hours();
  inputs.slowdown = slowdown(attempt);
  inputs.cores = attempt.cores / 1000.0;
  inputs.memory = double(attempt.memory);
  inputs.priority = double(queue.priority);
  known->second = policies.find(queue.policy).maySuspend.evaluate(inputs) != 0.0;
  return known->second;
}

}  // namespace aniseline::scheduling
