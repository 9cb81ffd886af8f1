// Decides whether the cluster state may grow. Every accepted job takes memory in each copy of the
// state on each controller, so the leader accepts a job, or fires an occurrence of a timetable,
// only while the estimated size of all jobs stays within a budget. docs/design.md 10.1.
#ifndef ANISELINE_CONTROLLER_STATE_MEMORY_BUDGET_HPP
#define ANISELINE_CONTROLLER_STATE_MEMORY_BUDGET_HPP
#include "state/cluster_state.hpp"

namespace aniseline {

class StateMemoryBudget {
 public:
  // Work that was not let into the state.
  struct Refusals {
    std::uint64_t rejectedJobs = 0;
    std::uint64_t deferredOccurrences = 0;  // each counted again whenever it is deferred again
    std::uint64_t rejectedCancels = 0;      // of unknown jobs
    bool any() const { return rejectedJobs > 0 || deferredOccurrences > 0 || rejectedCancels > 0; }
  };

  // `limitBytes` is the limit on the estimated size of all jobs and tombstones in one copy of the
  // state.
  explicit StateMemoryBudget(std::uint64_t limitBytes) : limitBytes(limitBytes) {}

  // Reports whether a new job fits. Urgent jobs may use a reserve that is closed to others. A job
  // always fits in an empty state.
  bool admits(const JobSubmission& job, bool isUrgent, const ClusterState& state);
  // Reports whether the next occurrence of a timetable may start now. A timetable with no open
  // occurrence always has room, because its admission counted one.
  bool admitsOccurrence(const Job& timetable, const ClusterState& state);
  // Reports whether the cancellation of an unknown job can be remembered. Tombstones have a share
  // of the budget of their own, so that a flood of cancels does not take the place of jobs.
  bool admitsTombstone(const JobId& job, const CancellationScope& scope, const ClusterState& state);
  // Reports whether the details of ended jobs should be discarded early.
  bool isScarce(const ClusterState& state) const;
  // Returns the refusals since the last call.
  Refusals takeRefusals() { return std::exchange(refusals, {}); }

 private:
  bool hasRoomForJob(const JobSubmission& job, bool isUrgent, const ClusterState& state) const;
  bool hasRoomForOccurrence(const Job& timetable, const ClusterState& state) const;

  std::uint64_t limitBytes;
  Refusals refusals;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_STATE_MEMORY_BUDGET_HPP
