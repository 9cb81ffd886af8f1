// Writes the log event of a refused route.
#include "net/foreign_route_log.hpp"
#include "net/log.hpp"

namespace aniseline {

void ForeignRouteLog::onRefused(const ClusterId& own, const RouteReply& reply) {
  if (logged.size() >= maxLoggedClusters || !logged.insert(reply.view.cluster).second)
    return;
  log(LogLevel::error, log_events::foreignRouteRefused,
      {{"cluster", json(own.value)},
       {"foreign_cluster", json(reply.view.cluster.value)},
       {"sender", json(reply.id.value)},
       {"address", json(reply.peer.value)}});
}

}  // namespace aniseline
