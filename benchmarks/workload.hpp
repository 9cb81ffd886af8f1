// The clusters and the work that the benchmarks measure with: sizes, jobs, workers, configurations.
// docs/CAPACITY.md.
#ifndef ANISELINE_BENCHMARKS_WORKLOAD_HPP
#define ANISELINE_BENCHMARKS_WORKLOAD_HPP
#include "state/api_request.hpp"
#include "scheduling/planner.hpp"
#include "state/cluster_state.hpp"

namespace aniseline::benchmarks {

// How large a benchmark's cluster is, and how much it does.
struct Sizes {
  std::size_t workers = 60, keptJobs = 0, waitingTasks = 0, runningTasks = 0, queues = 10,
              gateways = 7, gang = 0;
  double starts = 100;  // task starts a second
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

// The processor of one task, in thousandths of a core; all tasks of the benchmarks ask for the
// same.
constexpr std::uint32_t taskMillicores = 1500;
// How often the benchmarks' clusters plan, in ms.
constexpr std::int64_t planPeriodMs = 20;
// Steps have 14 to 46 tasks, and jobs one step or two.
constexpr double tasksPerJob = 30 * 1.5;

// How long a task runs, in ms: most are short, some take 6 s.
std::int64_t randomRuntimeMs(Random& random);
// The short tasks that each worker has room for, so that the sizes' starts a second are possible.
std::size_t shortTasksPerWorker(const Sizes& sizes);
JobSubmission randomJob(Random& random, const std::string& id, const QueueName& queue);

QueueName queueName(std::size_t index);
WorkerId workerIdOf(std::size_t index);
Capacity capacityOf(const Sizes& sizes, std::size_t index);
// A configuration with so many queues; two with different `change` differ in their contents alone.
std::string configText(std::size_t queues, std::int64_t change = 0);

// A cluster state made by events alone: workers, kept jobs, tasks that run for long, and tasks that
// find no room.
ClusterState presetClusterState(const Sizes& sizes, Random random);
// Every worker was heard from just now.
LastContactAges zeroContactAges(const Sizes& sizes);

}  // namespace aniseline::benchmarks

#endif  // ANISELINE_BENCHMARKS_WORKLOAD_HPP
