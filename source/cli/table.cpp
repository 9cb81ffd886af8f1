// Measures column widths in UTF-8 characters and chooses units for durations and sizes.
#include "cli/table.hpp"
#include <cmath>
#include <date/date.h>

namespace aniseline {

namespace {

std::size_t characterCount(const std::string& text) {  // in UTF-8 characters, not in bytes
  return std::size_t(std::count_if(text.begin(), text.end(),
                                   [](char byte) { return (std::uint8_t(byte) & 0xc0) != 0x80; }));
}
std::string formatFixed(double number, int decimals) {
  char text[64];
  std::snprintf(text, sizeof text, "%.*f", decimals, number);
  return text;
}

}  // namespace

std::string printable(const std::string& text) {
  std::string result = text;
  for (char& character : result)
    if (std::uint8_t(character) < 0x20 || character == 0x7f)
      character = '?';
  return result;
}

std::string Table::render() const {
  std::vector<std::vector<std::string>> lines(1);
  for (const auto& column : columns)
    lines[0].push_back(column.title);
  for (const auto& row : rows) {
    lines.emplace_back();
    for (std::size_t index = 0; index < columns.size(); ++index)
      lines.back().push_back(index < row.size() ? printable(row[index]) : "");
  }
  std::vector<std::size_t> widths(columns.size());
  for (const auto& line : lines)
    for (std::size_t index = 0; index < line.size(); ++index)
      widths[index] = std::max(widths[index], characterCount(line[index]));
  std::string text;
  for (const auto& line : lines) {
    std::string renderedLine;
    for (std::size_t index = 0; index < line.size(); ++index) {
      const std::string padding(widths[index] - characterCount(line[index]), ' ');
      renderedLine +=
          (index ? "  " : "") +
          (columns[index].align == Align::right ? padding + line[index] : line[index] + padding);
    }
    renderedLine.erase(renderedLine.find_last_not_of(' ') + 1);
    text += renderedLine + "\n";
  }
  return text;
}

std::string formatDuration(double milliseconds) {
  if (milliseconds < 0)
    return "-";
  if (milliseconds < 1000)
    return formatFixed(milliseconds, 0) + " ms";
  if (milliseconds < 120'000)
    return formatFixed(milliseconds / 1000, 1) + " s";
  if (milliseconds < 7'200'000)
    return formatFixed(milliseconds / 60'000, 1) + " min";
  return formatFixed(milliseconds / 3'600'000, 1) + " h";
}
std::string formatMemory(double megabytes) {
  return megabytes < 1024 ? formatFixed(megabytes, 0) + " MB"
                          : formatFixed(megabytes / 1024, 1) + " GB";
}
std::string formatNumber(double number) {
  std::string text = formatFixed(number, 3);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.')
    text.pop_back();
  return text;
}
std::string formatTime(double milliseconds) {
  if (!(milliseconds > 0 && milliseconds < 2.5e14))
    return "-";
  return date::format("%FT%TZ", date::sys_time<std::chrono::milliseconds>(
                                    std::chrono::milliseconds(std::int64_t(milliseconds))));
}

picojson::value jsonField(const picojson::value& object, const std::string& field) {
  return object.is<picojson::object>() ? object.get(field) : picojson::value();
}
double numberField(const picojson::value& object, const std::string& field, double fallback) {
  const auto value = jsonField(object, field);
  return value.is<double>() ? value.get<double>() : fallback;
}
std::string textField(const picojson::value& object, const std::string& field,
                      const std::string& fallback) {
  const auto value = jsonField(object, field);
  return value.is<std::string>() && !value.get<std::string>().empty() ? value.get<std::string>()
                                                                      : fallback;
}
bool flagField(const picojson::value& object, const std::string& field) {
  const auto value = jsonField(object, field);
  return value.is<bool>() && value.get<bool>();
}
const picojson::array& listField(const picojson::value& object, const std::string& field) {
  static const picojson::array emptyList;
  if (!object.is<picojson::object>())
    return emptyList;
  const auto& fields = object.get<picojson::object>();
  auto found = fields.find(field);
  return found != fields.end() && found->second.is<picojson::array>()
             ? found->second.get<picojson::array>()
             : emptyList;
}

}  // namespace aniseline
