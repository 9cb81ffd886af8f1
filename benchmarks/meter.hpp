// Measures CPU time and heap memory for the benchmarks. docs/CAPACITY.md.
#ifndef ANISELINE_BENCHMARKS_METER_HPP
#define ANISELINE_BENCHMARKS_METER_HPP
#include "base/types.hpp"

namespace aniseline::benchmarks {

// Returns the CPU time that this thread has used, in microseconds.
double threadCpuMicros();
// Returns the number of bytes allocated on the heap of this process.
double heapBytes();

// Maps the names of metrics to their values.
using Metrics = std::map<std::string, double>;

// Adds the CPU time of a scope, in microseconds, to one metric.
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

// Calls a function and returns the CPU time of the call, in microseconds.
template <class Work>
double measureCpuMicros(Work work) {
  const double startMicros = threadCpuMicros();
  work();
  return threadCpuMicros() - startMicros;
}

}  // namespace aniseline::benchmarks

#endif  // ANISELINE_BENCHMARKS_METER_HPP
