// What the cluster state finds by its indices is what a walk over all attempts finds, whatever was
// folded. docs/design.md 4.7, 5.1.
#include "state/cluster_state_fixture.hpp"

using namespace aniseline;

namespace {

std::vector<AttemptNumber> walk(const ClusterState& clusterState,
                                const std::function<bool(const Attempt&)>& wanted) {
  std::vector<AttemptNumber> found;
  for (const auto& [number, attempt] : clusterState.attempts())
    if (wanted(attempt))
      found.push_back(number);
  return found;
}

// The fold's own definition of a name, by a walk.
AttemptNumber walkNamed(const ClusterState& clusterState, const WorkerId& worker,
                        const TaskRunId& name) {
  auto job = clusterState.jobs().find(name.job);
  if (job != clusterState.jobs().end() && job->second.submission.hasTimetable())
    job = clusterState.jobs().find(JobId{name.job.value + "@" + std::to_string(name.occurrence)});
  if (job == clusterState.jobs().end())
    return AttemptNumber{};
  const std::size_t place = job->second.taskIndexOf(name.stepIndex, name.indexInStep);
  if (place >= job->second.tasks.size())
    return AttemptNumber{};
  const auto all = walk(clusterState, [&](const Attempt& attempt) {
    return attempt.runNumber == name.runNumber && attempt.worker == worker &&
           attempt.job == job->first && attempt.taskIndex == place;
  });
  const AttemptNumber current = job->second.tasks[place].currentAttempt;
  if (std::count(all.begin(), all.end(), current))
    return current;
  return all.empty() ? AttemptNumber{} : all.front();
}

constexpr const char* configText =
    R"({"planner":{"trials":true,"urgency_first":true,"known_after_ms":3000},
    "pools":{"press":{}},"queues":{"q":{"pool":"press","tries":2},"plain":{"pool":"press","retries":1}}})";

struct Wanderer {
  ClusterStateFixture bench{configText};
  Random random;
  std::set<JobId> jobs;
  std::set<std::pair<WorkerId, TaskRunId>> names;  // also of attempts that are closed by now
  std::uint64_t submitted = 0, incarnation = 1, holds = 0, lost = 0, ended = 0;
  explicit Wanderer(std::uint64_t seed) : random(seed) {
    for (int place = 0; place < 5; ++place)
      bench.registerWorker(worker(place));
  }
  static std::string worker(std::int64_t place) { return "worker" + std::to_string(place); }
  WorkerId anyWorker() { return WorkerId{worker(random.between(0, 4))}; }
  std::optional<AttemptNumber> anyAttempt() {
    const auto& attempts = bench.clusterState.attempts();
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
    bench.submit(id, std::move(steps), random.chance(0.5) ? "q" : "plain", timetable);
    if (timetable.firstStart.milliseconds)
      bench.apply(OccurrenceFired{JobId{id}});
  }
  // A trial of a waiting task, and what runs there held for it.
  void trial() {
    for (const auto& [id, job] : bench.clusterState.jobs())
      for (std::uint32_t task = 0; task < job.tasks.size(); ++task) {
        if (job.isTerminal() || job.terminating || job.tasks[task].state != TaskState::pending ||
            job.stepOf(job.tasks[task]).gang)
          continue;
        Action start;
        start.attempt = bench.clusterState.lastAttempt().next();
        start.job = id;
        start.taskIndex = task;
        start.worker = anyWorker();
        start.trial = true;
        start.quantum = Duration{500};
        std::vector<Action> actions{start};
        for (auto number :
             bench.clusterState.attemptsOn(random.chance(0.7) ? start.worker : anyWorker())) {
          if (bench.clusterState.attempts().at(number).state != AttemptState::running)
            continue;
          Action hold;
          hold.kind = ActionKind::suspend;
          hold.attempt = number;
          hold.suspendedForTrial = start.attempt;
          actions.push_back(hold);
          ++holds;
        }
        return bench.apply(PlanMade{bench.clusterState.lastPlan().next(), actions, {}});
      }
  }
  void copy() {
    const auto number = anyAttempt();
    if (!number)
      return;
    const Attempt attempt = bench.clusterState.attempts().at(*number);
    auto job = bench.clusterState.jobs().find(attempt.job);
    if (job == bench.clusterState.jobs().end() || job->second.tasks.empty() ||
        !job->second.submission.steps[attempt.stepIndex].requirements.redundant || attempt.gang)
      return;
    if (job->second.tasks[attempt.taskIndex].currentAttempt != *number ||
        job->second.tasks[attempt.taskIndex].redundantAttempt.value || job->second.terminating)
      return;
    Action start;
    start.attempt = bench.clusterState.lastAttempt().next();
    start.job = attempt.job;
    start.taskIndex = attempt.taskIndex;
    start.worker = anyWorker();
    start.redundantCopy = true;
    bench.apply(PlanMade{bench.clusterState.lastPlan().next(), {start}, {}});
  }
  void end() {
    const auto number = anyAttempt();
    if (!number)
      return;
    ++ended;
    bench.endAttempt(*number, AttemptOutcome(random.between(0, 5)));
  }
  void silent() {
    const WorkerId id = anyWorker();
    WorkerUnreachable silence{id, {}};
    for (auto number : bench.clusterState.attemptsOn(id))
      if (random.chance(0.6))
        silence.abandoned.push_back(number);
    lost += silence.abandoned.size();
    bench.apply(silence);
    if (random.chance(0.5))
      bench.apply(WorkerReconnected{id});
  }
  void turn() {
    bench.now += random.between(1, 400);
    const auto kind = random.between(0, 99);
    if (kind < 20)
      submit();
    else if (kind < 40)
      bench.planAndRun();
    else if (kind < 65)
      end();
    else if (kind < 72)
      trial();
    else if (kind < 78)
      copy();
    else if (kind < 83)
      silent();
    else if (kind < 85)
      bench.apply(WorkerRemoved{anyWorker(), "declared"});
    else if (kind < 89) {
      ClusterStateFixture::WorkerOptions place;
      place.incarnation = ++incarnation;
      bench.registerWorker(anyWorker().value, place);
    } else if (kind < 91)
      bench.apply(WorkerDrainStarted{anyWorker(), Duration{500}, false});
    else if (kind < 92)
      bench.apply(WorkerDrainDeadlinePassed{anyWorker()});
    else if (kind < 94)
      bench.apply(WorkerReconnected{anyWorker()});
    else if (kind < 96)
      bench.apply(JobCancelled{anyJob()});
    else if (kind < 98)
      bench.apply(JobFailed{anyJob(), "drawn"});
    else {
      JobsExpired forgotten;
      for (const auto& [id, job] : bench.clusterState.jobs())
        (random.chance(0.5) ? forgotten.jobs : forgotten.compacted).push_back(id);
      bench.apply(forgotten);
    }
    for (const auto& [id, job] : bench.clusterState.jobs())
      jobs.insert(id);
    for (const auto& [number, attempt] : bench.clusterState.attempts()) {
      Order order;
      order.job = attempt.job;
      order.stepIndex = attempt.stepIndex;
      order.indexInStep = attempt.indexInStep;
      order.runNumber = attempt.runNumber;
      names.emplace(attempt.worker, TaskRunId::of(order));
    }
  }
  void check(const ClusterState& clusterState) const {
    for (const auto& id : jobs)
      for (auto scope : {AttemptScope::withoutAbandoned, AttemptScope::all})
        CHECK(clusterState.attemptsOf(id, scope) == walk(clusterState, [&](const Attempt& attempt) {
                return attempt.job == id && (scope == AttemptScope::all || !attempt.abandoned);
              }));
    for (int place = 0; place < 5; ++place)
      CHECK(clusterState.attemptsOn(WorkerId{worker(place)}) ==
            walk(clusterState,
                 [&](const Attempt& attempt) { return attempt.worker.value == worker(place); }));
    for (const auto& [worker, name] : names)
      CHECK(clusterState.findAttempt(worker, name) == walkNamed(clusterState, worker, name));
    // Whoever waits for a trial is resumed with its end. docs/design.md 7.5.
    for (const auto& [number, attempt] : clusterState.attempts())
      CHECK(attempt.state != AttemptState::suspended ||
            clusterState.attempts().count(attempt.suspendedForTrial));
  }
};

}  // namespace

TEST_GROUP(ClusterStateIndices){};

TEST(ClusterStateIndices, findWhatAWalkFinds) {
  std::uint64_t holds = 0, lost = 0, ended = 0;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    Wanderer wanderer(seed);
    for (int turn = 0; turn < 150; ++turn) {
      wanderer.turn();
      wanderer.check(wanderer.bench.clusterState);
    }
    holds += wanderer.holds, lost += wanderer.lost, ended += wanderer.ended;
  }
  CHECK(holds > 20 && lost > 20 && ended > 100);
}

// The indices are not in a view: they are made anew when one is read, and what is folded next finds
// the same.
TEST(ClusterStateIndices, areMadeAnewFromAView) {
  for (std::uint64_t seed = 20; seed <= 26; ++seed) {
    Wanderer wanderer(seed);
    for (int turn = 0; turn < 120; ++turn) {
      wanderer.turn();
      if (turn % 20 != 19)
        continue;
      const std::string before = pack(wanderer.bench.clusterState);
      wanderer.bench.clusterState = unpack<ClusterState>(before).value();
      CHECK(pack(wanderer.bench.clusterState) == before);
      wanderer.check(wanderer.bench.clusterState);
    }
  }
}

// A follower folds what it reads, and begins from a view now and then; it comes to the very state
// of the leader, who folds what it made.
TEST(ClusterStateIndices, aFollowerThatReadsAndBeginsFromViewsIsNoOther) {
  for (std::uint64_t seed = 40; seed <= 60; ++seed) {
    Wanderer wanderer(seed);
    ClusterState follower = unpack<ClusterState>(pack(wanderer.bench.clusterState)).value();
    std::uint64_t folds = 0;
    wanderer.bench.onApplied = [&](const LogRecord& record) {
      follower.apply(unpack<LogRecord>(pack(record)).value());
      if (++folds % 17 == 0)
        follower = unpack<ClusterState>(pack(follower)).value();
    };
    for (int turn = 0; turn < 200; ++turn) {
      wanderer.turn();
      CHECK(pack(follower) == pack(wanderer.bench.clusterState));
    }
  }
}
