// The checker of invariants, which plays a history through: what it keeps, and its rules by
// subject. Its parts stand in invariants_*.cpp. docs/design.md 11.
#pragma once
#include "checker/invariants.hpp"

namespace aniseline {

// One run of a task on one worker, as its worker witnessed it.
struct Run {
  std::string worker, attempt;
  std::int64_t startedAt = 0;
  std::optional<std::int64_t> endedAt;
  bool active = false;  // neither held nor ended
  std::vector<std::pair<std::int64_t, std::int64_t>>
      spans;  // in which it ran, the last one open while it runs
  void pause(std::int64_t at) {
    if (active)
      spans.back().second = at;
    active = false;
  }
  void resume(std::int64_t at) {
    if (!active)
      spans.emplace_back(at, std::numeric_limits<std::int64_t>::max());
    active = true;
  }
  void end(std::int64_t at, std::string how) {
    pause(at);
    endedAt = at;
    ending = std::move(how);
  }
  std::int64_t activeBy(std::int64_t at) const {
    std::int64_t sum = 0;
    for (const auto& [from, to] : spans)
      sum += std::max<std::int64_t>(0, std::min(to, at) - from);
    return sum;
  }
  std::string ending;
  bool trial = false;
  bool called = false,
       late = false;  // on a worker that is called; begun by an order carried out late
  std::optional<std::int64_t> notedAt;  // its ending was taken note of, with no lapse before that
  std::uint32_t cores = 0, accelerators = 0;
  std::uint64_t memory = 0;
};
struct TaskHistory {
  std::vector<Run> runs;
  std::optional<std::int64_t> finishedAt;   // the work ended well
  std::optional<std::int64_t> confirmedAt;  // and its worker knows that the centre knows
};
struct JobHistory {
  std::optional<std::int64_t> acceptedAt, cancelledAt;
  std::optional<std::int64_t> finishedShownAt;
  std::size_t submissions = 0, rejections = 0;
  bool over = false, explained = false;
  std::map<std::uint32_t, TaskHistory> tasks;
};

class InvariantChecker {
 public:
  InvariantChecker(std::vector<HistoryEvent> given,
                   const std::map<std::string, JobSubmission>& submissions,
                   const InvariantOptions& options);
  CheckReport check();

 private:
  using Place = std::pair<std::uint32_t, std::uint32_t>;  // a step, and a task within it
  static constexpr std::int64_t cancelGrace = 4000;  // ms in which a cancel reaches every worker
  // The longest hold, an order on its way, and the stop itself.
  static constexpr std::int64_t calledHold = 12'000;

  void broken(int rule, std::int64_t at, std::string text);
  void limit(int rule, std::int64_t at, std::string text);

  // --- the history, line by line: invariants.cpp ---
  void findDisturbances();
  void see(const HistoryEvent& witness);

  // --- what is known so far: invariants_lookups.cpp ---
  bool disturbedWithin(std::int64_t from, std::int64_t to) const;
  bool leaseless(const std::string& worker) const;
  bool isCalled(const std::string& worker) const;
  const JobSubmission* submissionOf(const std::string& id) const;
  const StepRequest* stepOf(const std::string& id, std::uint32_t task) const;
  Run* runOf(const HistoryEvent& witness);
  static std::string nameOf(const std::string& job, std::uint32_t task);
  static Place placeOf(const JobSubmission& job, std::uint32_t task);
  static std::uint32_t firstTask(const JobSubmission& job, std::uint32_t step);
  // The tasks whose runs share one fate with this one's: its gang's, else it alone; first and past
  // the last.
  static std::pair<std::uint32_t, std::uint32_t> membersOf(const JobSubmission& submission,
                                                           std::uint32_t task);
  // Of a gang that assembles itself one member's ending counts for all of its run.
  void eachMemberOf(const std::string& id, JobHistory& job, std::uint32_t task,
                    const std::string& attempt, const std::function<void(TaskHistory&, Run&)>& use);

  // --- jobs as callers see them, rules 2 to 5: invariants_jobs.cpp ---
  void accepted(const HistoryEvent& witness);
  void cancelAcknowledged(const HistoryEvent& witness);
  void shown(const HistoryEvent& witness);
  void shownFinished(const HistoryEvent& witness, JobHistory& job);
  void allFinished(const HistoryEvent& witness, const std::string& id,
                   const JobSubmission& submission);
  void keptRunning(const JobHistory& job, const std::string& what, const Run& run, std::int64_t at);
  void judgeJob(const std::string& id, JobHistory& job, std::int64_t end);

  // --- runs on workers, rules 1, 5 to 7, 9 and 10: invariants_runs.cpp ---
  void started(const HistoryEvent& witness);
  void judgeTwice(const HistoryEvent& witness, const TaskHistory& task, const std::string& what);
  void judgeAgain(const HistoryEvent& witness, const TaskHistory& task, const std::string& what);
  void judgeOrder(const HistoryEvent& witness, JobHistory& job, const JobSubmission& submission,
                  const std::string& what);
  void judgeStepDone(const HistoryEvent& witness, JobHistory& job, const JobSubmission& submission,
                     std::uint32_t step, const std::string& what);
  void judgeTimetable(const HistoryEvent& witness, const JobSubmission& submission,
                      const std::string& what);
  void judgeRetries(const HistoryEvent& witness, const TaskHistory& task,
                    const JobSubmission& submission, const std::string& what);
  void startedUnaware(const HistoryEvent& witness, const TaskHistory& task,
                      const std::string& what);
  void held(const HistoryEvent& witness);
  void resumed(const HistoryEvent& witness);
  void ended(const HistoryEvent& witness);
  void endRun(const HistoryEvent& witness, const JobHistory& job, Run& run);
  void confirmed(const HistoryEvent& witness);
  void vanished(const HistoryEvent& witness);
  void capacityTold(const HistoryEvent& witness);
  void room(const HistoryEvent& witness);

  // --- gangs, rule 8: invariants_gangs.cpp ---
  void judgeGangs(const std::string& id, JobHistory& job, std::int64_t end);
  void gangAlone(const std::string& id, JobHistory& job, const JobSubmission& submission,
                 std::uint32_t step, std::int64_t end);

  // --- workers that are called, rules 13 to 18: invariants_called.cpp, invariants_failures.cpp ---
  void startedOnCalled(const HistoryEvent& witness, JobHistory& job, const std::string& what);
  void judgePlacement(const HistoryEvent& witness, JobHistory& job, const JobSubmission& submission,
                      std::uint32_t step, const std::string& what);
  void judgeCheckpoint(const HistoryEvent& witness, const std::string& owner, bool gang,
                       const std::string& what);
  void judgeLateness(const HistoryEvent& witness, const JobHistory& job, const std::string& what);
  static std::string ownerOf(const std::string& job, std::uint32_t task, const StepRequest& request,
                             std::uint32_t step);
  void saved(const HistoryEvent& witness);
  void judgeEndings(const std::string& id, JobHistory& job);
  void judgeSuccess(const std::string& id, JobHistory& job, std::uint32_t place,
                    const StepRequest& step);
  void judgeRunsAfter(const std::string& what, const TaskHistory& task, const Run& done,
                      std::int64_t noted, bool redundant);
  void judgeTries(const std::string& id, const JobHistory& job, std::uint32_t place,
                  const StepRequest& step);
  std::size_t failuresBefore(const JobHistory& job, std::uint32_t first, std::uint32_t after,
                             const Run& run, bool redundant) const;
  void judgeFailed(const HistoryEvent& witness, const JobSubmission& submission);
  static std::size_t mostFailures(const JobHistory& job, const JobSubmission& submission);
  bool fitsKnownWorkers(const JobSubmission& submission, const StepRequest& step) const;
  bool holds(const JobSubmission& submission, const StepRequest& step,
             const HistoryEvent& capacity) const;

  // --- configs and service, rules 11, 12 and 19: invariants_service.cpp ---
  void configAcknowledged(const HistoryEvent& witness);
  void configSeen(const HistoryEvent& witness);
  void served(const HistoryEvent& witness);
  void judgeSilence(std::int64_t end);
  void judgeOperations();

  std::vector<HistoryEvent> history;
  const std::map<std::string, JobSubmission>& submissions;
  const InvariantOptions& options;
  std::map<std::string, JobHistory> jobs;
  std::map<std::string, std::int64_t> leavingSince;
  std::map<std::string, HistoryEvent> capacities;
  std::map<std::string, std::string> savedBy;  // by checkpoint: the task or gang it belongs to
  std::map<std::pair<std::string, std::string>, std::string>
      broughtBy;  // by gang and run: the checkpoint its members bring
  std::vector<std::pair<std::int64_t, std::uint64_t>> configs;
  std::map<std::string, std::uint64_t> seenConfig;
  std::uint64_t lastConfig = 0;
  std::optional<std::int64_t> wholeSince, settledAt;
  std::map<std::string, std::int64_t> vanishedAt;
  std::vector<std::pair<std::int64_t, std::int64_t>> disturbances;
  CheckReport found;
};

}  // namespace aniseline
