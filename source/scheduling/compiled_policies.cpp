// Compiles the policy expressions of a config.
#include "scheduling/compiled_policies.hpp"

namespace aniseline::scheduling {

namespace {

constexpr const char* defaultPolicy = "default";
constexpr const char* alwaysTrue = "1";

}  // namespace

CompiledPolicies::CompiledPolicies(const ClusterConfig& config) : configVersion(config.version) {
  for (const auto& [name, options] : config.policies)
    policies.emplace(name, CompiledPolicy{PolicyProgram(options.rankExpression),
                                          PolicyProgram(options.suspendExpression)});
  if (!policies.count(defaultPolicy))
    policies.emplace(defaultPolicy, CompiledPolicy{PolicyProgram(PolicyOptions{}.rankExpression),
                                                   PolicyProgram(alwaysTrue)});
}

const CompiledPolicy& CompiledPolicies::find(const std::string& name) const {
  auto found = policies.find(name);
  return found != policies.end() ? found->second : policies.at(defaultPolicy);
}

}  // namespace aniseline::scheduling
