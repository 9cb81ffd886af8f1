// The job aggregate: steps, tasks, and the plain machine of a job's states. docs/design.md 4.
#pragma once
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
struct StepNeeds {
  std::string label;  // the worker must have it
  std::string near;   // the rack that holds the data: elsewhere a task takes `far` times as long
  std::uint32_t apart = 0;  // not 0: the most tasks of the step that may be on one worker
  bool sameRack = false;   // the tasks take `far` times as long when they are on more than one rack
  bool redundant = false;  // copies of a task may run side by side; the first clean ending counts
  bool lasts = false;      // runs until the job is cancelled, and is started again however it ends
  bool saves = false;      // keeps its progress as checkpoints
  bool operator==(const StepNeeds&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& label& near& apart& sameRack& redundant& lasts& saves;
  }
};

struct StepRequest {
  std::string name;
  std::vector<std::string> after;
  bool gang = false;
  std::vector<TaskRequest> tasks;
  StepNeeds needs{};
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& name& after& gang& needs;
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
  ClusterTime first;  // milliseconds of calendar time; 0: not timed
  Duration every{0};
  std::uint32_t count = 1;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& first& every& count;
  }
};

struct JobSubmission {
  JobId id;
  QueueName queue;
  std::vector<StepRequest> steps;
  Timetable timetable;
  std::string payload;  // for every task, where the task brings none of its own
  bool timed() const { return timetable.first.milliseconds > 0; }
  Duration longestChain() const;  // of requested run times, through steps that wait on each other
  std::uint32_t digest() const { return checksum(pack(*this)); }
  // The rules that need no state: shape, sizes, cycles, unknown steps.
  std::vector<ErrorDetail> faults() const;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& id& queue& steps& timetable& payload;
  }
};

enum class TaskState : std::uint8_t { blocked, waiting, placed, done, failed, stopped };
enum class JobState : std::uint8_t { timed, open, cancelling, finished, failed, cancelled };
const char* name(TaskState state);
const char* name(JobState state);

struct Task {
  std::uint32_t step = 0;
  std::uint32_t within = 0;  // place in the step
  TaskState state = TaskState::blocked;
  std::uint32_t starts = 0;  // that count against the allowance, docs/design.md 4.4
  bool trialled = false;
  bool tried = false;     // a trial ran out: it waits for a full allocation
  AttemptNumber attempt;  // the current one, 0 if none
  ClusterTime readyAt;
  ClusterTime notBefore;
  WorkerId avoid;  // where it last failed
  bool finishedBefore =
      false;  // an earlier attempt turned out to have ended well, docs/design.md 5.5
  std::uint32_t run =
      0;  // starts of any kind so far: the number that workers know a start by. docs/design.md 4.7
  std::uint32_t failures = 0;   // runs that ended as failed; of a gang its first task counts them
  std::uint32_t failedRun = 0;  // the last run that was counted among them
  AttemptNumber twin;           // of a redundant step: a copy beside the current attempt
  std::string saved;            // the latest checkpoint known, and the run it came from
  std::uint32_t savedRun = 0;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& step& within& state& starts& trialled& tried& attempt& readyAt& notBefore& avoid&
        finishedBefore& run& failures& failedRun& twin& saved& savedRun;
  }
};

struct Job {
  JobSubmission submission;
  std::uint32_t digest = 0;
  JobState state = JobState::open;
  std::string reason;
  bool ending = false;  // failed or cancelled, but a task is still open
  ClusterTime allowedAt;
  ClusterTime endedAt;
  std::vector<Task> tasks;
  std::uint32_t fired = 0;            // occurrences of a timetable so far
  std::uint32_t occurrencesOpen = 0;  // of those, the ones not over yet
  std::uint32_t shortenedTasks =
      0;  // not 0: over, and its steps and tasks are no longer kept. docs/design.md 4.5

  bool over() const {
    return state == JobState::finished || state == JobState::failed || state == JobState::cancelled;
  }
  const TaskRequest& request(const Task& task) const {
    return submission.steps[task.step].tasks[task.within];
  }
  const StepRequest& step(const Task& task) const { return submission.steps[task.step]; }
  const std::string& payload(const Task& task) const {
    return request(task).payload.empty() ? submission.payload : request(task).payload;
  }
  // The place in `tasks` of a step's task; past the end if there is none such.
  std::size_t place(std::uint32_t step, std::uint32_t within) const;
  bool stepDone(std::uint32_t step) const;
  // Tasks whose steps before them are done become ready.
  void unblock(ClusterTime now);
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& submission& digest& state& reason& ending& allowedAt& endedAt& tasks& fired&
        occurrencesOpen& shortenedTasks;
  }
};

}  // namespace aniseline
