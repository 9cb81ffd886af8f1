// Searches the state space of the model: breadth first up to a bound, and by random walks.
// docs/design.md 3.
#ifndef ANISELINE_CHECKER_MODEL_SEARCH_HPP
#define ANISELINE_CHECKER_MODEL_SEARCH_HPP
#include "checker/model/model_cluster.hpp"

namespace aniseline::model {

using Trace = std::vector<Action>;

struct Counterexample {
  std::string rule;
  Trace trace;  // from the initial state of the search
};

struct SearchReport {
  std::uint64_t states = 0;       // distinct states
  std::uint64_t transitions = 0;  // actions performed
  std::size_t depth = 0;          // actions from the start to the farthest state
  std::size_t completeDepth = 0;  // every state up to this depth was visited
  bool exhausted = false;         // no other state is reachable within the budget
  double seconds = 0;
  std::optional<Counterexample> counterexample;
};

struct SearchBounds {
  std::uint64_t states = 100'000;  // also limits the memory
  std::size_t depth = 1000;
};

// Explores all orders of actions, shortest first, so a counterexample has the shortest possible
// trace.
SearchReport searchBreadthFirst(const ModelCluster& start, const SearchBounds& bounds);

struct WalkOptions {
  std::uint64_t seed = 1;
  std::uint64_t walks = 100;
  std::size_t steps = 100;
  // Above this number of messages in flight the walk only delivers or loses messages.
  std::size_t maxPacketsInFlight = 20;
};

// Performs long random walks from seeds. The trace of a counterexample is shortened by omitting
// actions.
SearchReport searchRandomly(const ModelCluster& start, const WalkOptions& options);

// Returns the invariant that a trace violates, if any; actions that are not enabled are skipped.
std::optional<std::string> replay(const ModelCluster& start, const Trace& trace);
// Omits actions as long as the same invariant is violated.
Counterexample minimize(const ModelCluster& start, Counterexample counterexample);
// Formats the trace with one action per line, between the initial and final states of the nodes.
std::string print(const ModelCluster& start, const Counterexample& counterexample);

}  // namespace aniseline::model

#endif  // ANISELINE_CHECKER_MODEL_SEARCH_HPP
