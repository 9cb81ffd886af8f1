// Reads all histories and submissions in a folder.
#include "net/history_file.hpp"
#include <filesystem>

namespace aniseline {

Result<FleetHistory, HistoryError> readHistoryFolder(const std::string& folder,
                                                     bool writersRunning) {
  FleetHistory history;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
    const std::string name = entry.path();
    if (!name.ends_with(".witness") && !name.ends_with(".submissions"))
      continue;
    std::ifstream stream(name);
    const std::string text((std::istreambuf_iterator<char>(stream)), {});
    if (name.ends_with(".witness")) {
      auto read = readHistory(name, text, writersRunning);
      if (!read)
        return read.error();
      history.events.insert(history.events.end(), read.value().begin(), read.value().end());
      continue;
    }
    std::istringstream lines(text);
    std::size_t number = 0;
    for (std::string line; std::getline(lines, line);) {
      ++number;
      auto job = ApiRequest::parse("POST", "/v1/jobs", line);
      if (job)
        history.submissions[job.value().job.id.value] = job.value().job;
      else if (!writersRunning)
        return HistoryError{name, number, job.error().text()};
    }
  }
  if (error)
    return HistoryError{folder, 0, error.message()};
  if (history.events.empty())
    return HistoryError{folder, 0, "holds no history"};
  if (history.submissions.empty())
    return HistoryError{folder, 0, "holds no submissions"};
  return history;
}

}  // namespace aniseline
