// Conversion of names, as used on the wire, to enum constants. Names are arrays indexed by the
// constant's value.
#ifndef ANISELINE_BASE_ENUM_NAMES_HPP
#define ANISELINE_BASE_ENUM_NAMES_HPP
#include <cstddef>
#include <optional>
#include <string>

namespace aniseline {

/// Returns the constant with this name, or nothing if `names` does not contain the text.
template <class Enum, std::size_t Count>
std::optional<Enum> enumFromName(const char* const (&names)[Count], const std::string& text) {
  for (std::size_t index = 0; index < Count; ++index) {
    if (text == names[index])
      return Enum(index);
  }
  return std::nullopt;
}

}  // namespace aniseline

#endif  // ANISELINE_BASE_ENUM_NAMES_HPP
