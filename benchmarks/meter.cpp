// Reads the thread's CPU clock and the allocator's statistics.
#include "benchmarks/meter.hpp"
#include <ctime>
#include <malloc.h>

namespace aniseline::benchmarks {

double threadCpuMicros() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return double(now.tv_sec) * 1e6 + double(now.tv_nsec) / 1e3;
}

double heapBytes() {
  const auto info = mallinfo2();
  return double(info.uordblks) + double(info.hblkhd);
}

}  // namespace aniseline::benchmarks
