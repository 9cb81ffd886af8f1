// Declares the gateway daemon, a stateless process that forwards requests of clients, workers and
// operators to the leader. docs/design.md 9.
#ifndef ANISELINE_DAEMONS_GATEWAY_DAEMON_HPP
#define ANISELINE_DAEMONS_GATEWAY_DAEMON_HPP
#include "gateway/leader_directory.hpp"
#include "net/leader_forwarder.hpp"

namespace aniseline {

struct GatewaySettings {
  Address httpAddress;        // the standard HTTP interface; none if empty
  Address advertisedAddress;  // the address by which other processes reach this gateway
  std::string zone;
  std::vector<Address> seeds;  // controllers or gateways to contact first
  std::int64_t threads = 2;
  std::int64_t maxRequestsInFlight = 2000;  // further requests are rejected as overloaded
  std::int64_t routeRefreshMilliseconds = 200;
  // The time after which clients and load balancers have noticed that the gateway is not ready.
  std::int64_t unreadyNoticeMilliseconds = 1000;
  // The longest time that a shutdown may take. Keep it below the time until SIGKILL.
  static constexpr std::int64_t defaultStopTimeoutMilliseconds = 5000;
  std::int64_t stopTimeoutMilliseconds = defaultStopTimeoutMilliseconds;
  bool quiet = false;                   // disables logging
  ExternalInterface externalInterface;  // an adapter's interface, served beside the standard one
  SeedSource seedSource;  // re-read while the process runs; empty if the seeds never change
  // An adapter's readiness probe: the address to listen on, and the function that encodes the
  // response. Not served if the function is empty.
  Address readinessAddress;
  std::function<ApiResponse(const HttpRequest&, bool ready)> readiness;
};

// Serves until the process is told to stop, and then ends it. Ends it with status 1 if the gateway
// can't listen.
[[noreturn]] void runGateway(GatewaySettings settings);

}  // namespace aniseline

#endif  // ANISELINE_DAEMONS_GATEWAY_DAEMON_HPP
