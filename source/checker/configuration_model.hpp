// The sequential model of the cluster configuration: a versioned register that operators write and
// read. The linearizability checker uses it to decide which answers were possible.
// docs/design.md 6.1, 11.
#ifndef ANISELINE_CHECKER_CONFIGURATION_MODEL_HPP
#define ANISELINE_CHECKER_CONFIGURATION_MODEL_HPP
#include "checker/operation.hpp"

namespace aniseline {

// Identifies the order of an operator to apply a configuration. An order that is sent again is the
// same order.
struct ConfigurationOrder {
  std::uint64_t version = 0;  // the version that the order assigns; 0 for the next one
  std::uint64_t base = 0;     // the version it is based on
  std::string digest;
  bool isPatch = false;  // the digest of the result is taken from the first read of it
  auto operator<=>(const ConfigurationOrder&) const = default;
};

struct ConfigurationInput {
  enum class Kind : std::uint8_t { apply, read };
  Kind kind = Kind::read;
  ConfigurationOrder order;  // set for `apply`
};

struct ConfigurationOutput {
  enum class Kind : std::uint8_t { applied, rejected, shown };
  Kind kind = Kind::shown;
  // The version it was applied as, the current one, or the one shown. Empty if the answer did not
  // state it.
  std::optional<std::uint64_t> version;
  std::string digest;  // digest of the configuration shown
};

// An order is applied if it is based on the current version and assigns a higher one. Every later
// request for an applied order is answered as applied and never rejected.
class ConfigurationModel {
 public:
  using Operation = aniseline::Operation<ConfigurationInput, ConfigurationOutput>;

  // The applied orders with the version each was applied as.
  using AppliedOrders = std::map<ConfigurationOrder, std::uint64_t>;

  struct State {
    std::uint64_t version = 0;
    std::string digest;  // empty if the configuration was patched and has not been read yet
    // Shared between the states from one applied order to the next, because a search holds many of
    // them.
    std::shared_ptr<const AppliedOrders> appliedOrders = std::make_shared<const AppliedOrders>();
    // Versions only increase, so equal contents have equal hashes.
    std::size_t appliedOrdersHash = 0;
    bool operator==(const State& other) const;
  };

  State initial() const { return {}; }
  // Returns the state after an answered operation, or nothing if a register in this state could not
  // have given that answer.
  std::optional<State> apply(const State& state, const Operation& operation) const;
  // Returns the state after an unanswered operation that took effect.
  State applyUnanswered(const State& state, const Operation& operation) const;
  std::size_t hash(const State& state) const;
  // Describes the operation in one line for a violation report.
  std::string describe(const Operation& operation) const;
};

}  // namespace aniseline

#endif  // ANISELINE_CHECKER_CONFIGURATION_MODEL_HPP
