// Searches over the model: breadth first to a bound, and random walks. docs/design.md 3.
#ifndef ANISELINE_CHECKER_MODEL_SEARCH_HPP
#define ANISELINE_CHECKER_MODEL_SEARCH_HPP
#include "checker/model/model_cluster.hpp"

namespace aniseline::model {

using Trace = std::vector<Action>;

struct Counterexample {
  std::string rule;
  Trace trace;  // from the world that the search began with
};

struct SearchReport {
  std::uint64_t states = 0;       // different ones
  std::uint64_t transitions = 0;  // steps tried
  std::size_t depth = 0;          // steps from the start to the farthest state
  std::size_t completeDepth = 0;  // up to this depth every state was seen
  bool exhausted = false;         // there are no others within the budget
  double seconds = 0;
  std::optional<Counterexample> counterexample;
};

struct SearchBounds {
  std::uint64_t states = 100'000;  // also what bounds the memory
  std::size_t depth = 1000;
};

// Every order of steps, shortest first: what is found has the shortest trace there is.
SearchReport searchBreadthFirst(const ModelCluster& start, const SearchBounds& bounds);

struct WalkOptions {
  std::uint64_t seed = 1;
  std::uint64_t walks = 100;
  std::size_t steps = 100;
  std::size_t maxPacketsInFlight =
      20;  // messages under way; beyond, the walk loses or delivers first
};

// Deep runs of steps drawn from seeds; a trace found is shortened by leaving steps out.
SearchReport searchRandomly(const ModelCluster& start, const WalkOptions& options);

// The rule that a trace breaks, if any; steps that can't be taken are left out.
std::optional<std::string> replay(const ModelCluster& start, const Trace& trace);
// Leaves out steps while the same rule stays broken.
Counterexample minimize(const ModelCluster& start, Counterexample finding);
// One step a line, then the nodes as they stand.
std::string print(const ModelCluster& start, const Counterexample& finding);

}  // namespace aniseline::model

#endif  // ANISELINE_CHECKER_MODEL_SEARCH_HPP
