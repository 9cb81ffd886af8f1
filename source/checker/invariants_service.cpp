// Checks configurations, service recovery and linearizability: rules 11, 12 and 19.
// docs/design.md 11.
#include "checker/history_operations.hpp"
#include "checker/invariant_checker.hpp"

namespace aniseline {

namespace {

// The time in ms until a configuration is in force in every process.
constexpr std::int64_t configPropagationMs = 2000;
// The time in ms from the end of all faults to the first answer.
constexpr std::int64_t serviceRecoveryMs = 12'000;

}  // namespace

void InvariantChecker::checkConfigOrder(const HistoryEvent& event) {
  if (auto violation = configOrders.observe(event))
    reportViolation(Invariant::configurationOrder, event.timestamp, *violation);
}

void InvariantChecker::onConfigAcknowledged(const HistoryEvent& event) {
  checkConfigOrder(event);
  acknowledgedConfigs.emplace_back(event.timestamp, event.version);
}

// A disconnected process cannot know the newest version, so it is not checked during a fault. What
// the leader answers is always checked.
void InvariantChecker::onConfigObserved(const HistoryEvent& event) {
  const bool judged = event.detail == "the leader" ||
                      !hadFaultWithin(event.timestamp - configPropagationMs, event.timestamp);
  for (const auto& [at, version] : acknowledgedConfigs)
    if (judged && at + configPropagationMs + options.clockSlackMs < event.timestamp &&
        version > event.version)
      return reportViolation(Invariant::configurationOrder, event.timestamp,
                             "config " + std::to_string(event.version) + " is in force at " +
                                 event.detail + " long after " + std::to_string(version) +
                                 " was acknowledged");
  auto& seen = observedConfigs[event.detail];
  if (event.version < seen)
    reportViolation(Invariant::configurationOrder, event.timestamp,
                    "the config version went back at " + event.detail);
  seen = event.version;
}

void InvariantChecker::onServiceRestored(const HistoryEvent& event) {
  if (healedAt && event.timestamp - *healedAt > serviceRecoveryMs + options.clockSlackMs)
    reportViolation(Invariant::serviceRecovery, event.timestamp,
                    "service resumed only " + std::to_string(event.timestamp - *healedAt) +
                        " ms after all faults had ended");
  healedAt.reset();
}

// Checks for events that are missing at the end of the history.
void InvariantChecker::checkAtEndOfHistory(std::int64_t end) {
  if (healedAt)
    reportViolation(Invariant::serviceRecovery, end,
                    "service was never observed again after all faults had ended, " +
                        std::to_string(end - *healedAt) + " ms before the end of the history");
  for (auto& [id, job] : jobs) {
    checkJobAtEnd(id, job, end);
    checkOutcomes(id, job);
    checkGangs(id, job, end);
  }
}

// Checks whether one order of the operations explains all answers. An undecided search counts as a
// violation.
void InvariantChecker::checkLinearizability() {
  HistoryOperationsOptions operationsOptions;
  operationsOptions.clockSlackMs = options.clockSlackMs;
  operationsOptions.finishedRetentionMs = options.finishedRetentionMs;
  operationsOptions.retainedJobsLimit = options.retainedJobsLimit;
  for (const auto& violation : findViolations(history, operationsOptions, &report.searchStatistics))
    reportViolation(Invariant::linearizability, violation.timestamp, violation.description);
}

}  // namespace aniseline
