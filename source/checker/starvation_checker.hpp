// Rule 20: work does not wait where there is room for it. For three calm seconds a job has nothing
// running although the turn of a task has come and its workers have room for two of them; of
// long-running tasks the same holds for each by itself, from six seconds after its last run.
// Judged on workers that are called, and that have not failed work over and over lately: a
// scheduler may keep its distance from these. Owned by InvariantChecker, which passes in each event
// of the history in order. docs/design.md 11, docs/paper.md 5.
#ifndef ANISELINE_CHECKER_STARVATION_CHECKER_HPP
#define ANISELINE_CHECKER_STARVATION_CHECKER_HPP
#include "checker/invariants.hpp"
#include <functional>

namespace aniseline {

class StarvationChecker {
 public:
  /// No fault in that span of the history, in ms?
  using FaultFreeQuery = std::function<bool(std::int64_t from, std::int64_t to)>;

  /// The submissions and the options must outlive the checker.
  StarvationChecker(const std::map<std::string, JobSubmission>& submissions,
                    const InvariantOptions& options, FaultFreeQuery isFaultFree)
      : submissions(submissions), options(options), isFaultFree(std::move(isFaultFree)) {}

  /// Takes the next event and returns what it shows to have waited in vain. Each wait is told once.
  std::vector<InvariantViolation> observe(const HistoryEvent& event);

 private:
  // What a worker has, and what its open runs take of it.
  struct WorkerUsage {
    HistoryEvent capacity;
    std::int64_t cores = 0;   // thousandths
    std::int64_t memory = 0;  // MB
    std::int64_t accelerators = 0;
    bool draining = false;
    std::vector<std::int64_t> failuresAt;  // ms, ascending
  };
  // Names one run, also of a job that is no longer judged: its room stays taken.
  struct RunKey {
    std::string worker, job;
    std::uint32_t task = 0;
    std::string attempt;
    auto operator<=>(const RunKey&) const = default;
  };
  using OpenRuns = std::map<RunKey, TaskRequest>;
  struct TaskProgress {
    std::size_t openRuns = 0;
    bool succeeded = false;
    std::size_t starts = 0;
    std::size_t failures = 0;
    std::int64_t eligibleSince = 0;  // ms; of a long-running task six seconds after its last run
  };
  struct JobProgress {
    const JobSubmission* submission = nullptr;
    std::int64_t dueAt = 0;                  // ms
    std::optional<std::int64_t> acceptedAt;  // ms; its first task may start before that is seen
    std::vector<TaskProgress> tasks;
    std::optional<std::int64_t> starvedSince;
    std::map<std::uint32_t, std::int64_t> starvedTasksSince;  // long-running ones, by index
    bool reported = false;
  };

  void onSubmitted(const HistoryEvent& event);
  void onAccepted(const HistoryEvent& event);
  void onStarted(const HistoryEvent& event);
  void onEnded(const HistoryEvent& event);
  void onWorkerLost(const HistoryEvent& event);
  void apply(const HistoryEvent& event);
  void recordSuccess(const HistoryEvent& event);
  OpenRuns::iterator closeRun(OpenRuns::iterator run, std::int64_t at);
  void addUsage(const std::string& worker, const TaskRequest& request, std::int64_t sign);
  // Null for a job that is not judged.
  TaskProgress* findTask(const std::string& job, std::uint32_t taskIndex);
  void addJob(const std::string& id, const JobSubmission& submission, std::int64_t dueAt);
  void removeJob(const std::string& submittedId);

  void check(const std::string& id, JobProgress& job, std::int64_t at,
             std::vector<InvariantViolation>& violations) const;
  void updateStarvation(JobProgress& job, std::int64_t at) const;
  void updateLongRunningStarvation(JobProgress& job, std::int64_t at) const;
  bool isStartDue(const JobProgress& job, std::int64_t at) const;
  // Does its tenant hold less than half of its cap?
  bool tenantHasRoom(const JobProgress& job) const;
  bool dependenciesSucceeded(const JobProgress& job, const StepRequest& step) const;
  bool mayStillStart(const JobProgress& job, const TaskProgress& task) const;
  bool hasRoomForTwoCopies(const JobProgress& job, const StepRequest& step,
                           const TaskRequest& request, std::int64_t at) const;

  const std::map<std::string, JobSubmission>& submissions;
  const InvariantOptions& options;
  FaultFreeQuery isFaultFree;
  std::map<std::string, WorkerUsage> workers;
  OpenRuns openRuns;
  std::map<std::string, JobProgress> openJobs;  // occurrences by their own ids
  std::set<std::string> closedJobs;             // ended or cancelled, by the ids of submissions
};

}  // namespace aniseline

#endif  // ANISELINE_CHECKER_STARVATION_CHECKER_HPP
