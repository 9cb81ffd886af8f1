// model_check: the consensus core under every order of messages, crashes and changes of members, to
// a bound; and long random walks. docs/design.md 3.
#include "checker/model/scenarios.hpp"
#include "net/options.hpp"
#include "state/api_request.hpp"
#include <iostream>

using namespace aniseline;

namespace {

void show(const std::string& search, const std::string& scenario,
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

// Whether nothing was found.
bool tell(const model::ModelCluster& start, const model::SearchReport& report) {
  if (report.counterexample)
    std::cout << "BROKEN, in " << report.counterexample->trace.size()
              << " steps: " << model::print(start, *report.counterexample) << std::flush;
  return !report.counterexample;
}

struct Bounds {
  model::SearchBounds breadthFirst;
  model::WalkOptions walks;
};

bool search(const model::Scenario& scenario, const Bounds& bounds, bool outcomes) {
  bool good = true;
  const auto start = model::prepare(scenario, {}, outcomes);
  if (bounds.breadthFirst.states > 0) {
    const auto report = model::searchBreadthFirst(start, bounds.breadthFirst);
    show("breadth first", scenario.name, report);
    good = tell(start, report);
  }
  if (bounds.walks.walks > 0) {
    const auto open = model::withWalkOptions(start, outcomes);
    const auto report = model::searchRandomly(open, bounds.walks);
    show("walks", scenario.name, report);
    good = tell(open, report) && good;
  }
  return good;
}

}  // namespace

int main(int count, char** values) {
  std::int64_t states = 20'000, depth = 1000, walks = 0, steps = 120, seed = 1;
  std::string only;
  bool outcomes = false, list = false;
  OptionSet options("model_check", "searches the consensus core for broken promises");
  options.addInteger("states", states, "different states a scenario, breadth first", 0,
                     1'000'000'000);
  options.addInteger("depth", depth, "steps from the scenario's start, breadth first", 1,
                     1'000'000);
  options.addInteger("walks", walks, "random walks a scenario", 0, 1'000'000'000);
  options.addInteger("steps", steps, "steps a walk", 1, 1'000'000);
  options.addInteger("seed", seed, "of the first walk", 0, 1'000'000'000);
  options.addText("scenario", only, "only this one");
  options.addFlag("outcomes-only", outcomes,
                  "judge only what a caller could see, not the rules kept on the way");
  options.addFlag("list", list, "tell the scenarios and end");
  options.read(count, values);

  const Bounds bounds{{std::uint64_t(states), std::size_t(depth)},
                      {std::uint64_t(seed), std::uint64_t(walks), std::size_t(steps)}};
  bool good = true, any = false;
  for (const auto& scenario : model::scenarios()) {
    if (!only.empty() && scenario.name != only)
      continue;
    any = true;
    if (list) {
      std::cout << scenario.name << ": " << scenario.purpose << "\n";
      continue;
    }
    try {
      good = search(scenario, bounds, outcomes) && good;
    } catch (const std::logic_error& error) {  // a rule breaks before the search begins
      std::cout << "BROKEN, in the scenario's own steps: " << error.what() << std::endl;
      good = false;
    }
  }
  if (!any) {
    std::cerr << "model_check: --scenario: there is no " << only << "\n";
    return 2;
  }
  return good ? 0 : 1;
}
