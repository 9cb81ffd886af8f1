// Lists the measured points of each part and formats their report lines.
#include "benchmarks/benchmark_runner.hpp"
#include <iostream>

namespace aniseline::benchmarks {

namespace {

// Formats a value with 4 significant digits, or 8 if it has five or more integer digits.
std::string formatNumber(double value) {
  char text[40];
  std::snprintf(text, sizeof text, "%.*g", std::abs(value) >= 10'000 ? 8 : 4, value);
  return text;
}

void appendValue(std::string& json, const std::string& name, double value) {
  json += (json.empty() ? "\"" : ",\"") + name + "\":" + formatNumber(value);
}

}  // namespace

void BenchmarkRunner::measurePoint(const char* part, const char* varied, const Sizes& sizes,
                                   const Measurement& measure) {
  if (!options.only.empty() && options.only != part)
    return;
  ++pointCount;
  picojson::object report{
      {"part", json(part)}, {"grows", json(varied)}, {"sizes", json(sizes.toJson())}};
  if (threadCpuMicros() > double(options.budgetSeconds) * 1e6) {
    report["skipped"] = json("the budget of processor time is used up");
    std::cout << json(report).serialize() << "\n";
    return;
  }
  const double startMicros = threadCpuMicros();
  Samples samples;
  std::int64_t failed = 0;
  for (std::int64_t repeat = 0; repeat < options.repeats; ++repeat) {
    const Metrics values = measure(sizes, std::uint64_t(options.seed + repeat));
    failed += values.empty();
    for (const auto& [name, value] : values) {
      samples[name].push_back(value);
    }
  }
  std::string median, spread;
  for (auto& [name, values] : samples) {
    std::sort(values.begin(), values.end());
    appendValue(median, name, values[values.size() / 2]);
    appendValue(spread, name, values.back() - values.front());
  }
  report["repeats"] = json(options.repeats);
  report["took_ms"] = json(std::round((threadCpuMicros() - startMicros) / 1000));
  if (failed)
    report["runs_without_a_steady_leader"] = json(failed);
  std::string line = json(report).serialize();
  line.pop_back();  // the closing brace
  std::cout << line << ",\"median\":{" << median << "},\"spread\":{" << spread << "}}" << std::endl;
}

void BenchmarkRunner::measurePoint(const char* part, const char* varied, const ChangeSizes& change,
                                   const Measurement& measure) {
  Sizes sizes;
  change(sizes);
  measurePoint(part, varied, sizes, measure);
}

BenchmarkRunner::Measurement BenchmarkRunner::flow() const {
  FlowDurations durations;
  durations.tickMs = options.tickMs;
  durations.measuredMs = options.measuredMs;
  return [durations](const Sizes& sizes, std::uint64_t seed) {
    return measureFlow(sizes, seed, durations);
  };
}

void BenchmarkRunner::measureOneFlow(const Sizes& sizes) {
  options.only.clear();
  measurePoint("flow", "nothing", sizes, flow());
}

void BenchmarkRunner::measureAll() {
  measureFlows();
  measureIdleFlows();
  measurePlans();
  measureGangs();
  measureStates();
  measureConfigs();
  measureRoutes();
  measurePoint("gateway", "nothing", Sizes{}, measureGateway);
  measureAgents();
}

void BenchmarkRunner::measureFlows() {
  for (const double starts : {50, 150, 500, 1500}) {
    measurePoint(
        "flow", "starts", [&](Sizes& sizes) { sizes.starts = starts; }, flow());
  }
  for (const std::size_t workers : {11, 60, 250, 1000, 2000}) {
    measurePoint(
        "flow", "workers", [&](Sizes& sizes) { sizes.workers = workers; }, flow());
  }
  for (const std::size_t runningTasks : {100, 1000, 10'000}) {
    measurePoint(
        "flow", "running", [&](Sizes& sizes) { sizes.runningTasks = runningTasks; }, flow());
  }
  for (const std::size_t waitingTasks : {100, 1000, 10'000}) {
    measurePoint(
        "flow", "waiting", [&](Sizes& sizes) { sizes.waitingTasks = waitingTasks; }, flow());
  }
  for (const std::size_t keptJobs : {1000, 5000, 20'000}) {
    measurePoint(
        "flow", "kept", [&](Sizes& sizes) { sizes.keptJobs = keptJobs; }, flow());
  }
  for (const std::size_t queues : {10, 100, 830}) {
    measurePoint(
        "flow", "queues", [&](Sizes& sizes) { sizes.queues = queues; }, flow());
  }
}

void BenchmarkRunner::measureIdleFlows() {
  for (const std::size_t workers : {11, 250, 2000}) {
    measurePoint(
        "idle", "workers",
        [&](Sizes& sizes) {
          sizes.workers = workers;
          sizes.starts = 0;
        },
        flow());
  }
  for (const std::size_t runningTasks : {100, 1000, 10'000}) {
    measurePoint(
        "idle", "running",
        [&](Sizes& sizes) {
          sizes.runningTasks = runningTasks;
          sizes.starts = 0;
        },
        flow());
  }
}

void BenchmarkRunner::measurePlans() {
  for (const std::size_t workers : {11, 60, 250, 1000, 2000}) {
    measurePoint(
        "plan", "workers",
        [&](Sizes& sizes) {
          sizes.workers = workers;
          sizes.waitingTasks = 100;
        },
        measurePlan);
  }
  for (const std::size_t waitingTasks : {100, 1000, 10'000}) {
    measurePoint(
        "plan", "waiting", [&](Sizes& sizes) { sizes.waitingTasks = waitingTasks; }, measurePlan);
  }
  for (const std::size_t runningTasks : {100, 1000, 10'000}) {
    measurePoint(
        "plan", "running", [&](Sizes& sizes) { sizes.runningTasks = runningTasks; }, measurePlan);
  }
  for (const std::size_t runningTasks : {100, 1000, 10'000}) {
    measurePoint(
        "plan", "running, one waits",
        [&](Sizes& sizes) {
          sizes.runningTasks = runningTasks;
          sizes.waitingTasks = 1;
        },
        measurePlan);
  }
}

void BenchmarkRunner::measureGangs() {
  for (const std::size_t gang : {14, 46, 128}) {
    measurePoint(
        "gang", "gang",
        [&](Sizes& sizes) {
          sizes.workers = 1800;
          sizes.gang = gang;
        },
        measureGang);
  }
  for (const std::size_t workers : {60, 250, 1000}) {
    measurePoint(
        "gang", "workers",
        [&](Sizes& sizes) {
          sizes.workers = workers;
          sizes.gang = 128;
        },
        measureGang);
  }
}

void BenchmarkRunner::measureStates() {
  for (const std::size_t keptJobs : {1000, 10'000, 50'000}) {
    measurePoint(
        "state", "kept", [&](Sizes& sizes) { sizes.keptJobs = keptJobs; }, measureState);
  }
  for (const std::size_t runningTasks : {1000, 10'000, 100'000}) {
    measurePoint(
        "state", "running", [&](Sizes& sizes) { sizes.runningTasks = runningTasks; }, measureState);
  }
  for (const std::size_t waitingTasks : {100, 1000, 10'000}) {
    measurePoint(
        "state", "waiting", [&](Sizes& sizes) { sizes.waitingTasks = waitingTasks; }, measureState);
  }
  for (const std::size_t workers : {60, 1000, 18'000}) {
    measurePoint(
        "state", "workers", [&](Sizes& sizes) { sizes.workers = workers; }, measureState);
  }
}

void BenchmarkRunner::measureConfigs() {
  for (const std::size_t queues : {10, 100, 830}) {
    measurePoint(
        "config", "queues", [&](Sizes& sizes) { sizes.queues = queues; }, measureConfig);
  }
}

void BenchmarkRunner::measureRoutes() {
  for (const std::size_t gateways : {7, 40, 160}) {
    measurePoint(
        "route", "gateways", [&](Sizes& sizes) { sizes.gateways = gateways; }, measureRoute);
  }
  for (const std::size_t queues : {10, 100, 830}) {
    measurePoint(
        "route", "queues", [&](Sizes& sizes) { sizes.queues = queues; }, measureRoute);
  }
}

void BenchmarkRunner::measureAgents() {
  for (const std::size_t runningTasks : {8, 26, 128}) {
    measurePoint(
        "agent", "running", [&](Sizes& sizes) { sizes.runningTasks = runningTasks; }, measureAgent);
  }
  for (const std::size_t runningTasks : {8, 26, 128}) {
    measurePoint(
        "agent", "running, none ends",
        [&](Sizes& sizes) {
          sizes.runningTasks = runningTasks;
          sizes.starts = 0;
        },
        measureAgent);
  }
}

}  // namespace aniseline::benchmarks
