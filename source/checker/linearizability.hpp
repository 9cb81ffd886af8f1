// Checks whether a history of operations is linearizable: whether each operation can be given
// one instant between its invocation and its return so that a sequential model answers all of
// them as they were answered. The search is Wing and Gong's, with Lowe's memory of the
// configurations already tried: the set of operations that took effect, and the model's state
// after them. Each key is searched by itself. A pure library: no files, sockets, clocks or
// threads.
#ifndef ANISELINE_CHECKER_LINEARIZABILITY_HPP
#define ANISELINE_CHECKER_LINEARIZABILITY_HPP
#include "base/types.hpp"

namespace aniseline {

// Whether the client knows what became of its operation.
enum class OperationOutcome : std::uint8_t {
  ok,      // it was answered: it took effect between its invocation and its return
  unknown  // the answer was lost: it took effect at any time after its invocation, or never will
};

// One call of a client upon one key. Times of all clients are one clock's. Operations whose
// times touch count as concurrent.
template <class InputType, class OutputType>
struct Operation {
  using Input = InputType;
  using Output = OutputType;

  std::string key;
  std::string client;
  std::int64_t invokedAt = 0;
  std::optional<std::int64_t> returnedAt;  // required where the outcome is known
  Input input;
  Output output;
  OperationOutcome outcome = OperationOutcome::ok;
};

// The identity of an operator's order to put a configuration in force. The same order sent
// again is the same order.
struct ConfigurationOrder {
  std::uint64_t version = 0;  // the version it brings; 0: the next one
  std::uint64_t base = 0;     // the version it was written upon
  std::string digest;
  auto operator<=>(const ConfigurationOrder&) const = default;
};

struct ConfigurationInput {
  enum class Kind : std::uint8_t { apply, read };
  Kind kind = Kind::read;
  ConfigurationOrder order;  // of an apply
};

struct ConfigurationOutput {
  enum class Kind : std::uint8_t { applied, rejected, shown };
  Kind kind = Kind::shown;
  std::optional<std::uint64_t>
      version;         // taken as, in force, or shown; nothing where it was not told
  std::string digest;  // of what was shown
};

// The versioned register that holds the cluster's configuration. An order is taken if it is
// based on the version in force and brings a higher one; an order that was taken is answered as
// applied ever after, and never refused.
class ConfigurationModel {
 public:
  using Operation = aniseline::Operation<ConfigurationInput, ConfigurationOutput>;

  // With the version each was taken as.
  using AppliedOrders = std::map<ConfigurationOrder, std::uint64_t>;

  struct State {
    std::uint64_t version = 0;
    std::string digest;
    // Shared by the states between two orders that were taken: there are many of these.
    std::shared_ptr<const AppliedOrders> appliedOrders = std::make_shared<const AppliedOrders>();
    std::size_t appliedOrdersHash = 0;  // versions only rise, so equal contents have equal hashes
    bool operator==(const State& other) const;
  };

  State initial() const { return {}; }
  // The state after an operation that was answered; nothing if no register in this state
  // could have answered so.
  std::optional<State> apply(const State& state, const Operation& operation) const;
  // The state after an operation of which no answer is known.
  State applyUnanswered(const State& state, const Operation& operation) const;
  std::size_t hash(const State& state) const;
  std::string describe(const Operation& operation) const;
};

// What may be told of a job, and what a history allows it to be.
enum class JobPhase : std::uint8_t {
  missing,            // never accepted, as far as the cluster tells
  pending,            // accepted, nothing of it has begun
  running,            // some of it has begun
  pendingOrRunning,   // pending or running, the answer does not say which
  cancelling,         // its cancel is under way
  cancellingOrEnded,  // cancelling, or ended in any way: a cancel was acknowledged without a word
                      // of the phase
  succeeded,
  failed,
  cancelled
};
const char* name(JobPhase phase);

struct JobInput {
  enum class Kind : std::uint8_t {
    submit,
    show,
    cancel,
    run  // a worker's word that some of the job began there
  };
  Kind kind = Kind::show;
  std::string digest;  // of the content submitted
};

struct JobOutput {
  enum class Kind : std::uint8_t {
    accepted,
    rejected,      // for good: this submission never runs
    overloaded,    // this call was not taken; it says nothing of the job
    shown,         // the phase tells what
    acknowledged,  // of a cancel; the phase tells what the job is then, `over` if nothing was
                   // told
    ran
  };
  Kind kind = Kind::shown;
  JobPhase phase = JobPhase::missing;
};

// A job with its cancel. What its caller can't see, the work itself, may move the phase on at
// any moment between two operations; so the state is the earliest phase that the job may still
// be in. Phases only go forward: pending, running, an ending. Only a cancel leads to cancelling
// and cancelled; once one is acknowledged, the job can end well or fail only if it had before.
class JobModel {
 public:
  using Operation = aniseline::Operation<JobInput, JobOutput>;

  struct State {
    JobPhase phase = JobPhase::missing;
    std::string digest;
    bool operator==(const State&) const = default;
  };

  State initial() const { return {}; }
  std::optional<State> apply(const State& state, const Operation& operation) const;
  State applyUnanswered(const State& state, const Operation& operation) const;
  std::size_t hash(const State& state) const;
  std::string describe(const Operation& operation) const;
};

// How much a search may do for one key, and what it did for all of them.
struct SearchLimits {
  std::size_t configurations = 1'000'000;
};
struct SearchStatistics {
  std::size_t keys = 0, operations = 0, configurations = 0;
};

// A key whose history was not shown to be linearizable.
struct LinearizabilityViolation {
  enum class Verdict : std::uint8_t {
    notLinearizable,
    undecided  // the search met its limit: neither shown nor refuted, and never to be taken for
               // a pass
  };
  Verdict verdict = Verdict::notLinearizable;
  std::string key;
  // The fewest operations, in the order of their returns, that can't be linearised, as places
  // in what was given; the last one is what can't be explained. Of an undecided key all that
  // were answered.
  std::vector<std::size_t> prefix;
  std::string description;

  std::int64_t timestamp = 0;  // when the last operation of the prefix returned
};

// Every key that is not linearizable or was not decided, in the order of the keys.
std::vector<LinearizabilityViolation> findViolations(
    const ConfigurationModel& model, const std::vector<ConfigurationModel::Operation>& operations,
    SearchLimits limits = {}, SearchStatistics* statistics = nullptr);
std::vector<LinearizabilityViolation> findViolations(
    const JobModel& model, const std::vector<JobModel::Operation>& operations,
    SearchLimits limits = {}, SearchStatistics* statistics = nullptr);

// The first key that is not linearizable, or else the first that was not decided; nothing if
// all are linearizable.
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
