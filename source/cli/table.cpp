#include "cli/table.hpp"
#include <cmath>
#include <date/date.h>

namespace aniseline {

namespace {

std::size_t widthOf(const std::string& text) {  // characters, not the bytes of their UTF-8
  return std::size_t(std::count_if(text.begin(), text.end(),
                                   [](char byte) { return (std::uint8_t(byte) & 0xc0) != 0x80; }));
}
std::string withDecimals(double number, int decimals) {
  char text[64];
  std::snprintf(text, sizeof text, "%.*f", decimals, number);
  return text;
}

}  // namespace

std::string printable(const std::string& text) {
  std::string shown = text;
  for (char& letter : shown)
    if (std::uint8_t(letter) < 0x20 || letter == 0x7f)
      letter = '?';
  return shown;
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
      widths[index] = std::max(widths[index], widthOf(line[index]));
  std::string text;
  for (const auto& line : lines) {
    std::string shown;
    for (std::size_t index = 0; index < line.size(); ++index) {
      const std::string fill(widths[index] - widthOf(line[index]), ' ');
      shown += (index ? "  " : "") +
               (columns[index].align == Align::right ? fill + line[index] : line[index] + fill);
    }
    shown.erase(shown.find_last_not_of(' ') + 1);
    text += shown + "\n";
  }
  return text;
}

std::string formatDuration(double milliseconds) {
  if (milliseconds < 0)
    return "-";
  if (milliseconds < 1000)
    return withDecimals(milliseconds, 0) + " ms";
  if (milliseconds < 120'000)
    return withDecimals(milliseconds / 1000, 1) + " s";
  if (milliseconds < 7'200'000)
    return withDecimals(milliseconds / 60'000, 1) + " min";
  return withDecimals(milliseconds / 3'600'000, 1) + " h";
}
std::string formatMemory(double megabytes) {
  return megabytes < 1024 ? withDecimals(megabytes, 0) + " MB"
                          : withDecimals(megabytes / 1024, 1) + " GB";
}
std::string formatNumber(double number) {
  std::string text = withDecimals(number, 3);
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
double numberField(const picojson::value& object, const std::string& field, double otherwise) {
  const auto value = jsonField(object, field);
  return value.is<double>() ? value.get<double>() : otherwise;
}
std::string textField(const picojson::value& object, const std::string& field,
                      const std::string& otherwise) {
  const auto value = jsonField(object, field);
  return value.is<std::string>() && !value.get<std::string>().empty() ? value.get<std::string>()
                                                                      : otherwise;
}
bool flagField(const picojson::value& object, const std::string& field) {
  const auto value = jsonField(object, field);
  return value.is<bool>() && value.get<bool>();
}
const picojson::array& listField(const picojson::value& object, const std::string& field) {
  static const picojson::array none;
  if (!object.is<picojson::object>())
    return none;
  const auto& fields = object.get<picojson::object>();
  auto found = fields.find(field);
  return found != fields.end() && found->second.is<picojson::array>()
             ? found->second.get<picojson::array>()
             : none;
}

}  // namespace aniseline
