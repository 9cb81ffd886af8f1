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
  // Whoever sends connections here has surely learned after this time that the gateway is not
  // ready.
  std::int64_t unreadyNoticeMilliseconds = 1000;
  // A stop takes at most this long; keep it below the time until SIGKILL.
  static constexpr std::int64_t defaultStopTimeoutMilliseconds = 5000;
  std::int64_t stopTimeoutMilliseconds = defaultStopTimeoutMilliseconds;
  bool quiet = false;                   // no logs
  ExternalInterface externalInterface;  // an adapter's, beside the product's own
  SeedSource seedSource;                // where the seeds can change while the process runs
  // An adapter's question whether this gateway is ready, and how it is answered; none if empty.
  Address readinessAddress;
  std::function<ApiResponse(const HttpRequest&, bool ready)> readiness;
};

// Serves until it is told to stop; the process' exit status.
// Serves until the process is asked to stop, and ends it: with status 1 where it can't listen.
[[noreturn]] void runGateway(GatewaySettings settings);

}  // namespace aniseline

#endif  // ANISELINE_DAEMONS_GATEWAY_DAEMON_HPP
