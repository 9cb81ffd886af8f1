// What one plan works with: rooms, the jobs' steps as the plan sees them, and what waits.
// docs/design.md 7.
#ifndef ANISELINE_SCHEDULING_PLANNER_WORK_HPP
#define ANISELINE_SCHEDULING_PLANNER_WORK_HPP
#include "scheduling/planner.hpp"
#include <span>
#include <unordered_map>

namespace aniseline::planning {

constexpr Duration maxContactAge{2000};  // an unheard worker gets no new work, docs/design.md 5.6
constexpr Duration orderApplyTimeout{1500};  // nor one that is slow to apply its orders
constexpr Duration stagingTimeout{5000};
constexpr Duration startConfirmationTimeout{
    2500};  // told to go but not heard to have gone: the others run alone, docs/design.md 7.3
constexpr Duration trialStopGrace{
    2000};  // past its quantum a trial is stopped by order, docs/design.md 7.5
constexpr std::int64_t failureScoreLimit = 500;

// One attempt as the plan sees it: what it takes and when it is expected to end.
struct Allocation {
  const Attempt* attempt = nullptr;  // none: begun in this plan
  std::int64_t cores = 0, memory = 0, accelerators = 0;
  ClusterTime expectedEnd;
  bool suspended = false;
  bool isTrialWithVictims = false;
};

// Cores, memory and accelerators that are free.
struct Resources {
  std::int64_t cores = 0, memory = 0, accelerators = 0;
};

struct PoolView;
struct WorkerView {
  const Worker* worker = nullptr;
  std::int64_t cores = 0, memory = 0, accelerators = 0;
  bool schedulable = true;
  int penalty = 0;
  std::size_t rackIndex = 0;  // the place of its name among the racks' names
  PoolView* pool = nullptr;
  std::vector<const Job*> overdueJobs;  // jobs whose runs here stand still or go on far too long
  std::vector<Allocation> allocations;
  // Sums over the projections, kept as these come and go.
  std::int64_t usedCores = 0, usedMemory = 0, usedAccelerators = 0, suspendedCores = 0,
               victimTrialCores = 0;
  std::int64_t reservedCores = 0,
               reservedMemory = 0;  // by the one reserved start, from its time on

  void updateTotals(const Allocation& projection, std::int64_t sign) {
    usedCores += projection.suspended ? 0 : sign * projection.cores;
    usedMemory += sign * projection.memory;
    usedAccelerators += sign * projection.accelerators;
    suspendedCores += projection.suspended ? sign * projection.cores : 0;
    victimTrialCores += projection.isTrialWithVictims ? sign * projection.cores : 0;
  }
  void allocate(Allocation projection) {
    updateTotals(projection, 1);
    allocations.push_back(projection);
  }
  void releaseLast() {
    updateTotals(allocations.back(), -1);
    allocations.pop_back();
  }
  void suspend(Allocation& projection) {
    updateTotals(projection, -1);
    projection.suspended = true;
    updateTotals(projection, 1);
  }
  std::int64_t freeCores() const { return cores - usedCores; }
  std::int64_t freeMemory() const { return memory - usedMemory; }
  std::int64_t freeAccelerators() const { return accelerators - usedAccelerators; }
  // Cores that stay free when every held task is back, counting no expected ending.
  // docs/design.md 7.4.
  std::int64_t guaranteedFreeCores() const {
    return std::min(freeCores(), freeCores() + victimTrialCores - suspendedCores);
  }
  // What is free from the given time on, by expected endings; later resumptions are counted in.
  Resources expectedFreeAt(ClusterTime time) const {
    Resources free{cores, memory, accelerators};
    for (const auto& projection : allocations)
      if (projection.expectedEnd > time) {
        free.cores -= projection.cores;
        free.memory -= projection.memory;
        free.accelerators -= projection.accelerators;
      }
    return free;
  }
};

inline bool memoryFits(const WorkerView& room, std::int64_t free, std::int64_t wanted,
                       std::int64_t trialRoom) {
  if (wanted <= free - trialRoom)
    return true;
  return wanted > room.memory - trialRoom && wanted <= free;  // else it could never start
}

// Shapes that found no place in this plan; whatever needs at least as much need not be tried again.
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

// The rooms of one pool that have one label, in their order. Label, pool and accelerators are
// conditions. docs/paper.md 2.
struct EligibleWorkers {
  std::vector<std::size_t> workerIndices;
  bool anySupportsSuspend = false;  // one of them can
  FailedRequests failedBackfills;
};

// Where urgency goes first, long work that has time leaves free what the most urgent queues have
// wanted lately: on workers that can't pause, the paper's immediate service has no victims that
// cost nothing. docs/paper.md 5.
struct PoolView {
  std::size_t workerCount = 0;  // their rooms
  std::int64_t schedulableCores = 0, freeCores = 0, urgentCoresInUse = 0, urgentCoresPending = 0;
  bool reportsUrgentDemand = false;                // there are workers, or urgent work, to speak of
  std::optional<std::int64_t> recentUrgentDemand;  // of urgent work lately
  std::map<std::string, EligibleWorkers> eligibleByLabel;  // by label
};

struct QueueView {
  const QueueOptions* options = nullptr;
  PoolView* pool = nullptr;
};

struct StepView;
struct JobView {
  const Job* job = nullptr;
  QueueView* queue = nullptr;
  std::vector<StepView> steps;
  int targetStatus = 0;
  bool lowSlack = true;
};
struct StepView {
  JobView* parent = nullptr;
  std::uint32_t index = 0;
  const StepRequest* request = nullptr;
  EligibleWorkers* eligible = nullptr;
  std::vector<std::uint32_t> tasksByWorker;  // by room, if it is kept apart: its tasks there
  std::optional<std::size_t> chosenRack;     // of a step that wants one rack

  const StepRequirements& needs() const { return request->requirements; }
  const Job& job() const { return *parent->job; }
  const JobId& jobId() const { return parent->job->submission.id; }
  const TaskRequest& taskRequest(std::uint32_t task) const {
    return request->tasks[job().tasks[task].indexInStep];
  }
};

// Waiting tasks of one step that are alike in all but where they failed, or a whole gang: what is
// found for one holds for all.
struct TaskBatch {
  StepView* step = nullptr;
  bool gang = false;
  std::vector<std::uint32_t> tasks;
  Duration runtime;  // the longest of its parts
  ClusterTime readyAt;
  double rank = 0;
  int targetStatus =
      0;  // 0: its job's aim can be met; 1: late, but of use; 2: past that. docs/paper.md 5
  bool lowSlack = false;           // what is left of its aim's slack is little
  std::int64_t queuePriority = 0;  // where urgency goes before all
  std::int64_t coresPerUnit = 0;   // of one unit
  bool startFailed =
      false;  // one of it found no room in this plan; what is begun since leaves no more
  bool reservationFailed = false;
  bool backfillFailed = false;  // one of it was among the failed shapes; these grow only
};

// What waits for a start: one ready task, or a whole gang. docs/design.md 7.1.
struct PlacementUnit {
  TaskBatch* batch = nullptr;
  std::span<const std::uint32_t> tasks;

  bool isGang() const { return batch->gang; }
  StepView& step() const { return *batch->step; }
  const StepRequirements& needs() const { return batch->step->needs(); }
  const QueueView& queue() const { return *batch->step->parent->queue; }
  const Task& task(std::uint32_t place) const { return batch->step->job().tasks[place]; }
  const TaskRequest& request(std::uint32_t place) const { return batch->step->taskRequest(place); }
  FailedRequests::RequestShape requestShape(std::int64_t memoryLimit, Duration span) const {
    if (isGang())
      return {0, 0, span.milliseconds};
    const TaskRequest& only = request(tasks[0]);
    return {only.cores, std::min(std::int64_t(only.memory), memoryLimit), span.milliseconds};
  }
};

// The least that any part of a gang takes: how many such would fit is a bound of how many parts do.
struct MinimumRequest {
  std::int64_t cores, memory, accelerators, parts;
  explicit MinimumRequest(const PlacementUnit& unit) : parts(std::int64_t(unit.tasks.size())) {
    cores = memory = accelerators = std::numeric_limits<std::int64_t>::max();
    for (auto part : unit.tasks) {
      const TaskRequest& request = unit.request(part);
      cores = std::min<std::int64_t>(cores, request.cores);
      memory = std::min(memory, std::int64_t(request.memory));
      accelerators = std::min<std::int64_t>(accelerators, request.accelerators);
    }
  }
  std::int64_t slots(const Resources& free, const StepView& step, std::size_t place) const {
    std::int64_t least = parts;
    if (cores > 0)
      least = std::min(least, free.cores / cores);
    if (memory > 0)
      least = std::min(least, free.memory / memory);
    if (accelerators > 0)
      least = std::min(least, free.accelerators / accelerators);
    if (const std::int64_t apart = step.needs().maxPerWorker)
      least = std::min(
          least,
          apart - (step.tasksByWorker.empty() ? 0 : std::int64_t(step.tasksByWorker[place])));
    return std::max<std::int64_t>(0, least);
  }
};

}  // namespace aniseline::planning

namespace aniseline {

struct Planner::PlanBuilder {
  Planner& planner;
  const ClusterState& clusterState;
  ClusterTime now;
  const LastContactAges& contactAges;
  bool explain;
  const PlannerHints& hints;
  Plan plan;
  AttemptNumber lastAttempt;
  std::int64_t trialMemory;

  PlanBuilder(Planner& planner, const ClusterState& clusterState, ClusterTime now,
              const LastContactAges& contactAges, bool explain, const PlannerHints& hints)
      : planner(planner),
        clusterState(clusterState),
        now(now),
        contactAges(contactAges),
        explain(explain),
        hints(hints),
        lastAttempt(clusterState.lastAttempt()),
        trialMemory(std::int64_t(clusterState.config().planner.reservedTrialMemory)) {}
  Plan run();

  // planner_rooms.cpp: workers as rooms, and the attempts in them.
  std::vector<planning::WorkerView> workers;
  std::unordered_map<std::string_view, std::size_t> workerIndexById;
  std::map<std::string, planning::PoolView> pools;
  std::vector<std::string_view> rackNames;  // their names, sorted
  std::map<QueueName, planning::QueueView> queues;
  std::deque<planning::JobView> jobs;
  std::unordered_map<std::string_view, planning::JobView*> jobsById;
  std::vector<std::pair<planning::StepView*, const Attempt*>> gangAttempts,
      redundantAttempts;  // not given up; of redundant steps
  std::int64_t highestPriority = 0;
  void buildWorkers();
  void projectAttempts();
  void markTrialsWithVictims();
  void excludeSlowWorkers();
  planning::JobView* jobView(const JobId& id);
  planning::QueueView& queueView(const QueueName& name);
  planning::PoolView& poolView(const std::string& name);
  planning::EligibleWorkers& eligibleWorkers(planning::StepView& step);
  static constexpr std::size_t noIndex = std::size_t(-1);
  std::size_t rackIndexOf(std::string_view name) const;
  std::size_t rackOfWorker(const WorkerId& id) const;
  std::size_t workerIndexOf(const WorkerId& id) const;
  Duration remainingRuntime(const Attempt& attempt) const;
  ClusterTime expectedEnd(const Attempt& attempt) const;
  bool isOverdue(const Attempt& attempt, const StepRequirements* needs) const;
  bool isOutOfContact(const WorkerId& id) const;

  // planner_order.cpp: what waits, and in which order.
  std::deque<planning::TaskBatch> batches;
  std::vector<planning::PlacementUnit> units;
  void collectUnits();
  void collectBatches(planning::JobView& job);
  void evaluateLatencyTarget(planning::JobView& job) const;
  void computeRank(planning::TaskBatch& batch);
  CompiledPolicy& compiledPolicyOf(const std::string& policy);
  void measureUrgentDemand();
  bool leavesUrgentHeadroom(const planning::PlacementUnit& unit) const;

  // planner_starts.cpp: starts now, and copies.
  bool startNow(const planning::PlacementUnit& unit);
  bool gangMayFit(const planning::PlacementUnit& unit,
                  const std::vector<std::size_t>& places) const;
  void startRedundantCopies();
  void allocate(std::size_t place, const TaskRequest& request, std::int64_t memory, ClusterTime end,
                bool withVictims);
  bool fits(const planning::StepView& step, std::size_t place, const TaskRequest& request) const;
  std::size_t chooseRack(planning::StepView& step);
  bool isRemote(planning::StepView& step, const planning::WorkerView& room);
  Duration expectedRuntime(planning::StepView& step, const planning::WorkerView& room,
                           const TaskRequest& request);
  std::vector<std::uint32_t> tasksByDescendingCores(const planning::PlacementUnit& unit) const;

  // planner_reservation.cpp: the one reserved start, and what may go before it.
  std::optional<Reservation> findReservation(const planning::PlacementUnit& unit) const;
  bool findTaskReservation(const planning::PlacementUnit& unit,
                           const std::vector<std::size_t>& places, Reservation& reservation) const;
  bool findGangReservation(const planning::PlacementUnit& unit,
                           const std::vector<std::size_t>& places, Reservation& reservation) const;
  bool placeGang(const planning::PlacementUnit& unit, const std::vector<std::uint32_t>& parts,
                 const std::vector<std::size_t>& places, std::vector<planning::Resources> free,
                 Reservation& reservation) const;
  void recordReservation(const planning::PlacementUnit& unit, Reservation reservation);
  bool delaysReservation(const planning::WorkerView& room, std::int64_t cores, std::int64_t memory,
                         ClusterTime end) const;
  bool reservationStillFits(const planning::WorkerView& room, std::int64_t cores,
                            std::int64_t memory) const;

  // planner_trials.cpp: trials, and the holds that make way for them.
  struct TrialPlacement {
    std::size_t workerIndex = 0;
    std::int64_t idleCoresAfter = 0;
    std::vector<AttemptNumber> victims;
  };
  planning::FailedRequests failedTrials;
  std::map<AttemptNumber, bool> suspendableAttempts;
  void startTrials(const std::vector<const planning::PlacementUnit*>& notStarted);
  bool tryTrial(const planning::PlacementUnit& unit);
  std::optional<TrialPlacement> findTrialPlacement(const planning::PlacementUnit& unit,
                                                   const TaskRequest& request, std::size_t avoid,
                                                   std::int64_t memory, bool holds, bool own);
  double slowdown(const Attempt& attempt) const;
  bool maySuspend(const Attempt& attempt);

  // planner_gangs.cpp: what runs and has to be told something.
  std::vector<Action> timeLimitStops;
  void advanceGangs();
  void stopIfOverTimeLimit(const Attempt& attempt, const QueueOptions& queue);

  void explainDecision(const planning::PlacementUnit& unit, std::string text) {
    if (explain)
      plan.explanations.push_back(
          {unit.step().jobId(), unit.step().index, unit.batch->rank, std::move(text)});
  }
};

}  // namespace aniseline

#endif  // ANISELINE_SCHEDULING_PLANNER_WORK_HPP
