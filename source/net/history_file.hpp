// The file in which a program writes down what it witnesses, line by line, for history_check.
// docs/design.md 11.
#ifndef ANISELINE_NET_HISTORY_FILE_HPP
#define ANISELINE_NET_HISTORY_FILE_HPP
#include "net/event_loop.hpp"
#include "state/api_request.hpp"
#include "checker/history.hpp"
#include <fstream>

namespace aniseline {

class HistoryFile {
 public:
  HistoryFile() = default;
  // What an earlier process of the same name left half written ends here.
  explicit HistoryFile(const std::string& name) {
    if (name.empty())
      return;
    out.open(name, std::ios::app);
    out << "\n" << std::flush;
  }
  void write(HistoryEvent witness) {
    if (!out.is_open())
      return;
    if (!witness.timestamp)
      witness.timestamp = wallNow().milliseconds;
    out << witness.toJsonLine() << "\n" << std::flush;
  }
  void write(HistoryEvent::Kind kind, std::string detail = {}) {
    HistoryEvent witness;
    witness.kind = kind;
    witness.detail = std::move(detail);
    write(std::move(witness));
  }
  void close() { write(HistoryEvent::Kind::closed); }

 private:
  std::ofstream out;
};

// What all writers of a folder witnessed (*.witness), and the jobs submitted (*.submissions).
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
