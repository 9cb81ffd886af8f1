// Starvation guard: bounds how long work is passed over although it fits. Headroom for urgent work
// and the reserved start hold work back on purpose. They hold back a job without any running
// attempt, or a task that runs until it is cancelled, for at most PlannerHints::maxPassedOverTime.
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
        unrestrictedBackfill(noReservation),
        starts(context, unrestrictedBackfill, draft) {}

  /// Records that the plan has started a unit, so that its job is not passed over.
  void recordStart(const PlacementUnit& unit) { startedJobs.insert(unit.step().jobId()); }
  /// Starts the units that have been passed over for too long, and returns them. Records the others
  /// that fit in the plan, for the hints of later plans. `waiting` holds the units that the plan
  /// has not started, in their order.
  std::set<const PlacementUnit*> startOverdue(const std::vector<const PlacementUnit*>& waiting);

 private:
  // Lifts the limit of one task from workers with a penalty, in pools with room, as long as it
  // lives. Work that fits only there must not starve: what failed may have been the work's fault.
  class TaskLimitLift {
   public:
    explicit TaskLimitLift(SchedulingContext& context);
    ~TaskLimitLift();
    TaskLimitLift(const TaskLimitLift&) = delete;
    TaskLimitLift& operator=(const TaskLimitLift&) = delete;

   private:
    SchedulingContext& context;
  };
  bool mayStarve(const PlacementUnit& unit) const;
  // Caches a lack of room in the unit's batch, because free resources only shrink.
  bool fitsTwice(const PlacementUnit& unit) const;
  bool computeFitsTwice(const PlacementUnit& unit) const;
  bool isOverdue(const PassedOverUnit& unit) const;

  SchedulingContext& context;
  const PlannerHints& hints;
  PlanDraft& draft;
  // Never held, so that units are tried as if there were no reserved start.
  ReservedStart noReservation;
  BackfillAdmission unrestrictedBackfill;
  ImmediateStarts starts;
  std::set<JobId> startedJobs;  // jobs with a unit started by this plan
};

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_STARVATION_GUARD_HPP
