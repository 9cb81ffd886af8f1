// reservoir: the control plane and state on a machine with a disk. docs/design.md 3, 9.
#include "daemons/reservoir_daemon.hpp"
#include "edge/log.hpp"
#include "edge/options.hpp"

using namespace aniseline;

int main(int count, char** values) {
    ReservoirSettings settings;
    OptionSet options("reservoir", "aniseline's control plane and state, on a machine with a disk");
    options.address("peer", settings.peer, "the address where other processes of the system reach this one", true);
    options.address("advertise", settings.advertise, "the address at which other processes reach --peer, if another");
    options.address("http", settings.http, "the address of /healthz and /readyz");
    options.text("area", settings.area, "the area of this machine", true);
    options.text("data", settings.data, "the data folder; without one it keeps nothing, never votes and only leads the way");
    options.addresses("seeds", settings.seeds, "peer addresses of reservoirs, for first contact", true);
    options.flag("found", settings.found, "found a cluster when every seed is there and blank");
    options.whole("heartbeat-ms", settings.heartbeat, "a leader's heartbeat", 10, 10'000);
    options.whole("election-low-ms", settings.electionLow, "the shortest wait for a leader", 50, 60'000);
    options.whole("election-high-ms", settings.electionHigh, "the longest wait for a leader", 100, 60'000);
    options.whole("voters", settings.voters, "how many reservoirs vote: two for each that may be lost at once, and one", 1, 15);
    options.whole("replace-after-ms", settings.replaceAfter, "a silent voter is replaced by a learner after this", 1000, 86'400'000);
    options.whole("checkpoint-versions", settings.checkpointVersions, "versions on disk between whole views", 10, 1'000'000);
    options.flag("quiet", settings.quiet, "no logs");
    options.read(count, values);
    if (settings.advertise.value.empty()) settings.advertise = settings.peer;
    Loop::source = ipOf(settings.peer);
    if (settings.electionHigh <= settings.electionLow || settings.electionLow <= 2 * settings.heartbeat) {
        std::fprintf(stderr, "reservoir: --election-low-ms: must be over twice the heartbeat and below --election-high-ms\n");
        return 2;
    }
    if (settings.voters % 2 == 0) {
        std::fprintf(stderr, "reservoir: --voters: must be odd\n");
        return 2;
    }
    startLog("reservoir", settings.peer.value, settings.quiet);
    return runReservoir(std::move(settings));
}
