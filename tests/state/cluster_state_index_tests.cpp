// Tests that lookups through the indexes of the cluster state find the same attempts as a full
// scan, after any sequence of events. docs/design.md 4.7, 5.1.
#include "state/cluster_state_fixture.hpp"

using namespace aniseline;

namespace {

std::vector<AttemptNumber> scanAttempts(const ClusterState& clusterState,
                                        const std::function<bool(const Attempt&)>& predicate) {
  std::vector<AttemptNumber> found;
  for (const auto& [number, attempt] : clusterState.attempts())
    if (predicate(attempt))
      found.push_back(number);
  return found;
}

// Finds the attempt of a run by a full scan, as a reference for ClusterState::findAttempt.
AttemptNumber scanForRun(const ClusterState& clusterState, const WorkerId& worker,
                         const TaskRunId& run) {
  auto job = clusterState.jobs().find(run.job);
  if (job != clusterState.jobs().end() && job->second.submission.hasTimetable())
    job = clusterState.jobs().find(JobId{run.job.value + "@" + std::to_string(run.occurrence)});
  if (job == clusterState.jobs().end())
    return AttemptNumber{};
  const std::size_t index = job->second.taskIndexOf(run.stepIndex, run.indexInStep);
  if (index >= job->second.tasks.size())
    return AttemptNumber{};
  const auto all = scanAttempts(clusterState, [&](const Attempt& attempt) {
    return attempt.runNumber == run.runNumber && attempt.worker == worker &&
           attempt.job == job->first && attempt.taskIndex == index;
  });
  const AttemptNumber current = job->second.tasks[index].currentAttempt;
  if (std::count(all.begin(), all.end(), current))
    return current;
  return all.empty() ? AttemptNumber{} : all.front();
}

constexpr const char* configText =
    R"({"planner":{"trials":true,"urgency_first":true,"known_after_ms":3000},
    "pools":{"press":{}},"queues":{"q":{"pool":"press","tries":2},"plain":{"pool":"press","retries":1}}})";

struct RandomOperations {
  ClusterStateFixture fixture{configText};
  Random random;
  std::set<JobId> jobs;
  std::set<std::pair<WorkerId, TaskRunId>> runs;  // includes runs of closed attempts
  std::uint64_t submitted = 0, incarnation = 1, suspendCount = 0, abandonedCount = 0,
                closedCount = 0;
  explicit RandomOperations(std::uint64_t seed) : random(seed) {
    for (int index = 0; index < 5; ++index)
      fixture.registerWorker(worker(index));
  }
  static std::string worker(std::int64_t index) { return "worker" + std::to_string(index); }
  WorkerId anyWorker() { return WorkerId{worker(random.between(0, 4))}; }
  std::optional<AttemptNumber> anyAttempt() {
    const auto& attempts = fixture.clusterState.attempts();
    if (attempts.empty())
      return std::nullopt;
    return std::next(attempts.begin(), random.between(0, std::int64_t(attempts.size()) - 1))->first;
  }
  JobId anyJob() {
    return jobs.empty()
               ? JobId{}
               : *std::next(jobs.begin(), random.between(0, std::int64_t(jobs.size()) - 1));
  }

  void submit() {
    const std::string id = "job" + std::to_string(++submitted);
    StepRequirements needs;
    needs.redundant = random.chance(0.2);
    std::vector<StepRequest> steps{ClusterStateFixture::step(std::size_t(random.between(1, 4)), 500,
                                                             needs, random.chance(0.3))};
    if (random.chance(0.5)) {
      steps.push_back(ClusterStateFixture::step(2, 500));
      steps.back().dependencies = {"0"};
    }
    const Timetable timetable =
        random.chance(0.2) ? Timetable{ClusterTime{5000}, Duration{1000}, 3} : Timetable{};
    fixture.submit(id, std::move(steps), random.chance(0.5) ? "q" : "plain", timetable);
    if (timetable.firstStart.milliseconds)
      fixture.apply(OccurrenceFired{JobId{id}});
  }
  // Starts a trial of a pending task and suspends running attempts for it.
  void startTrial() {
    for (const auto& [id, job] : fixture.clusterState.jobs())
      for (std::uint32_t task = 0; task < job.tasks.size(); ++task) {
        if (job.isTerminal() || job.terminating || job.tasks[task].state != TaskState::pending ||
            job.stepOf(job.tasks[task]).gang)
          continue;
        Action start;
        start.attempt = fixture.clusterState.lastAttempt().next();
        start.job = id;
        start.taskIndex = task;
        start.worker = anyWorker();
        start.trial = true;
        start.quantum = Duration{500};
        std::vector<Action> actions{start};
        for (auto number :
             fixture.clusterState.attemptsOn(random.chance(0.7) ? start.worker : anyWorker())) {
          if (fixture.clusterState.attempts().at(number).state != AttemptState::running)
            continue;
          Action suspendAction;
          suspendAction.kind = ActionKind::suspend;
          suspendAction.attempt = number;
          suspendAction.suspendedForTrial = start.attempt;
          actions.push_back(suspendAction);
          ++suspendCount;
        }
        return fixture.apply(PlanMade{fixture.clusterState.lastPlan().next(), actions, {}});
      }
  }
  void startRedundantCopy() {
    const auto number = anyAttempt();
    if (!number)
      return;
    const Attempt attempt = fixture.clusterState.attempts().at(*number);
    auto job = fixture.clusterState.jobs().find(attempt.job);
    if (job == fixture.clusterState.jobs().end() || job->second.tasks.empty() ||
        !job->second.submission.steps[attempt.stepIndex].requirements.redundant || attempt.gang)
      return;
    if (job->second.tasks[attempt.taskIndex].currentAttempt != *number ||
        job->second.tasks[attempt.taskIndex].redundantAttempt.value || job->second.terminating)
      return;
    Action start;
    start.attempt = fixture.clusterState.lastAttempt().next();
    start.job = attempt.job;
    start.taskIndex = attempt.taskIndex;
    start.worker = anyWorker();
    start.redundantCopy = true;
    fixture.apply(PlanMade{fixture.clusterState.lastPlan().next(), {start}, {}});
  }
  void closeAnAttempt() {
    const auto number = anyAttempt();
    if (!number)
      return;
    ++closedCount;
    fixture.endAttempt(*number, AttemptOutcome(random.between(0, 5)));
  }
  void makeUnreachable() {
    const WorkerId id = anyWorker();
    WorkerUnreachable unreachable{id, {}};
    for (auto number : fixture.clusterState.attemptsOn(id))
      if (random.chance(0.6))
        unreachable.abandoned.push_back(number);
    abandonedCount += unreachable.abandoned.size();
    fixture.apply(unreachable);
    if (random.chance(0.5))
      fixture.apply(WorkerReconnected{id});
  }
  void runOne() {
    fixture.now += random.between(1, 400);
    const auto kind = random.between(0, 99);
    if (kind < 20)
      submit();
    else if (kind < 40)
      fixture.planAndRun();
    else if (kind < 65)
      closeAnAttempt();
    else if (kind < 72)
      startTrial();
    else if (kind < 78)
      startRedundantCopy();
    else if (kind < 83)
      makeUnreachable();
    else if (kind < 85)
      fixture.apply(WorkerRemoved{anyWorker(), "declared"});
    else if (kind < 89) {
      ClusterStateFixture::WorkerOptions index;
      index.incarnation = ++incarnation;
      fixture.registerWorker(anyWorker().value, index);
    } else if (kind < 91)
      fixture.apply(WorkerDrainStarted{anyWorker(), Duration{500}, false});
    else if (kind < 92)
      fixture.apply(WorkerDrainDeadlinePassed{anyWorker()});
    else if (kind < 94)
      fixture.apply(WorkerReconnected{anyWorker()});
    else if (kind < 96)
      fixture.apply(JobCancelled{anyJob()});
    else if (kind < 98)
      fixture.apply(JobFailed{anyJob(), "drawn"});
    else {
      JobsExpired expired;
      for (const auto& [id, job] : fixture.clusterState.jobs())
        (random.chance(0.5) ? expired.jobs : expired.compacted).push_back(id);
      fixture.apply(expired);
    }
    for (const auto& [id, job] : fixture.clusterState.jobs())
      jobs.insert(id);
    for (const auto& [number, attempt] : fixture.clusterState.attempts()) {
      Order order;
      order.job = attempt.job;
      order.stepIndex = attempt.stepIndex;
      order.indexInStep = attempt.indexInStep;
      order.runNumber = attempt.runNumber;
      runs.emplace(attempt.worker, TaskRunId::of(order));
    }
  }
  void check(const ClusterState& clusterState) const {
    for (const auto& id : jobs)
      for (auto scope : {AttemptScope::withoutAbandoned, AttemptScope::all})
        CHECK(clusterState.attemptsOf(id, scope) ==
              scanAttempts(clusterState, [&](const Attempt& attempt) {
                return attempt.job == id && (scope == AttemptScope::all || !attempt.abandoned);
              }));
    for (int index = 0; index < 5; ++index)
      CHECK(clusterState.attemptsOn(WorkerId{worker(index)}) ==
            scanAttempts(clusterState, [&](const Attempt& attempt) {
              return attempt.worker.value == worker(index);
            }));
    for (const auto& [worker, run] : runs)
      CHECK(clusterState.findAttempt(worker, run) == scanForRun(clusterState, worker, run));
    // Attempts suspended for a trial are resumed when it ends. docs/design.md 7.5.
    for (const auto& [number, attempt] : clusterState.attempts())
      CHECK(attempt.state != AttemptState::suspended ||
            clusterState.attempts().count(attempt.suspendedForTrial));
  }
};

}  // namespace

TEST_GROUP(ClusterStateIndexTests){};

TEST(ClusterStateIndexTests, lookupsMatchAFullScan) {
  std::uint64_t suspendCount = 0, abandonedCount = 0, closedCount = 0;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    RandomOperations operations(seed);
    for (int runOne = 0; runOne < 150; ++runOne) {
      operations.runOne();
      operations.check(operations.fixture.clusterState);
    }
    suspendCount += operations.suspendCount, abandonedCount += operations.abandonedCount,
        closedCount += operations.closedCount;
  }
  CHECK(suspendCount > 20 && abandonedCount > 20 && closedCount > 100);
}

// Indexes are not part of a snapshot. They are rebuilt when one is read, and stay correct under
// later events.
TEST(ClusterStateIndexTests, indexesAreRebuiltFromASnapshot) {
  for (std::uint64_t seed = 20; seed <= 26; ++seed) {
    RandomOperations operations(seed);
    for (int runOne = 0; runOne < 120; ++runOne) {
      operations.runOne();
      if (runOne % 20 != 19)
        continue;
      const std::string before = pack(operations.fixture.clusterState);
      operations.fixture.clusterState = unpack<ClusterState>(before).value();
      CHECK(pack(operations.fixture.clusterState) == before);
      operations.check(operations.fixture.clusterState);
    }
  }
}

// A follower applies the records it reads and restores a snapshot now and then. Its state must stay
// identical to that of the leader, which applies the records it created.
TEST(ClusterStateIndexTests, followerThatRestoresSnapshotsStaysIdentical) {
  for (std::uint64_t seed = 40; seed <= 60; ++seed) {
    RandomOperations operations(seed);
    ClusterState follower = unpack<ClusterState>(pack(operations.fixture.clusterState)).value();
    std::uint64_t appliedCount = 0;
    operations.fixture.onApplied = [&](const LogRecord& record) {
      follower.apply(unpack<LogRecord>(pack(record)).value());
      if (++appliedCount % 17 == 0)
        follower = unpack<ClusterState>(pack(follower)).value();
    };
    for (int runOne = 0; runOne < 200; ++runOne) {
      operations.runOne();
      CHECK(pack(follower) == pack(operations.fixture.clusterState));
    }
  }
}
