// Measures processor time and memory for the benchmarks. docs/CAPACITY.md.
#ifndef ANISELINE_BENCHMARKS_METER_HPP
#define ANISELINE_BENCHMARKS_METER_HPP
#include "base/types.hpp"

namespace aniseline::benchmarks {

// This thread's processor time, in microseconds.
double processorMicros();
// What the process holds on its heap, in bytes.
double heapBytes();

// Measured values by name.
using Values = std::map<std::string, double>;

// Adds the processor time of a scope to one of the values.
class Meter {
 public:
  Meter(Values& values, const char* name) : target(values[name]), begun(processorMicros()) {}
  ~Meter() { target += processorMicros() - begun; }
  Meter(const Meter&) = delete;
  Meter& operator=(const Meter&) = delete;

 private:
  double& target;
  double begun;
};

// The processor time of one call, in microseconds.
template <class Work>
double timed(Work work) {
  const double begun = processorMicros();
  work();
  return processorMicros() - begun;
}

}  // namespace aniseline::benchmarks

#endif  // ANISELINE_BENCHMARKS_METER_HPP
