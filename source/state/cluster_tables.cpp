// Updates of jobs and attempts together with what is derived from them.
#include "state/cluster_tables.hpp"
#include "state/job_memory.hpp"

namespace aniseline {

void ClusterTables::addAttempt(const Attempt& attempt) {
  auto [entry, added] = attempts.try_emplace(attempt.number, attempt);
  if (!added) {
    attemptIndex.remove(entry->second);
    entry->second = attempt;
  }
  attemptIndex.add(attempt);
}

void ClusterTables::eraseAttempt(AttemptNumber number) {
  auto found = attempts.find(number);
  attemptIndex.remove(found->second);
  attempts.erase(found);
}

void ClusterTables::addJob(Job job) {
  const JobId id = job.submission.id;
  auto [entry, added] = jobs.emplace(id, std::move(job));
  updateEstimatedBytes(entry->second);
}

void ClusterTables::eraseJob(std::map<JobId, Job>::iterator job) {
  estimatedJobBytes -= job->second.countedBytes;
  jobs.erase(job);
}

void ClusterTables::updateEstimatedBytes(Job& job) {
  estimatedJobBytes -= job.countedBytes;
  job.countedBytes = estimateJobBytes(job);
  estimatedJobBytes += job.countedBytes;
}

void ClusterTables::advanceTo(ClusterTime time) {
  now = std::max(now, time);
  tombstones.eraseBefore(now - config.planner.finishedJobRetention);
}

void ClusterTables::rebuildIndexes() {
  for (auto& [id, job] : jobs) {
    updateEstimatedBytes(job);
    if (job.isTerminal())
      jobsByEndTime.emplace(job.endedAt, id);
  }
  for (const auto& [number, attempt] : attempts)
    attemptIndex.add(attempt);
}

}  // namespace aniseline
