// Checks a plan against the limits that every start must keep, by plain sums over the cluster
// state. It shares no code with the planner or the reference planner, so that a start which one of
// them forgets to count is found.
#ifndef ANISELINE_TESTS_SCHEDULING_PLAN_LIMITS_HPP
#define ANISELINE_TESTS_SCHEDULING_PLAN_LIMITS_HPP
#include "state/cluster_state.hpp"

namespace aniseline {

class PlanLimits {
 public:
  // \param state  the cluster state that the plan was made for
  PlanLimits(const ClusterState& state, const PlanMade& plan) : state(state), plan(plan) {}

  // Returns a description of the first limit that the plan exceeds; empty if it keeps all.
  std::string firstViolation() {
    countOpenAttempts();
    countStarts();
    for (const auto& action : plan.actions) {
      if (!isStart(action))
        continue;
      if (!isEligible(action))
        return "not eligible: " + describe(action);
      if (!fitsWorker(action.worker))
        return "worker is over its capacity: " + describe(action);
      if (!keepsMaxPerWorker(action))
        return "too many tasks of the step on one worker: " + describe(action);
      if (!keepsTenantCap(action))
        return "tenant is over its cap: " + describe(action);
      if (!startsWholeGang(action))
        return "part of a gang: " + describe(action);
    }
    return "";
  }

 private:
  struct Usage {
    std::uint64_t cores = 0;
    std::uint64_t memory = 0;
    std::uint64_t accelerators = 0;
    void add(std::uint64_t moreCores, std::uint64_t moreMemory, std::uint64_t moreAccelerators) {
      cores += moreCores;
      memory += moreMemory;
      accelerators += moreAccelerators;
    }
  };
  using StepOnWorker = std::tuple<JobId, std::uint32_t, WorkerId>;

  static bool isStart(const Action& action) {
    return action.kind == ActionKind::start || action.kind == ActionKind::stage;
  }
  static std::string describe(const Action& action) {
    return action.job.value + " task " + std::to_string(action.taskIndex) + " on " +
           action.worker.value + (action.redundantCopy ? " (copy)" : "") +
           (action.trial ? " (trial)" : "");
  }
  const Job& jobOf(const Action& action) const { return state.jobs().at(action.job); }
  const Task& taskOf(const Action& action) const { return jobOf(action).tasks[action.taskIndex]; }
  const StepRequest& stepOf(const Action& action) const {
    return jobOf(action).submission.steps[taskOf(action).stepIndex];
  }
  const TaskRequest& requestOf(const Action& action) const {
    return stepOf(action).tasks[taskOf(action).indexInStep];
  }

  // Everything that may still run on a worker counts, also what is being stopped.
  void countOpenAttempts() {
    std::set<AttemptNumber> suspendedByPlan;
    for (const auto& action : plan.actions)
      if (action.kind == ActionKind::suspend)
        suspendedByPlan.insert(action.attempt);
    for (const auto& [number, attempt] : state.attempts()) {
      const bool usesCores =
          attempt.state != AttemptState::suspended && !suspendedByPlan.count(number);
      usageByWorker[attempt.worker].add(usesCores ? attempt.cores : 0, attempt.memory,
                                        attempt.accelerators);
      ++tasksByStepOnWorker[{attempt.job, attempt.stepIndex, attempt.worker}];
      const auto job = state.jobs().find(attempt.job);
      if (job != state.jobs().end() && !attempt.abandoned)
        countForTenant(job->second.submission.tenant, attempt.cores, attempt.memory,
                       attempt.accelerators);
    }
  }
  void countStarts() {
    for (const auto& action : plan.actions) {
      if (!isStart(action))
        continue;
      const TaskRequest& request = requestOf(action);
      usageByWorker[action.worker].add(request.cores, action.memory, request.accelerators);
      ++tasksByStepOnWorker[{action.job, taskOf(action).stepIndex, action.worker}];
      countForTenant(jobOf(action).submission.tenant, request.cores, action.memory,
                     request.accelerators);
      ++startsByStep[{action.job, taskOf(action).stepIndex}];
    }
  }
  void countForTenant(const TenantName& tenant, std::uint64_t cores, std::uint64_t memory,
                      std::uint64_t accelerators) {
    usageByTenant[tenant].add(cores, memory, accelerators);
    Usage& largest = largestByTenant[tenant];
    largest.cores = std::max(largest.cores, cores);
    largest.memory = std::max(largest.memory, memory);
    largest.accelerators = std::max(largest.accelerators, accelerators);
  }

  bool isEligible(const Action& action) const {
    const auto worker = state.workers().find(action.worker);
    if (worker == state.workers().end() || !worker->second.isSchedulable())
      return false;
    const auto* queue = state.config().findQueue(jobOf(action).submission.queue);
    const Capacity& capacity = worker->second.capacity;
    const std::string& label = stepOf(action).requirements.requiredLabel;
    const bool hasLabel =
        label.empty() || std::count(capacity.labels.begin(), capacity.labels.end(), label) > 0;
    return capacity.pool == (queue ? queue->pool : std::string()) && hasLabel;
  }
  bool fitsWorker(const WorkerId& id) const {
    const Capacity& capacity = state.workers().at(id).capacity;
    const Usage& used = usageByWorker.at(id);
    return used.cores <= capacity.cores && used.memory <= capacity.memory &&
           used.accelerators <= capacity.accelerators;
  }
  bool keepsMaxPerWorker(const Action& action) const {
    const std::uint32_t limit = stepOf(action).requirements.maxPerWorker;
    return limit == 0 ||
           tasksByStepOnWorker.at({action.job, taskOf(action).stepIndex, action.worker}) <= limit;
  }
  // A tenant may exceed its cap by less than one task.
  bool keepsTenantCap(const Action& action) const {
    const TenantName& name = jobOf(action).submission.tenant;
    const auto& tenants = state.config().tenants.all();
    const auto tenant = tenants.find(name);
    if (tenant == tenants.end())
      return true;
    const TenantCap& cap = tenant->second.cap;
    const Usage& used = usageByTenant.at(name);
    const Usage& largest = largestByTenant.at(name);
    const auto keeps = [](std::uint64_t amount, std::uint64_t limit, std::uint64_t task) {
      return limit == 0 || amount <= limit + task;
    };
    return keeps(used.cores, cap.cores, largest.cores) &&
           keeps(used.memory, cap.memory, largest.memory) &&
           keeps(used.accelerators, cap.accelerators, largest.accelerators);
  }
  bool startsWholeGang(const Action& action) const {
    if (!stepOf(action).gang)
      return true;
    const std::uint32_t stepIndex = taskOf(action).stepIndex;
    std::size_t unfinished = 0;
    for (const auto& task : jobOf(action).tasks)
      unfinished += task.stepIndex == stepIndex && task.state != TaskState::succeeded ? 1 : 0;
    return startsByStep.at({action.job, stepIndex}) == unfinished;
  }

  const ClusterState& state;
  const PlanMade& plan;
  std::map<WorkerId, Usage> usageByWorker;
  std::map<StepOnWorker, std::uint32_t> tasksByStepOnWorker;
  std::map<std::pair<JobId, std::uint32_t>, std::size_t> startsByStep;
  std::map<TenantName, Usage> usageByTenant;
  std::map<TenantName, Usage> largestByTenant;
};

}  // namespace aniseline

#endif  // ANISELINE_TESTS_SCHEDULING_PLAN_LIMITS_HPP
