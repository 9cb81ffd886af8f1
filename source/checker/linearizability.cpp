// Runs the search for every key and reports the shortest prefix that fails.
#include "checker/linearizability.hpp"
#include "checker/linearization_search.hpp"

namespace aniseline {

namespace {

// A description lists this many operations at the end of a prefix and only counts the earlier ones.
constexpr std::size_t describedOperations = 12;

// Checks the operations of one key and finds the shortest prefix that is not linearizable.
template <class Model>
class KeyCheck {
 public:
  using Operation = typename Model::Operation;
  using Search = LinearizationSearch<Model>;
  using Result = typename Search::Result;
  using Verdict = LinearizabilityViolation::Verdict;

  KeyCheck(const Model& model, const std::vector<Operation>& operations,
           const std::vector<std::size_t>& indices, SearchLimits limits)
      : model(model), operations(operations), limits(limits) {
    for (const std::size_t index : indices) {
      const Operation& operation = operations[index];
      const bool known = operation.outcome == OperationOutcome::ok && operation.returnedAt;
      (known ? answered : unanswered).push_back(index);
    }
    std::stable_sort(answered.begin(), answered.end(), [&](std::size_t left, std::size_t right) {
      return *operations[left].returnedAt < *operations[right].returnedAt;
    });
  }

  std::optional<LinearizabilityViolation> check() {
    const Result result = search(answered.size());
    if (result == Result::linearizable)
      return std::nullopt;
    if (result == Result::undecided)
      return violation(Verdict::undecided, answered.size());
    return violation(Verdict::notLinearizable, shortestRefutedPrefix());
  }

  std::size_t exploredConfigurations() const { return configurations; }

 private:
  // Checks the history as it was when the first `returned` operations had returned. Operations
  // invoked by then that return later count as unanswered.
  Result search(std::size_t returned) {
    const bool all = returned == answered.size();
    const std::int64_t until = all ? neverReturned : *operations[answered[returned - 1]].returnedAt;
    std::vector<typename Search::Step> steps;
    for (std::size_t rank = 0; rank < answered.size(); ++rank) {
      const Operation& operation = operations[answered[rank]];
      if (operation.invokedAt > until)
        continue;
      steps.push_back({&operation, rank < returned ? *operation.returnedAt : neverReturned});
    }
    for (const std::size_t index : unanswered) {
      if (operations[index].invokedAt <= until)
        steps.push_back({&operations[index], neverReturned});
    }
    Search search(model, std::move(steps), limits.configurations);
    const Result result = search.run();
    configurations += search.exploredConfigurations();
    return result;
  }

  // Finds the shortest refuted prefix by bisection, because every extension of a non-linearizable
  // history is not linearizable either. An undecided prefix counts as linearizable: the result may
  // then be longer than necessary but is still a violation.
  std::size_t shortestRefutedPrefix() {
    std::size_t linearizable = 0;
    std::size_t refuted = answered.size();
    while (refuted - linearizable > 1) {
      const std::size_t middle = linearizable + (refuted - linearizable) / 2;
      const bool isRefuted = search(middle) == Result::notLinearizable;
      (isRefuted ? refuted : linearizable) = middle;
    }
    return refuted;
  }

  LinearizabilityViolation violation(Verdict verdict, std::size_t prefixLength) const {
    LinearizabilityViolation found;
    found.verdict = verdict;
    found.key = operations[answered.front()].key;
    found.prefix.assign(answered.begin(), answered.begin() + std::ptrdiff_t(prefixLength));
    found.timestamp = *operations[found.prefix.back()].returnedAt;
    found.description = describe(found);
    return found;
  }

  std::string describe(const LinearizabilityViolation& violation) const {
    if (violation.verdict == Verdict::undecided) {
      return violation.key + ": undecided after " + std::to_string(configurations) +
             " configurations";
    }
    const auto& prefix = violation.prefix;
    std::string text = violation.key + ": the first " + std::to_string(prefix.size()) +
                       " operations cannot be linearized:";
    const std::size_t first =
        prefix.size() > describedOperations ? prefix.size() - describedOperations : 0;
    if (first > 0)
      text += " (" + std::to_string(first) + " earlier ones);";
    for (std::size_t index = first; index < prefix.size(); ++index) {
      text += (index > first ? "; " : " ") + describe(operations[prefix[index]]);
    }
    return text + describeUnanswered(violation);
  }

  std::string describe(const Operation& operation) const {
    std::string text = operation.client.empty() ? std::string() : operation.client + " ";
    text += "[" + std::to_string(operation.invokedAt) + ", ";
    if (operation.outcome == OperationOutcome::ok)
      text += std::to_string(*operation.returnedAt);
    return text + "] " + model.describe(operation);
  }

  // Describes the operations that may have taken effect by then although no answer shows it.
  std::string describeUnanswered(const LinearizabilityViolation& violation) const {
    std::vector<std::size_t> rest(answered.begin() + std::ptrdiff_t(violation.prefix.size()),
                                  answered.end());
    rest.insert(rest.end(), unanswered.begin(), unanswered.end());
    std::string text;
    for (const std::size_t index : rest) {
      if (operations[index].invokedAt > violation.timestamp)
        continue;
      text += (text.empty() ? "; unanswered by then: " : ", ") + describe(operations[index]);
    }
    return text;
  }

  const Model& model;
  const std::vector<Operation>& operations;
  std::vector<std::size_t> answered;  // ordered by return time
  std::vector<std::size_t> unanswered;
  SearchLimits limits;
  std::size_t configurations = 0;  // explored by all searches of this key
};

template <class Model>
std::vector<LinearizabilityViolation> findViolationsByKey(
    const Model& model, const std::vector<typename Model::Operation>& operations,
    SearchLimits limits, SearchStatistics* statistics) {
  std::map<std::string, std::vector<std::size_t>> byKey;
  for (std::size_t index = 0; index < operations.size(); ++index) {
    byKey[operations[index].key].push_back(index);
  }
  SearchStatistics totals{byKey.size(), operations.size(), 0};
  std::vector<LinearizabilityViolation> found;
  for (const auto& [key, indices] : byKey) {
    KeyCheck<Model> check(model, operations, indices, limits);
    if (auto violation = check.check())
      found.push_back(std::move(*violation));
    totals.configurations += check.exploredConfigurations();
  }
  if (statistics) {
    statistics->keys += totals.keys;
    statistics->operations += totals.operations;
    statistics->configurations += totals.configurations;
  }
  return found;
}

}  // namespace

std::vector<LinearizabilityViolation> findViolations(
    const ConfigurationModel& model, const std::vector<ConfigurationModel::Operation>& operations,
    SearchLimits limits, SearchStatistics* statistics) {
  return findViolationsByKey(model, operations, limits, statistics);
}

std::vector<LinearizabilityViolation> findViolations(
    const JobModel& model, const std::vector<JobModel::Operation>& operations, SearchLimits limits,
    SearchStatistics* statistics) {
  return findViolationsByKey(model, operations, limits, statistics);
}

}  // namespace aniseline
