// Decides on configurations and patches submitted by operators: they are accepted, rejected, or
// acknowledged again if the same update is repeated. docs/design.md 6.1.
#ifndef ANISELINE_CONTROLLER_CONFIG_SERVICE_HPP
#define ANISELINE_CONTROLLER_CONFIG_SERVICE_HPP
#include "controller/request_decision.hpp"
#include "state/cluster_state.hpp"

namespace aniseline {

// Decides on a complete configuration.
RequestDecision decideConfigUpdate(const ApiRequest& request, const ClusterState& state);
// Decides on a patch. `parse` reads the text of a complete configuration in the format that the
// operators of this cluster use.
RequestDecision decideConfigPatch(const ApiRequest& request, const ClusterState& state,
                                  const ConfigParser& parse);

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_CONFIG_SERVICE_HPP
