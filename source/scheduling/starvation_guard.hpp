// Bounds how long work is passed over where it fits. Headroom for urgent work and the one reserved
// start hold work back on purpose; a job of which nothing runs, and a task that runs until it is
// cancelled, are held back by them for PlannerHints::maxPassedOverTime at most.
// docs/paper.md 5, docs/design.md 7.9.
#ifndef ANISELINE_SCHEDULING_STARVATION_GUARD_HPP
#define ANISELINE_SCHEDULING_STARVATION_GUARD_HPP
#include "scheduling/immediate_starts.hpp"
#include <set>

namespace aniseline::scheduling {

class StarvationGuard {
 public:
  StarvationGuard(SchedulingContext& context, const PlannerHints& hints, PlanDraft& draft)
      : context(context),
        hints(hints),
        draft(draft),
        noReservation(context),
        unrestricted(noReservation),
        starts(context, unrestricted, draft) {}

  /// The plan has started a unit: its job is not passed over.
  void recordStart(const PlacementUnit& unit) { startedJobs.insert(unit.step().jobId()); }
  /// To be called with the units that the plan has not started, in their order. Starts those that
  /// have been passed over for too long, and returns them; notes the others that fit in the plan,
  /// for the hints of later plans.
  std::set<const PlacementUnit*> startOverdue(const std::vector<const PlacementUnit*>& waiting);

 private:
  bool mayStarve(const PlacementUnit& unit) const;
  // What is found once for a batch is not looked for again: free resources only shrink.
  bool hasRoomTwiceOver(const PlacementUnit& unit) const;
  bool findRoomTwiceOver(const PlacementUnit& unit) const;
  bool isOverdue(const PassedOverUnit& unit) const;

  SchedulingContext& context;
  const PlannerHints& hints;
  PlanDraft& draft;
  // Holds nothing, so that starts are tried as if no start was reserved.
  ReservedStart noReservation;
  BackfillAdmission unrestricted;
  ImmediateStarts starts;
  std::set<JobId> startedJobs;  // by this plan
};

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_STARVATION_GUARD_HPP
