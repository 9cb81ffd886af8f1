// The shares of the memory budget for each kind of work.
#include "controller/state_memory_budget.hpp"
#include "state/job_memory.hpp"
#include "state/occurrence.hpp"

namespace aniseline {

namespace {

// Limits on the size of all jobs, in percent of the budget, for adding each kind of work. A
// timetable that is behind must not keep new jobs out, and other jobs must not keep out urgent
// ones.
constexpr std::uint64_t occurrencePercent = 50;
constexpr std::uint64_t jobPercent = 75;
constexpr std::uint64_t urgentJobPercent = 100;
constexpr std::uint64_t scarcePercent = 40;
constexpr std::uint64_t tombstonePercent = 5;

// A timetable with this many open occurrences fires the next one only after the previous one has
// started. Occurrences that wait behind it would only enlarge the state and the plans.
constexpr std::uint32_t maxOccurrencesAhead = 16;

bool hasStarted(const Job& job) {
  return std::any_of(job.tasks.begin(), job.tasks.end(),
                     [](const Task& task) { return task.runNumber > 0; });
}

// Reports whether the occurrence that was fired last is open and none of its tasks has started.
bool isLastOccurrenceWaiting(const Job& timetable, const ClusterState& state) {
  const auto last = state.jobs().find(
      OccurrenceId::make(timetable.submission.id, timetable.firedOccurrences - 1));
  return last != state.jobs().end() && !last->second.isTerminal() && !hasStarted(last->second);
}

}  // namespace

bool StateMemoryBudget::admits(const JobSubmission& job, bool isUrgent, const ClusterState& state) {
  const bool admitted = hasRoomForJob(job, isUrgent, state);
  refusals.rejectedJobs += admitted ? 0 : 1;
  return admitted;
}

bool StateMemoryBudget::admitsOccurrence(const Job& timetable, const ClusterState& state) {
  const bool admitted = hasRoomForOccurrence(timetable, state);
  refusals.deferredOccurrences += admitted ? 0 : 1;
  return admitted;
}

bool StateMemoryBudget::admitsTombstone(const JobId& job, const CancellationScope& scope,
                                        const ClusterState& state) {
  const std::uint64_t bytes =
      state.tombstones().estimatedBytes() + CancellationTombstones::estimateBytes(job, scope);
  const bool admitted = bytes <= limitBytes * tombstonePercent / 100;
  refusals.rejectedCancels += admitted ? 0 : 1;
  return admitted;
}

bool StateMemoryBudget::hasRoomForJob(const JobSubmission& job, bool isUrgent,
                                      const ClusterState& state) const {
  if (state.openJobs().empty())
    return true;
  Job candidate;
  candidate.submission = job;
  candidate.state = job.hasTimetable() ? JobState::scheduled : JobState::active;
  const std::uint64_t percent = isUrgent ? urgentJobPercent : jobPercent;
  return state.estimatedJobBytes() + estimateJobBytes(candidate) <= limitBytes * percent / 100;
}

bool StateMemoryBudget::hasRoomForOccurrence(const Job& timetable,
                                             const ClusterState& state) const {
  if (timetable.openOccurrences == 0)
    return true;
  if (timetable.openOccurrences >= maxOccurrencesAhead && isLastOccurrenceWaiting(timetable, state))
    return false;
  return state.estimatedJobBytes() + estimateOpenJobBytes(timetable.submission) <=
         limitBytes * occurrencePercent / 100;
}

bool StateMemoryBudget::isScarce(const ClusterState& state) const {
  return state.estimatedJobBytes() > limitBytes * scarcePercent / 100;
}

}  // namespace aniseline
