// The queues' policies of one config version, compiled. The planner keeps them between plans. Not
// safe to share between threads.
#ifndef ANISELINE_SCHEDULING_COMPILED_POLICIES_HPP
#define ANISELINE_SCHEDULING_COMPILED_POLICIES_HPP
#include "state/cluster_config.hpp"

namespace aniseline::scheduling {

struct CompiledPolicy {
  PolicyProgram rank;        // rank of a pending unit, docs/paper.md 1
  PolicyProgram maySuspend;  // nonzero if a trial may suspend the attempt, docs/paper.md 5
};

class CompiledPolicies {
 public:
  explicit CompiledPolicies(const ClusterConfig& config);
  ConfigVersion version() const { return configVersion; }
  /// Returns the policy of that name, or else the default policy, which is the paper's.
  const CompiledPolicy& find(const std::string& name) const;

 private:
  ConfigVersion configVersion;
  std::map<std::string, CompiledPolicy> policies;
};

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_COMPILED_POLICIES_HPP
