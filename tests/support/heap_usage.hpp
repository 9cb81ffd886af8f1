// The heap memory that the test process has in use, for tests of memory bounds.
#ifndef ANISELINE_TESTS_SUPPORT_HEAP_USAGE_HPP
#define ANISELINE_TESTS_SUPPORT_HEAP_USAGE_HPP
#include <cstddef>
#include <cstdint>
#include <malloc.h>

#ifdef __SANITIZE_ADDRESS__
// Part of the sanitizer's public interface. GCC ships the function, but not its header.
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();
#endif

namespace aniseline {

// Returns the bytes that are allocated and not freed. The address sanitizer replaces the allocator
// of the C library and counts for itself.
inline std::uint64_t heapBytesInUse() {
#ifdef __SANITIZE_ADDRESS__
  return __sanitizer_get_current_allocated_bytes();
#else
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
#endif
}

}  // namespace aniseline

#endif  // ANISELINE_TESTS_SUPPORT_HEAP_USAGE_HPP
