#include "checker/history.hpp"
#include "base/json.hpp"
#include <picojson.h>

namespace aniseline {

namespace {
constexpr const char* kindNames[] = {"submitted",      "accepted",
                                     "rejected",       "unknown",
                                     "shown",          "cancel_acknowledged",
                                     "started",        "held",
                                     "resumed",        "ended",
                                     "confirmed",      "leaving",
                                     "capacity",       "config_acknowledged",
                                     "config_seen",    "whole",
                                     "served",         "vanished",
                                     "staying",        "explained",
                                     "disturbed",      "mended",
                                     "settled",        "saved",
                                     "looked",         "cancel_asked",
                                     "cancel_missing", "config_asked",
                                     "config_refused", "config_read",
                                     "closed"};
}
const char* name(HistoryEvent::Kind kind) {
  return kindNames[std::size_t(kind)];
}

std::string HistoryEvent::toJsonLine() const {
  picojson::object shown{{"at", picojson::value(double(timestamp))},
                         {"kind", picojson::value(name(kind))}};
  auto add = [&](const char* field, const std::string& text) {
    if (!text.empty())
      shown[field] = picojson::value(text);
  };
  auto addNumber = [&](const char* field, double number) {
    if (number != 0)
      shown[field] = picojson::value(number);
  };
  add("job", job);
  add("worker", worker);
  add("attempt", attempt);
  add("detail", detail);
  addNumber("task", task);
  addNumber("version", double(version));
  addNumber("cores", cores);
  addNumber("memory_mb", double(memory));
  if (trial)
    shown["trial"] = picojson::value(true);
  if (enforcesCapacity)
    shown["guards"] = picojson::value(true);
  if (executedLate)
    shown["late"] = picojson::value(true);
  addNumber("accelerators", accelerators);
  add("payload", payload);
  add("saved", checkpoint);
  add("pool", pool);
  if (!labels.empty()) {
    picojson::array listed;
    for (const auto& label : labels)
      listed.push_back(picojson::value(label));
    shown["labels"] = picojson::value(listed);
  }
  addNumber("since", double(invokedAt));
  addNumber("base", double(baseVersion));
  add("digest", digest);
  return picojson::value(shown).serialize();
}

std::optional<HistoryEvent> HistoryEvent::parseJsonLine(const std::string& line) {
  picojson::value root;
  if (!parseJson(root, line).empty() || !root.is<picojson::object>())
    return std::nullopt;
  const auto& object = root.get<picojson::object>();
  auto words = [&](const char* field) {
    auto found = object.find(field);
    return found != object.end() && found->second.is<std::string>()
               ? found->second.get<std::string>()
               : std::string();
  };
  auto number = [&](const char* field) {
    auto found = object.find(field);
    return found != object.end() && found->second.is<double>() ? found->second.get<double>() : 0.0;
  };
  auto flag = [&](const char* field) {
    auto found = object.find(field);
    return found != object.end() && found->second.is<bool>() && found->second.get<bool>();
  };
  HistoryEvent event;
  const std::string kind = words("kind");
  std::size_t index = 0;
  while (index < std::size(kindNames) && kind != kindNames[index])
    ++index;
  if (index == std::size(kindNames))
    return std::nullopt;
  event.kind = Kind(index);
  event.timestamp = std::int64_t(number("at"));
  event.job = words("job");
  event.task = std::uint32_t(number("task"));
  event.worker = words("worker");
  event.attempt = words("attempt");
  event.detail = words("detail");
  event.version = std::uint64_t(number("version"));
  event.cores = std::uint32_t(number("cores"));
  event.memory = std::uint64_t(number("memory_mb"));
  event.trial = flag("trial");
  event.enforcesCapacity = flag("guards");
  event.executedLate = flag("late");
  event.accelerators = std::uint32_t(number("accelerators"));
  event.payload = words("payload");
  event.checkpoint = words("saved");
  event.pool = words("pool");
  event.invokedAt = std::int64_t(number("since"));
  event.baseVersion = std::uint64_t(number("base"));
  event.digest = words("digest");
  if (auto found = object.find("labels");
      found != object.end() && found->second.is<picojson::array>())
    for (const auto& label : found->second.get<picojson::array>())
      event.labels.push_back(label.to_str());
  return event;
}

Result<std::vector<HistoryEvent>, HistoryError> readHistory(const std::string& file,
                                                            const std::string& text, bool atWork) {
  std::vector<HistoryEvent> history;
  std::istringstream stream(text);
  std::size_t number = 0, torn = 0;
  for (std::string line; std::getline(stream, line);) {
    ++number;
    if (line.empty())
      continue;
    auto event = HistoryEvent::parseJsonLine(line);
    if (torn && (!event || event->kind != HistoryEvent::Kind::workerLost))
      return HistoryError{file, torn, "is no witness' line"};
    if (!event) {
      torn = number;
      continue;
    }
    torn = 0;
    // A writer notes what it saw in the order in which it saw it; its clock may be set a little.
    if (!history.empty() && event->timestamp + 1000 < history.back().timestamp)
      return HistoryError{file, number, "stands after a later line: the history is out of order"};
    history.push_back(std::move(*event));
  }
  if (torn && !atWork)
    return HistoryError{file, torn, "is no witness' line"};
  if (history.empty())
    return HistoryError{file, 0, "holds no history"};
  if (!atWork && history.back().kind != HistoryEvent::Kind::closed)
    return HistoryError{file, number, "is cut off: the writer's closing line is missing"};
  return history;
}

}  // namespace aniseline
