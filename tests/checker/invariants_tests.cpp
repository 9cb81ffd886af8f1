// Tests that the invariant checker accepts a correct history and finds violations of each rule.
#include "checker/invariants.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

namespace {
JobSubmission twoSteps() {
  JobSubmission job;
  job.id = JobId{"a"};
  job.queue = QueueName{"q"};
  job.steps = {{"first", {}, true, {TaskRequest{}, TaskRequest{}}},
               {"second", {"first"}, false, {TaskRequest{}}}};
  return job;
}
HistoryEvent makeEvent(HistoryEvent::Kind kind, std::int64_t at, std::uint32_t task = 0,
                       std::string worker = "m", std::string attempt = "1",
                       std::string detail = "") {
  HistoryEvent event;
  event.kind = kind;
  event.timestamp = at;
  event.job = "a";
  event.task = task;
  event.worker = std::move(worker);
  event.attempt = std::move(attempt);
  event.detail = std::move(detail);
  event.cores = 1;
  event.memory = 1;
  return event;
}
using K = HistoryEvent::Kind;
// A correct run: both members of the gang, then the second step.
std::vector<HistoryEvent> goodRun() {
  auto capacity = makeEvent(K::capacityReported, 1);
  capacity.cores = 4;
  capacity.memory = 100;
  return {capacity,
          makeEvent(K::submitted, 10),
          makeEvent(K::accepted, 11),
          makeEvent(K::started, 20, 0),
          makeEvent(K::started, 21, 1, "m", "2"),
          makeEvent(K::ended, 100, 0, "m", "1", "finished"),
          makeEvent(K::resultConfirmed, 105, 0, "m", "1", "finished"),
          makeEvent(K::ended, 110, 1, "m", "2", "finished"),
          makeEvent(K::resultConfirmed, 115, 1, "m", "2", "finished"),
          makeEvent(K::started, 200, 2, "m", "3"),
          makeEvent(K::ended, 300, 2, "m", "3", "finished"),
          makeEvent(K::stateObserved, 400, 0, "", "", "finished")};
}
CheckReport reportOf(std::vector<HistoryEvent> history, const JobSubmission& job = twoSteps()) {
  InvariantOptions options;
  options.retriesByQueue["q"] = 0;
  options.clockSlackMs = 0;
  return checkInvariants(std::move(history), {{"a", job}}, options);
}
std::set<int> rulesOf(const std::vector<InvariantViolation>& promises) {
  std::set<int> rules;
  for (const auto& violation : promises)
    rules.insert(number(violation.rule));
  return rules;
}
std::set<int> rulesBroken(std::vector<HistoryEvent> history,
                          const JobSubmission& job = twoSteps()) {
  return rulesOf(reportOf(std::move(history), job).violations);
}
std::vector<HistoryEvent> with(std::vector<HistoryEvent> more) {
  auto history = goodRun();
  history.insert(history.end(), more.begin(), more.end());
  return history;
}
}  // namespace

TEST_GROUP(InvariantTests){};

TEST(InvariantTests, acceptsACorrectHistory) {
  CHECK(rulesBroken(goodRun()).empty());
}

// Checks that each rule finds a planted violation. docs/design.md 11.
TEST(InvariantTests, eachRuleFindsAPlantedViolation) {
  // Two runs at the same time.
  CHECK(rulesBroken(with({makeEvent(K::started, 50, 0, "n", "9")})).count(1));
  CHECK(rulesBroken(with({makeEvent(K::started, 500, 0, "n", "9")}))
            .count(1));  // a run after a confirmed success
  CHECK(rulesBroken(with({makeEvent(K::stateObserved, 4000, 0, "", "", "missing")}))
            .count(2));  // lost
  CHECK(
      rulesBroken({makeEvent(K::submitted, 1), makeEvent(K::rejected, 2), makeEvent(K::started, 3)})
          .count(3));
  CHECK(rulesBroken(with({makeEvent(K::stateObserved, 150, 0, "", "", "finished")}))
            .count(4));  // shown as finished too early
  CHECK(rulesBroken({makeEvent(K::submitted, 1), makeEvent(K::accepted, 2),
                     makeEvent(K::cancelAcknowledged, 3), makeEvent(K::started, 4000)})
            .count(5));
  CHECK(rulesBroken({makeEvent(K::submitted, 1), makeEvent(K::cancelNotFound, 3),
                     makeEvent(K::started, 4000)})
            .count(5));  // its submission arrived late
  CHECK(rulesBroken({makeEvent(K::started, 1), makeEvent(K::cancelAcknowledged, 3),
                     makeEvent(K::ended, 5000, 0, "m", "1", "finished")})
            .count(5));
  CHECK(rulesBroken({makeEvent(K::started, 30, 2)}).count(6));  // before the step it depends on
  auto timed = twoSteps();
  timed.timetable.firstStart = ClusterTime{1000};
  CHECK(rulesBroken({makeEvent(K::started, 900)}, timed).count(6));  // before its scheduled time
  CHECK(rulesBroken({makeEvent(K::started, 1), makeEvent(K::ended, 2, 0, "m", "1", "failed"),
                     makeEvent(K::started, 3, 0, "m", "2")})
            .count(7));
  CHECK(!rulesBroken({makeEvent(K::started, 1), makeEvent(K::ended, 2, 0, "m", "1", "ran_out"),
                      makeEvent(K::started, 3, 0, "m", "2")})
             .count(7));
  CHECK(rulesBroken({makeEvent(K::started, 1), makeEvent(K::started, 900, 1, "m", "2"),
                     makeEvent(K::ended, 2000, 0)})
            .count(8));
  CHECK(rulesBroken({makeEvent(K::draining, 1), makeEvent(K::started, 2100)}).count(9));
  auto smallCapacity = makeEvent(K::capacityReported, 1);
  smallCapacity.cores = 1;
  smallCapacity.memory = 1;
  CHECK(rulesBroken(
            {smallCapacity, makeEvent(K::started, 2, 0), makeEvent(K::started, 3, 1, "m", "2")})
            .count(10));
  auto acknowledged = makeEvent(K::configAcknowledged, 1),
       seen = makeEvent(K::configObserved, 2500, 0, "", "", "gateway");
  acknowledged.version = 2;
  seen.version = 1;
  CHECK(rulesBroken({acknowledged, seen}).count(11));
  CHECK(rulesBroken({makeEvent(K::clusterHealed, 1), makeEvent(K::serviceRestored, 12'100)})
            .count(12));
}

TEST(InvariantTests, findsASecondCluster) {
  InvariantOptions options;
  options.retriesByQueue["q"] = 0;
  options.clockSlackMs = 0;
  options.storedClusters = {ClusterId{"first"}};
  CHECK(checkInvariants(goodRun(), {{"a", twoSteps()}}, options).violations.empty());
  options.storedClusters.insert(ClusterId{"second"});
  const CheckReport report = checkInvariants(goodRun(), {{"a", twoSteps()}}, options);
  LONGS_EQUAL(1, report.violations.size());
  CHECK(report.violations[0].rule == Invariant::oneCluster);
}

// Checks that missing events at the end of the history are reported as violations.
TEST(InvariantTests, findsMissingEvents) {
  const auto late = makeEvent(K::stateObserved, 9000, 0, "", "", "open");
  CHECK(rulesBroken({makeEvent(K::clusterHealed, 1), late}).count(12));  // service never resumed
  CHECK(rulesBroken({makeEvent(K::started, 1), makeEvent(K::cancelAcknowledged, 3), late})
            .count(5));  // never stopped after its cancel
  CHECK(rulesBroken({makeEvent(K::started, 1), makeEvent(K::ended, 4000, 0, "m", "1", "finished")})
            .count(8));  // ran to its end without the other member
  CHECK(!rulesBroken({makeEvent(K::started, 1), makeEvent(K::ended, 600, 0, "m", "1", "stopped")})
             .count(8));
  CHECK(rulesBroken({makeEvent(K::submitted, 1), makeEvent(K::accepted, 2),
                     makeEvent(K::quiescent, 60'000)})
            .count(2));
  CHECK(!rulesBroken({makeEvent(K::submitted, 1), makeEvent(K::accepted, 2),
                      makeEvent(K::waitExplained, 3), makeEvent(K::quiescent, 60'000)})
             .count(2));
  CHECK(rulesBroken(with({makeEvent(K::started, 111, 1, "n", "9")}))
            .count(1));  // ran again after a success although there was no fault
  // During a fault a member may run alone for longer, but only for a limited time.
  const auto fault = makeEvent(K::faultBegan, 1);
  CHECK(!rulesBroken(
             {fault, makeEvent(K::started, 10), makeEvent(K::ended, 4000, 0, "m", "1", "stopped")})
             .count(8));
  CHECK(rulesBroken(
            {fault, makeEvent(K::started, 10), makeEvent(K::ended, 6000, 0, "m", "1", "stopped")})
            .count(8));
}

// Checks that unavoidable violations are reported separately, and only if their cause was observed.
TEST(InvariantTests, reportsUnavoidableViolationsSeparately) {
  const std::vector<HistoryEvent> unconfirmedRerun{
      makeEvent(K::started, 20), makeEvent(K::ended, 100, 0, "m", "1", "finished"),
      makeEvent(K::workerLost, 101), makeEvent(K::started, 5000, 0, "n", "2")};
  CHECK(rulesOf(reportOf(unconfirmedRerun).unavoidableViolations).count(1));
  CHECK(!rulesBroken(unconfirmedRerun).count(1));
  auto capacity = makeEvent(K::capacityReported, 1);
  capacity.cores = capacity.memory = 9;
  capacity.detail = "leaseless";
  const std::vector<HistoryEvent> unreachableWorker{
      capacity, makeEvent(K::started, 2), makeEvent(K::faultBegan, 3),
      makeEvent(K::cancelAcknowledged, 4), makeEvent(K::ended, 9000, 0, "m", "1", "finished")};
  CHECK(rulesOf(reportOf(unreachableWorker).unavoidableViolations).count(5));
  CHECK(!rulesBroken(unreachableWorker).count(5));
  auto withoutFault = unreachableWorker;
  withoutFault.erase(withoutFault.begin() + 2);
  CHECK(rulesBroken(withoutFault).count(5));
}

TEST(InvariantTests, findsUnansweredCancel) {
  CHECK(rulesBroken(with({makeEvent(K::cancelSubmitted, 1000), makeEvent(K::quiescent, 5000)}))
            .count(21));
  CHECK(!rulesBroken(with({makeEvent(K::cancelSubmitted, 1000), makeEvent(K::quiescent, 4999)}))
             .count(21));
}

TEST(InvariantTests, acceptsAnsweredCancelsAndCancelsDuringFaults) {
  for (const K answer : {K::cancelAcknowledged, K::cancelNotFound})
    CHECK(!rulesBroken(with({makeEvent(K::cancelSubmitted, 1000), makeEvent(answer, 4000),
                             makeEvent(K::quiescent, 9000)}))
               .count(21));
  auto began = makeEvent(K::faultBegan, 2000, 0, "", "", "a fault");
  auto ended = makeEvent(K::faultEnded, 2100, 0, "", "", "a fault");
  CHECK(!rulesBroken(with({makeEvent(K::cancelSubmitted, 1000), began, ended,
                           makeEvent(K::quiescent, 9000)}))
             .count(21));
}
