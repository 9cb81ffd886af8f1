// Ids of the jobs that a timetable fires: the id of the timetable, a separator and the number of
// the occurrence. Submitted ids cannot contain the separator. docs/design.md 4.1.
#ifndef ANISELINE_STATE_OCCURRENCE_HPP
#define ANISELINE_STATE_OCCURRENCE_HPP
#include "base/types.hpp"

namespace aniseline {

struct OccurrenceId {
  static constexpr char separator = '@';
  JobId timetable;
  std::string number;  // decimal, counted from 0

  static JobId make(const JobId& timetable, std::uint32_t number) {
    return JobId{timetable.value + separator + std::to_string(number)};
  }
  /// Splits the id of an occurrence. Returns nothing for a job that was not fired by a timetable.
  static std::optional<OccurrenceId> parse(const JobId& job) {
    const auto position = job.value.rfind(separator);
    if (position == std::string::npos)
      return std::nullopt;
    return OccurrenceId{JobId{job.value.substr(0, position)}, job.value.substr(position + 1)};
  }
  /// Returns the id under which the job was submitted: that of its timetable if one fired it,
  /// otherwise its own.
  static JobId submittedIdOf(const JobId& job) {
    const auto occurrence = parse(job);
    return occurrence ? occurrence->timetable : job;
  }
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_OCCURRENCE_HPP
