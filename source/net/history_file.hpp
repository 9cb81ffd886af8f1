// Histories on disk: the file in which a program records events, line by line, and the reader of a
// folder of them, for history_check.
// docs/design.md 11.
#ifndef ANISELINE_NET_HISTORY_FILE_HPP
#define ANISELINE_NET_HISTORY_FILE_HPP
#include "net/event_loop.hpp"
#include "state/api_request.hpp"
#include "checker/history.hpp"
#include <fstream>

namespace aniseline {

// Appends events to one file, each flushed at once. For one thread.
class HistoryFile {
 public:
  // Writes nothing.
  HistoryFile() = default;
  // Begins with a new line, because an earlier process of the same name may have left half of one.
  // An empty name: nothing is written.
  explicit HistoryFile(const std::string& name) {
    if (name.empty())
      return;
    out.open(name, std::ios::app);
    out << "\n" << std::flush;
  }
  // Adds the time where the event has none.
  void write(HistoryEvent event) {
    if (!out.is_open())
      return;
    if (!event.timestamp)
      event.timestamp = wallNow().milliseconds;
    out << event.toJsonLine() << "\n" << std::flush;
  }
  void write(HistoryEvent::Kind kind, std::string detail = {}) {
    HistoryEvent event;
    event.kind = kind;
    event.detail = std::move(detail);
    write(std::move(event));
  }
  // Records that nothing follows.
  void close() { write(HistoryEvent::Kind::closed); }

 private:
  std::ofstream out;
};

// What all writers of a folder recorded (*.witness), and the jobs submitted (*.submissions).
struct FleetHistory {
  std::vector<HistoryEvent> events;
  std::map<std::string, JobSubmission> submissions;
};
// An error in any file is an error of the whole; of writers still at work a line may be half
// written.
Result<FleetHistory, HistoryError> readHistoryFolder(const std::string& folder,
                                                     bool atWork = false);

}  // namespace aniseline

#endif  // ANISELINE_NET_HISTORY_FILE_HPP
