// model_check: explores the consensus core under every order of messages, crashes and membership
// changes up to a bound, and by long random walks. docs/design.md 3.
#include "checker/model/scenarios.hpp"
#include "net/options.hpp"
#include "state/api_request.hpp"
#include <iostream>

using namespace aniseline;

namespace {

void printReport(const std::string& search, const std::string& scenario,
                 const model::SearchReport& report) {
  const double rate = double(report.transitions) / std::max(report.seconds, 1e-6);
  std::cout << json(picojson::object{{"search", json(search)},
                                     {"scenario", json(scenario)},
                                     {"states", json(std::int64_t(report.states))},
                                     {"transitions", json(std::int64_t(report.transitions))},
                                     {"depth", json(std::int64_t(report.depth))},
                                     {"whole_depth", json(std::int64_t(report.completeDepth))},
                                     {"exhausted", json(report.exhausted)},
                                     {"seconds", json(report.seconds)},
                                     {"transitions_per_second", json(std::int64_t(rate))}})
                   .serialize()
            << std::endl;
}

// Prints the counterexample, if there is one. Returns whether there is none.
bool printCounterexample(const model::ModelCluster& start, const model::SearchReport& report) {
  if (report.counterexample)
    std::cout << "BROKEN, in " << report.counterexample->trace.size()
              << " steps: " << model::print(start, *report.counterexample) << std::flush;
  return !report.counterexample;
}

struct Bounds {
  model::SearchBounds breadthFirst;
  model::WalkOptions walks;
};

bool search(const model::Scenario& scenario, const Bounds& bounds, bool outcomesOnly) {
  bool passed = true;
  const auto start = model::prepare(scenario, {}, outcomesOnly);
  if (bounds.breadthFirst.states > 0) {
    const auto report = model::searchBreadthFirst(start, bounds.breadthFirst);
    printReport("breadth first", scenario.name, report);
    passed = printCounterexample(start, report);
  }
  if (bounds.walks.walks > 0) {
    const auto open = model::withWalkOptions(start, outcomesOnly);
    const auto report = model::searchRandomly(open, bounds.walks);
    printReport("walks", scenario.name, report);
    passed = printCounterexample(open, report) && passed;
  }
  return passed;
}

}  // namespace

int main(int argc, char** argv) {
  std::int64_t states = 20'000, depth = 1000, walks = 0, steps = 120, seed = 1;
  std::string scenarioName;
  bool outcomesOnly = false, list = false;
  OptionSet options("model_check", "searches the consensus core for violations of its invariants");
  options.addInteger("states", states,
                     "maximum number of distinct states per scenario, breadth first", 0,
                     1'000'000'000);
  options.addInteger("depth", depth,
                     "maximum number of steps from the start of a scenario, breadth first", 1,
                     1'000'000);
  options.addInteger("walks", walks, "number of random walks per scenario", 0, 1'000'000'000);
  options.addInteger("steps", steps, "number of steps per walk", 1, 1'000'000);
  options.addInteger("seed", seed, "seed of the first walk", 0, 1'000'000'000);
  options.addText("scenario", scenarioName, "run only this scenario");
  options.addFlag("outcomes-only", outcomesOnly,
                  "check only outcomes that a client could observe, not the internal invariants");
  options.addFlag("list", list, "list the scenarios and exit");
  options.read(argc, argv);

  const Bounds bounds{{std::uint64_t(states), std::size_t(depth)},
                      {std::uint64_t(seed), std::uint64_t(walks), std::size_t(steps)}};
  bool passed = true, matched = false;
  for (const auto& scenario : model::scenarios()) {
    if (!scenarioName.empty() && scenario.name != scenarioName)
      continue;
    matched = true;
    if (list) {
      std::cout << scenario.name << ": " << scenario.purpose << "\n";
      continue;
    }
    try {
      passed = search(scenario, bounds, outcomesOnly) && passed;
    } catch (const std::logic_error& error) {  // an invariant is violated before the search begins
      std::cout << "BROKEN, in the scenario's own steps: " << error.what() << std::endl;
      passed = false;
    }
  }
  if (!matched) {
    std::cerr << "model_check: --scenario: there is no scenario " << scenarioName << "\n";
    return 2;
  }
  return passed ? 0 : 1;
}
