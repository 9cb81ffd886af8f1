// core_benchmark: measures the processor time and memory of each role on the core alone, without
// sockets or files and in virtual time. docs/CAPACITY.md.
#include "benchmarks/benchmark_runner.hpp"
#include "net/options.hpp"
#include <iostream>

using namespace aniseline;

namespace {

// Options for the sizes of a single workload.
struct FlowOptions {
  bool single = false;
  std::int64_t workers = 60, keptJobs = 0, waitingTasks = 0, runningTasks = 0, queues = 10,
               starts = 100;

  void addTo(OptionSet& options) {
    options.addFlag("one", single, "measure only one flow, with the sizes of the options below");
    options.addInteger("workers", workers, "workers of that flow", 1, 100'000);
    options.addInteger("jobs-kept", keptJobs, "finished jobs that are kept", 0, 1'000'000);
    options.addInteger("tasks-waiting", waitingTasks, "waiting tasks", 0, 1'000'000);
    options.addInteger("tasks-running", runningTasks,
                       "running tasks, in addition to those that the flow starts", 0, 1'000'000);
    options.addInteger("queues", queues, "queues of that flow", 1, 2000);
    options.addInteger("starts", starts, "task starts per second", 0, 100'000);
  }
  benchmarks::Sizes sizes() const {
    benchmarks::Sizes sizes;
    sizes.workers = std::size_t(workers);
    sizes.keptJobs = std::size_t(keptJobs);
    sizes.waitingTasks = std::size_t(waitingTasks);
    sizes.runningTasks = std::size_t(runningTasks);
    sizes.queues = std::size_t(queues);
    sizes.starts = double(starts);
    return sizes;
  }
};

}  // namespace

int main(int argc, char** argv) {
  benchmarks::RunnerOptions runnerOptions;
  FlowOptions flow;
  OptionSet options("core_benchmark",
                    "measures processor time and memory of each role on the core alone; prints "
                    "medians and spreads (maximum minus minimum) as JSON lines");
  options.addText(
      "part", runnerOptions.only,
      "measure only this part: flow, idle, plan, gang, state, config, route, gateway or agent");
  options.addInteger("repeats", runnerOptions.repeats, "number of measurements of each part", 1,
                     100);
  options.addInteger("seed", runnerOptions.seed, "first seed; each repeat uses the next one", 0,
                     1'000'000'000);
  options.addInteger("budget-s", runnerOptions.budgetSeconds,
                     "processor time in s after which the remaining parts are reported as skipped",
                     1, 86'400);
  options.addInteger("tick-ms", runnerOptions.tickMs,
                     "virtual time in ms between two steps of a controller", 1, 20);
  options.addInteger("length-ms", runnerOptions.measuredMs,
                     "virtual time in ms for which a flow is measured", 500, 3'600'000);
  flow.addTo(options);
  options.read(argc, argv);
  benchmarks::BenchmarkRunner runner(runnerOptions);
  if (flow.single)
    runner.measureOneFlow(flow.sizes());
  else
    runner.measureAll();
  if (!runner.points()) {
    std::cerr << "core_benchmark: --part: there is no part " << runnerOptions.only << "\n";
    return 2;
  }
  return 0;
}
