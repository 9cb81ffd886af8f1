// Orders unconfirmed results by the worker's sequence numbers and confirms them in that order.
#include "agent/pending_results.hpp"

namespace aniseline {

namespace {

// Keeps a report below the request size limit for run ids of any length.
constexpr std::size_t maxResultsPerReport = 500;

}  // namespace

bool PendingResults::contains(const TaskRunId& runId) const {
  return std::any_of(pending.begin(), pending.end(),
                     [&](const PendingResult& entry) { return entry.result.runId == runId; });
}

bool PendingResults::hasWorkerResults() const {
  return std::any_of(pending.begin(), pending.end(),
                     [](const PendingResult& entry) { return entry.sequenceNumber != 0; });
}

bool PendingResults::hasUnreported() const {
  return std::any_of(pending.begin(), pending.end(),
                     [](const PendingResult& entry) { return !entry.reported; });
}

bool PendingResults::isNew(std::uint64_t sequenceNumber) {
  if (sequenceNumber <= confirmedNumber || sequenceNumber <= highestNumber)
    return false;
  highestNumber = sequenceNumber;
  return true;
}

void PendingResults::add(std::uint64_t sequenceNumber, TaskRunResult result, MonotonicTime now) {
  pendingCheckpoints.erase(result.runId);
  latestCheckpoints.erase(result.runId);
  auto position = pending.end();
  if (sequenceNumber)
    position = std::find_if(pending.begin(), pending.end(), [&](const PendingResult& other) {
      return other.sequenceNumber == 0 || other.sequenceNumber > sequenceNumber;
    });
  pending.insert(position, PendingResult{sequenceNumber, std::move(result), false, now});
}

void PendingResults::noteCheckpoint(const TaskRunId& runId, const std::string& checkpoint) {
  if (checkpoint.empty())
    return;
  auto& latest = latestCheckpoints[runId];
  if (latest == checkpoint)
    return;
  latest = checkpoint;
  pendingCheckpoints[runId] = checkpoint;
}

void PendingResults::fillReport(SyncReport& report) {
  for (auto& entry : pending) {
    report.runResults.push_back(entry.result);
    entry.reported = true;
    if (report.runResults.size() >= maxResultsPerReport)
      break;
  }
  for (const auto& [runId, checkpoint] : pendingCheckpoints)
    report.checkpoints.push_back({runId, checkpoint});
}

void PendingResults::confirm(const SyncReport& report, std::uint32_t finalResultCount,
                             MonotonicTime now) {
  for (const auto& reported : report.checkpoints) {
    auto found = pendingCheckpoints.find(reported.runId);
    if (found != pendingCheckpoints.end() && found->second == reported.checkpoint)
      pendingCheckpoints.erase(found);
  }
  const std::size_t count = std::min<std::size_t>(finalResultCount, report.runResults.size());
  for (std::size_t index = 0; index < count; ++index)
    confirmResult(report.runResults[index].runId, now);
}

// Results become final only in the order of their numbers, because the worker discards all results
// up to a given number.
void PendingResults::confirmResult(const TaskRunId& runId, MonotonicTime now) {
  auto found = std::find_if(pending.begin(), pending.end(), [&](const PendingResult& entry) {
    return entry.result.runId == runId;
  });
  if (found == pending.end() || (found->sequenceNumber && found != pending.begin()))
    return;
  confirmedNumber = std::max(confirmedNumber, found->sequenceNumber);
  confirmationLatency.record(now - found->recordedAt);
  pending.erase(found);
}

void PendingResults::voidSuccesses() {
  for (auto& entry : pending) {
    if (entry.result.outcome == AttemptOutcome::succeeded && entry.sequenceNumber)
      entry.result.outcome = AttemptOutcome::stopped;
  }
}

void PendingResults::clear() {
  pending.clear();
  pendingCheckpoints.clear();
}

}  // namespace aniseline
