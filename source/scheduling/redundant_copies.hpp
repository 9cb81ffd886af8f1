// Redundant copies: when an attempt of a redundant step is overdue, or its worker out of contact, a
// copy is started on another worker; the first to succeed counts. docs/design.md 7.7, docs/paper.md
// 5.
#ifndef ANISELINE_SCHEDULING_REDUNDANT_COPIES_HPP
#define ANISELINE_SCHEDULING_REDUNDANT_COPIES_HPP
#include "scheduling/attempt_projection.hpp"
#include "scheduling/backfill_admission.hpp"

namespace aniseline::scheduling {

/// Starts copies for the surveyed attempts of redundant steps: allocates them on their workers,
/// adds their starts to the plan and counts them there. A copy may not delay the reserved start.
void startRedundantCopies(SchedulingContext& context, const std::vector<StepAttempt>& redundant,
                          const BackfillAdmission& backfill, PlanDraft& draft);

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_REDUNDANT_COPIES_HPP
