// What one plan works with: rooms, the jobs' steps as the plan sees them, and what waits.
// docs/design.md 7.
#pragma once
#include "scheduling/planner.hpp"
#include <span>
#include <unordered_map>

namespace aniseline::planning {

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
  const Attempt* attempt = nullptr;  // none: begun in this plan
  std::int64_t cores = 0, memory = 0, accelerators = 0;
  ClusterTime end;
  bool held = false;
  bool trialWithVictims = false;
};

// Cores, memory and accelerators that are free.
struct Free {
  std::int64_t cores = 0, memory = 0, accelerators = 0;
};

struct PoolInPlan;
struct Room {
  const Worker* worker = nullptr;
  std::int64_t cores = 0, memory = 0, accelerators = 0;
  bool usable = true;
  int penalty = 0;
  std::size_t rack = 0;  // the place of its name among the racks' names
  PoolInPlan* pool = nullptr;
  std::vector<const Job*> overdue;  // jobs whose runs here stand still or go on far too long
  std::vector<Projection> projections;
  // Sums over the projections, kept as these come and go.
  std::int64_t usedCores = 0, usedMemory = 0, usedAccelerators = 0, heldCores = 0, trialCores = 0;
  std::int64_t reservedCores = 0,
               reservedMemory = 0;  // by the one reserved start, from its time on

  void count(const Projection& projection, std::int64_t sign) {
    usedCores += projection.held ? 0 : sign * projection.cores;
    usedMemory += sign * projection.memory;
    usedAccelerators += sign * projection.accelerators;
    heldCores += projection.held ? sign * projection.cores : 0;
    trialCores += projection.trialWithVictims ? sign * projection.cores : 0;
  }
  void add(Projection projection) {
    count(projection, 1);
    projections.push_back(projection);
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
  // Cores that stay free when every held task is back, counting no expected ending.
  // docs/design.md 7.4.
  std::int64_t safeCores() const {
    return std::min(freeCores(), freeCores() + trialCores - heldCores);
  }
  // What is free from the given time on, by expected endings; later resumptions are counted in.
  Free freeFrom(ClusterTime time) const {
    Free free{cores, memory, accelerators};
    for (const auto& projection : projections)
      if (projection.end > time) {
        free.cores -= projection.cores;
        free.memory -= projection.memory;
        free.accelerators -= projection.accelerators;
      }
    return free;
  }
};

inline bool memoryFits(const Room& room, std::int64_t free, std::int64_t wanted,
                       std::int64_t trialRoom) {
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

// The rooms of one pool that have one label, in their order. Label, pool and accelerators are
// conditions. docs/paper.md 2.
struct Suiting {
  std::vector<std::size_t> places;
  bool pauses = false;  // one of them can
  FailedShapes noBackfill;
};

// Where urgency goes first, long work that has time leaves free what the most urgent queues have
// wanted lately: on workers that can't pause, the paper's immediate service has no victims that
// cost nothing. docs/paper.md 5.
struct PoolInPlan {
  std::size_t workers = 0;  // their rooms
  std::int64_t cores = 0, free = 0, urgentUsed = 0, urgentWanted = 0;
  bool weighed = false;                    // there are workers, or urgent work, to speak of
  std::optional<std::int64_t> demand;      // of urgent work lately
  std::map<std::string, Suiting> suiting;  // by label
};

struct QueueInPlan {
  const QueueOptions* options = nullptr;
  PoolInPlan* pool = nullptr;
};

struct StepInPlan;
struct JobInPlan {
  const Job* job = nullptr;
  QueueInPlan* queue = nullptr;
  std::vector<StepInPlan> steps;
  int standing = 0;
  bool pressed = true;
};
struct StepInPlan {
  JobInPlan* of = nullptr;
  std::uint32_t number = 0;
  const StepRequest* request = nullptr;
  Suiting* suiting = nullptr;
  std::vector<std::uint32_t> together;  // by room, if it is kept apart: its tasks there
  std::optional<std::size_t> rack;      // of a step that wants one rack

  const StepNeeds& needs() const { return request->needs; }
  const Job& job() const { return *of->job; }
  const JobId& id() const { return of->job->submission.id; }
  const TaskRequest& requestOf(std::uint32_t task) const {
    return request->tasks[job().tasks[task].within];
  }
};

// Waiting tasks of one step that are alike in all but where they failed, or a whole gang: what is
// found for one holds for all.
struct Batch {
  StepInPlan* step = nullptr;
  bool gang = false;
  std::vector<std::uint32_t> tasks;
  Duration runtime;  // the longest of its parts
  ClusterTime readyAt;
  double priority = 0;
  int standing =
      0;  // 0: its job's aim can be met; 1: late, but of use; 2: past that. docs/paper.md 5
  bool pressed = false;      // what is left of its aim's slack is little
  std::int64_t urgency = 0;  // where urgency goes before all
  std::int64_t cores = 0;    // of one unit
  bool noRoom = false;  // one of it found no room in this plan; what is begun since leaves no more
  bool noReservation = false;
  bool noBackfill = false;  // one of it was among the failed shapes; these grow only
};

// What waits for a start: one ready task, or a whole gang. docs/design.md 7.1.
struct Unit {
  Batch* batch = nullptr;
  std::span<const std::uint32_t> tasks;

  bool gang() const { return batch->gang; }
  StepInPlan& step() const { return *batch->step; }
  const StepNeeds& needs() const { return batch->step->needs(); }
  const QueueInPlan& queue() const { return *batch->step->of->queue; }
  const Task& task(std::uint32_t place) const { return batch->step->job().tasks[place]; }
  const TaskRequest& request(std::uint32_t place) const { return batch->step->requestOf(place); }
  FailedShapes::Shape shape(std::int64_t memoryLimit, Duration span) const {
    if (gang())
      return {0, 0, span.milliseconds};
    const TaskRequest& only = request(tasks[0]);
    return {only.cores, std::min(std::int64_t(only.memory), memoryLimit), span.milliseconds};
  }
};

// The least that any part of a gang takes: how many such would fit is a bound of how many parts do.
struct Smallest {
  std::int64_t cores, memory, accelerators, parts;
  explicit Smallest(const Unit& unit) : parts(std::int64_t(unit.tasks.size())) {
    cores = memory = accelerators = std::numeric_limits<std::int64_t>::max();
    for (auto part : unit.tasks) {
      const TaskRequest& request = unit.request(part);
      cores = std::min<std::int64_t>(cores, request.cores);
      memory = std::min(memory, std::int64_t(request.memory));
      accelerators = std::min<std::int64_t>(accelerators, request.accelerators);
    }
  }
  std::int64_t slots(const Free& free, const StepInPlan& step, std::size_t place) const {
    std::int64_t least = parts;
    if (cores > 0)
      least = std::min(least, free.cores / cores);
    if (memory > 0)
      least = std::min(least, free.memory / memory);
    if (accelerators > 0)
      least = std::min(least, free.accelerators / accelerators);
    if (const std::int64_t apart = step.needs().apart)
      least =
          std::min(least, apart - (step.together.empty() ? 0 : std::int64_t(step.together[place])));
    return std::max<std::int64_t>(0, least);
  }
};

}  // namespace aniseline::planning

namespace aniseline {

struct Planner::Work {
  Planner& planner;
  const ClusterState& clusterState;
  ClusterTime now;
  const Silence& silence;
  bool explain;
  const Hints& hints;
  Plan plan;
  AttemptNumber lastAttempt;
  std::int64_t trialRoom;

  Work(Planner& planner, const ClusterState& clusterState, ClusterTime now, const Silence& silence,
       bool explain, const Hints& hints)
      : planner(planner),
        clusterState(clusterState),
        now(now),
        silence(silence),
        explain(explain),
        hints(hints),
        lastAttempt(clusterState.lastAttempt),
        trialRoom(std::int64_t(clusterState.config.planner.trialRoom)) {}
  Plan run();

  // planner_rooms.cpp: workers as rooms, and the attempts in them.
  std::vector<planning::Room> rooms;
  std::unordered_map<std::string_view, std::size_t> roomOf;
  std::map<std::string, planning::PoolInPlan> pools;
  std::vector<std::string_view> racks;  // their names, sorted
  std::map<QueueName, planning::QueueInPlan> queues;
  std::deque<planning::JobInPlan> jobs;
  std::unordered_map<std::string_view, planning::JobInPlan*> jobOf;
  std::vector<std::pair<planning::StepInPlan*, const Attempt*>> gangParts,
      copied;  // not given up; of redundant steps
  std::int64_t mostUrgent = 0;
  void buildRooms();
  void takeAttempts();
  void markTrialsWithVictims();
  void passOverSlow();
  planning::JobInPlan* jobInPlan(const JobId& id);
  planning::QueueInPlan& queueInPlan(const QueueName& name);
  planning::PoolInPlan& poolInPlan(const std::string& name);
  planning::Suiting& suitingOf(planning::StepInPlan& step);
  static constexpr std::size_t none = std::size_t(-1);
  std::size_t rackNumber(std::string_view name) const;
  std::size_t rackOf(const WorkerId& id) const;
  std::size_t placeOf(const WorkerId& id) const;
  Duration remaining(const Attempt& attempt) const;
  ClusterTime expectedEnd(const Attempt& attempt) const;
  bool overdue(const Attempt& attempt, const StepNeeds* needs) const;
  bool outOfTouch(const WorkerId& id) const;

  // planner_order.cpp: what waits, and in which order.
  std::deque<planning::Batch> batches;
  std::vector<planning::Unit> units;
  void collectUnits();
  void collectBatches(planning::JobInPlan& job);
  void weighAim(planning::JobInPlan& job) const;
  void rank(planning::Batch& batch);
  Programs& programsOf(const std::string& policy);
  void weighPools();
  bool leavesUrgentRoom(const planning::Unit& unit) const;

  // planner_starts.cpp: starts now, and copies.
  bool startNow(const planning::Unit& unit);
  bool mayFit(const planning::Unit& unit, const std::vector<std::size_t>& places) const;
  void startCopies();
  void occupy(std::size_t place, const TaskRequest& request, std::int64_t memory, ClusterTime end,
              bool withVictims);
  bool hasRoom(const planning::StepInPlan& step, std::size_t place,
               const TaskRequest& request) const;
  std::size_t rackFor(planning::StepInPlan& step);
  bool isFar(planning::StepInPlan& step, const planning::Room& room);
  Duration runtimeAt(planning::StepInPlan& step, const planning::Room& room,
                     const TaskRequest& request);
  std::vector<std::uint32_t> partsBySize(const planning::Unit& unit) const;

  // planner_reservation.cpp: the one reserved start, and what may go before it.
  std::optional<Reservation> reserve(const planning::Unit& unit) const;
  bool reserveTask(const planning::Unit& unit, const std::vector<std::size_t>& places,
                   Reservation& reservation) const;
  bool reserveGang(const planning::Unit& unit, const std::vector<std::size_t>& places,
                   Reservation& reservation) const;
  bool placeGang(const planning::Unit& unit, const std::vector<std::uint32_t>& parts,
                 const std::vector<std::size_t>& places, std::vector<planning::Free> free,
                 Reservation& reservation) const;
  void keepReservation(const planning::Unit& unit, Reservation reservation);
  bool delays(const planning::Room& room, std::int64_t cores, std::int64_t memory,
              ClusterTime end) const;
  bool reservedStillFits(const planning::Room& room, std::int64_t cores, std::int64_t memory) const;

  // planner_trials.cpp: trials, and the holds that make way for them.
  struct TrialPlace {
    std::size_t place = 0;
    std::int64_t idleAfter = 0;
    std::vector<AttemptNumber> victims;
  };
  planning::FailedShapes noTrial;
  std::map<AttemptNumber, bool> holdable;
  void startTrials(const std::vector<const planning::Unit*>& notStarted);
  bool tryTrial(const planning::Unit& unit);
  std::optional<TrialPlace> trialPlace(const planning::Unit& unit, const TaskRequest& request,
                                       std::size_t avoid, std::int64_t memory, bool holds,
                                       bool own);
  double slowdown(const Attempt& attempt) const;
  bool mayHold(const Attempt& attempt);

  // planner_gangs.cpp: what runs and has to be told something.
  std::vector<Action> overdueStops;
  void moveGangs();
  void noteOverdue(const Attempt& attempt, const QueueOptions& queue);

  void note(const planning::Unit& unit, std::string text) {
    if (explain)
      plan.reasons.push_back(
          {unit.step().id(), unit.step().number, unit.batch->priority, std::move(text)});
  }
};

}  // namespace aniseline
