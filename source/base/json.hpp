// JSON from outside: any text is a value or a fault, never an exception. docs/design.md 9.4.
#ifndef ANISELINE_BASE_JSON_HPP
#define ANISELINE_BASE_JSON_HPP
#include "base/types.hpp"
#include <limits>
#include <picojson.h>

namespace aniseline {

// Reads the text as picojson::parse does; the fault, or nothing. Where `whole` is wanted nothing
// but blanks may follow the value. picojson itself throws at a number that no double holds, as
// 1e999.
inline std::string parseJson(picojson::value& root, const std::string& text, bool whole = false) {
  if (nestedTooDeep(text))
    return "is nested too deep";
  std::string fault;
  auto end = text.begin();
  try {
    end = picojson::parse(root, text.begin(), text.end(), &fault);
  } catch (const std::overflow_error&) {
    return "a number is too large";
  }
  const bool more = std::any_of(end, text.end(),
                                [](char letter) { return !std::isspace((unsigned char)letter); });
  if (fault.empty() && whole && more)
    return "more follows the value";
  return fault;
}

// A number of JSON as a whole one, held within what its type and a double's whole numbers reach.
template <class Whole>
Whole clampToInteger(double number) {
  constexpr double counted = 9007199254740992.0;  // 2^53
  const double least = std::max(-counted, double(std::numeric_limits<Whole>::min()));
  const double most = std::min(counted, double(std::numeric_limits<Whole>::max()));
  return Whole(std::clamp(number, least, most));
}

}  // namespace aniseline

#endif  // ANISELINE_BASE_JSON_HPP
