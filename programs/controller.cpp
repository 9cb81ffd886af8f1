// controller: the control plane, which replicates the state of the cluster by Raft and plans.
// docs/design.md 3, 9.
#include "daemons/controller_daemon.hpp"
#include "net/log.hpp"
#include "net/options.hpp"
#include "net/signals.hpp"
#include <iostream>

using namespace aniseline;

int main(int argc, char** argv) {
  blockSignalsUntilHandled();
  ControllerSettings settings;
  std::string disabledPolicies;
  OptionSet options("controller", "the control plane and replicated state of aniseline");
  options.addAddress("peer", settings.peerAddress,
                     "address where other processes of the cluster reach this one",
                     OptionSet::Presence::required);
  options.addAddress("advertise", settings.advertisedAddress,
                     "address at which other processes reach --peer, if it differs");
  options.addAddress("http", settings.httpAddress, "address that serves /healthz and /readyz");
  options.addText("zone", settings.zone, "zone of this machine", OptionSet::Presence::required);
  options.addText(
      "data", settings.dataFolder,
      "data folder; without it, this process stores nothing, never votes and only serves first "
      "contacts");
  options.addAddresses("seeds", settings.seeds,
                       "peer addresses of controllers, used for first contact",
                       OptionSet::Presence::required);
  options.addFlag("found", settings.bootstrap,
                  "bootstrap a cluster once every seed is reachable and empty");
  options.addInteger("heartbeat-ms", settings.heartbeatMilliseconds,
                     "heartbeat interval of a leader in ms", 10, 10'000);
  options.addInteger("election-low-ms", settings.electionLowMilliseconds,
                     "shortest election timeout in ms", 50, 60'000);
  options.addInteger("election-high-ms", settings.electionHighMilliseconds,
                     "longest election timeout in ms", 100, 60'000);
  options.addInteger("voters", settings.voters,
                     "number of voting controllers: 2n + 1 to tolerate the loss of n at once", 1,
                     15);
  options.addInteger("replace-after-ms", settings.replaceAfterMilliseconds,
                     "time in ms after which a learner replaces a silent voter", 1000, 86'400'000);
  options.addInteger("max-passed-over-ms", settings.maxPassedOverMilliseconds,
                     "longest time in ms that work that fits may be passed over for other work, "
                     "if nothing else of its job runs; 0: no limit",
                     0, 600'000);
  options.addInteger("stop-within-ms", settings.stopTimeoutMilliseconds,
                     "time in ms that a stop waits for another leader and other complete replicas",
                     0, 600'000);
  options.addInteger("snapshot-versions", settings.snapshotVersions,
                     "number of versions on disk between snapshots", 10, 1'000'000);
  options.addText("without", disabledPolicies,
                  "for experiments: planner policies to turn off, separated by commas");
  options.addFlag("explain-late-jobs", settings.explainLateJobs,
                  "log how each job that missed its latency target spent its time");
  options.addFlag("quiet", settings.quiet, "disable logging");
  options.read(argc, argv);
  if (const auto unknownPolicy = settings.policies.turnOffAll(disabledPolicies)) {
    std::cerr << "controller: --without: there is no policy " << *unknownPolicy << "\n";
    return 2;
  }
  if (settings.advertisedAddress.value.empty())
    settings.advertisedAddress = settings.peerAddress;
  EventLoop::sourceIp = sourceIpOf(settings.peerAddress);
  if (settings.electionHighMilliseconds <= settings.electionLowMilliseconds ||
      settings.electionLowMilliseconds <= 2 * settings.heartbeatMilliseconds) {
    std::fprintf(
        stderr,
        "controller: --election-low-ms: must be more than twice --heartbeat-ms and less than "
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
