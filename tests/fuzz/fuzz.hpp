// Defines the entry point and helpers that the fuzzers share. tests/fuzz.sh runs the fuzzers.
#ifndef ANISELINE_TESTS_FUZZ_FUZZ_HPP
#define ANISELINE_TESTS_FUZZ_FUZZ_HPP
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#define FUZZ_TARGET(bytes)                                                            \
  static void run(const std::string& bytes);                                          \
  extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) { \
    run(std::string(reinterpret_cast<const char*>(data), size));                      \
    return 0;                                                                         \
  }                                                                                   \
  static void run(const std::string& bytes)

inline void require(bool condition) {
  if (!condition)
    std::abort();
}

// Removes the text up to and including the first `delimiter` from the front of `rest`, and returns
// it without the delimiter.
inline std::string takeUntilDelimiter(std::string& rest, char delimiter) {
  const auto end = rest.find(delimiter);
  const std::string taken = rest.substr(0, end);
  rest = end == std::string::npos ? "" : rest.substr(end + 1);
  return taken;
}

#endif  // ANISELINE_TESTS_FUZZ_FUZZ_HPP
