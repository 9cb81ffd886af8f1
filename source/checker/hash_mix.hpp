// Combines hash values for the states that the linearizability checker stores.
#ifndef ANISELINE_CHECKER_HASH_MIX_HPP
#define ANISELINE_CHECKER_HASH_MIX_HPP
#include <cstddef>

namespace aniseline {

// Adds one value to a hash. The order of the values matters. The constant is 2^64 divided by the
// golden ratio, as in hash_combine of Boost.
inline void mixHash(std::size_t& seed, std::size_t value) {
  seed ^= value + 0x9e3779b97f4a7c15ull + (seed << 6) + (seed >> 2);
}

}  // namespace aniseline

#endif  // ANISELINE_CHECKER_HASH_MIX_HPP
