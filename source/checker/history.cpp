// Serializes history events as JSON lines and validates history files.
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
  picojson::object fields{{"at", picojson::value(double(timestamp))},
                          {"kind", picojson::value(name(kind))}};
  auto addText = [&](const char* field, const std::string& text) {
    if (!text.empty())
      fields[field] = picojson::value(text);
  };
  auto addNumber = [&](const char* field, double number) {
    if (number != 0)
      fields[field] = picojson::value(number);
  };
  addText("job", job);
  addText("worker", worker);
  addText("attempt", attempt);
  addText("detail", detail);
  addNumber("task", task);
  addNumber("version", double(version));
  addNumber("cores", cores);
  addNumber("memory_mb", double(memory));
  if (trial)
    fields["trial"] = picojson::value(true);
  if (enforcesCapacity)
    fields["guards"] = picojson::value(true);
  if (executedLate)
    fields["late"] = picojson::value(true);
  addNumber("accelerators", accelerators);
  addText("payload", payload);
  addText("saved", checkpoint);
  addText("pool", pool);
  if (!labels.empty()) {
    picojson::array listed;
    for (const auto& label : labels)
      listed.push_back(picojson::value(label));
    fields["labels"] = picojson::value(listed);
  }
  addNumber("since", double(invokedAt));
  addNumber("base", double(baseVersion));
  addText("digest", digest);
  return picojson::value(fields).serialize();
}

std::optional<HistoryEvent> HistoryEvent::parseJsonLine(const std::string& line) {
  picojson::value root;
  if (!parseJson(root, line).empty() || !root.is<picojson::object>())
    return std::nullopt;
  const auto& object = root.get<picojson::object>();
  auto textField = [&](const char* field) {
    auto found = object.find(field);
    return found != object.end() && found->second.is<std::string>()
               ? found->second.get<std::string>()
               : std::string();
  };
  auto number = [&](const char* field) {
    auto found = object.find(field);
    return found != object.end() && found->second.is<double>() ? found->second.get<double>() : 0.0;
  };
  auto flagField = [&](const char* field) {
    auto found = object.find(field);
    return found != object.end() && found->second.is<bool>() && found->second.get<bool>();
  };
  HistoryEvent event;
  const std::string kind = textField("kind");
  std::size_t index = 0;
  while (index < std::size(kindNames) && kind != kindNames[index])
    ++index;
  if (index == std::size(kindNames))
    return std::nullopt;
  event.kind = Kind(index);
  event.timestamp = std::int64_t(number("at"));
  event.job = textField("job");
  event.task = std::uint32_t(number("task"));
  event.worker = textField("worker");
  event.attempt = textField("attempt");
  event.detail = textField("detail");
  event.version = std::uint64_t(number("version"));
  event.cores = std::uint32_t(number("cores"));
  event.memory = std::uint64_t(number("memory_mb"));
  event.trial = flagField("trial");
  event.enforcesCapacity = flagField("guards");
  event.executedLate = flagField("late");
  event.accelerators = std::uint32_t(number("accelerators"));
  event.payload = textField("payload");
  event.checkpoint = textField("saved");
  event.pool = textField("pool");
  event.invokedAt = std::int64_t(number("since"));
  event.baseVersion = std::uint64_t(number("base"));
  event.digest = textField("digest");
  if (auto found = object.find("labels");
      found != object.end() && found->second.is<picojson::array>())
    for (const auto& label : found->second.get<picojson::array>())
      event.labels.push_back(label.to_str());
  return event;
}

Result<std::vector<HistoryEvent>, HistoryError> readHistory(const std::string& file,
                                                            const std::string& text,
                                                            bool stillWriting) {
  std::vector<HistoryEvent> history;
  std::istringstream stream(text);
  std::size_t number = 0, tornLine = 0;
  for (std::string line; std::getline(stream, line);) {
    ++number;
    if (line.empty())
      continue;
    auto event = HistoryEvent::parseJsonLine(line);
    if (tornLine && (!event || event->kind != HistoryEvent::Kind::workerLost))
      return HistoryError{file, tornLine, "is no witness' line"};
    if (!event) {
      tornLine = number;
      continue;
    }
    tornLine = 0;
    // A writer records events in the order in which it saw them. Its clock may be adjusted by up to
    // a second.
    if (!history.empty() && event->timestamp + 1000 < history.back().timestamp)
      return HistoryError{file, number,
                          "is older than the line before it: the history is out of order"};
    history.push_back(std::move(*event));
  }
  if (tornLine && !stillWriting)
    return HistoryError{file, tornLine, "is no witness' line"};
  if (history.empty())
    return HistoryError{file, 0, "holds no history"};
  if (!stillWriting && history.back().kind != HistoryEvent::Kind::closed)
    return HistoryError{file, number, "is cut off: the writer's closing line is missing"};
  return history;
}

}  // namespace aniseline
