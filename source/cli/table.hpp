// Renders aligned text tables and formats their values for people, and reads fields of JSON
// answers. docs/operations.md 3.
#ifndef ANISELINE_CLI_TABLE_HPP
#define ANISELINE_CLI_TABLE_HPP
#include "state/api_request.hpp"

namespace aniseline {

class Table {
 public:
  enum class Align { left, right };
  struct Column {
    std::string title;
    Align align = Align::left;
  };
  explicit Table(std::vector<Column> columns) : columns(std::move(columns)) {}
  void add(std::vector<std::string> row) { rows.push_back(std::move(row)); }
  std::size_t size() const { return rows.size(); }
  // Separates columns by two spaces and shows unprintable characters in cells as '?'.
  std::string render() const;

 private:
  std::vector<Column> columns;
  std::vector<std::vector<std::string>> rows;
};

// Replaces control characters by '?', so that text from the network is safe on a terminal.
std::string printable(const std::string& text);

std::string formatDuration(double milliseconds);  // "571 ms", "12.5 s", "3.0 min"; "-" below 0
std::string formatMemory(double megabytes);       // "512 MB", "32.0 GB"
std::string formatNumber(double number);          // without trailing zeros
std::string formatTime(double milliseconds);      // an ISO 8601 time in UTC; "-" if out of range

// Return a field of an answer; a missing field or one of another type reads as the fallback, or as
// false or empty.
double numberField(const picojson::value& object, const std::string& field, double fallback = 0);
std::string textField(const picojson::value& object, const std::string& field,
                      const std::string& fallback = "-");
bool flagField(const picojson::value& object, const std::string& field);
const picojson::array& listField(const picojson::value& object, const std::string& field);
picojson::value jsonField(const picojson::value& object, const std::string& field);

}  // namespace aniseline

#endif  // ANISELINE_CLI_TABLE_HPP
