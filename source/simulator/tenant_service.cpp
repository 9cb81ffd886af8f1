// Changes the tenants, submits their jobs and injects the faults of a run.
#include "simulator/tenant_service.hpp"
#include "simulator/campaign_workload.hpp"

namespace aniseline {

namespace {

constexpr std::size_t calledWorkers = 10;  // every second one is in the pool that the tenants use
constexpr std::size_t tenantCount = 3;
constexpr std::size_t initialKeys = 2;  // per tenant
constexpr std::int64_t votersWithinMs = 20'000;
constexpr std::int64_t configWithinMs = 10'000;
constexpr std::int64_t registrationsWithinMs = 8000;
constexpr std::int64_t settleMs = 30'000;  // time after the last fault in which all jobs must end
constexpr std::int64_t lastFaultBeforeEndMs = 8000;
constexpr std::int64_t resendAfterMs = 300;
constexpr std::int64_t shortOutageMs = 800;

// A tenant as the operator has configured it.
struct DesiredTenant {
  std::vector<std::string> keys;
  std::uint32_t capCores = 0;     // whole cores
  std::uint64_t capMemoryMb = 0;  // 0: no limit
  bool present = true;
};

SimulatedClusterOptions clusterOptions(const TenantServiceOptions& options) {
  SimulatedClusterOptions cluster;
  cluster.seed = options.seed;
  cluster.workers = 0;
  cluster.calledWorkers = calledWorkers;
  const bool fiveVoters = options.seed % 2 == 1;
  cluster.controllers = fiveVoters ? 7 : 3;
  cluster.controller.voterCount = fiveVoters ? 5 : 3;
  cluster.controller.leaseMargin = Duration{350};
  cluster.controller.deadMemberTimeout = Duration{6000};
  cluster.controller.maxRecordsBetweenSnapshots = 60 + options.seed % 200;
  cluster.controller.raft.retainedEntries = 200;
  return cluster;
}

class TenantService {
 public:
  explicit TenantService(const TenantServiceOptions& options)
      : options(options), random(options.seed * 6151 + 11), cluster(clusterOptions(options)) {
    if (options.verbose)
      cluster.trace = [this](const std::string& text) {
        std::fprintf(stderr, "%8lld %s\n", static_cast<long long>(cluster.now), text.c_str());
      };
  }

  TenantServiceResult run() {
    formCluster();
    scheduleJobs();
    scheduleChanges();
    if (options.withFaults)
      scheduleFaults();
    cluster.runUntil(cluster.now + options.duration);
    stopped = true;
    cluster.healAll();
    endActiveFaults();
    liftCaps();
    cluster.runUntil(cluster.now + settleMs);
    return makeResult();
  }

 private:
  void formCluster() {
    cluster.runUntilTrue([&] { return cluster.voterCount() == cluster.configuredVoters(); },
                         votersWithinMs);
    for (std::size_t index = 0; index < tenantCount; ++index) {
      DesiredTenant& tenant = tenants[tenantName(index)];
      for (std::size_t key = 0; key < initialKeys; ++key)
        addKey(tenantName(index));
      tenant.capCores = std::uint32_t(random.between(4, 16));
    }
    sendConfig();
    cluster.runUntilTrue([&] { return !configs.empty() && configs.back().acknowledgedAt; },
                         configWithinMs);
    cluster.runUntil(cluster.now + registrationsWithinMs);
  }

  static std::string tenantName(std::size_t index) { return "tenant" + std::to_string(index); }
  void addKey(const std::string& tenant) {
    const std::string key = tenant + "-key" + std::to_string(++keyCount);
    tenants[tenant].keys.push_back(key);
    allKeys.emplace_back(key, tenant);
  }

  // --- the operator, who sends one change at a time until it is acknowledged ---

  std::string configText() const {
    std::string text =
        R"({"planner":{"period_ms":20,"trials":false,"urgency_first":true,"far":2,"known_after_ms":3000},
"pools":{"guarded":{"guards_room":true},"open":{}},
"queues":{"urgent":{"urgency":2,"pool":"guarded","tries":4,"extend":1.5,"target_ms":60000},
"bulk":{"urgency":0,"pool":"guarded","tries":4}},"tenants":{)";
    std::string separator;
    for (const auto& [name, tenant] : tenants) {
      if (!tenant.present)
        continue;
      text += separator + "\"" + name + "\":{\"api_keys\":[";
      for (std::size_t index = 0; index < tenant.keys.size(); ++index)
        text += (index ? ",\"" : "\"") + tenant.keys[index] + "\"";
      text += "],\"cap\":{\"cores\":" + std::to_string(tenant.capCores) +
              ",\"memory_mb\":" + std::to_string(tenant.capMemoryMb) + "}}";
      separator = ",";
    }
    return text + "}}";
  }

  void sendConfig() {
    const std::string text = configText();
    ObservedTenantConfig config;
    config.tenants = ClusterConfig::parse(text).value().tenants;
    config.sentAt = SimulatedCluster::epochMs + cluster.now;
    for (const auto& [name, tenant] : config.tenants.all())
      noteCap(name, tenant.cap);
    configs.push_back(std::move(config));
    sendUntilAcknowledged(text, appliedVersion);
  }
  void noteCap(const TenantName& name, const TenantCap& cap) {
    if (!cap.isLimited())
      return;
    auto [known, isNew] = cluster.lowestCaps.try_emplace(name, cap);
    const auto lower = [](std::uint64_t left, std::uint64_t right) {
      return left == 0 || right == 0 ? std::max(left, right) : std::min(left, right);
    };
    known->second =
        TenantCap{lower(known->second.cores, cap.cores), lower(known->second.memory, cap.memory),
                  lower(known->second.accelerators, cap.accelerators)};
  }
  void sendUntilAcknowledged(const std::string& text, std::uint64_t baseVersion) {
    cluster.applyConfig(
        text, baseVersion,
        [this, text, baseVersion](int status, const std::string& body) {
          if (configs.back().acknowledgedAt)
            return;
          if (status != 200)
            return cluster.scheduleAfter(resendAfterMs, [this, text, baseVersion] {
              sendUntilAcknowledged(text, baseVersion);
            });
          picojson::value root;
          picojson::parse(root, body);
          appliedVersion = std::uint64_t(root.get("version").get<double>());
          configs.back().acknowledgedAt = SimulatedCluster::epochMs + cluster.now;
        },
        std::size_t(random.next()));
  }

  void scheduleChanges() {
    for (std::int64_t at = 500; at < options.duration; at += random.between(300, 2500))
      cluster.scheduleAfter(at, [this] { changeRandomTenant(); });
  }
  void changeRandomTenant() {
    if (stopped || !configs.back().acknowledgedAt)
      return;
    const std::string name = tenantName(random.next() % tenantCount);
    DesiredTenant& tenant = tenants[name];
    switch (random.between(0, 5)) {
      case 0:
        addKey(name);
        break;
      case 1:
        if (!tenant.keys.empty())
          tenant.keys.erase(tenant.keys.begin() +
                            std::ptrdiff_t(random.next() % tenant.keys.size()));
        break;
      case 2:
        tenant.keys.clear();
        break;
      case 3:
        tenant.capCores = std::uint32_t(random.between(1, 24));
        break;
      case 4:
        tenant.capMemoryMb = random.chance(0.5) ? 0 : std::uint64_t(random.between(1, 12) * 512);
        break;
      default:
        tenant.present = !tenant.present;
        break;
    }
    if (tenant.keys.empty() && random.chance(0.7))
      addKey(name);
    sendConfig();
  }

  // Removes all caps, so that every accepted job can end. A job that still waits then does so for
  // another reason.
  void liftCaps() {
    cluster.runUntilTrue([&] { return configs.back().acknowledgedAt.has_value(); }, configWithinMs);
    for (auto& [name, tenant] : tenants) {
      tenant.present = true;
      tenant.capCores = 0;
      tenant.capMemoryMb = 0;
    }
    sendConfig();
  }

  // --- the tenants' jobs ---

  void scheduleJobs() {
    for (std::int64_t at = 0; at < options.duration; at += random.between(50, 400))
      cluster.scheduleAfter(at, [this] { submitJob(); });
  }
  void submitJob() {
    if (stopped)
      return;
    // Uses one of the newest keys in most cases; some of them have been revoked meanwhile.
    const std::size_t recent = std::min<std::size_t>(allKeys.size(), 8);
    const std::size_t keyIndex = random.chance(0.85) ? allKeys.size() - 1 - random.next() % recent
                                                     : random.next() % allKeys.size();
    const auto [key, tenant] = allKeys[keyIndex];
    StepShape shape;
    shape.tasks = std::size_t(random.between(1, 10));
    shape.cores = std::uint32_t(random.between(1, 4));
    shape.requestedMs = shape.actualMs = random.between(100, 2500);
    shape.gang = random.chance(0.1);
    if (shape.gang) {
      shape.tasks = 2;
      shape.cores = 1;
    }
    JobSubmission job = singleStepJob("job" + std::to_string(++jobCount),
                                      random.chance(0.5) ? "urgent" : "bulk", shape);
    StepRequirements& requirements = job.steps[0].requirements;
    requirements.redundant = !shape.gang && random.chance(0.2);
    requirements.checkpointed = !shape.gang && random.chance(0.2);
    requirements.longRunning = !shape.gang && !requirements.redundant && random.chance(0.05);
    cluster.tenantByJob[job.id.value] = TenantName{tenant};
    const bool cancelled = requirements.longRunning || random.chance(0.05);
    cluster.submit(job, cancelled ? random.between(500, 6000) : -1, key);
  }

  // --- faults, which may overlap ---

  void scheduleFaults() {
    const std::int64_t last = options.duration - lastFaultBeforeEndMs;
    for (std::int64_t at = 2000; at < last; at += random.between(500, 3500))
      cluster.scheduleAfter(at, [this] { injectFault(); });
  }
  void injectFault() {
    using InjectFault = void (TenantService::*)(std::int64_t);
    constexpr std::array<InjectFault, 9> kinds{
        &TenantService::killLeader,   &TenantService::isolateLeader,
        &TenantService::freezeLeader, &TenantService::killControllers,
        &TenantService::isolateAgent, &TenantService::killAgent,
        &TenantService::freezeAgent,  &TenantService::killWorker,
        &TenantService::delayOrders};
    (this->*kinds[random.next() % kinds.size()])(random.between(200, 6000));
  }
  // Begins a fault and schedules its end, unless the same target already has a fault.
  void injectFaultOn(const std::string& kind, std::size_t index, std::int64_t duration,
                     const std::function<void()>& begin, std::function<void()> end) {
    const std::string name = kind + " " + std::to_string(index);
    const std::string target = kind.substr(0, kind.find(' ')) + std::to_string(index);
    if (stopped || !activeFaults.emplace(target, end).second)
      return;
    ++faults[kind];
    cluster.recordFault(name, false);
    begin();
    cluster.scheduleAfter(duration, [this, name, target] {
      const auto found = activeFaults.find(target);
      if (found == activeFaults.end())
        return;
      found->second();
      activeFaults.erase(found);
      cluster.recordFault(name, true);
    });
  }
  std::size_t faultyControllerCount() const {
    return std::size_t(
        std::count_if(activeFaults.begin(), activeFaults.end(),
                      [](const auto& entry) { return entry.first.starts_with("controller"); }));
  }
  void injectLeaderFault(const std::string& kind, std::int64_t duration,
                         void (*begin)(SimulatedCluster&, std::size_t),
                         void (*end)(SimulatedCluster&, std::size_t)) {
    const auto leader = cluster.leader();
    if (!leader || faultyControllerCount() >= cluster.tolerableLosses())
      return;
    injectFaultOn(
        kind, *leader, duration, [this, begin, leader] { begin(cluster, *leader); },
        [this, end, leader] { end(cluster, *leader); });
  }
  void killLeader(std::int64_t duration) {
    injectLeaderFault(
        "controller killed", duration,
        [](SimulatedCluster& simulated, std::size_t index) {
          simulated.killController(index, true);
        },
        [](SimulatedCluster& simulated, std::size_t index) { simulated.restartController(index); });
  }
  void isolateLeader(std::int64_t duration) {
    injectLeaderFault(
        "controller cut off", duration,
        [](SimulatedCluster& simulated, std::size_t index) {
          simulated.isolateController(index, true);
        },
        [](SimulatedCluster& simulated, std::size_t index) {
          simulated.isolateController(index, false);
        });
  }
  void freezeLeader(std::int64_t duration) {
    injectLeaderFault(
        "controller frozen", duration,
        [](SimulatedCluster& simulated, std::size_t index) {
          simulated.freezeController(index, true);
        },
        [](SimulatedCluster& simulated, std::size_t index) {
          simulated.freezeController(index, false);
        });
  }
  void killControllers(std::int64_t) {
    if (faultyControllerCount() > 0)
      return;
    const auto restart = [this] {
      for (std::size_t index = 0; index < cluster.controllerCount(); ++index)
        cluster.restartController(index);
    };
    injectFaultOn(
        "controllers killed", 0, shortOutageMs,
        [this] {
          for (std::size_t index = 0; index < cluster.controllerCount(); ++index)
            cluster.killController(index, false);
        },
        restart);
  }
  std::size_t drawMachine() { return random.next() % calledWorkers; }
  void isolateAgent(std::int64_t duration) {
    const std::size_t index = drawMachine();
    injectFaultOn(
        "machine cut off", index, duration, [this, index] { cluster.isolateAgent(index, true); },
        [this, index] { cluster.isolateAgent(index, false); });
  }
  void killAgent(std::int64_t duration) {
    const std::size_t index = drawMachine();
    injectFaultOn(
        "machine agent killed", index, duration, [this, index] { cluster.killAgent(index); },
        [this, index] { cluster.restartAgent(index); });
  }
  void freezeAgent(std::int64_t duration) {
    const std::size_t index = drawMachine();
    injectFaultOn(
        "machine agent frozen", index, duration,
        [this, index] { cluster.freezeAgent(index, true); },
        [this, index] { cluster.freezeAgent(index, false); });
  }
  void killWorker(std::int64_t duration) {
    const std::size_t index = drawMachine();
    injectFaultOn(
        "machine worker killed", index, duration,
        [this, index] { cluster.killCalledWorker(index); },
        [this, index] { cluster.restartCalledWorker(index); });
  }
  void delayOrders(std::int64_t duration) {
    const std::size_t index = drawMachine();
    injectFaultOn(
        "machine orders delayed", index, duration,
        [this, index] { cluster.setOrdersDelayed(index, true); },
        [this, index] { cluster.setOrdersDelayed(index, false); });
  }
  void endActiveFaults() {
    for (auto& [target, end] : activeFaults)
      end();
    activeFaults.clear();
  }

  // --- result ---

  TenantServiceResult makeResult() {
    TenantServiceResult result;
    const TenantChecker checker(configs, cluster.tenantByJob);
    result.violations = cluster.checkHistory().violations;
    for (auto& violation : checker.checkKeys(cluster.keyUses))
      result.violations.push_back(std::move(violation));
    for (auto& violation : checker.checkCaps(cluster.history))
      result.violations.push_back(std::move(violation));
    result.jobs = cluster.submissions.size();
    result.unfinished = cluster.unfinishedJobs();
    for (const auto& use : cluster.keyUses)
      ++(use.accepted ? result.acceptedWithKey : result.refusedForKey);
    for (const auto& config : configs)
      result.configurations += config.acknowledgedAt.has_value();
    for (const auto& event : cluster.history)
      result.starts += event.kind == HistoryEvent::Kind::started;
    result.faults = faults;
    return result;
  }

  TenantServiceOptions options;
  Random random;
  SimulatedCluster cluster;
  std::map<std::string, DesiredTenant> tenants;
  std::vector<std::pair<std::string, std::string>> allKeys;  // each key with its tenant
  std::vector<ObservedTenantConfig> configs;
  std::uint64_t appliedVersion = 0;
  std::size_t keyCount = 0;
  std::size_t jobCount = 0;
  // By target: the function that ends its fault.
  std::map<std::string, std::function<void()>> activeFaults;
  std::map<std::string, std::size_t> faults;
  bool stopped = false;
};

}  // namespace

TenantServiceOptions TenantServiceOptions::forSeed(std::uint64_t seed) {
  constexpr std::uint64_t faultFreeRunInterval = 6;
  TenantServiceOptions options;
  options.seed = seed;
  options.withFaults = seed % faultFreeRunInterval != 0;
  return options;
}

TenantServiceResult runTenantService(const TenantServiceOptions& options) {
  return TenantService(options).run();
}

}  // namespace aniseline
