// Implements the planning steps in one struct, PlanRun, which makes a single plan.
#include "reference_planner.hpp"

namespace aniseline::reference {

namespace {

// A worker gets no new work if the leader has not heard from it for maxContactAge, or if it has not
// applied an order for longer than orderApplyTimeout. docs/design.md 5.6.
constexpr Duration maxContactAge{2000};
constexpr Duration orderApplyTimeout{1500};
constexpr Duration stagingTimeout{5000};
// A launched part that is not reported as running within this time may be missing. docs/design.md
// 7.3.
constexpr Duration startConfirmationTimeout{2500};
// A trial that exceeds its quantum by this much is stopped by an order. docs/design.md 7.5.
constexpr Duration trialStopGrace{2000};
constexpr std::int64_t failureScoreLimit = 500;

// The resources that one attempt takes and its expected end.
struct Allocation {
  AttemptNumber attempt;
  std::int64_t cores = 0, memory = 0, accelerators = 0;
  ClusterTime expectedEnd;
  bool suspended = false;
  ClusterTime resumesAt;  // for a suspended attempt, the expected end of its trial
  bool trialWithVictims = false;
  AttemptNumber suspendedForTrial;
};

struct WorkerView {
  const Worker* record = nullptr;
  std::int64_t cores = 0, memory = 0, accelerators = 0;
  bool schedulable = true;  // available, and not at its task limit unless that is lifted
  bool available = true;
  bool limited = false;  // has a penalty and the one task that it gets at a time
  bool limitLifted = false;
  int penalty = 0;
  std::set<JobId> overdueJobs;  // jobs whose attempts here take far longer than requested
  std::vector<Allocation> allocations;
  // Numbers of tasks on this worker, for steps that limit their tasks per worker.
  std::map<std::pair<JobId, std::uint32_t>, std::uint32_t> tasksByStep;
  // Sums over the allocations, updated as allocations are added and removed.
  std::int64_t usedCores = 0, usedMemory = 0, usedAccelerators = 0, suspendedCores = 0,
               victimTrialCores = 0;

  void updateSchedulable() { schedulable = available && (!limited || limitLifted); }
  void excludeFromNewWork() {
    available = false;
    updateSchedulable();
  }
  void reachTaskLimit() {
    limited = true;
    updateSchedulable();
  }
  void liftTaskLimit(bool lifted) {
    limitLifted = lifted;
    updateSchedulable();
  }
  void updateTotals(const Allocation& allocation, std::int64_t sign) {
    usedCores += allocation.suspended ? 0 : sign * allocation.cores;
    usedMemory += sign * allocation.memory;
    usedAccelerators += sign * allocation.accelerators;
    suspendedCores += allocation.suspended ? sign * allocation.cores : 0;
    victimTrialCores += allocation.trialWithVictims ? sign * allocation.cores : 0;
  }
  void allocate(const Allocation& allocation) {
    allocations.push_back(allocation);
    updateTotals(allocation, 1);
  }
  void releaseLast() {
    updateTotals(allocations.back(), -1);
    allocations.pop_back();
  }
  void suspend(Allocation& allocation) {
    updateTotals(allocation, -1);
    allocation.suspended = true;
    updateTotals(allocation, 1);
  }
  std::int64_t freeCores() const { return cores - usedCores; }
  std::int64_t freeMemory() const { return memory - usedMemory; }
  std::int64_t freeAccelerators() const { return accelerators - usedAccelerators; }
  std::int64_t expectedAcceleratorsAt(ClusterTime time) const {
    std::int64_t used = 0;
    for (const auto& allocation : allocations)
      used += allocation.expectedEnd > time ? allocation.accelerators : 0;
    return accelerators - used;
  }
  // Returns the cores that stay free when every suspended task has resumed, whether or not anything
  // ends as expected. docs/design.md 7.4.
  std::int64_t guaranteedFreeCores() const {
    return std::min(freeCores(), freeCores() + victimTrialCores - suspendedCores);
  }
  // Returns the cores and memory that are free from the given time on if all attempts end as
  // expected; suspended attempts count as resumed.
  std::pair<std::int64_t, std::int64_t> expectedFreeAt(ClusterTime time) const {
    std::int64_t usedCores = 0, usedMemory = 0;
    for (const auto& allocation : allocations)
      if (allocation.expectedEnd > time) {
        usedCores += allocation.cores;
        usedMemory += allocation.memory;
      }
    return {cores - usedCores, memory - usedMemory};
  }
};

bool memoryFits(const WorkerView& worker, std::int64_t free, std::int64_t wanted,
                std::int64_t trialMemory) {
  if (wanted <= free - trialMemory)
    return true;
  return wanted > worker.memory - trialMemory && wanted <= free;  // otherwise it could never start
}

// Requests that found no worker in this plan. A request that is at least as large need not be
// tried.
struct FailedRequests {
  struct RequestShape {
    std::int64_t cores, memory, runtime;
  };
  std::vector<RequestShape> shapes;
  bool covers(const RequestShape& shape) const {
    return std::any_of(shapes.begin(), shapes.end(), [&](const RequestShape& known) {
      return shape.cores >= known.cores && shape.memory >= known.memory &&
             shape.runtime >= known.runtime;
    });
  }
  void add(const RequestShape& shape) {
    std::erase_if(shapes, [&](const RequestShape& known) {
      return known.cores >= shape.cores && known.memory >= shape.memory &&
             known.runtime >= shape.runtime;
    });
    shapes.push_back(shape);
  }
};

}  // namespace

bool Plan::changesNothing(const Reservation& before) const {
  if (!record.actions.empty())
    return false;
  if (record.reservation.job != before.job || record.reservation.stepIndex != before.stepIndex)
    return false;
  if (!before.isActive())
    return true;
  return std::abs((record.reservation.start - before.start).milliseconds) < 1000;
}

struct Planner::PlanRun {
  Planner& planner;
  const ClusterState& clusterState;
  ClusterTime now;
  const LastContactAges& contactAges;
  bool explain;
  const PlannerHints& hints;
  Plan plan;
  std::vector<WorkerView> workers;
  std::map<WorkerId, std::size_t> workerIndexById;
  std::int64_t trialMemory;
  AttemptNumber lastAttempt;
  std::map<std::pair<std::string, std::string>, FailedRequests>
      failedBackfills;  // by pool and label
  FailedRequests failedTrials;
  std::map<std::pair<JobId, std::uint32_t>, std::string> chosenRacks;  // of same-rack steps

  PlanRun(Planner& planner, const ClusterState& clusterState, ClusterTime now,
          const LastContactAges& contactAges, bool explain, const PlannerHints& hints)
      : planner(planner),
        clusterState(clusterState),
        now(now),
        contactAges(contactAges),
        explain(explain),
        hints(hints),
        trialMemory(std::int64_t(clusterState.config().planner.reservedTrialMemory)),
        lastAttempt(clusterState.lastAttempt()) {}

  CompiledPolicy& compiledPolicyOf(const std::string& policy) {
    auto found = planner.compiledPolicies.find(policy);
    return found != planner.compiledPolicies.end() ? found->second
                                                   : planner.compiledPolicies.at("default");
  }
  const QueueOptions& queueOptionsOf(const JobId& job) const {
    static const QueueOptions none;
    const auto* queue =
        clusterState.config().findQueue(clusterState.jobs().at(job).submission.queue);
    return queue ? *queue : none;
  }

  // Returns the expected remaining runtime. An overrunning task is not stopped; it is expected to
  // need half as long again as it has already run. docs/design.md 7.6.
  Duration remainingRuntime(const Attempt& attempt) const {
    const Duration ran = attempt.runtimeAt(now);
    const Duration wanted = attempt.isTrial() ? attempt.quantum : attempt.runtime;
    if (wanted > ran)
      return wanted - ran;
    if (attempt.isTrial())
      return Duration{1000};
    return Duration{std::max<std::int64_t>(1000, ran.milliseconds / 2)};
  }

  void buildWorkers() {
    std::set<AttemptNumber> withVictims;
    std::map<AttemptNumber, ClusterTime> trialEnds;
    for (const auto& [number, attempt] : clusterState.attempts()) {
      if (attempt.state == AttemptState::suspended)
        withVictims.insert(attempt.suspendedForTrial);
      if (attempt.isTrial())
        trialEnds[number] = now + remainingRuntime(attempt);
    }
    for (const auto& [id, worker] : clusterState.workers()) {
      if (worker.state == WorkerState::removed)
        continue;
      WorkerView view;
      view.record = &worker;
      view.cores = worker.capacity.cores;
      view.memory = std::int64_t(worker.capacity.memory);
      view.accelerators = worker.capacity.accelerators;
      auto contactAge = contactAges.find(id);
      if (!worker.isSchedulable() || contactAge == contactAges.end() ||
          contactAge->second >= maxContactAge)
        view.excludeFromNewWork();
      if (worker.failureScoreAt(now) >= failureScoreLimit)
        view.penalty = 2;
      workerIndexById[id] = workers.size();
      workers.push_back(std::move(view));
    }
    for (const auto& [number, attempt] : clusterState.attempts()) {
      auto index = workerIndexById.find(attempt.worker);
      if (index == workerIndexById.end())
        continue;
      WorkerView& worker = workers[index->second];
      Allocation allocation;
      allocation.attempt = number;
      allocation.cores = attempt.cores;
      allocation.memory = std::int64_t(attempt.memory);
      allocation.accelerators = attempt.accelerators;
      allocation.suspended = attempt.state == AttemptState::suspended;
      allocation.suspendedForTrial = attempt.suspendedForTrial;
      allocation.trialWithVictims = withVictims.count(number) > 0;
      allocation.expectedEnd = attempt.state == AttemptState::stopping
                                   ? now + Duration{500}
                                   : now + remainingRuntime(attempt);
      if (allocation.suspended) {
        auto trial = trialEnds.find(attempt.suspendedForTrial);
        allocation.resumesAt = trial == trialEnds.end() ? now : trial->second;
        allocation.expectedEnd = allocation.resumesAt + remainingRuntime(attempt);
      }
      worker.allocate(allocation);
      if (const auto* requirements = requirementsOf(attempt.job, attempt.stepIndex);
          requirements && requirements->maxPerWorker)
        ++worker.tasksByStep[{attempt.job, attempt.stepIndex}];
      // An agent reports a worker that does not answer, and one late order delays its report of the
      // other workers, so a late order says nothing about such a worker.
      if (!worker.record->capacity.killsOnLeaseExpiry && attempt.state == AttemptState::ordered &&
          now - attempt.orderedAt > orderApplyTimeout)
        worker.excludeFromNewWork();
      // A worker with recent failures gets one task at a time. docs/design.md 5.6.
      if (worker.penalty > 0)
        worker.reachTaskLimit();
      // Counts jobs instead of attempts, because one job's estimate may be wrong for all its
      // attempts.
      if (!worker.record->capacity.supportsSuspend && isOverdue(attempt))
        worker.overdueJobs.insert(attempt.job);
    }
    excludeSlowWorkers();
  }

  // Reports whether the attempt has taken far longer than requested, allowing for remote data and a
  // common overrun.
  bool isOverdue(const Attempt& attempt) const {
    if (attempt.isTrial() || attempt.state == AttemptState::stopping ||
        attempt.state == AttemptState::suspended)
      return false;
    const auto* requirements = requirementsOf(attempt.job, attempt.stepIndex);
    if (!requirements || requirements->longRunning)
      return false;
    const bool mayBeRemote = !requirements->preferredRack.empty() || requirements->sameRack;
    return double((now - attempt.orderedAt).milliseconds) >
           2.2 * double(attempt.runtime.milliseconds) *
                   (mayBeRemote ? clusterState.config().planner.remoteSlowdown : 1.0) +
               300;
  }
  // Gives no new work to workers on which work is stuck or takes far longer than on their peers,
  // while other workers are healthy. At most a third of a pool is affected, since the ratios are
  // only a hint. docs/design.md 5.6.
  void excludeSlowWorkers() {
    std::map<std::string, std::vector<double>> ratiosByPool;
    for (const auto& worker : workers)
      if (auto runtimeRatio = hints.runtimeRatios.find(worker.record->id);
          runtimeRatio != hints.runtimeRatios.end())
        ratiosByPool[worker.record->capacity.pool].push_back(runtimeRatio->second);
    std::map<std::string, std::size_t> affectedByPool;
    std::vector<std::pair<double, std::size_t>> slow;
    for (std::size_t workerIndex = 0; workerIndex < workers.size(); ++workerIndex) {
      WorkerView& worker = workers[workerIndex];
      if (worker.record->capacity.supportsSuspend)
        continue;
      auto& peers = ratiosByPool[worker.record->capacity.pool];
      double ratio = 0;
      if (auto runtimeRatio = hints.runtimeRatios.find(worker.record->id);
          runtimeRatio != hints.runtimeRatios.end() && peers.size() >= 3) {
        auto middle = peers.begin() + std::ptrdiff_t(peers.size() / 2);
        std::nth_element(peers.begin(), middle, peers.end());
        ratio = runtimeRatio->second / std::max(0.1, *middle);
      }
      if (worker.overdueJobs.size() >= 3)
        ratio = std::max(ratio, 2.5 + double(worker.overdueJobs.size()));
      if (ratio > 1.9)
        slow.emplace_back(ratio, workerIndex);
    }
    std::sort(slow.rbegin(), slow.rend());
    for (const auto& [ratio, workerIndex] : slow) {
      const std::string& pool = workers[workerIndex].record->capacity.pool;
      const auto size =
          std::size_t(std::count_if(workers.begin(), workers.end(), [&](const WorkerView& worker) {
            return worker.record->capacity.pool == pool;
          }));
      if (3 * (affectedByPool[pool] + 1) > size)
        continue;
      ++affectedByPool[pool];
      if (ratio > 2.4)
        workers[workerIndex].excludeFromNewWork();
      else
        workers[workerIndex].penalty = std::max(workers[workerIndex].penalty, 1);
    }
  }
  // Starts a copy of an attempt of a redundant step on another worker when the attempt is overdue
  // or its worker is out of contact. docs/paper.md 5.
  void startRedundantCopies() {
    std::size_t copyCount = 0;
    for (const auto& [number, attempt] : clusterState.attempts()) {
      if (copyCount >= 8)
        return;
      const auto* requirements = requirementsOf(attempt.job, attempt.stepIndex);
      if (!requirements || !requirements->redundant || attempt.abandoned || attempt.gang ||
          attempt.state == AttemptState::stopping)
        continue;
      const Job& job = clusterState.jobs().at(attempt.job);
      if (job.terminating || job.isTerminal() || job.tasks.empty() ||
          job.tasks[attempt.taskIndex].currentAttempt != number ||
          job.tasks[attempt.taskIndex].redundantAttempt.value)
        continue;
      const QueueOptions& queue = queueOptionsOf(attempt.job);
      if (queue.maxFailures && job.tasks[attempt.taskIndex].failureCount + 1 >= queue.maxFailures)
        continue;  // the running attempt is the last that may fail
      auto contactAge = contactAges.find(attempt.worker);
      const bool outOfContact =
          (contactAge == contactAges.end() ? hints.leadingFor : contactAge->second) > maxContactAge;
      if (!outOfContact && !isOverdue(attempt))
        continue;
      PlacementUnit unit;
      unit.job = attempt.job;
      unit.step = attempt.stepIndex;
      unit.tasks = {attempt.taskIndex};
      unit.requirements = requirements;
      unit.pool = queueOptionsOf(attempt.job).pool;
      const TaskRequest& request = job.requestOf(job.tasks[attempt.taskIndex]);
      TenantUsage* usage = tenantUsageOf(usageByTenant, attempt.job);
      const auto requested = amounts(request.cores, request.memory, request.accelerators);
      if (usage && !usage->admits(requested, requested))
        continue;
      std::size_t best = workers.size();
      for (std::size_t workerIndex = 0; workerIndex < workers.size(); ++workerIndex) {
        const WorkerView& worker = workers[workerIndex];
        if (!worker.schedulable || worker.penalty > 0 || worker.record->id == attempt.worker ||
            worker.guaranteedFreeCores() < request.cores || !isEligible(unit, worker) ||
            !fits(unit, worker, request))
          continue;
        if (!memoryFits(worker, worker.freeMemory(), std::int64_t(request.memory), trialMemory) ||
            delaysReservation(workerIndex, request.cores, std::int64_t(request.memory),
                              now + expectedRuntime(unit, worker, request)))
          continue;
        if (best == workers.size() || worker.freeCores() < workers[best].freeCores())
          best = workerIndex;
      }
      if (best == workers.size())
        continue;
      if (usage)
        usage->addUnreported(requested, requested);
      allocate(best, AttemptNumber{}, request, std::int64_t(request.memory), now + request.runtime,
               false);
      if (requirements->maxPerWorker)
        ++workers[best].tasksByStep[{attempt.job, attempt.stepIndex}];
      Action action;
      action.kind = ActionKind::start;
      action.attempt = lastAttempt = lastAttempt.next();
      action.job = attempt.job;
      action.taskIndex = attempt.taskIndex;
      action.worker = workers[best].record->id;
      action.memory = request.memory;
      action.redundantCopy = true;
      ++plan.redundantCopies;
      plan.record.actions.push_back(std::move(action));
      ++copyCount;
    }
  }
  const StepRequirements* requirementsOf(const JobId& job, std::uint32_t step) const {
    auto found = clusterState.jobs().find(job);
    return found == clusterState.jobs().end() || step >= found->second.submission.steps.size()
               ? nullptr
               : &found->second.submission.steps[step].requirements;
  }
  // Reports whether a task of the unit's step can ever run on the worker. Label, pool and
  // accelerators are conditions. docs/paper.md 2.
  bool isEligible(const PlacementUnit& unit, const WorkerView& worker) const {
    return worker.record->capacity.pool == unit.pool &&
           worker.record->capacity.hasLabel(unit.requirements->requiredLabel);
  }
  bool fits(const PlacementUnit& unit, const WorkerView& worker, const TaskRequest& request) const {
    if (worker.freeAccelerators() < request.accelerators)
      return false;
    if (!unit.requirements->maxPerWorker)
      return true;
    auto found = worker.tasksByStep.find({unit.job, unit.step});
    return found == worker.tasksByStep.end() || found->second < unit.requirements->maxPerWorker;
  }
  // Returns the rack of a same-rack step: that of its attempts, or else the one with the most idle
  // cores on eligible workers.
  const std::string& chooseRack(const PlacementUnit& unit) {
    auto [found, isNew] = chosenRacks.try_emplace({unit.job, unit.step});
    if (!isNew)
      return found->second;
    for (const auto& [number, attempt] : clusterState.attempts())
      if (attempt.job == unit.job && attempt.stepIndex == unit.step && !attempt.abandoned)
        return found->second = rackOf(attempt.worker);
    std::map<std::string, std::int64_t> idle;
    for (const auto& worker : workers)
      if (worker.available && !worker.limited && isEligible(unit, worker))
        idle[worker.record->capacity.rack] += worker.guaranteedFreeCores();
    std::int64_t most = -1;
    for (const auto& [rack, cores] : idle)
      if (cores > most)
        most = cores, found->second = rack;
    return found->second;
  }
  // Reports whether a task runs away from its data or from the rest of its step, where it takes
  // `remoteSlowdown` times as long. docs/paper.md 2.
  bool isRemote(const PlacementUnit& unit, const WorkerView& worker) {
    if (!unit.requirements->preferredRack.empty() &&
        !worker.record->capacity.hasLabel(unit.requirements->preferredRack))
      return true;
    return unit.requirements->sameRack && worker.record->capacity.rack != chooseRack(unit);
  }
  Duration expectedRuntime(const PlacementUnit& unit, const WorkerView& worker,
                           const TaskRequest& request) {
    return isRemote(unit, worker)
               ? Duration{std::int64_t(double(request.runtime.milliseconds) *
                                       clusterState.config().planner.remoteSlowdown)}
               : request.runtime;
  }

  // Assesses by requested runtimes whether the job can still meet its latency target. In an
  // overload the paper's order makes all work a little late, so work that can be on time goes
  // before work that can't. docs/paper.md 5.
  struct LatencyTarget {
    int targetStatus = 0;
    bool lowSlack = true;
  };
  std::map<JobId, LatencyTarget> latencyTargets;
  LatencyTarget latencyTargetOf(const Job& job, const QueueOptions& queue) {
    if (queue.latencyTargetBase.milliseconds <= 0)
      return {};
    auto [found, isNew] = latencyTargets.try_emplace(job.submission.id);
    if (!isNew)
      return found->second;
    const auto& steps = job.submission.steps;
    std::vector<std::int64_t> totals(steps.size()), remaining(steps.size());
    std::vector<char> unfinished(steps.size());
    for (const auto& task : job.tasks)
      unfinished[task.stepIndex] = unfinished[task.stepIndex] || task.state != TaskState::succeeded;
    std::int64_t longest = 0, longestRemaining = 0;
    for (std::size_t step = 0; step < steps.size(); ++step) {
      std::int64_t before = 0, beforeRemaining = 0, runtime = 0;
      for (const auto& name : steps[step].dependencies)
        for (std::size_t other = 0; other < step; ++other)
          if (steps[other].name == name)
            before = std::max(before, totals[other]),
            beforeRemaining = std::max(beforeRemaining, remaining[other]);
      for (const auto& task : steps[step].tasks)
        runtime = std::max(runtime, task.runtime.milliseconds);
      totals[step] = before + runtime;
      remaining[step] = unfinished[step] ? beforeRemaining + runtime : 0;
      longest = std::max(longest, totals[step]);
      longestRemaining = std::max(longestRemaining, remaining[step]);
    }
    const double target =
        queue.latencyTargetFactor * double(longest) + double(queue.latencyTargetBase.milliseconds);
    const double latency = double((now - job.admittedAt).milliseconds + longestRemaining);
    found->second.targetStatus = latency <= target ? 0 : latency <= 3 * target ? 1 : 2;
    found->second.lowSlack = target - latency < std::max(1500.0, 0.4 * (target - double(longest)));
    return found->second;
  }

  std::vector<PlacementUnit> collectUnits() {
    std::vector<PlacementUnit> units;
    for (const auto& id : clusterState.openJobs()) {
      const Job& job = clusterState.jobs().at(id);
      if (job.state != JobState::active || job.terminating)
        continue;
      std::map<std::uint32_t, PlacementUnit> gangs;
      std::set<std::uint32_t> unready;
      for (std::uint32_t taskIndex = 0; taskIndex < job.tasks.size(); ++taskIndex) {
        const Task& task = job.tasks[taskIndex];
        if (task.state == TaskState::succeeded)
          continue;
        const bool gang = job.submission.steps[task.stepIndex].gang;
        const bool ready = task.state == TaskState::pending && task.notBefore <= now;
        if (gang && !ready)
          unready.insert(task.stepIndex);
        if (!ready)
          continue;
        if (!gang) {
          PlacementUnit& unit = units.emplace_back();
          unit.job = id;
          unit.step = task.stepIndex;
          unit.tasks = {taskIndex};
          unit.runtime = job.requestOf(task).runtime;
          unit.readyAt = task.readyAt;
          continue;
        }
        PlacementUnit& unit = gangs[task.stepIndex];
        unit.job = id;
        unit.step = task.stepIndex;
        unit.gang = true;
        unit.tasks.push_back(taskIndex);
        unit.runtime = std::max(unit.runtime, job.requestOf(task).runtime);
        unit.readyAt = task.readyAt;
      }
      for (auto& [step, unit] : gangs)
        if (!unready.count(step))
          units.push_back(std::move(unit));
    }
    // Paper 2.2 and table 3: ranks are computed anew for each plan, since they grow with the wait.
    for (auto& unit : units) {
      const QueueOptions& queue = queueOptionsOf(unit.job);
      PolicyProgram::Inputs inputs;
      inputs.wait = std::max(0.0, (now - unit.readyAt).hours());
      inputs.runtime = unit.runtime.hours();
      inputs.expansion = (inputs.wait + inputs.runtime) / inputs.runtime;
      const Job& job = clusterState.jobs().at(unit.job);
      unit.requirements = &job.submission.steps[unit.step].requirements;
      unit.pool = queue.pool;
      unit.queuePriority = clusterState.config().planner.strictPriority ? queue.priority : 0;
      const LatencyTarget target = latencyTargetOf(job, queue);
      unit.targetStatus = target.targetStatus;
      unit.lowSlack = target.lowSlack;
      for (auto task : unit.tasks) {
        inputs.cores += job.requestOf(job.tasks[task]).cores / 1000.0;
        inputs.memory += double(job.requestOf(job.tasks[task]).memory);
      }
      inputs.priority = double(queue.priority);
      inputs.weightWait = clusterState.config().planner.weightWait;
      inputs.weightExpansion = clusterState.config().planner.weightExpansion;
      unit.rank = compiledPolicyOf(queue.policy).rank.evaluate(inputs);
    }
    std::sort(units.begin(), units.end(),
              [](const PlacementUnit& left, const PlacementUnit& right) {
                if ((left.targetStatus == 2) != (right.targetStatus == 2))
                  return right.targetStatus == 2;
                if (left.queuePriority != right.queuePriority)
                  return left.queuePriority > right.queuePriority;
                if (left.targetStatus != right.targetStatus)
                  return left.targetStatus < right.targetStatus;
                if (left.rank != right.rank)
                  return left.rank > right.rank;
                return std::tie(left.readyAt, left.job, left.step, left.tasks) <
                       std::tie(right.readyAt, right.job, right.step, right.tasks);
              });
    shortestRemainingWorkFirst(units);
    return units;
  }
  // Sorts the units of jobs with a latency target by remaining work, within each group of equal
  // priority and status. Expired units are not reordered.
  void shortestRemainingWorkFirst(std::vector<PlacementUnit>& units) {
    using Group = std::pair<std::int64_t, int>;
    std::map<Group, std::vector<std::size_t>> indicesByGroup;
    for (std::size_t index = 0; index < units.size(); ++index) {
      const PlacementUnit& unit = units[index];
      if (unit.targetStatus != 2 && queueOptionsOf(unit.job).latencyTargetBase.milliseconds > 0)
        indicesByGroup[{unit.queuePriority, unit.targetStatus}].push_back(index);
    }
    std::map<JobId, double> work;
    for (const PlacementUnit& unit : units) {
      const Job& job = clusterState.jobs().at(unit.job);
      double& sum = work[unit.job] = 0;
      for (const auto& task : job.tasks)
        if (task.state == TaskState::pending || task.state == TaskState::blocked)
          sum +=
              double(job.requestOf(task).cores) * double(job.requestOf(task).runtime.milliseconds);
    }
    for (const auto& [group, indices] : indicesByGroup) {
      std::vector<PlacementUnit> sorted;
      for (auto index : indices)
        sorted.push_back(units[index]);
      std::stable_sort(sorted.begin(), sorted.end(), [&](auto& left, auto& right) {
        return work.at(left.job) < work.at(right.job);
      });
      for (std::size_t position = 0; position < indices.size(); ++position)
        units[indices[position]] = sorted[position];
    }
  }

  void release(const PlacementUnit& unit, std::size_t workerIndex) {
    workers[workerIndex].releaseLast();
    if (unit.requirements->maxPerWorker)
      --workers[workerIndex].tasksByStep[{unit.job, unit.step}];
  }
  const Task& taskOf(const PlacementUnit& unit, std::uint32_t task) const {
    return clusterState.jobs().at(unit.job).tasks[task];
  }
  const TaskRequest& requestOf(const PlacementUnit& unit, std::uint32_t task) const {
    const Job& job = clusterState.jobs().at(unit.job);
    return job.requestOf(job.tasks[task]);
  }
  // Returns the tasks with the largest first, so that a gang is not blocked by its own small parts.
  std::vector<std::uint32_t> tasksByDescendingCores(const PlacementUnit& unit) const {
    auto parts = unit.tasks;
    std::stable_sort(parts.begin(), parts.end(), [&](auto left, auto right) {
      return requestOf(unit, left).cores > requestOf(unit, right).cores;
    });
    return parts;
  }

  // Reports whether the given allocation on the worker would delay the reserved start.
  // docs/paper.md 3.
  bool delaysReservation(std::size_t workerIndex, std::int64_t cores, std::int64_t memory,
                         ClusterTime end) const {
    const Reservation& reservation = plan.record.reservation;
    if (!reservation.isActive() || end <= reservation.start)
      return false;
    return !reservationStillFits(workerIndex, workers[workerIndex], cores, memory);
  }
  bool reservationStillFits(std::size_t workerIndex, const WorkerView& worker, std::int64_t cores,
                            std::int64_t memory) const {
    const Reservation& reservation = plan.record.reservation;
    if (!reservation.isActive())
      return true;
    const Job& job = clusterState.jobs().at(reservation.job);
    std::int64_t wantedCores = 0, wantedMemory = 0;
    for (const auto& placement : reservation.placements)
      if (workerIndexById.at(placement.worker) == workerIndex) {
        wantedCores += job.requestOf(job.tasks[placement.taskIndex]).cores;
        wantedMemory += std::int64_t(job.requestOf(job.tasks[placement.taskIndex]).memory);
      }
    if (wantedCores == 0)
      return true;
    auto [freeCores, freeMemory] = worker.expectedFreeAt(reservation.start);
    return freeCores - cores >= wantedCores && freeMemory - memory >= wantedMemory;
  }

  void allocate(std::size_t workerIndex, AttemptNumber attempt, const TaskRequest& request,
                std::int64_t memory, ClusterTime end, bool withVictims) {
    Allocation allocation;
    allocation.attempt = attempt;
    allocation.cores = request.cores;
    allocation.memory = memory;
    allocation.accelerators = request.accelerators;
    allocation.expectedEnd = end;
    allocation.trialWithVictims = withVictims;
    workers[workerIndex].allocate(allocation);
  }

  std::string rackOf(const WorkerId& id) const {
    auto found = clusterState.workers().find(id);
    return found == clusterState.workers().end() ? std::string() : found->second.capacity.rack;
  }
  // Returns the share of each rack's cores in use, in percent. Work that may run on any rack goes
  // to the least loaded one, if the rack matters to other work; otherwise the result is empty.
  std::map<std::string, std::int64_t> rackLoads(const PlacementUnit& unit) const {
    std::map<std::string, std::pair<std::int64_t, std::int64_t>> usedAndTotal;
    std::map<std::string, std::int64_t> loads;
    if (clusterState.config().planner.remoteSlowdown <= 1 || unit.gang ||
        unit.requirements->sameRack || !unit.requirements->preferredRack.empty())
      return loads;
    for (const auto& worker : workers) {
      if (!worker.schedulable || !isEligible(unit, worker))
        continue;
      auto& [used, total] = usedAndTotal[worker.record->capacity.rack];
      used += worker.usedCores;
      total += worker.cores;
    }
    for (const auto& [rack, cores] : usedAndTotal)
      loads[rack] = cores.second > 0 ? 100 * cores.first / cores.second : 0;
    return loads;
  }
  // Starts the unit if it fits. Chooses the fitting worker with the fewest unallocated cores; ties
  // are broken by rack, then by name. Paper 2.2.
  bool tryStart(const PlacementUnit& unit, bool localOnly = false) {
    std::vector<std::pair<std::uint32_t, std::size_t>> assignments;
    for (auto part : tasksByDescendingCores(unit)) {
      const TaskRequest& request = requestOf(unit, part);
      const WorkerId& avoidedId = taskOf(unit, part).avoidedWorker;
      const std::string avoidedRack = rackOf(avoidedId);
      std::size_t best = workers.size();
      std::tuple<int, int, std::int64_t, std::int64_t, int> bestKey{};
      const auto loads = rackLoads(unit);
      for (std::size_t workerIndex = 0; workerIndex < workers.size(); ++workerIndex) {
        WorkerView& worker = workers[workerIndex];
        if (!worker.schedulable || worker.guaranteedFreeCores() < request.cores ||
            !isEligible(unit, worker) || !fits(unit, worker, request))
          continue;
        if (localOnly && isRemote(unit, worker))
          continue;
        if (!memoryFits(worker, worker.freeMemory(), std::int64_t(request.memory), trialMemory))
          continue;
        if (delaysReservation(workerIndex, request.cores, std::int64_t(request.memory),
                              now + expectedRuntime(unit, worker, request)))
          continue;
        // Among equal fits a retry avoids the rack where the task failed, and a gang uses few
        // racks. docs/paper.md 2.
        const std::string& rack = worker.record->capacity.rack;
        const bool sameGang = std::any_of(
            assignments.begin(), assignments.end(),
            [&](const auto& other) { return workers[other.second].record->capacity.rack == rack; });
        const int rackPreference = !rack.empty() && rack == avoidedRack             ? 2
                                   : unit.gang && !assignments.empty() && !sameGang ? 1
                                                                                    : 0;
        const auto load = loads.find(rack);
        const std::tuple<int, int, std::int64_t, std::int64_t, int> key{
            worker.penalty + (worker.record->id == avoidedId ? 1 : 0), isRemote(unit, worker),
            load == loads.end() ? 0 : load->second, worker.freeCores(), rackPreference};
        if (best == workers.size() || key < bestKey) {
          best = workerIndex;
          bestKey = key;
        }
      }
      if (best == workers.size()) {
        for (auto& [task, workerIndex] : assignments)
          release(unit, workerIndex);
        return false;
      }
      allocate(best, AttemptNumber{}, request, std::int64_t(request.memory),
               now + expectedRuntime(unit, workers[best], request), false);
      if (unit.requirements->maxPerWorker)
        ++workers[best].tasksByStep[{unit.job, unit.step}];
      assignments.emplace_back(part, best);
    }
    // Self-assembling parts find each other at the workers, so they are started directly under one
    // run number; other gangs are staged. docs/design.md 7.3.
    const bool allSelfAssembling =
        unit.gang && std::all_of(assignments.begin(), assignments.end(), [&](const auto& part) {
          return workers[part.second].record->capacity.selfAssemblingGangs;
        });
    std::uint32_t run = 0;
    if (unit.gang)
      for (auto part : unit.tasks)
        run = std::max(run, taskOf(unit, part).runNumber + 1);
    for (auto& [task, workerIndex] : assignments) {
      Action action;
      action.kind = unit.gang && !allSelfAssembling ? ActionKind::stage : ActionKind::start;
      action.runNumber = run;
      action.attempt = lastAttempt = lastAttempt.next();
      action.job = unit.job;
      action.taskIndex = task;
      action.worker = workers[workerIndex].record->id;
      action.memory = requestOf(unit, task).memory;
      if (workers[workerIndex].penalty > 0)
        workers[workerIndex].reachTaskLimit();
      plan.record.actions.push_back(std::move(action));
    }
    if (TenantUsage* usage = tenantUsageOf(usageByTenant, unit.job))
      std::apply([usage](const auto&... sums) { usage->addUnreported(sums...); },
                 totalAndSmallest(unit));
    return true;
  }

  // Paper 2.2: returns the earliest guaranteed start by requested runtimes; for a gang, the
  // earliest time at which all parts fit.
  std::optional<Reservation> findReservation(const PlacementUnit& unit) const {
    std::vector<ClusterTime> times{now};
    for (const auto& worker : workers)
      for (const auto& allocation : worker.allocations)
        times.push_back(allocation.expectedEnd);
    std::sort(times.begin(), times.end());
    times.erase(std::unique(times.begin(), times.end()), times.end());
    const auto parts = tasksByDescendingCores(unit);
    for (auto time : times) {
      std::vector<std::pair<std::int64_t, std::int64_t>> free(workers.size());
      std::vector<std::int64_t> accelerators(workers.size());
      std::vector<std::uint32_t> tasksByWorker(workers.size());
      for (std::size_t workerIndex = 0; workerIndex < workers.size(); ++workerIndex) {
        free[workerIndex] = workers[workerIndex].expectedFreeAt(time);
        accelerators[workerIndex] = workers[workerIndex].expectedAcceleratorsAt(time);
        // Tasks limited per worker are counted as if none of them ended, so a unit blocked by that
        // limit gets no reservation.
        if (auto found = workers[workerIndex].tasksByStep.find({unit.job, unit.step});
            found != workers[workerIndex].tasksByStep.end())
          tasksByWorker[workerIndex] = found->second;
      }
      Reservation reservation;
      reservation.job = unit.job;
      reservation.stepIndex = unit.step;
      reservation.start = time;
      for (auto part : parts) {
        const TaskRequest& request = requestOf(unit, part);
        std::size_t best = workers.size();
        for (std::size_t workerIndex = 0; workerIndex < workers.size(); ++workerIndex) {
          if (!workers[workerIndex].record->isSchedulable() ||
              free[workerIndex].first < request.cores || !isEligible(unit, workers[workerIndex]) ||
              accelerators[workerIndex] < request.accelerators)
            continue;
          if (unit.requirements->maxPerWorker &&
              tasksByWorker[workerIndex] >= unit.requirements->maxPerWorker)
            continue;
          if (!memoryFits(workers[workerIndex], free[workerIndex].second,
                          std::int64_t(request.memory), trialMemory))
            continue;
          if (best == workers.size() || free[workerIndex].first < free[best].first)
            best = workerIndex;
        }
        if (best == workers.size())
          break;
        free[best].first -= request.cores;
        free[best].second -= std::int64_t(request.memory);
        accelerators[best] -= request.accelerators;
        ++tasksByWorker[best];
        reservation.placements.push_back({part, workers[best].record->id});
      }
      if (reservation.placements.size() == parts.size())
        return reservation;
    }
    return std::nullopt;
  }

  double slowdown(const Attempt& attempt) const {
    const Task& task = clusterState.jobs().at(attempt.job).tasks[attempt.taskIndex];
    const double ran = std::max(1.0, double(attempt.runtimeAt(now).milliseconds));
    return double((now - task.readyAt).milliseconds) / ran;
  }
  bool maySuspend(const Attempt& attempt) {
    const QueueOptions& queue = queueOptionsOf(attempt.job);
    PolicyProgram::Inputs inputs;
    inputs.runtime = attempt.runtime.hours();
    inputs.running = (now - attempt.runningSince).hours();
    inputs.slowdown = slowdown(attempt);
    inputs.cores = attempt.cores / 1000.0;
    inputs.memory = double(attempt.memory);
    inputs.priority = double(queue.priority);
    return compiledPolicyOf(queue.policy).maySuspend.evaluate(inputs) != 0.0;
  }

  struct TrialPlacement {
    std::size_t workerIndex = 0;
    std::int64_t idleCoresAfter = 0;
    std::vector<AttemptNumber> victims;
  };
  // Returns the worker and the victims for a trial. The trial may not delay the reserved start,
  // except that of its own unit, which benefits from it. docs/paper.md 4. Paper 2.4: idle cores are
  // used first, then victims with the least slowdown among the attempts that have run uninterrupted
  // for long enough.
  std::optional<TrialPlacement> findTrialPlacement(const PlacementUnit& unit,
                                                   const TaskRequest& request,
                                                   const WorkerId& avoidedId, std::int64_t memory,
                                                   const TrialOptions& options, bool allowVictims,
                                                   bool holdsReservation) {
    std::optional<TrialPlacement> best;
    for (std::size_t workerIndex = 0; workerIndex < workers.size(); ++workerIndex) {
      WorkerView& worker = workers[workerIndex];
      if (!worker.schedulable || worker.penalty > 0 || worker.record->id == avoidedId ||
          !worker.record->capacity.supportsSuspend || !isEligible(unit, worker) ||
          !fits(unit, worker, request))
        continue;
      if (worker.cores < request.cores || worker.freeMemory() < memory)
        continue;
      TrialPlacement candidate;
      candidate.workerIndex = workerIndex;
      std::int64_t free = worker.guaranteedFreeCores();
      if (free < request.cores) {
        if (!allowVictims)
          continue;
        std::vector<std::pair<double, const Attempt*>> eligible;
        for (const auto& allocation : worker.allocations) {
          auto found = clusterState.attempts().find(allocation.attempt);
          if (found == clusterState.attempts().end() || allocation.suspended)
            continue;
          const Attempt& attempt = found->second;
          // Gang parts are never suspended, because the other parts would run on alone.
          // docs/paper.md 5.
          if (attempt.state != AttemptState::running || attempt.isTrial() || attempt.gang ||
              attempt.abandoned)
            continue;
          if (now - attempt.runningSince < options.minimumRuntime || !maySuspend(attempt))
            continue;
          eligible.emplace_back(slowdown(attempt), &attempt);
        }
        std::sort(eligible.begin(), eligible.end(), [](auto& left, auto& right) {
          return std::tie(left.first, left.second->number) <
                 std::tie(right.first, right.second->number);
        });
        for (auto& [least, victim] : eligible) {
          if (free >= request.cores)
            break;
          free += victim->cores;
          candidate.victims.push_back(victim->number);
        }
        if (free < request.cores)
          continue;
      }
      candidate.idleCoresAfter = free - request.cores;
      const ClusterTime end = now + options.quantum;
      if (candidate.victims.empty()) {
        if (!holdsReservation && delaysReservation(workerIndex, request.cores, memory, end))
          continue;
      } else if (!holdsReservation) {
        WorkerView changed = worker;
        for (auto& allocation : changed.allocations)
          if (std::count(candidate.victims.begin(), candidate.victims.end(), allocation.attempt))
            allocation.expectedEnd = allocation.expectedEnd + options.quantum;
        const bool overlaps = end > plan.record.reservation.start;
        if (!reservationStillFits(workerIndex, changed, overlaps ? request.cores : 0,
                                  overlaps ? memory : 0))
          continue;
      }
      if (!best || candidate.idleCoresAfter < best->idleCoresAfter)
        best = std::move(candidate);
    }
    return best;
  }

  bool tryTrial(const PlacementUnit& unit) {
    const QueueOptions& queue = queueOptionsOf(unit.job);
    std::vector<WorkerView> before;
    if (unit.gang)
      before = workers;
    const auto actionsBefore = plan.record.actions.size();
    const AttemptNumber attemptBefore = lastAttempt;
    std::vector<std::array<std::int64_t, 3>> started;
    const Reservation& reservation = plan.record.reservation;
    const bool holdsReservation = reservation.job == unit.job && reservation.stepIndex == unit.step;
    for (auto part : tasksByDescendingCores(unit)) {
      const TaskRequest& request = requestOf(unit, part);
      const auto memory = std::int64_t(std::min<std::uint64_t>(request.memory, queue.trial.memory));
      const WorkerId& avoidedId = taskOf(unit, part).avoidedWorker;
      auto found = findTrialPlacement(unit, request, avoidedId, memory, queue.trial, false,
                                      holdsReservation);
      if (!found)
        found = findTrialPlacement(unit, request, avoidedId, memory, queue.trial, true,
                                   holdsReservation);
      if (!found) {
        if (unit.gang)
          workers = std::move(before);
        plan.record.actions.resize(actionsBefore);
        lastAttempt = attemptBefore;
        return false;
      }
      lastAttempt = lastAttempt.next();
      for (auto victim : found->victims) {
        Action suspend;
        suspend.kind = ActionKind::suspend;
        suspend.attempt = victim;
        suspend.worker = workers[found->workerIndex].record->id;
        suspend.suspendedForTrial = lastAttempt;
        plan.record.actions.push_back(suspend);
        for (auto& allocation : workers[found->workerIndex].allocations)
          if (allocation.attempt == victim) {
            workers[found->workerIndex].suspend(allocation);
            allocation.expectedEnd = allocation.expectedEnd + queue.trial.quantum;
          }
      }
      Action action;
      action.kind = unit.gang ? ActionKind::stage : ActionKind::start;
      action.attempt = lastAttempt;
      action.job = unit.job;
      action.taskIndex = part;
      action.worker = workers[found->workerIndex].record->id;
      action.trial = true;
      action.quantum = queue.trial.quantum;
      action.memory = std::uint64_t(memory);
      allocate(found->workerIndex, lastAttempt, request, memory, now + queue.trial.quantum,
               !found->victims.empty());
      if (unit.requirements->maxPerWorker)
        ++workers[found->workerIndex].tasksByStep[{unit.job, unit.step}];
      started.push_back(amounts(request.cores, std::uint64_t(memory), request.accelerators));
      plan.record.actions.push_back(std::move(action));
    }
    if (TenantUsage* usage = tenantUsageOf(usageByTenant, unit.job))
      for (const auto& part : started)
        usage->addUnreported(part, part);
    return true;
  }

  // Launches gangs that are staged on all their workers, and stops those that can't be launched.
  // docs/design.md 7.3.
  void advanceGangs() {
    std::map<std::pair<JobId, std::uint32_t>, std::vector<const Attempt*>> gangs;
    for (const auto& [number, attempt] : clusterState.attempts())
      if (attempt.gang && !attempt.abandoned && !clusterState.jobs().at(attempt.job).tasks.empty())
        gangs[{attempt.job, attempt.stepIndex}].push_back(&attempt);
    for (const auto& [key, parts] : gangs) {
      const Job& job = clusterState.jobs().at(key.first);
      std::size_t openParts = 0;
      for (const auto& task : job.tasks)
        openParts += task.stepIndex == key.second && task.state != TaskState::succeeded;
      bool allStaged = parts.size() == openParts, staging = false, stagingTimedOut = false,
           startUnconfirmed = false;
      for (const auto* part : parts) {
        const bool unconfirmed = part->state == AttemptState::launching ||
                                 (part->selfAssembling && part->state == AttemptState::ordered);
        startUnconfirmed = startUnconfirmed ||
                           (unconfirmed && now - part->runningSince > startConfirmationTimeout);
        if (part->selfAssembling)
          continue;
        if (part->state == AttemptState::staged || part->state == AttemptState::ordered) {
          staging = true;
          stagingTimedOut = stagingTimedOut || now - part->orderedAt > stagingTimeout;
        }
        auto contactAge = contactAges.find(part->worker);
        const bool inContact =
            contactAge != contactAges.end() && contactAge->second < Duration{1500};
        allStaged = allStaged && part->state == AttemptState::staged && inContact &&
                    clusterState.workers().at(part->worker).isSchedulable();
      }
      for (const auto* part : parts) {
        Action action;
        action.attempt = part->number;
        action.worker = part->worker;
        if (allStaged && !part->selfAssembling)
          action.kind = ActionKind::launch;
        else if (startUnconfirmed && part->state != AttemptState::stopping) {
          action.kind = ActionKind::stop;
          action.reason = "alone";
        } else if (staging && stagingTimedOut && part->state != AttemptState::stopping) {
          action.kind = ActionKind::stop;
          action.reason = "staging";
        } else
          continue;
        plan.record.actions.push_back(std::move(action));
      }
    }
  }

  void stopOverTimeLimit() {
    for (const auto& [number, attempt] : clusterState.attempts()) {
      if (attempt.abandoned || attempt.state != AttemptState::running)
        continue;
      const Duration limit = queueOptionsOf(attempt.job).hardRuntimeLimit;
      Action action;
      action.kind = ActionKind::stop;
      action.attempt = number;
      action.worker = attempt.worker;
      if (attempt.isTrial() && attempt.runtimeAt(now) > attempt.quantum + trialStopGrace)
        action.reason = "trial";
      else if (!attempt.isTrial() && limit.milliseconds > 0 && attempt.runtimeAt(now) > limit)
        action.reason = "hard limit";
      else
        continue;
      plan.record.actions.push_back(std::move(action));
    }
  }

  // With strict priority, work that has time left leaves free the cores that the most urgent queues
  // have needed recently: on workers that can't suspend, the paper's immediate service has no
  // victims without a cost. docs/paper.md 5.
  struct PoolDemand {
    std::int64_t cores = 0, free = 0, urgentCoresInUse = 0, urgentCoresPending = 0;
  };
  std::map<std::string, PoolDemand> poolDemands;
  std::int64_t highestPriority = 0;
  // The resources that the attempts of a tenant hold, compared with its cap. docs/design.md 7.13.
  struct TenantUsage {
    // Cores, memory and accelerators; a cap of 0 means no limit.
    std::array<std::int64_t, 3> cap{}, used{};
    // The smallest request, per resource, among starts that no worker has reported yet.
    std::optional<std::array<std::int64_t, 3>> smallestUnreported;
    bool admits(const std::array<std::int64_t, 3>& total,
                const std::array<std::int64_t, 3>& smallest) const {
      bool within = true, withinExceptSmallest = true, atMostHalf = true;
      for (std::size_t index = 0; index < cap.size(); ++index) {
        if (!cap[index])
          continue;
        within = within && used[index] + total[index] <= cap[index];
        const std::int64_t least = smallestUnreported
                                       ? std::min((*smallestUnreported)[index], smallest[index])
                                       : smallest[index];
        withinExceptSmallest =
            withinExceptSmallest && used[index] + total[index] - least <= cap[index];
        atMostHalf = atMostHalf && used[index] <= cap[index] / 2;
      }
      return within || (atMostHalf && withinExceptSmallest);
    }
    void add(const std::array<std::int64_t, 3>& total) {
      for (std::size_t index = 0; index < cap.size(); ++index)
        used[index] += total[index];
    }
    void addUnreported(const std::array<std::int64_t, 3>& total,
                       const std::array<std::int64_t, 3>& smallest) {
      add(total);
      if (!smallestUnreported)
        smallestUnreported = smallest;
      for (std::size_t index = 0; index < cap.size(); ++index)
        (*smallestUnreported)[index] = std::min((*smallestUnreported)[index], smallest[index]);
    }
  };
  std::map<TenantName, TenantUsage> usageByTenant;
  static std::array<std::int64_t, 3> amounts(std::int64_t cores, std::uint64_t memory,
                                             std::int64_t accelerators) {
    return {cores, std::int64_t(memory), accelerators};
  }
  void sumTenantUsages() {
    for (const auto& [name, tenant] : clusterState.config().tenants.all())
      if (tenant.cap.isLimited())
        usageByTenant[name].cap = amounts(std::int64_t(tenant.cap.cores), tenant.cap.memory,
                                          std::int64_t(tenant.cap.accelerators));
    for (const auto& [number, attempt] : clusterState.attempts()) {
      auto job = clusterState.jobs().find(attempt.job);
      if (attempt.abandoned || job == clusterState.jobs().end())
        continue;
      auto usage = usageByTenant.find(job->second.submission.tenant);
      if (usage == usageByTenant.end())
        continue;
      const auto allocated = amounts(attempt.cores, attempt.memory, attempt.accelerators);
      if (attempt.state == AttemptState::running || attempt.state == AttemptState::suspended)
        usage->second.add(allocated);
      else
        usage->second.addUnreported(allocated, allocated);
    }
  }
  TenantUsage* tenantUsageOf(std::map<TenantName, TenantUsage>& usages, const JobId& job) const {
    auto usage = usages.find(clusterState.jobs().at(job).submission.tenant);
    return usage == usages.end() ? nullptr : &usage->second;
  }
  std::pair<std::array<std::int64_t, 3>, std::array<std::int64_t, 3>> totalAndSmallest(
      const PlacementUnit& unit) const {
    std::array<std::int64_t, 3> total{}, smallest{};
    smallest.fill(std::numeric_limits<std::int64_t>::max());
    for (auto part : unit.tasks) {
      const TaskRequest& request = requestOf(unit, part);
      const auto requested = amounts(request.cores, request.memory, request.accelerators);
      for (std::size_t index = 0; index < requested.size(); ++index) {
        total[index] += requested[index];
        smallest[index] = std::min(smallest[index], requested[index]);
      }
    }
    return {total, smallest};
  }
  bool fitsTenantCap(const PlacementUnit& unit) {
    const TenantUsage* usage = tenantUsageOf(usageByTenant, unit.job);
    const auto [total, smallest] = totalAndSmallest(unit);
    return !usage || usage->admits(total, smallest);
  }
  void measureUrgentDemand(const std::vector<PlacementUnit>& units) {
    for (const auto& [name, queue] : clusterState.config().queues)
      highestPriority = std::max(highestPriority, queue.priority);
    for (const auto& worker : workers)
      if (worker.schedulable) {
        PoolDemand& pool = poolDemands[worker.record->capacity.pool];
        pool.cores += worker.cores;
        pool.free += std::max<std::int64_t>(0, worker.guaranteedFreeCores());
      }
    for (const auto& [number, attempt] : clusterState.attempts())
      if (!attempt.abandoned && queueOptionsOf(attempt.job).priority == highestPriority)
        poolDemands[queueOptionsOf(attempt.job).pool].urgentCoresInUse += attempt.cores;
    auto usages = usageByTenant;  // assumes that all units that may start do
    for (const auto& unit : units) {
      if (unit.queuePriority != highestPriority || unit.targetStatus >= 2)
        continue;
      if (TenantUsage* usage = tenantUsageOf(usages, unit.job)) {
        const auto [total, smallest] = totalAndSmallest(unit);
        if (!usage->admits(total, smallest))
          continue;
        usage->addUnreported(total, smallest);
      }
      for (auto part : unit.tasks)
        poolDemands[unit.pool].urgentCoresPending += requestOf(unit, part).cores;
    }
    for (const auto& [name, pool] : poolDemands)
      plan.urgentDemand[name] = pool.urgentCoresInUse + pool.urgentCoresPending;
  }
  bool leavesUrgentHeadroom(const PlacementUnit& unit) {
    if (!clusterState.config().planner.strictPriority || unit.queuePriority == highestPriority ||
        (unit.lowSlack && unit.targetStatus < 2))
      return true;
    auto demand = hints.urgentDemand.find(unit.pool);
    const PoolDemand& pool = poolDemands[unit.pool];
    // Work is never held back while more than two fifths of the pool's cores are free.
    if (demand == hints.urgentDemand.end() || 5 * pool.free > 2 * pool.cores)
      return true;
    std::int64_t cores = 0;
    for (auto part : unit.tasks)
      cores += requestOf(unit, part).cores;
    return pool.free - cores >= demand->second - pool.urgentCoresInUse;
  }

  // Reports whether the unit fits twice. For a gang this is an upper bound, based on the smallest
  // request of its parts for each resource.
  bool fitsTwice(const PlacementUnit& unit) const {
    constexpr auto most = std::numeric_limits<std::int64_t>::max();
    std::int64_t cores = most, memory = most, accelerators = most, slots = 0;
    for (auto part : unit.tasks) {
      const TaskRequest& request = requestOf(unit, part);
      cores = std::min(cores, std::int64_t(request.cores));
      memory = std::min(memory, std::int64_t(request.memory));
      accelerators = std::min(accelerators, std::int64_t(request.accelerators));
    }
    const auto needed = std::int64_t(2 * unit.tasks.size());
    for (const auto& worker : workers) {
      if (!worker.schedulable || !isEligible(unit, worker))
        continue;
      std::int64_t workerSlots = needed;
      if (cores > 0)
        workerSlots = std::min(workerSlots, worker.guaranteedFreeCores() / cores);
      if (memory > 0)
        workerSlots = std::min(workerSlots, worker.freeMemory() / memory);
      if (accelerators > 0)
        workerSlots = std::min(workerSlots, worker.freeAccelerators() / accelerators);
      if (const std::int64_t limit = unit.requirements->maxPerWorker) {
        const auto running = worker.tasksByStep.find({unit.job, unit.step});
        const std::int64_t runningTasks =
            running == worker.tasksByStep.end() ? 0 : std::int64_t(running->second);
        workerSlots = std::min(workerSlots, limit - runningTasks);
      }
      slots += std::max<std::int64_t>(0, workerSlots);
    }
    return slots >= needed;
  }
  // Starts units that have been passed over for too long. Work that fits twice is passed over for a
  // bounded time only if it is a long-running task or its job has no running attempt; then it
  // starts even if it delays the reserved start. docs/paper.md 5.
  std::set<const PlacementUnit*> startOverdueUnits(const std::vector<const PlacementUnit*>& waiting,
                                                   std::set<JobId> startedJobs) {
    std::set<const PlacementUnit*> overdue;
    if (hints.maxPassedOverTime.milliseconds <= 0)
      return overdue;
    liftTaskLimits();
    for (const auto* unit : waiting) {
      const bool isLongRunning = unit->requirements->longRunning && !unit->gang;
      const PassedOverUnit name{unit->job,
                                isLongRunning ? std::optional(unit->tasks.front()) : std::nullopt};
      const bool idle = !startedJobs.count(unit->job) &&
                        clusterState.attemptsOf(unit->job, AttemptScope::withoutAbandoned).empty();
      if (!fitsTenantCap(*unit) || plan.passedOver.count(name) || (!isLongRunning && !idle) ||
          !fitsTwice(*unit))
        continue;
      const auto known = hints.passedOverFor.find(name);
      if (known != hints.passedOverFor.end() && known->second >= hints.maxPassedOverTime) {
        const Reservation reserved = std::exchange(plan.record.reservation, Reservation{});
        const bool started = tryStart(*unit);
        plan.record.reservation = reserved;
        if (started) {
          startedJobs.insert(unit->job);
          overdue.insert(unit);
          explainDecision(*unit, "starts after it was passed over for too long");
          continue;
        }
      }
      plan.passedOver.insert(name);
    }
    for (auto& worker : workers)
      worker.liftTaskLimit(false);
    return overdue;
  }
  // Work that fits only on workers with a penalty must not starve while less than half of its pool
  // is in use.
  void liftTaskLimits() {
    std::map<std::string, std::pair<std::int64_t, std::int64_t>> usedAndTotal;
    for (const auto& worker : workers)
      if (worker.available) {
        auto& [used, total] = usedAndTotal[worker.record->capacity.pool];
        used += worker.usedCores;
        total += worker.cores;
      }
    for (auto& worker : workers) {
      const auto& [used, total] = usedAndTotal[worker.record->capacity.pool];
      worker.liftTaskLimit(2 * used < total);
    }
  }

  // Reports whether the attempt belongs to checkpointed work on a worker that can't suspend, which
  // may be preempted for urgent work that finds no room.
  bool isCheckpointed(const Attempt& attempt) const {
    const Worker& worker = clusterState.workers().at(attempt.worker);
    const auto job = clusterState.jobs().find(attempt.job);
    if (attempt.abandoned || attempt.gang || attempt.isTrial() || worker.capacity.supportsSuspend ||
        worker.state == WorkerState::removed || job == clusterState.jobs().end() ||
        attempt.stepIndex >= job->second.submission.steps.size())
      return false;
    const auto& requirements = job->second.submission.steps[attempt.stepIndex].requirements;
    return requirements.checkpointed && !requirements.longRunning && !requirements.redundant;
  }
  bool mayBePreempted(const Attempt& attempt) {
    const QueueOptions& queue = queueOptionsOf(attempt.job);
    if (attempt.state != AttemptState::running || queue.priority == highestPriority ||
        attempt.runtimeAt(now) < Duration{1500})
      return false;
    if (queue.hardRuntimeLimit.milliseconds > 0 && attempt.runtimeAt(now) > queue.hardRuntimeLimit)
      return false;
    for (const auto& worker : workers)
      if (worker.record->id == attempt.worker && !worker.schedulable)
        return false;
    const LatencyTarget target = latencyTargetOf(clusterState.jobs().at(attempt.job), queue);
    return !target.lowSlack || target.targetStatus == 2;
  }
  void preemptForUrgentWork(const std::vector<const PlacementUnit*>& notStarted,
                            const std::set<const PlacementUnit*>& overdue) {
    if (!clusterState.config().planner.strictPriority)
      return;
    std::map<std::string, std::int64_t> lacking;
    for (const auto* unit : notStarted)
      if (!overdue.count(unit) && unit->queuePriority == highestPriority && unit->targetStatus < 2)
        for (auto part : unit->tasks)
          lacking[unit->pool] += requestOf(*unit, part).cores;
    std::vector<const Attempt*> candidates;
    for (const auto& [number, attempt] : clusterState.attempts()) {
      const std::string& pool = queueOptionsOf(attempt.job).pool;
      if (!isCheckpointed(attempt) || !lacking.count(pool))
        continue;
      if (attempt.state == AttemptState::stopping)
        lacking[pool] -= attempt.cores;
      if (mayBePreempted(attempt))
        candidates.push_back(&attempt);
    }
    std::sort(candidates.begin(), candidates.end(), [&](const Attempt* left, const Attempt* right) {
      const auto leftPriority = queueOptionsOf(left->job).priority;
      const auto rightPriority = queueOptionsOf(right->job).priority;
      return leftPriority != rightPriority ? leftPriority < rightPriority
                                           : left->number > right->number;
    });
    for (const auto* attempt : candidates) {
      std::int64_t& cores = lacking[queueOptionsOf(attempt->job).pool];
      if (cores <= 0)
        continue;
      cores -= attempt->cores;
      Action action;
      action.kind = ActionKind::stop;
      action.attempt = attempt->number;
      action.worker = attempt->worker;
      action.reason = "preempted";
      plan.record.actions.push_back(std::move(action));
    }
  }

  void explainDecision(const PlacementUnit& unit, std::string text) {
    if (explain)
      plan.explanations.push_back({unit.job, unit.step, unit.rank, std::move(text)});
  }

  bool isRuledOut(const PlacementUnit& unit) {
    if (unit.gang || !plan.record.reservation.isActive() || unit.requirements->maxPerWorker)
      return false;
    return failedBackfills[{unit.pool, unit.requirements->requiredLabel}].covers(shapeOf(unit));
  }
  FailedRequests::RequestShape shapeOf(const PlacementUnit& unit) const {
    FailedRequests::RequestShape shape{0, 0, unit.runtime.milliseconds};
    if (unit.gang)
      return shape;
    shape.cores = requestOf(unit, unit.tasks[0]).cores;
    shape.memory = std::int64_t(requestOf(unit, unit.tasks[0]).memory);
    return shape;
  }
  void recordStart(const PlacementUnit& unit, std::set<JobId>& startedJobs) {
    for (auto part : unit.tasks)
      poolDemands[unit.pool].free -= requestOf(unit, part).cores;
    explainDecision(unit, "starts in this plan");
    startedJobs.insert(unit.job);
  }
  void decide(const PlacementUnit& unit, std::vector<const PlacementUnit*>& notStarted,
              std::vector<const PlacementUnit*>& waiting, std::set<JobId>& startedJobs) {
    const bool reserved = plan.record.reservation.isActive();
    if (!fitsTenantCap(unit)) {
      ++plan.heldByTenantCap;
      explainDecision(unit, "its tenant runs as much as its cap allows");
      waiting.push_back(&unit);
      return;
    }
    if (isRuledOut(unit)) {
      explainDecision(unit, "would delay the reserved start, or no worker has room");
      notStarted.push_back(&unit);
      waiting.push_back(&unit);
      return;
    }
    if (!leavesUrgentHeadroom(unit)) {
      explainDecision(unit, "leaves room that urgent work has wanted lately");
      waiting.push_back(&unit);
      return;
    }
    if (tryStart(unit))
      return recordStart(unit, startedJobs);
    notStarted.push_back(&unit);
    waiting.push_back(&unit);
    if (!reserved) {
      auto reservation = findReservation(unit);
      if (!reservation)
        return explainDecision(unit, "no worker that is here now could ever hold it");
      const Reservation& before = clusterState.reservation();
      const bool same = before.job == unit.job && before.stepIndex == unit.step;
      reservation->timesMoved = same ? before.timesMoved : 0;
      if (same && reservation->start > before.start + Duration{1000})
        ++reservation->timesMoved;
      plan.record.reservation = *reservation;
      return explainDecision(
          unit, "holds the reserved start on " + reservation->placements.front().worker.value +
                    " in " + std::to_string((reservation->start - now).milliseconds) + " ms");
    }
    if (!unit.gang && !unit.requirements->maxPerWorker && !unit.requirements->sameRack &&
        unit.requirements->preferredRack.empty() && !requestOf(unit, unit.tasks[0]).accelerators)
      failedBackfills[{unit.pool, unit.requirements->requiredLabel}].add(shapeOf(unit));
    explainDecision(unit, "would delay the reserved start, or no worker has room");
  }

  Plan run() {
    buildWorkers();
    sumTenantUsages();
    advanceGangs();
    stopOverTimeLimit();
    auto units = collectUnits();
    plan.pendingUnits = units.size();
    for (const auto& unit : units)
      ++plan.unitsByTargetStatus[std::size_t(unit.targetStatus)];
    for (const auto& worker : workers) {
      ++(worker.schedulable ? plan.schedulableWorkers : plan.excludedWorkers);
      plan.schedulableCores += worker.schedulable ? worker.cores : 0;
      plan.allocatedCores += worker.schedulable ? worker.usedCores : 0;
    }
    if (clusterState.config().planner.strictPriority)
      measureUrgentDemand(units);
    std::vector<const PlacementUnit*> notStarted;
    // Units in `notStarted`, and those held back by a cap, headroom or locality.
    std::vector<const PlacementUnit*> waiting;
    std::set<JobId> startedJobs;
    // Units of one priority that fit only away from their data. They are tried after the others,
    // and only after they have waited for as long as a remote run would take longer.
    std::vector<const PlacementUnit*> deferred;
    auto decideDeferred = [&] {
      for (const auto* unit : deferred) {
        const double extra =
            (clusterState.config().planner.remoteSlowdown - 1) * double(unit->runtime.milliseconds);
        if (now - unit->readyAt >= std::min(Duration{std::int64_t(extra)}, Duration{2000})) {
          decide(*unit, notStarted, waiting, startedJobs);
          continue;
        }
        explainDecision(*unit, "waits for room near its data");
        waiting.push_back(unit);
      }
      deferred.clear();
    };
    const PlacementUnit* previous = nullptr;
    for (const auto& unit : units) {
      if (previous && (previous->queuePriority != unit.queuePriority ||
                       (previous->targetStatus == 2) != (unit.targetStatus == 2)))
        decideDeferred();
      previous = &unit;
      const bool prefersRack =
          clusterState.config().planner.remoteSlowdown > 1 &&
          (unit.requirements->sameRack || !unit.requirements->preferredRack.empty());
      if (!prefersRack || !fitsTenantCap(unit) || isRuledOut(unit) || !leavesUrgentHeadroom(unit))
        decide(unit, notStarted, waiting, startedJobs);
      else if (tryStart(unit, true))
        recordStart(unit, startedJobs);
      else
        deferred.push_back(&unit);
    }
    decideDeferred();
    const auto overdue = startOverdueUnits(waiting, startedJobs);
    if (clusterState.config().planner.trialsEnabled)
      for (const auto* unit : notStarted) {
        if (overdue.count(unit))
          continue;
        const Task& first = taskOf(*unit, unit->tasks[0]);
        if (first.trialStarted || first.trialExpired || first.countedStarts > 0 ||
            !fitsTenantCap(*unit))
          continue;
        const QueueOptions& queue = queueOptionsOf(unit->job);
        FailedRequests::RequestShape shape{0, 0, queue.trial.minimumRuntime.milliseconds};
        if (!unit->gang) {
          const TaskRequest& request = requestOf(*unit, unit->tasks[0]);
          shape.cores = request.cores;
          shape.memory = std::int64_t(std::min<std::uint64_t>(request.memory, queue.trial.memory));
          if (failedTrials.covers(shape) || !unit->requirements->requiredLabel.empty() ||
              !unit->pool.empty())
            continue;
        }
        if (!tryTrial(*unit)) {
          if (!unit->gang && unit->requirements->requiredLabel.empty() && unit->pool.empty() &&
              queue.trial.quantum >= Duration{1000})
            failedTrials.add(shape);
        } else
          explainDecision(*unit, "gets its trial in this plan");
      }
    preemptForUrgentWork(notStarted, overdue);
    startRedundantCopies();
    plan.record.number = clusterState.lastPlan().next();
    return std::move(plan);
  }
};

Planner::Planner() = default;
Planner::~Planner() = default;

Plan Planner::makePlan(const ClusterState& clusterState, ClusterTime now,
                       const LastContactAges& contactAges, bool explain,
                       const PlannerHints& hints) {
  if (!hasCompiledPolicies || compiledVersion != clusterState.config().version) {
    compiledPolicies.clear();
    for (const auto& [name, policy] : clusterState.config().policies)
      compiledPolicies.emplace(name, CompiledPolicy{PolicyProgram(policy.rankExpression),
                                                    PolicyProgram(policy.suspendExpression)});
    if (!compiledPolicies.count("default"))
      compiledPolicies.emplace(
          "default",
          CompiledPolicy{PolicyProgram(PolicyOptions{}.rankExpression), PolicyProgram("1")});
    compiledVersion = clusterState.config().version;
    hasCompiledPolicies = true;
  }
  return PlanRun(*this, clusterState, now, contactAges, explain, hints).run();
}

std::optional<ClusterTime> Planner::nextPlanTime(const ClusterState& clusterState,
                                                 ClusterTime now) {
  std::optional<ClusterTime> due;
  auto consider = [&](ClusterTime time) {
    if (time <= now)
      time = now + Duration{1};
    if (!due || time < *due)
      due = time;
  };
  for (const auto& [number, attempt] : clusterState.attempts()) {
    if (attempt.abandoned)
      continue;
    if (attempt.isTrial() && attempt.state == AttemptState::running)
      consider(now + (attempt.quantum + trialStopGrace - attempt.runtimeAt(now)) + Duration{1});
    if (attempt.gang && !attempt.selfAssembling &&
        (attempt.state == AttemptState::ordered || attempt.state == AttemptState::staged))
      consider(now + Duration{200});
    if (attempt.gang && (attempt.state == AttemptState::launching ||
                         (attempt.selfAssembling && attempt.state == AttemptState::ordered)))
      consider(attempt.runningSince + startConfirmationTimeout + Duration{1});
    if (!attempt.isTrial() && attempt.state == AttemptState::running) {
      const auto found = clusterState.jobs().find(attempt.job);
      const auto* queue = found == clusterState.jobs().end()
                              ? nullptr
                              : clusterState.config().findQueue(found->second.submission.queue);
      if (queue && queue->hardRuntimeLimit.milliseconds > 0)
        consider(now + (queue->hardRuntimeLimit - attempt.runtimeAt(now)) + Duration{1});
    }
  }
  for (const auto& id : clusterState.openJobs()) {
    const Job& job = clusterState.jobs().at(id);
    if (job.state != JobState::active)
      continue;
    for (const auto& task : job.tasks)
      if (task.state == TaskState::pending) {
        consider(std::max(task.notBefore, now + Duration{500}));
        break;
      }
  }
  return due;
}

}  // namespace aniseline::reference
