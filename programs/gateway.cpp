// gateway: the stateless data plane, which forwards requests of clients and workers to the leader.
// docs/design.md 9.
#include "daemons/gateway_daemon.hpp"
#include "net/log.hpp"
#include "net/options.hpp"
#include "net/signals.hpp"

using namespace aniseline;

int main(int argc, char** argv) {
  blockSignalsUntilHandled();
  GatewaySettings settings;
  OptionSet options(
      "gateway",
      "the data plane of aniseline, on each machine that clients and workers connect to");
  options.addAddress("http", settings.httpAddress, "address for clients, workers and operators",
                     OptionSet::Presence::required);
  options.addAddress("advertise", settings.advertisedAddress,
                     "address at which others reach --http, if it differs");
  options.addText("zone", settings.zone, "zone of this machine", OptionSet::Presence::required);
  options.addAddresses("seeds", settings.seeds,
                       "peer addresses of controllers, used for first contact",
                       OptionSet::Presence::required);
  options.addInteger("threads", settings.threads, "number of serving threads", 1, 64);
  options.addInteger("requests", settings.maxRequestsInFlight,
                     "maximum number of requests in flight", 1, 100'000);
  options.addInteger("unready-notice-ms", settings.unreadyNoticeMilliseconds,
                     "shortest time in ms that a stop goes on accepting connections", 0, 60'000);
  options.addInteger("stop-within-ms", settings.stopTimeoutMilliseconds,
                     "time limit of a stop in ms", 1000, 600'000);
  options.addFlag("quiet", settings.quiet, "disable logging");
  options.read(argc, argv);
  if (settings.advertisedAddress.value.empty())
    settings.advertisedAddress = settings.httpAddress;
  EventLoop::sourceIp = sourceIpOf(settings.httpAddress);
  startLog("gateway", settings.httpAddress.value, settings.quiet);
  runGateway(std::move(settings));
}
