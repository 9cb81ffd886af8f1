// Simulates task execution and builds sync reports.
#include "benchmarks/hollow_worker.hpp"

namespace aniseline::benchmarks {

namespace {

constexpr Duration longPollTimeout{1000};
constexpr std::int64_t reportAppliedWithinMs = 400;
constexpr double taskFailureRate = 0.05;

}  // namespace

SyncReport HollowWorker::makeReport(bool longPoll, std::int64_t now) {
  SyncReport report;
  report.id = workerIdOf(index);
  report.incarnation = Incarnation{1};
  report.capacity = capacity;
  report.wantsPackedResponse = true;
  report.lastReceivedOrder = received;
  report.lastAppliedOrder = reportedApplied = applied;
  appliedReportedAt = now;
  report.longPollTimeout = longPoll ? longPollTimeout : Duration{0};
  report.runResults = results;
  reportedResults = results.size();
  return report;
}

bool HollowWorker::hasUrgentReport(std::int64_t now) const {
  const bool appliedIsDue =
      applied != reportedApplied && now - appliedReportedAt > reportAppliedWithinMs;
  return reportedResults < results.size() || appliedIsDue;
}

void HollowWorker::onResponse(const SyncReport& report, const SyncResponse& response,
                              const JobsById& jobs, Random& random, std::int64_t now) {
  dropFinalResults(report, response.finalResultCount);
  for (const auto& order : response.orders) {
    if (order.number <= received)
      continue;
    received = applied = order.number;
    const TaskRunId id = TaskRunId::of(order);
    if (order.kind == OrderKind::start)
      start(order, jobs, random, now);
    else if (running.erase(id))
      results.push_back({id, AttemptOutcome::stopped});
  }
}

void HollowWorker::dropFinalResults(const SyncReport& report, std::size_t count) {
  for (std::size_t index = 0; index < count; ++index) {
    const auto found =
        std::find_if(results.begin(), results.end(), [&](const TaskRunResult& result) {
          return result.runId == report.runResults[index].runId;
        });
    if (found == results.end())
      continue;
    if (std::size_t(found - results.begin()) < reportedResults)
      --reportedResults;
    results.erase(found);
  }
}

void HollowWorker::start(const Order& order, const JobsById& jobs, Random& random,
                         std::int64_t now) {
  const auto job = jobs.find(order.job);
  const bool gang = job != jobs.end() && job->second->steps[order.stepIndex].gang;
  // Only the first member of a gang may fail, so that gangs fail as often as single tasks.
  const bool fails = (!gang || order.indexInStep == 0) && random.chance(taskFailureRate);
  // Single tasks take 80 % to 120 % of the requested runtime; the members of a gang end together.
  const std::int64_t requested = order.runtime.milliseconds;
  const std::int64_t actual = gang ? requested : requested * random.between(80, 120) / 100;
  running[TaskRunId::of(order)] = {now + actual, fails};
}

void HollowWorker::endTasks(std::int64_t now) {
  std::erase_if(running, [&](const auto& entry) {
    const auto& [id, task] = entry;
    if (task.endsAt > now)
      return false;
    results.push_back({id, task.fails ? AttemptOutcome::failed : AttemptOutcome::succeeded});
    return true;
  });
}

}  // namespace aniseline::benchmarks
