// Compares the planner with the reference planner: random events produce cluster states, and every
// field of every plan must be equal. Each plan must also keep the limits of PlanLimits, so that a
// mistake which both planners share is found. ANISELINE_PLANNER_STATES requests more states than a
// default run uses, and prints the coverage.
#include "scheduling/planner.hpp"
#include "plan_limits.hpp"
#include "reference_planner.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

namespace {

template <class SomePlan>
std::string textOf(const SomePlan& plan) {
  std::ostringstream text;
  text.precision(17);
  text << "number " << plan.record.number.value << " pending " << plan.pendingUnits
       << " schedulable " << plan.schedulableWorkers << " excluded " << plan.excludedWorkers
       << " copies " << plan.redundantCopies << " held by tenant cap " << plan.heldByTenantCap
       << " cores " << plan.schedulableCores << "/" << plan.allocatedCores << " by target status "
       << plan.unitsByTargetStatus[0] << "," << plan.unitsByTargetStatus[1] << ","
       << plan.unitsByTargetStatus[2] << "\n";
  for (const auto& action : plan.record.actions)
    text << "action " << int(action.kind) << " attempt " << action.attempt.value << " job "
         << action.job.value << " task " << action.taskIndex << " on " << action.worker.value
         << " trial " << action.trial << " quantum " << action.quantum.milliseconds << " memory "
         << action.memory << " suspended for " << action.suspendedForTrial.value << " run "
         << action.runNumber << " redundant " << action.redundantCopy << " " << action.reason
         << "\n";
  const auto& reservation = plan.record.reservation;
  text << "reservation " << reservation.job.value << " " << reservation.stepIndex << " at "
       << reservation.start.milliseconds << " moved " << reservation.timesMoved;
  for (const auto& placement : reservation.placements)
    text << " " << placement.taskIndex << " on " << placement.worker.value;
  text << "\n";
  for (const auto& [pool, cores] : plan.urgentDemand)
    text << "urgent '" << pool << "' " << cores << "\n";
  for (const auto& reason : plan.explanations)
    text << "reason " << reason.job.value << " " << reason.step << " " << reason.rank << " "
         << reason.text << "\n";
  return text.str();
}

// Counts the features that the plans of a run used, so that the test fails when it no longer covers
// a part of the planner.
struct PlanCoverage {
  std::map<std::string, std::size_t> counts;
  void record(const Plan& plan, const Reservation& before) {
    static const char* const names[] = {"start", "stage", "go", "hold", "stop"};
    std::set<std::tuple<std::string, std::uint32_t>> parts;
    for (const auto& action : plan.record.actions) {
      ++counts[names[int(action.kind)]];
      if (action.trial)
        ++counts["trial"];
      if (action.redundantCopy)
        ++counts["twin"];
      if (!action.reason.empty())
        ++counts[action.reason];
      if (action.runNumber)
        ++counts["assembling"];
    }
    if (plan.record.reservation.placements.size() == 1)
      ++counts["reservation"];
    if (plan.record.reservation.placements.size() > 1)
      ++counts["reservation of a gang"];
    if (plan.record.reservation.timesMoved > before.timesMoved)
      ++counts["moved"];
    if (plan.excludedWorkers)
      ++counts["passed over"];
    for (std::size_t status = 1; status < 3; ++status)
      if (plan.unitsByTargetStatus[status])
        ++counts["standing " + std::to_string(status)];
    for (const auto& reason : plan.explanations)
      ++counts[reason.text.starts_with("holds") ? "holds" : reason.text];
  }
};

class RandomCluster {
 public:
  RandomCluster(std::uint64_t seed, PlanCoverage& coverage)
      : random(seed), seed(seed), coverage(coverage) {
    overloaded = random.chance(0.3);  // few workers with much work: all are full
    applyRandomConfig();
    for (auto count = overloaded ? random.between(1, 4) : random.between(3, 14); count > 0; --count)
      registerRandomWorker();
  }
  void round() {
    now += std::int64_t(random.chance(0.3) ? random.between(1000, 8000) : random.between(1, 900));
    for (auto count = random.chance(0.1) ? random.between(5, 20) : random.between(0, 3); count > 0;
         --count)
      submitRandomJob();
    if (random.chance(0.03))
      applyRandomConfig();
    if (random.chance(0.25))
      changeRandomWorker();
    if (random.chance(0.1))
      changeRandomJob();
    randomizeHints();
    for (int plans = random.chance(0.2) ? 2 : 1; plans > 0; --plans) {
      comparePlans();
      now += random.between(0, 50);
    }
    for (const auto& [id, worker] : std::map<WorkerId, Worker>(clusterState.workers()))
      if (worker.state != WorkerState::removed && !random.chance(0.15))
        syncWorker(worker);
  }

 private:
  Random random;
  Random leadershipRandom{1};  // apart from `random`, so that the drawn states stay as they are
  std::uint64_t seed;
  PlanCoverage& coverage;
  bool overloaded = false;
  ClusterState clusterState;
  Planner planner;
  reference::Planner referencePlanner;
  LastContactAges contactAges;
  PlannerHints hints;
  std::int64_t now = 1000, lastWorker = 0, lastJob = 0, planCount = 0;
  std::uint64_t version = 0;

  void apply(Event event) { clusterState.apply(LogRecord{ClusterTime{now}, std::move(event)}); }
  template <class Value>
  Value oneOf(std::initializer_list<Value> values) {
    return *(values.begin() + random.between(0, std::int64_t(values.size()) - 1));
  }
  std::string pool() { return oneOf<std::string>({"", "", "press", "store"}); }
  std::string rack() { return oneOf<std::string>({"", "A", "B", "C"}); }

  void applyRandomConfig() {
    const char* const flags[] = {"false", "true"};
    std::ostringstream text;
    text
        << R"({"pools":{"press":{},"store":{}},"policies":{"equal":{"rank":"1","may_hold":"slowdown < 4"},"wide":{"rank":"cores + 0.001 * memory","may_hold":"running > 0.001"},)"
        << R"("urgent":{"rank":"urgency * 10 + expansion"}},"planner":{"trials":)"
        << flags[random.chance(0.6)] << R"(,"urgency_first":)" << flags[random.chance(0.5)]
        << R"(,"far":)" << oneOf({1.0, 1.5, 4.0}) << R"(,"trial_room_mb":)"
        << oneOf({0, 0, 500, 3000}) << "},\"queues\":{";
    for (int queue = 0; queue < 4; ++queue) {
      text << (queue ? "," : "") << "\"q" << queue << R"(":{"urgency":)" << random.between(-1, 2)
           << (random.chance(0.5) ? R"(,"tries":)" : R"(,"retries":)") << random.between(1, 6)
           << R"(,"hard_limit_ms":)" << oneOf({0, 0, 6000}) << R"(,"target_ms":)"
           << oneOf({0, 800, 4000}) << R"(,"extend":)" << oneOf({0.5, 1.0, 2.5}) << R"(,"policy":")"
           << oneOf<std::string>({"default", "default", "equal", "wide", "urgent"})
           << R"(","trial":{"quantum_ms":)" << oneOf({200, 1000, 3000}) << R"(,"memory_mb":)"
           << oneOf({100, 1024}) << R"(,"minimum_run_ms":)" << oneOf({0, 500, 4000}) << "}";
      if (const auto named = pool(); !named.empty())
        text << R"(,"pool":")" << named << "\"";
      text << "}";
    }
    text << "},\"tenants\":{"
         << R"("small":{"cap":{"cores":)" << oneOf({0.5, 2.0, 5.0}) << R"(,"accelerators":)"
         << oneOf({0, 1}) << R"(}},"large":{"cap":{"cores":)" << oneOf({0, 8, 20})
         << R"(,"memory_mb":)" << oneOf({0, 900, 4000}) << "}}}}";
    auto config = ClusterConfig::parse(text.str());
    CHECK_TEXT(config.has_value(), config ? "" : config.error().text().c_str());
    config.value().version = ConfigVersion{++version};
    apply(ConfigCommitted{config.value()});
  }
  Capacity randomCapacity() {
    Capacity capacity;
    capacity.cores = std::uint32_t(random.between(1, 12) * 1000);
    capacity.memory = std::uint64_t(random.between(4, 60) * 100);
    capacity.rack = rack();
    capacity.pool = pool();
    capacity.accelerators = std::uint32_t(random.chance(0.3) ? random.between(1, 3) : 0);
    for (const char* label : {"colour", "foil"})
      if (random.chance(0.4))
        capacity.labels.push_back(label);
    if (!capacity.rack.empty())
      capacity.labels.push_back(capacity.rack);
    capacity.honoursLeases = random.chance(0.7);
    capacity.supportsSuspend = random.chance(0.6);
    capacity.killsOnLeaseExpiry = random.chance(0.3);
    capacity.selfAssemblingGangs = random.chance(0.6);
    return capacity;
  }
  void registerRandomWorker() {
    const WorkerId id{"m" + std::to_string((lastWorker++ * 7) % 23)};
    apply(WorkerRegistered{id, Incarnation{std::uint64_t(lastWorker)}, randomCapacity()});
    contactAges[id] = Duration{0};
  }
  const Worker* randomWorker() {
    auto found = clusterState.workers().begin();
    std::advance(found, random.between(0, std::int64_t(clusterState.workers().size()) - 1));
    return &found->second;
  }
  void changeRandomWorker() {
    const Worker worker = *randomWorker();
    const auto change = random.between(0, 8);
    if (change <= 1)
      registerRandomWorker();
    else if (change == 2)
      apply(WorkerDrainStarted{worker.id, Duration{random.between(0, 3000)}, random.chance(0.5)});
    else if (change == 3)
      apply(WorkerDrainDeadlinePassed{worker.id});
    else if (change == 4)
      apply(WorkerRemoved{worker.id, "test"});
    else if (change == 5) {
      WorkerUnreachable unreachable{worker.id, {}};
      for (auto number : clusterState.attemptsOn(worker.id))
        if (random.chance(0.7))
          unreachable.abandoned.push_back(number);
      apply(unreachable);
    } else if (change == 6)
      contactAges[worker.id] = Duration{random.between(0, 4000)};
    else if (change == 7 && random.chance(0.5))
      contactAges.erase(worker.id);
    else if (worker.state != WorkerState::removed) {
      apply(WorkerRegistered{worker.id, worker.incarnation, randomCapacity()});
      apply(WorkerReconnected{worker.id});
      contactAges[worker.id] = Duration{0};
    }
    if (random.chance(0.7))
      for (const auto& [id, other] : clusterState.workers())
        if (other.state != WorkerState::removed && random.chance(0.6)) {
          apply(WorkerReconnected{id});
          contactAges[id] = Duration{0};
        }
  }
  void changeRandomJob() {
    if (clusterState.jobs().empty())
      return;
    auto found = clusterState.jobs().begin();
    std::advance(found, random.between(0, std::int64_t(clusterState.jobs().size()) - 1));
    const JobId id = found->first;
    if (found->second.isTerminal()) {
      const auto open = clusterState.attemptsOf(
          id, AttemptScope::withoutAbandoned);  // an abandoned attempt may outlive its job
      if (open.empty())
        apply(random.chance(0.5) ? JobsExpired{{id}, {}, {}} : JobsExpired{{}, {id}, {}});
    } else if (found->second.state == JobState::scheduled)
      apply(OccurrenceFired{id});
    else if (random.chance(0.5))
      apply(JobCancelled{id});
  }
  void randomizeHints() {
    if (random.chance(0.3)) {
      hints.runtimeRatios.clear();
      hints.urgentDemand.clear();
      for (const auto& [id, worker] : clusterState.workers())
        if (random.chance(0.8))
          hints.runtimeRatios[id] =
              double(random.chance(0.2) ? random.between(15, 40) : random.between(8, 14)) / 10;
      for (const char* named : {"", "press", "store"})
        if (random.chance(0.5))
          hints.urgentDemand[named] = random.between(0, 20'000);
    }
  }
  // Marks random jobs and tasks as passed over, some of them for longer than the bound.
  void randomizePassedOverHints() {
    hints.maxPassedOverTime = Duration{random.chance(0.8) ? 2000 : 0};
    hints.passedOverFor.clear();
    for (const auto& id : clusterState.openJobs()) {
      if (random.chance(0.5))
        hints.passedOverFor[{id, std::nullopt}] = Duration{random.between(0, 4000)};
      for (std::uint32_t task = 0; task < clusterState.jobs().at(id).tasks.size(); ++task) {
        if (random.chance(0.3))
          hints.passedOverFor[{id, task}] = Duration{random.between(0, 4000)};
      }
    }
  }
  TaskRequest randomTask() {
    TaskRequest task;
    task.cores = std::uint32_t(random.chance(0.3) ? random.between(1, 14) * 1000
                                                  : random.between(1, 6) * 500);
    task.memory =
        std::uint64_t(random.chance(0.1) ? random.between(3000, 6000) : random.between(1, 8) * 100);
    task.runtime =
        Duration{random.chance(0.5) ? random.between(1, 3) * 1000 : random.between(1, 60'000)};
    task.accelerators = random.chance(0.08) ? 1 : 0;
    return task;
  }
  void submitRandomJob() {
    JobSubmission job;
    job.id = JobId{"job" + std::to_string((++lastJob * 37) % 1000)};
    job.queue = QueueName{"q" + std::to_string(random.between(0, 3))};
    if (random.chance(0.02))
      job.timetable.firstStart = ClusterTime{now};
    job.tenant = TenantName{oneOf<std::string>({"", "", "small", "large", "unknown"})};
    const auto steps = random.between(1, 3);
    for (std::int64_t stepIndex = 0; stepIndex < steps; ++stepIndex) {
      StepRequest step;
      step.name = std::to_string(stepIndex);
      if (stepIndex > 0 && random.chance(0.6))
        step.dependencies = {std::to_string(random.between(0, stepIndex - 1))};
      step.gang = random.chance(0.25);
      const auto tasks = random.chance(0.5) ? 1 : random.between(1, step.gang ? 5 : 12);
      const bool sameRequest = random.chance(0.7);
      for (std::int64_t task = 0; task < tasks; ++task)
        step.tasks.push_back(sameRequest && task ? step.tasks.back() : randomTask());
      auto& requirements = step.requirements;
      if (random.chance(0.2))
        requirements.requiredLabel = oneOf<std::string>({"colour", "foil"});
      if (random.chance(0.15))
        requirements.preferredRack = rack();
      if (random.chance(0.15))
        requirements.maxPerWorker = std::uint32_t(random.between(1, 2));
      requirements.sameRack = random.chance(0.15);
      requirements.redundant = !step.gang && random.chance(0.3);
      requirements.longRunning = random.chance(0.03);
      requirements.checkpointed = random.chance(0.6);
      job.steps.push_back(std::move(step));
    }
    if (!clusterState.jobs().count(job.id))
      apply(JobAccepted{std::move(job)});
  }
  void comparePlans() {
    randomizePassedOverHints();
    hints.leadingFor = Duration{leadershipRandom.between(0, 4000)};
    reference::PlannerHints referenceHints{
        hints.runtimeRatios, hints.urgentDemand, {}, hints.maxPassedOverTime, hints.leadingFor};
    for (const auto& [unit, duration] : hints.passedOverFor)
      referenceHints.passedOverFor[{unit.job, unit.longRunningTask}] = duration;
    const bool explain = random.chance(0.5);
    auto plan = planner.makePlan(clusterState, ClusterTime{now}, contactAges, explain, hints);
    const auto expected = referencePlanner.makePlan(clusterState, ClusterTime{now}, contactAges,
                                                    explain, referenceHints);
    const std::string context =
        "seed " + std::to_string(seed) + " plan " + std::to_string(++planCount);
    STRCMP_EQUAL_TEXT(textOf(expected).c_str(), textOf(plan).c_str(), context.c_str());
    STRCMP_EQUAL_TEXT("", PlanLimits(clusterState, plan.record).firstViolation().c_str(),
                      context.c_str());
    std::set<reference::PassedOverUnit> passedOver;
    for (const auto& unit : plan.passedOver)
      passedOver.insert({unit.job, unit.longRunningTask});
    CHECK_TEXT(expected.passedOver == passedOver, context.c_str());
    CHECK_EQUAL_TEXT(expected.changesNothing(clusterState.reservation()),
                     plan.changesNothing(clusterState.reservation()), context.c_str());
    CHECK_TEXT(reference::Planner::nextPlanTime(clusterState, ClusterTime{now}) ==
                   Planner::nextPlanTime(clusterState, ClusterTime{now}),
               context.c_str());
    coverage.record(plan, clusterState.reservation());
    if (!random.chance(0.05))
      apply(std::move(plan.record));
  }
  void syncWorker(const Worker& worker) {
    WorkerSynced synced{
        worker.id, random.chance(0.8) ? worker.lastIssuedOrder : worker.lastAppliedOrder, {}};
    const bool slow = random.chance(0.1), failing = random.chance(0.1);
    for (auto number : clusterState.attemptsOn(worker.id)) {
      const Attempt& attempt = clusterState.attempts().at(number);
      const bool due = attempt.runtimeAt(ClusterTime{now}) >
                       (attempt.isTrial() ? attempt.quantum : attempt.runtime);
      if (attempt.state == AttemptState::stopping && random.chance(0.7))
        synced.results.push_back({number, AttemptOutcome::stopped});
      else if (attempt.state == AttemptState::ordered && random.chance(0.03))
        synced.results.push_back(
            {number, oneOf({AttemptOutcome::rejected, AttemptOutcome::neverStarted})});
      else if (attempt.state == AttemptState::running && attempt.isTrial() && due)
        synced.results.push_back({number, AttemptOutcome::quantumExpired});
      else if (attempt.state == AttemptState::running && failing && random.chance(0.5))
        synced.results.push_back({number, AttemptOutcome::failed});
      else if (attempt.state == AttemptState::running && random.chance(slow  ? 0.02
                                                                       : due ? 0.6
                                                                             : 0.05))
        synced.results.push_back(
            {number, random.chance(0.1) ? AttemptOutcome::failed : AttemptOutcome::succeeded});
    }
    apply(std::move(synced));
  }
};

std::size_t requestedStateCount() {
  const char* setting = std::getenv("ANISELINE_PLANNER_STATES");
  return setting ? std::size_t(std::strtoull(setting, nullptr, 10)) : 1600;
}

}  // namespace

TEST_GROUP(PlannerReference){};

TEST(PlannerReference, plansEqualThoseOfTheReferencePlanner) {
  PlanCoverage coverage;
  const std::size_t rounds = 40;
  for (std::uint64_t seed = 1; seed * rounds <= requestedStateCount() + rounds - 1; ++seed) {
    RandomCluster cluster(seed, coverage);
    for (std::size_t round = 0; round < rounds; ++round)
      cluster.round();
  }
  if (std::getenv("ANISELINE_PLANNER_STATES"))
    for (const auto& [what, count] : coverage.counts)
      std::printf("%s: %zu\n", what.c_str(), count);
  for (const char* what : {"start",
                           "stage",
                           "go",
                           "hold",
                           "stop",
                           "trial",
                           "twin",
                           "trial",
                           "hard limit",
                           "staging",
                           "alone",
                           "assembling",
                           "reservation",
                           "reservation of a gang",
                           "moved",
                           "passed over",
                           "standing 1",
                           "standing 2",
                           "holds",
                           "starts in this plan",
                           "gets its trial in this plan",
                           "leaves room that urgent work has wanted lately",
                           "starts after it was passed over for too long",
                           "preempted",
                           "waits for room near its data",
                           "its tenant runs as much as its cap allows",
                           "would delay the reserved start, or no worker has room",
                           "no worker that is here now could ever hold it"})
    CHECK_TEXT(coverage.counts[what] > 0, what);
}
