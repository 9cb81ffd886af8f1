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

QueueInPlan& Planner::Work::queueInPlan(const QueueName& name) {
  static const QueueOptions unnamed;
  QueueInPlan& queue = queues[name];
  if (!queue.options) {
    const auto* options = clusterState.config.queue(name);
    queue.options = options ? options : &unnamed;
    queue.pool = &poolInPlan(queue.options->pool);
  }
  return queue;
}

PoolInPlan& Planner::Work::poolInPlan(const std::string& name) {
  auto [found, isNew] = pools.try_emplace(name);
  if (isNew)
    if (auto demand = hints.urgentDemand.find(name); demand != hints.urgentDemand.end())
      found->second.demand = demand->second;
  return found->second;
}

// Nothing for a job that is no longer kept.
JobInPlan* Planner::Work::jobInPlan(const JobId& id) {
  if (auto known = jobOf.find(id.value); known != jobOf.end())
    return known->second;
  auto found = clusterState.jobs.find(id);
  if (found == clusterState.jobs.end())
    return nullptr;
  JobInPlan& job = jobs.emplace_back();
  job.job = &found->second;
  job.queue = &queueInPlan(job.job->submission.queue);
  job.steps.resize(job.job->submission.steps.size());
  for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
    job.steps[step].of = &job;
    job.steps[step].number = step;
    job.steps[step].request = &job.job->submission.steps[step];
  }
  jobOf.emplace(found->first.value, &job);
  return &job;
}

Suiting& Planner::Work::suitingOf(StepInPlan& step) {
  if (step.suiting)
    return *step.suiting;
  PoolInPlan& pool = *step.of->queue->pool;
  auto [found, isNew] = pool.suiting.try_emplace(step.needs().label);
  step.suiting = &found->second;
  if (isNew)
    for (std::size_t place = 0; place < rooms.size(); ++place)
      if (rooms[place].pool == &pool && rooms[place].worker->capacity.has(found->first)) {
        found->second.places.push_back(place);
        if (rooms[place].worker->capacity.pauses)
          found->second.pauses = true;
      }
  return *step.suiting;
}

std::size_t Planner::Work::placeOf(const WorkerId& id) const {
  auto found = roomOf.find(id.value);
  return found == roomOf.end() ? none : found->second;
}
std::size_t Planner::Work::rackNumber(std::string_view name) const {
  auto found = std::lower_bound(racks.begin(), racks.end(), name);
  return found != racks.end() && *found == name ? std::size_t(found - racks.begin()) : none;
}
std::size_t Planner::Work::rackOf(const WorkerId& id) const {
  if (const auto place = placeOf(id); place != none)
    return rooms[place].rack;
  auto found = clusterState.workers.find(id);
  return found == clusterState.workers.end() ? rackNumber("")
                                             : rackNumber(found->second.capacity.rack);
}

// An overrunning task stays in place; it is expected to need half as long again as it has run.
// docs/design.md 7.6.
Duration Planner::Work::remaining(const Attempt& attempt) const {
  const Duration ran = attempt.ranBy(now);
  const Duration wanted = attempt.trial() ? attempt.quantum : attempt.runtime;
  if (wanted > ran)
    return wanted - ran;
  if (attempt.trial())
    return Duration{1000};
  return Duration{std::max<std::int64_t>(1000, ran.milliseconds / 2)};
}
// A held one is back when its trial is expected to end.
ClusterTime Planner::Work::expectedEnd(const Attempt& attempt) const {
  if (attempt.state == AttemptState::stopping)
    return now + Duration{500};
  if (attempt.state != AttemptState::held)
    return now + remaining(attempt);
  auto trial = clusterState.attempts.find(attempt.heldFor);
  const bool known = trial != clusterState.attempts.end() && trial->second.trial();
  return (known ? now + remaining(trial->second) : now) + remaining(attempt);
}

bool Planner::Work::outOfTouch(const WorkerId& id) const {
  auto quiet = silence.find(id);
  return quiet == silence.end() || quiet->second > silentTooLong;
}

// Held against what was requested, its data's rack and a common overrun: does this run stand still,
// or on a slow worker?
bool Planner::Work::overdue(const Attempt& attempt, const StepNeeds* needs) const {
  if (attempt.trial() || attempt.state == AttemptState::stopping ||
      attempt.state == AttemptState::held)
    return false;
  if (!needs || needs->lasts)
    return false;
  const bool far = !needs->near.empty() || needs->sameRack;
  return double((now - attempt.orderedAt).milliseconds) >
         2.2 * double(attempt.runtime.milliseconds) *
                 (far ? clusterState.config.planner.far : 1.0) +
             300;
}

void Planner::Work::buildRooms() {
  Follower quiet(silence);
  rooms.reserve(clusterState.workers.size());
  roomOf.reserve(clusterState.workers.size());
  racks.push_back("");
  for (const auto& [id, worker] : clusterState.workers) {
    if (worker.state == WorkerState::gone)
      continue;
    Room room;
    room.worker = &worker;
    room.cores = worker.capacity.cores;
    room.memory = std::int64_t(worker.capacity.memory);
    room.accelerators = worker.capacity.accelerators;
    const Duration* unheard = quiet.at(id);
    room.usable = worker.open() && unheard && *unheard < silentTooLong;
    if (worker.failureScoreAt(now) >= blameLimit)
      room.penalty = 2;
    room.pool = &poolInPlan(worker.capacity.pool);
    ++room.pool->workers;
    if (!planner.spare.empty()) {
      room.projections = std::move(planner.spare.back());
      planner.spare.pop_back();
    }
    roomOf.emplace(id.value, rooms.size());
    rooms.push_back(std::move(room));
    racks.push_back(worker.capacity.rack);
  }
  std::sort(racks.begin(), racks.end());
  racks.erase(std::unique(racks.begin(), racks.end()), racks.end());
  for (auto& room : rooms)
    room.rack = rackNumber(room.worker->capacity.rack);
  for (const auto& [name, queue] : clusterState.config.queues)
    mostUrgent = std::max(mostUrgent, queue.urgency);
  takeAttempts();
  passOverSlow();
}

void Planner::Work::takeAttempts() {
  jobOf.reserve(2 * clusterState.open.size());
  JobInPlan* job = nullptr;
  std::size_t place = none;
  bool held = false;
  for (const auto& [number, attempt] : clusterState.attempts) {
    // Neighbours are often of one job, or on one worker.
    if (!job || job->job->submission.id != attempt.job)
      job = jobInPlan(attempt.job);
    if (place == none || rooms[place].worker->id != attempt.worker)
      place = placeOf(attempt.worker);
    StepInPlan* step =
        job && attempt.step < job->steps.size() ? &job->steps[attempt.step] : nullptr;
    const StepNeeds* needs = step ? &step->needs() : nullptr;
    if (job && !attempt.lost) {
      noteOverdue(attempt, *job->queue->options);
      if (attempt.gang && step)
        gangParts.emplace_back(step, &attempt);
      if (clusterState.config.planner.urgencyFirst && job->queue->options->urgency == mostUrgent) {
        job->queue->pool->urgentUsed += attempt.cores;
        job->queue->pool->weighed = true;
      }
      if (needs && needs->redundant && !attempt.gang && attempt.state != AttemptState::stopping)
        copied.emplace_back(step, &attempt);
      if (needs && needs->sameRack && !step->rack)
        step->rack = rackOf(attempt.worker);
    }
    if (place == none)
      continue;
    Room& room = rooms[place];
    held = held || attempt.state == AttemptState::held;
    room.add({&attempt, attempt.cores, std::int64_t(attempt.memory), attempt.accelerators,
              expectedEnd(attempt), attempt.state == AttemptState::held, false});
    if (needs && needs->apart) {
      step->together.resize(rooms.size());
      ++step->together[place];
    }
    // An agent says itself when its worker does not answer; one late order holds up what it tells
    // of the others.
    if (!room.worker->capacity.lapses && attempt.state == AttemptState::ordered &&
        now - attempt.orderedAt > unappliedTooLong)
      room.usable = false;
    // A worker that fails work is tried with one task at a time. docs/design.md 5.6.
    if (room.penalty > 0)
      room.usable = false;
    // Jobs, not runs: a job's guess may be wrong for all of them.
    if (!room.worker->capacity.pauses && overdue(attempt, needs) &&
        !std::count(room.overdue.begin(), room.overdue.end(), job->job))
      room.overdue.push_back(job->job);
  }
  if (held)
    markTrialsWithVictims();
}

void Planner::Work::markTrialsWithVictims() {
  std::set<AttemptNumber> withVictims;
  for (const auto& [number, attempt] : clusterState.attempts)
    if (attempt.state == AttemptState::held)
      withVictims.insert(attempt.heldFor);
  for (auto& room : rooms)
    for (auto& projection : room.projections)
      if (withVictims.count(projection.attempt->number)) {
        room.count(projection, -1);
        projection.trialWithVictims = true;
        room.count(projection, 1);
      }
}

// Workers on which work takes far longer than on their peers, or stands still, get none while
// others are sound; at most a third of a pool is passed over, and a hint is all this is.
// docs/design.md 5.6.
void Planner::Work::passOverSlow() {
  Follower paces(hints.paces);
  std::vector<const double*> paceOf;
  std::map<const PoolInPlan*, std::vector<double>> known;
  for (const auto& room : rooms) {
    paceOf.push_back(paces.at(room.worker->id));
    if (paceOf.back())
      known[room.pool].push_back(*paceOf.back());
  }
  std::map<const PoolInPlan*, double> middles;
  for (auto& [pool, peers] : known) {
    if (peers.size() < 3)
      continue;
    auto middle = peers.begin() + std::ptrdiff_t(peers.size() / 2);
    std::nth_element(peers.begin(), middle, peers.end());
    middles[pool] = *middle;
  }
  std::vector<std::pair<double, std::size_t>> slow;
  for (std::size_t place = 0; place < rooms.size(); ++place) {
    const Room& room = rooms[place];
    if (room.worker->capacity.pauses)
      continue;
    double ratio = 0;
    if (auto middle = middles.find(room.pool); paceOf[place] && middle != middles.end())
      ratio = *paceOf[place] / std::max(0.1, middle->second);
    if (room.overdue.size() >= 3)
      ratio = std::max(ratio, 2.5 + double(room.overdue.size()));
    if (ratio > 1.9)
      slow.emplace_back(ratio, place);
  }
  std::sort(slow.rbegin(), slow.rend());
  std::map<const PoolInPlan*, std::size_t> passedOver;
  for (const auto& [ratio, place] : slow) {
    Room& room = rooms[place];
    if (3 * (passedOver[room.pool] + 1) > room.pool->workers)
      continue;
    ++passedOver[room.pool];
    if (ratio > 2.4)
      room.usable = false;
    else
      room.penalty = std::max(room.penalty, 1);
  }
}

}  // namespace aniseline
