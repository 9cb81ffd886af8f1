// Workers as rooms, and the attempts in them: one walk over each. docs/design.md 5.1, 5.6.
#include "scheduling/planner_work.hpp"

namespace aniseline {

using namespace planning;

namespace {

// Looks up rising keys in a map by walking along it.
template <class Key, class Value>
class Follower {
 public:
  explicit Follower(const std::map<Key, Value>& map) : place(map.begin()), end(map.end()) {}
  const Value* at(const Key& key) {
    while (place != end && place->first < key)
      ++place;
    return place != end && place->first == key ? &place->second : nullptr;
  }

 private:
  typename std::map<Key, Value>::const_iterator place, end;
};

}  // namespace

QueueView& Planner::PlanBuilder::queueView(const QueueName& name) {
  static const QueueOptions unnamed;
  QueueView& queue = queues[name];
  if (!queue.options) {
    const auto* options = clusterState.config().findQueue(name);
    queue.options = options ? options : &unnamed;
    queue.pool = &poolView(queue.options->pool);
  }
  return queue;
}

PoolView& Planner::PlanBuilder::poolView(const std::string& name) {
  auto [found, isNew] = pools.try_emplace(name);
  if (isNew)
    if (auto demand = hints.urgentDemand.find(name); demand != hints.urgentDemand.end())
      found->second.recentUrgentDemand = demand->second;
  return found->second;
}

// Nothing for a job that is no longer kept.
JobView* Planner::PlanBuilder::jobView(const JobId& id) {
  if (auto known = jobsById.find(id.value); known != jobsById.end())
    return known->second;
  auto found = clusterState.jobs().find(id);
  if (found == clusterState.jobs().end())
    return nullptr;
  JobView& job = jobs.emplace_back();
  job.job = &found->second;
  job.queue = &queueView(job.job->submission.queue);
  job.steps.resize(job.job->submission.steps.size());
  for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
    job.steps[step].parent = &job;
    job.steps[step].index = step;
    job.steps[step].request = &job.job->submission.steps[step];
  }
  jobsById.emplace(found->first.value, &job);
  return &job;
}

EligibleWorkers& Planner::PlanBuilder::eligibleWorkers(StepView& step) {
  if (step.eligible)
    return *step.eligible;
  PoolView& pool = *step.parent->queue->pool;
  auto [found, isNew] = pool.eligibleByLabel.try_emplace(step.needs().requiredLabel);
  step.eligible = &found->second;
  if (isNew)
    for (std::size_t place = 0; place < workers.size(); ++place)
      if (workers[place].pool == &pool && workers[place].worker->capacity.hasLabel(found->first)) {
        found->second.workerIndices.push_back(place);
        if (workers[place].worker->capacity.supportsSuspend)
          found->second.anySupportsSuspend = true;
      }
  return *step.eligible;
}

std::size_t Planner::PlanBuilder::workerIndexOf(const WorkerId& id) const {
  auto found = workerIndexById.find(id.value);
  return found == workerIndexById.end() ? noIndex : found->second;
}
std::size_t Planner::PlanBuilder::rackIndexOf(std::string_view name) const {
  auto found = std::lower_bound(rackNames.begin(), rackNames.end(), name);
  return found != rackNames.end() && *found == name ? std::size_t(found - rackNames.begin())
                                                    : noIndex;
}
std::size_t Planner::PlanBuilder::rackOfWorker(const WorkerId& id) const {
  if (const auto place = workerIndexOf(id); place != noIndex)
    return workers[place].rackIndex;
  auto found = clusterState.workers().find(id);
  return found == clusterState.workers().end() ? rackIndexOf("")
                                               : rackIndexOf(found->second.capacity.rack);
}

// An overrunning task stays in place; it is expected to need half as long again as it has run.
// docs/design.md 7.6.
Duration Planner::PlanBuilder::remainingRuntime(const Attempt& attempt) const {
  const Duration ran = attempt.runtimeAt(now);
  const Duration wanted = attempt.isTrial() ? attempt.quantum : attempt.runtime;
  if (wanted > ran)
    return wanted - ran;
  if (attempt.isTrial())
    return Duration{1000};
  return Duration{std::max<std::int64_t>(1000, ran.milliseconds / 2)};
}
// A held one is back when its trial is expected to end.
ClusterTime Planner::PlanBuilder::expectedEnd(const Attempt& attempt) const {
  if (attempt.state == AttemptState::stopping)
    return now + Duration{500};
  if (attempt.state != AttemptState::suspended)
    return now + remainingRuntime(attempt);
  auto trial = clusterState.attempts().find(attempt.suspendedForTrial);
  const bool known = trial != clusterState.attempts().end() && trial->second.isTrial();
  return (known ? now + remainingRuntime(trial->second) : now) + remainingRuntime(attempt);
}

bool Planner::PlanBuilder::isOutOfContact(const WorkerId& id) const {
  auto quiet = contactAges.find(id);
  return quiet == contactAges.end() || quiet->second > maxContactAge;
}

// Held against what was requested, its data's rack and a common overrun: does this run stand still,
// or on a slow worker?
bool Planner::PlanBuilder::isOverdue(const Attempt& attempt, const StepRequirements* needs) const {
  if (attempt.isTrial() || attempt.state == AttemptState::stopping ||
      attempt.state == AttemptState::suspended)
    return false;
  if (!needs || needs->longRunning)
    return false;
  const bool far = !needs->preferredRack.empty() || needs->sameRack;
  return double((now - attempt.orderedAt).milliseconds) >
         2.2 * double(attempt.runtime.milliseconds) *
                 (far ? clusterState.config().planner.remoteSlowdown : 1.0) +
             300;
}

void Planner::PlanBuilder::buildWorkers() {
  Follower quiet(contactAges);
  workers.reserve(clusterState.workers().size());
  workerIndexById.reserve(clusterState.workers().size());
  rackNames.push_back("");
  for (const auto& [id, worker] : clusterState.workers()) {
    if (worker.state == WorkerState::removed)
      continue;
    WorkerView room;
    room.worker = &worker;
    room.cores = worker.capacity.cores;
    room.memory = std::int64_t(worker.capacity.memory);
    room.accelerators = worker.capacity.accelerators;
    const Duration* unheard = quiet.at(id);
    room.schedulable = worker.isSchedulable() && unheard && *unheard < maxContactAge;
    if (worker.failureScoreAt(now) >= failureScoreLimit)
      room.penalty = 2;
    room.pool = &poolView(worker.capacity.pool);
    ++room.pool->workerCount;
    if (!planner.recycledAllocations.empty()) {
      room.allocations = std::move(planner.recycledAllocations.back());
      planner.recycledAllocations.pop_back();
    }
    workerIndexById.emplace(id.value, workers.size());
    workers.push_back(std::move(room));
    rackNames.push_back(worker.capacity.rack);
  }
  std::sort(rackNames.begin(), rackNames.end());
  rackNames.erase(std::unique(rackNames.begin(), rackNames.end()), rackNames.end());
  for (auto& room : workers)
    room.rackIndex = rackIndexOf(room.worker->capacity.rack);
  for (const auto& [name, queue] : clusterState.config().queues)
    highestPriority = std::max(highestPriority, queue.priority);
  projectAttempts();
  excludeSlowWorkers();
}

void Planner::PlanBuilder::projectAttempts() {
  jobsById.reserve(2 * clusterState.openJobs().size());
  JobView* job = nullptr;
  std::size_t place = noIndex;
  bool held = false;
  for (const auto& [number, attempt] : clusterState.attempts()) {
    // Neighbours are often of one job, or on one worker.
    if (!job || job->job->submission.id != attempt.job)
      job = jobView(attempt.job);
    if (place == noIndex || workers[place].worker->id != attempt.worker)
      place = workerIndexOf(attempt.worker);
    StepView* step =
        job && attempt.stepIndex < job->steps.size() ? &job->steps[attempt.stepIndex] : nullptr;
    const StepRequirements* needs = step ? &step->needs() : nullptr;
    if (job && !attempt.abandoned) {
      stopIfOverTimeLimit(attempt, *job->queue->options);
      if (attempt.gang && step)
        gangAttempts.emplace_back(step, &attempt);
      if (clusterState.config().planner.strictPriority &&
          job->queue->options->priority == highestPriority) {
        job->queue->pool->urgentCoresInUse += attempt.cores;
        job->queue->pool->reportsUrgentDemand = true;
      }
      if (needs && needs->redundant && !attempt.gang && attempt.state != AttemptState::stopping)
        redundantAttempts.emplace_back(step, &attempt);
      if (needs && needs->sameRack && !step->chosenRack)
        step->chosenRack = rackOfWorker(attempt.worker);
    }
    if (place == noIndex)
      continue;
    WorkerView& room = workers[place];
    held = held || attempt.state == AttemptState::suspended;
    room.allocate({&attempt, attempt.cores, std::int64_t(attempt.memory), attempt.accelerators,
                   expectedEnd(attempt), attempt.state == AttemptState::suspended, false});
    if (needs && needs->maxPerWorker) {
      step->tasksByWorker.resize(workers.size());
      ++step->tasksByWorker[place];
    }
    // An agent says itself when its worker does not answer; one late order holds up what it tells
    // of the others.
    if (!room.worker->capacity.killsOnLeaseExpiry && attempt.state == AttemptState::ordered &&
        now - attempt.orderedAt > orderApplyTimeout)
      room.schedulable = false;
    // A worker that fails work is tried with one task at a time. docs/design.md 5.6.
    if (room.penalty > 0)
      room.schedulable = false;
    // Jobs, not runs: a job's guess may be wrong for all of them.
    if (!room.worker->capacity.supportsSuspend && isOverdue(attempt, needs) &&
        !std::count(room.overdueJobs.begin(), room.overdueJobs.end(), job->job))
      room.overdueJobs.push_back(job->job);
  }
  if (held)
    markTrialsWithVictims();
}

void Planner::PlanBuilder::markTrialsWithVictims() {
  std::set<AttemptNumber> withVictims;
  for (const auto& [number, attempt] : clusterState.attempts())
    if (attempt.state == AttemptState::suspended)
      withVictims.insert(attempt.suspendedForTrial);
  for (auto& room : workers)
    for (auto& projection : room.allocations)
      if (withVictims.count(projection.attempt->number)) {
        room.updateTotals(projection, -1);
        projection.isTrialWithVictims = true;
        room.updateTotals(projection, 1);
      }
}

// Workers on which work takes far longer than on their peers, or stands still, get none while
// others are sound; at most a third of a pool is passed over, and a hint is all this is.
// docs/design.md 5.6.
void Planner::PlanBuilder::excludeSlowWorkers() {
  Follower paces(hints.runtimeRatios);
  std::vector<const double*> paceOf;
  std::map<const PoolView*, std::vector<double>> known;
  for (const auto& room : workers) {
    paceOf.push_back(paces.at(room.worker->id));
    if (paceOf.back())
      known[room.pool].push_back(*paceOf.back());
  }
  std::map<const PoolView*, double> middles;
  for (auto& [pool, peers] : known) {
    if (peers.size() < 3)
      continue;
    auto middle = peers.begin() + std::ptrdiff_t(peers.size() / 2);
    std::nth_element(peers.begin(), middle, peers.end());
    middles[pool] = *middle;
  }
  std::vector<std::pair<double, std::size_t>> slow;
  for (std::size_t place = 0; place < workers.size(); ++place) {
    const WorkerView& room = workers[place];
    if (room.worker->capacity.supportsSuspend)
      continue;
    double ratio = 0;
    if (auto middle = middles.find(room.pool); paceOf[place] && middle != middles.end())
      ratio = *paceOf[place] / std::max(0.1, middle->second);
    if (room.overdueJobs.size() >= 3)
      ratio = std::max(ratio, 2.5 + double(room.overdueJobs.size()));
    if (ratio > 1.9)
      slow.emplace_back(ratio, place);
  }
  std::sort(slow.rbegin(), slow.rend());
  std::map<const PoolView*, std::size_t> passedOver;
  for (const auto& [ratio, place] : slow) {
    WorkerView& room = workers[place];
    if (3 * (passedOver[room.pool] + 1) > room.pool->workerCount)
      continue;
    ++passedOver[room.pool];
    if (ratio > 2.4)
      room.schedulable = false;
    else
      room.penalty = std::max(room.penalty, 1);
  }
}

}  // namespace aniseline
