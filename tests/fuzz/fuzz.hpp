// What the fuzzers share. tests/fuzz.sh runs them.
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

inline void require(bool holds) {
  if (!holds)
    std::abort();
}

// Takes the text up to the mark off the front.
inline std::string takeUntil(std::string& rest, char mark) {
  const auto end = rest.find(mark);
  const std::string taken = rest.substr(0, end);
  rest = end == std::string::npos ? "" : rest.substr(end + 1);
  return taken;
}

#endif  // ANISELINE_TESTS_FUZZ_FUZZ_HPP
