// One line of a witness' history: what a caller, worker, operator or the fleet's keeper saw.
// docs/design.md 11.
#ifndef ANISELINE_CHECKER_HISTORY_HPP
#define ANISELINE_CHECKER_HISTORY_HPP
#include "state/job.hpp"

namespace aniseline {

// Times are one clock's milliseconds for all witnesses of a fleet on one machine.
struct HistoryEvent {
  enum class Kind : std::uint8_t {
    submitted,
    accepted,
    rejected,
    outcomeUnknown,
    stateObserved,
    cancelAcknowledged,  // callers
    started,
    suspended,
    resumed,
    ended,
    resultConfirmed,
    draining,
    capacityReported,  // workers
    configAcknowledged,
    configObserved,  // operators and processes
    clusterHealed,
    serviceRestored,  // the fleet's keeper: all is whole; service seen
    workerLost,       // a worker's process, with all that ran in it
    drainCancelled,   // a worker is undrained
    waitExplained,    // why an open job waits, as the centre says
    faultBegan,
    faultEnded,      // the keeper: a fault begins, ends
    quiescent,       // the keeper: time enough has passed for every job
    checkpointed,    // a worker made a checkpoint
    stateUnchanged,  // callers: a job is shown as it was the last time
    cancelSubmitted,
    cancelNotFound,  // callers: a cancel is sent; there is no such job
    configSubmitted,
    configRejected,
    configReturned,  // operators: a config is sent, refused, shown
    closed           // a writer's last line
  };
  Kind kind = Kind::submitted;
  std::int64_t timestamp = 0;
  std::string job;
  std::uint32_t task = 0;
  std::string worker;
  std::string attempt;
  std::string detail;  // a state shown, an ending's kind, a fault's name, a process; of a capacity
                       // "leaseless" or "called"
  std::uint64_t version = 0;
  std::uint32_t cores = 0;
  std::uint64_t memory = 0;
  bool trial = false;
  bool enforcesCapacity = false;
  bool executedLate = false;  // of a start: its order was carried out seconds after it was given up
  std::uint32_t accelerators = 0;
  std::string payload,
      checkpoint;    // of a start what it was given; `saved` also of a checkpoint made
  std::string pool;  // of a capacity
  std::vector<std::string> labels;
  std::int64_t invokedAt = 0;     // of an answer: when it was asked for; 0: not noted
  std::uint64_t baseVersion = 0;  // of a config sent: the version it is based on
  std::string digest;             // of a config sent or shown, and of a submission: its content
  std::string toJsonLine() const;
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
                                                            bool atWork = false);

}  // namespace aniseline

#endif  // ANISELINE_CHECKER_HISTORY_HPP
