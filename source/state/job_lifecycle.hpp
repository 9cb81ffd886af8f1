// The life of a job and its tasks: admission, completion, retries, failure,
// cancellation and the occurrences of timetables. Used by the functions that
// apply events. docs/design.md 4.
#ifndef ANISELINE_STATE_JOB_LIFECYCLE_HPP
#define ANISELINE_STATE_JOB_LIFECYCLE_HPP
#include "state/attempt_control.hpp"

namespace aniseline {

class JobLifecycle {
 public:
  explicit JobLifecycle(ClusterTables& given) : tables(given), attempts(given) {}

  /// Adds a job, unless its id is taken.
  void admit(const JobSubmission& submission);
  void completeTask(Job& job, Task& task);
  /// After an attempt that came to nothing: the task waits again, not before
  /// `pause` has passed and preferably elsewhere; or, with its retries
  /// exhausted, it fails and its job with it. docs/design.md 4.4.
  void requeueTask(Job& job, Task& task, const WorkerId& avoidedWorker, Duration pause);
  bool retriesExhausted(const Job& job, const Task& task) const;
  /// Fails a task for which no retry is left, and its job.
  void failTask(Job& job, Task& task);
  void countFailure(Job& job, const Attempt& attempt);
  /// The members of a gang that assembles itself succeed together: one success
  /// counts for all, also where another member's own result was void, and
  /// whatever was started in a member's place is stopped.
  void completeGang(Job& job, const Attempt& attempt);
  /// A checkpoint belongs to its task, or to the whole gang; that of an earlier
  /// run never replaces that of a later one.
  void recordCheckpoint(const Attempt& attempt, const std::string& checkpoint);
  /// The job will fail: what is pending does not start, and what runs is
  /// stopped.
  void fail(Job& job, const std::string& reason);
  void cancel(Job& job, const std::string& reason);
  /// Ends the job if no task of it is open anywhere. docs/design.md 4.2.
  void completeIfFinished(Job& job);

 private:
  void complete(Job& job, JobState state);
  void onOccurrenceCompleted(const Job& occurrence);
  void cancelOccurrences(const Job& timetable, const std::string& reason);
  bool allAttemptsClosed(const Job& job, bool allSucceeded) const;
  /// Of a gang its first task keeps what belongs to all.
  Task& accountedTask(Job& job, const Attempt& attempt) const;

  ClusterTables& tables;
  AttemptControl attempts;
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_JOB_LIFECYCLE_HPP
