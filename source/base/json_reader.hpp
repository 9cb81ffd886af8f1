// Strict reading of JSON objects from outside: each field must be of its kind,
// and none may be unknown. Faults are collected with the path of the field, so
// that a sender learns of all at once. Used by the readers of the configuration
// and of requests. docs/design.md 9.4.
#ifndef ANISELINE_BASE_JSON_READER_HPP
#define ANISELINE_BASE_JSON_READER_HPP
#include "base/json.hpp"
#include <cmath>

namespace aniseline {

/// Reads one object. Its faults are appended to a list that must outlive it;
/// fields that nobody asked for are reported when it is destroyed.
class JsonObjectReader {
 public:
  enum class Presence : std::uint8_t { optional, required };

  /// `path` is that of the object, empty for the root.
  JsonObjectReader(const picojson::value& value, std::string path,
                   std::vector<ErrorDetail>& errors);
  ~JsonObjectReader();
  JsonObjectReader(const JsonObjectReader&) = delete;
  JsonObjectReader& operator=(const JsonObjectReader&) = delete;

  /// The path of one of the object's fields, or of the object itself for an
  /// empty name.
  std::string pathOf(const std::string& field) const;
  void addError(const std::string& field, const std::string& text);

  /// The field's value, or null. The pointer is valid as long as the value that
  /// is read.
  const picojson::value* find(const std::string& field, Presence presence = Presence::optional);
  const picojson::array* list(const std::string& field, Presence presence = Presence::optional);
  const picojson::object* object(const std::string& field);
  /// A list of strings; `elementError` is reported for each element that is
  /// none.
  std::vector<std::string> texts(const std::string& field, const char* elementError);
  /// An absent or faulty field reads as an empty text, as false, as
  /// `otherwise`, ...
  std::string text(const std::string& field, Presence presence = Presence::optional);
  bool flag(const std::string& field);
  std::uint64_t unsignedInteger(const std::string& field, Presence presence,
                                std::uint64_t fallback = 0);
  /// The same, limited to 32 bits.
  std::uint32_t unsignedInteger32(const std::string& field, Presence presence,
                                  std::uint64_t fallback = 0);
  /// An unsigned integer in milliseconds.
  Duration duration(const std::string& field, Presence presence, std::uint64_t fallback = 0);
  /// A number of at most three decimals, in thousandths; absent or faulty: 1 if
  /// it is required.
  std::uint32_t thousandths(const std::string& field, Presence presence);
  /// A number of 64 bits, written as a string of decimal digits; absent or
  /// faulty: 0.
  std::uint64_t decimalText(const std::string& field, Presence presence);

  /// These leave the target as it is where the field is absent or faulty.
  void readText(const std::string& field, std::string& target);
  void readFlag(const std::string& field, bool& target);
  void readReal(const std::string& field, double& target, double minimum, double maximum);
  template <class Number>
  void readInteger(const std::string& field, Number& target, double minimum, double maximum) {
    if (const auto number = integerWithin(field, minimum, maximum))
      target = Number(*number);
  }
  /// In milliseconds, as are the bounds.
  void readDuration(const std::string& field, Duration& target, double minimum, double maximum) {
    readInteger(field, target.milliseconds, minimum, maximum);
  }

 private:
  std::optional<double> integerWithin(const std::string& field, double minimum, double maximum);

  std::string path;
  std::vector<ErrorDetail>& errors;
  const picojson::object* fields = nullptr;  // null if the value is no object
  std::set<std::string> requestedFields;
};

}  // namespace aniseline

#endif  // ANISELINE_BASE_JSON_READER_HPP
