// Applies the events about jobs. docs/design.md 4.
#include "state/event_appliers.hpp"
#include "state/job_lifecycle.hpp"
#include "state/occurrence.hpp"

namespace aniseline {

namespace {

void eraseExpiredJob(ClusterTables& tables, const JobId& id) {
  auto found = tables.jobs.find(id);
  if (found == tables.jobs.end() || !found->second.isTerminal())
    return;
  tables.jobsByEndTime.erase({found->second.endedAt, id});
  tables.eraseJob(found);
}

// docs/design.md 4.5: reduces a job that ended some time ago to the data that answers repeated
// submissions and queries.
void compactJob(ClusterTables& tables, const JobId& id) {
  auto found = tables.jobs.find(id);
  if (found == tables.jobs.end() || !found->second.isTerminal() ||
      !tables.attemptIndex.ofJob(id).empty())
    return;
  Job& job = found->second;
  job.compactedTaskCount = std::max<std::uint32_t>(1, std::uint32_t(job.tasks.size()));
  std::vector<StepRequest>().swap(job.submission.steps);
  std::vector<Task>().swap(job.tasks);
  tables.updateEstimatedBytes(job);
}

void eraseRemovedWorker(ClusterTables& tables, const WorkerId& id) {
  auto found = tables.workers.find(id);
  if (found == tables.workers.end() || found->second.state != WorkerState::removed)
    return;
  tables.updatedWorkers.erase(id);
  tables.workers.erase(found);
}

}  // namespace

void applyEvent(ClusterTables& tables, const JobAccepted& event) {
  JobLifecycle(tables).admit(event.submission);
}

void applyEvent(ClusterTables& tables, const JobCancelled& event) {
  auto found = tables.jobs.find(event.job);
  if (found != tables.jobs.end())
    JobLifecycle(tables).cancel(found->second, "cancelled");
  else if (!isAbsent(event.scope))
    tables.tombstones.add(event.job, event.scope, tables.now);
}

void applyEvent(ClusterTables& tables, const JobFailed& event) {
  auto found = tables.jobs.find(event.job);
  if (found == tables.jobs.end() || found->second.isTerminal() ||
      found->second.state == JobState::scheduled)
    return;
  JobLifecycle lifecycle(tables);
  lifecycle.fail(found->second, event.reason);
  lifecycle.completeIfFinished(found->second);
}

void applyEvent(ClusterTables& tables, const OccurrenceFired& event) {
  auto found = tables.jobs.find(event.job);
  if (found == tables.jobs.end() || found->second.state != JobState::scheduled)
    return;
  Job& timetable = found->second;
  JobSubmission occurrence = timetable.submission;
  occurrence.id = OccurrenceId::make(event.job, timetable.firedOccurrences);
  occurrence.timetable = Timetable{};
  ++timetable.firedOccurrences;
  ++timetable.openOccurrences;
  tables.updateEstimatedBytes(timetable);
  JobLifecycle(tables).admit(occurrence);
}

void applyEvent(ClusterTables& tables, const JobsExpired& event) {
  for (const auto& id : event.jobs)
    eraseExpiredJob(tables, id);
  for (const auto& id : event.compacted)
    compactJob(tables, id);
  for (const auto& id : event.workers)
    eraseRemovedWorker(tables, id);
}

}  // namespace aniseline
