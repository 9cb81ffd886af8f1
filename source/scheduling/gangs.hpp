// Gangs that are placed but do not run yet: those staged on all their workers are launched, those
// that can't be are stopped whole, so that no part runs alone. docs/design.md 7.3.
#ifndef ANISELINE_SCHEDULING_GANGS_HPP
#define ANISELINE_SCHEDULING_GANGS_HPP
#include "scheduling/attempt_projection.hpp"

namespace aniseline::scheduling {

/// Reads the gangs' parts, and when their workers were last heard from; adds launches and stops to
/// the plan. Changes nothing in the context but the views of jobs that it builds.
void advanceGangs(SchedulingContext& context, const std::vector<StepAttempt>& gangParts,
                  PlanDraft& draft);

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_GANGS_HPP
