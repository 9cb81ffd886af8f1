// Checks rule 20: no task waits while there is room for it. A job starves if for three seconds
// without a fault nothing of it runs although a task of it could start and its eligible workers
// have room for two copies of that task. For long-running tasks the same applies to each task
// separately, from six seconds after its last run. Only called workers without repeated recent
// failures count, because a scheduler may avoid the others. Owned by InvariantChecker, which passes
// each event of the history in order. docs/design.md 11, docs/paper.md 5.
#ifndef ANISELINE_CHECKER_STARVATION_CHECKER_HPP
#define ANISELINE_CHECKER_STARVATION_CHECKER_HPP
#include "checker/invariants.hpp"
#include <functional>

namespace aniseline {

class StarvationChecker {
 public:
  /// Reports whether no fault was active from `from` to `to`, in ms of the history.
  using FaultFreeQuery = std::function<bool(std::int64_t from, std::int64_t to)>;

  /// The submissions and the options must outlive the checker.
  StarvationChecker(const std::map<std::string, JobSubmission>& submissions,
                    const InvariantOptions& options, FaultFreeQuery isFaultFree)
      : submissions(submissions), options(options), isFaultFree(std::move(isFaultFree)) {}

  /// Processes the next event and returns the starvation it shows. Each job is reported once.
  std::vector<InvariantViolation> observe(const HistoryEvent& event);

 private:
  // The capacity of a worker, and how much of it its open runs use.
  struct WorkerUsage {
    HistoryEvent capacity;
    std::int64_t cores = 0;   // thousandths
    std::int64_t memory = 0;  // MB
    std::int64_t accelerators = 0;
    bool draining = false;
    std::vector<std::int64_t> failuresAt;  // ms, ascending
  };
  // Identifies a run. Runs of jobs that are no longer checked are kept, because they still use
  // capacity.
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
    // In ms; for a long-running task six seconds after its last run.
    std::int64_t eligibleSince = 0;
  };
  struct JobProgress {
    const JobSubmission* submission = nullptr;
    std::int64_t dueAt = 0;  // ms
    // In ms; its first task may start before the acceptance is observed.
    std::optional<std::int64_t> acceptedAt;
    std::vector<TaskProgress> tasks;
    std::optional<std::int64_t> starvedSince;
    std::map<std::uint32_t, std::int64_t> starvedTasksSince;  // long-running tasks by index
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
  // Returns null for a job that is not checked.
  TaskProgress* findTask(const std::string& job, std::uint32_t taskIndex);
  void addJob(const std::string& id, const JobSubmission& submission, std::int64_t dueAt);
  void removeJob(const std::string& submittedId);

  void check(const std::string& id, JobProgress& job, std::int64_t at,
             std::vector<InvariantViolation>& violations) const;
  void updateStarvation(JobProgress& job, std::int64_t at) const;
  void updateLongRunningStarvation(JobProgress& job, std::int64_t at) const;
  bool isStartDue(const JobProgress& job, std::int64_t at) const;
  // Reports whether the tenant of the job uses less than half of its cap.
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
  std::map<std::string, JobProgress> openJobs;  // occurrences are stored under their own ids
  std::set<std::string> closedJobs;             // ended or cancelled, by id of the submission
};

}  // namespace aniseline

#endif  // ANISELINE_CHECKER_STARVATION_CHECKER_HPP
