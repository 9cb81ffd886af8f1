// What a worker offers: its resources, its location and its abilities. Reported
// by the worker at registration and kept in the replicated state.
// docs/design.md 5.
#ifndef ANISELINE_STATE_CAPACITY_HPP
#define ANISELINE_STATE_CAPACITY_HPP
#include "base/types.hpp"

namespace aniseline {

struct Capacity {
  std::uint32_t cores = 0;   // thousandths of a core
  std::uint64_t memory = 0;  // MB
  ZoneName zone;
  std::string rack;
  bool honoursLeases = false;     // suspends or kills its tasks when its lease expires
  bool enforcesCapacity = false;  // rejects a start that exceeds its free capacity
  std::uint32_t accelerators = 0;
  std::string pool{};  // a queue names the pool that its tasks run in; empty:
                       // the default pool
  std::vector<std::string> labels{};
  std::string host{};           // at most one worker per host. docs/design.md 5.8
  bool supportsSuspend = true;  // false: a suspend order is carried out as a stop
  // Kills all attempts when its lease expires; a result from before that which
  // was not confirmed is void.
  bool killsOnLeaseExpiry = false;
  // The members of a gang find each other by themselves: they are started at
  // once, not staged.
  bool selfAssemblingGangs = false;
  bool operator==(const Capacity&) const = default;
  /// Whether the worker carries the label; every worker carries the empty one.
  bool hasLabel(const std::string& label) const {
    return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
  }
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& cores& memory& zone& rack& honoursLeases& enforcesCapacity& accelerators& pool& labels&
        host& supportsSuspend& killsOnLeaseExpiry& selfAssemblingGangs;
  }
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_CAPACITY_HPP
