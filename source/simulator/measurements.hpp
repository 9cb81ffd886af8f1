// What simulate measures beside its campaigns. docs/measurements.md.
#ifndef ANISELINE_SIMULATOR_MEASUREMENTS_HPP
#define ANISELINE_SIMULATOR_MEASUREMENTS_HPP
#include <picojson.h>

namespace aniseline {

// One plan with so many tasks waiting and every worker full; the median of many, by the processor's
// clock.
picojson::object measurePlanning(std::size_t waiting, std::size_t workers);
// From the loss of a leader to another that serves, over many seeds, in virtual time.
picojson::object measureFailover(std::int64_t from, std::int64_t seeds, bool freezes);
// Packing, copying and reading a cluster state that keeps so many jobs, as they ended or shortened.
picojson::object measureSnapshot(std::size_t kept, bool whole);

}  // namespace aniseline

#endif  // ANISELINE_SIMULATOR_MEASUREMENTS_HPP
