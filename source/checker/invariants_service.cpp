// Configs, service, and operations in one order: rules 11, 12 and 19. docs/design.md 11.
#include "checker/history_operations.hpp"
#include "checker/invariant_checker.hpp"

namespace aniseline {

namespace {

constexpr std::int64_t configPropagationMs = 2000;  // ms until a config is in force everywhere
constexpr std::int64_t serviceRecoveryMs = 12'000;  // ms from being whole to the first answer

}  // namespace

void InvariantChecker::checkConfigOrder(const HistoryEvent& event) {
  if (auto violation = configOrders.observe(event))
    reportViolation(Invariant::configurationOrder, event.timestamp, *violation);
}

void InvariantChecker::onConfigAcknowledged(const HistoryEvent& event) {
  checkConfigOrder(event);
  acknowledgedConfigs.emplace_back(event.timestamp, event.version);
}

// A process that is cut off can't know; what the leader answers is judged always.
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
                    "config slipped back at " + event.detail);
  seen = event.version;
}

void InvariantChecker::onServiceRestored(const HistoryEvent& event) {
  if (healedAt && event.timestamp - *healedAt > serviceRecoveryMs + options.clockSlackMs)
    reportViolation(Invariant::serviceRecovery, event.timestamp,
                    "service returned only after " + std::to_string(event.timestamp - *healedAt) +
                        " ms of being whole");
  healedAt.reset();
}

// What no later line can show: things that never came.
void InvariantChecker::checkAtEndOfHistory(std::int64_t end) {
  if (healedAt)
    reportViolation(Invariant::serviceRecovery, end,
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
  HistoryOperationsOptions operationsOptions;
  operationsOptions.clockSlackMs = options.clockSlackMs;
  operationsOptions.finishedRetentionMs = options.finishedRetentionMs;
  operationsOptions.retainedJobsLimit = options.retainedJobsLimit;
  for (const auto& violation : findViolations(history, operationsOptions, &report.searchStatistics))
    reportViolation(Invariant::linearizability, violation.timestamp, violation.description);
}

}  // namespace aniseline
