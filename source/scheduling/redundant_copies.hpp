// Copies of redundant runs: when an attempt of a redundant step is overdue, or its worker out of
// contact, another is started elsewhere; the first to succeed counts. docs/design.md 7.7,
// docs/paper.md 5.
#ifndef ANISELINE_SCHEDULING_REDUNDANT_COPIES_HPP
#define ANISELINE_SCHEDULING_REDUNDANT_COPIES_HPP
#include "scheduling/attempt_projection.hpp"
#include "scheduling/backfill_admission.hpp"

namespace aniseline::scheduling {

/// Reads the surveyed attempts of redundant steps. Allocates the copies on their workers, adds
/// their starts to the plan and counts them there. A copy may not delay the reserved start.
void startRedundantCopies(SchedulingContext& context, const std::vector<StepAttempt>& redundant,
                          const BackfillAdmission& backfill, PlanDraft& draft);

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_REDUNDANT_COPIES_HPP
