// Measures processor time and memory for the benchmarks. docs/CAPACITY.md.
#ifndef ANISELINE_BENCHMARKS_METER_HPP
#define ANISELINE_BENCHMARKS_METER_HPP
#include "base/types.hpp"

namespace aniseline::benchmarks {

// This thread's processor time, in microseconds.
double threadCpuMicros();
// What the process holds on its heap, in bytes.
double heapBytes();

// Measured values by name.
using Metrics = std::map<std::string, double>;

// Adds the processor time of a scope to one of the values.
class CpuMeter {
 public:
  CpuMeter(Metrics& values, const char* name)
      : total(values[name]), startMicros(threadCpuMicros()) {}
  ~CpuMeter() { total += threadCpuMicros() - startMicros; }
  CpuMeter(const CpuMeter&) = delete;
  CpuMeter& operator=(const CpuMeter&) = delete;

 private:
  double& total;
  double startMicros;
};

// The processor time of one call, in microseconds.
template <class Work>
double measureCpuMicros(Work work) {
  const double startMicros = threadCpuMicros();
  work();
  return threadCpuMicros() - startMicros;
}

}  // namespace aniseline::benchmarks

#endif  // ANISELINE_BENCHMARKS_METER_HPP
