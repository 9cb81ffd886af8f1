// Jobs: the submission, and the states of a job and its tasks. docs/design.md 4.
#ifndef ANISELINE_STATE_JOB_HPP
#define ANISELINE_STATE_JOB_HPP
#include "state/cluster_config.hpp"

namespace aniseline {

/// An amount of work: thousandths of a core times milliseconds of requested run time. Large
/// requests exceed 64 bits.
using CoreMilliseconds = double;

struct TaskRequest {
  std::uint32_t cores = 1;   // thousandths of a core
  std::uint64_t memory = 1;  // MB
  Duration runtime{1000};    // run time as estimated by the submitter
  std::string payload;       // empty: the payload of the job is used
  std::uint32_t accelerators = 0;
  CoreMilliseconds work() const { return double(cores) * double(runtime.milliseconds); }
  bool operator==(const TaskRequest&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& cores& memory& runtime& payload& accelerators;
  }
};

/// Placement constraints and execution options of a step. docs/design.md 4.6.
struct StepRequirements {
  std::string requiredLabel;  // empty: any worker
  // The rack that holds the data; on other racks a task takes `remoteSlowdown` times as long.
  std::string preferredRack;
  std::uint32_t maxPerWorker = 0;  // most tasks of the step on one worker at a time; 0: no limit
  // Tasks that are spread over several racks take `remoteSlowdown` times as long.
  bool sameRack = false;
  bool redundant = false;     // copies of a task may run in parallel; the first success counts
  bool longRunning = false;   // runs until the job is cancelled; restarted whatever its outcome
  bool checkpointed = false;  // saves its progress in checkpoints
  bool operator==(const StepRequirements&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& requiredLabel& preferredRack& maxPerWorker& sameRack& redundant& longRunning&
        checkpointed;
  }
};

struct StepRequest {
  // The maximum number of tasks read for one step; more than a valid submission may have, so that
  // an oversized one is still recognised.
  static constexpr std::size_t maxTasksRead = 2001;

  std::string name;
  std::vector<std::string> dependencies;  // names of steps that must succeed first
  bool gang = false;                      // its tasks run all at the same time or not at all
  std::vector<TaskRequest> tasks;
  StepRequirements requirements{};
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& name& dependencies& gang& requirements;
    // Consecutive equal tasks are written once, with their count, so that a step of a thousand
    // equal tasks takes no more space than one of two.
    std::vector<std::pair<std::uint32_t, TaskRequest>> runs;
    if constexpr (Archive::is_saving::value)
      runs = runsOfEqualTasks();
    archive& runs;
    if constexpr (Archive::is_loading::value) {
      tasks.clear();
      for (const auto& [count, task] : runs)
        tasks.insert(tasks.end(), std::min<std::size_t>(count, maxTasksRead - tasks.size()), task);
    }
  }

 private:
  std::vector<std::pair<std::uint32_t, TaskRequest>> runsOfEqualTasks() const;
};

/// Starts a job periodically, at calendar times. Each start is an occurrence, a job of its own.
struct Timetable {
  ClusterTime firstStart;  // 0: no timetable
  Duration interval{0};
  std::uint32_t count = 1;  // occurrences
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& firstStart& interval& count;
  }
};

struct JobSubmission {
  static constexpr std::size_t maxSteps = 64;
  static constexpr std::size_t maxTasks = 2000;  // in all steps

  JobId id;
  QueueName queue;
  std::vector<StepRequest> steps;
  Timetable timetable;
  std::string payload;  // the default for tasks that have no payload of their own
  TenantName tenant;    // set by the leader from the API key; empty: no tenant
  bool hasTimetable() const { return timetable.firstStart.milliseconds > 0; }
  /// Returns the largest sum of requested run times along any chain of dependent steps.
  Duration criticalPath() const;
  /// Returns the number of tasks of all steps.
  std::uint32_t taskCount() const;
  /// Returns a checksum that distinguishes submissions with the same id.
  std::uint32_t digest() const { return checksum(pack(*this)); }
  /// Returns the violations of all rules that can be checked without cluster state: format, sizes,
  /// cycles, unknown steps.
  std::vector<ErrorDetail> validate() const;
  /// Reports whether a submission may have this id.
  static bool isValidId(const JobId& id);
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& id& queue& steps& timetable;
    serializeTextWithSection(archive, payload, tenant);
  }
};

enum class TaskState : std::uint8_t { blocked, pending, placed, succeeded, failed, stopped };
enum class JobState : std::uint8_t { scheduled, active, cancelling, succeeded, failed, cancelled };
const char* name(TaskState state);
const char* name(JobState state);

struct Task {
  std::uint32_t stepIndex = 0;
  std::uint32_t indexInStep = 0;
  TaskState state = TaskState::blocked;
  std::uint32_t countedStarts = 0;  // starts that count against the retry limit. docs/design.md 4.4
  bool trialStarted = false;
  bool trialExpired = false;     // its trial was too short: it waits for a full allocation
  AttemptNumber currentAttempt;  // 0: none
  ClusterTime readyAt;
  ClusterTime notBefore;
  WorkerId avoidedWorker;  // the worker on which it failed last
  // An earlier attempt, already replaced, was reported as succeeded. docs/design.md 5.5.
  bool succeededEarlier = false;
  // The number of starts of any kind so far. Workers identify a start by this number.
  // docs/design.md 4.7.
  std::uint32_t runNumber = 0;
  std::uint32_t failureCount = 0;   // failed runs; those of a gang are counted on its first task
  std::uint32_t lastFailedRun = 0;  // the last run counted in `failureCount`
  // In a redundant step: a copy that runs beside the current attempt.
  AttemptNumber redundantAttempt;
  std::string checkpoint;           // the latest checkpoint
  std::uint32_t checkpointRun = 0;  // the run that saved `checkpoint`
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& stepIndex& indexInStep& state& countedStarts& trialStarted& trialExpired&
        currentAttempt& readyAt& notBefore& avoidedWorker& succeededEarlier& runNumber&
            failureCount& lastFailedRun& redundantAttempt& checkpoint& checkpointRun;
  }
};

struct Job {
  JobSubmission submission;
  std::uint32_t digest = 0;  // checksum of the submission
  JobState state = JobState::active;
  std::string reason;        // why it failed or was cancelled
  bool terminating = false;  // it will fail or be cancelled once its open attempts are closed
  ClusterTime admittedAt;
  ClusterTime endedAt;
  std::vector<Task> tasks;  // tasks of all steps, in the order of the submission
  std::uint32_t firedOccurrences = 0;
  std::uint32_t openOccurrences = 0;  // fired occurrences that have not ended
  // Not 0: the job is in a terminal state and its steps and tasks have been discarded; this is
  // their number. docs/design.md 4.5.
  std::uint32_t compactedTaskCount = 0;
  // This job's part of ClusterTables::estimatedJobBytes. Derived, not serialized.
  std::uint64_t countedBytes = 0;

  bool isTerminal() const {
    return state == JobState::succeeded || state == JobState::failed ||
           state == JobState::cancelled;
  }
  const TaskRequest& requestOf(const Task& task) const {
    return submission.steps[task.stepIndex].tasks[task.indexInStep];
  }
  const StepRequest& stepOf(const Task& task) const { return submission.steps[task.stepIndex]; }
  const std::string& payloadOf(const Task& task) const {
    return requestOf(task).payload.empty() ? submission.payload : requestOf(task).payload;
  }
  /// Returns the index in `tasks` of a task of a step, or the size of `tasks` if there is no such
  /// task.
  std::size_t taskIndexOf(std::uint32_t stepIndex, std::uint32_t indexInStep) const;
  /// Returns the work of all tasks that are pending or blocked.
  CoreMilliseconds workToStart() const;
  bool isStepComplete(std::uint32_t stepIndex) const;
  /// Fills `tasks` from the submission. Must be called only once.
  void addTasks();
  /// Makes blocked tasks pending if all dependencies of their step have succeeded.
  void releaseReadyTasks(ClusterTime now);
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& submission& digest& state& reason& terminating& admittedAt& endedAt& tasks&
        firedOccurrences& openOccurrences& compactedTaskCount;
  }
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_JOB_HPP
