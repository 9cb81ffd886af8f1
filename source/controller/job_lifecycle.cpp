// Jobs after their admission: cancels, timetables, hopeless jobs, expiry. docs/design.md 4.
#include "controller/controller.hpp"
#include "scheduling/feasibility.hpp"

namespace aniseline {

void Controller::handleCancel(PendingRequest& record) {
  const JobId id{record.request.targetId};
  auto found = speculative().jobs().find(id);
  if (found == speculative().jobs().end())
    return respondWhenCommitted(record, ApiResponse::error(404, "missing", "no job " + id.value),
                                false);
  const bool wanted = !found->second.isTerminal() && found->second.state != JobState::cancelling;
  if (wanted)
    append(JobCancelled{id});
  respondWhenCommitted(
      record,
      ApiResponse::of(200, {{"id", json(id.value)}, {"state", json(name(found->second.state))}}),
      wanted);
}

void Controller::fireTimetables() {
  if (clusterNow() < nextTimetableFiring)
    return;
  nextTimetableFiring = ClusterTime{std::numeric_limits<std::int64_t>::max()};
  const bool wallKnown = raft.agreedWallTime(now).has_value();
  std::vector<JobId> due;
  for (const auto& id : speculative().openJobs()) {
    const Job& job = speculative().jobs().at(id);
    if (job.state != JobState::scheduled || job.firedOccurrences >= job.submission.timetable.count)
      continue;
    const Timetable& timetable = job.submission.timetable;
    const auto next = timetable.firstStart.milliseconds +
                      std::int64_t(job.firedOccurrences) * timetable.interval.milliseconds;
    nextTimetableFiring = std::min(nextTimetableFiring, ClusterTime{next});
    if (wallKnown && clusterNow().milliseconds >= next)
      due.push_back(id);
  }
  for (auto& id : due)
    append(OccurrenceFired{id});
}

// docs/design.md 4.8: what no worker could ever hold fails, with its cause, rather than wait for
// ever.
void Controller::failUnschedulableJobs() {
  if (now < nextUnschedulableCheck)
    return;
  nextUnschedulableCheck = now + Duration{500};
  slowReportsThisCheck = 0;
  std::vector<JobFailed> hopeless;
  for (const auto& id : speculative().openJobs()) {
    const Job& job = speculative().jobs().at(id);
    if (job.state != JobState::active || job.terminating)
      continue;
    reportSlowJob(job);
    const bool waits = std::any_of(job.tasks.begin(), job.tasks.end(), [&](const Task& task) {
      return task.state == TaskState::pending && clusterNow() - task.readyAt > Duration{300};
    });
    if (!waits)
      continue;
    for (const auto& step : job.submission.steps)
      if (auto never = infeasibilityReason(speculative(), job.submission, step)) {
        hopeless.push_back({id, *never});
        break;
      }
  }
  for (auto& failed : hopeless)
    append(std::move(failed));
  if (reportedSlowJobs.size() > 1000)
    reportedSlowJobs.clear();
}

// An alarm for operators: work whose turn has come and that has not begun for long, with what it
// waits for.
void Controller::reportSlowJob(const Job& job) {
  constexpr Duration slow{3000};
  constexpr std::size_t atOnce =
      3;  // a flood of them says no more, and each costs time when there is least of it
  const JobId& id = job.submission.id;
  if (slowReportsThisCheck >= atOnce || reportedSlowJobs.count(id))
    return;
  for (const auto& task : job.tasks) {
    auto attempt = speculative().attempts().find(task.currentAttempt);
    const bool waits = task.state == TaskState::pending &&
                       clusterNow() - std::max(task.readyAt, task.notBefore) > slow;
    const bool ordered = attempt != speculative().attempts().end() &&
                         (attempt->second.state == AttemptState::ordered ||
                          attempt->second.state == AttemptState::stopping) &&
                         clusterNow() - attempt->second.orderedAt > slow + attempt->second.runtime;
    if (!waits && !ordered)
      continue;
    reportedSlowJobs.insert(id);
    ++slowReportsThisCheck;
    picojson::object fields{{"job", json(id.value)},
                            {"step", json(task.stepIndex)},
                            {"within", json(task.indexInStep)},
                            {"state", json(name(task.state))},
                            {"run", json(task.runNumber)}};
    if (attempt != speculative().attempts().end()) {
      fields["attempt"] = json(name(attempt->second.state));
      fields["worker"] = json(attempt->second.worker.value);
    }
    if (speculative().reservation().isActive())
      fields["reserved_for"] = json(speculative().reservation().job.value);
    return emitLogEvent("work waits long", std::move(fields));
  }
}

void Controller::expireFinishedJobs() {
  if (now < nextExpiryCheck)
    return;
  nextExpiryCheck = now + Duration{1000};
  // docs/design.md 4.5: finished work never turns new work away; it is kept short, and past the
  // limit the earliest goes.
  constexpr Duration keepWhole{60'000};
  constexpr std::size_t atOnce = 2000;
  const auto& planner = speculative().config().planner;
  JobsExpired forgotten;
  std::size_t kept = speculative().jobs().size();
  for (const auto& [endedAt, id] : speculative().jobsByEndTime()) {
    const Duration since = clusterNow() - endedAt;
    const bool goes = since > planner.finishedJobRetention || kept > planner.maxRetainedJobs;
    if (!goes || forgotten.jobs.size() >= atOnce)
      break;
    --kept;
    forgotten.jobs.push_back(id);
  }
  for (auto place = speculative().jobsByEndTime().lower_bound({shortenedThrough, JobId{}});
       place != speculative().jobsByEndTime().end() && forgotten.compacted.size() < atOnce;
       ++place) {
    if (clusterNow() - place->first <= keepWhole)
      break;
    shortenedThrough = place->first;
    if (!speculative().jobs().at(place->second).compactedTaskCount)
      forgotten.compacted.push_back(place->second);
  }
  for (const auto& [id, worker] : speculative().workers())
    if (worker.state == WorkerState::removed &&
        clusterNow() - worker.lastSeenAt > speculative().config().planner.finishedJobRetention)
      forgotten.workers.push_back(id);
  if (!forgotten.jobs.empty() || !forgotten.compacted.empty() || !forgotten.workers.empty())
    append(std::move(forgotten));
  std::erase_if(gateways, [&](const auto& entry) {
    return now - entry.second.lastContact > Duration{10'000};
  });
}

}  // namespace aniseline
