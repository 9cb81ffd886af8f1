// Implements the breadth-first search, the random walks and the shortening of traces.
#include "checker/model/search.hpp"

#include "checker/model/describe.hpp"
#include <unordered_set>

namespace aniseline::model {

namespace {

class Stopwatch {
 public:
  double seconds() const {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
  }

 private:
  std::chrono::steady_clock::time_point began = std::chrono::steady_clock::now();
};

// Returns the name of an invariant without the details of the violation.
std::string ruleName(const std::string& rule) {
  return rule.substr(0, rule.find(':'));
}

class BreadthFirstSearch {
 public:
  BreadthFirstSearch(const ModelCluster& start, const SearchBounds& bounds) : bounds(bounds) {
    visit(start, 0, Action{}, 0);
  }

  SearchReport run() {
    const Stopwatch watch;
    while (!frontier.empty() && !report.counterexample && !limitReached) {
      const FrontierState current = std::move(frontier.front());
      frontier.pop_front();
      report.completeDepth = current.depth;
      if (current.depth < bounds.depth)
        expand(current);
    }
    report.exhausted = frontier.empty() && !report.counterexample && !limitReached;
    if (report.exhausted)
      report.completeDepth = report.depth;
    report.states = reached.size();
    report.seconds = watch.seconds();
    return std::move(report);
  }

 private:
  struct FrontierState {
    ModelCluster cluster;
    std::size_t index;  // in `reached`
    std::size_t depth;
  };
  struct ReachedState {
    std::size_t parent;
    Action action;
  };

  void expand(const FrontierState& current) {
    for (const auto& action : current.cluster.enabledActions()) {
      ModelCluster next = current.cluster;
      if (!next.apply(action))
        continue;
      ++report.transitions;
      if (next.violation()) {
        report.counterexample = Counterexample{*next.violation(), traceTo(current.index)};
        report.counterexample->trace.push_back(action);
        return;
      }
      visit(std::move(next), current.index, action, current.depth + 1);
      if (reached.size() >= bounds.states) {
        limitReached = true;
        return;
      }
    }
  }

  void visit(ModelCluster cluster, std::size_t parent, const Action& action, std::size_t depth) {
    if (!seen.insert(cluster.hash()).second)
      return;
    reached.push_back({parent, action});
    report.depth = std::max(report.depth, depth);
    frontier.push_back({std::move(cluster), reached.size() - 1, depth});
  }

  Trace traceTo(std::size_t index) const {
    Trace trace;
    for (; index != 0; index = reached[index].parent)
      trace.push_back(reached[index].action);
    std::reverse(trace.begin(), trace.end());
    return trace;
  }

  SearchBounds bounds;
  SearchReport report;
  bool limitReached = false;
  std::unordered_set<std::uint64_t> seen;
  std::vector<ReachedState> reached;
  std::deque<FrontierState> frontier;
};

// The relative probability of each kind of action. With equal weights, most walks would consist of
// elections during which no message is delivered.
unsigned weight(ActionKind kind) {
  switch (kind) {
    case ActionKind::deliver:
      return 24;
    case ActionKind::completeWrite:
    case ActionKind::startWrite:
      return 48;
    case ActionKind::heartbeat:
    case ActionKind::join:
    case ActionKind::rejoinAsNewMember:
    case ActionKind::promote:
    case ActionKind::removeMember:
      return 12;
    case ActionKind::propose:
    case ActionKind::read:
    case ActionKind::compact:
      return 8;
    case ActionKind::leaderSilence:
    case ActionKind::electionTimeout:
      return 3;
    default:
      return 1;
  }
}

class RandomWalk {
 public:
  RandomWalk(const ModelCluster& start, const WalkOptions& options, std::uint64_t seed)
      : cluster(start), options(options), random(seed) {}

  std::optional<Counterexample> run(std::unordered_set<std::uint64_t>& seen) {
    while (trace.size() < options.steps) {
      const auto action = draw();
      if (!action)
        return std::nullopt;
      cluster.apply(*action);
      trace.push_back(*action);
      seen.insert(cluster.hash());
      if (cluster.violation())
        return Counterexample{*cluster.violation(), trace};
    }
    return std::nullopt;
  }
  std::size_t steps() const { return trace.size(); }

 private:
  std::optional<Action> draw() {
    auto actions = cluster.enabledActions();
    if (cluster.network().size() > options.maxPacketsInFlight) {
      std::erase_if(actions, [](const Action& action) {
        return action.kind != ActionKind::drop && action.kind != ActionKind::deliver;
      });
    }
    std::int64_t total = 0;
    for (const auto& action : actions)
      total += weight(action.kind);
    if (total == 0)
      return std::nullopt;
    auto left = random.between(1, total);
    for (const auto& action : actions) {
      left -= weight(action.kind);
      if (left <= 0)
        return action;
    }
    return std::nullopt;
  }

  ModelCluster cluster;
  const WalkOptions& options;
  Random random;
  Trace trace;
};

}  // namespace

SearchReport searchBreadthFirst(const ModelCluster& start, const SearchBounds& bounds) {
  return BreadthFirstSearch(start, bounds).run();
}

SearchReport searchRandomly(const ModelCluster& start, const WalkOptions& options) {
  const Stopwatch watch;
  SearchReport report;
  std::unordered_set<std::uint64_t> seen;
  for (std::uint64_t index = 0; index < options.walks && !report.counterexample; ++index) {
    RandomWalk walk(start, options, options.seed + index);
    report.counterexample = walk.run(seen);
    report.transitions += walk.steps();
    report.depth = std::max(report.depth, walk.steps());
  }
  report.states = seen.size();
  if (report.counterexample)
    report.counterexample = minimize(start, *report.counterexample);
  report.seconds = watch.seconds();
  return report;
}

std::optional<std::string> replay(const ModelCluster& start, const Trace& trace) {
  ModelCluster cluster = start;
  for (const auto& action : trace)
    if (cluster.apply(action) && cluster.violation())
      return cluster.violation();
  return std::nullopt;
}

Counterexample minimize(const ModelCluster& start, Counterexample counterexample) {
  const auto violatesSameInvariant = [&](const Trace& trace) {
    const auto rule = replay(start, trace);
    return rule && ruleName(*rule) == ruleName(counterexample.rule);
  };
  for (std::size_t length = std::max<std::size_t>(1, counterexample.trace.size() / 2);
       length > 0;) {
    bool shortened = false;
    for (std::size_t index = 0; index + length <= counterexample.trace.size();) {
      Trace shorterTrace = counterexample.trace;
      const auto from = shorterTrace.begin() + std::ptrdiff_t(index);
      shorterTrace.erase(from, from + std::ptrdiff_t(length));
      if (violatesSameInvariant(shorterTrace)) {
        counterexample.trace = std::move(shorterTrace);
        shortened = true;
      } else
        ++index;
    }
    if (!shortened || length > 1)
      length /= 2;
  }
  counterexample.rule = replay(start, counterexample.trace).value_or(counterexample.rule);
  return counterexample;
}

std::string print(const ModelCluster& start, const Counterexample& counterexample) {
  std::string text = counterexample.rule + "\n";
  ModelCluster cluster = start;
  for (std::size_t machine = 0; machine < cluster.machines(); ++machine)
    text += "  start " + describe(cluster.node(machine)) + "\n";
  std::size_t step = 0;
  for (const auto& action : counterexample.trace) {
    text += "  " + std::to_string(++step) + ". " + cluster.describe(action) + "\n";
    cluster.apply(action);
  }
  for (std::size_t machine = 0; machine < cluster.machines(); ++machine)
    text += "  end   " + describe(cluster.node(machine)) + "\n";
  return text;
}

}  // namespace aniseline::model
