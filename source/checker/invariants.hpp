// Checks a history of what callers, operators and workers observed against the rules that the
// cluster must never break. A pure function: called by history_check, the simulator's campaigns and
// the drills. docs/design.md 11.
#ifndef ANISELINE_CHECKER_INVARIANTS_HPP
#define ANISELINE_CHECKER_INVARIANTS_HPP
#include "checker/history.hpp"
#include "checker/linearizability.hpp"

namespace aniseline {

// The rules that a history has to keep. Their numbers are printed by the programs and stand in
// docs/design.md 11; rules from 13 to 18 are about workers that are called.
enum class Invariant : std::uint8_t {
  atMostOneRun = 1,          // no task runs twice at once, or again after a confirmed success
  acceptedJobsKept = 2,      // no accepted job is forgotten
  rejectedJobsNeverRun = 3,  // nothing runs of a job whose every submission was rejected
  finishedOnlyWhenDone = 4,  // no job is shown as finished while a task of it is open
  cancelledJobsStop = 5,     // nothing of a cancelled job starts or runs on
  startOrder = 6,        // no step starts before its dependencies, no occurrence before its time
  retryLimit = 7,        // no task starts more often than its queue allows
  gangsRunTogether = 8,  // no member of a gang runs on without the others
  noStartWhileDraining = 9,   // nothing starts on a draining worker
  workerCapacity = 10,        // no worker is given more than it holds
  configurationOrder = 11,    // configurations take effect once, in order, in every process
  serviceRecovery = 12,       // service is back soon after the cluster is healed
  placementConstraints = 13,  // pool, label and tasks of a step on one worker
  attemptLimit = 14,          // no start after as many failed attempts as the queue allows
  startsAsRequested = 15,     // only what was asked for starts, with its payload and checkpoint
  gangsAssemble = 16,         // no member of a gang waits in vain for the others
  noStartAfterDrainAcknowledged = 17,
  failuresHaveCause = 18,    // no job is shown as failed without a cause
  linearizability = 19,      // all answers fit one order of taking effect
  noStarvation = 20,         // nothing waits for seconds while there is room for it
  cancelsAcknowledged = 21,  // while nothing is broken a cancel is answered within seconds
  apiKeysInForce = 22,       // keys are known and unknown as a configuration in force has it
  tenantCaps = 23,           // nothing of a tenant starts that is above its cap
};
constexpr int number(Invariant rule) {
  return int(rule);
}

struct InvariantViolation {
  Invariant rule;
  std::int64_t timestamp = 0;  // ms, on the history's clock
  std::string description;
};
// What a history shows. Violations that no scheduler could have avoided are counted apart, each
// with its cause: docs/promises.md.
struct CheckReport {
  std::vector<InvariantViolation> violations;
  std::vector<InvariantViolation> unavoidableViolations;
  SearchStatistics searchStatistics;  // of the search for linearizations
};

struct InvariantOptions {
  // By queue. Queues that limit failed attempts instead of retries are in the second map.
  std::map<std::string, std::uint32_t> retriesByQueue;
  std::map<std::string, std::uint32_t> maxAttemptsByQueue;
  // By queue: the pools that any configuration sent it to. A queue that is missing is not checked.
  std::map<std::string, std::set<std::string>> poolsByQueue;
  // Jobs that have ended are kept for so many ms, up to so many jobs.
  std::int64_t finishedRetentionMs = 3'600'000;
  std::size_t retainedJobsLimit = 300'000;
  // By the ids of submissions, and by tenant the lowest cap that any configuration gave it: work of
  // a tenant with half of that in use may wait.
  std::map<std::string, TenantName> tenantByJob{};
  std::map<TenantName, TenantCap> lowestCaps{};
  // MB of each worker that only trials may use: no room for anything else.
  std::int64_t reservedTrialMemory = 0;
  // How many ms late an observer's own reading of the clock may be.
  std::int64_t clockSlackMs = 300;
};

// The submissions are those of the callers' history; they carry what a job's steps and gangs are.
CheckReport checkInvariants(std::vector<HistoryEvent> history,
                            const std::map<std::string, JobSubmission>& submissions,
                            const InvariantOptions& options);

}  // namespace aniseline

#endif  // ANISELINE_CHECKER_INVARIANTS_HPP
