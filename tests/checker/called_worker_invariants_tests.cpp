// Tests the rules for called workers. docs/design.md 11, 12.4.
#include "checker/invariants.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

namespace {

using K = HistoryEvent::Kind;
HistoryEvent makeEvent(HistoryEvent::Kind kind, std::int64_t at, const std::string& job = "",
                       std::uint32_t task = 0, const std::string& worker = "",
                       const std::string& attempt = "1", const std::string& detail = "") {
  HistoryEvent event;
  event.kind = kind;
  event.timestamp = at;
  event.job = job;
  event.task = task;
  event.worker = worker;
  event.attempt = attempt;
  event.detail = detail;
  if (kind == K::started)
    event.payload = "p";
  event.cores = event.memory = kind == K::started ? 1 : 0;
  return event;
}
HistoryEvent makeCapacityEvent(const std::string& workerId) {
  auto event = makeEvent(K::capacityReported, 1, "", 0, workerId, "", "called");
  event.cores = event.memory = 2;
  event.pool = "pool";
  event.labels = {"fine", "shelf1"};
  return event;
}
// Returns a job of one task in a queue with two attempts; `change` adapts it.
JobSubmission makeJob(std::function<void(JobSubmission&)> change = {}) {
  JobSubmission job;
  job.id = JobId{"a"};
  job.queue = QueueName{"q"};
  job.payload = "p";
  job.steps = {{"only", {}, false, {TaskRequest{1, 1, Duration{100}, ""}}}};
  if (change)
    change(job);
  return job;
}
std::map<int, std::string> violationsByRule(std::vector<HistoryEvent> history,
                                            const JobSubmission& job = makeJob()) {
  history.insert(history.begin(), {makeCapacityEvent("v"), makeCapacityEvent("w")});
  InvariantOptions options;
  options.clockSlackMs = 0;
  options.maxAttemptsByQueue["q"] = 2;
  options.poolsByQueue["q"] = {"pool"};
  std::map<int, std::string> found;
  for (const auto& violation :
       checkInvariants(std::move(history), {{"a", job}}, options).violations)
    found[number(violation.rule)] += violation.description + "\n";
  return found;
}
std::vector<HistoryEvent> runOn(const std::string& workerId, std::int64_t from, std::int64_t to,
                                const std::string& attempt, const std::string& outcome,
                                std::int64_t confirmedAt = 0, std::uint32_t task = 0) {
  std::vector<HistoryEvent> events{makeEvent(K::started, from, "a", task, workerId, attempt),
                                   makeEvent(K::ended, to, "a", task, workerId, attempt, outcome)};
  if (confirmedAt)
    events.push_back(
        makeEvent(K::resultConfirmed, confirmedAt, "a", task, workerId, attempt, outcome));
  return events;
}
std::vector<HistoryEvent> concatenate(std::vector<HistoryEvent> first,
                                      const std::vector<HistoryEvent>& second) {
  first.insert(first.end(), second.begin(), second.end());
  return first;
}

}  // namespace

TEST_GROUP(CalledInvariantTests){};

TEST(CalledInvariantTests, acceptsACorrectHistory) {
  auto history =
      concatenate(runOn("v", 10, 20, "1", "failed", 25), runOn("w", 30, 40, "2", "finished", 45));
  history.push_back(makeEvent(K::stateObserved, 50, "a", 0, "", "", "finished"));
  CHECK(violationsByRule(history).empty());
}
TEST(CalledInvariantTests, findsConcurrentAndRepeatedRuns) {
  CHECK(violationsByRule(
            {makeEvent(K::started, 10, "a", 0, "v"), makeEvent(K::started, 11, "a", 0, "w", "2")})
            .count(1));
  // A run after a recorded success is a violation, also if the success was recorded only later. A
  // result voided by an expired lease is never recorded.
  CHECK(violationsByRule(concatenate(runOn("v", 10, 20, "1", "finished", 25),
                                     runOn("w", 30, 40, "2", "finished")))
            .count(1));
  CHECK(violationsByRule(concatenate(runOn("v", 10, 20, "1", "finished", 35),
                                     runOn("w", 30, 40, "2", "finished")))
            .count(1));
  CHECK(!violationsByRule(concatenate(runOn("v", 10, 20, "1", "finished"),
                                      runOn("w", 30, 40, "2", "finished", 45)))
             .count(1));
  const auto redundant = makeJob([](auto& job) { job.steps[0].requirements.redundant = true; });
  CHECK(violationsByRule(
            {makeEvent(K::started, 10, "a", 0, "v"), makeEvent(K::started, 11, "a", 0, "w", "2")},
            redundant)
            .empty());
  CHECK(!violationsByRule(concatenate(runOn("v", 10, 20, "1", "finished", 25),
                                      runOn("w", 30, 40, "2", "finished")),
                          redundant)
             .count(1));
  CHECK(violationsByRule(concatenate(runOn("v", 10, 20, "1", "finished", 25),
                                     runOn("w", 1030, 1040, "2", "finished")),
                         redundant)
            .count(1));
  // In a gang the result of one member applies to all.
  const auto gang = makeJob([](auto& job) {
    job.steps[0].gang = true;
    job.steps[0].tasks.resize(2, job.steps[0].tasks[0]);
  });
  CHECK(violationsByRule(concatenate(concatenate(runOn("v", 10, 20, "1", "finished", 25),
                                                 runOn("w", 10, 20, "1", "finished", 0, 1)),
                                     runOn("w", 30, 40, "2", "broken", 0, 1)),
                         gang)
            .count(1));
}
TEST(CalledInvariantTests, findsWrongPlacement) {
  const auto start = {makeEvent(K::started, 10, "a", 0, "v")};
  CHECK(violationsByRule(
            start, makeJob([](auto& job) { job.steps[0].requirements.requiredLabel = "plain"; }))
            .count(13));
  CHECK(violationsByRule(
            start, makeJob([](auto& job) { job.steps[0].requirements.requiredLabel = "fine"; }))
            .empty());
  InvariantOptions elsewhere;
  elsewhere.poolsByQueue["q"] = {"other"};
  const auto placed =
      checkInvariants({makeCapacityEvent("v"), makeEvent(K::started, 10, "a", 0, "v")},
                      {{"a", makeJob()}}, elsewhere);
  LONGS_EQUAL(13, number(placed.violations.at(0).rule));
  const auto apart = makeJob([](auto& job) {
    job.steps[0].requirements.maxPerWorker = 1;
    job.steps[0].tasks.resize(2, job.steps[0].tasks[0]);
  });
  CHECK(violationsByRule(
            {makeEvent(K::started, 10, "a", 0, "v"), makeEvent(K::started, 11, "a", 1, "v")}, apart)
            .count(13));
  CHECK(violationsByRule(
            {makeEvent(K::started, 10, "a", 0, "v"), makeEvent(K::started, 11, "a", 1, "w")}, apart)
            .empty());
}
TEST(CalledInvariantTests, findsStartsBeyondTheAttemptLimit) {
  const auto twoFailed =
      concatenate(runOn("v", 10, 20, "1", "failed", 25), runOn("w", 30, 40, "2", "failed", 55));
  CHECK(violationsByRule(twoFailed).empty());
  CHECK(violationsByRule(concatenate(twoFailed, runOn("v", 50, 60, "3", "finished"))).count(14));
  CHECK(violationsByRule(concatenate(concatenate(runOn("v", 10, 20, "1", "stopped", 25),
                                                 runOn("w", 30, 40, "2", "failed", 45)),
                                     runOn("v", 50, 60, "3", "finished")))
            .empty());
  CHECK(violationsByRule(concatenate(twoFailed, runOn("v", 50, 60, "3", "failed")),
                         makeJob([](auto& job) { job.steps[0].requirements.longRunning = true; }))
            .empty());
}
TEST(CalledInvariantTests, findsStartsThatWereNotRequested) {
  CHECK(violationsByRule({makeEvent(K::started, 10, "b", 0, "v")}).count(15));
  CHECK(violationsByRule({makeEvent(K::started, 10, "a", 7, "v")}).count(15));
  CHECK(violationsByRule({makeEvent(K::started, 10, "a@1", 0, "v")}).count(15));
  auto other = makeEvent(K::started, 10, "a", 0, "v");
  other.payload = "another";
  CHECK(violationsByRule({other}).count(15));
  auto made = makeEvent(K::checkpointed, 15, "a", 0, "v");
  made.checkpoint = "of task 0";
  auto from = makeEvent(K::started, 30, "a", 0, "w", "2");
  from.checkpoint = made.checkpoint;
  const auto first = makeEvent(K::started, 10, "a", 0, "v"),
             end = makeEvent(K::ended, 20, "a", 0, "v", "1", "stopped");
  CHECK(violationsByRule({first, made, end, from}).empty());
  made.task = 1;
  const auto two = makeJob([](auto& job) { job.steps[0].tasks.resize(2, job.steps[0].tasks[0]); });
  CHECK(violationsByRule({first, made, end, from}, two).count(15));
  // A gang may resume from the checkpoint of any member, but all members must use the same one.
  auto gang = two;
  gang.steps[0].gang = true;
  auto beside = makeEvent(K::started, 31, "a", 1, "v", "2");
  beside.checkpoint = made.checkpoint;
  CHECK(violationsByRule({first, made, end, from, beside}, gang).empty());
  beside.checkpoint.clear();
  CHECK(violationsByRule({first, made, end, from, beside}, gang).count(15));
}
TEST(CalledInvariantTests, findsGangMemberThatWaitsInVain) {
  const auto gang = makeJob([](auto& job) {
    job.steps[0].gang = true;
    job.steps[0].tasks.resize(2, job.steps[0].tasks[0]);
  });
  const auto alone = runOn("v", 10, 3010, "1", "alone");
  CHECK(violationsByRule(alone, gang).count(16));
  CHECK(violationsByRule(
            concatenate({makeEvent(K::faultBegan, 5, "", 0, "", "", "a fault")}, alone), gang)
            .empty());
  CHECK(violationsByRule(concatenate({makeEvent(K::cancelAcknowledged, 8, "a")}, alone), gang)
            .empty());
}
TEST(CalledInvariantTests, findsStartAfterDrainAcknowledged) {
  const auto leaving = makeEvent(K::draining, 5, "", 0, "v");
  auto start = makeEvent(K::started, 10, "a", 0, "v");
  CHECK(violationsByRule({leaving, start}).count(17));
  // The order was sent before the drain and carried out seconds after its sender gave up on it.
  start.executedLate = true;
  CHECK(violationsByRule({leaving, start}).empty());
}
TEST(CalledInvariantTests, findsJobsShownFinishedOrFailedTooEarly) {
  const auto shown = makeEvent(K::stateObserved, 50, "a", 0, "", "", "finished"),
             failed = makeEvent(K::stateObserved, 50, "a", 0, "", "", "failed");
  CHECK(violationsByRule(concatenate(runOn("v", 10, 20, "1", "lapsed", 25), {shown})).count(4));
  const auto timed = makeJob([](auto& job) {
    job.timetable.firstStart = ClusterTime{5};
    job.timetable.interval = Duration{1};
    job.timetable.count = 2;
  });
  auto first = runOn("v", 10, 20, "1", "finished", 25);
  for (auto& event : first)
    event.job = "a@0";
  CHECK(violationsByRule(concatenate(first, {shown}), timed).count(4));
  auto second = runOn("w", 10, 20, "1", "finished", 25);
  for (auto& event : second)
    event.job = "a@1";
  CHECK(violationsByRule(concatenate(concatenate(first, second), {shown}), timed).empty());
  CHECK(violationsByRule(concatenate(runOn("v", 10, 20, "1", "failed", 25), {failed})).count(18));
  CHECK(violationsByRule(concatenate(concatenate(runOn("v", 10, 20, "1", "failed", 25),
                                                 runOn("v", 30, 40, "2", "failed", 45)),
                                     {failed}))
            .empty());
  CHECK(violationsByRule({failed}, makeJob([](auto& job) { job.steps[0].tasks[0].cores = 9; }))
            .empty());
}
TEST(CalledInvariantTests, findsExceededCapacity) {
  const auto three =
      makeJob([](auto& job) { job.steps[0].tasks.resize(3, job.steps[0].tasks[0]); });
  std::vector<HistoryEvent> starts;
  for (std::uint32_t task = 0; task < 3; ++task)
    starts.push_back(makeEvent(K::started, 10, "a", task, "v"));
  CHECK(violationsByRule(starts, three).count(10));
  starts.pop_back();
  CHECK(violationsByRule(starts, three).empty());
  starts[0].accelerators = 1;
  CHECK(violationsByRule(starts, three).count(10));
}
