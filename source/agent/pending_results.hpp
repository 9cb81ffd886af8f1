// Results of task runs that the leader has not confirmed yet, and checkpoints that it has not
// stored. Both are reported in every sync until a response confirms them. Owned and called by
// NodeAgent. docs/design.md 5.5, 5.8.
#ifndef ANISELINE_AGENT_PENDING_RESULTS_HPP
#define ANISELINE_AGENT_PENDING_RESULTS_HPP
#include "agent/worker_messages.hpp"
#include "base/latency_summary.hpp"
#include "state/sync_report.hpp"

namespace aniseline {

class PendingResults {
 public:
  bool empty() const { return pending.empty(); }
  bool contains(const TaskRunId& runId) const;
  // Reports whether there are results that the worker has numbered; it keeps them until a poll
  // confirms them.
  bool hasWorkerResults() const;
  bool hasUnreported() const;

  // Returns true, and records the sequence number, if the worker's result under this number is new.
  // Returns false if it is already known or has been confirmed.
  bool isNew(std::uint64_t sequenceNumber);
  // Adds a result. Sequence number 0 means that the worker never started the run. Results are kept
  // in the order of the worker's sequence numbers, followed by those without one.
  void add(std::uint64_t sequenceNumber, TaskRunResult result, MonotonicTime now);
  // Records a run's latest checkpoint, which is reported if it is new.
  void noteCheckpoint(const TaskRunId& runId, const std::string& checkpoint);

  // Adds pending results, up to the limit of one report, and pending checkpoints to a report.
  void fillReport(SyncReport& report);
  // Handles the leader's response to a report: the checkpoints in the report are stored, and its
  // first `finalResultCount` results are final.
  void confirm(const SyncReport& report, std::uint32_t finalResultCount, MonotonicTime now);
  // Returns how long results waited for their confirmation since the last call.
  LatencyQuantiles takeConfirmationLatency() { return confirmationLatency.take(); }
  // Returns the sequence number up to which the worker may discard its results.
  std::uint64_t confirmedUpTo() const { return confirmedNumber; }

  // Handles the expiry of the worker's lease: an unconfirmed success becomes a stopped run, because
  // the task may be started elsewhere. docs/design.md 5.5.
  void voidSuccesses();
  // Discards all results because the worker's incarnation is replaced.
  void clear();

 private:
  struct PendingResult {
    // 0 if the worker never started the run.
    std::uint64_t sequenceNumber = 0;
    TaskRunResult result;
    bool reported = false;
    MonotonicTime recordedAt;
  };
  void confirmResult(const TaskRunId& runId, MonotonicTime now);

  std::deque<PendingResult> pending;
  std::map<TaskRunId, std::string> pendingCheckpoints;
  // The latest known checkpoint of each run; it ensures that each checkpoint is queued only once.
  std::map<TaskRunId, std::string> latestCheckpoints;
  std::uint64_t confirmedNumber = 0;
  std::uint64_t highestNumber = 0;
  LatencySummary confirmationLatency;
};

}  // namespace aniseline

#endif  // ANISELINE_AGENT_PENDING_RESULTS_HPP
