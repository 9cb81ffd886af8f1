// Parses untrusted JSON without throwing and builds JSON values from the project's own types.
// docs/design.md 9.4.
#ifndef ANISELINE_BASE_JSON_HPP
#define ANISELINE_BASE_JSON_HPP
#include "base/types.hpp"
#include <limits>
#include <picojson.h>

namespace aniseline {

/// Parses the text with picojson::parse and returns the error, or an empty string on success. With
/// `whole`, only white space may follow the value. picojson itself throws on numbers that a double
/// cannot represent, such as 1e999; this function returns an error instead.
inline std::string parseJson(picojson::value& root, const std::string& text, bool whole = false) {
  if (isNestedTooDeeply(text))
    return "is nested too deep";
  std::string error;
  auto end = text.begin();
  try {
    end = picojson::parse(root, text.begin(), text.end(), &error);
  } catch (const std::overflow_error&) {
    return "a number is too large";
  }
  const bool hasTrailingText = std::any_of(
      end, text.end(), [](char character) { return !std::isspace((unsigned char)character); });
  if (error.empty() && whole && hasTrailingText)
    return "unexpected text after the value";
  return error;
}

/// Converts a JSON number to an integer, clamped to the range of the type and to the integers that
/// a double represents exactly.
template <class Integer>
Integer clampToInteger(double number) {
  constexpr double maxExactInteger = 9007199254740992.0;  // 2^53
  const double lowest = std::max(-maxExactInteger, double(std::numeric_limits<Integer>::min()));
  const double highest = std::min(maxExactInteger, double(std::numeric_limits<Integer>::max()));
  return Integer(std::clamp(number, lowest, highest));
}

inline picojson::value json(const std::string& text) {
  return picojson::value(text);
}
inline picojson::value json(const char* text) {
  return picojson::value(std::string(text));
}
inline picojson::value json(bool flag) {
  return picojson::value(flag);
}
/// Numbers pass through a double, so 64-bit numbers that must be exact are written as strings
/// instead.
template <class Number>
requires(std::is_arithmetic_v<Number> && !std::is_same_v<Number, bool>) picojson::value
    json(Number number) {
  return picojson::value(double(number));
}
inline picojson::value json(picojson::object object) {
  return picojson::value(std::move(object));
}
inline picojson::value json(picojson::array array) {
  return picojson::value(std::move(array));
}

}  // namespace aniseline

#endif  // ANISELINE_BASE_JSON_HPP
