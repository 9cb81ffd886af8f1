#include "planner.hpp"

namespace aniseline::reference {

namespace {

constexpr Duration silentTooLong{2000};  // an unheard worker gets no new work, docs/design.md 5.6
constexpr Duration unappliedTooLong{1500};  // nor one that is slow to apply its orders
constexpr Duration stagingLimit{5000};
constexpr Duration goLimit{
    2500};  // told to go but not heard to have gone: the others run alone, docs/design.md 7.3
constexpr Duration trialGrace{
    2000};  // past its quantum a trial is stopped by order, docs/design.md 7.5
constexpr std::int64_t blameLimit = 500;

// One attempt as the plan sees it: what it takes and when it is expected to end.
struct Projection {
  AttemptNumber attempt;
  std::int64_t cores = 0, memory = 0, accelerators = 0;
  ClusterTime end;
  bool held = false;
  ClusterTime resumes;  // of a held one: when its trial is expected to end
  bool trialWithVictims = false;
  AttemptNumber heldFor;
};

struct Room {
  const Worker* worker = nullptr;
  std::int64_t cores = 0, memory = 0, accelerators = 0;
  bool usable = true;
  int penalty = 0;
  std::set<JobId> overdue;  // jobs whose runs here stand still or go on far too long
  std::vector<Projection> projections;
  std::map<std::pair<JobId, std::uint32_t>, std::uint32_t>
      ofStep;  // tasks here of the steps that are kept apart
  // Sums over the projections, kept as these come and go.
  std::int64_t usedCores = 0, usedMemory = 0, usedAccelerators = 0, heldCores = 0, trialCores = 0;

  void count(const Projection& projection, std::int64_t sign) {
    usedCores += projection.held ? 0 : sign * projection.cores;
    usedMemory += sign * projection.memory;
    usedAccelerators += sign * projection.accelerators;
    heldCores += projection.held ? sign * projection.cores : 0;
    trialCores += projection.trialWithVictims ? sign * projection.cores : 0;
  }
  void add(const Projection& projection) {
    projections.push_back(projection);
    count(projection, 1);
  }
  void dropLast() {
    count(projections.back(), -1);
    projections.pop_back();
  }
  void hold(Projection& projection) {
    count(projection, -1);
    projection.held = true;
    count(projection, 1);
  }
  std::int64_t freeCores() const { return cores - usedCores; }
  std::int64_t freeMemory() const { return memory - usedMemory; }
  std::int64_t freeAccelerators() const { return accelerators - usedAccelerators; }
  std::int64_t acceleratorsFrom(ClusterTime time) const {
    std::int64_t used = 0;
    for (const auto& projection : projections)
      used += projection.end > time ? projection.accelerators : 0;
    return accelerators - used;
  }
  // Cores that stay free when every held task is back, counting no expected ending.
  // docs/design.md 7.4.
  std::int64_t safeCores() const {
    return std::min(freeCores(), freeCores() + trialCores - heldCores);
  }
  // Cores and memory free from the given time on, by expected endings; later resumptions are
  // counted in.
  std::pair<std::int64_t, std::int64_t> freeFrom(ClusterTime time) const {
    std::int64_t usedCores = 0, usedMemory = 0;
    for (const auto& projection : projections)
      if (projection.end > time) {
        usedCores += projection.cores;
        usedMemory += projection.memory;
      }
    return {cores - usedCores, memory - usedMemory};
  }
};

bool memoryFits(const Room& room, std::int64_t free, std::int64_t wanted, std::int64_t trialRoom) {
  if (wanted <= free - trialRoom)
    return true;
  return wanted > room.memory - trialRoom && wanted <= free;  // else it could never start
}

// Shapes that found no place in this plan; whatever needs at least as much need not be tried again.
struct FailedShapes {
  struct Shape {
    std::int64_t cores, memory, span;
  };
  std::vector<Shape> shapes;
  bool covers(const Shape& shape) const {
    return std::any_of(shapes.begin(), shapes.end(), [&](const Shape& known) {
      return shape.cores >= known.cores && shape.memory >= known.memory && shape.span >= known.span;
    });
  }
  void add(const Shape& shape) {
    std::erase_if(shapes, [&](const Shape& known) {
      return known.cores >= shape.cores && known.memory >= shape.memory && known.span >= shape.span;
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

struct Planner::PlanBuilder {
  Planner& planner;
  const ClusterState& clusterState;
  ClusterTime now;
  const LastContactAges& silence;
  bool explain;
  const PlannerHints& hints;
  Plan plan;
  std::vector<Room> rooms;
  std::map<WorkerId, std::size_t> roomOf;
  std::int64_t trialRoom;
  AttemptNumber lastAttempt;
  std::map<std::pair<std::string, std::string>, FailedShapes> noBackfill;  // by pool and label
  FailedShapes noTrial;
  std::map<std::pair<JobId, std::uint32_t>, std::string>
      racks;  // chosen for steps that want one rack

  PlanBuilder(Planner& planner, const ClusterState& clusterState, ClusterTime now,
              const LastContactAges& silence, bool explain, const PlannerHints& hints)
      : planner(planner),
        clusterState(clusterState),
        now(now),
        silence(silence),
        explain(explain),
        hints(hints),
        trialRoom(std::int64_t(clusterState.config().planner.reservedTrialMemory)),
        lastAttempt(clusterState.lastAttempt()) {}

  CompiledPolicy& programsOf(const std::string& policy) {
    auto found = planner.compiledPolicies.find(policy);
    return found != planner.compiledPolicies.end() ? found->second
                                                   : planner.compiledPolicies.at("default");
  }
  const QueueOptions& queueOf(const JobId& job) const {
    static const QueueOptions none;
    const auto* queue =
        clusterState.config().findQueue(clusterState.jobs().at(job).submission.queue);
    return queue ? *queue : none;
  }

  // An overrunning task stays in place; it is expected to need half as long again as it has run.
  // docs/design.md 7.6.
  Duration remaining(const Attempt& attempt) const {
    const Duration ran = attempt.runtimeAt(now);
    const Duration wanted = attempt.isTrial() ? attempt.quantum : attempt.runtime;
    if (wanted > ran)
      return wanted - ran;
    if (attempt.isTrial())
      return Duration{1000};
    return Duration{std::max<std::int64_t>(1000, ran.milliseconds / 2)};
  }

  void buildRooms() {
    std::set<AttemptNumber> withVictims;
    std::map<AttemptNumber, ClusterTime> trialEnds;
    for (const auto& [number, attempt] : clusterState.attempts()) {
      if (attempt.state == AttemptState::suspended)
        withVictims.insert(attempt.suspendedForTrial);
      if (attempt.isTrial())
        trialEnds[number] = now + remaining(attempt);
    }
    for (const auto& [id, worker] : clusterState.workers()) {
      if (worker.state == WorkerState::removed)
        continue;
      Room room;
      room.worker = &worker;
      room.cores = worker.capacity.cores;
      room.memory = std::int64_t(worker.capacity.memory);
      room.accelerators = worker.capacity.accelerators;
      auto quiet = silence.find(id);
      room.usable =
          worker.isSchedulable() && quiet != silence.end() && quiet->second < silentTooLong;
      if (worker.failureScoreAt(now) >= blameLimit)
        room.penalty = 2;
      roomOf[id] = rooms.size();
      rooms.push_back(std::move(room));
    }
    for (const auto& [number, attempt] : clusterState.attempts()) {
      auto place = roomOf.find(attempt.worker);
      if (place == roomOf.end())
        continue;
      Room& room = rooms[place->second];
      Projection projection;
      projection.attempt = number;
      projection.cores = attempt.cores;
      projection.memory = std::int64_t(attempt.memory);
      projection.accelerators = attempt.accelerators;
      projection.held = attempt.state == AttemptState::suspended;
      projection.heldFor = attempt.suspendedForTrial;
      projection.trialWithVictims = withVictims.count(number) > 0;
      projection.end =
          attempt.state == AttemptState::stopping ? now + Duration{500} : now + remaining(attempt);
      if (projection.held) {
        auto trial = trialEnds.find(attempt.suspendedForTrial);
        projection.resumes = trial == trialEnds.end() ? now : trial->second;
        projection.end = projection.resumes + remaining(attempt);
      }
      room.add(projection);
      if (const auto* needs = needsOf(attempt.job, attempt.stepIndex); needs && needs->maxPerWorker)
        ++room.ofStep[{attempt.job, attempt.stepIndex}];
      // An agent says itself when its worker does not answer; one late order holds up what it tells
      // of the others.
      if (!room.worker->capacity.killsOnLeaseExpiry && attempt.state == AttemptState::ordered &&
          now - attempt.orderedAt > unappliedTooLong)
        room.usable = false;
      // A worker that fails work is tried with one task at a time. docs/design.md 5.6.
      if (room.penalty > 0)
        room.usable = false;
      if (!room.worker->capacity.supportsSuspend && overdue(attempt))
        room.overdue.insert(
            attempt.job);  // jobs, not runs: a job's guess may be wrong for all of them
    }
    passOverSlow();
  }

  // Held against what was requested, its data's rack and a common overrun: does this run stand
  // still, or on a slow worker?
  bool overdue(const Attempt& attempt) const {
    if (attempt.isTrial() || attempt.state == AttemptState::stopping ||
        attempt.state == AttemptState::suspended)
      return false;
    const auto* needs = needsOf(attempt.job, attempt.stepIndex);
    if (!needs || needs->longRunning)
      return false;
    const bool far = !needs->preferredRack.empty() || needs->sameRack;
    return double((now - attempt.orderedAt).milliseconds) >
           2.2 * double(attempt.runtime.milliseconds) *
                   (far ? clusterState.config().planner.remoteSlowdown : 1.0) +
               300;
  }
  // Workers on which work takes far longer than on their peers, or stands still, get none while
  // others are sound; at most a third of a pool is passed over, and a hint is all this is.
  // docs/design.md 5.6.
  void passOverSlow() {
    std::map<std::string, std::vector<double>> known;
    for (const auto& room : rooms)
      if (auto pace = hints.runtimeRatios.find(room.worker->id); pace != hints.runtimeRatios.end())
        known[room.worker->capacity.pool].push_back(pace->second);
    std::map<std::string, std::size_t> passedOver;
    std::vector<std::pair<double, std::size_t>> slow;
    for (std::size_t place = 0; place < rooms.size(); ++place) {
      Room& room = rooms[place];
      if (room.worker->capacity.supportsSuspend)
        continue;
      auto& peers = known[room.worker->capacity.pool];
      double ratio = 0;
      if (auto pace = hints.runtimeRatios.find(room.worker->id);
          pace != hints.runtimeRatios.end() && peers.size() >= 3) {
        auto middle = peers.begin() + std::ptrdiff_t(peers.size() / 2);
        std::nth_element(peers.begin(), middle, peers.end());
        ratio = pace->second / std::max(0.1, *middle);
      }
      if (room.overdue.size() >= 3)
        ratio = std::max(ratio, 2.5 + double(room.overdue.size()));
      if (ratio > 1.9)
        slow.emplace_back(ratio, place);
    }
    std::sort(slow.rbegin(), slow.rend());
    for (const auto& [ratio, place] : slow) {
      const std::string& pool = rooms[place].worker->capacity.pool;
      const auto size =
          std::size_t(std::count_if(rooms.begin(), rooms.end(), [&](const Room& room) {
            return room.worker->capacity.pool == pool;
          }));
      if (3 * (passedOver[pool] + 1) > size)
        continue;
      ++passedOver[pool];
      if (ratio > 2.4)
        rooms[place].usable = false;
      else
        rooms[place].penalty = std::max(rooms[place].penalty, 1);
    }
  }
  // Of redundant steps a copy is begun elsewhere when a run is overdue or its worker is out of
  // touch. docs/paper.md 5.
  void startCopies() {
    std::size_t begun = 0;
    for (const auto& [number, attempt] : clusterState.attempts()) {
      if (begun >= 8)
        return;
      const auto* needs = needsOf(attempt.job, attempt.stepIndex);
      if (!needs || !needs->redundant || attempt.abandoned || attempt.gang ||
          attempt.state == AttemptState::stopping)
        continue;
      const Job& job = clusterState.jobs().at(attempt.job);
      if (job.terminating || job.isTerminal() || job.tasks.empty() ||
          job.tasks[attempt.taskIndex].currentAttempt != number ||
          job.tasks[attempt.taskIndex].redundantAttempt.value)
        continue;
      const QueueOptions& queue = queueOf(attempt.job);
      if (queue.maxFailures && job.tasks[attempt.taskIndex].failureCount + 1 >= queue.maxFailures)
        continue;  // the one that runs is the last try
      auto quiet = silence.find(attempt.worker);
      const bool outOfTouch = quiet == silence.end() || quiet->second > silentTooLong;
      if (!outOfTouch && !overdue(attempt))
        continue;
      Unit unit;
      unit.job = attempt.job;
      unit.step = attempt.stepIndex;
      unit.tasks = {attempt.taskIndex};
      unit.needs = needs;
      unit.pool = queueOf(attempt.job).pool;
      const TaskRequest& request = job.requestOf(job.tasks[attempt.taskIndex]);
      std::size_t best = rooms.size();
      for (std::size_t place = 0; place < rooms.size(); ++place) {
        const Room& room = rooms[place];
        if (!room.usable || room.penalty > 0 || room.worker->id == attempt.worker ||
            room.safeCores() < request.cores || !suits(unit, room) || !hasRoom(unit, room, request))
          continue;
        if (!memoryFits(room, room.freeMemory(), std::int64_t(request.memory), trialRoom) ||
            delays(place, request.cores, std::int64_t(request.memory),
                   now + runtimeAt(unit, room, request)))
          continue;
        if (best == rooms.size() || room.freeCores() < rooms[best].freeCores())
          best = place;
      }
      if (best == rooms.size())
        continue;
      occupy(best, AttemptNumber{}, request, std::int64_t(request.memory), now + request.runtime,
             false);
      Action action;
      action.kind = ActionKind::start;
      action.attempt = lastAttempt = lastAttempt.next();
      action.job = attempt.job;
      action.taskIndex = attempt.taskIndex;
      action.worker = rooms[best].worker->id;
      action.memory = request.memory;
      action.redundantCopy = true;
      ++plan.redundantCopies;
      plan.record.actions.push_back(std::move(action));
      ++begun;
    }
  }
  const StepRequirements* needsOf(const JobId& job, std::uint32_t step) const {
    auto found = clusterState.jobs().find(job);
    return found == clusterState.jobs().end() || step >= found->second.submission.steps.size()
               ? nullptr
               : &found->second.submission.steps[step].requirements;
  }
  // May a task of this step run there at all? Label, pool and accelerators are conditions.
  // docs/paper.md 2.
  bool suits(const Unit& unit, const Room& room) const {
    return room.worker->capacity.pool == unit.pool &&
           room.worker->capacity.hasLabel(unit.needs->requiredLabel);
  }
  bool hasRoom(const Unit& unit, const Room& room, const TaskRequest& request) const {
    if (room.freeAccelerators() < request.accelerators)
      return false;
    if (!unit.needs->maxPerWorker)
      return true;
    auto found = room.ofStep.find({unit.job, unit.step});
    return found == room.ofStep.end() || found->second < unit.needs->maxPerWorker;
  }
  // The rack that a step which wants one rack is on, or had best go to: the one with the most idle
  // cores that suit.
  const std::string& rackFor(const Unit& unit) {
    auto [found, isNew] = racks.try_emplace({unit.job, unit.step});
    if (!isNew)
      return found->second;
    for (const auto& [number, attempt] : clusterState.attempts())
      if (attempt.job == unit.job && attempt.stepIndex == unit.step && !attempt.abandoned)
        return found->second = rackOf(attempt.worker);
    std::map<std::string, std::int64_t> idle;
    for (const auto& room : rooms)
      if (room.usable && suits(unit, room))
        idle[room.worker->capacity.rack] += room.safeCores();
    std::int64_t most = -1;
    for (const auto& [rack, cores] : idle)
      if (cores > most)
        most = cores, found->second = rack;
    return found->second;
  }
  // Away from its data or from the rest of its step a task takes `far` times as long.
  // docs/paper.md 2.
  bool isFar(const Unit& unit, const Room& room) {
    if (!unit.needs->preferredRack.empty() &&
        !room.worker->capacity.hasLabel(unit.needs->preferredRack))
      return true;
    return unit.needs->sameRack && room.worker->capacity.rack != rackFor(unit);
  }
  Duration runtimeAt(const Unit& unit, const Room& room, const TaskRequest& request) {
    return isFar(unit, room) ? Duration{std::int64_t(double(request.runtime.milliseconds) *
                                                     clusterState.config().planner.remoteSlowdown)}
                             : request.runtime;
  }

  // Can the job's aim still be met, by requested runtimes? Under a flood the paper's order makes
  // all work a little late; what can be in time goes before what can't. docs/paper.md 5.
  struct Aim {
    int standing = 0;
    bool pressed = true;
  };
  std::map<JobId, Aim> aims;
  Aim aimOf(const Job& job, const QueueOptions& queue) {
    if (queue.latencyTargetBase.milliseconds <= 0)
      return {};
    auto [found, isNew] = aims.try_emplace(job.submission.id);
    if (!isNew)
      return found->second;
    const auto& steps = job.submission.steps;
    std::vector<std::int64_t> whole(steps.size()), left(steps.size());
    std::vector<char> open(steps.size());
    for (const auto& task : job.tasks)
      open[task.stepIndex] = open[task.stepIndex] || task.state != TaskState::succeeded;
    std::int64_t longest = 0, longestLeft = 0;
    for (std::size_t step = 0; step < steps.size(); ++step) {
      std::int64_t before = 0, beforeLeft = 0, own = 0;
      for (const auto& name : steps[step].dependencies)
        for (std::size_t other = 0; other < step; ++other)
          if (steps[other].name == name)
            before = std::max(before, whole[other]), beforeLeft = std::max(beforeLeft, left[other]);
      for (const auto& task : steps[step].tasks)
        own = std::max(own, task.runtime.milliseconds);
      whole[step] = before + own;
      left[step] = open[step] ? beforeLeft + own : 0;
      longest = std::max(longest, whole[step]);
      longestLeft = std::max(longestLeft, left[step]);
    }
    const double aim =
        queue.latencyTargetFactor * double(longest) + double(queue.latencyTargetBase.milliseconds);
    const double done = double((now - job.admittedAt).milliseconds + longestLeft);
    found->second.standing = done <= aim ? 0 : done <= 3 * aim ? 1 : 2;
    found->second.pressed = aim - done < std::max(1500.0, 0.4 * (aim - double(longest)));
    return found->second;
  }

  std::vector<Unit> waitingUnits() {
    std::vector<Unit> units;
    for (const auto& id : clusterState.openJobs()) {
      const Job& job = clusterState.jobs().at(id);
      if (job.state != JobState::active || job.terminating)
        continue;
      std::map<std::uint32_t, Unit> gangs;
      std::set<std::uint32_t> unready;
      for (std::uint32_t place = 0; place < job.tasks.size(); ++place) {
        const Task& task = job.tasks[place];
        if (task.state == TaskState::succeeded)
          continue;
        const bool gang = job.submission.steps[task.stepIndex].gang;
        const bool ready = task.state == TaskState::pending && task.notBefore <= now;
        if (gang && !ready)
          unready.insert(task.stepIndex);
        if (!ready)
          continue;
        if (!gang) {
          Unit& unit = units.emplace_back();
          unit.job = id;
          unit.step = task.stepIndex;
          unit.tasks = {place};
          unit.runtime = job.requestOf(task).runtime;
          unit.readyAt = task.readyAt;
          continue;
        }
        Unit& unit = gangs[task.stepIndex];
        unit.job = id;
        unit.step = task.stepIndex;
        unit.gang = true;
        unit.tasks.push_back(place);
        unit.runtime = std::max(unit.runtime, job.requestOf(task).runtime);
        unit.readyAt = task.readyAt;
      }
      for (auto& [step, unit] : gangs)
        if (!unready.count(step))
          units.push_back(std::move(unit));
    }
    // Paper 2.2 and table 3: priority is computed anew as units wait.
    for (auto& unit : units) {
      const QueueOptions& queue = queueOf(unit.job);
      PolicyProgram::Inputs inputs;
      inputs.wait = std::max(0.0, (now - unit.readyAt).hours());
      inputs.runtime = unit.runtime.hours();
      inputs.expansion = (inputs.wait + inputs.runtime) / inputs.runtime;
      const Job& job = clusterState.jobs().at(unit.job);
      unit.needs = &job.submission.steps[unit.step].requirements;
      unit.pool = queue.pool;
      unit.urgency = clusterState.config().planner.strictPriority ? queue.priority : 0;
      const Aim aim = aimOf(job, queue);
      unit.standing = aim.standing;
      unit.pressed = aim.pressed;
      for (auto task : unit.tasks) {
        inputs.cores += job.requestOf(job.tasks[task]).cores / 1000.0;
        inputs.memory += double(job.requestOf(job.tasks[task]).memory);
      }
      inputs.priority = double(queue.priority);
      inputs.weightWait = clusterState.config().planner.weightWait;
      inputs.weightExpansion = clusterState.config().planner.weightExpansion;
      unit.priority = programsOf(queue.policy).rank.evaluate(inputs);
    }
    std::sort(units.begin(), units.end(), [](const Unit& left, const Unit& right) {
      if ((left.standing == 2) != (right.standing == 2))
        return right.standing == 2;
      if (left.urgency != right.urgency)
        return left.urgency > right.urgency;
      if (left.standing != right.standing)
        return left.standing < right.standing;
      if (left.priority != right.priority)
        return left.priority > right.priority;
      return std::tie(left.readyAt, left.job, left.step, left.tasks) <
             std::tie(right.readyAt, right.job, right.step, right.tasks);
    });
    return units;
  }

  void leave(const Unit& unit, std::size_t place) {
    rooms[place].dropLast();
    if (unit.needs->maxPerWorker)
      --rooms[place].ofStep[{unit.job, unit.step}];
  }
  const Task& taskOf(const Unit& unit, std::uint32_t task) const {
    return clusterState.jobs().at(unit.job).tasks[task];
  }
  const TaskRequest& requestOf(const Unit& unit, std::uint32_t task) const {
    const Job& job = clusterState.jobs().at(unit.job);
    return job.requestOf(job.tasks[task]);
  }
  // Largest part first, so that a gang is not blocked by its own small parts.
  std::vector<std::uint32_t> partsBySize(const Unit& unit) const {
    auto parts = unit.tasks;
    std::stable_sort(parts.begin(), parts.end(), [&](auto left, auto right) {
      return requestOf(unit, left).cores > requestOf(unit, right).cores;
    });
    return parts;
  }

  // The one reserved start: would these additions on the room delay it? docs/paper.md 3.
  bool delays(std::size_t place, std::int64_t cores, std::int64_t memory, ClusterTime end) const {
    const Reservation& reservation = plan.record.reservation;
    if (!reservation.isActive() || end <= reservation.start)
      return false;
    return !reservedStillFits(place, rooms[place], cores, memory);
  }
  bool reservedStillFits(std::size_t place, const Room& room, std::int64_t cores,
                         std::int64_t memory) const {
    const Reservation& reservation = plan.record.reservation;
    if (!reservation.isActive())
      return true;
    const Job& job = clusterState.jobs().at(reservation.job);
    std::int64_t wantedCores = 0, wantedMemory = 0;
    for (const auto& placement : reservation.placements)
      if (roomOf.at(placement.worker) == place) {
        wantedCores += job.requestOf(job.tasks[placement.taskIndex]).cores;
        wantedMemory += std::int64_t(job.requestOf(job.tasks[placement.taskIndex]).memory);
      }
    if (wantedCores == 0)
      return true;
    auto [freeCores, freeMemory] = room.freeFrom(reservation.start);
    return freeCores - cores >= wantedCores && freeMemory - memory >= wantedMemory;
  }

  void occupy(std::size_t place, AttemptNumber attempt, const TaskRequest& request,
              std::int64_t memory, ClusterTime end, bool withVictims) {
    Projection projection;
    projection.attempt = attempt;
    projection.cores = request.cores;
    projection.memory = memory;
    projection.accelerators = request.accelerators;
    projection.end = end;
    projection.trialWithVictims = withVictims;
    rooms[place].add(projection);
  }

  std::string rackOf(const WorkerId& id) const {
    auto found = clusterState.workers().find(id);
    return found == clusterState.workers().end() ? std::string() : found->second.capacity.rack;
  }
  // Among fitting workers the one with the fewest unallocated cores; ties by rack, then by name.
  // Paper 2.2.
  bool startNow(const Unit& unit) {
    std::vector<std::pair<std::uint32_t, std::size_t>> placed;
    for (auto part : partsBySize(unit)) {
      const TaskRequest& request = requestOf(unit, part);
      const WorkerId& avoid = taskOf(unit, part).avoidedWorker;
      const std::string rackToAvoid = rackOf(avoid);
      std::size_t best = rooms.size();
      std::tuple<int, int, std::int64_t, int> bestKey{};
      for (std::size_t place = 0; place < rooms.size(); ++place) {
        Room& room = rooms[place];
        if (!room.usable || room.safeCores() < request.cores || !suits(unit, room) ||
            !hasRoom(unit, room, request))
          continue;
        if (!memoryFits(room, room.freeMemory(), std::int64_t(request.memory), trialRoom))
          continue;
        if (delays(place, request.cores, std::int64_t(request.memory),
                   now + runtimeAt(unit, room, request)))
          continue;
        // Where the paper's fit leaves a choice: a retry leaves the rack it failed on, a gang keeps
        // to few. docs/paper.md 2.
        const std::string& rack = room.worker->capacity.rack;
        const bool sameGang = std::any_of(placed.begin(), placed.end(), [&](const auto& other) {
          return rooms[other.second].worker->capacity.rack == rack;
        });
        const int rackChoice = !rack.empty() && rack == rackToAvoid        ? 2
                               : unit.gang && !placed.empty() && !sameGang ? 1
                                                                           : 0;
        const std::tuple<int, int, std::int64_t, int> key{
            room.penalty + (room.worker->id == avoid ? 1 : 0), isFar(unit, room), room.freeCores(),
            rackChoice};
        if (best == rooms.size() || key < bestKey) {
          best = place;
          bestKey = key;
        }
      }
      if (best == rooms.size()) {
        for (auto& [task, place] : placed)
          leave(unit, place);
        return false;
      }
      occupy(best, AttemptNumber{}, request, std::int64_t(request.memory),
             now + runtimeAt(unit, rooms[best], request), false);
      if (unit.needs->maxPerWorker)
        ++rooms[best].ofStep[{unit.job, unit.step}];
      placed.emplace_back(part, best);
    }
    // Parts that find each other at the workers are started, with one number; others are staged.
    // docs/design.md 7.3.
    const bool assembles =
        unit.gang && std::all_of(placed.begin(), placed.end(), [&](const auto& part) {
          return rooms[part.second].worker->capacity.selfAssemblingGangs;
        });
    std::uint32_t run = 0;
    if (unit.gang)
      for (auto part : unit.tasks)
        run = std::max(run, taskOf(unit, part).runNumber + 1);
    for (auto& [task, place] : placed) {
      Action action;
      action.kind = unit.gang && !assembles ? ActionKind::stage : ActionKind::start;
      action.runNumber = run;
      action.attempt = lastAttempt = lastAttempt.next();
      action.job = unit.job;
      action.taskIndex = task;
      action.worker = rooms[place].worker->id;
      action.memory = requestOf(unit, task).memory;
      if (rooms[place].penalty > 0)
        rooms[place].usable = false;
      plan.record.actions.push_back(std::move(action));
    }
    return true;
  }

  // Paper 2.2: the earliest guaranteed start, by requested runtimes; for a gang the earliest at
  // which all parts fit.
  std::optional<Reservation> reserve(const Unit& unit) const {
    std::vector<ClusterTime> times{now};
    for (const auto& room : rooms)
      for (const auto& projection : room.projections)
        times.push_back(projection.end);
    std::sort(times.begin(), times.end());
    times.erase(std::unique(times.begin(), times.end()), times.end());
    const auto parts = partsBySize(unit);
    for (auto time : times) {
      std::vector<std::pair<std::int64_t, std::int64_t>> free(rooms.size());
      std::vector<std::int64_t> accelerators(rooms.size());
      std::vector<std::uint32_t> together(rooms.size());
      for (std::size_t place = 0; place < rooms.size(); ++place) {
        free[place] = rooms[place].freeFrom(time);
        accelerators[place] = rooms[place].acceleratorsFrom(time);
        // Tasks to be kept apart are counted as if none of them ended: what waits for that holds no
        // reservation.
        if (auto found = rooms[place].ofStep.find({unit.job, unit.step});
            found != rooms[place].ofStep.end())
          together[place] = found->second;
      }
      Reservation reservation;
      reservation.job = unit.job;
      reservation.stepIndex = unit.step;
      reservation.start = time;
      for (auto part : parts) {
        const TaskRequest& request = requestOf(unit, part);
        std::size_t best = rooms.size();
        for (std::size_t place = 0; place < rooms.size(); ++place) {
          if (!rooms[place].worker->isSchedulable() || free[place].first < request.cores ||
              !suits(unit, rooms[place]) || accelerators[place] < request.accelerators)
            continue;
          if (unit.needs->maxPerWorker && together[place] >= unit.needs->maxPerWorker)
            continue;
          if (!memoryFits(rooms[place], free[place].second, std::int64_t(request.memory),
                          trialRoom))
            continue;
          if (best == rooms.size() || free[place].first < free[best].first)
            best = place;
        }
        if (best == rooms.size())
          break;
        free[best].first -= request.cores;
        free[best].second -= std::int64_t(request.memory);
        accelerators[best] -= request.accelerators;
        ++together[best];
        reservation.placements.push_back({part, rooms[best].worker->id});
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
  bool mayHold(const Attempt& attempt) {
    const QueueOptions& queue = queueOf(attempt.job);
    PolicyProgram::Inputs inputs;
    inputs.runtime = attempt.runtime.hours();
    inputs.running = (now - attempt.runningSince).hours();
    inputs.slowdown = slowdown(attempt);
    inputs.cores = attempt.cores / 1000.0;
    inputs.memory = double(attempt.memory);
    inputs.priority = double(queue.priority);
    return programsOf(queue.policy).maySuspend.evaluate(inputs) != 0.0;
  }

  struct TrialPlace {
    std::size_t place = 0;
    std::int64_t idleAfter = 0;
    std::vector<AttemptNumber> victims;
  };
  // A trial may not delay the reserved start, but for the reserved unit's own, which gains by it.
  // docs/paper.md 4. Paper 2.4: idle cores first, else holds of those with the least slowdown among
  // the long uninterrupted.
  std::optional<TrialPlace> trialPlace(const Unit& unit, const TaskRequest& request,
                                       const WorkerId& avoid, std::int64_t memory,
                                       const TrialOptions& options, bool holds, bool own) {
    std::optional<TrialPlace> best;
    for (std::size_t place = 0; place < rooms.size(); ++place) {
      Room& room = rooms[place];
      if (!room.usable || room.penalty > 0 || room.worker->id == avoid ||
          !room.worker->capacity.supportsSuspend || !suits(unit, room) ||
          !hasRoom(unit, room, request))
        continue;
      if (room.cores < request.cores || room.freeMemory() < memory)
        continue;
      TrialPlace candidate;
      candidate.place = place;
      std::int64_t free = room.safeCores();
      if (free < request.cores) {
        if (!holds)
          continue;
        std::vector<std::pair<double, const Attempt*>> eligible;
        for (const auto& projection : room.projections) {
          auto found = clusterState.attempts().find(projection.attempt);
          if (found == clusterState.attempts().end() || projection.held)
            continue;
          const Attempt& attempt = found->second;
          // A gang's parts are never held: the others would run on alone. docs/paper.md 5.
          if (attempt.state != AttemptState::running || attempt.isTrial() || attempt.gang ||
              attempt.abandoned)
            continue;
          if (now - attempt.runningSince < options.minimumRuntime || !mayHold(attempt))
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
      candidate.idleAfter = free - request.cores;
      const ClusterTime end = now + options.quantum;
      if (candidate.victims.empty()) {
        if (!own && delays(place, request.cores, memory, end))
          continue;
      } else if (!own) {
        Room changed = room;
        for (auto& projection : changed.projections)
          if (std::count(candidate.victims.begin(), candidate.victims.end(), projection.attempt))
            projection.end = projection.end + options.quantum;
        const bool overlaps = end > plan.record.reservation.start;
        if (!reservedStillFits(place, changed, overlaps ? request.cores : 0, overlaps ? memory : 0))
          continue;
      }
      if (!best || candidate.idleAfter < best->idleAfter)
        best = std::move(candidate);
    }
    return best;
  }

  bool tryTrial(const Unit& unit) {
    const QueueOptions& queue = queueOf(unit.job);
    std::vector<Room> before;
    if (unit.gang)
      before = rooms;
    const auto actionsBefore = plan.record.actions.size();
    const AttemptNumber attemptBefore = lastAttempt;
    const Reservation& reservation = plan.record.reservation;
    const bool own = reservation.job == unit.job && reservation.stepIndex == unit.step;
    for (auto part : partsBySize(unit)) {
      const TaskRequest& request = requestOf(unit, part);
      const auto memory = std::int64_t(std::min<std::uint64_t>(request.memory, queue.trial.memory));
      const WorkerId& avoid = taskOf(unit, part).avoidedWorker;
      auto found = trialPlace(unit, request, avoid, memory, queue.trial, false, own);
      if (!found)
        found = trialPlace(unit, request, avoid, memory, queue.trial, true, own);
      if (!found) {
        if (unit.gang)
          rooms = std::move(before);
        plan.record.actions.resize(actionsBefore);
        lastAttempt = attemptBefore;
        return false;
      }
      lastAttempt = lastAttempt.next();
      for (auto victim : found->victims) {
        Action hold;
        hold.kind = ActionKind::suspend;
        hold.attempt = victim;
        hold.worker = rooms[found->place].worker->id;
        hold.suspendedForTrial = lastAttempt;
        plan.record.actions.push_back(hold);
        for (auto& projection : rooms[found->place].projections)
          if (projection.attempt == victim) {
            rooms[found->place].hold(projection);
            projection.end = projection.end + queue.trial.quantum;
          }
      }
      Action action;
      action.kind = unit.gang ? ActionKind::stage : ActionKind::start;
      action.attempt = lastAttempt;
      action.job = unit.job;
      action.taskIndex = part;
      action.worker = rooms[found->place].worker->id;
      action.trial = true;
      action.quantum = queue.trial.quantum;
      action.memory = std::uint64_t(memory);
      occupy(found->place, lastAttempt, request, memory, now + queue.trial.quantum,
             !found->victims.empty());
      plan.record.actions.push_back(std::move(action));
    }
    return true;
  }

  // Gangs that are wholly staged go; those that cannot be are taken back. docs/design.md 7.3.
  void moveGangs() {
    std::map<std::pair<JobId, std::uint32_t>, std::vector<const Attempt*>> gangs;
    for (const auto& [number, attempt] : clusterState.attempts())
      if (attempt.gang && !attempt.abandoned && !clusterState.jobs().at(attempt.job).tasks.empty())
        gangs[{attempt.job, attempt.stepIndex}].push_back(&attempt);
    for (const auto& [key, parts] : gangs) {
      const Job& job = clusterState.jobs().at(key.first);
      std::size_t openParts = 0;
      for (const auto& task : job.tasks)
        openParts += task.stepIndex == key.second && task.state != TaskState::succeeded;
      bool allStaged = parts.size() == openParts, staging = false, late = false, alone = false;
      for (const auto* part : parts) {
        const bool unheard = part->state == AttemptState::launching ||
                             (part->selfAssembling && part->state == AttemptState::ordered);
        alone = alone || (unheard && now - part->runningSince > goLimit);
        if (part->selfAssembling)
          continue;
        if (part->state == AttemptState::staged || part->state == AttemptState::ordered) {
          staging = true;
          late = late || now - part->orderedAt > stagingLimit;
        }
        auto quiet = silence.find(part->worker);
        const bool heard = quiet != silence.end() && quiet->second < Duration{1500};
        allStaged = allStaged && part->state == AttemptState::staged && heard &&
                    clusterState.workers().at(part->worker).isSchedulable();
      }
      for (const auto* part : parts) {
        Action action;
        action.attempt = part->number;
        action.worker = part->worker;
        if (allStaged && !part->selfAssembling)
          action.kind = ActionKind::launch;
        else if (alone && part->state != AttemptState::stopping) {
          action.kind = ActionKind::stop;
          action.reason = "alone";
        } else if (staging && late && part->state != AttemptState::stopping) {
          action.kind = ActionKind::stop;
          action.reason = "staging";
        } else
          continue;
        plan.record.actions.push_back(std::move(action));
      }
    }
  }

  void stopOverdue() {
    for (const auto& [number, attempt] : clusterState.attempts()) {
      if (attempt.abandoned || attempt.state != AttemptState::running)
        continue;
      const Duration limit = queueOf(attempt.job).hardRuntimeLimit;
      Action action;
      action.kind = ActionKind::stop;
      action.attempt = number;
      action.worker = attempt.worker;
      if (attempt.isTrial() && attempt.runtimeAt(now) > attempt.quantum + trialGrace)
        action.reason = "trial";
      else if (!attempt.isTrial() && limit.milliseconds > 0 && attempt.runtimeAt(now) > limit)
        action.reason = "hard limit";
      else
        continue;
      plan.record.actions.push_back(std::move(action));
    }
  }

  // Where urgency goes first, long work that has time leaves free what the most urgent queues have
  // wanted lately: on workers that can't pause, the paper's immediate service has no victims that
  // cost nothing. docs/paper.md 5.
  struct PoolRoom {
    std::int64_t cores = 0, free = 0, urgentUsed = 0, urgentWanted = 0;
  };
  std::map<std::string, PoolRoom> poolRooms;
  std::int64_t mostUrgent = 0;
  void weighPools(const std::vector<Unit>& units) {
    for (const auto& [name, queue] : clusterState.config().queues)
      mostUrgent = std::max(mostUrgent, queue.priority);
    for (const auto& room : rooms)
      if (room.usable) {
        PoolRoom& pool = poolRooms[room.worker->capacity.pool];
        pool.cores += room.cores;
        pool.free += std::max<std::int64_t>(0, room.safeCores());
      }
    for (const auto& [number, attempt] : clusterState.attempts())
      if (!attempt.abandoned && queueOf(attempt.job).priority == mostUrgent)
        poolRooms[queueOf(attempt.job).pool].urgentUsed += attempt.cores;
    for (const auto& unit : units)
      if (unit.urgency == mostUrgent && unit.standing < 2)
        for (auto part : unit.tasks)
          poolRooms[unit.pool].urgentWanted += requestOf(unit, part).cores;
    for (const auto& [name, pool] : poolRooms)
      plan.urgentDemand[name] = pool.urgentUsed + pool.urgentWanted;
  }
  bool leavesUrgentRoom(const Unit& unit) {
    if (!clusterState.config().planner.strictPriority || unit.urgency == mostUrgent ||
        (unit.pressed && unit.standing < 2))
      return true;
    auto demand = hints.urgentDemand.find(unit.pool);
    const PoolRoom& pool = poolRooms[unit.pool];
    // Never so that work stands while half of the pool is idle.
    if (demand == hints.urgentDemand.end() || 5 * pool.free > 2 * pool.cores)
      return true;
    std::int64_t cores = 0;
    for (auto part : unit.tasks)
      cores += requestOf(unit, part).cores;
    return pool.free - cores >= demand->second - pool.urgentUsed;
  }

  void note(const Unit& unit, std::string text) {
    if (explain)
      plan.explanations.push_back({unit.job, unit.step, unit.priority, std::move(text)});
  }

  Plan run() {
    buildRooms();
    moveGangs();
    stopOverdue();
    auto units = waitingUnits();
    plan.pendingUnits = units.size();
    for (const auto& unit : units)
      ++plan.unitsByTargetStatus[std::size_t(unit.standing)];
    for (const auto& room : rooms) {
      ++(room.usable ? plan.schedulableWorkers : plan.excludedWorkers);
      plan.schedulableCores += room.usable ? room.cores : 0;
      plan.allocatedCores += room.usable ? room.usedCores : 0;
    }
    if (clusterState.config().planner.strictPriority)
      weighPools(units);
    std::vector<const Unit*> notStarted;
    for (const auto& unit : units) {
      const bool reserved = plan.record.reservation.isActive();
      FailedShapes::Shape shape{0, 0, unit.runtime.milliseconds};
      if (!unit.gang) {
        shape.cores = requestOf(unit, unit.tasks[0]).cores;
        shape.memory = std::int64_t(requestOf(unit, unit.tasks[0]).memory);
        if (reserved && !unit.needs->maxPerWorker &&
            noBackfill[{unit.pool, unit.needs->requiredLabel}].covers(shape)) {
          note(unit, "would delay the reserved start, or no worker has room");
          notStarted.push_back(&unit);
          continue;
        }
      }
      if (!leavesUrgentRoom(unit)) {
        note(unit, "leaves room that urgent work has wanted lately");
        continue;
      }
      if (startNow(unit)) {
        for (auto part : unit.tasks)
          poolRooms[unit.pool].free -= requestOf(unit, part).cores;
        note(unit, "starts in this plan");
        continue;
      }
      notStarted.push_back(&unit);
      if (!reserved) {
        if (auto reservation = reserve(unit)) {
          const Reservation& before = clusterState.reservation();
          const bool same = before.job == unit.job && before.stepIndex == unit.step;
          reservation->timesMoved = same ? before.timesMoved : 0;
          if (same && reservation->start > before.start + Duration{1000})
            ++reservation->timesMoved;
          plan.record.reservation = *reservation;
          note(unit, "holds the reserved start on " + reservation->placements.front().worker.value +
                         " in " + std::to_string((reservation->start - now).milliseconds) + " ms");
          continue;
        }
        note(unit, "no worker that is here now could ever hold it");
        continue;
      }
      if (!unit.gang && !unit.needs->maxPerWorker && !unit.needs->sameRack &&
          unit.needs->preferredRack.empty() && !requestOf(unit, unit.tasks[0]).accelerators)
        noBackfill[{unit.pool, unit.needs->requiredLabel}].add(shape);
      note(unit, "would delay the reserved start, or no worker has room");
    }
    if (clusterState.config().planner.trialsEnabled)
      for (const auto* unit : notStarted) {
        const Task& first = taskOf(*unit, unit->tasks[0]);
        if (first.trialStarted || first.trialExpired || first.countedStarts > 0)
          continue;
        const QueueOptions& queue = queueOf(unit->job);
        FailedShapes::Shape shape{0, 0, queue.trial.minimumRuntime.milliseconds};
        if (!unit->gang) {
          const TaskRequest& request = requestOf(*unit, unit->tasks[0]);
          shape.cores = request.cores;
          shape.memory = std::int64_t(std::min<std::uint64_t>(request.memory, queue.trial.memory));
          if (noTrial.covers(shape) || !unit->needs->requiredLabel.empty() || !unit->pool.empty())
            continue;
        }
        if (!tryTrial(*unit)) {
          if (!unit->gang && unit->needs->requiredLabel.empty() && unit->pool.empty() &&
              queue.trial.quantum >= Duration{1000})
            noTrial.add(shape);
        } else
          note(*unit, "gets its trial in this plan");
      }
    startCopies();
    plan.record.number = clusterState.lastPlan().next();
    return std::move(plan);
  }
};

Planner::Planner() = default;
Planner::~Planner() = default;

Plan Planner::makePlan(const ClusterState& clusterState, ClusterTime now,
                       const LastContactAges& silence, bool explain, const PlannerHints& hints) {
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
  return PlanBuilder(*this, clusterState, now, silence, explain, hints).run();
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
      consider(now + (attempt.quantum + trialGrace - attempt.runtimeAt(now)) + Duration{1});
    if (attempt.gang && !attempt.selfAssembling &&
        (attempt.state == AttemptState::ordered || attempt.state == AttemptState::staged))
      consider(now + Duration{200});
    if (attempt.gang && (attempt.state == AttemptState::launching ||
                         (attempt.selfAssembling && attempt.state == AttemptState::ordered)))
      consider(attempt.runningSince + goLimit + Duration{1});
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
