// Configs, service, and operations in one order: rules 11, 12 and 19. docs/design.md 11.
#include "checker/history_operations.hpp"
#include "checker/invariant_checker.hpp"

namespace aniseline {

namespace {

constexpr std::int64_t configReaches = 2000;     // ms until a config is in force everywhere
constexpr std::int64_t serviceReturns = 12'000;  // ms from being whole to the first answer

}  // namespace

void InvariantChecker::checkOrder(const HistoryEvent& witness) {
  if (auto fault = configOrders.observe(witness))
    reportViolation(11, witness.timestamp, *fault);
}

void InvariantChecker::onConfigAcknowledged(const HistoryEvent& witness) {
  checkOrder(witness);
  acknowledgedConfigs.emplace_back(witness.timestamp, witness.version);
}

// A process that is cut off can't know; what the leader answers is judged always.
void InvariantChecker::onConfigObserved(const HistoryEvent& witness) {
  const bool judged = witness.detail == "the leader" ||
                      !hadFaultWithin(witness.timestamp - configReaches, witness.timestamp);
  for (const auto& [at, version] : acknowledgedConfigs)
    if (judged && at + configReaches + options.clockSlackMs < witness.timestamp &&
        version > witness.version)
      return reportViolation(11, witness.timestamp,
                             "config " + std::to_string(witness.version) + " is in force at " +
                                 witness.detail + " long after " + std::to_string(version) +
                                 " was acknowledged");
  auto& seen = observedConfigs[witness.detail];
  if (witness.version < seen)
    reportViolation(11, witness.timestamp, "config slipped back at " + witness.detail);
  seen = witness.version;
}

void InvariantChecker::onServiceRestored(const HistoryEvent& witness) {
  if (healedAt && witness.timestamp - *healedAt > serviceReturns + options.clockSlackMs)
    reportViolation(12, witness.timestamp,
                    "service returned only after " + std::to_string(witness.timestamp - *healedAt) +
                        " ms of being whole");
  healedAt.reset();
}

// What no later line can show: things that never came.
void InvariantChecker::checkAtEndOfHistory(std::int64_t end) {
  if (healedAt)
    reportViolation(12, end,
                    "service was never seen again after all was whole, " +
                        std::to_string(end - *healedAt) + " ms before the history ends");
  for (auto& [id, job] : jobs) {
    checkJobAtEnd(id, job, end);
    checkOutcomes(id, job);
    checkGangs(id, job, end);
  }
}

// Whether all that was answered fits one order of taking effect. One that was not decided is no
// pass.
void InvariantChecker::checkLinearizability() {
  HistoryOperationsOptions operations;
  operations.clockSlackMs = options.clockSlackMs;
  operations.finishedRetentionMs = options.finishedRetentionMs;
  operations.retainedJobsLimit = options.retainedJobsLimit;
  for (const auto& violation : findViolations(history, operations, &report.searchStatistics))
    reportViolation(19, violation.timestamp, violation.description);
}

}  // namespace aniseline
