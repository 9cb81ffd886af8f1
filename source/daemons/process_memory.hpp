// The memory that this process takes, as the operating system counts it.
#ifndef ANISELINE_DAEMONS_PROCESS_MEMORY_HPP
#define ANISELINE_DAEMONS_PROCESS_MEMORY_HPP
#include <cstdint>

namespace aniseline {

/// Returns the resident memory of this process in bytes, or 0 if the system does not tell.
std::uint64_t residentMemoryBytes();

}  // namespace aniseline

#endif  // ANISELINE_DAEMONS_PROCESS_MEMORY_HPP
