// The job aggregate: steps, tasks, and the plain machine of a job's states. docs/design.md 4.
#pragma once
#include "setup.hpp"

namespace aniseline {

struct TaskRequest {
    std::uint32_t cores = 1;
    std::uint64_t memory = 1;  // MB
    Span runtime{1000};
    std::string payload;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & cores & memory & runtime & payload; }
};

struct StepRequest {
    std::string name;
    std::vector<std::string> after;
    bool gang = false;
    std::vector<TaskRequest> tasks;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & name & after & gang & tasks; }
};

struct Timetable {
    ClusterTime first;  // milliseconds of calendar time; 0: not timed
    Span every{0};
    std::uint32_t count = 1;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & first & every & count; }
};

struct JobSubmission {
    JobId id;
    QueueName queue;
    std::vector<StepRequest> steps;
    Timetable timetable;
    bool timed() const { return timetable.first.milliseconds > 0; }
    std::uint32_t digest() const { return checksum(pack(*this)); }
    // The rules that need no state: shape, sizes, cycles, unknown steps.
    std::vector<ErrorDetail> faults() const;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & id & queue & steps & timetable; }
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
    bool tried = false;  // a trial ran out: it waits for a full allocation
    AttemptNumber attempt;  // the current one, 0 if none
    ClusterTime readyAt;
    ClusterTime notBefore;
    MinionId avoid;  // where it last failed
    bool finishedBefore = false;  // an earlier attempt turned out to have ended well, docs/design.md 5.5
    template <class Archive> void serialize(Archive& archive, unsigned) {
        archive & step & within & state & starts & trialled & tried & attempt & readyAt & notBefore & avoid & finishedBefore;
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
    std::uint32_t fired = 0;  // occurrences of a timetable so far
    std::uint32_t shortenedTasks = 0;  // not 0: over, and its steps and tasks are no longer kept. docs/design.md 4.5

    bool over() const { return state == JobState::finished || state == JobState::failed || state == JobState::cancelled; }
    const TaskRequest& request(const Task& task) const { return submission.steps[task.step].tasks[task.within]; }
    bool stepDone(std::uint32_t step) const;
    // Tasks whose steps before them are done become ready.
    void unblock(ClusterTime now);
    template <class Archive> void serialize(Archive& archive, unsigned) {
        archive & submission & digest & state & reason & ending & allowedAt & endedAt & tasks & fired & shortenedTasks;
    }
};

}  // namespace aniseline
