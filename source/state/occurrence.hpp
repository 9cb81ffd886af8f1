// Ids of the jobs that a timetable fires: the timetable's own id, a separator
// and the number of the occurrence. No submitted id holds the separator.
// docs/design.md 4.1.
#ifndef ANISELINE_STATE_OCCURRENCE_HPP
#define ANISELINE_STATE_OCCURRENCE_HPP
#include "base/types.hpp"

namespace aniseline {

struct OccurrenceId {
  static constexpr char separator = '@';
  JobId timetable;
  std::string number;  // decimal, from 0 on

  static JobId make(const JobId& timetable, std::uint32_t number) {
    return JobId{timetable.value + separator + std::to_string(number)};
  }
  /// The parts of an occurrence's id; nothing for a job that no timetable
  /// fired.
  static std::optional<OccurrenceId> parse(const JobId& job) {
    const auto position = job.value.rfind(separator);
    if (position == std::string::npos)
      return std::nullopt;
    return OccurrenceId{JobId{job.value.substr(0, position)}, job.value.substr(position + 1)};
  }
  /// The id under which a job was submitted: its timetable's, if one fired it, else its own.
  static JobId submittedIdOf(const JobId& job) {
    const auto occurrence = parse(job);
    return occurrence ? occurrence->timetable : job;
  }
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_OCCURRENCE_HPP
