// Sizes of heap allocations, from which the memory of the cluster state is estimated. Used by the
// estimates of the tables. docs/CAPACITY.md 3.
#ifndef ANISELINE_STATE_ALLOCATION_SIZES_HPP
#define ANISELINE_STATE_ALLOCATION_SIZES_HPP
#include <cstdint>
#include <string>

namespace aniseline {

/// The header and rounding of one heap allocation, in bytes.
inline constexpr std::uint64_t allocationOverhead = 16;
/// The links and colour of one node of an ordered map or set, in bytes.
inline constexpr std::uint64_t mapNodeOverhead = 32 + allocationOverhead;

/// Returns the memory in bytes of the characters of a text. Short texts that are stored within the
/// string object are counted too.
inline std::uint64_t textBytes(const std::string& text) {
  return text.empty() ? 0 : text.size() + allocationOverhead;
}

}  // namespace aniseline

#endif  // ANISELINE_STATE_ALLOCATION_SIZES_HPP
