// Combines hashes, for the states that the linearizability checker remembers.
#ifndef ANISELINE_CHECKER_HASH_MIX_HPP
#define ANISELINE_CHECKER_HASH_MIX_HPP
#include <cstddef>

namespace aniseline {

// Folds one more value into a hash; the order of the values counts. The constant is 2^64 divided by
// the golden ratio, as in Boost's hash_combine.
inline void mixHash(std::size_t& seed, std::size_t value) {
  seed ^= value + 0x9e3779b97f4a7c15ull + (seed << 6) + (seed >> 2);
}

}  // namespace aniseline

#endif  // ANISELINE_CHECKER_HASH_MIX_HPP
