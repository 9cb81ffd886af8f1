// gateway: the data plane on a machine that callers and workers reach. Stateless. docs/design.md 9.
#include "daemons/gateway_daemon.hpp"
#include "net/log.hpp"
#include "net/options.hpp"
#include "net/signals.hpp"

using namespace aniseline;

int main(int count, char** values) {
  blockSignalsUntilHandled();
  GatewaySettings settings;
  OptionSet options("gateway",
                    "aniseline's data plane, on every machine that callers and workers reach");
  options.addAddress("http", settings.httpAddress, "the address for callers, workers and operators",
                     OptionSet::Presence::required);
  options.addAddress("advertise", settings.advertisedAddress,
                     "the address at which others reach --http, if another");
  options.addText("zone", settings.zone, "the zone of this machine", OptionSet::Presence::required);
  options.addAddresses("seeds", settings.seeds, "peer addresses of controllers, for first contact",
                       OptionSet::Presence::required);
  options.addInteger("threads", settings.threads, "threads that serve", 1, 64);
  options.addInteger("requests", settings.maxRequestsInFlight, "requests under way at once", 1,
                     100'000);
  options.addInteger("unready-notice-ms", settings.unreadyNoticeMilliseconds,
                     "a stop goes on accepting connections at least this long", 0, 60'000);
  options.addInteger("stop-within-ms", settings.stopTimeoutMilliseconds,
                     "a stop takes at most this long", 1000, 600'000);
  options.addFlag("quiet", settings.quiet, "no logs");
  options.read(count, values);
  if (settings.advertisedAddress.value.empty())
    settings.advertisedAddress = settings.httpAddress;
  EventLoop::sourceIp = sourceIpOf(settings.httpAddress);
  startLog("gateway", settings.httpAddress.value, settings.quiet);
  runGateway(std::move(settings));
}
