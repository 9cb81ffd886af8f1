// zone_drill: takes a zone out of a running cluster under load, restores it, and checks latencies
// and safety invariants. docs/operations.md 9.
#include "net/gateway_client.hpp"
#include "net/history_file.hpp"
#include "net/log.hpp"
#include "net/options.hpp"
#include "net/signals.hpp"
#include "checker/invariants.hpp"
#include <iostream>

using namespace aniseline;

namespace {

struct Settings {
  Address control;
  std::string zone, by = "kill", queue = "proofs", config, report;
  std::int64_t outSeconds = 10, probeIntervalMilliseconds = 200, urgentLimitMilliseconds = 250,
               failoverMilliseconds = 6000, recoveryLimitMilliseconds = 12'000;
  bool dryRun = false;
};

// The times of one urgent job that the drill submits, in ms; -1 if the event was not observed.
struct Probe {
  std::int64_t startedAt = 0, acceptedAfter = -1, finishedAfter = -1;
};

class Drill {
 public:
  explicit Drill(Settings given) : settings(std::move(given)), client(loop), stop(loop) {}

  int run() {
    auto cluster = fetchClusterStatus();
    if (!cluster)
      return reportRefusal("the cluster at " + settings.control.value + " can't be asked");
    const auto& zones = cluster->get("zones").get<picojson::object>();
    auto chosen = zones.find(settings.zone);
    if (chosen == zones.end())
      return reportRefusal("the cluster has no zone " + settings.zone);
    if (!cluster->get("whole").get<bool>())
      return reportRefusal(
          "the cluster is degraded already, so a drill could take out the rest of it");
    folder = cluster->get("folder").to_str();
    std::vector<Address> otherGateways, zoneGateways;
    for (const auto& [name, zone] : zones)
      for (const auto& gateway : zone.get("gateways").get<picojson::array>())
        (name == settings.zone ? zoneGateways : otherGateways).push_back(Address{gateway.to_str()});
    if (otherGateways.empty())
      return reportRefusal("there is no gateway outside of " + settings.zone);
    if (settings.dryRun)
      return printPlan(chosen->second, otherGateways);
    history = HistoryFile(folder + "/zone_drill.witness");
    jobs.open(folder + "/zone_drill.submissions", std::ios::app);

    spawn([this, otherGateways] { runProbes(otherGateways); });
    waitFor(Duration{2000});
    if (!changeZone("out"))
      return reportRefusal("the zone could not be taken out");
    const std::int64_t outageStart = now();
    waitFor(Duration{settings.outSeconds * 1000});
    const std::int64_t outageEnd = now();
    const bool restored = changeZone("back");
    bool recovered = false;
    while (restored && !recovered && now() - outageEnd < settings.recoveryLimitMilliseconds * 3) {
      auto clusterStatus = fetchClusterStatus();
      recovered = clusterStatus && clusterStatus->get("whole").get<bool>() && serves(zoneGateways);
      if (!recovered)
        sleepFor(Duration{100});
    }
    const std::int64_t recoveryTime = now() - outageEnd;
    waitFor(Duration{1500});
    probing = false;
    while (probesInFlight)
      sleepFor(Duration{20});
    history.close();

    report["before"] = json(summarizeLatencies(0, outageStart));
    report["out"] =
        json(summarizeLatencies(outageStart + settings.failoverMilliseconds, outageEnd));
    report["back_after_ms"] = json(recovered ? recoveryTime : -1);
    recordCheck(
        "the zone is back within " + std::to_string(settings.recoveryLimitMilliseconds) + " ms",
        recovered && recoveryTime <= settings.recoveryLimitMilliseconds);
    std::size_t lost = 0;
    for (const auto& probe : probes)
      lost += probe.finishedAfter < 0;
    recordCheck("every probe was observed to finish", lost == 0 && !probes.empty());
    checkUrgentLatency(outageStart + settings.failoverMilliseconds, outageEnd);
    checkHistories();
    return writeReport();
  }

 private:
  static std::int64_t now() { return monotonicNow().milliseconds; }
  void waitFor(Duration duration) {
    const MonotonicTime deadline = monotonicNow() + duration;
    while (monotonicNow() < deadline && !stop.requested())
      sleepFor(Duration{20});
  }
  int reportRefusal(const std::string& why) {
    std::cerr << "zone_drill: " << why << "\n";
    return 3;
  }
  std::optional<picojson::value> fetchClusterStatus() {
    auto answer = client.send(settings.control, {"GET", "/fleet", ""}, Duration{8000});
    picojson::value root;
    if (!answer || answer.value().status != 200 ||
        !picojson::parse(root, answer.value().body).empty())
      return std::nullopt;
    return root;
  }
  bool changeZone(const std::string& direction) {
    auto answer =
        client.send(settings.control,
                    {"POST", "/fleet/" + settings.zone + "/" + direction + "/" + settings.by, ""},
                    Duration{8000});
    return answer && answer.value().status == 200;
  }
  int printPlan(const picojson::value& zone, const std::vector<Address>& otherGateways) {
    std::cout << "would take out " << settings.zone << " by " << settings.by << " for "
              << settings.outSeconds << " s:";
    for (const auto& process : zone.get("processes").get<picojson::array>())
      std::cout << " " << process.get("name").to_str();
    std::cout << "\nand probe queue " << settings.queue << " every "
              << settings.probeIntervalMilliseconds << " ms through";
    for (const auto& address : otherGateways)
      std::cout << " " << address.value;
    std::cout << "\nnothing was done" << std::endl;
    return 0;
  }
  bool serves(const std::vector<Address>& gateways) {
    GatewayClient gatewayClient(loop, gateways);
    return gatewayClient.send({"GET", "/v1/counters", ""}, Duration{1500}).has_value();
  }

  void recordEvent(HistoryEvent::Kind kind, const JobId& job, std::string detail = {}) {
    HistoryEvent event;
    event.kind = kind;
    event.job = job.value;
    event.detail = std::move(detail);
    history.write(std::move(event));
  }
  void runProbes(const std::vector<Address>& gateways) {
    for (std::size_t count = 0; probing; ++count) {
      auto rotatedGateways = gateways;
      std::rotate(rotatedGateways.begin(),
                  rotatedGateways.begin() + std::ptrdiff_t(count % rotatedGateways.size()),
                  rotatedGateways.end());
      const std::size_t index = probes.size();
      probes.push_back(Probe{now(), -1, -1});
      ++probesInFlight;
      spawn([this, index, rotatedGateways] {
        runProbe(index, rotatedGateways);
        --probesInFlight;
      });
      sleepFor(Duration{settings.probeIntervalMilliseconds});
    }
  }
  void runProbe(std::size_t index, const std::vector<Address>& gateways) {
    JobSubmission job;
    job.id = JobId{"drill-" + std::to_string(wallNow().milliseconds) + "-" + std::to_string(index)};
    job.queue = QueueName{settings.queue};
    job.steps = {{"probe", {}, false, {TaskRequest{1000, 128, Duration{500}, "run=60"}}}};
    jobs << renderJobSubmission(job) << "\n" << std::flush;
    GatewayClient gatewayClient(loop, gateways);
    gatewayClient.onAttempt = [&](const HttpRequest& request,
                                  const Result<HttpResponse, HttpError>& result) {
      if (request.method != "POST")
        return;
      recordEvent(HistoryEvent::Kind::submitted, job.id);
      const int status = result ? result.value().status : 503;
      recordEvent(status == 202   ? HistoryEvent::Kind::accepted
                  : status == 503 ? HistoryEvent::Kind::outcomeUnknown
                                  : HistoryEvent::Kind::rejected,
                  job.id, std::to_string(status));
    };
    if (!gatewayClient.submitJob(job, Duration{20'000}))
      return;
    probes[index].acceptedAfter = now() - probes[index].startedAt;
    for (const MonotonicTime deadline = monotonicNow() + Duration{30'000};
         monotonicNow() < deadline; sleepFor(Duration{20})) {
      auto shown = gatewayClient.showJob(job.id, Duration{5000});
      picojson::value root;
      if (!shown || !picojson::parse(root, shown.value().body).empty() ||
          root.get("state").to_str() != "finished")
        continue;
      recordEvent(HistoryEvent::Kind::stateObserved, job.id, "finished");
      probes[index].finishedAfter = now() - probes[index].startedAt;
      return;
    }
  }

  std::vector<std::int64_t> latenciesBetween(std::int64_t from, std::int64_t to) const {
    std::vector<std::int64_t> latencies;
    for (const auto& probe : probes)
      if (probe.startedAt >= from && probe.startedAt < to)
        latencies.push_back(probe.finishedAfter < 0 ? 30'000 : probe.finishedAfter);
    std::sort(latencies.begin(), latencies.end());
    return latencies;
  }
  picojson::object summarizeLatencies(std::int64_t from, std::int64_t to) const {
    const auto latencies = latenciesBetween(from, to);
    if (latencies.empty())
      return {{"probes", json(0)}};
    return {{"probes", json(latencies.size())},
            {"p50_ms", json(latencies[latencies.size() / 2])},
            {"p95_ms", json(latencies[latencies.size() * 95 / 100])},
            {"max_ms", json(latencies.back())}};
  }
  void checkUrgentLatency(std::int64_t from, std::int64_t to) {
    const auto latencies = latenciesBetween(from, to);
    recordCheck("after failover, 95 % of the urgent jobs took at most " +
                    std::to_string(settings.urgentLimitMilliseconds) + " ms",
                !latencies.empty() &&
                    latencies[latencies.size() * 95 / 100] <= settings.urgentLimitMilliseconds);
  }
  // Checks the histories recorded so far against the safety invariants. Their writers are still
  // running.
  void checkHistories() {
    auto read = readHistoryFolder(folder, true);
    if (!read)
      return recordCheck(read.error().message(), false);
    InvariantOptions options;
    std::ifstream stream(settings.config);
    if (auto config =
            ClusterConfig::parse(std::string((std::istreambuf_iterator<char>(stream)), {})))
      for (const auto& [name, queue] : config.value().queues)
        options.retriesByQueue[name.value] = queue.maxRetries;
    const auto findings =
        checkInvariants(std::move(read.value().events), read.value().submissions, options);
    picojson::array limits;
    for (const auto& limit : findings.unavoidableViolations)
      limits.push_back(
          json("rule " + std::to_string(number(limit.rule)) + ": " + limit.description));
    report["limits"] = json(limits);
    for (const auto& violation : findings.violations)
      recordCheck("rule " + std::to_string(number(violation.rule)) + ": " + violation.description,
                  false);
    recordCheck("no safety invariant was violated", findings.violations.empty());
  }
  void recordCheck(const std::string& what, bool holds) {
    checks.push_back(json(picojson::object{{"what", json(what)}, {"holds", json(holds)}}));
    allChecksHold = allChecksHold && holds;
  }
  int writeReport() {
    report["zone"] = json(settings.zone);
    report["by"] = json(settings.by);
    report["interrupted"] = json(stop.requested());
    report["checks"] = json(checks);
    report["held"] = json(allChecksHold);
    const std::string text = json(report).serialize(true);
    std::cout << text << std::flush;
    if (!settings.report.empty())
      std::ofstream(settings.report) << text;
    return stop.requested() ? 4 : allChecksHold ? 0 : 1;
  }

  Settings settings;
  EventLoop loop;
  HttpClient client;
  StopSignal stop;
  std::string folder;
  HistoryFile history;
  std::ofstream jobs;
  std::vector<Probe> probes;
  std::size_t probesInFlight = 0;
  bool probing = true, allChecksHold = true;
  picojson::array checks;
  picojson::object report;
};

}  // namespace

int main(int argc, char** argv) {
  Settings settings;
  OptionSet options(
      "zone_drill",
      "takes a zone out of a running cluster under load, restores it, and checks latencies and "
      "safety invariants");
  options.addAddress("control", settings.control,
                     "control address of local_cluster, as it prints it",
                     OptionSet::Presence::required);
  options.addText("zone", settings.zone, "zone to take out", OptionSet::Presence::required);
  options.addText("by", settings.by, "kind of outage: kill, freeze or cut");
  options.addText("queue", settings.queue, "urgent queue that the probes use");
  options.addText("config", settings.config,
                  "configuration in force, for the retry limits of the queues");
  options.addText("report", settings.report, "file for the report");
  options.addInteger("out-seconds", settings.outSeconds, "time in s that the zone stays out", 1,
                     3600);
  options.addInteger("every-ms", settings.probeIntervalMilliseconds,
                     "interval between probes in ms", 20, 60'000);
  options.addInteger("urgent-ms", settings.urgentLimitMilliseconds,
                     "latency limit in ms for urgent jobs after failover, polling included", 1,
                     60'000);
  options.addInteger("failover-ms", settings.failoverMilliseconds,
                     "time in ms allowed for failover before the latency limit applies", 0, 60'000);
  options.addInteger("back-ms", settings.recoveryLimitMilliseconds,
                     "limit in ms for the recovery of the restored zone", 100, 600'000);
  options.addFlag("dry-run", settings.dryRun, "only print what would be done");
  options.read(argc, argv);
  if (settings.by != "kill" && settings.by != "freeze" && settings.by != "cut") {
    std::cerr << "zone_drill: --by: must be kill, freeze or cut\n";
    return 2;
  }
  startLog("zone_drill", settings.zone, true);
  const int status = Drill(settings).run();
  std::cout.flush();
  std::_Exit(status);
}
