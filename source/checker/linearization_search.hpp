// Searches for one order in which the operations of a key can have taken effect. Uses the algorithm
// of Wing and Gong with the optimization of Lowe, which stores the configurations already tried. A
// configuration is the set of operations that took effect together with the resulting model state.
// Used only by linearizability.cpp.
#ifndef ANISELINE_CHECKER_LINEARIZATION_SEARCH_HPP
#define ANISELINE_CHECKER_LINEARIZATION_SEARCH_HPP
#include "checker/hash_mix.hpp"
#include "checker/operation.hpp"
#include <unordered_set>

namespace aniseline {

// The return time of an operation that may never take effect: later than any other.
constexpr std::int64_t neverReturned = std::numeric_limits<std::int64_t>::max();

// Runs a single search. `Model` provides the initial state, the state after an operation and a hash
// of a state, as ConfigurationModel does.
template <class Model>
class LinearizationSearch {
 public:
  using Operation = typename Model::Operation;
  using State = typename Model::State;

  enum class Result : std::uint8_t { linearizable, notLinearizable, undecided };

  struct Step {
    const Operation* operation;
    std::int64_t returnedAt;  // neverReturned if it need not take effect
    bool answered() const { return returnedAt != neverReturned; }
  };

  // The model and the operations must outlive the search, which explores at most
  // `maxConfigurations`.
  LinearizationSearch(const Model& model, std::vector<Step> given, std::size_t maxConfigurations)
      : model(model), maxConfigurations(maxConfigurations), steps(std::move(given)) {
    std::stable_sort(steps.begin(), steps.end(), [](const Step& left, const Step& right) {
      return left.operation->invokedAt < right.operation->invokedAt;
    });
    earliestReturnFrom.assign(steps.size() + 1, neverReturned);
    for (std::size_t index = steps.size(); index > 0; --index) {
      earliestReturnFrom[index - 1] =
          std::min(earliestReturnFrom[index], steps[index - 1].returnedAt);
    }
  }

  Result run() {
    enter(Configuration{0, {}, model.initial()});
    while (!frontier.empty()) {
      if (seen.size() > maxConfigurations)
        return Result::undecided;
      const Configuration* current = frontier.back();
      frontier.pop_back();
      if (expand(*current))
        return Result::linearizable;
    }
    return Result::notLinearizable;
  }

  std::size_t exploredConfigurations() const { return seen.size(); }

 private:
  // All steps before `next` took effect except the `skipped` ones. No step from `next` on took
  // effect.
  struct Configuration {
    std::size_t next = 0;
    std::vector<std::size_t> skipped;
    State state;
    bool operator==(const Configuration&) const = default;
  };

  struct Hash {
    const Model* model;
    std::size_t operator()(const Configuration& configuration) const {
      std::size_t seed = configuration.next;
      for (const std::size_t index : configuration.skipped) {
        mixHash(seed, index);
      }
      mixHash(seed, model->hash(configuration.state));
      return seed;
    }
  };

  // Adds the configuration to the frontier unless it was seen before.
  void enter(Configuration configuration) {
    const auto [entered, isNew] = seen.insert(std::move(configuration));
    if (isNew)
      frontier.push_back(&*entered);
  }

  std::int64_t earliestReturn(const Configuration& configuration) const {
    std::int64_t earliest = earliestReturnFrom[configuration.next];
    for (const std::size_t index : configuration.skipped) {
      earliest = std::min(earliest, steps[index].returnedAt);
    }
    return earliest;
  }

  // Returns the steps that may take effect next: those that were invoked no later than the earliest
  // return among the remaining steps. Steps that return early come last, because the frontier is a
  // stack.
  std::vector<std::size_t> candidates(const Configuration& configuration,
                                      std::int64_t earliest) const {
    std::vector<std::size_t> found;
    for (const std::size_t index : configuration.skipped) {
      if (steps[index].operation->invokedAt <= earliest)
        found.push_back(index);
    }
    for (std::size_t index = configuration.next; index < steps.size(); ++index) {
      if (steps[index].operation->invokedAt > earliest)
        break;
      found.push_back(index);
    }
    std::stable_sort(found.begin(), found.end(), [this](std::size_t left, std::size_t right) {
      return steps[left].returnedAt > steps[right].returnedAt;
    });
    return found;
  }

  // Adds all successors to the frontier. Returns true if every answered operation has taken effect.
  bool expand(const Configuration& current) {
    const std::int64_t earliest = earliestReturn(current);
    if (earliest == neverReturned)
      return true;
    const std::vector<std::size_t> next = candidates(current, earliest);
    if (enterUnchanged(current, next))
      return false;
    for (const std::size_t index : next) {
      if (auto state = stateAfter(current.state, index))
        enter(configurationAfter(current, index, std::move(*state)));
    }
    return false;
  }

  // An answered step that the model allows and that leaves the state unchanged can take effect
  // immediately: any valid order in which it comes later stays valid. Returns true if such a step
  // exists.
  bool enterUnchanged(const Configuration& current, const std::vector<std::size_t>& next) {
    for (const std::size_t index : next) {
      if (!steps[index].answered())
        continue;
      const auto state = model.apply(current.state, *steps[index].operation);
      if (!state || !(*state == current.state))
        continue;
      enter(configurationAfter(current, index, current.state));
      return true;
    }
    return false;
  }

  // Returns the state after a step. An unanswered operation that would change nothing is skipped,
  // which is equivalent to never taking effect.
  std::optional<State> stateAfter(const State& state, std::size_t index) const {
    const Step& step = steps[index];
    if (step.answered())
      return model.apply(state, *step.operation);
    State changed = model.applyUnanswered(state, *step.operation);
    if (changed == state)
      return std::nullopt;
    return changed;
  }

  static Configuration configurationAfter(const Configuration& current, std::size_t index,
                                          State state) {
    Configuration after{current.next, current.skipped, std::move(state)};
    if (index < current.next) {
      std::erase(after.skipped, index);
      return after;
    }
    for (std::size_t passed = current.next; passed < index; ++passed) {
      after.skipped.push_back(passed);
    }
    after.next = index + 1;
    return after;
  }

  const Model& model;
  std::size_t maxConfigurations;
  std::vector<Step> steps;  // ordered by invocation time
  std::vector<std::int64_t> earliestReturnFrom;
  std::unordered_set<Configuration, Hash> seen{16, Hash{&model}};
  // Points into `seen`, whose elements keep their addresses.
  std::vector<const Configuration*> frontier;
};

}  // namespace aniseline

#endif  // ANISELINE_CHECKER_LINEARIZATION_SEARCH_HPP
