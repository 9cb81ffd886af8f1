// What is placed and has to be told something: gangs that go or are taken back, runs past their
// limit. docs/design.md 7.3, 7.5, 7.6.
#include "scheduling/planner_work.hpp"

namespace aniseline {

using namespace planning;

// Gangs that are wholly staged go; those that cannot be are taken back.
void Planner::Work::moveGangs() {
  auto unheard = [](const Attempt& part) {
    return part.state == AttemptState::going ||
           (part.assembles && part.state == AttemptState::ordered);
  };
  auto alone = [&](const Attempt& part) {
    return unheard(part) && now - part.runningSince > goLimit;
  };
  // Of most gangs all parts run, and there is nothing to tell.
  std::map<std::pair<std::string_view, std::uint32_t>, std::vector<const Attempt*>> gangs;
  for (const auto& [step, part] : gangParts) {
    const bool early = part->state == AttemptState::ordered ||
                       part->state == AttemptState::staged || part->state == AttemptState::going;
    if (part->assembles ? alone(*part) : early)
      gangs[{part->job.value, step->number}];
  }
  if (gangs.empty())
    return;
  for (const auto& [step, part] : gangParts)
    if (auto found = gangs.find({part->job.value, step->number}); found != gangs.end())
      found->second.push_back(part);
  for (const auto& [key, parts] : gangs) {
    const Job& job = *jobInPlan(parts.front()->job)->job;
    std::size_t openParts = 0;
    for (const auto& task : job.tasks)
      openParts += task.step == key.second && task.state != TaskState::done;
    bool allStaged = parts.size() == openParts, staging = false, late = false, oneAlone = false;
    for (const auto* part : parts) {
      oneAlone = oneAlone || alone(*part);
      if (part->assembles)
        continue;
      if (part->state == AttemptState::staged || part->state == AttemptState::ordered) {
        staging = true;
        late = late || now - part->orderedAt > stagingLimit;
      }
      auto quiet = silence.find(part->worker);
      const bool heard = quiet != silence.end() && quiet->second < Duration{1500};
      allStaged = allStaged && part->state == AttemptState::staged && heard &&
                  clusterState.workers.at(part->worker).open();
    }
    for (const auto* part : parts) {
      Action action;
      action.attempt = part->number;
      action.worker = part->worker;
      if (allStaged && !part->assembles)
        action.kind = ActionKind::go;
      else if (oneAlone && part->state != AttemptState::stopping) {
        action.kind = ActionKind::stop;
        action.reason = "alone";
      } else if (staging && late && part->state != AttemptState::stopping) {
        action.kind = ActionKind::stop;
        action.reason = "staging";
      } else
        continue;
      plan.made.actions.push_back(std::move(action));
    }
  }
}

void Planner::Work::noteOverdue(const Attempt& attempt, const QueueOptions& queue) {
  if (attempt.state != AttemptState::running)
    return;
  const bool trialOver = attempt.trial() && attempt.ranBy(now) > attempt.quantum + trialGrace;
  const bool pastLimit =
      !attempt.trial() && queue.hardLimit.milliseconds > 0 && attempt.ranBy(now) > queue.hardLimit;
  if (!trialOver && !pastLimit)
    return;
  Action action;
  action.kind = ActionKind::stop;
  action.attempt = attempt.number;
  action.worker = attempt.worker;
  action.reason = trialOver ? "trial" : "hard limit";
  overdueStops.push_back(std::move(action));
}

}  // namespace aniseline
