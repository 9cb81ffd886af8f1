// Submits the jobs and injects the disturbances of a crowded run.
#include "simulator/crowded_service.hpp"
#include "simulator/campaign_workload.hpp"

namespace aniseline {

namespace {

constexpr std::size_t calledWorkers = 12;  // every second one is in the crowded pool
constexpr std::uint32_t poolCores = 120;   // total of the six workers of that pool
constexpr std::uint32_t fillerCores = 2;
// Time for all workers to register, including those whose first registration is delayed.
constexpr std::int64_t registrationsWithinMs = 8000;
constexpr std::int64_t settleMs = 4000;  // until the long jobs occupy their share
constexpr std::int64_t votersWithinMs = 20'000;
constexpr std::int64_t configWithinMs = 10'000;
constexpr std::int64_t neverEndsMs = 100'000'000;
constexpr std::int64_t burstEveryMs = 4000;
constexpr std::size_t jobsPerBurst = 10;

const char* const crowdedConfig =
    R"({"planner":{"period_ms":20,"trials":false,"urgency_first":true,"far":2,"known_after_ms":3000},
"pools":{"guarded":{"guards_room":true},"open":{}},
"queues":{"urgent":{"urgency":2,"pool":"guarded","tries":4,"extend":1.5,"target_ms":250},
"checks":{"urgency":1,"pool":"guarded","tries":4,"extend":2.2,"target_ms":1000},
"bulk":{"urgency":0,"pool":"guarded","tries":4,"extend":3.2,"target_ms":3000},
"filler":{"urgency":1,"pool":"guarded","tries":4}}})";

SimulatedClusterOptions clusterOptions(const CrowdedServiceOptions& options) {
  SimulatedClusterOptions cluster;
  cluster.seed = options.seed;
  cluster.workers = 0;
  cluster.calledWorkers = calledWorkers;
  cluster.controller.deadMemberTimeout = Duration{30'000};
  return cluster;
}

class CrowdedService {
 public:
  explicit CrowdedService(const CrowdedServiceOptions& options)
      : options(options), random(options.seed * 7919 + 3), cluster(clusterOptions(options)) {
    if (options.verbose)
      cluster.trace = [this](const std::string& text) {
        std::fprintf(stderr, "%8lld %s\n", static_cast<long long>(cluster.now), text.c_str());
      };
  }

  CrowdedServiceResult run() {
    formCluster();
    cluster.runUntil(cluster.now + registrationsWithinMs);
    submitFillers();
    cluster.runUntil(cluster.now + settleMs);
    scheduleUrgentJobs();
    scheduleOtherJobs();
    scheduleDisturbances();
    cluster.runUntil(cluster.now + options.duration);
    CrowdedServiceResult result;
    result.violations = cluster.checkHistory().violations;
    result.jobs = cluster.submissions.size();
    for (const auto& event : cluster.history)
      result.starts += event.kind == HistoryEvent::Kind::started;
    return result;
  }

 private:
  void formCluster() {
    cluster.runUntilTrue([&] { return cluster.voterCount() == cluster.configuredVoters(); },
                         votersWithinMs);
    bool applied = false;
    cluster.applyConfig(crowdedConfig, 0,
                        [&](int status, const std::string&) { applied = status == 200; });
    cluster.runUntilTrue([&] { return applied; }, configWithinMs);
  }

  void submitFillers() {
    const auto tasks = std::size_t(options.occupancy * poolCores / fillerCores);
    for (std::size_t index = 0; index < tasks; ++index) {
      submit("filler", "filler",
             {.cores = fillerCores, .requestedMs = 3'600'000, .actualMs = neverEndsMs});
    }
  }

  void scheduleUrgentJobs() {
    const bool steady = options.urgentArrival == UrgentArrival::steady;
    const std::int64_t every = steady ? 250 : burstEveryMs;
    const std::size_t jobs = steady ? 1 : jobsPerBurst;
    for (std::int64_t at = 0; at < options.duration; at += every) {
      cluster.scheduleAfter(at + random.between(0, 100), [this, jobs] {
        for (std::size_t index = 0; index < jobs; ++index) {
          const auto tasks = std::size_t(random.between(2, 8));
          submit("urgent", "urgent", {.tasks = tasks, .requestedMs = 240, .actualMs = 240});
        }
      });
    }
  }

  void scheduleOtherJobs() {
    using Submit = void (CrowdedService::*)();
    const std::array<Submit, 5> shapes{
        &CrowdedService::submitPlain, &CrowdedService::submitLongRunning,
        &CrowdedService::submitTimed, &CrowdedService::submitGang, &CrowdedService::submitWide};
    for (std::int64_t at = 0; at < options.duration; at += random.between(800, 2500)) {
      const Submit shape = shapes[random.next() % shapes.size()];
      cluster.scheduleAfter(at, [this, shape] { (this->*shape)(); });
    }
  }

  void submitPlain() {
    const auto tasks = std::size_t(random.between(1, 3));
    const std::string queue = random.chance(0.5) ? "bulk" : "checks";
    submit("plain", queue, {.tasks = tasks, .cores = 2, .requestedMs = 2000, .actualMs = 2000});
  }
  void submitLongRunning() {
    JobSubmission job = makeJob("lasting", "bulk", {.tasks = 2});
    job.steps[0].requirements.longRunning = true;
    cluster.submit(job, random.between(10'000, 20'000));
  }
  void submitTimed() {
    JobSubmission job = makeJob("timed", "bulk", {.cores = 2, .requestedMs = 600, .actualMs = 600});
    job.timetable.firstStart = ClusterTime{SimulatedCluster::epochMs + cluster.now + 1000};
    job.timetable.interval = Duration{1500};
    job.timetable.count = 4;
    cluster.submit(job);
  }
  void submitGang() {
    const auto tasks = std::size_t(random.between(2, 4));
    submit("gang", "bulk",
           {.tasks = tasks, .cores = 2, .requestedMs = 3000, .actualMs = 3000, .gang = true});
  }
  void submitWide() {
    submit("wide", "bulk", {.tasks = 6, .cores = 4, .requestedMs = 6000, .actualMs = 6000});
  }

  JobSubmission makeJob(const std::string& prefix, const std::string& queue,
                        const StepShape& shape) {
    return singleStepJob(prefix + std::to_string(++jobCount), queue, shape);
  }
  void submit(const std::string& prefix, const std::string& queue, const StepShape& shape) {
    cluster.submit(makeJob(prefix, queue, shape));
  }

  void scheduleDisturbances() {
    if (options.drainsWorker)
      cluster.scheduleAfter(options.duration / 4,
                            [this] { cluster.drainCalledWorker(2, 2000, 3000); });
    if (options.losesLeader)
      cluster.scheduleAfter(options.duration / 2, [this] { loseLeader(); });
  }

  void loseLeader() {
    constexpr std::int64_t downMs = 2000;
    const auto leader = cluster.leader();
    if (!leader)
      return;
    cluster.recordFault("leader lost", false);
    cluster.killController(*leader, true);
    cluster.scheduleAfter(downMs, [this, index = *leader] {
      cluster.restartController(index);
      cluster.recordFault("leader lost", true);
    });
  }

  CrowdedServiceOptions options;
  Random random;
  SimulatedCluster cluster;
  std::size_t jobCount = 0;
};

}  // namespace

CrowdedServiceOptions CrowdedServiceOptions::forSeed(std::uint64_t seed) {
  constexpr std::array<double, 4> occupancies{0.5, 0.7, 0.9, 0.97};
  CrowdedServiceOptions options;
  options.seed = seed;
  options.occupancy = occupancies[seed % occupancies.size()];
  options.urgentArrival = seed / 4 % 2 ? UrgentArrival::bursts : UrgentArrival::steady;
  options.drainsWorker = seed / 8 % 2;
  options.losesLeader = seed / 16 % 2;
  return options;
}

CrowdedServiceResult runCrowdedService(const CrowdedServiceOptions& options) {
  return CrowdedService(options).run();
}

}  // namespace aniseline
