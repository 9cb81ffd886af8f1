// The snapshot that one plan is made from: workers with what is allocated on them, pools, queues,
// and jobs. Built anew for each plan from the cluster state and the leader's hints. Policies read
// it, and allocate on its workers what they start; nothing of it outlives the plan.
#ifndef ANISELINE_SCHEDULING_SCHEDULING_CONTEXT_HPP
#define ANISELINE_SCHEDULING_SCHEDULING_CONTEXT_HPP
#include "scheduling/job_view.hpp"
#include "scheduling/planner.hpp"
#include "scheduling/worker_view.hpp"
#include <deque>
#include <unordered_map>

namespace aniseline::scheduling {

/// Lists whose memory is handed on from plan to plan.
using RecycledAllocations = std::vector<std::vector<Allocation>>;

class SchedulingContext {
 public:
  /// Builds the views of all workers that have not been removed, with nothing allocated; see
  /// projectAttempts() for that. The references must outlive the context.
  SchedulingContext(const ClusterState& clusterState, ClusterTime now,
                    const LastContactAges& contactAges, const PlannerHints& hints,
                    RecycledAllocations& recycledAllocations);
  /// Gives the lists of allocations back.
  ~SchedulingContext();
  SchedulingContext(const SchedulingContext&) = delete;
  SchedulingContext& operator=(const SchedulingContext&) = delete;

  const ClusterState& clusterState() const { return state; }
  bool isOn(Policy policy) const { return hints.policies.isOn(policy); }
  const PlannerOptions& options() const { return state.config().planner; }
  ClusterTime now() const { return time; }
  /// MB of each worker that only trials may use.
  std::int64_t trialMemory() const { return reservedTrialMemory; }
  /// Is the queue of the highest priority that the config has, at least 0? Only with strict
  /// priority.
  bool isUrgent(const QueueView& queue) const {
    return options().strictPriority && queue.options->priority == highestQueuePriority;
  }

  std::vector<WorkerView>& workers() { return workerViews; }
  const std::vector<WorkerView>& workers() const { return workerViews; }
  /// noIndex if the worker is unknown or was removed.
  std::size_t workerIndexOf(const WorkerId& id) const;
  /// Has the leader not heard from it for longer than maxContactAge, or never?
  bool isOutOfContact(const WorkerId& id) const;
  /// Was it heard from within that time?
  bool wasHeardWithin(const WorkerId& id, Duration age) const;

  /// Rack names, sorted; the first is the empty name of workers without a rack.
  const std::vector<std::string_view>& rackNames() const { return sortedRackNames; }
  /// noIndex if no worker is on it.
  std::size_t rackIndexOf(std::string_view name) const;
  /// The rack of a worker, also of one that was removed; noIndex if no present worker is on it.
  std::size_t rackOfWorker(const WorkerId& id) const;

  const std::map<std::string, PoolView>& pools() const { return poolsByName; }
  PoolView& poolView(const std::string& name);
  QueueView& queueView(const QueueName& name);
  /// Null for work of no tenant, and of one without a cap.
  TenantUsage* tenantUsage(const TenantName& name);
  /// Null for a job that is no longer retained.
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
  std::vector<WorkerView> workerViews;  // by worker id
  std::unordered_map<std::string_view, std::size_t> workerIndexById;
  std::vector<std::string_view> sortedRackNames;
  std::map<std::string, PoolView> poolsByName;
  std::map<QueueName, QueueView> queuesByName;
  std::map<TenantName, TenantUsage> usageByTenant;  // of tenants with a cap
  std::deque<JobView> jobViews;
  std::unordered_map<std::string_view, JobView*> jobsById;
};

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_SCHEDULING_CONTEXT_HPP
