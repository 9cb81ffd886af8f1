// One line of a witness' history: what a caller, worker, operator or the fleet's keeper saw.
// docs/design.md 11.
#pragma once
#include "state/job.hpp"

namespace aniseline {

// Times are one clock's milliseconds for all witnesses of a fleet on one machine.
struct HistoryEvent {
  enum class Kind : std::uint8_t {
    submitted,
    accepted,
    rejected,
    unknown,
    shown,
    cancelAcknowledged,  // callers
    started,
    held,
    resumed,
    ended,
    confirmed,
    leaving,
    capacity,  // workers
    configAcknowledged,
    configSeen,  // operators and processes
    whole,
    served,     // the fleet's keeper: all is whole; service seen
    vanished,   // a worker's process, with all that ran in it
    staying,    // a worker is undrained
    explained,  // why an open job waits, as the centre says
    disturbed,
    mended,         // the keeper: a fault begins, ends
    settled,        // the keeper: time enough has passed for every job
    saved,          // a worker made a checkpoint
    closed,         // a writer's last line
    configOrdered,  // an operator sends a config, for the first time or again
    configRefused   // and is told that it is not taken
  };
  Kind kind = Kind::submitted;
  std::int64_t at = 0;
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
  bool guards = false;
  bool late = false;  // of a start: its order was carried out seconds after it was given up
  std::uint32_t accelerators = 0;
  std::string payload, saved;  // of a start what it was given; `saved` also of a checkpoint made
  std::string pool;            // of a capacity
  std::string base;  // of an order for a config and its answers: the version that it builds on; its
                     // text's digest is the detail
  std::vector<std::string> labels;
  std::string line() const;
  static std::optional<HistoryEvent> parse(const std::string& line);
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
