// Tests the linearizability checker: the violations it must find, the histories it must accept, and
// that it agrees with an exhaustive search over all orders.
#include "checker/linearizability.hpp"

#include <CppUTest/TestHarness.h>

using namespace aniseline;

namespace {

using Verdict = LinearizabilityViolation::Verdict;
using Configurations = std::vector<ConfigurationModel::Operation>;
using Jobs = std::vector<JobModel::Operation>;

ConfigurationModel::Operation configuration(std::int64_t invokedAt,
                                            std::optional<std::int64_t> returnedAt) {
  ConfigurationModel::Operation made;
  made.key = "configuration";
  made.invokedAt = invokedAt;
  made.returnedAt = returnedAt;
  made.outcome = returnedAt ? OperationOutcome::ok : OperationOutcome::unknown;
  return made;
}

ConfigurationModel::Operation apply(
    std::int64_t invokedAt, std::optional<std::int64_t> returnedAt, std::uint64_t base,
    const std::string& digest,
    ConfigurationOutput::Kind answer = ConfigurationOutput::Kind::applied,
    std::uint64_t version = 0) {
  auto made = configuration(invokedAt, returnedAt);
  made.input.kind = ConfigurationInput::Kind::apply;
  made.input.order = ConfigurationOrder{version, base, digest};
  made.output.kind = answer;
  return made;
}

ConfigurationModel::Operation rejectedApply(std::int64_t invokedAt, std::int64_t returnedAt,
                                            std::uint64_t base, const std::string& digest,
                                            std::uint64_t version = 0) {
  return apply(invokedAt, returnedAt, base, digest, ConfigurationOutput::Kind::rejected, version);
}

ConfigurationModel::Operation unansweredApply(std::int64_t invokedAt, std::uint64_t base,
                                              const std::string& digest) {
  return apply(invokedAt, std::nullopt, base, digest);
}

ConfigurationModel::Operation read(std::int64_t invokedAt, std::int64_t returnedAt,
                                   std::uint64_t version, const std::string& digest) {
  auto made = configuration(invokedAt, returnedAt);
  made.output = ConfigurationOutput{ConfigurationOutput::Kind::shown, version, digest};
  return made;
}

JobModel::Operation job(JobInput::Kind asked, std::int64_t invokedAt,
                        std::optional<std::int64_t> returnedAt) {
  JobModel::Operation made;
  made.key = "job";
  made.invokedAt = invokedAt;
  made.returnedAt = returnedAt;
  made.outcome = returnedAt ? OperationOutcome::ok : OperationOutcome::unknown;
  made.input.kind = asked;
  return made;
}

JobModel::Operation submit(std::int64_t invokedAt, std::optional<std::int64_t> returnedAt,
                           JobOutput::Kind answer = JobOutput::Kind::accepted,
                           const std::string& digest = "content") {
  auto made = job(JobInput::Kind::submit, invokedAt, returnedAt);
  made.input.digest = digest;
  made.output.kind = answer;
  return made;
}

JobModel::Operation show(std::int64_t invokedAt, std::int64_t returnedAt, JobPhase phase) {
  auto made = job(JobInput::Kind::show, invokedAt, returnedAt);
  made.output.phase = phase;
  return made;
}

JobModel::Operation cancel(std::int64_t invokedAt, std::optional<std::int64_t> returnedAt,
                           JobPhase phase = JobPhase::cancellingOrEnded) {
  auto made = job(JobInput::Kind::cancel, invokedAt, returnedAt);
  made.output = JobOutput{JobOutput::Kind::acknowledged, phase};
  return made;
}

JobModel::Operation ran(std::int64_t at) {
  auto made = job(JobInput::Kind::run, at, at);
  made.output.kind = JobOutput::Kind::ran;
  return made;
}

std::optional<LinearizabilityViolation> check(const Configurations& operations) {
  return checkLinearizable(ConfigurationModel(), operations);
}
std::optional<LinearizabilityViolation> check(const Jobs& operations) {
  return checkLinearizable(JobModel(), operations);
}

template <class Operations>
void passes(const Operations& operations) {
  const auto violation = check(operations);
  if (violation)
    FAIL(violation->description.c_str());
}

// Checks that the history is not linearizable and that the last operation of the shortest prefix
// has this index.
template <class Operations>
void failsAt(std::size_t index, const Operations& operations) {
  const auto violation = check(operations);
  CHECK(violation.has_value());
  CHECK(violation->verdict == Verdict::notLinearizable);
  LONGS_EQUAL(index, violation->prefix.back());
}

}  // namespace

TEST_GROUP(Linearizability){};

TEST(Linearizability, anEmptyHistoryPasses) {
  passes(Configurations{});
  passes(Jobs{});
}

TEST(Linearizability, sequentialConfigurationsPass) {
  passes(Configurations{read(0, 1, 0, ""), apply(2, 3, 0, "a"), read(4, 5, 1, "a"),
                        apply(6, 7, 1, "b"), read(8, 9, 2, "b")});
}

TEST(Linearizability, concurrentOperationsMayTakeEffectInEitherOrder) {
  passes(Configurations{apply(0, 10, 0, "a"), read(1, 2, 0, ""), read(3, 4, 1, "a")});
  passes(Configurations{apply(0, 10, 0, "a"), read(0, 10, 1, "a"), read(0, 10, 0, "")});
  // An operation invoked at the very time at which another returns is concurrent with it.
  passes(Configurations{apply(0, 5, 0, "a"), read(5, 6, 0, "")});
}

TEST(Linearizability, findsAStaleRead) {
  failsAt(1, Configurations{apply(0, 1, 0, "a"), read(2, 3, 0, "")});
  failsAt(2, Configurations{apply(0, 10, 0, "a"), read(1, 2, 1, "a"), read(3, 4, 0, "")});
  failsAt(1, Configurations{apply(0, 1, 0, "a"), read(2, 3, 1, "b")});
}

TEST(Linearizability, findsTwoAppliedOrdersWithTheSameBase) {
  failsAt(1, Configurations{apply(0, 1, 0, "a"), apply(2, 3, 0, "b")});
  failsAt(1, Configurations{apply(0, 3, 0, "a"), apply(0, 4, 0, "b")});
}

TEST(Linearizability, anAppliedOrderIsAcknowledgedOnEveryResend) {
  passes(Configurations{apply(0, 1, 0, "a"), apply(2, 3, 0, "a")});
  // This holds also if other orders were applied since.
  passes(Configurations{apply(0, 1, 0, "a"), apply(2, 3, 1, "b"), apply(4, 5, 0, "a"),
                        read(6, 7, 2, "b")});
  passes(Configurations{unansweredApply(0, 0, "a"), apply(2, 3, 1, "b"), apply(4, 5, 0, "a")});
}

TEST(Linearizability, findsAnAppliedOrderRejectedOnResend) {
  failsAt(1, Configurations{apply(0, 1, 0, "a"), rejectedApply(2, 3, 0, "a")});
  // The answer was lost, but a later read shows that the order was applied.
  failsAt(2, Configurations{unansweredApply(0, 0, "a"), read(2, 3, 1, "a"),
                            rejectedApply(4, 5, 0, "a")});
  failsAt(2, Configurations{apply(0, 1, 0, "a"), apply(2, 3, 1, "b"), rejectedApply(4, 5, 0, "a")});
  // Only the rejection contradicts this history: no other order can have created the base of the
  // second one.
  failsAt(2, Configurations{unansweredApply(0, 0, "a"), apply(2, 3, 1, "b"),
                            rejectedApply(4, 5, 0, "a")});
}

TEST(Linearizability, findsARejectionWithoutCause) {
  passes(Configurations{apply(0, 1, 0, "a"), rejectedApply(2, 3, 0, "b")});
  failsAt(0, Configurations{rejectedApply(0, 1, 0, "a")});
  // A version that is not higher than the current one is rejected.
  passes(Configurations{apply(0, 1, 0, "a", ConfigurationOutput::Kind::applied, 7),
                        rejectedApply(2, 3, 7, "b", 7)});
  failsAt(1, Configurations{apply(0, 1, 0, "a", ConfigurationOutput::Kind::applied, 7),
                            rejectedApply(2, 3, 7, "b", 8)});
  failsAt(1, Configurations{apply(0, 1, 0, "a", ConfigurationOutput::Kind::applied, 7),
                            apply(2, 3, 7, "b", ConfigurationOutput::Kind::applied, 7)});
}

TEST(Linearizability, checksTheVersionStatedInTheAnswer) {
  auto told = apply(0, 1, 0, "a");
  told.output.version = 1;
  passes(Configurations{told});
  told.output.version = 2;
  failsAt(0, Configurations{told});
  auto refused = rejectedApply(2, 3, 0, "b");
  refused.output.version = 1;
  passes(Configurations{apply(0, 1, 0, "a"), refused});
  refused.output.version = 0;
  failsAt(1, Configurations{apply(0, 1, 0, "a"), refused});
}

TEST(Linearizability, unansweredOperationsMayTakeEffectLateOrNever) {
  passes(Configurations{unansweredApply(0, 0, "a"), read(2, 3, 0, ""), read(100, 101, 1, "a")});
  passes(Configurations{unansweredApply(0, 0, "a"), read(2, 3, 0, ""), apply(4, 5, 0, "b"),
                        read(6, 7, 1, "b")});
  // It cannot take effect twice, or before it was invoked.
  failsAt(3, Configurations{unansweredApply(0, 0, "a"), read(2, 3, 1, "a"), apply(4, 5, 1, "b"),
                            read(6, 7, 1, "a")});
  failsAt(0, Configurations{read(0, 1, 1, "a"), unansweredApply(2, 0, "a")});
}

TEST(Linearizability, reportsTheShortestRefutedPrefix) {
  const Configurations history{apply(0, 1, 0, "a"), read(2, 3, 1, "a"), read(4, 5, 0, ""),
                               read(6, 7, 1, "a"), apply(8, 9, 1, "b")};
  const auto violation = check(history);
  CHECK(violation.has_value());
  LONGS_EQUAL(3, violation->prefix.size());
  LONGS_EQUAL(2, violation->prefix.back());
  LONGS_EQUAL(5, violation->timestamp);
  STRCMP_EQUAL(
      "configuration: the first 3 operations cannot be linearized: [0, 1] apply a based on 0 -> "
      "applied; [2, 3] read -> 1 a; "
      "[4, 5] read -> 0 ",
      violation->description.c_str());
}

TEST(Linearizability, checksEachKeySeparately) {
  Configurations history{apply(0, 1, 0, "a"), read(2, 3, 0, "")};
  history[1].key = "another";
  passes(history);
  history.push_back(read(4, 5, 3, "c"));
  history.back().key = "another";
  const auto violation = check(history);
  CHECK(violation.has_value());
  STRCMP_EQUAL("another", violation->key.c_str());
}

TEST(Linearizability, aSearchThatReachesItsLimitIsUndecidedAndFails) {
  Configurations history;
  for (int index = 0; index < 12; ++index)
    history.push_back(unansweredApply(0, std::uint64_t(index % 4), "d" + std::to_string(index)));
  history.push_back(read(1, 2, 4, "none of these"));
  const auto decided = check(history);
  CHECK(decided.has_value());
  CHECK(decided->verdict == Verdict::notLinearizable);
  const auto undecided = checkLinearizable(ConfigurationModel(), history, SearchLimits{20});
  CHECK(undecided.has_value());
  CHECK(undecided->verdict == Verdict::undecided);
  // A refuted key is reported before an undecided one.
  Configurations both = history;
  both.push_back(rejectedApply(0, 1, 0, "z"));
  both.back().key = "later key";
  const auto first = checkLinearizable(ConfigurationModel(), both, SearchLimits{20});
  CHECK(first.has_value());
  STRCMP_EQUAL("later key", first->key.c_str());
}

TEST(Linearizability, aCompleteJobHistoryPasses) {
  passes(Jobs{show(0, 1, JobPhase::missing), submit(2, 3), show(4, 5, JobPhase::pending), ran(6),
              show(7, 8, JobPhase::pendingOrRunning), show(9, 10, JobPhase::running),
              show(11, 12, JobPhase::succeeded), show(13, 14, JobPhase::succeeded),
              submit(15, 16)});
  passes(Jobs{submit(0, 1), show(2, 3, JobPhase::failed)});
}

TEST(Linearizability, findsALostJob) {
  failsAt(1, Jobs{submit(0, 1), show(2, 3, JobPhase::missing)});
  failsAt(2, Jobs{submit(0, std::nullopt), ran(5), show(6, 7, JobPhase::missing)});
  failsAt(1, Jobs{submit(0, 1), cancel(2, 3, JobPhase::missing)});
  failsAt(1, Jobs{submit(0, 1), submit(2, 3, JobOutput::Kind::accepted, "other content")});
}

TEST(Linearizability, findsARejectedJobThatRan) {
  failsAt(1, Jobs{submit(0, 1, JobOutput::Kind::rejected), ran(2)});
  failsAt(1, Jobs{submit(0, 1, JobOutput::Kind::overloaded), ran(2)});
  failsAt(1, Jobs{submit(0, 1, JobOutput::Kind::rejected), show(2, 3, JobPhase::pendingOrRunning)});
  failsAt(0, Jobs{ran(2)});
  // An earlier submission without an answer may have been accepted.
  passes(Jobs{submit(0, std::nullopt), submit(1, 2, JobOutput::Kind::rejected), ran(3)});
  passes(Jobs{submit(0, 1, JobOutput::Kind::overloaded), submit(2, 3), ran(4)});
}

TEST(Linearizability, findsAnAcceptedJobRejectedOnResend) {
  failsAt(1, Jobs{submit(0, 1), submit(2, 3, JobOutput::Kind::rejected)});
  passes(Jobs{submit(0, 1), submit(2, 3, JobOutput::Kind::rejected, "other content")});
  passes(Jobs{submit(0, 1), submit(2, 3, JobOutput::Kind::overloaded)});
}

TEST(Linearizability, findsAPhaseThatGoesBackwards) {
  failsAt(2, Jobs{submit(0, 1), show(2, 3, JobPhase::succeeded),
                  show(4, 5, JobPhase::pendingOrRunning)});
  failsAt(2, Jobs{submit(0, 1), show(2, 3, JobPhase::succeeded), show(4, 5, JobPhase::failed)});
  failsAt(2, Jobs{submit(0, 1), show(2, 3, JobPhase::running), show(4, 5, JobPhase::pending)});
  failsAt(2, Jobs{submit(0, 1), ran(2), show(4, 5, JobPhase::pending)});
  passes(
      Jobs{submit(0, 1), show(2, 5, JobPhase::succeeded), show(4, 6, JobPhase::pendingOrRunning)});
}

TEST(Linearizability, onlyEndPhasesFollowACancel) {
  for (const JobPhase phase :
       {JobPhase::cancelling, JobPhase::cancelled, JobPhase::succeeded, JobPhase::failed})
    passes(Jobs{submit(0, 1), cancel(2, 3), show(4, 5, phase)});
  for (const JobPhase phase :
       {JobPhase::pending, JobPhase::running, JobPhase::pendingOrRunning, JobPhase::missing})
    failsAt(2, Jobs{submit(0, 1), cancel(2, 3), show(4, 5, phase)});
  passes(Jobs{submit(0, 1), cancel(2, 6), show(4, 5, JobPhase::pendingOrRunning)});
  passes(Jobs{submit(0, 1), show(2, 3, JobPhase::succeeded), cancel(4, 5),
              show(6, 7, JobPhase::succeeded)});
  failsAt(3, Jobs{submit(0, 1), show(2, 3, JobPhase::succeeded), cancel(4, 5),
                  show(6, 7, JobPhase::cancelled)});
  // A job reported as cancelling had not ended before.
  failsAt(2,
          Jobs{submit(0, 1), cancel(2, 3, JobPhase::cancelling), show(4, 5, JobPhase::succeeded)});
  failsAt(3, Jobs{submit(0, 1), cancel(2, 3), show(4, 5, JobPhase::cancelling),
                  show(6, 7, JobPhase::failed)});
  passes(Jobs{submit(0, 1), cancel(2, 3, JobPhase::succeeded), show(4, 5, JobPhase::succeeded)});
}

TEST(Linearizability, findsACancelledJobWithoutACancel) {
  failsAt(1, Jobs{submit(0, 1), show(2, 3, JobPhase::cancelled)});
  failsAt(1, Jobs{submit(0, 1), show(2, 3, JobPhase::cancelling)});
  passes(Jobs{submit(0, 1), cancel(2, std::nullopt), show(4, 5, JobPhase::pendingOrRunning),
              show(6, 7, JobPhase::cancelled)});
  failsAt(1, Jobs{cancel(0, 1, JobPhase::missing), show(2, 3, JobPhase::pendingOrRunning)});
}

// The model took the cancel of a missing job for an operation without effect, so it accepted that a
// submission which arrived after the cancel's acknowledgement ran.
TEST(Linearizability, cancelOfMissingJobAppliesToLaterSubmission) {
  const auto missing = cancel(2, 3, JobPhase::missing);
  passes(
      Jobs{missing, show(4, 5, JobPhase::missing), submit(6, 7), show(8, 9, JobPhase::cancelled)});
  passes(Jobs{missing, submit(4, 5), submit(6, 7), cancel(8, 9)});
  for (const JobPhase phase : {JobPhase::pending, JobPhase::running, JobPhase::pendingOrRunning,
                               JobPhase::succeeded, JobPhase::failed, JobPhase::missing})
    failsAt(2, Jobs{missing, submit(4, 5), show(6, 7, phase)});
  failsAt(2, Jobs{missing, submit(4, 5), ran(6)});
  failsAt(1, Jobs{missing, ran(4)});
  failsAt(2, Jobs{submit(0, std::nullopt), missing, ran(6)});
  // The submission and its cancel took effect in either order.
  passes(Jobs{submit(0, std::nullopt), missing, show(4, 5, JobPhase::cancelled)});
  passes(Jobs{cancel(0, std::nullopt), submit(2, 3), show(4, 5, JobPhase::cancelled)});
  passes(Jobs{cancel(0, std::nullopt), submit(2, 3), show(4, 5, JobPhase::running)});
  failsAt(3, Jobs{cancel(0, std::nullopt), submit(2, 3), show(4, 5, JobPhase::running),
                  show(6, 7, JobPhase::missing)});
}

namespace {

// Tries every order of the operations: slow but obviously correct.
template <class Model>
bool isLinearizableByEnumeration(const Model& model,
                                 const std::vector<typename Model::Operation>& operations,
                                 std::set<std::size_t> remaining,
                                 const typename Model::State& state) {
  std::int64_t earliest = std::numeric_limits<std::int64_t>::max();
  bool answeredLeft = false;
  for (const std::size_t index : remaining) {
    if (operations[index].outcome == OperationOutcome::unknown)
      continue;
    earliest = std::min(earliest, *operations[index].returnedAt);
    answeredLeft = true;
  }
  if (!answeredLeft)
    return true;
  for (const std::size_t index : remaining) {
    const auto& operation = operations[index];
    if (operation.invokedAt > earliest)
      continue;
    std::optional<typename Model::State> next = model.applyUnanswered(state, operation);
    if (operation.outcome == OperationOutcome::ok)
      next = model.apply(state, operation);
    auto rest = remaining;
    rest.erase(index);
    if (next && isLinearizableByEnumeration(model, operations, rest, *next))
      return true;
  }
  return false;
}

template <class Model>
bool isLinearizableByEnumeration(const Model& model,
                                 const std::vector<typename Model::Operation>& operations) {
  std::set<std::size_t> all;
  for (std::size_t index = 0; index < operations.size(); ++index)
    all.insert(index);
  return isLinearizableByEnumeration(model, operations, all, model.initial());
}

// Returns the history as it was when only the first `count` operations of the prefix had returned.
template <class Operations>
Operations historyAtReturn(Operations history, const std::vector<std::size_t>& prefix,
                           std::size_t count) {
  const std::set<std::size_t> returned(prefix.begin(), prefix.begin() + std::ptrdiff_t(count));
  const std::int64_t until = *history[prefix[count - 1]].returnedAt;
  for (std::size_t index = 0; index < history.size(); ++index) {
    if (!returned.count(index))
      history[index].outcome = OperationOutcome::unknown;
  }
  std::erase_if(history, [&](const auto& operation) { return operation.invokedAt > until; });
  return history;
}

struct ReferenceComparison {
  std::size_t passed = 0, failed = 0;

  template <class Model>
  void compare(const Model& model, const std::vector<typename Model::Operation>& history) {
    const auto violation = checkLinearizable(model, history);
    CHECK_EQUAL(isLinearizableByEnumeration(model, history), !violation.has_value());
    ++(violation ? failed : passed);
    if (!violation)
      return;
    CHECK(violation->verdict == Verdict::notLinearizable);
    const auto& prefix = violation->prefix;
    CHECK(!isLinearizableByEnumeration(model, historyAtReturn(history, prefix, prefix.size())));
    if (prefix.size() > 1)
      CHECK(
          isLinearizableByEnumeration(model, historyAtReturn(history, prefix, prefix.size() - 1)));
  }
};

Configurations randomConfigurations(Random& random) {
  Configurations history;
  const auto count = random.between(2, 7);
  for (std::int64_t index = 0; index < count; ++index) {
    const std::int64_t invokedAt = random.between(0, 30);
    const std::int64_t returnedAt = invokedAt + random.between(0, 14);
    const std::uint64_t version = std::uint64_t(random.between(0, 2));
    const std::string digest(1, char('a' + random.between(0, 1)));
    switch (random.between(0, 5)) {
      case 0:
        history.push_back(unansweredApply(invokedAt, version, digest));
        break;
      case 1:
        history.push_back(rejectedApply(invokedAt, returnedAt, version, digest));
        break;
      case 2:
      case 3:
        history.push_back(apply(invokedAt, returnedAt, version, digest));
        break;
      default:
        history.push_back(read(invokedAt, returnedAt, version, version ? digest : ""));
    }
  }
  return history;
}

Jobs randomJobs(Random& random) {
  static constexpr JobPhase phases[] = {JobPhase::missing, JobPhase::pendingOrRunning,
                                        JobPhase::cancelling, JobPhase::cancelled,
                                        JobPhase::succeeded};
  Jobs history{submit(0, 3)};
  const auto count = random.between(2, 6);
  for (std::int64_t index = 0; index < count; ++index) {
    const std::int64_t invokedAt = random.between(0, 30);
    const std::int64_t returnedAt = invokedAt + random.between(0, 14);
    switch (random.between(0, 6)) {
      case 0:
        history.push_back(submit(invokedAt, std::nullopt));
        break;
      case 1:
        history.push_back(
            submit(invokedAt, returnedAt,
                   random.chance(0.8) ? JobOutput::Kind::accepted : JobOutput::Kind::rejected));
        break;
      case 2:
        history.push_back(
            cancel(invokedAt, random.chance(0.5) ? std::optional(returnedAt) : std::nullopt));
        break;
      case 3:
        history.push_back(ran(invokedAt));
        break;
      default:
        history.push_back(show(invokedAt, returnedAt, phases[random.next() % 5]));
    }
  }
  return history;
}

}  // namespace

TEST(Linearizability, agreesWithExhaustiveSearchForConfigurations) {
  Random random(11);
  ReferenceComparison comparison;
  for (int trial = 0; trial < 4000; ++trial)
    comparison.compare(ConfigurationModel(), randomConfigurations(random));
  CHECK(comparison.passed > 200);
  CHECK(comparison.failed > 200);
}

TEST(Linearizability, agreesWithExhaustiveSearchForJobs) {
  Random random(12);
  ReferenceComparison comparison;
  for (int trial = 0; trial < 4000; ++trial)
    comparison.compare(JobModel(), randomJobs(random));
  CHECK(comparison.passed > 200);
  CHECK(comparison.failed > 200);
}
