// agent: the agent beside one worker that is called rather than calls. docs/design.md 5.8,
// docs/api.md 5.
#include "net/log.hpp"
#include "daemons/agent_daemon.hpp"
#include "net/json_worker_protocol.hpp"
#include "net/options.hpp"
#include "net/signals.hpp"

using namespace aniseline;

int main(int count, char** values) {
  blockSignalsUntilHandled();
  AgentSettings settings;
  std::string from;
  std::int64_t longestHold = settings.options.maxWorkerLease.milliseconds;
  std::int64_t stopTimeout = settings.stopTimeout.milliseconds;
  OptionSet options("agent", "aniseline's agent beside a worker that is called rather than calls");
  options.addAddress("listen", settings.listenAddress, "where the worker makes itself known",
                     OptionSet::Presence::required);
  options.addAddress("worker", settings.workerAddress, "where the worker is called",
                     OptionSet::Presence::required);
  options.addText("zone", settings.zone, "the zone of this machine", OptionSet::Presence::required);
  options.addAddresses("seeds", settings.seeds, "peer addresses of controllers, for first contact",
                       OptionSet::Presence::required);
  options.addText("from", from, "the IP number to connect from, on a machine with several");
  options.addInteger("longest-hold-ms", longestHold, "the longest hold that the worker grants", 500,
                     600'000);
  options.addInteger("stop-within-ms", stopTimeout, "a stop takes at most this long", 500, 600'000);
  options.addFlag("quiet", settings.quiet, "no logs");
  options.read(count, values);
  settings.options.maxWorkerLease = Duration{longestHold};
  settings.stopTimeout = Duration{stopTimeout};
  settings.protocol = jsonWorkerProtocol();
  EventLoop::sourceIp = from.empty() ? sourceIpOf(settings.listenAddress) : from;
  startLog("agent", settings.listenAddress.value, settings.quiet);
  return runAgent(std::move(settings));
}
