// What the cluster state finds by its indices is what a walk over all attempts finds, whatever was
// folded. docs/design.md 4.7, 5.1.
#include "cluster_state_bench.hpp"

using namespace aniseline;

namespace {

std::vector<AttemptNumber> walk(const ClusterState& clusterState,
                                const std::function<bool(const Attempt&)>& wanted) {
  std::vector<AttemptNumber> found;
  for (const auto& [number, attempt] : clusterState.attempts)
    if (wanted(attempt))
      found.push_back(number);
  return found;
}

// The fold's own definition of a name, by a walk.
AttemptNumber walkNamed(const ClusterState& clusterState, const WorkerId& worker,
                        const RunName& name) {
  auto job = clusterState.jobs.find(name.job);
  if (job != clusterState.jobs.end() && job->second.submission.timed())
    job = clusterState.jobs.find(JobId{name.job.value + "@" + std::to_string(name.occurrence)});
  if (job == clusterState.jobs.end())
    return AttemptNumber{};
  const std::size_t place = job->second.place(name.step, name.within);
  if (place >= job->second.tasks.size())
    return AttemptNumber{};
  const auto all = walk(clusterState, [&](const Attempt& attempt) {
    return attempt.run == name.run && attempt.worker == worker && attempt.job == job->first &&
           attempt.task == place;
  });
  const AttemptNumber current = job->second.tasks[place].attempt;
  if (std::count(all.begin(), all.end(), current))
    return current;
  return all.empty() ? AttemptNumber{} : all.front();
}

constexpr const char* configText =
    R"({"planner":{"trials":true,"urgency_first":true,"known_after_ms":3000},
    "pools":{"press":{}},"queues":{"q":{"pool":"press","tries":2},"plain":{"pool":"press","retries":1}}})";

struct Wanderer {
  ClusterStateBench bench{configText};
  Random random;
  std::set<JobId> jobs;
  std::set<std::pair<WorkerId, RunName>> names;  // also of attempts that are closed by now
  std::uint64_t submitted = 0, incarnation = 1, holds = 0, lost = 0, ended = 0;
  explicit Wanderer(std::uint64_t seed) : random(seed) {
    for (int place = 0; place < 5; ++place)
      bench.worker(worker(place));
  }
  static std::string worker(std::int64_t place) { return "worker" + std::to_string(place); }
  WorkerId anyWorker() { return WorkerId{worker(random.between(0, 4))}; }
  std::optional<AttemptNumber> anyAttempt() {
    const auto& attempts = bench.clusterState.attempts;
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
    StepNeeds needs;
    needs.redundant = random.chance(0.2);
    std::vector<StepRequest> steps{
        ClusterStateBench::step(std::size_t(random.between(1, 4)), 500, needs, random.chance(0.3))};
    if (random.chance(0.5)) {
      steps.push_back(ClusterStateBench::step(2, 500));
      steps.back().after = {"0"};
    }
    const Timetable timetable =
        random.chance(0.2) ? Timetable{ClusterTime{5000}, Duration{1000}, 3} : Timetable{};
    bench.submit(id, std::move(steps), random.chance(0.5) ? "q" : "plain", timetable);
    if (timetable.first.milliseconds)
      bench.apply(OccurrenceFired{JobId{id}});
  }
  // A trial of a waiting task, and what runs there held for it.
  void trial() {
    for (const auto& [id, job] : bench.clusterState.jobs)
      for (std::uint32_t task = 0; task < job.tasks.size(); ++task) {
        if (job.over() || job.ending || job.tasks[task].state != TaskState::waiting ||
            job.step(job.tasks[task]).gang)
          continue;
        Action start;
        start.attempt = bench.clusterState.lastAttempt.next();
        start.job = id;
        start.task = task;
        start.worker = anyWorker();
        start.trial = true;
        start.quantum = Duration{500};
        std::vector<Action> actions{start};
        for (auto number :
             bench.clusterState.attemptsOn(random.chance(0.7) ? start.worker : anyWorker())) {
          if (bench.clusterState.attempts.at(number).state != AttemptState::running)
            continue;
          Action hold;
          hold.kind = ActionKind::hold;
          hold.attempt = number;
          hold.heldFor = start.attempt;
          actions.push_back(hold);
          ++holds;
        }
        return bench.apply(PlanMade{bench.clusterState.plan.next(), actions, {}});
      }
  }
  void copy() {
    const auto number = anyAttempt();
    if (!number)
      return;
    const Attempt attempt = bench.clusterState.attempts.at(*number);
    auto job = bench.clusterState.jobs.find(attempt.job);
    if (job == bench.clusterState.jobs.end() || job->second.tasks.empty() ||
        !job->second.submission.steps[attempt.step].needs.redundant || attempt.gang)
      return;
    if (job->second.tasks[attempt.task].attempt != *number ||
        job->second.tasks[attempt.task].twin.value || job->second.ending)
      return;
    Action start;
    start.attempt = bench.clusterState.lastAttempt.next();
    start.job = attempt.job;
    start.task = attempt.task;
    start.worker = anyWorker();
    start.twin = true;
    bench.apply(PlanMade{bench.clusterState.plan.next(), {start}, {}});
  }
  void end() {
    const auto number = anyAttempt();
    if (!number)
      return;
    ++ended;
    bench.end(*number, EndingKind(random.between(0, 5)));
  }
  void silent() {
    const WorkerId id = anyWorker();
    WorkerSilent silence{id, {}};
    for (auto number : bench.clusterState.attemptsOn(id))
      if (random.chance(0.6))
        silence.givenUp.push_back(number);
    lost += silence.givenUp.size();
    bench.apply(silence);
    if (random.chance(0.5))
      bench.apply(WorkerReturned{id});
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
      bench.apply(WorkerGone{anyWorker(), "declared"});
    else if (kind < 89) {
      ClusterStateBench::Place place;
      place.incarnation = ++incarnation;
      bench.worker(anyWorker().value, place);
    } else if (kind < 91)
      bench.apply(WorkerLeaves{anyWorker(), Duration{500}, false});
    else if (kind < 92)
      bench.apply(WorkerLeaveOver{anyWorker()});
    else if (kind < 94)
      bench.apply(WorkerReturned{anyWorker()});
    else if (kind < 96)
      bench.apply(JobCancelled{anyJob()});
    else if (kind < 98)
      bench.apply(JobFailed{anyJob(), "drawn"});
    else {
      JobsExpired forgotten;
      for (const auto& [id, job] : bench.clusterState.jobs)
        (random.chance(0.5) ? forgotten.jobs : forgotten.shortened).push_back(id);
      bench.apply(forgotten);
    }
    for (const auto& [id, job] : bench.clusterState.jobs)
      jobs.insert(id);
    for (const auto& [number, attempt] : bench.clusterState.attempts) {
      Order order;
      order.job = attempt.job;
      order.step = attempt.step;
      order.within = attempt.within;
      order.run = attempt.run;
      names.emplace(attempt.worker, RunName::of(order));
    }
  }
  void check(const ClusterState& clusterState) const {
    for (const auto& id : jobs)
      for (bool withLost : {false, true})
        CHECK(clusterState.attemptsOf(id, withLost) ==
              walk(clusterState, [&](const Attempt& attempt) {
                return attempt.job == id && (withLost || !attempt.lost);
              }));
    for (int place = 0; place < 5; ++place)
      CHECK(clusterState.attemptsOn(WorkerId{worker(place)}) ==
            walk(clusterState,
                 [&](const Attempt& attempt) { return attempt.worker.value == worker(place); }));
    for (const auto& [worker, name] : names)
      CHECK(clusterState.attemptNamed(worker, name) == walkNamed(clusterState, worker, name));
    // Whoever waits for a trial is resumed with its end. docs/design.md 7.5.
    for (const auto& [number, attempt] : clusterState.attempts)
      CHECK(attempt.state != AttemptState::held || clusterState.attempts.count(attempt.heldFor));
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
    wanderer.bench.folded = [&](const LogRecord& record) {
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
