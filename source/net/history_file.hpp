// Writes histories to files, one event per line, and reads a folder of them for history_check.
// docs/design.md 11.
#ifndef ANISELINE_NET_HISTORY_FILE_HPP
#define ANISELINE_NET_HISTORY_FILE_HPP
#include "net/event_loop.hpp"
#include "state/api_request.hpp"
#include "checker/history.hpp"
#include <fstream>

namespace aniseline {

// Appends events to one file and flushes each at once. Used by one thread.
class HistoryFile {
 public:
  // Constructs a history that writes nothing.
  HistoryFile() = default;
  // Opens a file for appending and begins with a line break, because an earlier process with the
  // same file may have left an incomplete line. With an empty name nothing is written.
  explicit HistoryFile(const std::string& name) {
    if (name.empty())
      return;
    out.open(name, std::ios::app);
    out << "\n" << std::flush;
  }
  // Writes an event, with the current time if the event has none.
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
  // Records that this process writes no more events.
  void close() { write(HistoryEvent::Kind::closed); }

 private:
  std::ofstream out;
};

// The recorded events (*.witness) and submitted jobs (*.submissions) of all writers in a folder.
struct FleetHistory {
  std::vector<HistoryEvent> events;
  std::map<std::string, JobSubmission> submissions;
};
// Reads the histories in a folder. An error in any file fails the whole call. If the writers are
// still running, incomplete lines are accepted.
Result<FleetHistory, HistoryError> readHistoryFolder(const std::string& folder,
                                                     bool writersRunning = false);

}  // namespace aniseline

#endif  // ANISELINE_NET_HISTORY_FILE_HPP
