// The snapshot for one plan: workers with their allocations, pools, queues and jobs. It is built
// for each plan from the cluster state and the leader's hints. Policies read it and allocate the
// work that they start on its workers; no part of it outlives the plan.
#ifndef ANISELINE_SCHEDULING_SCHEDULING_CONTEXT_HPP
#define ANISELINE_SCHEDULING_SCHEDULING_CONTEXT_HPP
#include "scheduling/job_view.hpp"
#include "scheduling/planner.hpp"
#include "scheduling/worker_view.hpp"
#include <deque>
#include <unordered_map>

namespace aniseline::scheduling {

/// Allocation lists whose memory is reused by later plans.
using RecycledAllocations = std::vector<std::vector<Allocation>>;

class SchedulingContext {
 public:
  /// Builds the views of all workers that have not been removed, with nothing allocated; see
  /// projectAttempts() for that. The references must outlive the context.
  SchedulingContext(const ClusterState& clusterState, ClusterTime now,
                    const LastContactAges& contactAges, const PlannerHints& hints,
                    RecycledAllocations& recycledAllocations);
  /// Returns the allocation lists to `recycledAllocations`.
  ~SchedulingContext();
  SchedulingContext(const SchedulingContext&) = delete;
  SchedulingContext& operator=(const SchedulingContext&) = delete;

  const ClusterState& clusterState() const { return state; }
  bool isOn(Policy policy) const { return hints.policies.isOn(policy); }
  const PlannerOptions& options() const { return state.config().planner; }
  ClusterTime now() const { return time; }
  /// Returns the memory of each worker, in MB, that only trials may use.
  std::int64_t trialMemory() const { return reservedTrialMemory; }
  /// Reports whether the queue has the highest priority in the config, which is at least 0. Always
  /// false without strict priority.
  bool isUrgent(const QueueView& queue) const {
    return options().strictPriority && queue.options->priority == highestQueuePriority;
  }

  std::vector<WorkerView>& workers() { return workerViews; }
  const std::vector<WorkerView>& workers() const { return workerViews; }
  /// Returns the worker's index, or noIndex if the worker is unknown or was removed.
  std::size_t workerIndexOf(const WorkerId& id) const;
  /// Reports whether the worker has been silent for more than maxContactAge, as far as the leader
  /// knows. It does not know how long a worker was silent before it led.
  bool isOutOfContact(const WorkerId& id) const;
  /// Reports whether the leader heard from the worker less than `age` ago.
  bool hasContactWithin(const WorkerId& id, Duration age) const;

  /// Returns the sorted rack names; the first is the empty name of workers without a rack.
  const std::vector<std::string_view>& rackNames() const { return sortedRackNames; }
  /// Returns the rack's index, or noIndex if no worker is on it.
  std::size_t rackIndexOf(std::string_view name) const;
  /// Returns the rack index of a worker, including a removed one; noIndex if no present worker is
  /// on that rack.
  std::size_t rackOfWorker(const WorkerId& id) const;

  const std::map<std::string, PoolView>& pools() const { return poolsByName; }
  PoolView& poolView(const std::string& name);
  QueueView& queueView(const QueueName& name);
  /// Returns the tenant's usage, or null for no tenant or a tenant without a cap.
  TenantUsage* tenantUsage(const TenantName& name);
  /// Returns the view of a job and builds it on first use; null if the job is no longer retained.
  JobView* jobView(const JobId& id);

 private:
  void buildWorkers();
  void indexRacks();

  const ClusterState& state;
  ClusterTime time;
  const LastContactAges& contactAges;
  const PlannerHints& hints;
  RecycledAllocations& recycledAllocations;
  std::int64_t reservedTrialMemory;
  std::int64_t highestQueuePriority = 0;
  std::vector<WorkerView> workerViews;  // sorted by worker id
  std::unordered_map<std::string_view, std::size_t> workerIndexById;
  std::vector<std::string_view> sortedRackNames;
  std::map<std::string, PoolView> poolsByName;
  std::map<QueueName, QueueView> queuesByName;
  std::map<TenantName, TenantUsage> usageByTenant;  // only tenants with a cap
  std::deque<JobView> jobViews;
  std::unordered_map<std::string_view, JobView*> jobsById;
};

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_SCHEDULING_CONTEXT_HPP
