// Estimates of the memory that jobs take in one copy of the cluster state, from the size of their
// submissions. The leader compares their sum with its memory budget before it accepts work.
// docs/design.md 10.1, docs/CAPACITY.md 3.
#ifndef ANISELINE_STATE_JOB_MEMORY_HPP
#define ANISELINE_STATE_JOB_MEMORY_HPP
#include "state/job.hpp"

namespace aniseline {

/// Returns the memory in bytes that a job with this submission takes while it is open, counting an
/// attempt and an unconfirmed start order for each of its tasks.
std::uint64_t estimateOpenJobBytes(const JobSubmission& submission);
/// Returns the memory in bytes that a job takes in its present state. A timetable without an open
/// occurrence also counts the next one, so that accepted timetables can always fire.
std::uint64_t estimateJobBytes(const Job& job);

}  // namespace aniseline

#endif  // ANISELINE_STATE_JOB_MEMORY_HPP
