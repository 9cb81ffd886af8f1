// Names of enum constants on the wire, as arrays by position.
#ifndef ANISELINE_BASE_ENUM_NAMES_HPP
#define ANISELINE_BASE_ENUM_NAMES_HPP
#include <cstddef>
#include <optional>
#include <string>

namespace aniseline {

/// The constant whose name stands in `names`; nothing if the text is none of
/// them.
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
