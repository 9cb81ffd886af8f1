// The queues' policies of one version of the config, compiled. The planner keeps them from plan to
// plan. Not for threads to share.
#ifndef ANISELINE_SCHEDULING_COMPILED_POLICIES_HPP
#define ANISELINE_SCHEDULING_COMPILED_POLICIES_HPP
#include "state/cluster_config.hpp"

namespace aniseline::scheduling {

struct CompiledPolicy {
  PolicyProgram rank;        // a pending unit's place in the order, docs/paper.md 1
  PolicyProgram maySuspend;  // not 0: a trial may suspend the attempt, docs/paper.md 5
};

class CompiledPolicies {
 public:
  explicit CompiledPolicies(const ClusterConfig& config);
  ConfigVersion version() const { return configVersion; }
  /// The policy of that name, or the default one, which is the paper's.
  const CompiledPolicy& find(const std::string& name) const;

 private:
  ConfigVersion configVersion;
  std::map<std::string, CompiledPolicy> policies;
};

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_COMPILED_POLICIES_HPP
