// The gateway as a daemon. docs/design.md 9.
#pragma once
#include "net/relay.hpp"

namespace aniseline {

struct GatewaySettings {
  Address http, advertise;
  std::string zone;
  std::vector<Address> seeds;
  std::int64_t threads = 2, requests = 2000;
  std::int64_t refresh = 200;  // milliseconds between looks at the route
  bool quiet = false;
  OuterInterface outer;
  SeedSource seedsNow;
  Address readinessAddress;  // where an adapter asks whether this gateway is ready
  std::function<ApiResponse(const HttpRequest&, bool ready)> readiness;
};

// Serves until it is told to stop; the process' exit status.
int runGateway(GatewaySettings settings);

}  // namespace aniseline
