// Defines one event of a history: an observation by a client, a worker, an operator or the test
// harness. The simulator and the test programs write histories; history_check and the checkers read
// them. The JSON names of kinds and fields occur in files that users keep, so they never change.
// docs/design.md 11.
#ifndef ANISELINE_CHECKER_HISTORY_HPP
#define ANISELINE_CHECKER_HISTORY_HPP
#include "state/job.hpp"

namespace aniseline {

// The `detail` of a configuration event whose order is a patch. The `digest` of such an event is
// configPatchDigest.
constexpr const char* configPatchDetail = "patch";

// Times are in milliseconds on one clock that all observers of a cluster share.
struct HistoryEvent {
  enum class Kind : std::uint8_t {
    // Observed by clients.
    submitted,
    accepted,
    rejected,
    outcomeUnknown,  // the answer was lost or does not state the outcome
    stateObserved,   // the job was returned in a different state than the last time
    cancelAcknowledged,
    // Observed by workers.
    started,
    suspended,
    resumed,
    ended,
    resultConfirmed,  // the worker learned that the leader has recorded the result
    draining,
    capacityReported,
    // Observed by operators and processes.
    configAcknowledged,
    configObserved,  // a process uses this version
    // Recorded by the test harness.
    clusterHealed,    // all faults have ended
    serviceRestored,  // a job of a client was served again
    workerLost,       // the process of a worker ended, together with all its runs
    drainCancelled,
    waitExplained,  // the leader explained why an unfinished job is waiting
    faultBegan,
    faultEnded,
    quiescent,  // enough time has passed for every job to end
    // The kinds below were added later. They follow the others so that the values of those stay.
    checkpointed,    // a worker saved a checkpoint
    stateUnchanged,  // the job was returned in the same state as the last time
    cancelSubmitted,
    cancelNotFound,  // acknowledged: the job to cancel does not exist, and will never run
    configSubmitted,
    configRejected,
    configReturned,  // an operator read the configuration
    closed           // the last line of a writer
  };
  Kind kind = Kind::submitted;
  std::int64_t timestamp = 0;  // ms
  std::string job;
  std::uint32_t task = 0;
  std::string worker;
  std::string attempt;
  // Depending on the kind: the state returned, the outcome of a run, or the name of a fault or a
  // process. For a capacity report it is "leaseless", "called" or empty.
  std::string detail;
  std::uint64_t version = 0;
  std::uint32_t cores = 0;   // in thousandths of a core
  std::uint64_t memory = 0;  // in MB
  bool trial = false;
  bool enforcesCapacity = false;
  // For a start: the worker carried out the order seconds after the sender had given up on it.
  bool executedLate = false;
  std::uint32_t accelerators = 0;
  std::string payload;  // for a start
  // For a start: the checkpoint it resumes from. For `checkpointed`: the one that was saved.
  std::string checkpoint;
  std::string pool;  // of a reported capacity
  std::vector<std::string> labels;
  // For an answer: the time at which the request was sent, in ms; 0 if not recorded.
  std::int64_t invokedAt = 0;
  std::uint64_t baseVersion = 0;  // for a submitted configuration: the version it is based on
  std::string digest;             // digest of the content of a configuration or a submission
  // Returns the event as one line of a history file.
  std::string toJsonLine() const;
  // Returns nothing if the line does not hold an event.
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
// Parses the whole file of one writer. An empty, damaged, unordered or truncated file is an error
// and never yields a shorter history. A line may be incomplete only where a killed process left it,
// and the next line must then report that the process was lost. If `stillWriting` is set, the end
// of the file may be missing.
Result<std::vector<HistoryEvent>, HistoryError> readHistory(const std::string& file,
                                                            const std::string& text,
                                                            bool stillWriting = false);

}  // namespace aniseline

#endif  // ANISELINE_CHECKER_HISTORY_HPP
