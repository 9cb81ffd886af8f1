// Applies the events about the configuration and controllers. docs/design.md 6.
#include "state/cluster_state.hpp"
#include "state/event_appliers.hpp"
#include "state/tenant_changes.hpp"

namespace aniseline {

void applyEvent(ClusterTables&, const LeaderStarted&) {}

void applyEvent(ClusterTables& tables, const ConfigCommitted& event) {
  const auto previous = std::exchange(tables.config, event.config);
  tables.configHistory.record({event.config.version, previous.version, event.digest});
  // docs/design.md 6.4: a queue that was removed from the configuration while it has open jobs
  // completes them and admits no new ones.
  for (const auto& [name, options] : previous.queues) {
    if (tables.config.queues.count(name) || tables.openJobsByQueue[name] == 0)
      continue;
    auto closed = options;
    closed.closedToSubmissions = true;
    closed.policy = "default";
    tables.config.queues[name] = closed;
  }
  applyTenantChanges(tables, previous.tenants);
}

void applyEvent(ClusterTables& tables, const ControllerReplacementRequested& event) {
  if (!event.completed) {
    tables.controllersToReplace.insert(event.controller);
    return;
  }
  tables.controllersToReplace.erase(event.controller);
  tables.replacedControllers.push_back(event.controller);
  if (tables.replacedControllers.size() > ClusterState::maxReplacedControllers)
    tables.replacedControllers.pop_front();
}

}  // namespace aniseline
