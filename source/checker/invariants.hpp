// Checks a history of what clients, operators and workers observed against the rules that the
// cluster must never violate. A pure function, called by history_check, the simulator and the
// drills. docs/design.md 11.
#ifndef ANISELINE_CHECKER_INVARIANTS_HPP
#define ANISELINE_CHECKER_INVARIANTS_HPP
#include "checker/history.hpp"
#include "checker/linearizability.hpp"

namespace aniseline {

// The rules that every history must satisfy. Programs print their numbers, which docs/design.md 11
// lists. Rules 13 to 18 concern called workers: those that an agent calls, instead of workers that
// sync with the leader directly.
enum class Invariant : std::uint8_t {
  atMostOneRun = 1,      // no task runs twice at the same time, or again after a confirmed success
  acceptedJobsKept = 2,  // no accepted job is lost
  rejectedJobsNeverRun = 3,  // no task runs of a job whose submissions were all rejected
  finishedOnlyWhenDone = 4,  // no job is shown as finished while one of its tasks is unfinished
  cancelledJobsStop = 5,     // no task of a cancelled job starts or keeps running
  // No step starts before its dependencies, no occurrence before its scheduled time.
  startOrder = 6,
  retryLimit = 7,             // no task starts more often than its queue allows
  gangsRunTogether = 8,       // no member of a gang keeps running without the others
  noStartWhileDraining = 9,   // no task starts on a draining worker
  workerCapacity = 10,        // no worker is assigned more than its capacity
  configurationOrder = 11,    // configurations take effect once and in order in every process
  serviceRecovery = 12,       // service resumes soon after all faults have ended
  placementConstraints = 13,  // pool, label and number of tasks of a step per worker
  attemptLimit = 14,  // no start once the number of failed attempts reaches the limit of the queue
  startsAsRequested = 15,  // only submitted tasks start, with their own payload and checkpoint
  gangsAssemble = 16,      // no member of a gang waits in vain for the other members
  noStartAfterDrainAcknowledged = 17,
  failuresHaveCause = 18,    // no job is shown as failed without a cause
  linearizability = 19,      // some order of the operations explains all answers
  noStarvation = 20,         // no task waits for seconds while there is room for it
  cancelsAcknowledged = 21,  // a cancel is answered within seconds unless there is a fault
  apiKeysInForce = 22,       // an API key is valid exactly if a configuration in force contains it
  tenantCaps = 23,           // no task of a tenant starts while the tenant exceeds its cap
  oneCluster = 24,           // all controllers store the state of the same cluster
};
constexpr int number(Invariant rule) {
  return int(rule);
}

struct InvariantViolation {
  Invariant rule;
  std::int64_t timestamp = 0;  // in ms on the clock of the history
  std::string description;
};
// The result of checking a history. Violations that no scheduler could have avoided are listed
// separately, each with its cause: docs/promises.md.
struct CheckReport {
  std::vector<InvariantViolation> violations;
  std::vector<InvariantViolation> unavoidableViolations;
  SearchStatistics searchStatistics;  // of the linearizability check
};

struct InvariantOptions {
  // Limits by queue. Queues that limit failed attempts instead of retries are in the second map.
  std::map<std::string, std::uint32_t> retriesByQueue;
  std::map<std::string, std::uint32_t> maxAttemptsByQueue;
  // By queue: the pools that any configuration assigned to it. Placement is not checked for a queue
  // that is missing here.
  std::map<std::string, std::set<std::string>> poolsByQueue;
  // Ended jobs are kept for this time in ms, up to this number of jobs.
  std::int64_t finishedRetentionMs = 3'600'000;
  std::size_t retainedJobsLimit = 300'000;
  // The tenant by id of the submission, and by tenant the lowest cap that any configuration set.
  // Tasks of a tenant that uses half of its lowest cap or more may wait.
  std::map<std::string, TenantName> tenantByJob{};
  std::map<TenantName, TenantCap> lowestCaps{};
  // MB of each worker that only trials may use; no other task can rely on them.
  std::int64_t reservedTrialMemory = 0;
  // The time in ms by which the clock reading of an observer may be late.
  std::int64_t clockSlackMs = 300;
  // Ids of the clusters of which any controller has stored state; rule 24 is checked by them.
  std::set<ClusterId> storedClusters{};
};

// Checks the history against all rules. `submissions` are those recorded by the clients; they
// define the steps and gangs of each job.
CheckReport checkInvariants(std::vector<HistoryEvent> history,
                            const std::map<std::string, JobSubmission>& submissions,
                            const InvariantOptions& options);

}  // namespace aniseline

#endif  // ANISELINE_CHECKER_INVARIANTS_HPP
