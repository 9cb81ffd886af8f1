// gateway: the data plane on a machine that callers and workers reach. Stateless. docs/design.md 9.
#include "daemons/gateway_daemon.hpp"
#include "net/log.hpp"
#include "net/options.hpp"

using namespace aniseline;

int main(int count, char** values) {
  GatewaySettings settings;
  OptionSet options("gateway",
                    "aniseline's data plane, on every machine that callers and workers reach");
  options.address("http", settings.http, "the address for callers, workers and operators", true);
  options.address("advertise", settings.advertise,
                  "the address at which others reach --http, if another");
  options.text("zone", settings.zone, "the zone of this machine", true);
  options.addresses("seeds", settings.seeds, "peer addresses of controllers, for first contact",
                    true);
  options.whole("threads", settings.threads, "threads that serve", 1, 64);
  options.whole("requests", settings.requests, "requests under way at once", 1, 100'000);
  options.flag("quiet", settings.quiet, "no logs");
  options.read(count, values);
  if (settings.advertise.value.empty())
    settings.advertise = settings.http;
  Loop::source = ipOf(settings.http);
  startLog("gateway", settings.http.value, settings.quiet);
  return runGateway(std::move(settings));
}
