// The lifecycle of jobs and tasks: admission, completion, retries, failure, cancellation and the
// occurrences of timetables. Used by the functions that apply events. docs/design.md 4.
#ifndef ANISELINE_STATE_JOB_LIFECYCLE_HPP
#define ANISELINE_STATE_JOB_LIFECYCLE_HPP
#include "state/attempt_control.hpp"

namespace aniseline {

class JobLifecycle {
 public:
  explicit JobLifecycle(ClusterTables& clusterTables)
      : tables(clusterTables), attempts(clusterTables) {}

  /// Adds a job, unless its id is already in use. A job that was cancelled before it arrived is
  /// added as cancelled.
  void admit(const JobSubmission& submission);
  void completeTask(Job& job, Task& task);
  /// Requeues a task after an unsuccessful attempt: not before `pause` has passed and preferably on
  /// another worker than `avoidedWorker`. If its retries are exhausted, the task and its job fail.
  /// docs/design.md 4.4.
  void requeueTask(Job& job, Task& task, const WorkerId& avoidedWorker, Duration pause);
  bool retriesExhausted(const Job& job, const Task& task) const;
  /// Fails a task that has no retries left, and its job.
  void failTask(Job& job, Task& task);
  void countFailure(Job& job, const Attempt& attempt);
  /// Completes all members of a self-assembling gang after the success of one. This includes
  /// members whose own result was void; attempts started as their replacements are stopped.
  void completeGang(Job& job, const Attempt& attempt);
  /// Stores the checkpoint of a task, or of the whole gang for a gang member. A checkpoint of an
  /// earlier run never replaces that of a later one.
  void recordCheckpoint(const Attempt& attempt, const std::string& checkpoint);
  /// Marks the job as failing: pending tasks are not started and running attempts are stopped.
  void fail(Job& job, const std::string& reason);
  void cancel(Job& job, const std::string& reason);
  /// Ends the job if none of its tasks has an open attempt and it has either succeeded or is
  /// terminating. docs/design.md 4.2.
  void completeIfFinished(Job& job);

 private:
  void addCancelled(const JobSubmission& submission);
  void complete(Job& job, JobState state);
  void onOccurrenceCompleted(const Job& occurrence);
  void cancelOccurrences(const Job& timetable, const std::string& reason);
  bool allAttemptsClosed(const Job& job, bool allSucceeded) const;
  /// Returns the task that holds failure counts and checkpoints for an attempt: for a gang, its
  /// first task.
  Task& accountedTask(Job& job, const Attempt& attempt) const;

  ClusterTables& tables;
  AttemptControl attempts;
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_JOB_LIFECYCLE_HPP
