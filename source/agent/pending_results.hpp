// Results of task runs that the leader has not confirmed yet, and checkpoints that it has not
// stored. Both are reported again until a response confirms them. Owned and called by NodeAgent.
// docs/design.md 5.5, 5.8.
#ifndef ANISELINE_AGENT_PENDING_RESULTS_HPP
#define ANISELINE_AGENT_PENDING_RESULTS_HPP
#include "agent/worker_messages.hpp"
#include "state/sync_report.hpp"

namespace aniseline {

class PendingResults {
 public:
  bool empty() const { return pending.empty(); }
  bool contains(const TaskRunId& runId) const;
  // Results that the worker itself has counted: it keeps them until a poll confirms them.
  bool hasWorkerResults() const;
  bool hasUnreported() const;

  // The worker has shown a result under this number. False: it is known already, or was confirmed.
  bool isNew(std::uint64_t sequenceNumber);
  // Number 0: the worker never began the run. Results are kept in the order of the worker's
  // numbers, those without one behind them.
  void add(std::uint64_t sequenceNumber, TaskRunResult result);
  // A run's latest checkpoint, which is reported if it is new.
  void noteCheckpoint(const TaskRunId& runId, const std::string& checkpoint);

  // Puts what is pending into a report, as much as one report takes.
  void fillReport(SyncReport& report);
  // The leader has answered a report: its checkpoints are stored, and so many of its results, from
  // the first on, are final.
  void confirm(const SyncReport& report, std::uint32_t finalResultCount);
  // The worker forgets its results up to this number.
  std::uint64_t confirmedUpTo() const { return confirmedNumber; }

  // The worker's lease has expired: a success that was not confirmed counts as stopped, for the
  // task may be started elsewhere. docs/design.md 5.5.
  void voidSuccesses();
  // The worker's incarnation is replaced.
  void clear();

 private:
  struct PendingResult {
    // 0: the worker never began it.
    std::uint64_t sequenceNumber = 0;
    TaskRunResult result;
    bool reported = false;
  };
  void confirmResult(const TaskRunId& runId);

  std::deque<PendingResult> pending;
  std::map<TaskRunId, std::string> pendingCheckpoints;
  // By run: the latest checkpoint that was seen, so that each is reported once only.
  std::map<TaskRunId, std::string> latestCheckpoints;
  std::uint64_t confirmedNumber = 0;
  std::uint64_t highestNumber = 0;
};

}  // namespace aniseline

#endif  // ANISELINE_AGENT_PENDING_RESULTS_HPP
