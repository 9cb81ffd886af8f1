// Tests the conversion of a history into operations, and the detection of violations planted into
// whole histories.
#include <CppUTest/TestHarness.h>

#include "checker/history_operations.hpp"
#include "checker/invariants.hpp"

using namespace aniseline;

namespace {

using Kind = HistoryEvent::Kind;

HistoryEvent makeEvent(Kind kind, std::int64_t at, const std::string& detail = "",
                       std::int64_t invokedAt = 0) {
  HistoryEvent made;
  made.kind = kind;
  made.timestamp = at;
  made.job = "a";
  made.detail = detail;
  made.invokedAt = invokedAt;
  return made;
}

HistoryEvent makeConfigEvent(Kind kind, std::int64_t at, std::uint64_t base,
                             const std::string& digest, std::int64_t invokedAt = 0,
                             std::uint64_t version = 0) {
  HistoryEvent made = makeEvent(kind, at, "", invokedAt);
  made.job.clear();
  made.baseVersion = base;
  made.digest = digest;
  made.version = version;
  return made;
}

std::vector<LinearizabilityViolation> violationsOf(const std::vector<HistoryEvent>& history) {
  return findViolations(history, HistoryOperationsOptions{});
}

void passes(const std::vector<HistoryEvent>& history) {
  for (const LinearizabilityViolation& violation : violationsOf(history))
    FAIL(violation.description.c_str());
}

// Checks that there is exactly one violation, whose last operation returned at `at`.
void failsAt(std::int64_t at, const std::vector<HistoryEvent>& history) {
  const auto violations = violationsOf(history);
  LONGS_EQUAL(1, violations.size());
  LONGS_EQUAL(at, violations.front().timestamp);
}

// A correct history of a job that is submitted at time 10.
std::vector<HistoryEvent> jobHistory() {
  return {makeEvent(Kind::submitted, 10), makeEvent(Kind::accepted, 20, "202", 10),
          makeEvent(Kind::started, 30), makeEvent(Kind::stateObserved, 50, "open", 40),
          makeEvent(Kind::stateObserved, 80, "finished", 70)};
}

std::vector<HistoryEvent> with(std::vector<HistoryEvent> history, const HistoryEvent& more) {
  history.push_back(more);
  return history;
}

// Two operators in sequence; the first order of the second one is rejected.
std::vector<HistoryEvent> configHistory() {
  return {makeConfigEvent(Kind::configSubmitted, 10, 0, "x"),
          makeConfigEvent(Kind::configAcknowledged, 20, 0, "x", 10, 1),
          makeConfigEvent(Kind::configSubmitted, 30, 0, "y"),
          makeConfigEvent(Kind::configRejected, 40, 0, "y", 30, 1),
          makeConfigEvent(Kind::configReturned, 60, 0, "x", 50, 1),
          makeConfigEvent(Kind::configSubmitted, 70, 1, "y"),
          makeConfigEvent(Kind::configAcknowledged, 80, 1, "y", 70, 2)};
}

}  // namespace

TEST_GROUP(HistoryOperations){};

TEST(HistoryOperations, correctHistoriesPass) {
  passes({});
  passes(jobHistory());
  passes(configHistory());
}

TEST(HistoryOperations, eachAnswerBecomesACallFromItsInvocation) {
  const auto operations = extractOperations(jobHistory(), {}).jobOperations;
  LONGS_EQUAL(4, operations.size());
  LONGS_EQUAL(10, operations[0].invokedAt);
  LONGS_EQUAL(20, *operations[0].returnedAt);
  CHECK(operations[0].output.kind == JobOutput::Kind::accepted);
  CHECK(operations[1].input.kind == JobInput::Kind::run);
  LONGS_EQUAL(40, operations[2].invokedAt);
  CHECK(operations[3].output.phase == JobPhase::succeeded);
  LONGS_EQUAL(4, extractOperations(configHistory(), {}).configurationOperations.size());
}

TEST(HistoryOperations, unansweredCallsHaveUnknownOutcome) {
  const std::vector<HistoryEvent> history{
      makeEvent(Kind::submitted, 10),       makeEvent(Kind::outcomeUnknown, 20, "0", 10),
      makeEvent(Kind::submitted, 30),       makeEvent(Kind::accepted, 40, "202", 30),
      makeEvent(Kind::cancelSubmitted, 50), makeConfigEvent(Kind::configSubmitted, 60, 0, "x")};
  const auto operations = extractOperations(history, {});
  LONGS_EQUAL(3, operations.jobOperations.size());
  CHECK(operations.jobOperations[1].outcome == OperationOutcome::unknown);
  LONGS_EQUAL(10, operations.jobOperations[1].invokedAt);
  CHECK(operations.jobOperations[2].input.kind == JobInput::Kind::cancel);
  CHECK(operations.jobOperations[2].outcome == OperationOutcome::unknown);
  LONGS_EQUAL(1, operations.configurationOperations.size());
  CHECK(operations.configurationOperations[0].outcome == OperationOutcome::unknown);
  // The cancel may or may not have reached the cluster.
  passes(with(history, makeEvent(Kind::stateObserved, 80, "cancelled", 70)));
  passes(with(history, makeEvent(Kind::stateObserved, 80, "open", 70)));
}

TEST(HistoryOperations, findsAStaleRead) {
  failsAt(100, with(configHistory(), makeConfigEvent(Kind::configReturned, 100, 0, "x", 90, 1)));
  failsAt(100, with(jobHistory(), makeEvent(Kind::stateObserved, 100, "open", 90)));
  // A read that was invoked before the later answer may still return the older state.
  passes(with(jobHistory(), makeEvent(Kind::stateObserved, 100, "open", 75)));
}

TEST(HistoryOperations, findsTwoAppliedOrdersWithTheSameBase) {
  failsAt(100,
          with(configHistory(), makeConfigEvent(Kind::configAcknowledged, 100, 1, "z", 90, 2)));
}

TEST(HistoryOperations, findsAnAppliedOrderRejectedOnResend) {
  failsAt(100, with(configHistory(), makeConfigEvent(Kind::configRejected, 100, 0, "x", 90, 2)));
  passes(with(configHistory(), makeConfigEvent(Kind::configAcknowledged, 100, 0, "x", 90, 1)));
  failsAt(100, with(jobHistory(), makeEvent(Kind::rejected, 100, "409", 90)));
  passes(with(jobHistory(), makeEvent(Kind::rejected, 100, "429", 90)));
}

// Two orders are sent at the same time, and the first is applied without an answer. The answer to
// the second must not be paired with the first.
TEST(HistoryOperations, distinguishesOrdersSentAtTheSameTime) {
  passes({makeConfigEvent(Kind::configSubmitted, 10, 0, "x"),
          makeConfigEvent(Kind::configSubmitted, 10, 0, "y"),
          makeConfigEvent(Kind::configRejected, 20, 0, "y", 10, 1)});
}

// The first read of a patched configuration determines its digest; later reads must agree with it.
TEST(HistoryOperations, readsOfAPatchedConfigurationAgree) {
  HistoryEvent patch = makeConfigEvent(Kind::configSubmitted, 110, 2, "p");
  patch.detail = configPatchDetail;
  HistoryEvent taken = makeConfigEvent(Kind::configAcknowledged, 120, 2, "p", 110, 3);
  taken.detail = configPatchDetail;
  std::vector<HistoryEvent> history = configHistory();
  history.insert(history.end(),
                 {patch, taken, makeConfigEvent(Kind::configReturned, 140, 0, "m", 130, 3),
                  makeConfigEvent(Kind::configReturned, 160, 0, "m", 150, 3)});
  passes(history);
  failsAt(180, with(history, makeConfigEvent(Kind::configReturned, 180, 0, "n", 170, 3)));
  failsAt(180, with(history, makeConfigEvent(Kind::configReturned, 180, 0, "x", 170, 1)));
}

TEST(HistoryOperations, findsALostJob) {
  failsAt(100, with(jobHistory(), makeEvent(Kind::stateObserved, 100, "missing", 90)));
  failsAt(100, with(jobHistory(), makeEvent(Kind::cancelNotFound, 100, "", 90)));
  // After the retention time of an hour the job may be gone.
  const std::int64_t later = 3'700'000;
  passes(with(jobHistory(), makeEvent(Kind::stateObserved, later, "missing", later - 10)));
}

TEST(HistoryOperations, findsARejectedJobThatRan) {
  failsAt(30, {makeEvent(Kind::submitted, 10), makeEvent(Kind::rejected, 20, "400", 10),
               makeEvent(Kind::started, 30)});
  failsAt(30, {makeEvent(Kind::submitted, 10), makeEvent(Kind::rejected, 20, "429", 10),
               makeEvent(Kind::started, 30)});
  passes({makeEvent(Kind::submitted, 10), makeEvent(Kind::outcomeUnknown, 15, "0", 10),
          makeEvent(Kind::submitted, 16), makeEvent(Kind::rejected, 20, "429", 16),
          makeEvent(Kind::started, 30)});
}

TEST(HistoryOperations, findsAJobThatContinuesAfterItsCancel) {
  std::vector<HistoryEvent> history{makeEvent(Kind::submitted, 10),
                                    makeEvent(Kind::accepted, 20, "202", 10),
                                    makeEvent(Kind::cancelSubmitted, 30),
                                    makeEvent(Kind::cancelAcknowledged, 40, "cancelling", 30)};
  passes(with(history, makeEvent(Kind::stateObserved, 60, "cancelled", 50)));
  failsAt(60, with(history, makeEvent(Kind::stateObserved, 60, "open", 50)));
  failsAt(60, with(history, makeEvent(Kind::stateObserved, 60, "finished", 50)));
}

TEST(HistoryOperations, findsAJobThatRunsAfterItsCancelWasNotFound) {
  const std::vector<HistoryEvent> history{
      makeEvent(Kind::submitted, 10), makeEvent(Kind::outcomeUnknown, 20, "0", 10),
      makeEvent(Kind::cancelSubmitted, 30), makeEvent(Kind::cancelNotFound, 40, "", 30)};
  passes(with(history, makeEvent(Kind::stateObserved, 60, "missing", 50)));
  passes(with(history, makeEvent(Kind::stateObserved, 60, "cancelled", 50)));
  failsAt(60, with(history, makeEvent(Kind::stateObserved, 60, "open", 50)));
  failsAt(60, with(history, makeEvent(Kind::started, 60)));
}

TEST(HistoryOperations, anOccurrenceBelongsToItsJob) {
  HistoryEvent started = makeEvent(Kind::started, 30);
  started.job = "a@2";
  passes({makeEvent(Kind::submitted, 10), makeEvent(Kind::accepted, 20, "202", 10), started});
  failsAt(30, {makeEvent(Kind::submitted, 10), makeEvent(Kind::rejected, 20, "400", 10), started});
}

// Older histories do not record when a call was invoked, so it may have been invoked at any time
// before its answer.
TEST(HistoryOperations, callsWithoutInvocationTimeAreUnordered) {
  passes({makeEvent(Kind::started, 5), makeEvent(Kind::submitted, 20),
          makeEvent(Kind::accepted, 20, "202"), makeEvent(Kind::stateObserved, 40, "finished"),
          makeEvent(Kind::stateObserved, 41, "open")});
  const auto acknowledged = makeConfigEvent(Kind::configAcknowledged, 20, 0, "", 0, 1);
  CHECK(extractOperations({acknowledged}, {}).configurationOperations.empty());
}

TEST(HistoryOperations, checkInvariantsReportsLinearizability) {
  const auto history = with(jobHistory(), makeEvent(Kind::stateObserved, 100, "open", 90));
  const auto findings = checkInvariants(history, {}, InvariantOptions{});
  CHECK(std::any_of(findings.violations.begin(), findings.violations.end(),
                    [](const InvariantViolation& violation) {
                      return violation.rule == Invariant::linearizability;
                    }));
}
