// Determines the status of each gang and adds its launch and stop actions.
#include "scheduling/gangs.hpp"
#include "state/stop_reasons.hpp"

namespace aniseline::scheduling {

namespace {

using GangKey = std::pair<std::string_view, std::uint32_t>;  // job and step index
using Gang = std::vector<const Attempt*>;

// Reports whether the part was ordered to run but was not reported as running in time.
bool startUnconfirmed(const Attempt& part, ClusterTime now) {
  const bool awaitsReport = part.state == AttemptState::launching ||
                            (part.selfAssembling && part.state == AttemptState::ordered);
  return awaitsReport && now - part.runningSince > startConfirmationTimeout;
}

// Reports whether the part's gang has to be examined. In most gangs all parts run and nothing has
// to be done.
bool needsAttention(const Attempt& part, ClusterTime now) {
  if (part.selfAssembling)
    return startUnconfirmed(part, now);
  return part.state == AttemptState::ordered || part.state == AttemptState::staged ||
         part.state == AttemptState::launching;
}

std::map<GangKey, Gang> gangsToAdvance(const std::vector<StepAttempt>& gangParts, ClusterTime now) {
  std::map<GangKey, Gang> gangs;
  for (const auto& [step, part] : gangParts) {
    if (needsAttention(*part, now))
      gangs[{part->job.value, step->index}];
  }
  if (gangs.empty())
    return gangs;
  for (const auto& [step, part] : gangParts) {
    if (auto found = gangs.find({part->job.value, step->index}); found != gangs.end())
      found->second.push_back(part);
  }
  return gangs;
}

struct GangStatus {
  bool allStaged = false;  // every unfinished part, on a worker with recent contact
  bool stagingTimedOut = false;
  bool startUnconfirmed = false;
};

std::size_t unfinishedParts(const Job& job, std::uint32_t stepIndex) {
  return std::size_t(std::count_if(job.tasks.begin(), job.tasks.end(), [&](const Task& task) {
    return task.stepIndex == stepIndex && task.state != TaskState::succeeded;
  }));
}

GangStatus statusOf(const Gang& parts, const Job& job, std::uint32_t stepIndex,
                    const SchedulingContext& context) {
  const ClusterTime now = context.now();
  GangStatus status;
  status.allStaged = parts.size() == unfinishedParts(job, stepIndex);
  for (const auto* part : parts) {
    status.startUnconfirmed = status.startUnconfirmed || startUnconfirmed(*part, now);
    if (part->selfAssembling)
      continue;
    const bool staging =
        part->state == AttemptState::staged || part->state == AttemptState::ordered;
    if (staging && now - part->orderedAt > stagingTimeout)
      status.stagingTimedOut = true;
    status.allStaged = status.allStaged && part->state == AttemptState::staged &&
                       context.hasContactWithin(part->worker, gangLaunchContactAge) &&
                       context.clusterState().workers().at(part->worker).isSchedulable();
  }
  return status;
}

Action launchAction(const Attempt& part) {
  Action action;
  action.kind = ActionKind::launch;
  action.attempt = part.number;
  action.worker = part.worker;
  return action;
}

}  // namespace

void advanceGangs(SchedulingContext& context, const std::vector<StepAttempt>& gangParts,
                  PlanDraft& draft) {
  for (const auto& [key, parts] : gangsToAdvance(gangParts, context.now())) {
    const Job& job = *context.jobView(parts.front()->job)->job;
    const GangStatus status = statusOf(parts, job, key.second, context);
    for (const auto* part : parts) {
      if (status.allStaged && !part->selfAssembling)
        draft.add(launchAction(*part));
      else if (part->state == AttemptState::stopping)
        continue;
      else if (status.startUnconfirmed)
        draft.addStop(*part, stop_reasons::startUnconfirmed);
      else if (status.stagingTimedOut)
        draft.addStop(*part, stop_reasons::stagingTimedOut);
    }
  }
}

}  // namespace aniseline::scheduling
