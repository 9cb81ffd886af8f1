// Compares the runtime ratio of each worker with the median of its pool.
#include "scheduling/slow_workers.hpp"
#include "scheduling/sorted_map_cursor.hpp"

namespace aniseline::scheduling {

namespace {

// With fewer known ratios in a pool, their median is not a useful reference.
constexpr std::size_t minimumPeers = 3;
// Lower bound of the median as a share of the requested runtime, so that workers are not considered
// slow for taking a fifth of what was requested.
constexpr double minimumMedian = 0.1;
// This many overdue jobs on one worker indicate a slow worker rather than wrong estimates. Each
// counts as one multiple of the median, added to this base.
constexpr std::size_t minimumOverdueJobs = 3;
constexpr double overdueBaseSlowness = 2.5;
// Multiples of the median above which a worker is penalised, and above which it gets no new work.
constexpr double penalisedSlowness = 1.9;
constexpr double excludedSlowness = 2.4;
// At most one in this many workers of a pool may be penalised or excluded.
constexpr std::size_t affectedShareDenominator = 3;

struct SlowWorker {
  double slowness = 0;  // multiples of the pool's median runtime ratio
  std::size_t workerIndex = 0;
  auto operator<=>(const SlowWorker&) const = default;
};

using Medians = std::map<const PoolView*, double>;

Medians mediansOf(const std::vector<WorkerView>& workers,
                  const std::vector<const double*>& ratios) {
  std::map<const PoolView*, std::vector<double>> ratiosByPool;
  for (std::size_t index = 0; index < workers.size(); ++index) {
    if (ratios[index])
      ratiosByPool[&workers[index].pool()].push_back(*ratios[index]);
  }
  Medians medians;
  for (auto& [pool, peers] : ratiosByPool) {
    if (peers.size() < minimumPeers)
      continue;
    auto middle = peers.begin() + std::ptrdiff_t(peers.size() / 2);
    std::nth_element(peers.begin(), middle, peers.end());
    medians[pool] = *middle;
  }
  return medians;
}

double slownessOf(const WorkerView& worker, const double* ratio, const Medians& medians) {
  double slowness = 0;
  if (auto median = medians.find(&worker.pool()); ratio && median != medians.end())
    slowness = *ratio / std::max(minimumMedian, median->second);
  if (worker.overdueJobCount() >= minimumOverdueJobs)
    slowness = std::max(slowness, overdueBaseSlowness + double(worker.overdueJobCount()));
  return slowness;
}

}  // namespace

void excludeSlowWorkers(SchedulingContext& context, const RuntimeRatios& runtimeRatios) {
  auto& workers = context.workers();
  SortedMapCursor cursor(runtimeRatios);
  std::vector<const double*> ratios;
  ratios.reserve(workers.size());
  for (const auto& worker : workers)
    ratios.push_back(cursor.find(worker.id()));
  const Medians medians = mediansOf(workers, ratios);
  std::vector<SlowWorker> slow;
  for (std::size_t index = 0; index < workers.size(); ++index) {
    if (workers[index].capacity().supportsSuspend)
      continue;
    const double slowness = slownessOf(workers[index], ratios[index], medians);
    if (slowness > penalisedSlowness)
      slow.push_back({slowness, index});
  }
  std::sort(slow.begin(), slow.end(), std::greater<>());
  std::map<const PoolView*, std::size_t> affectedByPool;
  for (const auto& [slowness, workerIndex] : slow) {
    WorkerView& worker = workers[workerIndex];
    std::size_t& count = affectedByPool[&worker.pool()];
    if (affectedShareDenominator * (count + 1) > worker.pool().workerCount)
      continue;
    ++count;
    if (slowness > excludedSlowness)
      worker.excludeFromNewWork();
    else
      worker.raisePenalty(slowWorkerPenalty);
  }
}

}  // namespace aniseline::scheduling
