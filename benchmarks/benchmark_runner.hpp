// Runs the benchmarks with a range of sizes and prints one JSON line for each measured point, with
// the median and the spread of each metric over the repeats. The core_benchmark program owns the
// runner and calls it on its only thread.
// docs/CAPACITY.md.
#ifndef ANISELINE_BENCHMARKS_BENCHMARK_RUNNER_HPP
#define ANISELINE_BENCHMARKS_BENCHMARK_RUNNER_HPP
#include "benchmarks/benchmarks.hpp"

namespace aniseline::benchmarks {

struct RunnerOptions {
  std::int64_t repeats = 3;
  std::int64_t seed = 1;  // seed of the first repeat; each further repeat uses the next number
  // Limits the CPU time, in seconds. Points that start after it are reported as skipped.
  std::int64_t budgetSeconds = 230;
  std::int64_t tickMs = 5;         // virtual time between two steps of a controller
  std::int64_t measuredMs = 4000;  // measured virtual time of a flow
  std::string only;                // name of the only part to measure; empty for all parts
};

class BenchmarkRunner {
 public:
  explicit BenchmarkRunner(RunnerOptions options) : options(std::move(options)) {}

  // Measures all parts, in the order of the report.
  void measureAll();
  // Measures one flow with these sizes and ignores the part that the options name.
  void measureOneFlow(const Sizes& sizes);
  // Returns the number of points that were measured or skipped.
  std::size_t points() const { return pointCount; }

 private:
  using Measurement = std::function<Metrics(const Sizes&, std::uint64_t seed)>;
  using Samples = std::map<std::string, std::vector<double>>;
  using ChangeSizes = std::function<void(Sizes&)>;

  // Measures one point and prints its line. `varied` names the size that differs between the points
  // of a part.
  void measurePoint(const char* part, const char* varied, const Sizes& sizes,
                    const Measurement& measure);
  // Measures one point with the default sizes, modified by `change`.
  void measurePoint(const char* part, const char* varied, const ChangeSizes& change,
                    const Measurement& measure);
  Measurement flow() const;

  void measureFlows();
  void measureIdleFlows();
  void measurePlans();
  void measureGangs();
  void measureStates();
  void measureConfigs();
  void measureRoutes();
  void measureAgents();

  RunnerOptions options;
  std::size_t pointCount = 0;
};

}  // namespace aniseline::benchmarks

#endif  // ANISELINE_BENCHMARKS_BENCHMARK_RUNNER_HPP
