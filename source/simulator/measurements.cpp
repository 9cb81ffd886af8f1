// Builds the states and clusters that are measured.
#include "simulator/measurements.hpp"
#include "simulator/campaign.hpp"
#include "simulator/campaign_configs.hpp"
#include <ctime>

namespace aniseline {

picojson::object measurePlanning(std::size_t waiting, std::size_t workers) {
  ClusterState clusterState;
  std::int64_t now = 0;
  auto apply = [&](Event event) {
    clusterState.apply(LogRecord{ClusterTime{now}, std::move(event)});
  };
  auto config = ClusterConfig::parse(standardConfig());
  config.value().version = ConfigVersion{1};
  apply(ConfigCommitted{config.value()});
  LastContactAges lastContactAges;
  for (std::size_t index = 0; index < workers; ++index) {
    const WorkerId id{"m" + std::to_string(index)};
    Capacity capacity;
    capacity.cores = 16'000;
    capacity.memory = 32 * 1024;
    apply(WorkerRegistered{id, Incarnation{1}, capacity});
    lastContactAges[id] = Duration{0};
  }
  Planner planner;
  Random random(1);
  auto submit = [&](std::size_t count, const char* queue, std::uint32_t cores) {
    JobSubmission job;
    job.id = JobId{queue + std::to_string(count)};
    job.queue = QueueName{queue};
    job.steps = {{"s",
                  {},
                  false,
                  {TaskRequest{cores * 1000, std::uint64_t(random.between(256, 4096)),
                               Duration{random.between(1000, 600'000)}, ""}}}};
    apply(JobAccepted{job});
  };
  for (std::size_t count = 0; count < workers * 4; ++count)
    submit(count, "long", 4);
  apply(planner.makePlan(clusterState, ClusterTime{now}, lastContactAges).record);
  for (const auto& [id, worker] : clusterState.workers())
    apply(WorkerSynced{id, worker.lastIssuedOrder, {}});
  now = 500;
  for (std::size_t count = 0; count < waiting; ++count)
    submit(count, "plates", std::uint32_t(random.between(1, 8)));
  std::vector<double> times;
  for (int round = 0; round < 31; ++round) {
    const auto startedAt = std::clock();
    planner.makePlan(clusterState, ClusterTime{now + round}, lastContactAges);
    times.push_back(double(std::clock() - startedAt) * 1000.0 / CLOCKS_PER_SEC);
  }
  std::sort(times.begin(), times.end());
  return {{"waiting", json(waiting)},
          {"workers", json(workers)},
          {"plan_p50_ms", json(times[15])},
          {"plan_min_ms", json(times[0])},
          {"plan_max_ms", json(times[30])}};
}

picojson::object measureFailover(std::int64_t from, std::int64_t seeds, bool freezes) {
  std::vector<std::int64_t> spans;
  for (std::int64_t seed = from; seed < from + seeds; ++seed) {
    SimulatedClusterOptions options;
    options.seed = std::uint64_t(seed);
    options.gateways = options.workers = 1;
    SimulatedCluster cluster(options);
    if (!cluster.runUntilTrue([&] { return cluster.voterCount() == cluster.configuredVoters(); },
                              20'000))
      continue;
    cluster.runUntil(cluster.now + seed % 997);
    const std::size_t lost = *cluster.leader();
    const std::int64_t startedAt = cluster.now;
    if (freezes)
      cluster.freezeController(lost, true);
    else
      cluster.killController(lost, true);
    cluster.runUntilTrue([&] { return cluster.leader().has_value(); }, 20'000);
    spans.push_back(cluster.now - startedAt);
  }
  std::sort(spans.begin(), spans.end());
  return {{"leader", json(freezes ? "frozen" : "killed")},
          {"seeds", json(spans.size())},
          {"p50_ms", json(spans[spans.size() / 2])},
          {"p95_ms", json(spans[spans.size() * 95 / 100])},
          {"max_ms", json(spans.back())}};
}

picojson::object measureSnapshot(std::size_t kept, bool keepWhole) {
  ClusterState clusterState;
  auto config = ClusterConfig::parse(standardConfig());
  config.value().version = ConfigVersion{1};
  clusterState.apply(LogRecord{ClusterTime{0}, ConfigCommitted{config.value()}});
  JobsExpired shortened;
  for (std::size_t count = 0; count < kept; ++count) {
    JobSubmission job;
    job.id = JobId{"caller-0123456789-" + std::to_string(count)};
    job.queue = QueueName{"plates"};
    job.steps = {{"separate",
                  {},
                  false,
                  std::vector<TaskRequest>(4, TaskRequest{2000, 2048, Duration{8000}, "run=8000"})},
                 {"merge", {"separate"}, false, {TaskRequest{}}}};
    clusterState.apply(LogRecord{ClusterTime{1}, JobAccepted{job}});
    clusterState.apply(LogRecord{ClusterTime{2}, JobCancelled{job.id}});
    shortened.compacted.push_back(job.id);
  }
  if (!keepWhole)
    clusterState.apply(LogRecord{ClusterTime{3}, shortened});
  auto medianMs = [](const std::function<void()>& work) {
    std::vector<double> spans;
    for (int round = 0; round < 5; ++round) {
      const auto startedAt = std::clock();
      work();
      spans.push_back(double(std::clock() - startedAt) * 1000.0 / CLOCKS_PER_SEC);
    }
    std::sort(spans.begin(), spans.end());
    return spans[2];
  };
  std::string packed;
  const double packing = medianMs([&] { packed = pack(clusterState); });
  const double copying = medianMs([&] { ClusterState copy = clusterState; });
  const double reading = medianMs([&] { auto read = unpack<ClusterState>(packed); });
  return {{"kept", json(kept)},           {"shortened", json(!keepWhole)},
          {"bytes", json(packed.size())}, {"pack_ms", json(packing)},
          {"copy_ms", json(copying)},     {"read_ms", json(reading)}};
}

}  // namespace aniseline
