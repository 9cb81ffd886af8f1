// Applies the result of an attempt, or its abandonment, to its task, its job and the failure score
// of its worker. Used by the functions that apply events. docs/design.md 4.4, 5.5, 5.6.
#ifndef ANISELINE_STATE_ATTEMPT_RESULTS_HPP
#define ANISELINE_STATE_ATTEMPT_RESULTS_HPP
#include "state/job_lifecycle.hpp"

namespace aniseline {

class AttemptResults {
 public:
  explicit AttemptResults(ClusterTables& clusterTables)
      : tables(clusterTables), attempts(clusterTables), jobs(clusterTables) {}

  /// Closes an attempt with its result. Does nothing for an attempt that is already closed, since
  /// workers resend results until they are confirmed.
  void close(AttemptNumber number, AttemptOutcome outcome);
  /// Abandons an attempt that its worker is assumed to have lost or to keep suspended indefinitely:
  /// the task may be placed again, while the attempt keeps its worker's resources until its result
  /// is known. docs/design.md 5.5.
  void abandon(AttemptNumber number);

 private:
  /// Returns the requirements of the attempt's step, or null if its job is no longer kept.
  const StepRequirements* requirementsOf(const Attempt& attempt) const;
  AttemptOutcome effectiveOutcome(const Attempt& attempt, AttemptOutcome outcome) const;
  bool stopReplacement(const Attempt& attempt);
  void updateFailureScore(const Task& task, const Attempt& attempt, AttemptOutcome outcome);
  void reducePenaltyOfEarlierWorker(const Task& task, const Attempt& attempt);
  bool continueWithOtherCopy(Job& job, Task& task, const Attempt& attempt, AttemptOutcome outcome);
  void onSucceeded(Job& job, Task& task, const Attempt& attempt);
  void onQuantumExpired(Job& job, Task& task);
  void onUnsuccessful(Job& job, Task& task, const Attempt& attempt, AttemptOutcome outcome);
  Duration retryPause(const Job& job, const Task& task) const;

  ClusterTables& tables;
  AttemptControl attempts;
  JobLifecycle jobs;
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_ATTEMPT_RESULTS_HPP
