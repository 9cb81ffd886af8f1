// Runs the benchmarks over their sizes and prints one JSON line for each point: the medians and the
// spreads of some repeats. Owned by the core_benchmark program, on its one thread.
// docs/CAPACITY.md.
#ifndef ANISELINE_BENCHMARKS_BENCHMARK_RUNNER_HPP
#define ANISELINE_BENCHMARKS_BENCHMARK_RUNNER_HPP
#include "benchmarks/benchmarks.hpp"

namespace aniseline::benchmarks {

struct RunnerOptions {
  std::int64_t repeats = 3;
  std::int64_t seed = 1;  // the first; each repeat takes the next
  // Seconds of processor time past which the rest is skipped, and printed as skipped.
  std::int64_t budgetSeconds = 230;
  std::int64_t tickMs = 5;         // virtual, between two steps of a controller
  std::int64_t measuredMs = 4000;  // virtual, of a flow
  std::string only;                // the part to measure; empty: all
};

class BenchmarkRunner {
 public:
  explicit BenchmarkRunner(RunnerOptions options) : options(std::move(options)) {}

  // Every part, in the order of the report.
  void measureAll();
  // One flow of these sizes, whatever part the options name.
  void measureOneFlow(const Sizes& sizes);
  // The points that were measured or skipped.
  std::size_t points() const { return pointCount; }

 private:
  using Measurement = std::function<Metrics(const Sizes&, std::uint64_t seed)>;
  using Samples = std::map<std::string, std::vector<double>>;
  using ChangeSizes = std::function<void(Sizes&)>;

  // Measures one point. `varied` names the size that differs between the points of a part.
  void measurePoint(const char* part, const char* varied, const Sizes& sizes,
                    const Measurement& measure);
  // The same, with the default sizes changed.
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
