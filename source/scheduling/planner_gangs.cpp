// What is placed and has to be told something: gangs that go or are taken back, runs past their
// limit. docs/design.md 7.3, 7.5, 7.6.
#include "scheduling/planner_work.hpp"

namespace aniseline {

using namespace planning;

// Gangs that are wholly staged go; those that cannot be are taken back.
void Planner::PlanBuilder::advanceGangs() {
  auto unheard = [](const Attempt& part) {
    return part.state == AttemptState::launching ||
           (part.selfAssembling && part.state == AttemptState::ordered);
  };
  auto alone = [&](const Attempt& part) {
    return unheard(part) && now - part.runningSince > startConfirmationTimeout;
  };
  // Of most gangs all parts run, and there is nothing to tell.
  std::map<std::pair<std::string_view, std::uint32_t>, std::vector<const Attempt*>> gangs;
  for (const auto& [step, part] : gangAttempts) {
    const bool early = part->state == AttemptState::ordered ||
                       part->state == AttemptState::staged ||
                       part->state == AttemptState::launching;
    if (part->selfAssembling ? alone(*part) : early)
      gangs[{part->job.value, step->index}];
  }
  if (gangs.empty())
    return;
  for (const auto& [step, part] : gangAttempts)
    if (auto found = gangs.find({part->job.value, step->index}); found != gangs.end())
      found->second.push_back(part);
  for (const auto& [key, parts] : gangs) {
    const Job& job = *jobView(parts.front()->job)->job;
    std::size_t openParts = 0;
    for (const auto& task : job.tasks)
      openParts += task.stepIndex == key.second && task.state != TaskState::succeeded;
    bool allStaged = parts.size() == openParts, staging = false, late = false, oneAlone = false;
    for (const auto* part : parts) {
      oneAlone = oneAlone || alone(*part);
      if (part->selfAssembling)
        continue;
      if (part->state == AttemptState::staged || part->state == AttemptState::ordered) {
        staging = true;
        late = late || now - part->orderedAt > stagingTimeout;
      }
      auto quiet = contactAges.find(part->worker);
      const bool heard = quiet != contactAges.end() && quiet->second < Duration{1500};
      allStaged = allStaged && part->state == AttemptState::staged && heard &&
                  clusterState.workers().at(part->worker).isSchedulable();
    }
    for (const auto* part : parts) {
      Action action;
      action.attempt = part->number;
      action.worker = part->worker;
      if (allStaged && !part->selfAssembling)
        action.kind = ActionKind::launch;
      else if (oneAlone && part->state != AttemptState::stopping) {
        action.kind = ActionKind::stop;
        action.reason = "alone";
      } else if (staging && late && part->state != AttemptState::stopping) {
        action.kind = ActionKind::stop;
        action.reason = "staging";
      } else
        continue;
      plan.record.actions.push_back(std::move(action));
    }
  }
}

void Planner::PlanBuilder::stopIfOverTimeLimit(const Attempt& attempt, const QueueOptions& queue) {
  if (attempt.state != AttemptState::running)
    return;
  const bool trialOver =
      attempt.isTrial() && attempt.runtimeAt(now) > attempt.quantum + trialStopGrace;
  const bool pastLimit = !attempt.isTrial() && queue.hardRuntimeLimit.milliseconds > 0 &&
                         attempt.runtimeAt(now) > queue.hardRuntimeLimit;
  if (!trialOver && !pastLimit)
    return;
  Action action;
  action.kind = ActionKind::stop;
  action.attempt = attempt.number;
  action.worker = attempt.worker;
  action.reason = trialOver ? "trial" : "hard limit";
  timeLimitStops.push_back(std::move(action));
}

}  // namespace aniseline
