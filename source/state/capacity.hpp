// The resources, location and capabilities of a worker. Reported by the worker at registration and
// kept in the replicated state. docs/design.md 5.
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
  bool enforcesCapacity = false;  // rejects starts that exceed its free capacity
  std::uint32_t accelerators = 0;
  // The pool to which the worker belongs; a queue names the pool that runs its tasks. Empty: the
  // default pool.
  std::string pool{};
  std::vector<std::string> labels{};
  std::string host{};           // at most one worker runs per host. docs/design.md 5.8
  bool supportsSuspend = true;  // false: the worker carries out a suspend order as a stop
  // Kills all attempts when its lease expires; unconfirmed results from before the expiry are void.
  bool killsOnLeaseExpiry = false;
  // The members of a gang find each other themselves, so they are started at once without staging.
  bool selfAssemblingGangs = false;
  bool operator==(const Capacity&) const = default;
  /// Reports whether the worker has the label; every worker has the empty label.
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
