// Immediate service: a unit that can't start in full gets one short trial at once, on idle cores or
// on the cores of running attempts that are suspended for it. Paper 2.4; docs/paper.md 4 and 5.
#ifndef ANISELINE_SCHEDULING_SERVICE_TRIALS_HPP
#define ANISELINE_SCHEDULING_SERVICE_TRIALS_HPP
#include "scheduling/backfill_admission.hpp"
#include "scheduling/compiled_policies.hpp"
#include "scheduling/plan_draft.hpp"
#include "scheduling/unit_placement.hpp"

namespace aniseline::scheduling {

class ServiceTrials {
 public:
  ServiceTrials(SchedulingContext& context, const CompiledPolicies& policies,
                const ReservedStart& reservedStart, const BackfillAdmission& backfill,
                PlanDraft& draft)
      : context(context),
        policies(policies),
        reservedStart(reservedStart),
        backfill(backfill),
        draft(draft) {}

  /// Starts trials for the units that have had none, in the given order. Allocates the trials,
  /// suspends their victims in the context and adds the actions to the plan. A trial may not delay
  /// the reserved start of another unit.
  void start(const std::vector<const PlacementUnit*>& notStarted);

 private:
  struct TrialPlacement {
    std::size_t workerIndex = 0;
    std::int64_t idleCoresAfter = 0;
    std::vector<const Attempt*> victims;
  };
  // The request of one task of a unit for a trial.
  struct TrialRequest {
    const PlacementUnit& unit;
    std::uint32_t taskIndex;
    Resources resources;  // memory is limited by the queue's trial option
    std::size_t avoidedWorker;
    bool holdsReservedStart;  // true if its unit does; the trial may then move that start
  };
  enum class Victims { none, allowed };

  bool tryTrial(const PlacementUnit& unit);
  TrialRequest requestFor(const PlacementUnit& unit, std::uint32_t taskIndex) const;
  std::optional<TrialPlacement> findPlacement(const TrialRequest& request, Victims victims);
  bool mayHost(const TrialRequest& request, std::size_t workerIndex) const;
  std::optional<std::vector<const Attempt*>> selectVictims(const WorkerView& worker,
                                                           std::int64_t missingCores,
                                                           Duration minimumRuntime);
  bool keepsReservedStart(const TrialRequest& request, const TrialPlacement& placement) const;
  void startTrial(const TrialRequest& request, const TrialPlacement& placement,
                  UnitPlacement& placed);
  double slowdown(const Attempt& attempt) const;
  bool maySuspend(const Attempt& attempt);

  SchedulingContext& context;
  const CompiledPolicies& policies;
  const ReservedStart& reservedStart;
  const BackfillAdmission& backfill;
  PlanDraft& draft;
  FailedRequests failedTrials;  // of single tasks without a label or a pool
  std::map<AttemptNumber, bool> suspendable;
};

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_SERVICE_TRIALS_HPP
