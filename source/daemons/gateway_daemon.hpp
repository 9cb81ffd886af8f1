// The gateway as a daemon. docs/design.md 9.
#ifndef ANISELINE_DAEMONS_GATEWAY_DAEMON_HPP
#define ANISELINE_DAEMONS_GATEWAY_DAEMON_HPP
#include "net/leader_forwarder.hpp"

namespace aniseline {

struct GatewaySettings {
  Address httpAddress, advertisedAddress;
  std::string zone;
  std::vector<Address> seeds;
  std::int64_t threads = 2, maxRequestsInFlight = 2000;
  std::int64_t routeRefreshMilliseconds = 200;  // milliseconds between looks at the route
  bool quiet = false;
  ExternalInterface externalInterface;
  SeedSource seedSource;
  Address readinessAddress;  // where an adapter asks whether this gateway is ready
  std::function<ApiResponse(const HttpRequest&, bool ready)> readiness;
};

// Serves until it is told to stop; the process' exit status.
int runGateway(GatewaySettings settings);

}  // namespace aniseline

#endif  // ANISELINE_DAEMONS_GATEWAY_DAEMON_HPP
