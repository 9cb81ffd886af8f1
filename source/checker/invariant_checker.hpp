// Replays a history and checks the rules of invariants.hpp. The rules are grouped by subject, with
// one invariants_*.cpp file per group. docs/design.md 11.
#ifndef ANISELINE_CHECKER_INVARIANT_CHECKER_HPP
#define ANISELINE_CHECKER_INVARIANT_CHECKER_HPP
#include "checker/config_order_checker.hpp"
#include "checker/invariants.hpp"
#include "checker/starvation_checker.hpp"

namespace aniseline {

// One run of a task on one worker, as observed by that worker.
struct ObservedRun {
  std::string worker, attempt;
  std::int64_t startedAt = 0;
  std::optional<std::int64_t> endedAt;
  bool active = false;  // neither suspended nor ended
  // The intervals in which it was active. The last one is unbounded while the run is active.
  std::vector<std::pair<std::int64_t, std::int64_t>> activeIntervals;
  void pause(std::int64_t at) {
    if (active)
      activeIntervals.back().second = at;
    active = false;
  }
  void resume(std::int64_t at) {
    if (!active)
      activeIntervals.emplace_back(at, std::numeric_limits<std::int64_t>::max());
    active = true;
  }
  void end(std::int64_t at, std::string how) {
    pause(at);
    endedAt = at;
    outcome = std::move(how);
  }
  std::int64_t activeTimeUntil(std::int64_t at) const {
    std::int64_t sum = 0;
    for (const auto& [from, to] : activeIntervals)
      sum += std::max<std::int64_t>(0, std::min(to, at) - from);
    return sum;
  }
  std::string outcome;
  bool trial = false;
  // `executedLate`: started by an order that was carried out late.
  bool onCalledWorker = false, executedLate = false;
  // When the leader recorded its result, with no lease expired before that.
  std::optional<std::int64_t> confirmedAt;
  std::uint32_t cores = 0, accelerators = 0;
  std::uint64_t memory = 0;
};
struct TaskHistory {
  std::vector<ObservedRun> runs;
  std::optional<std::int64_t> succeededAt;  // the task finished successfully
  // Its worker learned that the leader recorded the success.
  std::optional<std::int64_t> confirmedAt;
};
struct JobHistory {
  std::optional<std::int64_t> acceptedAt, cancelledAt;
  std::optional<std::int64_t> finishedShownAt;
  std::size_t submissions = 0, rejections = 0;
  bool ended = false, waitExplained = false;
  std::map<std::uint32_t, TaskHistory> tasks;
};

class InvariantChecker {
 public:
  InvariantChecker(std::vector<HistoryEvent> given,
                   const std::map<std::string, JobSubmission>& submissions,
                   const InvariantOptions& options);
  CheckReport check();

 private:
  // The index of a step, and of a task within it.
  using TaskPosition = std::pair<std::uint32_t, std::uint32_t>;
  // The time in ms for a cancel to reach every worker and for the worker to stop the task.
  static constexpr std::int64_t cancelGraceMs = 3400;
  static constexpr std::int64_t cancelAnswerMs = 4000;
  // The longest lease, plus an order in transit and the stop itself.
  static constexpr std::int64_t longestLeaseMs = 12'000;

  void reportViolation(Invariant rule, std::int64_t at, std::string text);
  void reportUnavoidableViolation(Invariant rule, std::int64_t at, std::string text);

  // --- replay of the history: invariants.cpp ---
  void findFaultIntervals();
  void observe(const HistoryEvent& event);

  // --- lookups in the current state: invariants_lookups.cpp ---
  bool hadFaultWithin(std::int64_t from, std::int64_t to) const;
  bool ignoresLeases(const std::string& worker) const;
  bool isCalled(const std::string& worker) const;
  const JobSubmission* findSubmission(const std::string& id) const;
  const StepRequest* findStep(const std::string& id, std::uint32_t task) const;
  ObservedRun* findOpenRun(const HistoryEvent& event);
  static std::string describeTask(const std::string& job, std::uint32_t task);
  static TaskPosition positionOf(const JobSubmission& job, std::uint32_t task);
  static std::uint32_t firstTaskOfStep(const JobSubmission& job, std::uint32_t step);
  // Returns the range of tasks that succeed and fail together with this task, as first and
  // past-the-last index: its gang, or only the task itself.
  static std::pair<std::uint32_t, std::uint32_t> gangRangeOf(const JobSubmission& submission,
                                                             std::uint32_t task);
  // Calls `use` for the runs of all members of the gang in this attempt. In a gang whose members
  // wait for each other, the result of one member applies to all.
  void forEachGangMember(const std::string& id, JobHistory& job, std::uint32_t task,
                         const std::string& attempt,
                         const std::function<void(TaskHistory&, ObservedRun&)>& use);

  // --- jobs as clients see them, rules 2 to 5 and 21: invariants_jobs.cpp ---
  void onAccepted(const HistoryEvent& event);
  void onCancelSubmitted(const HistoryEvent& event);
  void onCancelAcknowledged(const HistoryEvent& event);
  void checkCancelsAnsweredBy(std::int64_t at);
  void onStateObserved(const HistoryEvent& event);
  void checkShownFinished(const HistoryEvent& event, JobHistory& job);
  void checkAllTasksSucceeded(const HistoryEvent& event, const std::string& id,
                              const JobSubmission& submission);
  void checkStoppedAfterCancel(const JobHistory& job, const std::string& taskText,
                               const ObservedRun& run, std::int64_t at);
  void checkJobAtEnd(const std::string& id, JobHistory& job, std::int64_t end);

  // --- runs on workers, rules 1, 5 to 7, 9 and 10: invariants_runs.cpp ---
  void onStarted(const HistoryEvent& event);
  void checkNoConcurrentRuns(const HistoryEvent& event, const TaskHistory& task,
                             const std::string& taskText);
  void checkNoRerunAfterSuccess(const HistoryEvent& event, const TaskHistory& task,
                                const std::string& taskText);
  void checkDependencies(const HistoryEvent& event, JobHistory& job,
                         const JobSubmission& submission, const std::string& taskText);
  void checkPrecedingStepDone(const HistoryEvent& event, JobHistory& job,
                              const JobSubmission& submission, std::uint32_t step,
                              const std::string& taskText);
  void checkTimetable(const HistoryEvent& event, const JobSubmission& submission,
                      const std::string& taskText);
  void checkRetryLimit(const HistoryEvent& event, const TaskHistory& task,
                       const JobSubmission& submission, const std::string& taskText);
  void checkRerunBeforeConfirmation(const HistoryEvent& event, const TaskHistory& task,
                                    const std::string& taskText);
  void onSuspended(const HistoryEvent& event);
  void onResumed(const HistoryEvent& event);
  void onEnded(const HistoryEvent& event);
  void closeRun(const HistoryEvent& event, const JobHistory& job, ObservedRun& run);
  void onResultConfirmed(const HistoryEvent& event);
  void onWorkerLost(const HistoryEvent& event);
  void onCapacityReported(const HistoryEvent& event);
  void checkCapacity(const HistoryEvent& event);

  // --- gangs, rule 8: invariants_gangs.cpp ---
  void checkGangs(const std::string& id, JobHistory& job, std::int64_t end);
  void checkGangRunsTogether(const std::string& id, JobHistory& job,
                             const JobSubmission& submission, std::uint32_t step, std::int64_t end);

  // --- called workers, rules 13 to 18: invariants_called.cpp, invariants_failures.cpp ---
  void checkStartOnCalledWorker(const HistoryEvent& event, JobHistory& job,
                                const std::string& taskText);
  void checkPlacement(const HistoryEvent& event, JobHistory& job, const JobSubmission& submission,
                      std::uint32_t step, const std::string& taskText);
  void checkCheckpoint(const HistoryEvent& event, const std::string& owner, bool gang,
                       const std::string& taskText);
  void checkStartTime(const HistoryEvent& event, const JobHistory& job,
                      const std::string& taskText);
  static std::string checkpointOwnerOf(const std::string& job, std::uint32_t task,
                                       const StepRequest& request, std::uint32_t step);
  void onCheckpointed(const HistoryEvent& event);
  void checkOutcomes(const std::string& id, JobHistory& job);
  void checkSuccesses(const std::string& id, JobHistory& job, std::uint32_t index,
                      const StepRequest& step);
  void checkNoRunAfterSuccess(const std::string& taskText, const TaskHistory& task,
                              const ObservedRun& finishedRun, std::int64_t recordedAt,
                              bool redundant);
  void checkAttemptLimit(const std::string& id, const JobHistory& job, std::uint32_t index,
                         const StepRequest& step);
  std::size_t countFailuresBefore(const JobHistory& job, std::uint32_t first, std::uint32_t after,
                                  const ObservedRun& run, bool redundant) const;
  void checkShownFailed(const HistoryEvent& event, const JobSubmission& submission);
  static std::size_t maxFailures(const JobHistory& job, const JobSubmission& submission);
  bool fitsKnownWorkers(const JobSubmission& submission, const StepRequest& step) const;

  // --- configurations and service, rules 11, 12 and 19: invariants_service.cpp ---
  void checkConfigOrder(const HistoryEvent& event);
  void onConfigAcknowledged(const HistoryEvent& event);
  void onConfigObserved(const HistoryEvent& event);
  void onServiceRestored(const HistoryEvent& event);
  void checkAtEndOfHistory(std::int64_t end);
  void checkLinearizability();

  std::vector<HistoryEvent> history;
  const std::map<std::string, JobSubmission>& submissions;
  const InvariantOptions& options;
  std::map<std::string, JobHistory> jobs;
  std::map<std::string, std::int64_t> drainingSince;
  std::map<std::string, HistoryEvent> capacities;
  // By checkpoint: the task or gang that owns it.
  std::map<std::string, std::string> checkpointOwners;
  // By gang and attempt: the checkpoint that its members resume from.
  std::map<std::pair<std::string, std::string>, std::string> gangCheckpoints;
  std::vector<std::pair<std::int64_t, std::uint64_t>> acknowledgedConfigs;
  std::map<std::string, std::uint64_t> observedConfigs;
  ConfigOrderChecker configOrders;
  StarvationChecker starvation;
  std::optional<std::int64_t> healedAt, quiescentAt;
  std::map<std::string, std::int64_t> unansweredCancels;  // by job: time of the first request, ms
  std::map<std::string, std::int64_t> workersLostAt;
  std::vector<std::pair<std::int64_t, std::int64_t>> faultIntervals;
  CheckReport report;
};

}  // namespace aniseline

#endif  // ANISELINE_CHECKER_INVARIANT_CHECKER_HPP
