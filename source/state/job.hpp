// The job aggregate: steps, tasks, and the plain machine of a job's states. docs/design.md 4.
#ifndef ANISELINE_STATE_JOB_HPP
#define ANISELINE_STATE_JOB_HPP
#include "state/cluster_config.hpp"

namespace aniseline {

struct TaskRequest {
  std::uint32_t cores = 1;   // thousandths of a core
  std::uint64_t memory = 1;  // MB
  Duration runtime{1000};
  std::string payload;
  std::uint32_t accelerators = 0;
  bool operator==(const TaskRequest&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& cores& memory& runtime& payload& accelerators;
  }
};

// What a step asks of the places its tasks run on, and how they run. docs/design.md 4.6.
struct StepRequirements {
  std::string requiredLabel;  // the worker must have it
  std::string
      preferredRack;  // the rack that holds the data: elsewhere a task takes `far` times as long
  std::uint32_t maxPerWorker = 0;  // not 0: the most tasks of the step that may be on one worker
  bool sameRack = false;   // the tasks take `far` times as long when they are on more than one rack
  bool redundant = false;  // copies of a task may run side by side; the first clean ending counts
  bool longRunning =
      false;  // runs until the job is cancelled, and is started again however it ends
  bool checkpointed = false;  // keeps its progress as checkpoints
  bool operator==(const StepRequirements&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& requiredLabel& preferredRack& maxPerWorker& sameRack& redundant& longRunning&
        checkpointed;
  }
};

struct StepRequest {
  std::string name;
  std::vector<std::string> dependencies;
  bool gang = false;
  std::vector<TaskRequest> tasks;
  StepRequirements requirements{};
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& name& dependencies& gang& requirements;
    // Tasks that are alike stand once, with their count: a step of a thousand is as short as one of
    // two.
    std::vector<std::pair<std::uint32_t, TaskRequest>> runs;
    if constexpr (Archive::is_saving::value)
      for (const auto& task : tasks) {
        if (!runs.empty() && runs.back().second == task)
          ++runs.back().first;
        else
          runs.emplace_back(1, task);
      }
    archive& runs;
    if constexpr (Archive::is_loading::value) {
      tasks.clear();
      for (const auto& [count, task] : runs)
        tasks.insert(tasks.end(), std::min<std::uint32_t>(count, 100'000), task);
    }
  }
};

struct Timetable {
  ClusterTime firstStart;  // milliseconds of calendar time; 0: not timed
  Duration interval{0};
  std::uint32_t count = 1;
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
  std::string payload;  // for every task, where the task brings none of its own
  bool hasTimetable() const { return timetable.firstStart.milliseconds > 0; }
  Duration criticalPath() const;  // of requested run times, through steps that wait on each other
  std::uint32_t digest() const { return checksum(pack(*this)); }
  // The rules that need no state: shape, sizes, cycles, unknown steps.
  std::vector<ErrorDetail> validate() const;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& id& queue& steps& timetable& payload;
  }
};

enum class TaskState : std::uint8_t { blocked, pending, placed, succeeded, failed, stopped };
enum class JobState : std::uint8_t { scheduled, active, cancelling, succeeded, failed, cancelled };
const char* name(TaskState state);
const char* name(JobState state);

struct Task {
  std::uint32_t stepIndex = 0;
  std::uint32_t indexInStep = 0;  // place in the step
  TaskState state = TaskState::blocked;
  std::uint32_t countedStarts = 0;  // that count against the allowance, docs/design.md 4.4
  bool trialStarted = false;
  bool trialExpired = false;     // a trial ran out: it waits for a full allocation
  AttemptNumber currentAttempt;  // the current one, 0 if none
  ClusterTime readyAt;
  ClusterTime notBefore;
  WorkerId avoidedWorker;  // where it last failed
  bool succeededEarlier =
      false;  // an earlier attempt turned out to have ended well, docs/design.md 5.5
  std::uint32_t runNumber =
      0;  // starts of any kind so far: the number that workers know a start by. docs/design.md 4.7
  std::uint32_t failureCount =
      0;  // runs that ended as failed; of a gang its first task counts them
  std::uint32_t lastFailedRun = 0;  // the last run that was counted among them
  AttemptNumber redundantAttempt;   // of a redundant step: a copy beside the current attempt
  std::string checkpoint;           // the latest checkpoint known, and the run it came from
  std::uint32_t checkpointRun = 0;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& stepIndex& indexInStep& state& countedStarts& trialStarted& trialExpired&
        currentAttempt& readyAt& notBefore& avoidedWorker& succeededEarlier& runNumber&
            failureCount& lastFailedRun& redundantAttempt& checkpoint& checkpointRun;
  }
};

struct Job {
  JobSubmission submission;
  std::uint32_t digest = 0;
  JobState state = JobState::active;
  std::string reason;
  bool terminating = false;  // failed or cancelled, but a task is still open
  ClusterTime admittedAt;
  ClusterTime endedAt;
  std::vector<Task> tasks;
  std::uint32_t firedOccurrences = 0;  // occurrences of a timetable so far
  std::uint32_t openOccurrences = 0;   // of those, the ones not over yet
  std::uint32_t compactedTaskCount =
      0;  // not 0: over, and its steps and tasks are no longer kept. docs/design.md 4.5

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
  // The place in `tasks` of a step's task; past the end if there is none such.
  std::size_t taskIndexOf(std::uint32_t step, std::uint32_t within) const;
  bool isStepComplete(std::uint32_t step) const;
  // Tasks whose steps before them are done become ready.
  void releaseReadyTasks(ClusterTime now);
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& submission& digest& state& reason& terminating& admittedAt& endedAt& tasks&
        firedOccurrences& openOccurrences& compactedTaskCount;
  }
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_JOB_HPP
