// controller: the control plane and state on a machine with a disk. docs/design.md 3, 9.
#include "daemons/controller_daemon.hpp"
#include "net/log.hpp"
#include "net/options.hpp"

using namespace aniseline;

int main(int count, char** values) {
  ControllerSettings settings;
  OptionSet options("controller", "aniseline's control plane and state, on a machine with a disk");
  options.address("peer", settings.peer,
                  "the address where other processes of the system reach this one", true);
  options.address("advertise", settings.advertise,
                  "the address at which other processes reach --peer, if another");
  options.address("http", settings.http, "the address of /healthz and /readyz");
  options.text("zone", settings.zone, "the zone of this machine", true);
  options.text("data", settings.data,
               "the data folder; without one it keeps nothing, never votes and only leads the way");
  options.addresses("seeds", settings.seeds, "peer addresses of controllers, for first contact",
                    true);
  options.flag("found", settings.found, "found a cluster when every seed is there and blank");
  options.whole("heartbeat-ms", settings.heartbeat, "a leader's heartbeat", 10, 10'000);
  options.whole("election-low-ms", settings.electionLow, "the shortest wait for a leader", 50,
                60'000);
  options.whole("election-high-ms", settings.electionHigh, "the longest wait for a leader", 100,
                60'000);
  options.whole("voters", settings.voters,
                "how many controllers vote: two for each that may be lost at once, and one", 1, 15);
  options.whole("replace-after-ms", settings.replaceAfter,
                "a silent voter is replaced by a learner after this", 1000, 86'400'000);
  options.whole("stop-within-ms", settings.stopWithin,
                "a stop waits this long for another leader and other full copies", 0, 600'000);
  options.whole("snapshot-versions", settings.snapshotVersions,
                "versions on disk between whole views", 10, 1'000'000);
  options.flag("quiet", settings.quiet, "no logs");
  options.read(count, values);
  if (settings.advertise.value.empty())
    settings.advertise = settings.peer;
  Loop::source = ipOf(settings.peer);
  if (settings.electionHigh <= settings.electionLow ||
      settings.electionLow <= 2 * settings.heartbeat) {
    std::fprintf(stderr,
                 "controller: --election-low-ms: must be over twice the heartbeat and below "
                 "--election-high-ms\n");
    return 2;
  }
  if (settings.voters % 2 == 0) {
    std::fprintf(stderr, "controller: --voters: must be odd\n");
    return 2;
  }
  startLog("controller", settings.peer.value, settings.quiet);
  return runController(std::move(settings));
}
