// Workers that are called: what their agents and the cluster state do with what a campaign found,
// and the rules that judge their histories. docs/design.md 5.8, 11, 12.4.
#include "state/cluster_state.hpp"
#include "agent/node_agent.hpp"
#include "scheduling/planner.hpp"
#include "checker/invariants.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

namespace {

WorkerRegistration account(const std::string& life, std::int64_t clock) {
  WorkerRegistration given;
  given.workerInstance = WorkerId{life};
  given.capacity.cores = 4000;
  given.capacity.memory = 1000;
  given.capacity.honoursLeases = given.capacity.killsOnLeaseExpiry =
      given.capacity.selfAssemblingGangs = true;
  given.clockReading = WorkerTime{clock};
  return given;
}
Order startOf(std::uint64_t number, const std::string& job) {
  Order order;
  order.number = OrderNumber{number};
  order.attempt = AttemptNumber{number};
  order.job = JobId{job};
  order.runNumber = 1;
  return order;
}
SyncResponse answerWith(std::vector<Order> orders, std::uint64_t after) {
  SyncResponse answer;
  answer.term = Term{1};
  answer.orders = std::move(orders);
  answer.ordersAfter = OrderNumber{after};
  return answer;
}
std::set<std::string> started(NodeAgent& agent, std::int64_t now) {
  std::set<std::string> jobs;
  for (const auto& call : agent.takeCalls(MonotonicTime{now}))
    if (call.kind == WorkerCall::Kind::start)
      jobs.insert(call.runId.job.value);
  return jobs;
}

}  // namespace

TEST_GROUP(CalledWorkerTests){};

// Orders in an answer that came too late were not taken; those behind them must not make it look as
// if they had been.
TEST(CalledWorkerTests, noOrderIsPassedOver) {
  NodeAgent agent{NodeAgentOptions{}};
  agent.onRegistration(account("w", 1000), MonotonicTime{0});
  const auto first = agent.makeSyncReport(MonotonicTime{0});
  const auto second = agent.makeSyncReport(MonotonicTime{3900});
  agent.onSyncResponse(first, answerWith({startOf(1, "a")}, 0), MonotonicTime{0},
                       MonotonicTime{4000});
  agent.onSyncResponse(second, answerWith({startOf(2, "b")}, 1), MonotonicTime{3900},
                       MonotonicTime{4001});
  CHECK(started(agent, 4002).empty());
  LONGS_EQUAL(0, agent.makeSyncReport(MonotonicTime{4003}).lastReceivedOrder.value);
  agent.onSyncResponse(second, answerWith({startOf(1, "a"), startOf(2, "b")}, 0),
                       MonotonicTime{3900}, MonotonicTime{4500});
  LONGS_EQUAL(2, started(agent, 4501).size());
}

// Its hold may have run out, by a clock that may be slow: until that is sure what ended well is not
// called void, and no call renews the hold. docs/design.md 5.8.
TEST(CalledWorkerTests, anEndingIsVoidOnlyWhenItsHoldHasSurelyRunOut) {
  NodeAgent agent{NodeAgentOptions{}};
  agent.onRegistration(account("w", 0), MonotonicTime{0});
  const auto report = agent.makeSyncReport(MonotonicTime{0});
  agent.onSyncResponse(report, answerWith({startOf(1, "a")}, 0), MonotonicTime{0},
                       MonotonicTime{0});
  for (const auto& call : agent.takeCalls(MonotonicTime{0})) {
    WorkerReply reply;
    reply.status = WorkerReply::Status::ok;
    reply.clockReading = WorkerTime{98};
    if (call.kind == WorkerCall::Kind::poll)
      reply.results.push_back({1, TaskRunId::of(startOf(1, "a")), AttemptOutcome::succeeded, ""});
    agent.onWorkerReply(call, reply, MonotonicTime{100});
  }
  LONGS_EQUAL(1, agent.makeSyncReport(MonotonicTime{101}).runResults.size());
  // It was held until 2940 by its own clock, which is between 2886 and 2943 by now.
  agent.onSyncResponse(agent.makeSyncReport(MonotonicTime{2900}), answerWith({}, 1),
                       MonotonicTime{2900}, MonotonicTime{2940});
  for (const auto& call : agent.takeCalls(MonotonicTime{2945}))
    CHECK(!call.leaseDeadline);
  CHECK(agent.makeSyncReport(MonotonicTime{2946}).runResults.at(0).outcome ==
        AttemptOutcome::succeeded);
  // Its clock shows that it is held still.
  // It tells so by an answer: an account may be seconds old.
  NodeAgent heard = agent;
  Order stop = startOf(2, "c");
  stop.kind = OrderKind::stop;
  heard.onSyncResponse(heard.makeSyncReport(MonotonicTime{2946}), answerWith({stop}, 1),
                       MonotonicTime{2946}, MonotonicTime{2946});
  for (const auto& call : heard.takeCalls(MonotonicTime{2947})) {
    CHECK(call.kind == WorkerCall::Kind::stop);
    WorkerReply reply;
    reply.status = WorkerReply::Status::ok;
    reply.clockReading = WorkerTime{2890};
    heard.onWorkerReply(call, reply, MonotonicTime{2950});
  }
  heard.onSyncResponse(heard.makeSyncReport(MonotonicTime{2950}), answerWith({startOf(3, "b")}, 2),
                       MonotonicTime{2950}, MonotonicTime{2950});
  std::size_t renewed = 0;
  for (const auto& call : heard.takeCalls(MonotonicTime{2950}))
    renewed += call.leaseDeadline.has_value();
  CHECK(renewed > 0);
  CHECK(heard.makeSyncReport(MonotonicTime{3100}).runResults.at(0).outcome ==
        AttemptOutcome::succeeded);
  // Or nothing more is heard.
  agent.takeCalls(MonotonicTime{3200});
  CHECK(agent.makeSyncReport(MonotonicTime{3201}).runResults.at(0).outcome ==
        AttemptOutcome::stopped);
}

// A worker lists so many endings at a time: the rest is asked for even where nothing runs any more.
TEST(CalledWorkerTests, theRestOfTheEndingsIsAskedFor) {
  NodeAgent agent{NodeAgentOptions{}};
  agent.onRegistration(account("w", 0), MonotonicTime{0});
  agent.onSyncResponse(agent.makeSyncReport(MonotonicTime{0}), answerWith({}, 0), MonotonicTime{0},
                       MonotonicTime{0});
  auto looks = [&](std::int64_t now) {
    std::vector<WorkerCall> found;
    for (const auto& call : agent.takeCalls(MonotonicTime{now}))
      if (call.kind == WorkerCall::Kind::poll)
        found.push_back(call);
    return found;
  };
  WorkerReply reply;
  reply.status = WorkerReply::Status::ok;
  reply.clockReading = WorkerTime{10};
  reply.results.push_back({1, TaskRunId::of(startOf(1, "a")), AttemptOutcome::succeeded, ""});
  reply.complete = false;
  agent.onWorkerReply(looks(10).at(0), reply, MonotonicTime{11});
  auto answer = answerWith({}, 0);
  answer.finalResultCount = 1;
  agent.onSyncResponse(agent.makeSyncReport(MonotonicTime{12}), answer, MonotonicTime{12},
                       MonotonicTime{14});
  const auto again = looks(20);
  LONGS_EQUAL(1, again.size());
  LONGS_EQUAL(1, again.at(0).confirmedUpTo);
}

namespace {

// A cluster state with two workers at which gangs assemble themselves, and one job: a gang of two.
struct GangClusterState {
  ClusterState clusterState;
  std::int64_t now = 0;
  std::uint64_t lastAttempt = 0;
  GangClusterState() {
    auto config = ClusterConfig::parse(R"({"queues":{"q":{"tries":2}}})");
    config.value().version = ConfigVersion{1};
    apply(ConfigCommitted{config.value()});
    for (const char* id : {"v", "w"})
      apply(WorkerRegistered{WorkerId{id}, Incarnation{1}, account(id, 0).capacity});
    JobSubmission job;
    job.id = JobId{"a"};
    job.queue = QueueName{"q"};
    job.steps = {{"only", {}, true, {TaskRequest{}, TaskRequest{}}}};
    apply(JobAccepted{job});
  }
  void apply(Event event) { clusterState.apply(LogRecord{ClusterTime{++now}, std::move(event)}); }
  // Starts of one run, of task 0 on v and of task 1 on w.
  void place(std::uint32_t run, std::vector<std::uint32_t> tasks) {
    PlanMade plan;
    for (auto task : tasks) {
      Action action;
      action.attempt = AttemptNumber{++lastAttempt};
      action.job = JobId{"a"};
      action.taskIndex = task;
      action.worker = WorkerId{task ? "w" : "v"};
      action.memory = 1;
      action.runNumber = run;
      plan.actions.push_back(action);
    }
    apply(plan);
    for (const char* id : {"v", "w"})
      apply(
          WorkerSynced{WorkerId{id}, clusterState.workers().at(WorkerId{id}).lastIssuedOrder, {}});
  }
  void end(const char* worker, std::uint64_t attempt, AttemptOutcome kind) {
    apply(WorkerSynced{
        WorkerId{worker}, OrderNumber{}, {AttemptResult{AttemptNumber{attempt}, kind}}});
  }
  JobState state() const { return clusterState.jobs().at(JobId{"a"}).state; }
};

}  // namespace

// One clean ending counts for the whole gang, also when another member's was void: else that member
// would wait alone for ever.
TEST(CalledWorkerTests, aGangsCleanEndingCountsForAll) {
  GangClusterState given;
  given.place(1, {0, 1});
  given.end("v", 1, AttemptOutcome::stopped);
  given.end("w", 2, AttemptOutcome::succeeded);
  CHECK(given.state() == JobState::succeeded);
}
TEST(CalledWorkerTests, aGangsLateCleanEndingStopsWhatTookItsPlace) {
  GangClusterState given;
  given.place(1, {0, 1});
  given.end("v", 1, AttemptOutcome::stopped);
  given.place(2, {0});
  given.end("w", 2, AttemptOutcome::succeeded);
  CHECK(given.clusterState.attempts().at(AttemptNumber{3}).state == AttemptState::stopping);
  given.end("v", 3, AttemptOutcome::stopped);
  CHECK(given.state() == JobState::succeeded);
}

// One that was silent while it leaves is not used again when it is heard. docs/design.md 5.7.
TEST(CalledWorkerTests, oneThatLeavesIsLeavingStillAfterASilence) {
  ClusterState clusterState;
  std::int64_t now = 1000;
  auto apply = [&](Event event) {
    clusterState.apply(LogRecord{ClusterTime{++now}, std::move(event)});
  };
  const WorkerId id{"v"};
  apply(WorkerRegistered{id, Incarnation{1}, account("v", 0).capacity});
  const Worker& worker = clusterState.workers().at(id);
  apply(WorkerDrainStarted{id, Duration{2000}, false});
  apply(WorkerUnreachable{id, {}});
  apply(WorkerReconnected{id});
  CHECK(worker.state == WorkerState::draining);
  // Nor when the word came during the silence.
  apply(WorkerRegistered{id, Incarnation{2}, account("v", 0).capacity});
  apply(WorkerUnreachable{id, {}});
  apply(WorkerDrainStarted{id, Duration{2000}, false});
  apply(WorkerReconnected{id});
  CHECK(worker.state == WorkerState::draining);
  // An operator takes it back, and a silence does not bring it up again.
  apply(WorkerReconnected{id});
  CHECK(worker.state == WorkerState::available);
  apply(WorkerUnreachable{id, {}});
  apply(WorkerReconnected{id});
  CHECK(worker.state == WorkerState::available);
}

// No start is reserved where too many of a step would be on one worker: it would never come, and
// hold others back.
TEST(CalledWorkerTests, noStartIsReservedPastApart) {
  ClusterState clusterState;
  std::int64_t now = 0;
  auto apply = [&](Event event) {
    clusterState.apply(LogRecord{ClusterTime{++now}, std::move(event)});
  };
  auto config = ClusterConfig::parse(R"({"queues":{"q":{"tries":2}}})");
  config.value().version = ConfigVersion{1};
  apply(ConfigCommitted{config.value()});
  apply(WorkerRegistered{WorkerId{"v"}, Incarnation{1}, account("v", 0).capacity});
  JobSubmission job;
  job.id = JobId{"a"};
  job.queue = QueueName{"q"};
  job.steps = {{"only", {}, true, {TaskRequest{}, TaskRequest{}}}};
  job.steps[0].requirements.maxPerWorker = 1;
  apply(JobAccepted{job});
  Planner planner;
  CHECK(!planner.makePlan(clusterState, ClusterTime{now}, {{WorkerId{"v"}, Duration{0}}})
             .record.reservation.isActive());
  apply(WorkerRegistered{WorkerId{"w"}, Incarnation{1}, account("w", 0).capacity});
  LONGS_EQUAL(2, planner
                     .makePlan(clusterState, ClusterTime{now},
                               {{WorkerId{"v"}, Duration{0}}, {WorkerId{"w"}, Duration{0}}})
                     .record.actions.size());
}

namespace {

using K = HistoryEvent::Kind;
HistoryEvent line(HistoryEvent::Kind kind, std::int64_t at, const std::string& job = "",
                  std::uint32_t task = 0, const std::string& worker = "",
                  const std::string& attempt = "1", const std::string& detail = "") {
  HistoryEvent witness;
  witness.kind = kind;
  witness.timestamp = at;
  witness.job = job;
  witness.task = task;
  witness.worker = worker;
  witness.attempt = attempt;
  witness.detail = detail;
  if (kind == K::started)
    witness.payload = "p";
  witness.cores = witness.memory = kind == K::started ? 1 : 0;
  return witness;
}
HistoryEvent worker(const std::string& life) {
  auto witness = line(K::capacityReported, 1, "", 0, life, "", "called");
  witness.cores = witness.memory = 2;
  witness.pool = "pool";
  witness.labels = {"fine", "shelf1"};
  return witness;
}
// One task in a queue of two tries; `change` says what is special.
JobSubmission oneTask(std::function<void(JobSubmission&)> change = {}) {
  JobSubmission job;
  job.id = JobId{"a"};
  job.queue = QueueName{"q"};
  job.payload = "p";
  job.steps = {{"only", {}, false, {TaskRequest{1, 1, Duration{100}, ""}}}};
  if (change)
    change(job);
  return job;
}
std::map<int, std::string> broken(std::vector<HistoryEvent> history,
                                  const JobSubmission& job = oneTask()) {
  history.insert(history.begin(), {worker("v"), worker("w")});
  InvariantOptions options;
  options.clockSlackMs = 0;
  options.maxAttemptsByQueue["q"] = 2;
  options.poolsByQueue["q"] = {"pool"};
  std::map<int, std::string> found;
  for (const auto& promise : checkInvariants(std::move(history), {{"a", job}}, options).violations)
    found[number(promise.rule)] += promise.description + "\n";
  return found;
}
std::vector<HistoryEvent> runOn(const std::string& life, std::int64_t from, std::int64_t to,
                                const std::string& attempt, const std::string& how,
                                std::int64_t noted = 0, std::uint32_t task = 0) {
  std::vector<HistoryEvent> lines{line(K::started, from, "a", task, life, attempt),
                                  line(K::ended, to, "a", task, life, attempt, how)};
  if (noted)
    lines.push_back(line(K::resultConfirmed, noted, "a", task, life, attempt, how));
  return lines;
}
std::vector<HistoryEvent> both(std::vector<HistoryEvent> first,
                               const std::vector<HistoryEvent>& second) {
  first.insert(first.end(), second.begin(), second.end());
  return first;
}

}  // namespace

TEST_GROUP(CalledInvariantTests){};

TEST(CalledInvariantTests, aGoodRunBreaksNothing) {
  auto history =
      both(runOn("v", 10, 20, "1", "failed", 25), runOn("w", 30, 40, "2", "finished", 45));
  history.push_back(line(K::stateObserved, 50, "a", 0, "", "", "finished"));
  CHECK(broken(history).empty());
}
TEST(CalledInvariantTests, twice) {
  CHECK(
      broken({line(K::started, 10, "a", 0, "v"), line(K::started, 11, "a", 0, "w", "2")}).count(1));
  // After an ending that was taken note of, be it later; one that was void by a lapse is never
  // taken note of.
  CHECK(broken(both(runOn("v", 10, 20, "1", "finished", 25), runOn("w", 30, 40, "2", "finished")))
            .count(1));
  CHECK(broken(both(runOn("v", 10, 20, "1", "finished", 35), runOn("w", 30, 40, "2", "finished")))
            .count(1));
  CHECK(!broken(both(runOn("v", 10, 20, "1", "finished"), runOn("w", 30, 40, "2", "finished", 45)))
             .count(1));
  const auto redundant = oneTask([](auto& job) { job.steps[0].requirements.redundant = true; });
  CHECK(
      broken({line(K::started, 10, "a", 0, "v"), line(K::started, 11, "a", 0, "w", "2")}, redundant)
          .empty());
  CHECK(!broken(both(runOn("v", 10, 20, "1", "finished", 25), runOn("w", 30, 40, "2", "finished")),
                redundant)
             .count(1));
  CHECK(
      broken(both(runOn("v", 10, 20, "1", "finished", 25), runOn("w", 1030, 1040, "2", "finished")),
             redundant)
          .count(1));
  // Of a gang one member's ending is all members'.
  const auto gang = oneTask([](auto& job) {
    job.steps[0].gang = true;
    job.steps[0].tasks.resize(2, job.steps[0].tasks[0]);
  });
  CHECK(broken(both(both(runOn("v", 10, 20, "1", "finished", 25),
                         runOn("w", 10, 20, "1", "finished", 0, 1)),
                    runOn("w", 30, 40, "2", "broken", 0, 1)),
               gang)
            .count(1));
}
TEST(CalledInvariantTests, place) {
  const auto start = {line(K::started, 10, "a", 0, "v")};
  CHECK(broken(start, oneTask([](auto& job) { job.steps[0].requirements.requiredLabel = "plain"; }))
            .count(13));
  CHECK(broken(start, oneTask([](auto& job) { job.steps[0].requirements.requiredLabel = "fine"; }))
            .empty());
  InvariantOptions elsewhere;
  elsewhere.poolsByQueue["q"] = {"other"};
  const auto placed = checkInvariants({worker("v"), line(K::started, 10, "a", 0, "v")},
                                      {{"a", oneTask()}}, elsewhere);
  LONGS_EQUAL(13, number(placed.violations.at(0).rule));
  const auto apart = oneTask([](auto& job) {
    job.steps[0].requirements.maxPerWorker = 1;
    job.steps[0].tasks.resize(2, job.steps[0].tasks[0]);
  });
  CHECK(broken({line(K::started, 10, "a", 0, "v"), line(K::started, 11, "a", 1, "v")}, apart)
            .count(13));
  CHECK(broken({line(K::started, 10, "a", 0, "v"), line(K::started, 11, "a", 1, "w")}, apart)
            .empty());
}
TEST(CalledInvariantTests, tries) {
  const auto twoFailed =
      both(runOn("v", 10, 20, "1", "failed", 25), runOn("w", 30, 40, "2", "failed", 55));
  CHECK(broken(twoFailed).empty());
  CHECK(broken(both(twoFailed, runOn("v", 50, 60, "3", "finished"))).count(14));
  CHECK(broken(both(both(runOn("v", 10, 20, "1", "stopped", 25),
                         runOn("w", 30, 40, "2", "failed", 45)),
                    runOn("v", 50, 60, "3", "finished")))
            .empty());
  CHECK(broken(both(twoFailed, runOn("v", 50, 60, "3", "failed")),
               oneTask([](auto& job) { job.steps[0].requirements.longRunning = true; }))
            .empty());
}
TEST(CalledInvariantTests, unasked) {
  CHECK(broken({line(K::started, 10, "b", 0, "v")}).count(15));
  CHECK(broken({line(K::started, 10, "a", 7, "v")}).count(15));
  CHECK(broken({line(K::started, 10, "a@1", 0, "v")}).count(15));
  auto other = line(K::started, 10, "a", 0, "v");
  other.payload = "another";
  CHECK(broken({other}).count(15));
  auto made = line(K::checkpointed, 15, "a", 0, "v");
  made.checkpoint = "of task 0";
  auto from = line(K::started, 30, "a", 0, "w", "2");
  from.checkpoint = made.checkpoint;
  const auto first = line(K::started, 10, "a", 0, "v"),
             end = line(K::ended, 20, "a", 0, "v", "1", "stopped");
  CHECK(broken({first, made, end, from}).empty());
  made.task = 1;
  const auto two = oneTask([](auto& job) { job.steps[0].tasks.resize(2, job.steps[0].tasks[0]); });
  CHECK(broken({first, made, end, from}, two).count(15));
  // A gang may go on from any member's, but all from the same.
  auto gang = two;
  gang.steps[0].gang = true;
  auto beside = line(K::started, 31, "a", 1, "v", "2");
  beside.checkpoint = made.checkpoint;
  CHECK(broken({first, made, end, from, beside}, gang).empty());
  beside.checkpoint.clear();
  CHECK(broken({first, made, end, from, beside}, gang).count(15));
}
TEST(CalledInvariantTests, gangAlone) {
  const auto gang = oneTask([](auto& job) {
    job.steps[0].gang = true;
    job.steps[0].tasks.resize(2, job.steps[0].tasks[0]);
  });
  const auto alone = runOn("v", 10, 3010, "1", "alone");
  CHECK(broken(alone, gang).count(16));
  CHECK(broken(both({line(K::faultBegan, 5, "", 0, "", "", "a fault")}, alone), gang).empty());
  CHECK(broken(both({line(K::cancelAcknowledged, 8, "a")}, alone), gang).empty());
}
TEST(CalledInvariantTests, leaving) {
  const auto leaving = line(K::draining, 5, "", 0, "v");
  auto start = line(K::started, 10, "a", 0, "v");
  CHECK(broken({leaving, start}).count(17));
  start.executedLate = true;  // an order from before, carried out seconds after it was given up
  CHECK(broken({leaving, start}).empty());
}
TEST(CalledInvariantTests, shownFinishedOrFailedTooSoon) {
  const auto shown = line(K::stateObserved, 50, "a", 0, "", "", "finished"),
             failed = line(K::stateObserved, 50, "a", 0, "", "", "failed");
  CHECK(broken(both(runOn("v", 10, 20, "1", "lapsed", 25), {shown})).count(4));
  const auto timed = oneTask([](auto& job) {
    job.timetable.firstStart = ClusterTime{5};
    job.timetable.interval = Duration{1};
    job.timetable.count = 2;
  });
  auto first = runOn("v", 10, 20, "1", "finished", 25);
  for (auto& witness : first)
    witness.job = "a@0";
  CHECK(broken(both(first, {shown}), timed).count(4));
  auto second = runOn("w", 10, 20, "1", "finished", 25);
  for (auto& witness : second)
    witness.job = "a@1";
  CHECK(broken(both(both(first, second), {shown}), timed).empty());
  CHECK(broken(both(runOn("v", 10, 20, "1", "failed", 25), {failed})).count(18));
  CHECK(broken(
            both(both(runOn("v", 10, 20, "1", "failed", 25), runOn("v", 30, 40, "2", "failed", 45)),
                 {failed}))
            .empty());
  CHECK(broken({failed}, oneTask([](auto& job) { job.steps[0].tasks[0].cores = 9; })).empty());
}
TEST(CalledInvariantTests, room) {
  const auto three =
      oneTask([](auto& job) { job.steps[0].tasks.resize(3, job.steps[0].tasks[0]); });
  std::vector<HistoryEvent> starts;
  for (std::uint32_t task = 0; task < 3; ++task)
    starts.push_back(line(K::started, 10, "a", task, "v"));
  CHECK(broken(starts, three).count(10));
  starts.pop_back();
  CHECK(broken(starts, three).empty());
  starts[0].accelerators = 1;
  CHECK(broken(starts, three).count(10));
}
