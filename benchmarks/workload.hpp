// Generates the clusters and the load for the benchmarks: sizes, jobs, workers and configurations.
// docs/CAPACITY.md.
#ifndef ANISELINE_BENCHMARKS_WORKLOAD_HPP
#define ANISELINE_BENCHMARKS_WORKLOAD_HPP
#include "state/api_request.hpp"
#include "scheduling/planner.hpp"
#include "state/cluster_state.hpp"

namespace aniseline::benchmarks {

// Sets the size and the load of the cluster that a benchmark measures.
struct Sizes {
  std::size_t workers = 60, keptJobs = 0, waitingTasks = 0, runningTasks = 0, queues = 10,
              gateways = 7, gang = 0;
  double starts = 100;  // task starts per second
  picojson::object toJson() const {
    return {{"workers", json(workers)},
            {"jobs_kept", json(keptJobs)},
            {"tasks_waiting", json(waitingTasks)},
            {"tasks_running", json(runningTasks)},
            {"queues", json(queues)},
            {"gateways", json(gateways)},
            {"starts_per_s", json(starts)},
            {"gang", json(gang)}};
  }
};

// CPU request of each short task, in thousandths of a core.
constexpr std::uint32_t taskMillicores = 1500;
// Interval between two plans in the benchmarked clusters, in ms.
constexpr std::int64_t planPeriodMs = 20;
// Mean number of tasks per job: steps have 14 to 46 tasks, and jobs have one or two steps.
constexpr double tasksPerJob = 30 * 1.5;

// Draws the runtime of a task, in ms: most tasks take at most 1.1 s, 15 % of them take 6 s.
std::int64_t randomRuntimeMs(Random& random);
// Returns how many short tasks each worker must have room for to allow `sizes.starts` task starts
// per second.
std::size_t shortTasksPerWorker(const Sizes& sizes);
// Draws a job with one or two steps; one job in ten is a gang job.
JobSubmission randomJob(Random& random, const std::string& id, const QueueName& queue);

QueueName queueName(std::size_t index);
WorkerId workerIdOf(std::size_t index);
Capacity capacityOf(const Sizes& sizes, std::size_t index);
// Returns a configuration in JSON with `queues` queues and one low-priority queue. Configurations
// with a different `change` differ in one setting of each queue.
std::string configText(std::size_t queues, std::int64_t change = 0);

// Builds a cluster state from events alone: workers, retained finished jobs, long-running tasks,
// and waiting tasks that no worker has room for.
ClusterState presetClusterState(const Sizes& sizes, Random random);
// Returns contact ages that say that every worker made contact just now.
LastContactAges zeroContactAges(const Sizes& sizes);

}  // namespace aniseline::benchmarks

#endif  // ANISELINE_BENCHMARKS_WORKLOAD_HPP
