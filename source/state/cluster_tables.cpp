// Updates of the attempts together with their indexes.
#include "state/cluster_tables.hpp"

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

void ClusterTables::rebuildIndexes() {
  for (const auto& [id, job] : jobs) {
    if (job.isTerminal())
      jobsByEndTime.emplace(job.endedAt, id);
  }
  for (const auto& [number, attempt] : attempts)
    attemptIndex.add(attempt);
}

}  // namespace aniseline
