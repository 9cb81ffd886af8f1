// Logs the routes to other clusters that this process has refused to follow. docs/design.md 3.8.
#ifndef ANISELINE_NET_FOREIGN_ROUTE_LOG_HPP
#define ANISELINE_NET_FOREIGN_ROUTE_LOG_HPP
#include "net/wire.hpp"

namespace aniseline {

// Used by one thread. Logs each other cluster once, and at most `maxLoggedClusters` of them.
class ForeignRouteLog {
 public:
  static constexpr std::size_t maxLoggedClusters = 16;
  // `own` is the cluster of this process; `reply` is the refused reply.
  void onRefused(const ClusterId& own, const RouteReply& reply);

 private:
  std::set<ClusterId> logged;
};

}  // namespace aniseline

#endif  // ANISELINE_NET_FOREIGN_ROUTE_LOG_HPP
