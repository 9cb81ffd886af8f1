// Decides about configurations and patches that operators apply: accepted,
// rejected, or acknowledged again when the same order comes twice.
// docs/design.md 6.1.
#ifndef ANISELINE_CONTROLLER_CONFIG_SERVICE_HPP
#define ANISELINE_CONTROLLER_CONFIG_SERVICE_HPP
#include "controller/request_decision.hpp"
#include "state/cluster_state.hpp"

namespace aniseline {

RequestDecision decideConfigOrder(const ApiRequest& request, const ClusterState& state);
/// `parse` reads the text of a whole configuration, in the form in which the
/// operators of this cluster write it.
RequestDecision decideConfigPatch(const ApiRequest& request, const ClusterState& state,
                                  const ConfigParser& parse);

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_CONFIG_SERVICE_HPP
