// Checks whether a history of operations is linearizable: whether each operation can be given one
// instant between its invocation and its return so that a sequential model answers all of them as
// they were answered. Each key is searched by itself. A pure library: no files, sockets, clocks or
// threads. Called by history_operations.cpp and the tests. docs/design.md 11.
#ifndef ANISELINE_CHECKER_LINEARIZABILITY_HPP
#define ANISELINE_CHECKER_LINEARIZABILITY_HPP
#include "checker/configuration_model.hpp"
#include "checker/job_model.hpp"

namespace aniseline {

// How much a search may do for one key.
struct SearchLimits {
  std::size_t configurations = 1'000'000;
};
// What the searches for all keys did.
struct SearchStatistics {
  std::size_t keys = 0;
  std::size_t operations = 0;
  std::size_t configurations = 0;
};

// A key whose history was not shown to be linearizable.
struct LinearizabilityViolation {
  enum class Verdict : std::uint8_t {
    notLinearizable,
    // The search met its limit. This is neither shown nor refuted, and never counts as a pass.
    undecided
  };
  Verdict verdict = Verdict::notLinearizable;
  std::string key;
  // The fewest operations, in the order of their returns, that can't be linearised, as indices into
  // what was given; the last one is what can't be explained. Of an undecided key all that were
  // answered.
  std::vector<std::size_t> prefix;
  std::string description;
  std::int64_t timestamp = 0;  // when the last operation of the prefix returned
};

// Every key that is not linearizable or was not decided, in the order of the keys. Adds what the
// search did to the statistics, if given.
std::vector<LinearizabilityViolation> findViolations(
    const ConfigurationModel& model, const std::vector<ConfigurationModel::Operation>& operations,
    SearchLimits limits = {}, SearchStatistics* statistics = nullptr);
std::vector<LinearizabilityViolation> findViolations(
    const JobModel& model, const std::vector<JobModel::Operation>& operations,
    SearchLimits limits = {}, SearchStatistics* statistics = nullptr);

// The first key that is not linearizable, or else the first that was not decided; nothing if all
// are linearizable.
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
