// The search for one order in which the operations of one key can have taken effect: Wing and
// Gong's, with Lowe's memory of the configurations already tried, that is of the set of operations
// that took effect and the model's state after them. Used by linearizability.cpp alone.
#ifndef ANISELINE_CHECKER_LINEARIZATION_SEARCH_HPP
#define ANISELINE_CHECKER_LINEARIZATION_SEARCH_HPP
#include "checker/hash_mix.hpp"
#include "checker/operation.hpp"
#include <unordered_set>

namespace aniseline {

// The return time of an operation that need not take effect: later than any other.
constexpr std::int64_t neverReturned = std::numeric_limits<std::int64_t>::max();

// Searches once. `Model` gives the state before all operations, the state after one, and a hash of
// a state, as ConfigurationModel does.
template <class Model>
class LinearizationSearch {
 public:
  using Operation = typename Model::Operation;
  using State = typename Model::State;

  enum class Result : std::uint8_t { linearizable, notLinearizable, undecided };

  struct Step {
    const Operation* operation;
    std::int64_t returnedAt;  // neverReturned: it need not take effect
    bool answered() const { return returnedAt != neverReturned; }
  };

  // The model and the operations outlive the search. At most `maxConfigurations` are tried.
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
  // The steps before `next` took effect but for the `skipped` ones; none from `next` on did.
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

  // Each configuration is expanded once.
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

  // The steps that may take effect next: none that has not yet taken effect returned before their
  // invocation. Earlier returns come last, since what is entered last is expanded first.
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

  // Enters what may follow; true if every answered operation has taken effect.
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

  // A step that is answered as the model allows and changes nothing may as well take effect at
  // once: any order that has it later holds with it here. True if there was one.
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

  // An unanswered operation that would change nothing may as well never take effect.
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
  std::vector<Step> steps;  // by invocation
  std::vector<std::int64_t> earliestReturnFrom;
  std::unordered_set<Configuration, Hash> seen{16, Hash{&model}};
  // Points into `seen`, whose elements never move.
  std::vector<const Configuration*> frontier;
};

}  // namespace aniseline

#endif  // ANISELINE_CHECKER_LINEARIZATION_SEARCH_HPP
