// Builds the views of workers, racks, pools, queues, tenants and jobs.
#include "scheduling/scheduling_context.hpp"
#include "scheduling/sorted_map_cursor.hpp"

namespace aniseline::scheduling {

SchedulingContext::SchedulingContext(const ClusterState& clusterState, ClusterTime now,
                                     const LastContactAges& contactAges, const PlannerHints& hints,
                                     RecycledAllocations& recycledAllocations)
    : state(clusterState),
      time(now),
      contactAges(contactAges),
      hints(hints),
      recycledAllocations(recycledAllocations),
      reservedTrialMemory(std::int64_t(clusterState.config().planner.reservedTrialMemory)) {
  for (const auto& [name, queue] : state.config().queues)
    highestQueuePriority = std::max(highestQueuePriority, queue.priority);
  jobsById.reserve(2 * state.openJobs().size());
  buildWorkers();
  indexRacks();
}

SchedulingContext::~SchedulingContext() {
  for (auto& worker : workerViews)
    recycledAllocations.push_back(worker.takeEmptyAllocations());
}

void SchedulingContext::buildWorkers() {
  SortedMapCursor contacts(contactAges);
  workerViews.reserve(state.workers().size());
  workerIndexById.reserve(state.workers().size());
  for (const auto& [id, worker] : state.workers()) {
    if (worker.state == WorkerState::removed)
      continue;
    std::vector<Allocation> allocations;
    if (!recycledAllocations.empty()) {
      allocations = std::move(recycledAllocations.back());
      recycledAllocations.pop_back();
    }
    PoolView& pool = poolView(worker.capacity.pool);
    ++pool.workerCount;
    WorkerView view(worker, pool, std::move(allocations));
    const Duration* contactAge = contacts.find(id);
    const bool inContact = contactAge && *contactAge < maxContactAge;
    if (!worker.isSchedulable() || !inContact)
      view.excludeFromNewWork();
    if (isOn(Policy::failingWorkers) && worker.failureScoreAt(time) >= failureScoreLimit)
      view.raisePenalty(failingWorkerPenalty);
    workerIndexById.emplace(id.value, workerViews.size());
    workerViews.push_back(std::move(view));
  }
}

void SchedulingContext::indexRacks() {
  sortedRackNames.reserve(workerViews.size() + 1);
  sortedRackNames.push_back("");
  for (const auto& worker : workerViews)
    sortedRackNames.push_back(worker.capacity().rack);
  std::sort(sortedRackNames.begin(), sortedRackNames.end());
  sortedRackNames.erase(std::unique(sortedRackNames.begin(), sortedRackNames.end()),
                        sortedRackNames.end());
  for (auto& worker : workerViews)
    worker.setRackIndex(rackIndexOf(worker.capacity().rack));
}

std::size_t SchedulingContext::workerIndexOf(const WorkerId& id) const {
  auto found = workerIndexById.find(id.value);
  return found == workerIndexById.end() ? noIndex : found->second;
}

bool SchedulingContext::isOutOfContact(const WorkerId& id) const {
  auto age = contactAges.find(id);
  const Duration silentFor = age == contactAges.end() ? hints.leadingFor : age->second;
  return silentFor > maxContactAge;
}

bool SchedulingContext::hasContactWithin(const WorkerId& id, Duration age) const {
  auto known = contactAges.find(id);
  return known != contactAges.end() && known->second < age;
}

std::size_t SchedulingContext::rackIndexOf(std::string_view name) const {
  auto found = std::lower_bound(sortedRackNames.begin(), sortedRackNames.end(), name);
  if (found == sortedRackNames.end() || *found != name)
    return noIndex;
  return std::size_t(found - sortedRackNames.begin());
}

std::size_t SchedulingContext::rackOfWorker(const WorkerId& id) const {
  if (const std::size_t index = workerIndexOf(id); index != noIndex)
    return workerViews[index].rackIndex();
  auto found = state.workers().find(id);
  return rackIndexOf(found == state.workers().end() ? std::string_view()
                                                    : found->second.capacity.rack);
}

PoolView& SchedulingContext::poolView(const std::string& name) {
  auto [found, isNew] = poolsByName.try_emplace(name);
  if (isNew) {
    if (auto demand = hints.urgentDemand.find(name); demand != hints.urgentDemand.end())
      found->second.urgentDemand.recentDemand = demand->second;
  }
  return found->second;
}

QueueView& SchedulingContext::queueView(const QueueName& name) {
  static const QueueOptions defaults;
  QueueView& queue = queuesByName[name];
  if (!queue.options) {
    const QueueOptions* configured = state.config().findQueue(name);
    queue.options = configured ? configured : &defaults;
    queue.pool = &poolView(queue.options->pool);
  }
  return queue;
}

TenantUsage* SchedulingContext::tenantUsage(const TenantName& name) {
  if (isAbsent(name))
    return nullptr;
  const TenantOptions* options = state.config().tenants.find(name);
  if (!options || !options->cap.isLimited())
    return nullptr;
  return &usageByTenant.try_emplace(name, options->cap).first->second;
}

JobView* SchedulingContext::jobView(const JobId& id) {
  if (auto known = jobsById.find(id.value); known != jobsById.end())
    return known->second;
  auto found = state.jobs().find(id);
  if (found == state.jobs().end())
    return nullptr;
  JobView& view = jobViews.emplace_back();
  view.job = &found->second;
  view.queue = &queueView(view.job->submission.queue);
  view.tenant = tenantUsage(view.job->submission.tenant);
  view.steps.resize(view.job->submission.steps.size());
  for (std::uint32_t index = 0; index < view.steps.size(); ++index) {
    view.steps[index].parent = &view;
    view.steps[index].index = index;
    view.steps[index].request = &view.job->submission.steps[index];
  }
  jobsById.emplace(found->first.value, &view);
  return &view;
}

}  // namespace aniseline::scheduling
