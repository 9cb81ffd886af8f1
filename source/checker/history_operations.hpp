// Makes operations for the linearizability checker of what callers, operators and workers
// witnessed, and checks them. A call that was asked but never answered, or answered as unknown,
// stays an operation whose outcome is unknown.
#ifndef ANISELINE_CHECKER_HISTORY_OPERATIONS_HPP
#define ANISELINE_CHECKER_HISTORY_OPERATIONS_HPP
#include "checker/linearizability.hpp"
#include "checker/history.hpp"

namespace aniseline {

struct HistoryOperationsOptions {
  std::int64_t clockSlackMs = 0;                 // ms that a worker's word of a start may be late
  std::int64_t finishedRetentionMs = 3'600'000;  // ms for which a job that is over is surely kept
  std::size_t retainedJobsLimit = 300'000;       // jobs of which none is forgotten earlier
  SearchLimits searchLimits;
};

struct HistoryOperations {
  std::vector<ConfigurationModel::Operation> configurationOperations;  // of one key
  std::vector<JobModel::Operation> jobOperations;                      // a key for each job
};

// The key of every operation upon the configuration.
extern const char* const configurationKey;

// What a history in the order of its times holds of operations. Of a job only those asked for
// before it could have been forgotten, counted from the first of them; of its starts the first. A
// job of which no submission was observed, and a configuration of which no order was, can't be
// judged and have none.
HistoryOperations extractOperations(const std::vector<HistoryEvent>& history,
                                    const HistoryOperationsOptions& options);

// Every key of the history that is not linearizable or was not decided.
std::vector<LinearizabilityViolation> findViolations(const std::vector<HistoryEvent>& history,
                                                     const HistoryOperationsOptions& options,
                                                     SearchStatistics* statistics = nullptr);

}  // namespace aniseline

#endif  // ANISELINE_CHECKER_HISTORY_OPERATIONS_HPP
