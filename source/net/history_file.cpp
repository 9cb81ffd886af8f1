#include "net/history_file.hpp"
#include <filesystem>

namespace aniseline {

Result<FleetHistory, HistoryError> readHistoryFolder(const std::string& folder, bool atWork) {
  FleetHistory found;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
    const std::string name = entry.path();
    if (!name.ends_with(".witness") && !name.ends_with(".submissions"))
      continue;
    std::ifstream stream(name);
    const std::string text((std::istreambuf_iterator<char>(stream)), {});
    if (name.ends_with(".witness")) {
      auto read = readHistory(name, text, atWork);
      if (!read)
        return read.error();
      found.events.insert(found.events.end(), read.value().begin(), read.value().end());
      continue;
    }
    std::istringstream lines(text);
    std::size_t number = 0;
    for (std::string line; std::getline(lines, line);) {
      ++number;
      auto job = ApiRequest::parse("POST", "/v1/jobs", line);
      if (job)
        found.submissions[job.value().job.id.value] = job.value().job;
      else if (!atWork)
        return HistoryError{name, number, job.error().text()};
    }
  }
  if (error)
    return HistoryError{folder, 0, error.message()};
  if (found.events.empty())
    return HistoryError{folder, 0, "holds no history"};
  if (found.submissions.empty())
    return HistoryError{folder, 0, "holds no submissions"};
  return found;
}

}  // namespace aniseline
