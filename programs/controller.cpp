// controller: the control plane and state on a machine with a disk. docs/design.md 3, 9.
#include "daemons/controller_daemon.hpp"
#include "net/log.hpp"
#include "net/options.hpp"
#include "net/signals.hpp"
#include <iostream>

using namespace aniseline;

int main(int count, char** values) {
  blockSignalsUntilHandled();
  ControllerSettings settings;
  std::string policiesLeftOut;
  OptionSet options("controller", "aniseline's control plane and state, on a machine with a disk");
  options.addAddress("peer", settings.peerAddress,
                     "the address where other processes of the system reach this one",
                     OptionSet::Presence::required);
  options.addAddress("advertise", settings.advertisedAddress,
                     "the address at which other processes reach --peer, if another");
  options.addAddress("http", settings.httpAddress, "the address of /healthz and /readyz");
  options.addText("zone", settings.zone, "the zone of this machine", OptionSet::Presence::required);
  options.addText(
      "data", settings.dataFolder,
      "the data folder; without one it keeps nothing, never votes and only leads the way");
  options.addAddresses("seeds", settings.seeds, "peer addresses of controllers, for first contact",
                       OptionSet::Presence::required);
  options.addFlag("found", settings.bootstrap,
                  "found a cluster when every seed is there and blank");
  options.addInteger("heartbeat-ms", settings.heartbeatMilliseconds, "a leader's heartbeat", 10,
                     10'000);
  options.addInteger("election-low-ms", settings.electionLowMilliseconds,
                     "the shortest wait for a leader", 50, 60'000);
  options.addInteger("election-high-ms", settings.electionHighMilliseconds,
                     "the longest wait for a leader", 100, 60'000);
  options.addInteger("voters", settings.voters,
                     "how many controllers vote: two for each that may be lost at once, and one", 1,
                     15);
  options.addInteger("replace-after-ms", settings.replaceAfterMilliseconds,
                     "a silent voter is replaced by a learner after this", 1000, 86'400'000);
  options.addInteger("max-passed-over-ms", settings.maxPassedOverMilliseconds,
                     "work that fits waits for other work at most this long, if nothing else of "
                     "its job runs; 0: without a bound",
                     0, 600'000);
  options.addInteger("stop-within-ms", settings.stopTimeoutMilliseconds,
                     "a stop waits this long for another leader and other full copies", 0, 600'000);
  options.addInteger("snapshot-versions", settings.snapshotVersions,
                     "versions on disk between whole views", 10, 1'000'000);
  options.addText("without", policiesLeftOut,
                  "for experiments: policies of the planner to leave out, parted by commas");
  options.addFlag("explain-late-jobs", settings.explainLateJobs,
                  "log of each job that missed its latency target where its time went");
  options.addFlag("quiet", settings.quiet, "no logs");
  options.read(count, values);
  if (const auto unknown = settings.policies.turnOffAll(policiesLeftOut)) {
    std::cerr << "controller: --without: there is no policy " << *unknown << "\n";
    return 2;
  }
  if (settings.advertisedAddress.value.empty())
    settings.advertisedAddress = settings.peerAddress;
  EventLoop::sourceIp = sourceIpOf(settings.peerAddress);
  if (settings.electionHighMilliseconds <= settings.electionLowMilliseconds ||
      settings.electionLowMilliseconds <= 2 * settings.heartbeatMilliseconds) {
    std::fprintf(stderr,
                 "controller: --election-low-ms: must be over twice the heartbeat and below "
                 "--election-high-ms\n");
    return 2;
  }
  if (settings.voters % 2 == 0) {
    std::fprintf(stderr, "controller: --voters: must be odd\n");
    return 2;
  }
  startLog("controller", settings.peerAddress.value, settings.quiet);
  return runController(std::move(settings));
}
