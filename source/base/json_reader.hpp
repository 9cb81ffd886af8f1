// Strict reader of untrusted JSON objects: each field must have the expected type, and unknown
// fields are errors. Errors are collected with the path of their field, so that the sender sees all
// of them at once. Used by the readers of the configuration and of requests. docs/design.md 9.4.
#ifndef ANISELINE_BASE_JSON_READER_HPP
#define ANISELINE_BASE_JSON_READER_HPP
#include "base/json.hpp"
#include <cmath>

namespace aniseline {

/// Reads one object. Errors are appended to a list that must outlive the reader. The destructor
/// reports fields that were never read as unknown.
class JsonObjectReader {
 public:
  enum class Presence : std::uint8_t { optional, required };

  /// `path` is the path of the object, empty for the root.
  JsonObjectReader(const picojson::value& value, std::string path,
                   std::vector<ErrorDetail>& errors);
  ~JsonObjectReader();
  JsonObjectReader(const JsonObjectReader&) = delete;
  JsonObjectReader& operator=(const JsonObjectReader&) = delete;

  /// Returns the path of a field of the object, or of the object itself for an empty name.
  std::string pathOf(const std::string& field) const;
  void addError(const std::string& field, const std::string& text);

  /// Returns the field's value, or null if it is absent. The pointer is valid as long as the value
  /// passed to the constructor.
  const picojson::value* find(const std::string& field, Presence presence = Presence::optional);
  const picojson::array* list(const std::string& field, Presence presence = Presence::optional);
  const picojson::object* object(const std::string& field);
  /// Returns a list of strings; reports `elementError` for each element that is not a string.
  std::vector<std::string> texts(const std::string& field, const char* elementError);
  /// Returns the field's value. An absent or invalid field gives an empty string, false or
  /// `fallback`.
  std::string text(const std::string& field, Presence presence = Presence::optional);
  bool flag(const std::string& field);
  std::uint64_t unsignedInteger(const std::string& field, Presence presence,
                                std::uint64_t fallback = 0);
  /// Like unsignedInteger(), clamped to 32 bits.
  std::uint32_t unsignedInteger32(const std::string& field, Presence presence,
                                  std::uint64_t fallback = 0);
  /// Reads an unsigned integer as a number of milliseconds.
  Duration duration(const std::string& field, Presence presence, std::uint64_t fallback = 0);
  /// Reads a number with at most three decimals and returns it in thousandths. Returns 1 for an
  /// absent or invalid field if it is required, otherwise 0.
  std::uint32_t thousandths(const std::string& field, Presence presence);
  /// Reads a 64-bit number written as a string of decimal digits. Returns 0 if the field is absent
  /// or invalid.
  std::uint64_t decimalText(const std::string& field, Presence presence);

  /// The read functions below leave the target unchanged if the field is absent or invalid.
  void readText(const std::string& field, std::string& target);
  void readFlag(const std::string& field, bool& target);
  void readReal(const std::string& field, double& target, double minimum, double maximum);
  template <class Number>
  void readInteger(const std::string& field, Number& target, double minimum, double maximum) {
    if (const auto number = integerWithin(field, minimum, maximum))
      target = Number(*number);
  }
  /// Reads a duration; the value and the bounds are in milliseconds.
  void readDuration(const std::string& field, Duration& target, double minimum, double maximum) {
    readInteger(field, target.milliseconds, minimum, maximum);
  }

 private:
  std::optional<double> integerWithin(const std::string& field, double minimum, double maximum);

  std::string path;
  std::vector<ErrorDetail>& errors;
  const picojson::object* fields = nullptr;  // null if the value is not an object
  std::set<std::string> requestedFields;
};

}  // namespace aniseline

#endif  // ANISELINE_BASE_JSON_READER_HPP
