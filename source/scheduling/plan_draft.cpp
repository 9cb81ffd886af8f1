// Builds the stop and start actions of a plan.
#include "scheduling/plan_draft.hpp"

namespace aniseline::scheduling {

void PlanDraft::addStop(const Attempt& attempt, const char* reason) {
  Action action;
  action.kind = ActionKind::stop;
  action.attempt = attempt.number;
  action.worker = attempt.worker;
  action.reason = reason;
  add(std::move(action));
}

Action startAction(ActionKind kind, AttemptNumber attempt, const JobId& job,
                   std::uint32_t taskIndex, const WorkerId& worker, std::uint64_t memory) {
  Action action;
  action.kind = kind;
  action.attempt = attempt;
  action.job = job;
  action.taskIndex = taskIndex;
  action.worker = worker;
  action.memory = memory;
  return action;
}

}  // namespace aniseline::scheduling
