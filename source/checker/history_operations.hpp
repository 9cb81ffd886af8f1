// Converts the events observed by clients, operators and workers into operations for the
// linearizability checker, and checks them. A call that was never answered, or whose answer did not
// state the outcome, becomes an operation with an unknown outcome.
#ifndef ANISELINE_CHECKER_HISTORY_OPERATIONS_HPP
#define ANISELINE_CHECKER_HISTORY_OPERATIONS_HPP
#include "checker/linearizability.hpp"
#include "checker/history.hpp"

namespace aniseline {

struct HistoryOperationsOptions {
  std::int64_t clockSlackMs = 0;  // ms by which a worker's report of a start may be late
  // ms for which an ended job is guaranteed to be kept
  std::int64_t finishedRetentionMs = 3'600'000;
  std::size_t retainedJobsLimit = 300'000;  // up to this number of jobs, none is removed earlier
  SearchLimits searchLimits;
};

struct HistoryOperations {
  std::vector<ConfigurationModel::Operation> configurationOperations;  // all under configurationKey
  std::vector<JobModel::Operation> jobOperations;                      // one key per job
};

// The key of all operations on the configuration.
extern const char* const configurationKey;

// Extracts the operations from a history that is ordered by time. For each job only the operations
// before it could have been removed are returned, counted from the first of them, and only the
// first of its starts. A job without an observed submission, and a configuration without an
// observed order, cannot be checked and yield no operations.
HistoryOperations extractOperations(const std::vector<HistoryEvent>& history,
                                    const HistoryOperationsOptions& options);

// Returns every key of the history that is not linearizable or for which the search was undecided.
std::vector<LinearizabilityViolation> findViolations(const std::vector<HistoryEvent>& history,
                                                     const HistoryOperationsOptions& options,
                                                     SearchStatistics* statistics = nullptr);

}  // namespace aniseline

#endif  // ANISELINE_CHECKER_HISTORY_OPERATIONS_HPP
