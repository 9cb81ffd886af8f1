// Changes the state of attempts and issues the orders about them to their workers. The effects on
// tasks and jobs are handled elsewhere (job_lifecycle.hpp, attempt_results.hpp). docs/design.md
// 5.3.
#ifndef ANISELINE_STATE_ATTEMPT_CONTROL_HPP
#define ANISELINE_STATE_ATTEMPT_CONTROL_HPP
#include "state/cluster_tables.hpp"

namespace aniseline {

/// Whether an attempt that the scheduler stops counts against its task's retry limit.
enum class RetryAccounting : std::uint8_t { counted, exempt };

class AttemptControl {
 public:
  explicit AttemptControl(ClusterTables& clusterTables) : tables(clusterTables) {}

  Order& issueOrder(OrderKind kind, const Attempt& attempt);
  /// Removes a closed attempt. If it was a trial, resumes the attempts that were suspended for it.
  void remove(AttemptNumber number);
  void suspend(Attempt& attempt, AttemptNumber trial);
  /// Orders the worker to stop the attempt, unless it is already stopping.
  void forceStop(Attempt& attempt, RetryAccounting accounting);
  /// Stops both copies of a task, except the attempt `except`.
  void stopOtherCopies(const Task& task, AttemptNumber except);
  /// Stops all attempts of a gang except `except` and abandoned ones.
  void abortGang(const JobId& job, std::uint32_t stepIndex, AttemptNumber except);

 private:
  void resumeSuspendedFor(AttemptNumber trial);
  ClusterTables& tables;
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_ATTEMPT_CONTROL_HPP
