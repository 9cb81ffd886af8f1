// agent: the agent beside one worker that is called rather than calls. docs/design.md 5.8,
// docs/api.md 5.
#include "net/log.hpp"
#include "net/worker_protocol.hpp"
#include "net/options.hpp"

using namespace aniseline;

int main(int count, char** values) {
  AgentSettings settings;
  std::string from;
  std::int64_t longestHold = settings.options.longestHold.milliseconds;
  OptionSet options("agent", "aniseline's agent beside a worker that is called rather than calls");
  options.address("listen", settings.listen, "where the worker makes itself known", true);
  options.address("worker", settings.worker, "where the worker is called", true);
  options.text("zone", settings.zone, "the zone of this machine", true);
  options.addresses("seeds", settings.seeds, "peer addresses of controllers, for first contact",
                    true);
  options.text("from", from, "the IP number to connect from, on a machine with several");
  options.whole("longest-hold-ms", longestHold, "the longest hold that the worker grants", 500,
                600'000);
  options.flag("quiet", settings.quiet, "no logs");
  options.read(count, values);
  settings.options.longestHold = Duration{longestHold};
  settings.words = workerProtocol();
  Loop::source = from.empty() ? ipOf(settings.listen) : from;
  startLog("agent", settings.listen.value, settings.quiet);
  return runAgent(std::move(settings));
}
