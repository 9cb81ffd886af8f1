// Jobs: what is submitted, and the states that a job and its tasks go through.
// docs/design.md 4.
#ifndef ANISELINE_STATE_JOB_HPP
#define ANISELINE_STATE_JOB_HPP
#include "state/cluster_config.hpp"

namespace aniseline {

/// Work: thousandths of a core times milliseconds of requested runtime. Large requests exceed 64
/// bits.
using CoreMilliseconds = double;

struct TaskRequest {
  std::uint32_t cores = 1;   // thousandths of a core
  std::uint64_t memory = 1;  // MB
  Duration runtime{1000};    // estimated by the submitter
  std::string payload;       // empty: the job's
  std::uint32_t accelerators = 0;
  CoreMilliseconds work() const { return double(cores) * double(runtime.milliseconds); }
  bool operator==(const TaskRequest&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& cores& memory& runtime& payload& accelerators;
  }
};

/// Where the tasks of a step may or should run, and how. docs/design.md 4.6.
struct StepRequirements {
  std::string requiredLabel;  // empty: any worker
  // The rack that holds the data: elsewhere a task takes `remoteSlowdown` times
  // as long.
  std::string preferredRack;
  std::uint32_t maxPerWorker = 0;  // tasks of the step on one worker at a time; 0: no limit
  // The tasks take `remoteSlowdown` times as long when they are on more than
  // one rack.
  bool sameRack = false;
  bool redundant = false;     // copies of a task may run side by side; the first success counts
  bool longRunning = false;   // runs until the job is cancelled; restarted however it ends
  bool checkpointed = false;  // saves its progress as checkpoints
  bool operator==(const StepRequirements&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& requiredLabel& preferredRack& maxPerWorker& sameRack& redundant& longRunning&
        checkpointed;
  }
};

struct StepRequest {
  // Tasks of a step that are read at most for one run of equal ones: far past
  // what is valid.
  static constexpr std::uint32_t maxEqualTasks = 100'000;

  std::string name;
  std::vector<std::string> dependencies;  // names of steps that must succeed first
  bool gang = false;                      // its tasks run at the same time or not at all
  std::vector<TaskRequest> tasks;
  StepRequirements requirements{};
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& name& dependencies& gang& requirements;
    // Equal tasks in a row are written once, with their count: a step of a
    // thousand is as short as one of two.
    std::vector<std::pair<std::uint32_t, TaskRequest>> runs;
    if constexpr (Archive::is_saving::value)
      runs = runsOfEqualTasks();
    archive& runs;
    if constexpr (Archive::is_loading::value) {
      tasks.clear();
      for (const auto& [count, task] : runs)
        tasks.insert(tasks.end(), std::min(count, maxEqualTasks), task);
    }
  }

 private:
  std::vector<std::pair<std::uint32_t, TaskRequest>> runsOfEqualTasks() const;
};

/// Fires a job again and again. Calendar time.
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
  JobId id;
  QueueName queue;
  std::vector<StepRequest> steps;
  Timetable timetable;
  std::string payload;  // of every task that has none of its own
  TenantName tenant;    // set by the leader, from the key; empty: of no tenant
  bool hasTimetable() const { return timetable.firstStart.milliseconds > 0; }
  /// The longest sum of requested run times along steps that depend on each
  /// other.
  Duration criticalPath() const;
  /// Tells apart submissions of the same id.
  std::uint32_t digest() const { return checksum(pack(*this)); }
  /// Violations of the rules that need no state: shape, sizes, cycles, unknown
  /// steps.
  std::vector<ErrorDetail> validate() const;
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
  std::uint32_t countedStarts = 0;  // against the retry limit. docs/design.md 4.4
  bool trialStarted = false;
  bool trialExpired = false;     // its trial was not enough: it waits for a full allocation
  AttemptNumber currentAttempt;  // 0: none
  ClusterTime readyAt;
  ClusterTime notBefore;
  WorkerId avoidedWorker;  // where it failed last
  // An earlier attempt turned out to have succeeded. docs/design.md 5.5.
  bool succeededEarlier = false;
  // Starts of any kind so far; workers know a start by this number.
  // docs/design.md 4.7.
  std::uint32_t runNumber = 0;
  std::uint32_t failureCount = 0;   // runs that failed; a gang's are counted by its first task
  std::uint32_t lastFailedRun = 0;  // the last run that was counted among them
  AttemptNumber redundantAttempt;   // of a redundant step: a copy beside the
                                    // current attempt
  std::string checkpoint;           // the latest one
  std::uint32_t checkpointRun = 0;  // the run that it came from
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& stepIndex& indexInStep& state& countedStarts& trialStarted& trialExpired&
        currentAttempt& readyAt& notBefore& avoidedWorker& succeededEarlier& runNumber&
            failureCount& lastFailedRun& redundantAttempt& checkpoint& checkpointRun;
  }
};

struct Job {
  JobSubmission submission;
  std::uint32_t digest = 0;  // of the submission
  JobState state = JobState::active;
  std::string reason;        // why it failed or was cancelled
  bool terminating = false;  // it will fail or be cancelled, but an attempt of it is still open
  ClusterTime admittedAt;
  ClusterTime endedAt;
  std::vector<Task> tasks;  // of all steps, in the order of the submission
  std::uint32_t firedOccurrences = 0;
  std::uint32_t openOccurrences = 0;  // of those fired
  // Not 0: the job is in a terminal state, and its steps and tasks are no
  // longer kept. docs/design.md 4.5.
  std::uint32_t compactedTaskCount = 0;

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
  /// The index in `tasks` of a step's task; the size of `tasks` if there is
  /// none.
  std::size_t taskIndexOf(std::uint32_t stepIndex, std::uint32_t indexInStep) const;
  /// Of the tasks that wait for a start or for another step.
  CoreMilliseconds workToStart() const;
  bool isStepComplete(std::uint32_t stepIndex) const;
  /// Fills `tasks` from the submission; to be called once.
  void addTasks();
  /// Tasks whose step's dependencies have succeeded become pending.
  void releaseReadyTasks(ClusterTime now);
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& submission& digest& state& reason& terminating& admittedAt& endedAt& tasks&
        firedOccurrences& openOccurrences& compactedTaskCount;
  }
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_JOB_HPP
