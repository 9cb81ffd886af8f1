// Reads the process's own entry in /proc.
#include "daemons/process_memory.hpp"
#include <fstream>
#include <unistd.h>

namespace aniseline {

std::uint64_t residentMemoryBytes() {
  std::ifstream statistics("/proc/self/statm");
  std::uint64_t totalPages = 0;
  std::uint64_t residentPages = 0;
  if (!(statistics >> totalPages >> residentPages))
    return 0;
  return residentPages * std::uint64_t(sysconf(_SC_PAGESIZE));
}

}  // namespace aniseline
