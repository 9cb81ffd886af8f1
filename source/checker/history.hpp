// One event of a history: what a caller, a worker, an operator or the harness that runs a cluster
// observed. Read by history_check and the checkers; written by the simulator and the test programs.
// The JSON names of kinds and fields are in files that users keep: they never change.
// docs/design.md 11.
#ifndef ANISELINE_CHECKER_HISTORY_HPP
#define ANISELINE_CHECKER_HISTORY_HPP
#include "state/job.hpp"

namespace aniseline {

// The detail of a configuration event whose order is a patch; its digest is configPatchDigest.
constexpr const char* configPatchDetail = "patch";

// Times are milliseconds on one clock, which all observers of a cluster share.
struct HistoryEvent {
  enum class Kind : std::uint8_t {
    // Callers.
    submitted,
    accepted,
    rejected,
    outcomeUnknown,  // the answer to a submission was lost, or names no outcome
    stateObserved,   // a job is shown in another state than the last time
    cancelAcknowledged,
    // Workers.
    started,
    suspended,
    resumed,
    ended,
    resultConfirmed,  // the worker knows that the leader has recorded the result
    draining,
    capacityReported,
    // Operators and processes.
    configAcknowledged,
    configObserved,  // a process acts on this version
    // The harness.
    clusterHealed,    // nothing is broken from now on
    serviceRestored,  // a caller's job was served again
    workerLost,       // a worker's process ended, with all that ran in it
    drainCancelled,
    waitExplained,  // the leader says why an open job waits
    faultBegan,
    faultEnded,
    quiescent,  // time enough has passed for every job to end
    // Added later, so that the numbers of those before stay.
    checkpointed,    // a worker made a checkpoint
    stateUnchanged,  // a caller is shown a job in the same state as the last time
    cancelSubmitted,
    cancelNotFound,  // there is no such job to cancel
    configSubmitted,
    configRejected,
    configReturned,  // an operator is shown the configuration
    closed           // a writer's last line
  };
  Kind kind = Kind::submitted;
  std::int64_t timestamp = 0;  // ms
  std::string job;
  std::uint32_t task = 0;
  std::string worker;
  std::string attempt;
  // A state shown, the outcome of a run, the name of a fault or of a process. Of a capacity
  // "leaseless", "called" or nothing.
  std::string detail;
  std::uint64_t version = 0;
  std::uint32_t cores = 0;   // thousandths
  std::uint64_t memory = 0;  // MB
  bool trial = false;
  bool enforcesCapacity = false;
  // Of a start: its order was carried out seconds after the caller had given it up.
  bool executedLate = false;
  std::uint32_t accelerators = 0;
  std::string payload;     // of a start
  std::string checkpoint;  // of a start the one it was given, of a checkpoint the one made
  std::string pool;        // of a capacity
  std::vector<std::string> labels;
  std::int64_t invokedAt = 0;     // of an answer: when it was asked for, in ms; 0: not recorded
  std::uint64_t baseVersion = 0;  // of a configuration submitted: the version it is based on
  std::string digest;             // of the content of a configuration or a submission
  // As one line of a history file.
  std::string toJsonLine() const;
  // Nothing if the line is no event.
  static std::optional<HistoryEvent> parseJsonLine(const std::string& line);
};
const char* name(HistoryEvent::Kind kind);

struct HistoryError {
  std::string file;
  std::size_t line = 0;
  std::string text;
  std::string message() const {
    return file + (line ? ":" + std::to_string(line) : "") + ": " + text;
  }
};
// Reads one writer's whole file. Empty, damaged, unordered or cut off: an error, never a shorter
// history. A line may be torn only where a killed process left it: the next one then tells that the
// process vanished. Of a writer that is still at work the end may be missing.
Result<std::vector<HistoryEvent>, HistoryError> readHistory(const std::string& file,
                                                            const std::string& text,
                                                            bool stillWriting = false);

}  // namespace aniseline

#endif  // ANISELINE_CHECKER_HISTORY_HPP
