// core_benchmark: processor time and memory of each role, on the core alone: no sockets, no files,
// virtual time. docs/CAPACITY.md.
#include "benchmarks/benchmark_runner.hpp"
#include "net/options.hpp"
#include <iostream>

using namespace aniseline;

namespace {

// The sizes of a single flow, as options.
struct FlowOptions {
  bool single = false;
  std::int64_t workers = 60, keptJobs = 0, waitingTasks = 0, runningTasks = 0, queues = 10,
               starts = 100;

  void addTo(OptionSet& options) {
    options.addFlag("one", single, "measure one flow of the sizes given below only");
    options.addInteger("workers", workers, "of that flow", 1, 100'000);
    options.addInteger("jobs-kept", keptJobs, "of that flow", 0, 1'000'000);
    options.addInteger("tasks-waiting", waitingTasks, "of that flow", 0, 1'000'000);
    options.addInteger("tasks-running", runningTasks, "of that flow, beside those it starts", 0,
                       1'000'000);
    options.addInteger("queues", queues, "of that flow", 1, 2000);
    options.addInteger("starts", starts, "of that flow, a second", 0, 100'000);
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

int main(int count, char** values) {
  benchmarks::RunnerOptions runnerOptions;
  FlowOptions flow;
  OptionSet options("core_benchmark",
                    "processor time and memory of each role on the core alone, as JSON lines: "
                    "medians and spreads (most less least)");
  options.addText("part", runnerOptions.only,
                  "only this part: flow, idle, plan, gang, state, config, route, gateway or agent");
  options.addInteger("repeats", runnerOptions.repeats, "how often each is measured", 1, 100);
  options.addInteger("seed", runnerOptions.seed, "the first seed; each repeat takes the next", 0,
                     1'000'000'000);
  options.addInteger("budget-s", runnerOptions.budgetSeconds,
                     "processor time past which the rest is left out, and said to be", 1, 86'400);
  options.addInteger("tick-ms", runnerOptions.tickMs,
                     "virtual time between two steps of a controller", 1, 20);
  options.addInteger("length-ms", runnerOptions.measuredMs, "virtual time measured of a flow", 500,
                     3'600'000);
  flow.addTo(options);
  options.read(count, values);
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
