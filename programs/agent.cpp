// agent: runs beside one worker, registers it with the controllers and calls it with their orders.
// docs/design.md 5.8, docs/api.md 5.
#include "net/log.hpp"
#include "daemons/agent_daemon.hpp"
#include "net/json_worker_protocol.hpp"
#include "net/options.hpp"
#include "net/signals.hpp"

using namespace aniseline;

int main(int argc, char** argv) {
  blockSignalsUntilHandled();
  AgentSettings settings;
  std::string from;
  std::int64_t maxWorkerLeaseMilliseconds = settings.options.maxWorkerLease.milliseconds;
  std::int64_t stopTimeout = settings.stopTimeout.milliseconds;
  OptionSet options("agent", "the agent of aniseline that runs beside one worker and calls it");
  options.addAddress("listen", settings.listenAddress, "address where the worker registers",
                     OptionSet::Presence::required);
  options.addAddress("worker", settings.workerAddress, "address of the worker",
                     OptionSet::Presence::required);
  options.addText("zone", settings.zone, "zone of this machine", OptionSet::Presence::required);
  options.addAddresses("seeds", settings.seeds,
                       "peer addresses of controllers, used for first contact",
                       OptionSet::Presence::required);
  options.addText("from", from, "source IP address of connections, for machines with several");
  options.addInteger("longest-hold-ms", maxWorkerLeaseMilliseconds,
                     "longest lease in ms that the worker grants", 500, 600'000);
  options.addInteger("stop-within-ms", stopTimeout, "time limit of a stop in ms", 500, 600'000);
  options.addFlag("quiet", settings.quiet, "disable logging");
  options.read(argc, argv);
  settings.options.maxWorkerLease = Duration{maxWorkerLeaseMilliseconds};
  settings.stopTimeout = Duration{stopTimeout};
  settings.protocol = jsonWorkerProtocol();
  EventLoop::sourceIp = from.empty() ? sourceIpOf(settings.listenAddress) : from;
  startLog("agent", settings.listenAddress.value, settings.quiet);
  return runAgent(std::move(settings));
}
