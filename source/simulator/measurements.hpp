// The measurements of the simulate program other than campaigns. docs/measurements.md.
#ifndef ANISELINE_SIMULATOR_MEASUREMENTS_HPP
#define ANISELINE_SIMULATOR_MEASUREMENTS_HPP
#include <picojson.h>

namespace aniseline {

// Measures the CPU time of one plan with `waiting` waiting tasks while every worker is full.
// Returns the median, minimum and maximum of 31 plans in ms.
picojson::object measurePlanning(std::size_t waiting, std::size_t workers);
// Measures the virtual time in ms from the loss of a leader, which is frozen or killed, to the next
// leader, over `seeds` seeds.
picojson::object measureFailover(std::int64_t from, std::int64_t seeds, bool freezes);
// Measures the CPU time in ms of packing, copying and reading a cluster state with `kept` ended
// jobs, which are kept whole or shortened.
picojson::object measureSnapshot(std::size_t kept, bool keepWhole);

}  // namespace aniseline

#endif  // ANISELINE_SIMULATOR_MEASUREMENTS_HPP
