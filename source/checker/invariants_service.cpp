// Configs, service, and operations in one order: rules 11, 12 and 19. docs/design.md 11.
#include "checker/history_operations.hpp"
#include "checker/invariant_checker.hpp"

namespace aniseline {

namespace {

constexpr std::int64_t configReaches = 2000;     // ms until a config is in force everywhere
constexpr std::int64_t serviceReturns = 12'000;  // ms from being whole to the first answer

}  // namespace

void InvariantChecker::configAcknowledged(const HistoryEvent& witness) {
  if (witness.version <= lastConfig)
    broken(11, witness.at,
           "config " + std::to_string(witness.version) + " was acknowledged after " +
               std::to_string(lastConfig));
  lastConfig = witness.version;
  configs.emplace_back(witness.at, witness.version);
}

// A process that is cut off can't know; what the leader answers is judged always.
void InvariantChecker::configSeen(const HistoryEvent& witness) {
  const bool judged =
      witness.detail == "the leader" || !disturbedWithin(witness.at - configReaches, witness.at);
  for (const auto& [at, version] : configs)
    if (judged && at + configReaches + options.slack < witness.at && version > witness.version)
      return broken(11, witness.at,
                    "config " + std::to_string(witness.version) + " is in force at " +
                        witness.detail + " long after " + std::to_string(version) +
                        " was acknowledged");
  auto& seen = seenConfig[witness.detail];
  if (witness.version < seen)
    broken(11, witness.at, "config slipped back at " + witness.detail);
  seen = witness.version;
}

void InvariantChecker::served(const HistoryEvent& witness) {
  if (wholeSince && witness.at - *wholeSince > serviceReturns + options.slack)
    broken(12, witness.at,
           "service returned only after " + std::to_string(witness.at - *wholeSince) +
               " ms of being whole");
  wholeSince.reset();
}

// What no later line can show: things that never came.
void InvariantChecker::judgeSilence(std::int64_t end) {
  if (wholeSince)
    broken(12, end,
           "service was never seen again after all was whole, " +
               std::to_string(end - *wholeSince) + " ms before the history ends");
  for (auto& [id, job] : jobs) {
    judgeJob(id, job, end);
    judgeEndings(id, job);
    judgeGangs(id, job, end);
  }
}

// Whether all that was answered fits one order of taking effect. One that was not decided is no
// pass.
void InvariantChecker::judgeOperations() {
  HistoryOperationsOptions operations;
  operations.slack = options.slack;
  operations.keepFinished = options.keepFinished;
  operations.keepLimit = options.keepLimit;
  for (const auto& violation : findViolations(history, operations, &found.searched))
    broken(19, violation.at, violation.text);
}

}  // namespace aniseline
