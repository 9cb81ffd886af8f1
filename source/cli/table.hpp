// Short aligned tables for people. docs/operations.md 3.
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
  // Columns stand two blanks apart; what can't be printed in a cell is shown as '?'.
  std::string render() const;

 private:
  std::vector<Column> columns;
  std::vector<std::vector<std::string>> rows;
};

// What came over the network, safe for a terminal.
std::string printable(const std::string& text);

std::string formatDuration(double milliseconds);  // "571 ms", "12.5 s", "3.0 min"; "-" below 0
std::string formatMemory(double megabytes);       // "512 MB", "32.0 GB"
std::string formatNumber(double number);          // without needless decimals
std::string formatTime(double milliseconds);      // a calendar time in UTC

// Fields of an answer; one that is missing or of another kind reads as the given one.
double numberField(const picojson::value& object, const std::string& field, double otherwise = 0);
std::string textField(const picojson::value& object, const std::string& field,
                      const std::string& otherwise = "-");
bool flagField(const picojson::value& object, const std::string& field);
const picojson::array& listField(const picojson::value& object, const std::string& field);
picojson::value jsonField(const picojson::value& object, const std::string& field);

}  // namespace aniseline

#endif  // ANISELINE_CLI_TABLE_HPP
