// Advances gangs that are placed but do not run yet: a gang that is staged on all its workers is
// launched, and one that can't be launched is stopped whole, so that no part runs alone.
// docs/design.md 7.3.
#ifndef ANISELINE_SCHEDULING_GANGS_HPP
#define ANISELINE_SCHEDULING_GANGS_HPP
#include "scheduling/attempt_projection.hpp"

namespace aniseline::scheduling {

/// Adds launches and stops to the plan, depending on the state of the gangs' parts and on the last
/// contact with their workers. Changes nothing in the context except for the job views that it
/// builds.
void advanceGangs(SchedulingContext& context, const std::vector<StepAttempt>& gangParts,
                  PlanDraft& draft);

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_GANGS_HPP
