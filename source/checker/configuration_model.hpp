// The sequential model of the cluster's configuration: a versioned register that operators write
// and read. The linearizability checker asks it which answers were possible.
// docs/design.md 6.1, 11.
#ifndef ANISELINE_CHECKER_CONFIGURATION_MODEL_HPP
#define ANISELINE_CHECKER_CONFIGURATION_MODEL_HPP
#include "checker/operation.hpp"

namespace aniseline {

// The identity of an operator's order to put a configuration in force. An order that is sent again
// is the same order.
struct ConfigurationOrder {
  std::uint64_t version = 0;  // the version it brings; 0: the next one
  std::uint64_t base = 0;     // the version it was written upon
  std::string digest;
  bool isPatch = false;  // what it makes of its base is learned from the first read of it
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
  // The version it was applied as, the one in force, or the one shown; nothing where the answer did
  // not name it.
  std::optional<std::uint64_t> version;
  std::string digest;  // of what was shown
};

// An order is applied if it is based on the version in force and brings a higher one. An order that
// was applied is answered as applied from then on, and never rejected.
class ConfigurationModel {
 public:
  using Operation = aniseline::Operation<ConfigurationInput, ConfigurationOutput>;

  // The orders that were applied, with the version that each was applied as.
  using AppliedOrders = std::map<ConfigurationOrder, std::uint64_t>;

  struct State {
    std::uint64_t version = 0;
    std::string digest;  // empty: made by a patch, and not read yet
    // Shared by the states between two applied orders, of which a search holds many.
    std::shared_ptr<const AppliedOrders> appliedOrders = std::make_shared<const AppliedOrders>();
    // Versions only rise, so equal contents have equal hashes.
    std::size_t appliedOrdersHash = 0;
    bool operator==(const State& other) const;
  };

  State initial() const { return {}; }
  // The state after an operation that was answered; nothing if no register in this state could have
  // answered so.
  std::optional<State> apply(const State& state, const Operation& operation) const;
  // The state after an operation of which no answer is known.
  State applyUnanswered(const State& state, const Operation& operation) const;
  std::size_t hash(const State& state) const;
  // One line for people.
  std::string describe(const Operation& operation) const;
};

}  // namespace aniseline

#endif  // ANISELINE_CHECKER_CONFIGURATION_MODEL_HPP
