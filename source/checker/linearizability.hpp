// Checks whether a history of operations is linearizable: whether each operation can be assigned
// one point in time between its invocation and its return such that a sequential model gives all
// the recorded answers. Each key is checked separately. A pure library without files, sockets,
// clocks or threads. Called by history_operations.cpp and the tests. docs/design.md 11.
#ifndef ANISELINE_CHECKER_LINEARIZABILITY_HPP
#define ANISELINE_CHECKER_LINEARIZABILITY_HPP
#include "checker/configuration_model.hpp"
#include "checker/job_model.hpp"

namespace aniseline {

// Limits the search for one key.
struct SearchLimits {
  std::size_t configurations = 1'000'000;
};
// Totals over the searches for all keys.
struct SearchStatistics {
  std::size_t keys = 0;
  std::size_t operations = 0;
  std::size_t configurations = 0;
};

// A key whose history was not proven linearizable.
struct LinearizabilityViolation {
  enum class Verdict : std::uint8_t {
    notLinearizable,
    // The search reached its limit, so the history is neither proven nor refuted. This never counts
    // as a pass.
    undecided
  };
  Verdict verdict = Verdict::notLinearizable;
  std::string key;
  // The shortest prefix of operations, in the order of their returns, that is not linearizable, as
  // indices into the input. The last operation is the one that cannot be explained. For an
  // undecided key, the prefix holds all answered operations.
  std::vector<std::size_t> prefix;
  std::string description;
  std::int64_t timestamp = 0;  // time at which the last operation of the prefix returned
};

// Returns every key that is not linearizable or was not decided, ordered by key. Adds the totals of
// the search to `statistics` if given.
std::vector<LinearizabilityViolation> findViolations(
    const ConfigurationModel& model, const std::vector<ConfigurationModel::Operation>& operations,
    SearchLimits limits = {}, SearchStatistics* statistics = nullptr);
std::vector<LinearizabilityViolation> findViolations(
    const JobModel& model, const std::vector<JobModel::Operation>& operations,
    SearchLimits limits = {}, SearchStatistics* statistics = nullptr);

// Returns the first key that is not linearizable, else the first undecided key, or nothing if all
// keys are linearizable.
template <class Model>
std::optional<LinearizabilityViolation> checkLinearizable(
    const Model& model, const std::vector<typename Model::Operation>& operations,
    SearchLimits limits = {}, SearchStatistics* statistics = nullptr) {
  const std::vector<LinearizabilityViolation> found =
      findViolations(model, operations, limits, statistics);
  for (const LinearizabilityViolation& violation : found) {
    if (violation.verdict == LinearizabilityViolation::Verdict::notLinearizable)
      return violation;
  }
  if (found.empty())
    return std::nullopt;
  return found.front();
}

}  // namespace aniseline

#endif  // ANISELINE_CHECKER_LINEARIZABILITY_HPP
