// Runs the phases of a campaign in order and reports its result.
#include "simulator/campaign.hpp"
#include "simulator/campaign_operators.hpp"
#include "simulator/campaign_workload.hpp"
#include "simulator/config_watch.hpp"
#include "simulator/fault_injector.hpp"
#include "simulator/last_fault.hpp"

namespace aniseline {

namespace {

// Timeouts in ms of virtual time.
constexpr std::int64_t votersWithinMs = 20'000;
constexpr std::int64_t firstConfigWithinMs = 10'000;
constexpr std::int64_t servedWithinMs = 30'000;
constexpr std::int64_t jobsEndWithinMs = 240'000;
// No fault begins while the cluster is forming, nor so late that it would end after the run.
constexpr std::int64_t firstFaultMs = 3000;
constexpr std::int64_t lastFaultBeforeEndMs = 8000;
// Share of the faults that begin at the same time as the previous one.
constexpr double simultaneousFaultShare = 0.25;
constexpr std::uint64_t minConfigAnswers = 10;

SimulatedClusterOptions clusterOptions(const CampaignOptions& options) {
  const std::uint64_t seed = options.seed;
  SimulatedClusterOptions cluster;
  cluster.calledWorkers = options.calledWorkers;
  cluster.controllers = options.controllers;
  cluster.controller.voterCount = options.voters;
  // Agents of called workers need a margin of at most a twentieth of the lease plus 200 ms.
  if (options.calledWorkers && seed % 2)
    cluster.controller.leaseMargin = Duration{350};
  cluster.seed = seed;
  // The seeds cover every combination of the numbers of workers that ignore leases and of workers
  // that do not enforce their capacity.
  cluster.workersIgnoringLeases =
      std::array<std::size_t, 4>{0, seed / 4 % 4 == 3 ? 0u : 2u, 0, 11}[seed % 4];
  cluster.workersNotEnforcingCapacity = std::array<std::size_t, 3>{6, 0, 11}[seed / 4 % 3];
  cluster.controller.deadMemberTimeout = Duration{6000};
  cluster.controller.maxRecordsBetweenSnapshots = 60 + seed % 200;
  cluster.controller.raft.retainedEntries = 200;
  return cluster;
}

class Campaign {
 public:
  explicit Campaign(const CampaignOptions& options)
      : options(options),
        random(options.seed * 104729 + 5),
        cluster(clusterOptions(options)),
        injector(cluster, random),
        operators(cluster, options),
        workload(cluster, random, options.duration),
        configWatch(cluster, random) {
    if (options.verbose)
      cluster.trace = [this](const std::string& text) {
        std::fprintf(stderr, "%8lld %s\n", (long long)cluster.now, text.c_str());
      };
    injector.submitJobFlood = [this] {
      workload.submitFlood();
    };
    injector.startOperatorRace = [this] {
      operators.race();
    };
  }

  CampaignResult run() {
    formCluster();
    scheduleLoad();
    const std::int64_t end = cluster.now + options.duration;
    const std::vector<Fault> faults = scheduleFaults();
    cluster.runUntil(end);
    healAll();
    result.recoveryTime = measureRecovery("probe");
    for (const auto& worker : injector.removedWorkers()) {
      if (!cluster.isWorkerUp(worker))
        declareGone(worker);
    }
    endWithLastFault();
    cluster.runUntilTrue([&] { return cluster.allJobsEnded(); }, jobsEndWithinMs);
    recordEvent(HistoryEvent::Kind::quiescent);
    if (cluster.trace)
      traceOpenJobs();
    report(faults);
    return std::move(result);
  }

 private:
  void formCluster() {
    cluster.runUntilTrue([&] { return cluster.voterCount() == options.voters; }, votersWithinMs);
    operators.applyUntilAnswered(operators.configText(), 0);
    cluster.runUntilTrue([&] { return operators.appliedVersion() >= 1; }, firstConfigWithinMs);
  }

  void scheduleLoad() {
    workload.scheduleStandardJobs();
    if (options.calledWorkers)
      workload.scheduleCalledWorkerJobs();
    if (options.operators)
      operators.scheduleRaces();
    configWatch.start();
  }

  std::vector<Fault> drawFaults() {
    std::vector<Fault> faults;
    std::int64_t startsAt = 0;
    for (std::size_t count = 0; count < options.faults; ++count) {
      if (!count || !random.chance(simultaneousFaultShare))
        startsAt = random.between(firstFaultMs, options.duration - lastFaultBeforeEndMs);
      faults.push_back(injector.drawFault(startsAt));
    }
    return faults;
  }

  std::vector<Fault> scheduleFaults() {
    std::vector<Fault> faults = drawFaults();
    for (std::size_t index = 0; index < faults.size(); ++index) {
      const auto& kept = options.keptFaults;
      if (kept.empty() || std::count(kept.begin(), kept.end(), index))
        schedule(faults[index], std::to_string(index) + ": " + faults[index].name);
    }
    return faults;
  }

  void schedule(const Fault& fault, const std::string& label) {
    result.faults.push_back(label + " at " + std::to_string(cluster.now + fault.startsAt) +
                            " for " + std::to_string(fault.duration));
    cluster.scheduleAfter(fault.startsAt, [this, fault, label] { begin(fault, label); });
    cluster.scheduleAfter(fault.startsAt + fault.duration,
                          [this, fault, label] { end(fault, label); });
  }

  void begin(const Fault& fault, const std::string& label) {
    if (cluster.trace)
      cluster.trace("FAULT " + label);
    cluster.recordFault(label, false);
    if (fault.begin())
      ++result.effectsByFault[fault.name];
  }

  void end(const Fault& fault, const std::string& label) {
    if (healed)
      return;
    if (cluster.trace)
      cluster.trace("END OF FAULT " + label);
    if (fault.end)
      fault.end();
    cluster.recordFault(label, true);
  }

  void healAll() {
    healed = true;
    operators.stop();
    configWatch.stopObservingProcesses();
    injector.disarm();
    if (cluster.trace)
      cluster.traceControllers();
    cluster.healAll();
  }

  void recordEvent(HistoryEvent::Kind kind) {
    HistoryEvent event;
    event.kind = kind;
    cluster.recordEvent(event);
  }

  // Called once no fault is in effect any more. Returns the ms of virtual time until a caller's job
  // is served.
  std::int64_t measureRecovery(const std::string& id) {
    recordEvent(HistoryEvent::Kind::clusterHealed);
    const std::int64_t healedAt = cluster.now;
    cluster.submit(singleStepJob(id, "proofs", {.requestedMs = 500}));
    const bool served = cluster.runUntilTrue(
        [&] {
          return cluster.lastObservedState.count(id) && cluster.lastObservedState[id] == "finished";
        },
        servedWithinMs);
    if (served)
      recordEvent(HistoryEvent::Kind::serviceRestored);
    return cluster.now - healedAt;
  }

  void declareGone(const std::string& worker) {
    cluster.sendRequest(0, "POST", "/v1/workers/" + worker + "/gone", "",
                        [this, worker](int status, const std::string&) {
                          if (status != 200 && status != 404)
                            cluster.scheduleAfter(300, [this, worker] { declareGone(worker); });
                        });
  }

  // Ends some runs with one last fault. No other fault follows, and the processes that are lost in
  // it do not come back.
  void endWithLastFault() {
    const bool drawn = options.seed % 4 == 1 && options.faults > 0;
    if (!options.lastFaultEverywhere && !drawn)
      return;
    LastFault lastFault(cluster, options);
    lastFault.awaitIntactReplicas();
    if (options.lastFaultEverywhere) {
      lastFault.injectEverywhere([this] { operators.race(); });
      result.counters["acknowledged right before the last fault"] =
          double(lastFault.jobsAcknowledgedBefore());
      ++result.effectsByFault["one last fault everywhere"];
    } else {
      lastFault.injectDrawnBySeed();
      ++result.effectsByFault["one last fault"];
    }
    measureRecovery("last-probe");
  }

  // Traces what the leader answers about jobs that are still open, for debugging.
  void traceOpenJobs() {
    cluster.traceControllers();
    if (cluster.allJobsEnded())
      return;
    for (const char* target :
         {"/v1/plan", "/v1/workers", "/v1/jobs?state=open", "/v1/jobs?state=cancelling"}) {
      traceAnswers(target, target);
    }
    for (const auto& unfinished : cluster.unfinishedJobs()) {
      const std::string id = unfinished.substr(0, unfinished.find(' '));
      traceAnswers(id, "/v1/jobs/" + id);
    }
    cluster.runUntil(cluster.now + 3000);
  }

  void traceAnswers(const std::string& label, const std::string& target) {
    for (std::size_t gateway = 0; gateway < 3; ++gateway) {
      cluster.sendRequest(gateway, "GET", target, "", [this, label](int, const std::string& body) {
        cluster.trace("LEFT " + label + " " + body);
      });
    }
  }

  void report(const std::vector<Fault>& faults) {
    for (const auto& fault : faults) {
      if (fault.tookEffect && *fault.tookEffect)
        ++result.effectsByFault[fault.name];
    }
    if (operators.leadersLost())
      result.effectsByFault["operators' leader lost"] = operators.leadersLost();
    reportHistory();
    result.transcriptHash = cluster.hash();
    result.durableDigest = cluster.durableDigest();
    result.jobs = cluster.submissions.size();
    result.starts = std::size_t(
        std::count_if(cluster.history.begin(), cluster.history.end(),
                      [](const auto& event) { return event.kind == HistoryEvent::Kind::started; }));
    countLeaderEvents();
    result.counters["orders resent later"] = double(operators.acknowledgedLateResends());
    result.counters["patches acknowledged"] = double(operators.acknowledgedPatches());
    if (options.calledWorkers)
      countCalledWorkerEvents();
  }

  void reportHistory() {
    if (configWatch.answers() < minConfigAnswers)
      result.unfinished.push_back("too few looks at the config");
    CheckReport checked = cluster.checkHistory();
    result.violations = std::move(checked.violations);
    result.unavoidableViolations = std::move(checked.unavoidableViolations);
    result.searchStatistics = checked.searchStatistics;
    for (const auto& unfinished : cluster.unfinishedJobs()) {
      result.unfinished.push_back(unfinished);
    }
    for (const auto& finding : cluster.wronglyAnsweredConfigChanges()) {
      result.violations.push_back(
          {Invariant::configurationOrder, SimulatedCluster::epochMs + cluster.now, finding});
    }
  }

  void countLeaderEvents() {
    const auto leader = cluster.leader();
    if (!leader)
      return;
    const Controller& controller = *cluster.controller(*leader);
    const auto& counters = controller.committed().counters();
    auto& counted = result.counters;
    counted["trials"] = double(counters.trials);
    counted["ranOut"] = double(counters.trialsExpired);
    counted["holds"] = double(counters.suspends);
    counted["retries"] = double(counters.retries);
    counted["lost"] = double(counters.abandoned);
    counted["failed"] = double(counters.failed);
    counted["term"] = double(controller.raftNode().term().value);
  }

  // Counts the events of called workers, so that a campaign that covers none of them is noticed.
  void countCalledWorkerEvents() {
    auto& counted = result.counters;
    for (const char* name : {"started late", "from a checkpoint", "ended lapsed", "ended alone",
                             "ended broken", "ended stopped", "ended failed"}) {
      counted[name] = 0;
    }
    for (const auto& event : cluster.history) {
      if (event.kind == HistoryEvent::Kind::started) {
        counted["started late"] += event.executedLate;
        counted["from a checkpoint"] += !event.checkpoint.empty();
      } else if (event.kind == HistoryEvent::Kind::ended && event.worker.starts_with("w")) {
        const auto counter = counted.find("ended " + event.detail);
        if (counter != counted.end())
          ++counter->second;
      }
    }
  }

  CampaignOptions options;
  Random random;  // shared by the faults, the jobs and the configuration watch
  SimulatedCluster cluster;
  FaultInjector injector;
  CampaignOperators operators;
  CampaignWorkload workload;
  ConfigWatch configWatch;
  CampaignResult result;
  bool healed = false;
};

}  // namespace

CampaignResult runCampaign(const CampaignOptions& options) {
  return Campaign(options).run();
}

}  // namespace aniseline
