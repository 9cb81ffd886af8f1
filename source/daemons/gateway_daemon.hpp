// The gateway as a daemon: stateless, it forwards what callers, workers and operators ask to the
// leader. docs/design.md 9.
#ifndef ANISELINE_DAEMONS_GATEWAY_DAEMON_HPP
#define ANISELINE_DAEMONS_GATEWAY_DAEMON_HPP
#include "gateway/leader_directory.hpp"
#include "net/leader_forwarder.hpp"

namespace aniseline {

struct GatewaySettings {
  Address httpAddress;        // the product's own interface; empty: none
  Address advertisedAddress;  // where others reach it
  std::string zone;
  std::vector<Address> seeds;  // for first contact
  std::int64_t threads = 2;
  std::int64_t maxRequestsInFlight = 2000;  // further ones are rejected as overloaded
  std::int64_t routeRefreshMilliseconds = 200;
  bool quiet = false;                   // no logs
  ExternalInterface externalInterface;  // an adapter's, beside the product's own
  SeedSource seedSource;                // where the seeds can change while the process runs
  // An adapter's question whether this gateway is ready, and how it is answered; none if empty.
  Address readinessAddress;
  std::function<ApiResponse(const HttpRequest&, bool ready)> readiness;
};

// Serves until it is told to stop; the process' exit status.
int runGateway(GatewaySettings settings);

}  // namespace aniseline

#endif  // ANISELINE_DAEMONS_GATEWAY_DAEMON_HPP
